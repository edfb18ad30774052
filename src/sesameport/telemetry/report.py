"""Format the service-level report as text, JSON or one HTML page."""

import html

import attrs
import msgspec

from sesameport.telemetry.burn import WINDOW_LENGTHS_S, BurnSnapshot
from sesameport.telemetry.objectives import (
    Budget,
    ServiceReport,
    WorkspaceReport,
    evaluate_objectives,
)

__all__ = ["FleetReport", "make_report", "to_html", "to_json", "to_text"]

MAX_WORKSPACES_SHOWN = 10
"""Maximum number of workspaces shown per service; the JSON includes all."""

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
    """Represent the service-level report of all hosts that responded.

    Attributes
    ----------
    hosts : list of str
        Hosts whose counts are included.
    missing : list of str
        Hosts or addresses that did not respond, with the reason.
    coverage : dict of str to float
        Mean fraction of each window that the hosts have counted, 0 to 1.
    window : str
        Name of the window of the figures.
    services : list of ServiceReport
        Reports of the services.
    """

    hosts: list[str]
    missing: list[str]
    coverage: dict[str, float]
    window: str
    services: list[ServiceReport]

    def has_alerts(self) -> bool:
        """Return whether any alert is firing."""
        return any(service.alerts for service in self.services)


def make_report(
    snapshot: BurnSnapshot, missing: list[str] | None = None, window: str = "1h"
) -> FleetReport:
    """Return the report for the merged counts of a fleet."""
    coverage = {
        name: snapshot.coverage(length) for name, length in WINDOW_LENGTHS_S.items()
    }
    return FleetReport(
        sorted(snapshot.hosts),
        missing or [],
        coverage,
        window,
        evaluate_objectives(snapshot, window),
    )


def to_json(report: FleetReport) -> bytes:
    """Return the whole report as JSON."""
    return msgspec.json.format(msgspec.json.encode(report), indent=2)


def to_text(report: FleetReport) -> str:
    """Return the report as text for a terminal."""
    lines = _header_lines(report)
    for service in report.services:
        lines += ["", f"{service.name}", "-" * len(service.name)]
        lines += [f"  {name:<22}{value}" for name, value in _summary_rows(service)]
        lines += [f"  ALERT {text}" for text in _alert_lines(service)]
        lines += ["", *_format_columns(_workspace_rows(service))]
        hidden_count = len(service.workspaces) - MAX_WORKSPACES_SHOWN
        if hidden_count > 0:
            lines.append(
                f"  and {hidden_count} more workspaces that were served better"
            )
    return "\n".join(lines) + "\n"


def to_html(report: FleetReport, plots: dict[str, list[str]] | None = None) -> str:
    """Return the report as one HTML page without references to other files.

    Parameters
    ----------
    report : FleetReport
        Report to format.
    plots : dict of str to list of str
        SVG plots by service, from `sesameport.telemetry.plots`.
    """
    parts = [
        "<!doctype html>",
        '<html lang="en"><head><meta charset="utf-8">',
        '<meta name="viewport" content="width=device-width">',
        f"<title>Service levels</title><style>{_STYLE}</style></head><body>",
        "<h1>Service levels</h1>",
        *[f"<p>{html.escape(line)}</p>" for line in _header_lines(report)],
    ]
    for service in report.services:
        parts.append(f"<h2>{html.escape(service.name)}</h2>")
        alerts = _alert_lines(service)
        parts += [f'<p class="alert">{html.escape(text)}</p>' for text in alerts]
        if not alerts:
            parts.append('<p class="quiet">No burn alert.</p>')
        parts.append(_html_table([("", "value"), *_summary_rows(service)]))
        parts += (plots or {}).get(service.name, [])
        parts.append("<h3>Workspaces, worst served first</h3>")
        parts.append(_html_table(_workspace_rows(service)))
    parts.append("</body></html>")
    return "\n".join(parts) + "\n"


