"""Make calls to replicas whose answers are short, with bounds on time and size."""

import http.client
import socket
import time
from collections.abc import Mapping

import attrs
import urllib3
from result import Err, Ok, Result

from sesameport.adapters.cancellable_socket import CancellableSocket
from sesameport.adapters.sockets import SERVER_KEEPALIVE_OPTIONS
from sesameport.adapters.strict_responses import StrictClientConnection

__all__ = ["HTTP_ERRORS", "SOCKET_OPTIONS", "ShortAnswer", "make_short_call"]

MAX_ANSWER_BYTES = 65_536
"""Largest answer with its head, bytes. The largest is the report of a replica, which
lists its running requests. A faulty replica may send an answer without an end."""

READ_SIZE_BYTES = 4_096
"""Largest part of an answer that is read at once, bytes."""

HTTP_ERRORS = (
    urllib3.exceptions.HTTPError,
    http.client.HTTPException,
    OSError,
    ValueError,
)
"""Errors of a call to a replica, whether it was sent or not."""

SOCKET_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    *SERVER_KEEPALIVE_OPTIONS,
]


@attrs.frozen
class ShortAnswer:
    """Represent the status, headers and whole body of an answer."""

    status: int
    headers: Mapping[str, str]
    body: bytes


def make_short_call(
    address: str,
    method: str,
    path: str,
    headers: Mapping[str, str],
    timeout_s: float,
    body: bytes | None = None,
) -> Result[ShortAnswer, str]:
    """Make a call on a connection of its own, or return an Err with the reason.

    ``address`` is the ``IP:port`` of the replica. Connecting and the answer each take
    up to ``timeout_s`` seconds.
    """
    host, _, port = address.rpartition(":")
    conn = StrictClientConnection(
        host, int(port), timeout=timeout_s, socket_options=SOCKET_OPTIONS
    )
    try:
        conn.connect()
        deadline = time.monotonic() + timeout_s
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
        return Ok(ShortAnswer(response.status, response.headers, _read_body(response)))
    except HTTP_ERRORS as exc:
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
