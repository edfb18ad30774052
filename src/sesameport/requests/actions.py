"""Define the actions that a request's lifecycle asks for, to be taken in order."""

import attrs

from sesameport.interfaces import DecodeCall, PrefillCall
from sesameport.routing import Placement
from sesameport.world import Refusal, Usage

__all__ = [
    "Action",
    "AskDecode",
    "AskPlacement",
    "CancelHold",
    "CloseHold",
    "DecodeEnded",
    "Deliver",
    "EndAnswer",
    "ImportDone",
    "OpenHold",
    "PrefillEnded",
    "RefuseCall",
    "ReportLost",
    "ResumeDecode",
    "StartDecode",
    "StartPrefill",
]


@attrs.frozen
class StartPrefill:
    """Call the prefill server."""

    server: str
    call: PrefillCall


@attrs.frozen
class StartDecode:
    """Call the decode server and read its stream.

    ``not_before`` is the monotonic time at which the call is to go out, seconds.
    """

    server: str
    call: DecodeCall
    not_before: float = 0.0


@attrs.frozen
class ResumeDecode:
    """Attach to the stream again over a new connection, after a delay in seconds."""

    server: str
    attempt_id: str
    offset: int
    delay_s: float = 0.0


@attrs.frozen
class AskPlacement:
    """Ask for a new prefill and decode server after a delay in seconds.

    The answer is ``Placed`` or ``NotPlaced``. ``spends_budget`` says that the retry
    is to be taken from the retry budget first; a spent budget gives a final
    ``NotPlaced``.
    """

    exclude: frozenset[str]
    delay_s: float = 0.0
    spends_budget: bool = True


@attrs.frozen
class AskDecode:
    """Ask at once for another decode server for a KV handle that is still alive.

    The answer is ``Placed`` or ``NotPlaced``. The earlier decode slot stays counted
    until then, so that the router knows where the KV cache is.
    """

    exclude: frozenset[str]


@attrs.frozen
class PrefillEnded:
    """Tell the router that the prefill share is free."""

    placement: Placement


@attrs.frozen
class DecodeEnded:
    """Tell the router that the decode slot is free."""

    placement: Placement


@attrs.frozen
class ImportDone:
    """Tell the router that the decode server has imported the KV cache."""

    placement: Placement


@attrs.frozen
class OpenHold:
    """Record in the ledger that an attempt may hold something on a server."""

    server: str
    attempt_id: str


@attrs.frozen
class CloseHold:
    """Record in the ledger that the server has released the attempt's hold."""

    server: str
    attempt_id: str


@attrs.frozen
class CancelHold:
    """Cancel what an attempt holds on a server, until that is confirmed."""

    server: str
    attempt_id: str


@attrs.frozen
class ReportLost:
    """Report that a server lost the state of a running attempt, as a crash does."""

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
    | ResumeDecode
    | AskPlacement
    | AskDecode
    | PrefillEnded
    | DecodeEnded
    | ImportDone
    | OpenHold
    | CloseHold
    | CancelHold
    | ReportLost
    | Deliver
    | EndAnswer
    | RefuseCall
)
