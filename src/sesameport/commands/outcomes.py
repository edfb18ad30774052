"""Summarize how the requests in the logs of entry hosts ended, and why."""

import collections
import pathlib
import sys
from collections.abc import Iterable
from typing import Annotated

import attrs
import cappa

from sesameport.commands.log_lines import iter_lines, parse_record

__all__ = ["OutcomeSummary", "Outcomes"]

MAX_ROWS = 40
"""Number of rows of one table; the reasons of failures contain free text."""

REASON_LENGTH = 48
"""Length to which a reason is truncated, which groups causes with different details."""


@attrs.define
class OutcomeSummary:
    """Count ended requests by outcome and failed attempts by step.

    Examples
    --------
    >>> summary = OutcomeSummary(target_s=0.9)
    >>> summary.add({"event": "request ended", "outcome": "served", "first_s": 0.2})
    >>> summary.to_text().splitlines()[0]
    'requests: 1, served in time 1, other 0'
    """

    target_s: float
    _outcomes: collections.Counter = attrs.field(factory=collections.Counter)
    _attempts: collections.Counter = attrs.field(factory=collections.Counter)

    def add(self, record: dict) -> None:
        """Count a log record; records of other events are ignored."""
        event = record.get("event")
        if event == "attempt failed":
            key = tuple(
                str(record.get(name, ""))[:REASON_LENGTH]
                for name in ("call", "failure", "detail")
            )
            self._attempts[key] += 1
            return
        if event != "request ended":
            return
        kind, outcome = str(record.get("kind", "")), str(record.get("outcome", ""))
        reason = str(record.get("reason", ""))[:REASON_LENGTH]
        if outcome == "served":
            outcome, reason = self._classify_served(record)
        self._outcomes[kind, outcome, reason] += 1

    def _classify_served(self, record: dict) -> tuple[str, str]:
        first_s = record.get("first_s") or 0.0
        if first_s <= self.target_s:
            return "served", ""
        waited_s = record.get("waited_s") or 0.0
        if waited_s > first_s / 2:
            return "late", "waited for memory"
        return "late", "several sends" if record.get("sends", 0) > 1 else "one send"

    def to_text(self) -> str:
        """Return the tables as text; shares are of all ended requests."""
        total = sum(self._outcomes.values())
        in_time = sum(
            count for key, count in self._outcomes.items() if key[1] == "served"
        )
        lines = [
            f"requests: {total}, served in time {in_time}, other {total - in_time}"
        ]
        rows = [row for row in self._outcomes.most_common() if row[0][1] != "served"]
        lines.extend(_format_rows(("kind", "outcome", "reason"), rows, total))
        attempts = self._attempts.most_common()
        if attempts:
            lines.append("")
            lines.extend(_format_rows(("call", "failure", "detail"), attempts, total))
        return "\n".join(lines)


def _format_rows(names: tuple[str, str, str], rows: list, total: int) -> list[str]:
    lines = [f"{names[0]:<7} {names[1]:<11} {names[2]:<48}  count  share"]
    for key, count in rows[:MAX_ROWS]:
        share = count / total if total else 0.0
        lines.append(f"{key[0]:<7} {key[1]:<11} {key[2]:<48}  {count:5}  {share:.3f}")
    if len(rows) > MAX_ROWS:
        lines.append(f"(+{len(rows) - MAX_ROWS} more rows)")
    return lines


def summarize(lines: Iterable[str], target_s: float) -> OutcomeSummary:
    """Return the summary of log lines; lines without a record are skipped."""
    summary = OutcomeSummary(target_s)
    for line in lines:
        if "request ended" not in line and "attempt failed" not in line:
            continue
        record = parse_record(line)
        if record is not None:
            summary.add(record)
    return summary


def _outcomes(command: "Outcomes") -> int:
    if not command.target_s > 0:
        print("--target-s: expected a number above 0", file=sys.stderr)
        return 2
    try:
        summary = summarize(iter_lines(command.logs), command.target_s)
    except OSError as exc:
        print(f"{exc.filename}: {exc.strerror}", file=sys.stderr)
        return 1
    print(summary.to_text())
    return 0


@cappa.command(name="outcomes", invoke=_outcomes)
@attrs.frozen
class Outcomes:
    """Print how many requests were refused, failed or late, by reason and by step.

    Exit code 0: printed. 1: a log file cannot be read. 2: wrong usage.
    """

    logs: Annotated[
        list[pathlib.Path], cappa.Arg(help="Log files; default: standard input")
    ] = attrs.field(factory=list)
    target_s: Annotated[
        float,
        cappa.Arg(long=True, help="Latency target of the first byte, seconds"),
    ] = 0.9
