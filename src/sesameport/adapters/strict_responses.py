r"""Read HTTP responses strictly, for all connections of urllib3.

http.client ends a head at the end of the connection as well as at an empty line, drops
all headers after a malformed line, and reads a chunk size that was cut off as a smaller
one. A response that a server broke off can then look complete. The classes here raise
`ResponseFramingError` for it; urllib3 reports that as its own `ProtocolError` where it
reports other errors of http.client in this way.

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
    is_chunk_size,
)

__all__ = [
    "MAX_HEAD_BYTES",
    "ResponseFramingError",
    "SingleUsePool",
    "StrictClientConnection",
    "StrictConnectionPool",
    "StrictPoolManager",
]

MAX_HEAD_BYTES = 65_536
"""Largest status line and headers, with those of interim responses, bytes."""

_STATUS_LINE = re.compile(rb"HTTP/1\.([01]) [1-5][0-9]{2}( [^\r\n]*)?\r?\n\Z")
_ANY_STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-9][0-9]{2}\b")
_BLANK_LINES = (b"\r\n", b"\n")


class ResponseFramingError(http.client.HTTPException):
    """Raised for a response whose head or chunks are malformed or cut off."""


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


class _ChunkReader:
    """Validate the framing of chunks that another parser reads.

    The parsers of http.client and urllib3 read each size as a line, then the data in
    parts that don't exceed it, and then two bytes that they don't look at.
    """

    def __init__(self, rfile):
        self._inner = rfile
        self._left = 0
        self._is_last = False
        self._trailer_bytes = 0

    def readline(self, limit: int = -1) -> bytes:
        """Read a chunk size, or a line after the last chunk."""
        line = self._inner.readline(limit)
        if self._is_last:
            self._trailer_bytes += len(line)
            if self._trailer_bytes > MAX_HEAD_BYTES:
                raise ResponseFramingError(f"trailers exceed {MAX_HEAD_BYTES} bytes")
            return line
        if not is_chunk_size(line):
            raise ResponseFramingError(f"invalid chunk size {line[:20]!r}")
        self._left = int(line.partition(b";")[0], 16)
        self._is_last = self._left == 0
        return line

    def read(self, size: int = -1) -> bytes:
        """Read data of a chunk, or the end of its line."""
        return self._check(self._inner.read(size))

    def read1(self, size: int = -1) -> bytes:
        """Read data of a chunk with at most one call to the socket."""
        return self._check(self._inner.read1(size))

    def readinto(self, buffer) -> int:
        """Read data of a chunk into a buffer."""
        count = self._inner.readinto(buffer)
        self._check(bytes(buffer[:count]))
        return count

    def _check(self, data: bytes) -> bytes:
        if self._left:
            self._left -= len(data)
        elif not b"\r\n".startswith(data):
            raise ResponseFramingError(f"chunk is followed by {data!r}")
        return data

    def flush(self) -> None:
        """Do nothing, as the file is only read."""

    def close(self) -> None:
        """Close the file."""
        self._inner.close()


class _ResetReader:
    """Read a body that ends with a connection which was reset.

    The system reports a reset once. If sending the request got it, reads return what
    had arrived, and then an end that looks orderly.
    """

    def __init__(self, rfile):
        self._inner = rfile

    def read(self, size: int = -1) -> bytes:
        """Read data of the body."""
        data = self._inner.read(size)
        self._check_end(0 if size < 0 else len(data))
        return data

    def read1(self, size: int = -1) -> bytes:
        """Read data of the body with at most one call to the socket."""
        data = self._inner.read1(size)
        self._check_end(len(data))
        return data

    def readinto(self, buffer) -> int:
        """Read data of the body into a buffer."""
        count = self._inner.readinto(buffer)
        self._check_end(count)
        return count

    def _check_end(self, count: int) -> None:
        if count == 0:
            raise ConnectionResetError("reset while the request was being sent")

    def flush(self) -> None:
        """Do nothing, as the file is only read."""

    def close(self) -> None:
        """Close the file."""
        self._inner.close()


class StrictResponse(http.client.HTTPResponse):
    """Read a response whose head and chunks must be whole.

    Parameters
    ----------
    was_reset : bool
        Whether the connection was reset while the request was being sent. A body that
        ends with the connection is not whole then; one with a length or chunks shows
        its own end.
    """

    def __init__(self, *args, was_reset: bool = False, **kwargs):
        super().__init__(*args, **kwargs)
        self._was_reset = was_reset

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
        if self.chunked:
            self.fp = _ChunkReader(self.fp)
        elif self._was_reset and self.length is None:
            self.fp = _ResetReader(self.fp)


def _find_head_error(lines: list[bytes]) -> str:
    """Return the error in a status line and headers, or an empty string."""
    status = _STATUS_LINE.match(lines[0])
    if status is None:
        return "a malformed status line"
    # A server that breaks off inside a head may send another response behind it. The
    # line that was cut off then continues with the second status line.
    if _ANY_STATUS_LINE.search(b"".join(lines), 1):
        return "a status line inside the head"
    return find_field_error(lines[1:-1], is_http_11=status[1] == b"1")


class _StrictResponses:
    """Read the responses of a connection strictly; mix in before its class."""

    _was_reset = False

    def request(self, *args, **kwargs) -> None:
        """Send a request.

        Raises
        ------
        BrokenPipeError, ConnectionResetError
            If the server closed or reset the connection meanwhile. It may have sent a
            response before, which can be read.
        """
        self._was_reset = False
        try:
            super().request(*args, **kwargs)
        except (BrokenPipeError, ConnectionResetError):
            self._was_reset = True
            raise

    def response_class(self, *args, **kwargs) -> StrictResponse:
        """Return the reader of the response to the last request."""
        return StrictResponse(*args, was_reset=self._was_reset, **kwargs)


class StrictClientConnection(_StrictResponses, HTTPConnection):
    """Connect to a server whose responses are read strictly."""


class _StrictTlsConnection(_StrictResponses, HTTPSConnection):
    pass


class StrictConnectionPool(urllib3.HTTPConnectionPool):
    """Pool connections to one server whose responses are read strictly."""

    ConnectionCls = StrictClientConnection


class SingleUsePool(StrictConnectionPool):
    """Open a connection to one server for each request, and close it afterwards.

    A backend server may send an answer twice, the second time late. On a connection in
    use again the second copy would be read as the answer to the next request. Such a
    connection can also be dead without having been closed.
    """

    def _put_conn(self, conn) -> None:
        if conn is not None:
            conn.close()


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
