"""Define the events that a request's lifecycle takes."""

import attrs

from sesameport.interfaces import EngineError, KvHandle, TokenEvent
from sesameport.routing import Placement
from sesameport.world import Refusal

__all__ = [
    "CallerGone",
    "DecodeFailed",
    "Event",
    "NotPlaced",
    "Placed",
    "PrefillDone",
    "PrefillFailed",
    "ResumeFailed",
    "ServerGone",
    "Stopped",
    "Tick",
    "TokenArrived",
]


@attrs.frozen
class Placed:
    """Report that the router placed the request.

    After ``AskDecode`` only the decode server of the placement is new; its prefill
    server is the one that keeps the KV handle and is not counted again.
    """

    placement: Placement


@attrs.frozen
class NotPlaced:
    """Report that no server was found for a retry.

    ``final`` is True when asking again is of no use, for example when the retry
    budget is spent.
    """

    refusal: Refusal
    final: bool = False


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
class ResumeFailed:
    """Report that a resume was answered with an error, so no stream was opened."""

    attempt_id: str
    error: EngineError


@attrs.frozen
class ServerGone:
    """Report that a backend server is gone for sure."""

    server: str


@attrs.frozen
class CallerGone:
    """Report that the caller closed its connection."""


@attrs.frozen
class Stopped:
    """Report that the request has to end, with the refusal to give.

    The lifecycle replaces the refusal's ``execution`` by what it knows.
    """

    refusal: Refusal


@attrs.frozen
class Tick:
    """Report that the time asked for by ``Lifecycle.wake_at`` has come."""


Event = (
    Placed
    | NotPlaced
    | PrefillDone
    | PrefillFailed
    | TokenArrived
    | DecodeFailed
    | ResumeFailed
    | ServerGone
    | CallerGone
    | Stopped
    | Tick
)
