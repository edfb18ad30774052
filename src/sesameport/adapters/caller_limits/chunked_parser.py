r"""Parse chunked bodies from the bytes of a connection as they arrive.

A body of one-byte chunks has six bytes on the wire for each of its own, and a call per
chunk would cost more than the rest of the request. Chunks of one size in succession are
therefore parsed together. All sizes are bounded before anything is kept.

Examples
--------
>>> parser = ChunkedParser(CallerBounds.for_machine(), 100)
>>> parser.feed(b"5\r\nhello\r\n0\r\n\r\nGET")
>>> parser.is_complete, parser.body(), parser.rest
(True, b'hello', b'GET')
"""

import io

from sesameport.adapters.caller_limits.bounds import BodyRefused, CallerBounds
from sesameport.adapters.http_framing import is_chunk_size
from sesameport.adapters.strict_http import FramingError

__all__ = ["ChunkedParser"]

MIN_RUN = 16
MAX_RUN = 4_096
"""Chunks of one size that are parsed together. The number doubles with each run and
falls back after a failure, so that failed attempts cost less than parsed chunks."""

MAX_RUN_CHUNK_BYTES = 64

FREE_BYTES = 16_384
"""Bytes on the wire before a body can count as expensive."""

WANTED_BYTES = 1_048_576
"""Bytes that are always welcome, as what follows the body is kept."""

_CRLF = b"\r\n"


class ChunkedParser:
    """Parse one chunked body.

    Parameters
    ----------
    bounds : CallerBounds
        Bounds of trailers, size lines and extensions.
    max_bytes : int
        Largest body without its framing, bytes.

    Attributes
    ----------
    is_complete : bool
        Whether the body and its trailers have ended.
    size : int
        Size of the body so far, bytes.
    rest : bytes
        Bytes that are not parsed: the begin of a line, or what follows the body.
    """

    def __init__(self, bounds: CallerBounds, max_bytes: int):
        self._bounds = bounds
        self._max_bytes = max_bytes
        self._out = io.BytesIO()
        # A bound method here would keep the body until the next garbage collection.
        self._step = ChunkedParser._parse_size
        self._left = 0
        self._last_line = b""
        self._run = MIN_RUN
        self._framing_bytes = 0
        self._chunks = 0
        self._extension_bytes = 0
        self._trailer_bytes = 0
        self.is_complete = False
        self.size = 0
        self.rest = b""

    def feed(self, data: bytes) -> None:
        """Parse the next bytes.

        Raises
        ------
        FramingError
            If the chunks are malformed.
        BodyRefused
            If the body exceeds a bound.
        """
        if self.rest:
            data = self.rest + data
        position = 0
        while not self.is_complete:
            following = self._step(self, data, position)
            if following < 0:
                break
            position = following
        self.rest = data[position:]

    def body(self) -> bytes:
        """Return the body so far, without a copy if it is complete."""
        return self._out.getvalue()

    def held_bytes(self) -> int:
        """Return the bytes that the parser keeps."""
        return self.size + len(self.rest)

    def wanted_bytes(self) -> int:
        """Return how many bytes may be read at once."""
        return WANTED_BYTES

    def is_expensive(self) -> bool:
        """Return whether the chunks are so small that parsing them takes long."""
        if self.size + self._framing_bytes < FREE_BYTES:
            return False
        return self._chunks * self._bounds.small_chunk_bytes > self.size

    # Each step returns the position behind what it parsed, or -1 if it needs more data.

    def _parse_size(self, data: bytes, position: int) -> int:
        end = self._find_line_end(data, position, self._bounds.max_chunk_line_bytes)
        if end < 0:
            return -1
        line = data[position:end]
        if line == self._last_line:
            run_end = self._parse_run(data, position, line)
            if run_end:
                return run_end
        elif not is_chunk_size(line):
            raise FramingError("chunk size is no hexadecimal number")
        digits, _, extension = line.partition(b";")
        size = int(digits, 16)
        if extension:
            self._extension_bytes += len(extension)
            if self._extension_bytes > self._bounds.max_extension_bytes:
                raise BodyRefused(413, "extensions", "chunk extensions are too long")
        self._framing_bytes += len(line) + 2
        if size == 0:
            self._step = ChunkedParser._parse_trailer
            return end
        if self.size + size > self._max_bytes:
            raise BodyRefused(413, "body-bytes", "body is too large")
        self._chunks += 1
        self._last_line = line
        behind = end + size + 2
        if data[behind - 2 : behind] == _CRLF:
            self._out.write(data[end : behind - 2])
            self.size += size
            return behind
        self._left = size
        self._step = ChunkedParser._parse_data
        return end

    def _parse_run(self, data: bytes, position: int, line: bytes) -> int:
        """Parse chunks with the same size line; return the position behind, or 0."""
        if b";" in line:
            return 0
        size = int(line, 16)
        stride = len(line) + size + 2
        count = min(
            (len(data) - position) // stride,
            self._run,
            (self._max_bytes - self.size) // size,
        )
        if size > MAX_RUN_CHUNK_BYTES or count < MIN_RUN:
            return 0
        end = position + count * stride
        block = data[position:end]
        for offset, byte in (*enumerate(line), (stride - 2, 13), (stride - 1, 10)):
            if block[offset::stride].count(byte) != count:
                self._run = MIN_RUN
                return 0
        body = bytearray(count * size)
        for offset in range(size):
            body[offset::size] = block[len(line) + offset :: stride]
        self._out.write(body)
        self.size += len(body)
        self._chunks += count
        self._framing_bytes += len(block) - len(body)
        self._run = min(MAX_RUN, self._run * 2)
        return end

    def _parse_data(self, data: bytes, position: int) -> int:
        part = memoryview(data)[position : position + self._left]
        if not part:
            return -1
        self._out.write(part)
        self.size += len(part)
        self._left -= len(part)
        if not self._left:
            self._step = ChunkedParser._parse_data_end
        return position + len(part)

    def _parse_data_end(self, data: bytes, position: int) -> int:
        found = data[position : position + 2]
        if found == _CRLF:
            self._step = ChunkedParser._parse_size
            return position + 2
        if not _CRLF.startswith(found):
            raise FramingError("chunk is longer than its size")
        return -1

    def _parse_trailer(self, data: bytes, position: int) -> int:
        bounds = self._bounds
        limit = min(
            bounds.max_trailer_line_bytes,
            bounds.max_trailer_bytes - self._trailer_bytes,
        )
        end = self._find_line_end(data, position, max(2, limit), 431, "trailers")
        if end < 0:
            return -1
        if data[end - 2 : end] != _CRLF:
            raise FramingError("HTTP requires CRLF terminators")
        self._trailer_bytes += end - position
        self.is_complete = end - position == 2
        return end

    def _find_line_end(
        self, data: bytes, position: int, limit: int, status=413, bound="chunk-lines"
    ) -> int:
        """Return the position behind a line, or -1 if it is not complete yet."""
        end = data.find(b"\n", position, position + limit) + 1
        if end:
            return end
        if len(data) - position >= limit:
            raise BodyRefused(status, bound, f"line exceeds {limit} bytes")
        return -1
