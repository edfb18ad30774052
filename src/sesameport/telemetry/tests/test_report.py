"""Check the report's text, JSON and page."""

import json
import re

from sesameport.telemetry.burn import merge_snapshots
from sesameport.telemetry.plots import draw
from sesameport.telemetry.report import make_report, to_html, to_json, to_text
from sesameport.telemetry.tests.samples import fleet


def _report():
    return make_report(merge_snapshots(fleet()), ["10.0.0.9:8081: no answer"])


def test_text(snapshot):
    assert to_text(_report()) == snapshot


def test_empty_fleet_gives_a_report():
    """Guards against a division by zero before the first request."""
    report = make_report(merge_snapshots([]))
    assert "0 hosts" in to_text(report)
    assert not report.has_alerts()


def test_json_has_all_figures():
    data = json.loads(to_json(_report()))
    services = {item["name"]: item for item in data["services"]}
    assert services["order-desk"]["goodput"] == 1.0
    worst = services["assessor-llm"]["workspaces"][0]
    assert worst["name"] == "repair-shop" and worst["fair_share"] < 0.9


def test_page_is_self_contained_and_escapes_names():
    """Guards against a page that needs a network and against markup in names."""
    report = _report()
    plots = {item.name: draw(item) for item in report.services}
    page = to_html(report, plots)
    assert page.count("<svg") == 4
    assert re.findall(r"(?:src|href)=\"(?!#)[^\"]*\"", page) == []
    assert "<script" not in page and "@import" not in page
    hostile = make_report(merge_snapshots(fleet()), ["<b>x</b>"])
    assert "<b>x" not in to_html(hostile)


def test_same_data_gives_the_same_plots():
    service = _report().services[0]
    assert draw(service) == draw(service)
