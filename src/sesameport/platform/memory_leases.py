"""Lease memory of replicas in advance, and release leases that are not used."""

import http.client
import time

import msgspec
import urllib3
from result import Err, Ok, Result

from sesameport.adapters.cancellable_socket import CancellableSocket
from sesameport.adapters.strict_responses import StrictClientConnection
from sesameport.entry.requests import CallFailure, FailureKind, MemoryLease
from sesameport.platform import header_names

__all__ = ["lease_memory", "release_memory"]

LEASE_TIMEOUT_S = 0.2
"""Timeout of a call about a lease, seconds. A replica answers it in a round trip, also
while it is busy, and the request waits meanwhile."""

MAX_ANSWER_BYTES = 16_384
"""Largest answer with its head, bytes. It contains the id of a lease."""

READ_SIZE_BYTES = 4_096
"""Largest part of an answer that is read at once, bytes."""

_HTTP_ERRORS = (
    urllib3.exceptions.HTTPError,
    http.client.HTTPException,
    OSError,
    ValueError,
)


def lease_memory(
    address: str, server: str, tokens: int, seconds: float, socket_options
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
    match _call(address, "POST", "/v1/hold-take", body, headers, socket_options):
        case Err(error):
            return Err(CallFailure(FailureKind.UNREACHABLE, error))
        case Ok((503, _)):
            return Err(CallFailure(FailureKind.REFUSED, "status 503"))
        case Ok((200, data)):
            pass
        case Ok((status, _)):
            return Err(CallFailure(FailureKind.BROKEN, f"status {status}"))
    try:
        lease_id = msgspec.json.decode(data)["hold"]
    except (msgspec.DecodeError, KeyError, TypeError) as exc:
        return Err(CallFailure(FailureKind.BROKEN, f"lease answer: {exc!r}"))
    if not isinstance(lease_id, str) or not lease_id.isalnum():
        return Err(CallFailure(FailureKind.BROKEN, "lease answer without an id"))
    return Ok(MemoryLease(address, server, lease_id))


def release_memory(lease: MemoryLease, socket_options) -> None:
    """Release a lease; if the call fails, it ends at its expiry."""
    path = f"/v1/hold-drop/{lease.lease_id}"
    _call(lease.address, "DELETE", path, None, {}, socket_options)


def _call(
    address: str, method: str, path: str, body, headers, socket_options
) -> Result[tuple[int, bytes], str]:
    host, _, port = address.rpartition(":")
    conn = StrictClientConnection(
        host, int(port), timeout=LEASE_TIMEOUT_S, socket_options=socket_options
    )
    try:
        conn.connect()
        deadline = time.monotonic() + LEASE_TIMEOUT_S
        conn.sock = sock = CancellableSocket.wrap(conn.sock, None, deadline)
        sock.allow_bytes(MAX_ANSWER_BYTES)
        conn.request(
            method,
            path,
            body=body,
            headers=headers,
            preload_content=False,
            decode_content=False,
        )
        response = conn.getresponse()
        return Ok((response.status, _read_body(response)))
    except _HTTP_ERRORS as exc:
        return Err(repr(exc))
    finally:
        conn.close()


def _read_body(response: urllib3.response.HTTPResponse) -> bytes:
    """Return a body that is read in small parts, because a length may be any number."""
    if response.chunked:
        parts = response.read_chunked(READ_SIZE_BYTES, decode_content=False)
        return b"".join(parts)
    parts = []
    while part := response.read1(READ_SIZE_BYTES, decode_content=False):
        parts.append(part)
    return b"".join(parts)
