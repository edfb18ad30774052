"""Test that a draining host cuts nothing and turns away what it could not end."""

import threading
import time

import pytest

from sesameport.platform.tests.conftest import wait_until


@pytest.fixture
def stopping(world, host, monkeypatch):
    """Return a host in the last part of its drain, held there by a stream."""
    monkeypatch.setattr("sesameport.entry.host.UNREADY_S", 0.2)
    world.replicas["d1"].pause_s = 0.3
    answers = []
    stream = threading.Thread(
        target=lambda: answers.append(world.draft("grade", request_id="long"))
    )
    stream.start()
    wait_until(lambda: world.replicas["d1"].runs == ["long"])
    drain = threading.Thread(target=host.shutdown)
    drain.start()
    time.sleep(0.4)
    yield answers
    stream.join()
    drain.join()


def test_stream_in_progress_is_finished(stopping):
    wait_until(lambda: stopping, 5.0)
    assert stopping[0].is_whole
    assert stopping[0].body.count(b"data: piece") == 6


def test_short_requests_are_answered_on_closing_connections(world, stopping):
    # Guards against unread requests while most hosts of a data centre restart.
    answer = world.call("/look/x", request_id="short")
    assert answer.status == 200
    assert answer.headers["connection"] == "close"


def test_new_streams_are_refused_so_that_they_are_not_cut(world, stopping):
    answer = world.draft(request_id="late")
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) < 1.0
    assert world.replicas["d1"].runs == ["long"]


def test_draining_host_is_not_ready(host, stopping):
    assert not host.is_ready()


def test_host_without_requests_stops_soon(world, host, monkeypatch):
    monkeypatch.setattr("sesameport.entry.host.UNREADY_S", 0.2)
    started = time.monotonic()
    assert host.shutdown()
    assert time.monotonic() - started < 1.0