def _header_lines(report: FleetReport) -> list[str]:
    covered = ", ".join(
        f"{name} {_format_percent(fraction, 0)}"
        for name, fraction in report.coverage.items()
    )
    lines = [
        f"{len(report.hosts)} hosts, figures over {report.window}",
        f"counted part of each window: {covered}",
    ]
    return lines + [f"no answer: {text}" for text in report.missing]


def _summary_rows(service: ServiceReport) -> list[tuple[str, str]]:
    counts = service.counts
    worst = service.worst_workspace()
    rates = ", ".join(
        f"{window} {_format_number(rate)}"
        for window, rate in service.rates.items()
        if window != "30d"
    )
    return [
        ("objective", _format_percent(service.objective, 1)),
        (
            "goodput",
            f"{_format_percent(service.goodput)} of {counts.eligible} requests",
        ),
        ("burn rate", rates),
        ("budget left", _format_budget(service.budget)),
        ("wasted prefill", _format_percent(service.wasted_prefill)),
        (
            "wrongful refusals",
            f"{_format_percent(service.wrongful_refusals)} ({counts.wrongful})",
        ),
        (
            "worst workspace",
            f"{_workspace_label(worst)}, {_format_number(worst.fair_share)}"
            " of its fair share"
            if worst
            else "none",
        ),
    ]


def _alert_lines(service: ServiceReport) -> list[str]:
    lines = []
    for alert in service.alerts:
        rule = alert.rule
        scope = alert.workspace or "all workspaces"
        lines.append(
            f"{rule.severity}: {scope}: burn rate {_format_number(alert.long_rate)} "
            f"over {rule.long} and {_format_number(alert.short_rate)} "
            f"over {rule.short}, bound {rule.rate:g}"
        )
    return lines


def _workspace_rows(service: ServiceReport) -> list[tuple[str, ...]]:
    rows = [
        ("workspace", "requests", "good", "wrongful", "fair share", "burn 6h", "budget")
    ]
    for workspace in service.workspaces[:MAX_WORKSPACES_SHOWN]:
        counts = workspace.counts
        good = counts.good / counts.eligible if counts.eligible else None
        rows.append(
            (
                _workspace_label(workspace),
                str(counts.eligible),
                _format_percent(good),
                str(counts.wrongful),
                _format_number(workspace.fair_share),
                _format_number(workspace.rates["6h"]),
                _format_percent(workspace.budget.left, 1),
            )
        )
    return rows


def _format_columns(rows: list[tuple[str, ...]]) -> list[str]:
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    lines = []
    for row in rows:
        cells = [row[0].ljust(widths[0])]
        cells += [
            cell.rjust(width) for cell, width in zip(row[1:], widths[1:], strict=True)
        ]
        lines.append("  " + "  ".join(cells))
    return lines


def _html_table(rows: list[tuple[str, ...]]) -> str:
    head = "".join(f"<th>{html.escape(cell)}</th>" for cell in rows[0])
    body = "\n".join(
        "<tr>" + "".join(f"<td>{html.escape(cell)}</td>" for cell in row) + "</tr>"
        for row in rows[1:]
    )
    return f"<table><tr>{head}</tr>\n{body}</table>"


def _workspace_label(workspace: WorkspaceReport) -> str:
    return workspace.name or "(open routes)"


def _format_percent(fraction: float | None, digits: int = 2) -> str:
    return "-" if fraction is None else f"{fraction * 100:.{digits}f}%"


def _format_number(value: float | None) -> str:
    return "-" if value is None else f"{value:.2f}"


def _format_budget(budget: Budget) -> str:
    text = f"{_format_percent(budget.left, 1)} of 30 d"
    if budget.spent_in_s is None:
        return f"{text}, lasts at the rate of the last 6 h"
    if budget.spent_in_s <= 0:
        return f"{text}, spent"
    return f"{text}, spent in {budget.spent_in_s / 86_400:.1f} d"
