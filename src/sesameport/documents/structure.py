"""Convert TOML text to attrs classes and collect all problems."""

import tomllib
from typing import TypeVar

import cattrs

from sesameport.domain import Finding

__all__ = ["structure_toml"]

T = TypeVar("T")

_CONVERTER = cattrs.Converter(forbid_extra_keys=True, detailed_validation=True)


def _structure_number(value, _type):
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise TypeError(f"expected a number, got {value!r}")
    return float(value)


def _make_type_check(expected):
    def structure(value, _type):
        if not isinstance(value, expected) or (
            expected is int and isinstance(value, bool)
        ):
            raise TypeError(f"expected {expected.__name__}, got {value!r}")
        return value

    return structure


_CONVERTER.register_structure_hook(float, _structure_number)
for _expected in (int, str, bool):
    _CONVERTER.register_structure_hook(_expected, _make_type_check(_expected))


def structure_toml(
    text: str, file: str, target: type[T]
) -> tuple[T | None, list[Finding]]:
    """Convert TOML text to an attrs class and return it with the findings.

    Unknown fields, wrong types and missing fields are all reported. A TOML syntax
    error, such as a duplicate key, is a single finding with its line and column.
    """
    try:
        data = tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        return None, [Finding(file, "syntax", str(exc))]
    try:
        return _CONVERTER.structure(data, target), []
    except cattrs.BaseValidationError as exc:
        return None, [_to_finding(file, line) for line in cattrs.transform_error(exc)]


def _to_finding(file: str, line: str) -> Finding:
    message, separator, path = line.rpartition(" @ ")
    if not separator:
        return Finding(file, "$", line)
    return Finding(file, path.removeprefix("$.") or "$", message)
