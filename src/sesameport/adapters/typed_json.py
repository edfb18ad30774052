"""Decode JSON of other programs as types of this one."""

from typing import TypeVar

import msgspec
from result import Err, Ok, Result

__all__ = ["decode_as"]

T = TypeVar("T")

_ERRORS = (msgspec.MsgspecError, RecursionError, ValueError, OverflowError)
"""Exceptions of msgspec for a value that is malformed, too deep, out of range or of
another type."""


def decode_as(data: bytes, kind: type[T]) -> Result[T, str]:
    """Return the decoded value of a type, or an Err with the reason, for any bytes.

    Fields that the type does not have are ignored.

    Examples
    --------
    >>> decode_as(b'{"a": 1}', dict[str, int])
    Ok({'a': 1})
    >>> decode_as(b"[", dict).is_err()
    True
    """
    try:
        return Ok(msgspec.json.decode(data, type=kind))
    except _ERRORS as exc:
        return Err(f"invalid answer: {exc}")
