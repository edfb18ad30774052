"""Print the log records of one request."""

import pathlib
import sys
from collections.abc import Iterable
from typing import Annotated

import attrs
import cappa

from sesameport.commands.log_lines import iter_lines, parse_record

__all__ = ["Explain", "format_request_log"]

_LEADING_FIELDS = ("time", "host", "event")
_OMITTED_FIELDS = frozenset(
    {*_LEADING_FIELDS, "level", "logger", "request_id", "data_centre"}
)


def format_request_log(request_id: str, lines: Iterable[str]) -> list[str]:
    """Return the log records of a request as lines, in chronological order.

    Lines without a JSON object are skipped. Text before the object, such as the name
    of a container, is ignored.

    Examples
    --------
    >>> line = '{"time":"t1","host":"h","event":"request ended","request_id":"r"}'
    >>> format_request_log("r", [line])
    ['t1  h  request ended']
    """
    records = []
    for line in lines:
        if request_id not in line:
            continue
        record = parse_record(line)
        if record is not None and record.get("request_id") == request_id:
            records.append(record)
    records.sort(key=lambda record: str(record.get("time", "")))
    return [_format_record(record) for record in records]


def _format_record(record: dict) -> str:
    head = "  ".join(str(record.get(name, "-")) for name in _LEADING_FIELDS)
    fields = [
        f"{name}={value}"
        for name, value in record.items()
        if name not in _OMITTED_FIELDS and value not in ("", None, [])
    ]
    return f"{head}  {' '.join(fields)}" if fields else head


def _explain(command: "Explain") -> int:
    try:
        records = format_request_log(command.request_id, iter_lines(command.logs))
    except OSError as exc:
        print(f"{exc.filename}: {exc.strerror}", file=sys.stderr)
        return 1
    if not records:
        print(f"no log record of request {command.request_id}", file=sys.stderr)
        return 1
    print("\n".join(records))
    return 0


@cappa.command(name="explain", invoke=_explain)
@attrs.frozen
class Explain:
    """Print the log records of one request on all hosts, in chronological order.

    Exit code 0: found. 1: no record of the request, or a log file cannot be read. 2:
    wrong usage.
    """

    request_id: Annotated[str, cappa.Arg(help="Value of X-Request-Id")]
    logs: Annotated[
        list[pathlib.Path], cappa.Arg(help="Log files; default: standard input")
    ] = attrs.field(factory=list)
