"""Report whether services met their objectives."""

import pathlib
import sys
from typing import Annotated, Literal

import attrs
import cappa
import msgspec

from sesameport.commands.fetch import fetch_all, find_addresses
from sesameport.telemetry.burn import BurnSnapshot, merge_snapshots
from sesameport.telemetry.report import (
    FleetReport,
    make_report,
    to_html,
    to_json,
    to_text,
)

__all__ = ["Report", "fetch_report"]


def fetch_report(addresses: list[str], window: str) -> FleetReport:
    """Fetch the burn counts of hosts and return the report on their sum."""
    snapshots, missing = [], []
    for response in fetch_all(addresses, "/burn"):
        if response.result.is_err():
            missing.append(f"{response.address}: {response.result.unwrap_err()}")
            continue
        try:
            body = response.result.unwrap()
            snapshots.append(msgspec.json.decode(body, type=BurnSnapshot))
        except (msgspec.DecodeError, UnicodeDecodeError) as exc:
            missing.append(f"{response.address}: {exc}")
    return make_report(merge_snapshots(snapshots), missing, window)


def _render_page(report: FleetReport) -> str:
    try:
        from sesameport.telemetry.plots import render_plots

        plots = {service.name: render_plots(service) for service in report.services}
    except ImportError:
        print(
            "no plots: they need sesameport[plots], which is not installed",
            file=sys.stderr,
        )
        plots = {}
    return to_html(report, plots)


def _report(command: "Report") -> int:
    addresses = find_addresses(command.addresses, command.platform)
    report = fetch_report(addresses, command.window)
    if command.format == "json":
        text = to_json(report).decode() + "\n"
    elif command.format == "html":
        text = _render_page(report)
    else:
        text = to_text(report)
    if command.output is None:
        sys.stdout.write(text)
    else:
        try:
            command.output.write_text(text)
        except OSError as exc:
            raise cappa.Exit(f"--output: {exc}", code=2) from exc
    return 1 if report.has_alerts() or report.missing else 0


@cappa.command(name="report", invoke=_report)
@attrs.frozen
class Report:
    """Report goodput, error budgets, wasted prefill and the worst-served workspace.

    The counts of all hosts are added. A rule raises an alert if the burn rate exceeds
    its bound in both of its windows: 14.4 over 1 h and 5 min, 6 over 6 h and 30 min, or
    1 over 3 d and 6 h.

    Exit code 0: no alert. 1: an alert, or a host did not respond. 2: wrong usage.
    """

    addresses: Annotated[
        list[str],
        cappa.Arg(help="Status addresses, IP:PORT; default: the platform's list"),
    ] = attrs.field(factory=list)
    platform: Annotated[
        str | None,
        cappa.Arg(long="--platform", help="URL of the platform that lists the hosts"),
    ] = None
    format: Annotated[
        Literal["text", "json", "html"],
        cappa.Arg(long="--format", help="Output format; html is a self-contained page"),
    ] = "text"
    window: Annotated[
        Literal["5m", "30m", "1h", "6h", "3d", "30d"],
        cappa.Arg(
            long="--window", help="Window for goodput, wasted prefill and fair shares"
        ),
    ] = "1h"
    output: Annotated[
        pathlib.Path | None,
        cappa.Arg(long="--output", help="File to write; default: standard output"),
    ] = None
