r"""Read HTTP responses strictly, for all connections of urllib3.

http.client ends a head at the end of the connection as well as at an empty line, and
drops all headers after a malformed line. A response that a server broke off can then
look complete. The classes here raise `ResponseFramingError` for it; urllib3 reports
that as its own `ProtocolError` where it reports other errors of http.client in this
way.

Examples
--------
>>> pool = StrictConnectionPool("127.0.0.1", 8080, retries=False)
"""

import http.client
import re

import urllib3
from urllib3.connection import HTTPConnection, HTTPSConnection

from sesameport.adapters.http_framing import (
    FieldReader,
    find_field_error,
)

__all__ = [
    "MAX_HEAD_BYTES",
    "ResponseFramingError",
    "StrictClientConnection",
    "StrictConnectionPool",
    "StrictPoolManager",
]

MAX_HEAD_BYTES = 65_536
"""Largest status line and headers, with those of interim responses, bytes."""

_STATUS_LINE = re.compile(rb"HTTP/1\.([01]) [1-9][0-9]{2}( [^\r\n]*)?\r?\n\Z")
_BLANK_LINES = (b"\r\n", b"\n")


class ResponseFramingError(http.client.HTTPException):
    """Raised for a response whose head is malformed or cut off."""


class _HeadReader(FieldReader):
    """Read the lines of a head and raise an error if it is cut off or endless.

    After the head, ``lines`` has the lines of the final response only.
    """

    _bytes_left = MAX_HEAD_BYTES

    def readline(self, limit: int = -1) -> bytes:
        """Read a line; an empty one, before the first byte, is the end of the file."""
        if self.lines and self.lines[-1] in _BLANK_LINES:
            self.lines.clear()
        line = super().readline(limit)
        self._bytes_left -= len(line)
        if self._bytes_left < 0:
            raise ResponseFramingError(f"head exceeds {MAX_HEAD_BYTES} bytes")
        is_cut_off = not line.endswith(b"\n") and not 0 <= limit <= len(line)
        if is_cut_off and (line or len(self.lines) > 1):
            raise ResponseFramingError("connection ended inside the head")
        return line

    def close(self) -> None:
        """Close the file."""
        self.inner.close()


class StrictResponse(http.client.HTTPResponse):
    """Read a response whose head must be whole."""

    def begin(self) -> None:
        """Read the head.

        Raises
        ------
        ResponseFramingError
            If the connection ends inside the head, or the head is malformed.
        """
        if self.headers is not None:
            return
        reader = _HeadReader(self.fp)
        self.fp = reader
        try:
            super().begin()
        finally:
            if self.fp is reader:
                self.fp = reader.inner
        problem = _find_head_error(reader.lines)
        if problem:
            raise ResponseFramingError(problem)


def _find_head_error(lines: list[bytes]) -> str:
    """Return the error in a status line and headers, or an empty string."""
    status = _STATUS_LINE.match(lines[0])
    if status is None:
        return "a malformed status line"
    return find_field_error(lines[1:-1], is_http_11=status[1] == b"1")


class StrictClientConnection(HTTPConnection):
    """Connect to a server whose responses are read strictly."""

    response_class = StrictResponse


class _StrictTlsConnection(HTTPSConnection):
    response_class = StrictResponse


class StrictConnectionPool(urllib3.HTTPConnectionPool):
    """Pool connections to one server whose responses are read strictly."""

    ConnectionCls = StrictClientConnection


class _StrictTlsPool(urllib3.HTTPSConnectionPool):
    ConnectionCls = _StrictTlsConnection


class StrictPoolManager(urllib3.PoolManager):
    """Pool connections to any servers whose responses are read strictly."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.pool_classes_by_scheme = {
            "http": StrictConnectionPool,
            "https": _StrictTlsPool,
        }
