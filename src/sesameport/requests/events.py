"""Define the events that a request's lifecycle handles."""

import attrs

from sesameport.domain import Refusal
from sesameport.interfaces import EngineError, KvHandle, TokenEvent
from sesameport.routing import Placement

__all__ = [
    "CallerDisconnected",
    "DecodeFailed",
    "Event",
    "NotPlaced",
    "Placed",
    "PrefillDone",
    "PrefillFailed",
    "ResumeFailed",
    "ServerRemoved",
    "StopRequested",
    "Tick",
    "TokenArrived",
]


@attrs.frozen
class Placed:
    """Report that the router placed the request.

    After ``RequestDecodePlacement`` only the decode server of the placement is new.
    The server that keeps the KV handle stays the prefill server, and the router
    reserves no second prefill share on it.
    """

    placement: Placement


@attrs.frozen
class NotPlaced:
    """Report that the router found no server for a retry.

    ``final`` is True when a further placement request would fail too, for example when
    the retry budget is used up.
    """

    refusal: Refusal
    final: bool = False


@attrs.frozen
class PrefillDone:
    """Report a completed prefill."""

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
    """Report that a decode call or its stream failed."""

    attempt_id: str
    error: EngineError


@attrs.frozen
class ResumeFailed:
    """Report that a resume failed before it opened a stream."""

    attempt_id: str
    error: EngineError


@attrs.frozen
class ServerRemoved:
    """Report that a backend server has left the fleet."""

    server: str


@attrs.frozen
class CallerDisconnected:
    """Report that the caller closed its connection."""


@attrs.frozen
class StopRequested:
    """Report that the request must end with the given refusal.

    The lifecycle sets the refusal's ``execution`` to that of the request.
    """

    refusal: Refusal


@attrs.frozen
class Tick:
    """Report that the time returned by ``Lifecycle.wake_at`` was reached."""


Event = (
    Placed
    | NotPlaced
    | PrefillDone
    | PrefillFailed
    | TokenArrived
    | DecodeFailed
    | ResumeFailed
    | ServerRemoved
    | CallerDisconnected
    | StopRequested
    | Tick
)
