"""Reject requests with ambiguous or malformed framing in cheroot.

If a proxy and a server disagree on where a request ends, an attacker can smuggle a
second request past the proxy. RFC 9112 (sections 3.2, 5.1, 6.3 and 7.1) requires
status 400 and a closed connection.
"""

import re
import socket
import struct

from cheroot.makefile import MakeFile, StreamWriter
from cheroot.server import HTTPConnection, HTTPRequest

from sesameport.adapters.http_framing import (
    FieldReader,
    field_values,
    find_field_error,
)

__all__ = ["FramingError", "StrictConnection", "StrictRequest", "find_framing_error"]

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_REASON_PHRASES = {
    400: "Bad Request",
    408: "Request Timeout",
    413: "Content Too Large",
    431: "Request Header Fields Too Large",
    503: "Service Unavailable",
}
"""Phrases of the statuses with which requests are refused before they are handled."""

_METHOD = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+\Z")
_TARGET = re.compile(rb"[\x21-\x7e]+\Z")


class FramingError(ValueError):
    """Report a request body with malformed framing."""


def find_framing_error(lines: list[bytes], is_http_11: bool) -> str:
    r"""Return the framing error in a request's header lines, or an empty string.

    Examples
    --------
    >>> find_framing_error([b"Host: a\r\n", b"Host: b\r\n"], True)
    'more than one Host'
    """
    problem = find_field_error(lines, is_http_11)
    if problem:
        return problem
    hosts = field_values(lines, b"host")
    if len(hosts) > 1:
        return "more than one Host"
    if is_http_11 and not hosts:
        return "no Host"
    return ""


class StrictRequest(HTTPRequest):
    """Parse requests strictly and keep their headers as received.

    Attributes
    ----------
    header_pairs : tuple of (str, str)
        Header names and values in the order received, duplicates included.
    """

    header_pairs: tuple[tuple[str, str], ...] = ()

    def read_request_headers(self) -> bool:
        """Return whether the headers are valid; if not, answer 400 and close."""
        recorder = FieldReader(self.rfile)
        self.rfile = recorder
        try:
            success = super().read_request_headers()
        finally:
            self.rfile = recorder.inner
        if not success:
            return False
        is_http_11 = self.response_protocol == "HTTP/1.1"
        problem = find_framing_error(recorder.lines, is_http_11)
        if not problem and not _METHOD.match(self.method):
            problem = "a method that is no token"
        if not problem and not _TARGET.match(self.uri):
            problem = "a request target with control characters"
        if problem:
            self.reject(problem)
            return False
        self.header_pairs = tuple(
            (name.decode("latin-1"), value.strip().decode("latin-1"))
            for name, _, value in (line.partition(b":") for line in recorder.lines)
            if name.strip()
        )
        if b"close" in self.inheaders.get(b"Connection", b"").lower():
            self.close_connection = True
        return True

    def reject(self, problem: str) -> None:
        """Answer 400 and close the connection."""
        self.refuse(400, problem)

    def refuse(self, status: int, reason: str, headers=()) -> None:
        """Answer with a status and a line of text, and close the connection."""
        body = f"{reason}\n".encode()
        self.status = f"{status} {_REASON_PHRASES[status]}".encode()
        self.close_connection = True
        self.outheaders = [
            (b"Content-Type", b"text/plain"),
            *headers,
            (b"Content-Length", str(len(body)).encode()),
            (b"Connection", b"close"),
        ]
        self.ensure_headers_sent()
        if self.method != b"HEAD":
            self.conn.wfile.write(body)


class _DirectWriter(StreamWriter):
    """Write to a socket at once.

    The class of cheroot copies all data into a buffer that it empties before it
    returns, which costs as much time as sending an event.
    """

    def write(self, data: bytes) -> int:
        """Send all of the data."""
        self._checkClosed()
        left = memoryview(data)
        while left:
            sent = self.raw.write(left)
            if sent is None:
                raise BlockingIOError("the socket does not block")
            left = left[sent:]
        self.bytes_written += len(data)
        return len(data)


def _make_file(sock: socket.socket, mode: str, size: int):
    return MakeFile(sock, mode, size) if "r" in mode else _DirectWriter(sock, mode)


class StrictConnection(HTTPConnection):
    """Parse the requests of a connection with ``StrictRequest``."""

    RequestHandlerClass = StrictRequest
    resets_on_close = False

    def __init__(self, server, sock, makefile=MakeFile):
        super().__init__(server, sock, _make_file if makefile is MakeFile else makefile)

    def close(self) -> None:
        """Close the connection, with a reset if ``resets_on_close`` is set.

        A response with neither a length nor chunks ends with its connection. If it is
        incomplete, only a reset shows that.
        """
        if not self.resets_on_close:
            super().close()
            return
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self.rfile.close()
        self.socket.close()
