"""Split JSON into its members without decoding them.

Objects in the users' store may come from another writer. One that cannot be decoded,
for example for half of a surrogate pair or bytes that are no text, must not hide the
others of a listing.
"""

import re

import msgspec
from result import Err, Ok, Result

__all__ = ["compact_json", "decode_json", "split_array", "split_object"]

_ERRORS = (msgspec.DecodeError, RecursionError, ValueError, OverflowError)
"""Exceptions of msgspec for a value that is malformed, too deep or out of range."""

_TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{},:]|[^\[\]{},:"]+', re.DOTALL)
_CLOSING = {b"{": b"}", b"[": b"]"}


def decode_json(value: bytes) -> Result[object, str]:
    """Return a decoded value, or an Err with the reason, for any bytes."""
    try:
        return Ok(msgspec.json.decode(value))
    except _ERRORS as exc:
        return Err(f"invalid JSON: {exc}")


def compact_json(value: bytes) -> bytes:
    """Return a value without spaces, or unchanged if it is malformed."""
    try:
        return msgspec.json.format(value, indent=-1)
    except _ERRORS:
        return value


def split_object(value: bytes) -> Result[dict[str, bytes], str]:
    r"""Return the members of a JSON object as JSON, or an Err with the reason.

    A member whose name cannot be decoded is left out.

    Examples
    --------
    >>> split_object(b'{"a": "\\\\ud800", "b": [1]}').unwrap()
    {'a': b'"\\\\ud800"', 'b': b'[1]'}
    """
    try:
        raw = msgspec.json.decode(value, type=dict[str, msgspec.Raw])
        return Ok({name: bytes(member) for name, member in raw.items()})
    except _ERRORS:
        pass
    parts, members = _split(value, b"{"), {}
    if parts is None:
        return Err("not a JSON object")
    for key, separator, member in parts:
        if not separator:
            return Err("a member of an object without a value")
        match decode_json(key):
            case Ok(str(name)):
                members[name] = member.strip()
    return Ok(members)


def split_array(value: bytes) -> Result[list[bytes], str]:
    """Return the members of a JSON array as JSON, or an Err with the reason."""
    try:
        raw = msgspec.json.decode(value, type=list[msgspec.Raw])
        return Ok([bytes(member) for member in raw])
    except _ERRORS:
        pass
    parts = _split(value, b"[")
    if parts is None:
        return Err("not a JSON array")
    return Ok([b"".join(part).strip() for part in parts])


def _split(value: bytes, opening: bytes) -> list[tuple[bytes, bytes, bytes]] | None:
    """Return the text of each member before, at and after its first colon.

    Return None if the value is not an object or an array as a whole.
    """
    value = value.strip()
    if not value.startswith(opening):
        return None
    members, start, colon = [], 1, None
    for text, begin, end, depth in _tokens(value):
        if text == b":" and depth == 1 and colon is None:
            colon = begin
        if depth > 0 and not (text == b"," and depth == 1):
            continue
        if value[start:begin].strip():
            middle = begin if colon is None else colon
            after = min(middle + 1, begin)
            members.append(
                (value[start:middle], value[middle:after], value[after:begin])
            )
        if depth == 0:
            return members if end == len(value) else None
        start, colon = end, None
    return None


def _tokens(value: bytes):
    """Yield each token with its begin, its end and the depth of brackets after it.

    The tokens end before a text without an end or a bracket that does not match.
    """
    closing, position = [], 0
    while position < len(value):
        token = _TOKEN.match(value, position)
        if token is None:
            return
        text, position = token[0], token.end()
        if text in _CLOSING:
            closing.append(_CLOSING[text])
        elif text in (b"}", b"]") and (not closing or closing.pop() != text):
            return
        yield text, token.start(), position, len(closing)
