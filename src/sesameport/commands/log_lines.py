"""Read the JSON records of log files one by one."""

import json
import pathlib
import sys
from collections.abc import Iterable, Iterator

__all__ = ["iter_lines", "parse_record"]


def iter_lines(paths: Iterable[pathlib.Path]) -> Iterator[str]:
    """Yield the lines of all files in turn, or of standard input without files.

    One line is held at a time, because the logs of a large fleet exceed the memory.
    """
    found = False
    for path in paths:
        found = True
        with path.open(errors="replace") as file:
            yield from file
    if not found:
        yield from sys.stdin


def parse_record(line: str) -> dict | None:
    """Return the record of a line, or None if it has no JSON object.

    Text before the object, such as the name of a container, is ignored.

    Examples
    --------
    >>> parse_record('edge-a-1 {"event": "started"}')
    {'event': 'started'}
    """
    start = line.find("{")
    if start < 0:
        return None
    try:
        record = json.loads(line[start:])
    except json.JSONDecodeError:
        return None
    return record if isinstance(record, dict) else None
