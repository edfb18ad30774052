"""Follow one call to a plain service from its first try to its end."""

import random

import attrs

from sesameport.interfaces import EngineError, EngineErrorKind, PlainAnswer
from sesameport.requests.actions import RefuseCall
from sesameport.requests.retries import Backoff
from sesameport.world import Execution, PlainRequest, Refusal, RefusalType

__all__ = [
    "AskPlainServer",
    "FinishPlain",
    "NoPlainServer",
    "PlainAction",
    "PlainAnswered",
    "PlainCall",
    "PlainEvent",
    "PlainFailed",
    "PlainPlaced",
    "SendPlain",
]

# Only these errors prove that a call had no effect.
_PROVES_NOT_RUN = frozenset({EngineErrorKind.UNREACHABLE, EngineErrorKind.BUSY})
_MIN_TRY_S = 0.05


@attrs.frozen
class PlainPlaced:
    """Report the server that was chosen for the next try."""

    server: str


@attrs.frozen
class NoPlainServer:
    """Report that no server was found or that the retry budget is used up."""

    detail: str = "no server"


@attrs.frozen
class PlainAnswered:
    """Report the whole answer of a try."""

    attempt_id: str
    answer: PlainAnswer


@attrs.frozen
class PlainFailed:
    """Report a failed try."""

    attempt_id: str
    error: EngineError


PlainEvent = PlainPlaced | NoPlainServer | PlainAnswered | PlainFailed


@attrs.frozen
class AskPlainServer:
    """Ask for a server after a delay in seconds, from the retry budget if so told."""

    exclude: frozenset[str]
    delay_s: float = 0.0
    spends_budget: bool = False


@attrs.frozen
class SendPlain:
    """Send the call; the timeout is in seconds."""

    server: str
    attempt_id: str
    timeout_s: float


@attrs.frozen
class FinishPlain:
    """Pass the answer to the caller."""

    answer: PlainAnswer


PlainAction = AskPlainServer | SendPlain | FinishPlain | RefuseCall


@attrs.define
class PlainCall:
    """Hold the state of one call.

    A repeatable call is tried again on another server. A call that may not be
    repeated is tried again only if the last error proves that it did not run.

    Parameters
    ----------
    req : PlainRequest
        The call.
    attempt_prefix : str
        ``<host>.<incarnation>.<sequence>``; the attempt number is appended.
    rng : random.Random
        Source of the jitter.
    max_tries : int
        Tries in all.
    backoff : Backoff
        Delay before a repeated try.
    """

    req: PlainRequest
    attempt_prefix: str
    rng: random.Random = attrs.field(factory=random.Random)
    max_tries: int = 3
    backoff: Backoff = Backoff()
    late_events: int = 0
    _tries: int = 0
    _may_have_run: bool = False
    _sending: str = ""
    _server: str = ""
    _ended: bool = False
    _excluded: set[str] = attrs.field(factory=set)
    _error: EngineError | None = None

    def start(self, now: float) -> list[PlainAction]:
        """Return the first action."""
        if now >= self.req.deadline:
            return self._refuse(RefusalType.DEADLINE)
        return [AskPlainServer(frozenset())]

    def handle(self, event: PlainEvent, now: float) -> list[PlainAction]:
        """Take one event and return the actions that follow."""
        if self._ended:
            self.late_events += 1
            return []
        match event:
            case PlainPlaced(server) if not self._sending:
                return self._send(server, now)
            case NoPlainServer(detail) if not self._sending:
                return self._no_server(detail)
            case PlainAnswered(attempt_id, answer) if attempt_id == self._sending:
                self._ended = True
                return [FinishPlain(answer)]
            case PlainFailed(attempt_id, error) if attempt_id == self._sending:
                return self._failed(error, now)
        self.late_events += 1
        return []

    def _send(self, server: str, now: float) -> list[PlainAction]:
        remaining_s = self.req.deadline - now
        if remaining_s <= 0:
            return self._refuse(RefusalType.DEADLINE)
        self._tries += 1
        self._server = server
        self._sending = f"{self.attempt_prefix}.{self._tries}"
        timeout_s = remaining_s
        if self.req.repeatable and self._tries < self.max_tries:
            # A silent server leaves half of the time for another one.
            timeout_s = max(_MIN_TRY_S, remaining_s / 2)
        return [SendPlain(server, self._sending, timeout_s)]

    def _failed(self, error: EngineError, now: float) -> list[PlainAction]:
        self._sending = ""
        self._error = error
        self._excluded.add(self._server)
        proved = error.kind in _PROVES_NOT_RUN
        self._may_have_run |= not proved
        if not (proved or self.req.repeatable) or self._tries >= self.max_tries:
            return self._refuse(RefusalType.UPSTREAM_FAILED, error.detail)
        delay_s = self.backoff.delay(self._tries - 1, self.rng)
        if now + delay_s >= self.req.deadline:
            return self._refuse(RefusalType.DEADLINE)
        return [AskPlainServer(frozenset(self._excluded), delay_s, True)]

    def _no_server(self, detail: str) -> list[PlainAction]:
        if self._error is not None:
            return self._refuse(RefusalType.UPSTREAM_FAILED, self._error.detail)
        return self._refuse(RefusalType.NO_SERVER, detail)

    def _refuse(self, kind: RefusalType, detail: str = "") -> list[PlainAction]:
        self._ended = True
        execution = Execution.NOT_RUN
        if self._may_have_run:
            execution = Execution.MAY_HAVE_RUN
        retry_after_s = 1.0 if execution == Execution.NOT_RUN else None
        return [RefuseCall(Refusal(kind, execution, detail, retry_after_s))]
