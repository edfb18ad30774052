"""Check the report as text, JSON and HTML page."""

import json
import re

from sesameport.telemetry.burn import merge_snapshots
from sesameport.telemetry.plots import render_plots
from sesameport.telemetry.report import make_report, to_html, to_json, to_text
from sesameport.telemetry.tests.samples import make_fleet_snapshots


def _build_report():
    return make_report(
        merge_snapshots(make_fleet_snapshots()), ["10.0.0.9:8081: no answer"]
    )


def test_text_matches_the_snapshot(snapshot):
    assert to_text(_build_report()) == snapshot


def test_empty_fleet_produces_a_report():
    """Guard against a division by zero before the first request."""
    report = make_report(merge_snapshots([]))
    assert "0 hosts" in to_text(report)
    assert not report.has_alerts()


def test_json_includes_goodput_and_fair_shares():
    data = json.loads(to_json(_build_report()))
    services = {service["name"]: service for service in data["services"]}
    assert services["order-desk"]["goodput"] == 1.0
    worst = services["assessor-llm"]["workspaces"][0]
    assert worst["name"] == "repair-shop" and worst["fair_share"] < 0.9


def test_page_is_self_contained_and_escapes_names():
    """Guard against a page that needs a network and against unescaped markup."""
    report = _build_report()
    plots = {service.name: render_plots(service) for service in report.services}
    page = to_html(report, plots)
    assert page.count("<svg") == 4
    assert re.findall(r"(?:src|href)=\"(?!#)[^\"]*\"", page) == []
    assert "<script" not in page and "@import" not in page
    hostile = make_report(merge_snapshots(make_fleet_snapshots()), ["<b>x</b>"])
    assert "<b>x" not in to_html(hostile)


def test_plots_of_the_same_data_are_identical():
    service = _build_report().services[0]
    assert render_plots(service) == render_plots(service)
