"""Test that a stopping host answers each request that it has read.

A request may wait in many places when the host gets SIGTERM. What waited there was cut
off without an answer when the process ended.
"""

import http.client
import threading
import time

import pytest

from sesameport.entry.settings import FleetBounds
from sesameport.platform.tests.conftest import (
    ROUTE_HOST,
    make_configuration,
    wait_until,
)

GRACE_S = 3.0
BODY_BYTES = 50_000

READ_S = 0.1
"""Time in which a caller reads what the host sent before its end, seconds."""


class Callers:
    """Send requests on threads and keep their responses and when these arrived."""

    def __init__(self, cluster):
        self._cluster = cluster
        self._threads = []
        self.responses = {}
        self.answered_at = {}

    def start(self, name, send, *args, **fields):
        """Send one request; ``send`` is a method of the cluster."""

        def run():
            try:
                response = send(*args, request_id=name, deadline_ms=14_000, **fields)
            except (OSError, http.client.HTTPException):
                return
            self.responses[name] = response
            self.answered_at[name] = time.monotonic()

        self._threads.append(threading.Thread(target=run))
        self._threads[-1].start()

    def stream(self, name, tokens="1000,400"):
        """Send a generation."""
        headers = {"X-Token-Count": tokens}
        self.start(name, self._cluster.send_generation, headers=headers)

    def join(self):
        """Wait for all responses."""
        for thread in self._threads:
            thread.join()


@pytest.fixture
def callers(cluster):
    return Callers(cluster)


@pytest.fixture
def stopping(cluster, monkeypatch):
    """Return a host with a short grace time and routes that allow long waits."""
    monkeypatch.setattr("sesameport.entry.stopping.drain.UNREADY_S", 0.8)
    routes = [
        {**route, "timeoutMs": 14_000, "targetLatencyMs": 4_000}
        for route in make_configuration()["routes"]
    ]
    cluster.configure(1, routes=routes)
    host = cluster.start_host(bounds=FleetBounds(grace_s=GRACE_S))
    wait_until(lambda: host.is_ready() and host.server_count() >= 3)
    return host


def stop(host, callers):
    """Stop the host as SIGTERM does; return when the process would have exited."""
    host.shutdown()
    ended_at = time.monotonic()
    host.close()
    callers.join()
    return ended_at


def fill_memory(cluster, callers, pause_s):
    """Start streams that take all memory of the decode engine."""
    cluster.replicas["d1"].pause_s = pause_s
    running = {"running1", "running2"}
    for name in running:
        callers.stream(name, "9000,400")
    wait_until(lambda: running <= set(cluster.replicas["d1"].executed_ids))


@pytest.mark.parametrize("store_fault", ["", "down"])
def test_generation_that_waits_for_memory_is_refused(
    cluster, stopping, callers, store_fault
):
    # Guards against streams that wait for decode memory at SIGTERM, or come after it,
    # and whose connections end without an answer.
    fill_memory(cluster, callers, pause_s=0.8)
    callers.stream("before", "9000,400")
    cluster.store.fault = store_fault
    time.sleep(0.3)
    threading.Timer(0.3, callers.stream, ("after", "9000,400")).start()
    ended_at = stop(stopping, callers)
    for name in ("before", "after"):
        response = callers.responses[name]
        assert response.status == 503
        assert float(response.headers["retry-after"]) < 1.0
        assert callers.answered_at[name] < ended_at + READ_S
    assert set(cluster.replicas["d1"].executed_ids) == {"running1", "running2"}


def test_generation_is_refused_at_once_if_it_would_not_end(cluster, stopping, callers):
    # A typical run takes 3.4 s until measured, longer than the 2 s until the end.
    fill_memory(cluster, callers, pause_s=0.8)
    callers.stream("late", "9000,400")
    time.sleep(0.3)
    began_at = time.monotonic()
    stop(stopping, callers)
    assert callers.answered_at["late"] < began_at + 0.5


def test_generation_that_can_still_end_is_served(cluster, stopping, callers):
    # Guards against refusing all that waits: runs of 0.3 s fit into the grace time.
    cluster.replicas["d1"].pause_s = 0.01
    for number in range(40):
        cluster.send_generation(request_id=f"learn{number}")
    fill_memory(cluster, callers, pause_s=0.05)
    callers.stream("waits", "9000,400")
    stop(stopping, callers)
    assert callers.responses["waits"].status == 200
    assert callers.responses["waits"].is_complete


