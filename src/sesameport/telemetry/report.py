"""Write the service-level report as text, JSON or one HTML page."""

import html

import attrs
import msgspec

from sesameport.telemetry.burn import WINDOWS, BurnSnapshot
from sesameport.telemetry.objectives import (
    Budget,
    ServiceReport,
    WorkspaceReport,
    judge,
)

__all__ = ["FleetReport", "make_report", "to_html", "to_json", "to_text"]

WORST_SHOWN = 10
"""Workspaces shown of each service; the JSON has all of them."""

_STYLE = """
body { font: 15px/1.5 system-ui, sans-serif; color: #222; max-width: 62rem;
  margin: 2rem auto; padding: 0 1rem; }
h1 { font-size: 1.5rem; } h2 { margin-top: 2.5rem; border-bottom: 1px solid #ccc; }
table { border-collapse: collapse; margin: 0.75rem 0; }
th, td { padding: 0.2rem 0.9rem 0.2rem 0; text-align: right; }
th:first-child, td:first-child { text-align: left; }
th { border-bottom: 1px solid #999; font-weight: 600; }
.alert { border-left: 4px solid #b3261e; padding-left: 0.6rem; }
.quiet { color: #666; } svg { max-width: 100%; height: auto; }
"""


@attrs.frozen
class FleetReport:
    """Hold the report over all hosts that answered.

    Attributes
    ----------
    hosts : list of str
        Hosts whose counts are in it.
    missing : list of str
        Hosts or addresses that did not answer, with the reason.
    coverage : dict of str to float
        Mean part of each window that the hosts have counted, 0 to 1.
    window : str
        Window of the figures.
    services : list of ServiceReport
        One report for each service.
    """

    hosts: list[str]
    missing: list[str]
    coverage: dict[str, float]
    window: str
    services: list[ServiceReport]

    def has_alerts(self) -> bool:
        """Tell whether any alert holds."""
        return any(service.alerts for service in self.services)


def make_report(
    snapshot: BurnSnapshot, missing: list[str] | None = None, window: str = "1h"
) -> FleetReport:
    """Judge merged counts and return the report."""
    coverage = {name: snapshot.coverage(length) for name, length in WINDOWS.items()}
    return FleetReport(
        sorted(snapshot.hosts), missing or [], coverage, window, judge(snapshot, window)
    )


def to_json(report: FleetReport) -> bytes:
    """Return the whole report as JSON."""
    return msgspec.json.format(msgspec.json.encode(report), indent=2)


def to_text(report: FleetReport) -> str:
    """Return the report as text for a terminal."""
    lines = _head(report)
    for service in report.services:
        lines += ["", f"{service.name}", "-" * len(service.name)]
        lines += [f"  {name:<22}{value}" for name, value in _figures(service)]
        lines += [f"  ALERT {text}" for text in _alert_lines(service)]
        lines += ["", *_columns(_workspace_rows(service))]
        hidden = len(service.workspaces) - WORST_SHOWN
        if hidden > 0:
            lines.append(f"  and {hidden} more workspaces that were served better")
    return "\n".join(lines) + "\n"


def to_html(report: FleetReport, plots: dict[str, list[str]] | None = None) -> str:
    """Return the report as one page without references to other files.

    Parameters
    ----------
    report : FleetReport
        What is shown.
    plots : dict of str to list of str
        SVG texts by service, from `sesameport.telemetry.plots`.
    """
    parts = [
        "<!doctype html>",
        '<html lang="en"><head><meta charset="utf-8">',
        '<meta name="viewport" content="width=device-width">',
        f"<title>Service levels</title><style>{_STYLE}</style></head><body>",
        "<h1>Service levels</h1>",
        *[f"<p>{html.escape(line)}</p>" for line in _head(report)],
    ]
    for service in report.services:
        parts.append(f"<h2>{html.escape(service.name)}</h2>")
        alerts = _alert_lines(service)
        parts += [f'<p class="alert">{html.escape(text)}</p>' for text in alerts]
        if not alerts:
            parts.append('<p class="quiet">No burn alert.</p>')
        parts.append(_table([("", "value"), *_figures(service)]))
        parts += (plots or {}).get(service.name, [])
        parts.append("<h3>Workspaces, worst served first</h3>")
        parts.append(_table(_workspace_rows(service)))
    parts.append("</body></html>")
    return "\n".join(parts) + "\n"


