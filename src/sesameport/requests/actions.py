"""Define the actions that a request's lifecycle returns.

The thread of the request carries them out in the order in which they are returned.
"""

import attrs

from sesameport.domain import Refusal, Usage
from sesameport.interfaces import DecodeCall, PrefillCall
from sesameport.routing import Placement

__all__ = [
    "Action",
    "RequestDecodePlacement",
    "RequestPlacement",
    "CancelHold",
    "CloseHold",
    "ReleaseDecodeSlot",
    "DeliverToken",
    "CompleteResponse",
    "ReleaseLinkShare",
    "OpenHold",
    "ReleasePrefillShare",
    "RefuseRequest",
    "ReportStateLoss",
    "ResumeDecode",
    "StartDecode",
    "StartPrefill",
]


@attrs.frozen
class StartPrefill:
    """Send a prefill call to a server."""

    server: str
    call: PrefillCall


@attrs.frozen
class StartDecode:
    """Send a decode call to a server and read its stream.

    ``not_before`` is the earliest monotonic time to send the call, seconds.
    """

    server: str
    call: DecodeCall
    not_before: float = 0.0


@attrs.frozen
class ResumeDecode:
    """Resume the stream over a new connection, after a delay in seconds."""

    server: str
    attempt_id: str
    offset: int
    delay_s: float = 0.0


@attrs.frozen
class RequestPlacement:
    """Request a new prefill and decode server after a delay in seconds.

    The result is ``Placed`` or ``NotPlaced``. If ``spends_budget`` is True, the retry
    is first deducted from the retry budget. If the budget does not allow it, the result
    is a final ``NotPlaced``.
    """

    exclude: frozenset[str]
    delay_s: float = 0.0
    spends_budget: bool = True


@attrs.frozen
class RequestDecodePlacement:
    """Request another decode server for a KV handle that is still valid.

    The result is ``Placed`` or ``NotPlaced``. The previous decode slot stays reserved
    until then because the router uses it to find the KV cache.
    """

    exclude: frozenset[str]


@attrs.frozen
class ReleasePrefillShare:
    """Release the placement's prefill share in the router."""

    placement: Placement


@attrs.frozen
class ReleaseDecodeSlot:
    """Release the placement's decode slot in the router."""

    placement: Placement


@attrs.frozen
class ReleaseLinkShare:
    """Release the placement's link share after the KV cache was imported."""

    placement: Placement


@attrs.frozen
class OpenHold:
    """Record that an attempt may hold resources on a server."""

    server: str
    attempt_id: str


@attrs.frozen
class CloseHold:
    """Record that the server has released the attempt's hold."""

    server: str
    attempt_id: str


@attrs.frozen
class CancelHold:
    """Cancel an attempt's hold on a server, with retries until it is confirmed."""

    server: str
    attempt_id: str


@attrs.frozen
class ReportStateLoss:
    """Report that a server lost the state of a running attempt, as after a crash."""

    server: str
    attempt_id: str


@attrs.frozen
class DeliverToken:
    """Send the text of one token to the caller."""

    text: str


@attrs.frozen
class CompleteResponse:
    """Complete the response after its last token."""

    finish_reason: str
    usage: Usage


@attrs.frozen
class RefuseRequest:
    """End the request with a refusal."""

    refusal: Refusal


Action = (
    StartPrefill
    | StartDecode
    | ResumeDecode
    | RequestPlacement
    | RequestDecodePlacement
    | ReleasePrefillShare
    | ReleaseDecodeSlot
    | ReleaseLinkShare
    | OpenHold
    | CloseHold
    | CancelHold
    | ReportStateLoss
    | DeliverToken
    | CompleteResponse
    | RefuseRequest
)
