"""Check logs, metrics and decision records."""

import io
import json
import re
import threading

import logbook
import pytest

from sesameport.telemetry.decisions import DecisionKind, DecisionRing
from sesameport.telemetry.logs import JsonLineHandler, bind_request, get_logger
from sesameport.telemetry.metrics import METRICS, Metrics
from sesameport.telemetry.recorder import Recorder
from sesameport.telemetry.tests.samples import NOW, outcome, refused
from sesameport.world import LatencyTargets

KEY = "sp-live-4f1c9e77"


def _log(write):
    stream = io.StringIO()
    with JsonLineHandler("h1", "rajkot-a", stream, level="DEBUG").threadbound():
        write(get_logger("requests"))
    return stream.getvalue()


def test_line_has_identity_request_and_fields():
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
    """Guards against a key in the log through a field, a header or a text."""
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


def test_field_cannot_replace_the_records_own_fields():
    """Guards against a field named host that hides which host logged."""
    line = json.loads(_log(lambda log: log.info("x", extra={"host": "other"})))
    assert (line["host"], line["field_host"]) == ("h1", "other")


def test_metric_names_follow_prometheus_conventions():
    for item in METRICS:
        assert (item.collector.__name__ == "Counter") == item.name.endswith("_total")
        assert item.name.startswith("sesameport_")
        # A label of its own would replace the host's identity.
        assert not {"host", "data_centre"} & set(item.labels)


def test_counts_from_many_threads_are_complete():
    """Guards against lost updates: aioprometheus reads and writes without a lock."""
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


def test_label_values_are_escaped_and_labels_checked():
    """Guards against a name with a quote that breaks the whole scrape."""
    metrics = Metrics("h1", "rajkot-a")
    metrics.count("sesameport_retries_total", reason='a"b\n')
    assert rb'reason="a\"b\n"' in metrics.render()
    with pytest.raises(ValueError, match="labels of"):
        metrics.count("sesameport_retries_total", service="x")


def test_refusals_do_not_push_out_lease_records():
    ring = DecisionRing(records_per_kind=10)
    ring.add(DecisionKind.LEASE, "lapsed", 1.0, inputs={"epoch": 4})
    for i in range(100):
        ring.add(DecisionKind.REFUSAL, "queue-full", 2.0, f"r-{i}", {"waiting": 400})
    assert len(ring.find()) == 11
    assert ring.find(kind=DecisionKind.LEASE)[0].inputs == {"epoch": 4}
    assert [item.request_id for item in ring.find("r-95")] == ["r-95"]
    assert ring.find("r-5") == []


def test_decision_inputs_hold_no_key():
    ring = DecisionRing()
    ring.add(DecisionKind.REFUSAL, "x", 1.0, "r", {"h": {"Authorization": KEY}})
    assert KEY not in str(ring.find())


def test_recorder_counts_in_metrics_and_burn_and_its_snapshot_stays():
    """Guards against a snapshot that changes while it is written as JSON."""
    recorder = Recorder("h1", "rajkot-a", NOW - 60)
    recorder.set_targets("assessor-llm", LatencyTargets(first_token_s=0.5))
    assert not recorder.record(outcome(NOW))
    assert not recorder.record(refused(NOW))
    snapshot = recorder.snapshot(NOW)
    recorder.record(outcome(NOW))
    assert snapshot.services["assessor-llm"].windows["5m"][:4] == (2, 0, 1, 2)
    text = recorder.metrics.render().decode()
    assert re.search(r"^sesameport_wrongful_refusals_total\{.*\} 1$", text, re.M)
    assert re.search(r"^sesameport_first_token_seconds_count\{.*\} 2", text, re.M)
    recorder.decide(DecisionKind.LEASE, "acquired", NOW, inputs={"epoch": 2})
    assert recorder.decisions.find()[0].reason == "acquired"
    assert 'kind="lease"' in recorder.metrics.render().decode()
