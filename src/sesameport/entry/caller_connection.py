"""Watch the connection of a caller, and write the response to it."""

import select
import socket
from collections.abc import Callable

from sesameport.adapters.strict_http import StrictRequest
from sesameport.entry.requests import CallerDisconnected

__all__ = ["CallerSocket", "HttpResponseWriter"]

_REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    408: "Request Timeout",
    413: "Content Too Large",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class CallerSocket:
    """Check the connection of a caller; implements ``CallerConnection``."""

    def __init__(self, sock: socket.socket):
        self._sock = sock

    def fileno(self) -> int:
        """Return the file descriptor of the connection."""
        return self._sock.fileno()

    def is_disconnected(self) -> bool:
        """Return whether the caller closed or reset its connection."""
        fd = self._sock.fileno()
        if fd < 0:
            return True
        poller = select.poll()
        poller.register(fd, select.POLLIN)
        if not poller.poll(0):
            return False
        try:
            return self._sock.recv(1, socket.MSG_PEEK) == b""
        except (BlockingIOError, TimeoutError):
            return False
        except OSError:
            return True


class HttpResponseWriter:
    """Write the response to one request; implements ``outcomes.ResponseWriter``.

    Parameters
    ----------
    req : StrictRequest
        Request to respond to.
    is_draining : callable
        Returns whether the process is stopping, so that connections are closed.
    """

    def __init__(self, req: StrictRequest, is_draining: Callable[[], bool]):
        self._req = req
        self._is_draining = is_draining

    def send_complete(self, status: int, headers, body: bytes) -> None:
        """Send a complete response."""
        self._send_head(status, [*headers, ("Content-Length", str(len(body)))])
        if self._req.method != b"HEAD":
            self._write(body)

    def refuse(
        self, status: int, reason: str, retry_after_s: float | None = None
    ) -> None:
        """Send a refusal by the router itself."""
        headers = [("Content-Type", "text/plain")]
        if retry_after_s is not None:
            headers.append(("Retry-After", f"{retry_after_s:.2f}"))
        self.send_complete(status, headers, f"{reason}\n".encode())

    def start(self, status: int, headers) -> None:
        """Send the status and headers of a stream, which is sent in chunks."""
        self._send_head(status, headers)

    def send(self, data: bytes) -> None:
        """Send a part of a stream."""
        self._write(data)

    def finish(self) -> None:
        """Let cheroot end the stream as complete."""

    def abort(self) -> None:
        """Close the connection without the end of the stream."""
        req = self._req
        # A caller of HTTP/1.0 gets no chunks.
        req.conn.resets_on_close = req.sent_headers and not req.chunked_write
        req.chunked_write = False
        req.close_connection = True
        req.sent_headers = True

    def _send_head(self, status: int, headers) -> None:
        req = self._req
        reason = _REASON_PHRASES.get(status, "Status")
        req.status = f"{status} {reason}".encode()
        req.outheaders = [
            (name.encode("latin-1"), value.encode("latin-1")) for name, value in headers
        ]
        if self._is_draining():
            req.close_connection = True
        try:
            req.ensure_headers_sent()
        except OSError as exc:
            raise CallerDisconnected from exc

    def _write(self, data: bytes) -> None:
        try:
            self._req.write(data)
        except OSError as exc:
            raise CallerDisconnected from exc
