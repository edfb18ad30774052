"""Control one call to a plain service from its first attempt to its end."""

import random

import attrs

from sesameport.domain import Execution, PlainRequest, Refusal, RefusalType
from sesameport.interfaces import EngineError, EngineErrorKind, PlainResponse
from sesameport.requests.actions import RefuseRequest
from sesameport.requests.retries import Backoff

__all__ = [
    "RequestPlainServer",
    "ReturnPlainResponse",
    "NoPlainServer",
    "PlainAction",
    "PlainResponded",
    "PlainCall",
    "PlainEvent",
    "PlainFailed",
    "PlainPlaced",
    "SendPlainCall",
]

_NOT_RUN_ERRORS = frozenset({EngineErrorKind.UNREACHABLE, EngineErrorKind.BUSY})
"""Only these errors prove that a call had no effect."""
_MIN_ATTEMPT_S = 0.05


@attrs.frozen
class PlainPlaced:
    """Report the server chosen for the next attempt."""

    server: str


@attrs.frozen
class NoPlainServer:
    """Report that no server was found or that the retry budget is used up."""

    detail: str = "no server"


@attrs.frozen
class PlainResponded:
    """Report the complete response to an attempt."""

    attempt_id: str
    answer: PlainResponse


@attrs.frozen
class PlainFailed:
    """Report a failed attempt."""

    attempt_id: str
    error: EngineError


PlainEvent = PlainPlaced | NoPlainServer | PlainResponded | PlainFailed


@attrs.frozen
class RequestPlainServer:
    """Request a server after a delay in seconds.

    If ``spends_budget`` is True, the attempt is deducted from the retry budget.
    """

    exclude: frozenset[str]
    delay_s: float = 0.0
    spends_budget: bool = False


@attrs.frozen
class SendPlainCall:
    """Send the call to a server, with a timeout in seconds."""

    server: str
    attempt_id: str
    timeout_s: float


@attrs.frozen
class ReturnPlainResponse:
    """Return the answer to the caller."""

    answer: PlainResponse


PlainAction = RequestPlainServer | SendPlainCall | ReturnPlainResponse | RefuseRequest


@attrs.define
class PlainCall:
    """Track the state of one call and choose its next action.

    A repeatable call is retried on another server after any error. Any other call is
    retried only if the error proves that the call did not run.

    Parameters
    ----------
    req : PlainRequest
        The call.
    attempt_prefix : str
        ``<host>.<incarnation>.<sequence>``. Each attempt id appends the number of the
        attempt to it.
    rng : random.Random
        Source of the jitter.
    max_attempts : int
        Maximum number of attempts, including the first.
    backoff : Backoff
        Delay before a retry.
    """

    req: PlainRequest
    attempt_prefix: str
    rng: random.Random = attrs.field(factory=random.Random)
    max_attempts: int = 3
    backoff: Backoff = Backoff()
    dropped_events: int = 0
    _attempts: int = 0
    _may_have_run: bool = False
    _attempt_id: str = ""
    _server: str = ""
    _is_ended: bool = False
    _excluded: set[str] = attrs.field(factory=set)
    _last_error: EngineError | None = None

    def start(self, now: float) -> list[PlainAction]:
        """Return the first action."""
        if now >= self.req.deadline:
            return self._refuse(RefusalType.DEADLINE)
        return [RequestPlainServer(frozenset())]

    def handle(self, event: PlainEvent, now: float) -> list[PlainAction]:
        """Handle one event and return the resulting actions."""
        if self._is_ended:
            self.dropped_events += 1
            return []
        match event:
            case PlainPlaced(server) if not self._attempt_id:
                return self._send(server, now)
            case NoPlainServer(detail) if not self._attempt_id:
                return self._handle_no_server(detail)
            case PlainResponded(attempt_id, answer) if attempt_id == self._attempt_id:
                self._is_ended = True
                return [ReturnPlainResponse(answer)]
            case PlainFailed(attempt_id, error) if attempt_id == self._attempt_id:
                return self._handle_failure(error, now)
        self.dropped_events += 1
        return []

    def _send(self, server: str, now: float) -> list[PlainAction]:
        remaining_s = self.req.deadline - now
        if remaining_s <= 0:
            return self._refuse(RefusalType.DEADLINE)
        self._attempts += 1
        self._server = server
        self._attempt_id = f"{self.attempt_prefix}.{self._attempts}"
        timeout_s = remaining_s
        if self.req.repeatable and self._attempts < self.max_attempts:
            # If the server does not respond, half of the time is left for a retry.
            timeout_s = max(_MIN_ATTEMPT_S, remaining_s / 2)
        return [SendPlainCall(server, self._attempt_id, timeout_s)]

    def _handle_failure(self, error: EngineError, now: float) -> list[PlainAction]:
        self._attempt_id = ""
        self._last_error = error
        self._excluded.add(self._server)
        did_not_run = error.kind in _NOT_RUN_ERRORS
        self._may_have_run |= not did_not_run
        if (
            not (did_not_run or self.req.repeatable)
            or self._attempts >= self.max_attempts
        ):
            return self._refuse(RefusalType.UPSTREAM_FAILED, error.detail)
        delay_s = self.backoff.delay(self._attempts - 1, self.rng)
        if now + delay_s >= self.req.deadline:
            return self._refuse(RefusalType.DEADLINE)
        return [RequestPlainServer(frozenset(self._excluded), delay_s, True)]

    def _handle_no_server(self, detail: str) -> list[PlainAction]:
        if self._last_error is not None:
            return self._refuse(RefusalType.UPSTREAM_FAILED, self._last_error.detail)
        return self._refuse(RefusalType.NO_SERVER, detail)

    def _refuse(self, kind: RefusalType, detail: str = "") -> list[PlainAction]:
        self._is_ended = True
        execution = Execution.NOT_RUN
        if self._may_have_run:
            execution = Execution.MAY_HAVE_RUN
        retry_after_s = 1.0 if execution == Execution.NOT_RUN else None
        return [RefuseRequest(Refusal(kind, execution, detail, retry_after_s))]
