"""Check logs, metrics and decision records."""

import io
import json
import re
import threading

import logbook
import pytest

from sesameport.domain import LatencyTargets
from sesameport.telemetry.decisions import DecisionKind, DecisionRing
from sesameport.telemetry.logs import JsonLineHandler, bind_request, get_logger
from sesameport.telemetry.metrics import METRICS, Metrics
from sesameport.telemetry.recorder import Recorder
from sesameport.telemetry.tests.samples import NOW, make_outcome, make_refusal

KEY = "sp-live-4f1c9e77"


def _log(write):
    stream = io.StringIO()
    with JsonLineHandler("h1", "rajkot-a", stream, level="DEBUG").threadbound():
        write(get_logger("requests"))
    return stream.getvalue()


def test_line_contains_host_identity_request_id_and_fields():
    with bind_request("r-1"):
        line = json.loads(_log(lambda log: log.info("refused", extra={"n": 3})))
    assert line.pop("time").endswith("Z")
    assert line == {
        "level": "info",
        "logger": "requests",
        "event": "refused",
        "request_id": "r-1",
        "host": "h1",
        "data_centre": "rajkot-a",
        "n": 3,
    }


@pytest.mark.parametrize(
    "extra",
    [
        {"headers": {"Authorization": f"Bearer {KEY}"}},
        {"headers": [("authorization", KEY)]},
        {"headers": ((b"Authorization", f"Bearer {KEY}".encode()),)},
        {"key": KEY},
        {"request": {"nested": {"X-Api-Key": KEY}}},
        {"raw": f"POST / HTTP/1.1\r\nAuthorization: Basic {KEY}\r\nHost: x"},
        {"raw": f"GET /?api_key={KEY}"},
        {"raw": f"bearer {KEY}"},
    ],
)
def test_keys_are_never_logged(extra):
    """Guard against a key that is logged in a field, a header or a text."""
    assert KEY not in _log(lambda log: log.info("seen", extra=extra))


def test_key_in_message_or_exception_is_never_logged():
    def write(log: logbook.Logger):
        log.warning("bad header Authorization: Bearer {}", KEY)
        try:
            raise ValueError(f"{{'Authorization': 'Bearer {KEY}'}}")
        except ValueError:
            log.exception("failed")

    text = _log(write)
    assert len(text.splitlines()) == 2
    assert KEY not in text


def test_extra_field_cannot_overwrite_a_reserved_field():
    """Guard against a field named ``host`` that hides which host wrote the line."""
    line = json.loads(_log(lambda log: log.info("x", extra={"host": "other"})))
    assert (line["host"], line["field_host"]) == ("h1", "other")


def test_metric_names_follow_prometheus_conventions():
    for metric in METRICS:
        assert (metric.collector.__name__ == "Counter") == metric.name.endswith(
            "_total"
        )
        assert metric.name.startswith("sesameport_")
        # A label with one of these names would overwrite the identity of the host.
        assert not {"host", "data_centre"} & set(metric.labels)


def test_concurrent_counter_updates_are_not_lost():
    """Guard against lost updates, because aioprometheus updates without a lock."""
    metrics = Metrics("h1", "rajkot-a")

    def count():
        for _ in range(500):
            metrics.count("sesameport_retries_total", reason="broken")

    threads = [threading.Thread(target=count) for _ in range(8)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert b'reason="broken"} 4000' in metrics.render()


def test_label_values_are_escaped_and_label_names_are_checked():
    """Guard against a quote in a label value, which makes the scrape unreadable."""
    metrics = Metrics("h1", "rajkot-a")
    metrics.count("sesameport_retries_total", reason='a"b\n')
    assert rb'reason="a\"b\n"' in metrics.render()
    with pytest.raises(ValueError, match="labels of"):
        metrics.count("sesameport_retries_total", service="x")


def test_refusals_do_not_evict_lease_records():
    """Guard against one ring for all kinds, which a burst of refusals would fill."""
    ring = DecisionRing(records_per_kind=10)
    ring.add(DecisionKind.LEASE, "lapsed", 1.0, inputs={"epoch": 4})
    for i in range(100):
        ring.add(DecisionKind.REFUSAL, "queue-full", 2.0, f"r-{i}", {"waiting": 400})
    assert len(ring.find()) == 11
    assert ring.find(kind=DecisionKind.LEASE)[0].inputs == {"epoch": 4}
    assert [record.request_id for record in ring.find("r-95")] == ["r-95"]
    assert ring.find("r-5") == []


def test_keys_in_decision_inputs_are_redacted():
    ring = DecisionRing()
    ring.add(DecisionKind.REFUSAL, "x", 1.0, "r", {"h": {"Authorization": KEY}})
    assert KEY not in str(ring.find())


def test_recorder_updates_all_counters_and_its_snapshot_is_fixed():
    """Guard against a snapshot that changes while it is encoded as JSON."""
    recorder = Recorder("h1", "rajkot-a", NOW - 60)
    recorder.set_targets("assessor-llm", LatencyTargets(first_token_s=0.5))
    assert not recorder.record_outcome(make_outcome(NOW))
    assert not recorder.record_outcome(make_refusal(NOW))
    snapshot = recorder.snapshot(NOW)
    recorder.record_outcome(make_outcome(NOW))
    assert snapshot.services["assessor-llm"].windows["5m"][:4] == (2, 0, 1, 2)
    text = recorder.metrics.render().decode()
    assert re.search(r"^sesameport_wrongful_refusals_total\{.*\} 1$", text, re.M)
    assert re.search(r"^sesameport_first_token_seconds_count\{.*\} 2", text, re.M)
    recorder.record_decision(DecisionKind.LEASE, "acquired", NOW, inputs={"epoch": 2})
    assert recorder.decisions.find()[0].reason == "acquired"
    assert 'kind="lease"' in recorder.metrics.render().decode()