def _head(report: FleetReport) -> list[str]:
    covered = ", ".join(
        f"{name} {_percent(part, 0)}" for name, part in report.coverage.items()
    )
    lines = [
        f"{len(report.hosts)} hosts, figures over {report.window}",
        f"counted part of each window: {covered}",
    ]
    return lines + [f"no answer: {text}" for text in report.missing]


def _figures(service: ServiceReport) -> list[tuple[str, str]]:
    counts = service.counts
    worst = service.worst()
    rates = ", ".join(
        f"{window} {_number(rate)}"
        for window, rate in service.rates.items()
        if window != "30d"
    )
    return [
        ("objective", _percent(service.objective, 1)),
        ("goodput", f"{_percent(service.goodput)} of {counts.eligible} requests"),
        ("burn rate", rates),
        ("budget left", _budget(service.budget)),
        ("wasted prefill", _percent(service.wasted_prefill)),
        (
            "wrongful refusals",
            f"{_percent(service.wrongful_refusals)} ({counts.wrongful})",
        ),
        (
            "worst workspace",
            f"{_label(worst)}, {_number(worst.fair_share)} of its fair share"
            if worst
            else "none",
        ),
    ]


def _alert_lines(service: ServiceReport) -> list[str]:
    lines = []
    for alert in service.alerts:
        rule = alert.rule
        where = alert.workspace or "all workspaces"
        lines.append(
            f"{rule.severity}: {where}: burn rate {_number(alert.long_rate)} over "
            f"{rule.long} and {_number(alert.short_rate)} over {rule.short}, "
            f"bound {rule.rate:g}"
        )
    return lines


def _workspace_rows(service: ServiceReport) -> list[tuple[str, ...]]:
    rows = [
        ("workspace", "requests", "good", "wrongful", "fair share", "burn 6h", "budget")
    ]
    for item in service.workspaces[:WORST_SHOWN]:
        counts = item.counts
        good = counts.good / counts.eligible if counts.eligible else None
        rows.append(
            (
                _label(item),
                str(counts.eligible),
                _percent(good),
                str(counts.wrongful),
                _number(item.fair_share),
                _number(item.rates["6h"]),
                _percent(item.budget.left, 1),
            )
        )
    return rows


def _columns(rows: list[tuple[str, ...]]) -> list[str]:
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines = []
    for row in rows:
        cells = [row[0].ljust(widths[0])]
        cells += [
            cell.rjust(width) for cell, width in zip(row[1:], widths[1:], strict=True)
        ]
        lines.append("  " + "  ".join(cells))
    return lines


def _table(rows: list[tuple[str, ...]]) -> str:
    head = "".join(f"<th>{html.escape(cell)}</th>" for cell in rows[0])
    body = "\n".join(
        "<tr>" + "".join(f"<td>{html.escape(cell)}</td>" for cell in row) + "</tr>"
        for row in rows[1:]
    )
    return f"<table><tr>{head}</tr>\n{body}</table>"


def _label(item: WorkspaceReport) -> str:
    return item.name or "(open routes)"


def _percent(part: float | None, digits: int = 2) -> str:
    return "-" if part is None else f"{part * 100:.{digits}f}%"


def _number(value: float | None) -> str:
    return "-" if value is None else f"{value:.2f}"


def _budget(budget: Budget) -> str:
    text = f"{_percent(budget.left, 1)} of 30 d"
    if budget.spent_in_s is None:
        return f"{text}, lasts at the rate of the last 6 h"
    if budget.spent_in_s <= 0:
        return f"{text}, spent"
    return f"{text}, spent in {budget.spent_in_s / 86_400:.1f} d"
