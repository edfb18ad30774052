"""Charge requests from any thread through the shares actor."""

from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError

import attrs
import pykka

from sesameport.fleet.workspace_share import RateRefused, Receipt
from sesameport.interfaces import Timers
from sesameport.world import Refusal, RefusalType

__all__ = ["Charge", "Settle", "ShareGate"]

# Time that a caller thread waits beyond its bound for the actor's answer.
_ACTOR_SLACK_S = 1.0


@attrs.define(eq=False)
class Charge:
    """Ask to charge a request; ``done`` gets a `Receipt` or a `Refusal`."""

    service: str
    workspace: str
    tokens: float
    deadline: float
    done: Future = attrs.field(factory=Future)
    is_given_up: bool = False


@attrs.frozen
class Settle:
    """Correct a charge to the tokens used."""

    service: str
    receipt: Receipt
    used: float


class ShareGate:
    """Charge requests from any thread.

    Parameters
    ----------
    actor : pykka.ActorRef
        The shares actor.
    timers : Timers
        Clock.
    wait_s : float
        Longest time that a caller waits for lots, seconds.
    """

    def __init__(self, actor: pykka.ActorRef, timers: Timers, wait_s: float = 0.1):
        self._actor = actor
        self._timers = timers
        self._wait_s = wait_s

    def charge(
        self,
        service: str,
        workspace: str,
        tokens: float,
        wait_s: float | None = None,
    ) -> Receipt | Refusal:
        """Charge tokens and return a receipt for `settle`, or a refusal.

        ``wait_s`` replaces the gate's bound for one call, seconds.
        """
        wait_s = self._wait_s if wait_s is None else wait_s
        charge = Charge(service, workspace, tokens, self._timers.now() + wait_s)
        self._actor.tell(charge)
        try:
            answer = charge.done.result(wait_s + _ACTOR_SLACK_S)
        except FutureTimeoutError:
            charge.is_given_up = True
            answer = RateRefused(1.0)
        if isinstance(answer, Receipt):
            return answer
        detail = f"workspace {workspace!r} has used up its rate"
        if answer.retry_after_s is None:
            detail = f"{tokens:g} tokens are above the burst of {workspace!r}"
        return Refusal(
            RefusalType.RATE_LIMITED,
            detail=detail,
            retry_after_s=answer.retry_after_s,
        )

    def settle(self, service: str, receipt: Receipt, used: float) -> None:
        """Correct a charge to the tokens used."""
        self._actor.tell(Settle(service, receipt, used))