def test_generation_in_its_prefill_is_refused(cluster, stopping, callers):
    cluster.replicas["p1"].unanswered_prefills = 5
    callers.stream("prefill")
    wait_until(lambda: cluster.replicas["p1"].received_requests)
    ended_at = stop(stopping, callers)
    assert callers.responses["prefill"].status == 503
    assert callers.answered_at["prefill"] < ended_at + READ_S
    assert not cluster.replicas["d1"].executed_ids


@pytest.mark.parametrize("route", ["look", "book"])
def test_request_at_a_silent_server_gets_an_answer(cluster, stopping, callers, route):
    # It may have run, so the answer promises nothing. The server is not to blame.
    cluster.replicas["s1"].faults = ["hang"] * 4
    callers.start("silent", cluster.send_request, f"/{route}/x")
    wait_until(lambda: cluster.replicas["s1"].executed_ids)
    ended_at = stop(stopping, callers)
    assert callers.responses["silent"].status == 502
    assert callers.answered_at["silent"] < ended_at + READ_S
    assert "s1" in stopping.usable_servers()


def test_stream_without_an_event_gets_an_answer(cluster, stopping, callers):
    cluster.replicas["d1"].faults = ["hang"] * 4
    callers.stream("silent")
    wait_until(lambda: cluster.replicas["d1"].executed_ids)
    ended_at = stop(stopping, callers)
    assert callers.responses["silent"].status == 502
    assert callers.answered_at["silent"] < ended_at + READ_S


def test_requests_that_wait_for_a_thread_are_answered(
    cluster, stopping, callers, monkeypatch
):
    monkeypatch.setattr("sesameport.entry.host.MIN_THREADS", 1)
    monkeypatch.setattr("sesameport.entry.host.MAX_THREADS", 1)
    host = cluster.start_host("h2", bounds=FleetBounds(grace_s=GRACE_S))
    wait_until(lambda: host.is_ready() and host.server_count() >= 3)
    cluster.replicas["s1"].faults = ["hang"] * 4
    callers.start("silent", cluster.send_request, "/book/x", host=host)
    wait_until(lambda: cluster.replicas["s1"].executed_ids)
    for number in range(3):
        callers.start(f"queued{number}", cluster.send_request, "/book/x", host=host)
    ended_at = stop(host, callers)
    for number in range(3):
        assert callers.responses[f"queued{number}"].status == 503
        assert callers.answered_at[f"queued{number}"] < ended_at + READ_S


class Upload:
    """Send a request whose body arrives in parts."""

    def __init__(self, host):
        self._conn = http.client.HTTPConnection(host.caller_address, timeout=10)
        self._conn.putrequest("POST", "/book/x", skip_host=True)
        headers = {
            "Host": ROUTE_HOST,
            "X-Request-Id": "upload",
            "X-Deadline-Ms": "14000",
            "X-Key": "key-of-w",
            "Content-Length": str(BODY_BYTES),
        }
        for name, value in headers.items():
            self._conn.putheader(name, value)
        self._conn.endheaders(b"a" * 20_000)

    def send_rest(self):
        """Send the rest of the body."""
        self._conn.send(b"a" * (BODY_BYTES - 20_000))

    def response(self):
        """Return the status of the response, or None without one."""
        try:
            return self._conn.getresponse().status
        except (OSError, http.client.HTTPException):
            return None
        finally:
            self._conn.close()


def test_body_that_arrives_within_the_grace_time_is_served(
    cluster, stopping, callers, monkeypatch
):
    # Guards against a host that ends with 1.4 s left while it still reads a body.
    monkeypatch.setattr("sesameport.entry.stopping.drain.UNREADY_S", 0.2)
    upload = Upload(stopping)
    time.sleep(0.2)
    threading.Timer(0.8, upload.send_rest).start()
    stop(stopping, callers)
    assert upload.response() == 200


def test_body_that_does_not_arrive_is_refused(cluster, stopping, callers):
    upload = Upload(stopping)
    time.sleep(0.2)
    stop(stopping, callers)
    assert upload.response() == 503
    assert not cluster.replicas["s1"].executed_ids
