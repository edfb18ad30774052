"""Print what the logs say of one request."""

import json
import pathlib
import sys
from collections.abc import Iterable
from typing import Annotated

import attrs
import cappa

__all__ = ["Explain", "explain"]

_HEAD = ("time", "host", "event")
_HIDDEN = frozenset({*_HEAD, "level", "logger", "request_id", "data_centre"})


def explain(request_id: str, lines: Iterable[str]) -> list[str]:
    """Return the story of a request, one line for each record, in the order of time.

    Lines that are no JSON objects are passed over; text before the object, such as the
    name of a container, is ignored.

    Examples
    --------
    >>> line = '{"time":"t1","host":"h","event":"request ended","request_id":"r"}'
    >>> explain("r", [line])
    ['t1  h  request ended']
    """
    found = []
    for line in lines:
        start = line.find("{")
        if start < 0 or request_id not in line:
            continue
        try:
            record = json.loads(line[start:])
        except json.JSONDecodeError:
            continue
        if isinstance(record, dict) and record.get("request_id") == request_id:
            found.append(record)
    found.sort(key=lambda record: str(record.get("time", "")))
    return [_format(record) for record in found]


def _format(record: dict) -> str:
    head = "  ".join(str(record.get(name, "-")) for name in _HEAD)
    fields = [
        f"{name}={value}"
        for name, value in record.items()
        if name not in _HIDDEN and value not in ("", None, [])
    ]
    return f"{head}  {' '.join(fields)}" if fields else head


def _explain(command: "Explain") -> int:
    lines: list[str] = []
    for path in command.logs:
        try:
            lines.extend(path.read_text(errors="replace").splitlines())
        except OSError as exc:
            print(f"{path}: {exc.strerror}", file=sys.stderr)
            return 1
    if not command.logs:
        lines.extend(sys.stdin)
    story = explain(command.request_id, lines)
    if not story:
        print(f"no log line names request {command.request_id}", file=sys.stderr)
        return 1
    print("\n".join(story))
    return 0


@cappa.command(name="explain", invoke=_explain)
@attrs.frozen
class Explain:
    """Print what the logs of all hosts say of one request, in the order of time.

    It exits with 1 when no line names the request.
    """

    request_id: Annotated[str, cappa.Arg(help="Value of X-Request-Id")]
    logs: Annotated[
        list[pathlib.Path], cappa.Arg(help="Log files; standard input without any")
    ] = attrs.field(factory=list)
