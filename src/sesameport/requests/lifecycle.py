"""Follow one completion request from its placement to its end.

The lifecycle is pure. It takes events and returns the actions that the request's
thread has to carry out, in order.
"""

import enum

import attrs

from sesameport.interfaces import (
    DecodeCall,
    EngineError,
    KvHandle,
    PrefillCall,
    TokenEvent,
)
from sesameport.routing import Placement
from sesameport.world import (
    CompletionRequest,
    Execution,
    Refusal,
    RefusalType,
    Usage,
)

__all__ = [
    "Action",
    "CallerGone",
    "CancelHold",
    "DecodeEnded",
    "DecodeFailed",
    "Deliver",
    "EndAnswer",
    "Event",
    "Lifecycle",
    "Placed",
    "PrefillDone",
    "PrefillEnded",
    "PrefillFailed",
    "RefuseCall",
    "StartDecode",
    "StartPrefill",
    "Stopped",
    "TokenArrived",
]


@attrs.frozen
class Placed:
    """Report that the router placed the request."""

    placement: Placement


@attrs.frozen
class PrefillDone:
    """Report the result of a prefill."""

    attempt_id: str
    handle: KvHandle


@attrs.frozen
class PrefillFailed:
    """Report a failed prefill."""

    attempt_id: str
    error: EngineError


@attrs.frozen
class TokenArrived:
    """Report one token of a decode stream."""

    event: TokenEvent


@attrs.frozen
class DecodeFailed:
    """Report that a decode could not start or that its stream broke."""

    attempt_id: str
    error: EngineError


@attrs.frozen
class CallerGone:
    """Report that the caller closed its connection."""


@attrs.frozen
class Stopped:
    """Report that the request has to end, with the refusal to give."""

    refusal: Refusal


Event = (
    Placed
    | PrefillDone
    | PrefillFailed
    | TokenArrived
    | DecodeFailed
    | CallerGone
    | Stopped
)


@attrs.frozen
class StartPrefill:
    """Call the prefill server."""

    server: str
    call: PrefillCall


@attrs.frozen
class StartDecode:
    """Call the decode server and read its stream."""

    server: str
    call: DecodeCall


@attrs.frozen
class PrefillEnded:
    """Tell the router that the prefill share is free."""

    placement: Placement


@attrs.frozen
class DecodeEnded:
    """Tell the router that the decode slot is free."""

    placement: Placement


@attrs.frozen
class CancelHold:
    """Cancel what an attempt holds on a server, until that is confirmed."""

    server: str
    attempt_id: str


@attrs.frozen
class Deliver:
    """Send one token to the caller."""

    text: str


@attrs.frozen
class EndAnswer:
    """End the answer; it is whole."""

    finish_reason: str
    usage: Usage


@attrs.frozen
class RefuseCall:
    """End the request with a refusal."""

    refusal: Refusal


Action = (
    StartPrefill
    | StartDecode
    | PrefillEnded
    | DecodeEnded
    | CancelHold
    | Deliver
    | EndAnswer
    | RefuseCall
)


class _State(enum.Enum):
    WAITING = "waiting"
    PREFILLING = "prefilling"
    DECODING = "decoding"
    ENDED = "ended"


@attrs.define
class Lifecycle:
    """Hold the state of one request.

    Parameters
    ----------
    req : CompletionRequest
        The request.
    attempt_prefix : str
        ``<host>.<incarnation>.<sequence>``; the attempt number is appended.
    """

    req: CompletionRequest
    attempt_prefix: str
    offset: int = 0
    late_events: int = 0
    _state: _State = _State.WAITING
    _attempt: int = 0
    _placement: Placement | None = None

    @property
    def attempt_id(self) -> str:
        """Return the id of the current attempt."""
        return f"{self.attempt_prefix}.{self._attempt}"

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take one event and return the actions that follow."""
        if self._state == _State.ENDED:
            self.late_events += 1
            return []
        match event:
            case Placed(placement):
                return self._placed(placement)
            case PrefillDone(attempt_id, handle) if attempt_id == self.attempt_id:
                return self._prefilled(handle)
            case TokenArrived(token) if token.attempt_id == self.attempt_id:
                return self._token(token)
            case PrefillFailed(attempt_id, error) | DecodeFailed(attempt_id, error):
                if attempt_id == self.attempt_id:
                    return self._failed(error)
            case CallerGone():
                return self._end([])
            case Stopped(refusal):
                return self._end([RefuseCall(refusal)])
        self.late_events += 1
        return []

    def _placed(self, placement: Placement) -> list[Action]:
        self._placement = placement
        self._attempt += 1
        self._state = _State.PREFILLING
        call = PrefillCall(
            self.attempt_id, self.req.model, self.req.adapter, self.req.prompt
        )
        return [StartPrefill(placement.prefill.name, call)]

    def _prefilled(self, handle: KvHandle) -> list[Action]:
        self._state = _State.DECODING
        call = DecodeCall(
            self.attempt_id,
            self.req.model,
            self.req.adapter,
            self.req.prompt,
            self.req.max_output_tokens,
            attrs.evolve(handle, kv_bytes=self.req.kv_bytes),
        )
        placement = self._placement
        return [PrefillEnded(placement), StartDecode(placement.decode.name, call)]

    def _token(self, token: TokenEvent) -> list[Action]:
        if token.offset != self.offset:
            self.late_events += 1
            return []
        self.offset += 1
        actions: list[Action] = [Deliver(token.text)]
        if token.finish_reason:
            usage = Usage(self.req.prompt_tokens, self.offset)
            self._state = _State.ENDED
            actions.append(DecodeEnded(self._placement))
            actions.append(EndAnswer(token.finish_reason, usage))
        return actions

    def _failed(self, error: EngineError) -> list[Action]:
        execution = error.execution()
        if self.offset:
            execution = Execution.RAN
        refusal = Refusal(RefusalType.UPSTREAM_FAILED, execution, error.detail)
        return self._end([RefuseCall(refusal)])

    def _end(self, last: list[Action]) -> list[Action]:
        actions: list[Action] = []
        if self._placement is not None:
            for server in (self._placement.prefill, self._placement.decode):
                actions.append(CancelHold(server.name, self.attempt_id))
            if self._state == _State.PREFILLING:
                actions.append(PrefillEnded(self._placement))
            actions.append(DecodeEnded(self._placement))
        self._state = _State.ENDED
        return actions + last
