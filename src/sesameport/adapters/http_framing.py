"""Find errors in the framing of HTTP/1 messages, see RFC 9112.

The rules are the same for the requests that a host receives (`strict_http`) and for the
responses that it reads (`strict_responses`).
"""

import re

__all__ = ["FieldReader", "field_values", "find_field_error", "is_chunk_size"]

_TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+\Z")
_LENGTH = re.compile(rb"[0-9]{1,18}\Z")
_CHUNK_SIZE = re.compile(rb"[0-9A-Fa-f]{1,16}[ \t]*(;[^\r\n]*)?\r\n\Z")


class FieldReader:
    """Read lines and record them.

    The parsers of cheroot and http.client keep no raw lines, and cheroot's mapping of
    headers hides duplicates.
    """

    def __init__(self, rfile):
        self.inner = rfile
        self.lines: list[bytes] = []

    def readline(self, *args) -> bytes:
        """Read and record a line."""
        line = self.inner.readline(*args)
        self.lines.append(line)
        return line


def is_chunk_size(line: bytes) -> bool:
    r"""Return whether a line states the size of a chunk and is complete.

    Examples
    --------
    >>> is_chunk_size(b"1f;name=value\r\n")
    True
    >>> is_chunk_size(b"1f")
    False
    """
    return _CHUNK_SIZE.match(line) is not None


def field_values(lines: list[bytes], name: bytes) -> list[bytes]:
    """Return the values of the header lines with a name, given in lower case."""
    parts = [line.partition(b":") for line in lines]
    return [value.strip() for found, _, value in parts if found.lower() == name]


def find_field_error(lines: list[bytes], is_http_11: bool) -> str:
    r"""Return the framing error in header lines, or an empty string.

    Examples
    --------
    >>> find_field_error([b"Content-Length: 5\r\n", b"Content-Length: 6\r\n"], True)
    'an ambiguous Content-Length'
    """
    lengths, codings = [], []
    for line in lines:
        if line in (b"\r\n", b""):
            continue
        if line[:1] in (b" ", b"\t"):
            return "a folded header line"
        name, separator, value = line.partition(b":")
        if not separator or not _TOKEN.match(name):
            return "a header name that is no token"
        if b"\x00" in value or b"\r" in value[:-2]:
            return "a control character in a header"
        match name.lower():
            case b"content-length":
                lengths.append(value.strip())
            case b"transfer-encoding":
                codings.append(value.strip().lower())
    if lengths and codings:
        return "both Content-Length and Transfer-Encoding"
    if len(lengths) > 1 or any(not _LENGTH.match(length) for length in lengths):
        return "an ambiguous Content-Length"
    if codings and (not is_http_11 or codings != [b"chunked"]):
        return "an unknown Transfer-Encoding"
    return ""
