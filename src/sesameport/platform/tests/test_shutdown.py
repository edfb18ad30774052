"""Test that a draining host completes requests and refuses those it cannot complete."""

import threading
import time

import pytest

from sesameport.platform.tests.conftest import make_configuration, wait_until


@pytest.fixture
def stream_responses(cluster, host, monkeypatch):
    """Drain the host during a stream and return the list that gets its response.

    The host no longer reports itself ready and waits for the stream to end.
    """
    monkeypatch.setattr("sesameport.entry.stopping.drain.UNREADY_S", 0.2)
    # The stream takes 1.8 s, too close to the usual timeout of 2 s on a busy machine.
    routes = [
        {**route, "timeoutMs": 14_000} for route in make_configuration()["routes"]
    ]
    cluster.configure(2, routes=routes)
    wait_until(lambda: host.configuration_version() == 2)
    cluster.replicas["d1"].pause_s = 0.3
    responses = []
    stream = threading.Thread(
        target=lambda: responses.append(
            cluster.send_generation("grade", request_id="long", deadline_ms=14_000)
        )
    )
    stream.start()
    wait_until(lambda: cluster.replicas["d1"].executed_ids == ["long"])
    drain = threading.Thread(target=host.shutdown)
    drain.start()
    time.sleep(0.4)
    yield responses
    stream.join()
    drain.join()


def test_drain_completes_a_running_stream(stream_responses):
    wait_until(lambda: stream_responses, 5.0)
    assert stream_responses[0].is_complete
    assert stream_responses[0].body.count(b"data: piece") == 6


def test_drain_closes_connections_after_short_requests(cluster, stream_responses):
    # Guards against requests that are never read while most hosts of a data centre
    # restart.
    response = cluster.send_request("/look/x", request_id="short")
    assert response.status == 200
    assert response.headers["connection"] == "close"


def test_drain_refuses_streams_that_it_could_not_complete(cluster, stream_responses):
    response = cluster.send_generation(request_id="late")
    assert response.status == 503
    assert float(response.headers["retry-after"]) < 1.0
    assert cluster.replicas["d1"].executed_ids == ["long"]


def test_draining_host_is_not_ready(host, stream_responses):
    assert not host.is_ready()


def test_idle_host_shuts_down_without_waiting(cluster, host, monkeypatch):
    monkeypatch.setattr("sesameport.entry.stopping.drain.UNREADY_S", 0.2)
    started = time.monotonic()
    assert host.shutdown()
    assert time.monotonic() - started < 1.0


@pytest.mark.parametrize("attempt", range(3))
def test_requests_that_wait_for_a_thread_are_answered(cluster, monkeypatch, attempt):
    # A host counted only requests that a thread had begun to read. It stopped between
    # two of them while others had been accepted and waited for a thread.
    monkeypatch.setattr("sesameport.entry.host.MIN_THREADS", 1)
    monkeypatch.setattr("sesameport.entry.host.MAX_THREADS", 1)
    monkeypatch.setattr("sesameport.entry.stopping.drain.UNREADY_S", 0.05)
    host = cluster.start_host()
    wait_until(lambda: host.is_ready() and host.server_count() >= 3)
    cluster.replicas["s1"].pause_s = 0.05
    responses = []
    callers = [
        threading.Thread(
            target=lambda number=number: responses.append(
                cluster.send_request("/look/x", request_id=f"q{number}")
            )
        )
        for number in range(6)
    ]
    for caller in callers:
        caller.start()
    wait_until(lambda: cluster.replicas["s1"].executed_ids)
    assert host.shutdown()
    answered = len(responses)
    for caller in callers:
        caller.join()
    assert [response.status for response in responses] == [200] * 6
    assert answered >= 5  # the caller may still read the last response
