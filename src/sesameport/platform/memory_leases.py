"""Lease memory of replicas in advance, and release leases that are not used."""

import msgspec
from result import Err, Ok, Result

from sesameport.entry.requests import CallFailure, FailureKind, MemoryLease
from sesameport.platform import header_names
from sesameport.platform.short_calls import make_short_call

__all__ = ["lease_memory", "release_memory"]

LEASE_TIMEOUT_S = 0.2
"""Timeout of a call about a lease, seconds. A replica answers it in a round trip, also
while it is busy, and the request waits meanwhile."""


def lease_memory(
    address: str, server: str, tokens: int, seconds: float
) -> Result[MemoryLease, CallFailure]:
    """Lease memory and a slot of a replica, or return an Err with the reason.

    The failure is ``REFUSED`` if the replica has no room. ``tokens`` is the size of the
    request, and ``seconds`` the lifetime of the lease.
    """
    body = msgspec.json.encode({"tokens": tokens, "ttlMs": int(seconds * 1000)})
    headers = {
        "Content-Type": "application/json",
        header_names.EXPECT_INSTANCE: server,
    }
    match make_short_call(
        address, "POST", "/v1/hold-take", headers, LEASE_TIMEOUT_S, body
    ):
        case Err(error):
            return Err(CallFailure(FailureKind.UNREACHABLE, error))
        case Ok(answer):
            pass
    if answer.status == 503:
        return Err(CallFailure(FailureKind.REFUSED, "status 503"))
    if answer.status != 200:
        return Err(CallFailure(FailureKind.BROKEN, f"status {answer.status}"))
    try:
        lease_id = msgspec.json.decode(answer.body)["hold"]
    except (msgspec.DecodeError, RecursionError, KeyError, TypeError) as exc:
        return Err(CallFailure(FailureKind.BROKEN, f"lease answer: {exc!r}"))
    if not isinstance(lease_id, str) or not lease_id.isalnum():
        return Err(CallFailure(FailureKind.BROKEN, "lease answer without an id"))
    return Ok(MemoryLease(address, server, lease_id))


def release_memory(lease: MemoryLease) -> None:
    """Release a lease; if the call fails, it ends at its expiry."""
    path = f"/v1/hold-drop/{lease.lease_id}"
    make_short_call(lease.address, "DELETE", path, {}, LEASE_TIMEOUT_S)
