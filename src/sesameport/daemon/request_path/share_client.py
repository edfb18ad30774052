"""Charge request threads' tokens through the shares actor."""

from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError

import attrs
import pykka

from sesameport.domain import Refusal, RefusalType
from sesameport.fleet.workspace_share import RateRefused, Receipt
from sesameport.interfaces import Timers

__all__ = ["ChargeRequest", "ChargeSettlement", "ShareClient"]

_REPLY_MARGIN_S = 1.0
"""Time for the actor's reply beyond the wait bound of a charge."""


@attrs.define(eq=False)
class ChargeRequest:
    """Request a charge; ``done`` is set to a `Receipt` or a `RateRefused`.

    The waiting thread sets ``is_abandoned`` when it stops waiting.
    """

    service: str
    workspace: str
    tokens: float
    deadline: float
    done: Future = attrs.field(factory=Future)
    is_abandoned: bool = False


@attrs.frozen
class ChargeSettlement:
    """Request that a charge be adjusted to the tokens that were used."""

    service: str
    receipt: Receipt
    used: float


class ShareClient:
    """Charge requests against rate shares from any thread.

    Parameters
    ----------
    actor : pykka.ActorRef
        Shares actor.
    timers : Timers
        Source of the monotonic time.
    wait_s : float
        Default bound of the wait for lots, seconds.
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

        ``wait_s`` overrides the default bound of the wait, seconds.
        """
        wait_s = self._wait_s if wait_s is None else wait_s
        charge = ChargeRequest(service, workspace, tokens, self._timers.now() + wait_s)
        self._actor.tell(charge)
        try:
            answer = charge.done.result(wait_s + _REPLY_MARGIN_S)
        except FutureTimeoutError:
            charge.is_abandoned = True
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
        """Adjust a charge to the tokens that were used."""
        self._actor.tell(ChargeSettlement(service, receipt, used))
