"""Check that drains and withdrawn keys take effect on running requests."""

import threading
import time

import pytest
import urllib3

from sesameport.daemon.demo_hosts import build_host_settings, wait_until_ready
from sesameport.daemon.host import Daemon
from sesameport.daemon.tests.callers import parse_stream, send_completion
from sesameport.daemon.tests.test_whole_path import wait_until
from sesameport.documents import ShutdownSettings
from sesameport.standins import demo_document, expected_tokens

WITHDRAWAL_BOUND_S = 5.0
"""A withdrawn key must be refused on every host within seconds."""

UNREADY_S = 0.3


@pytest.fixture
def draining_host(fleet):
    deployment, _ = fleet
    cfg = build_host_settings(
        deployment, "rajkot-a-9", "rajkot-a", shutdown=ShutdownSettings(UNREADY_S, 30.0)
    )
    daemon = Daemon(cfg).start()
    # Other hosts grant rate tokens only to hosts that the platform lists.
    listed_hosts = list(deployment.hosts)
    deployment.hosts.append(daemon.bound_host)
    deployment.publish()
    try:
        wait_until_ready(daemon)
        wait_until(lambda: send_completion(daemon, "Ready", 1).status == 200, 30.0)
        yield daemon
    finally:
        deployment.hosts[:] = listed_hosts
        deployment.publish()
        daemon.stop()


def wait_until_running(daemon, responses):
    deadline = time.monotonic() + 10.0
    while not daemon.admission.running:
        assert not responses, responses[0].data
        assert time.monotonic() < deadline
        time.sleep(0.01)


def run_in_thread(function):
    results = []
    thread = threading.Thread(target=lambda: results.append(function()), daemon=True)
    thread.start()
    return thread, results


def hold_refusals(drain, monkeypatch):
    """Let a drain refuse requests only once the returned event is set.

    A request that is sent within its 0.3 s would arrive too late on a busy machine.
    Also return the list of its waits up to then, seconds.
    """
    may_refuse, waits = threading.Event(), []
    refuse, wait = drain._refuse_new_requests, drain._stop_requested.wait

    def record_wait(timeout_s):
        waits.append(timeout_s)
        return wait(timeout_s)

    def refuse_later():
        assert may_refuse.wait(30.0)
        refuse()

    monkeypatch.setattr(drain._stop_requested, "wait", record_wait)
    monkeypatch.setattr(drain, "_refuse_new_requests", refuse_later)
    return may_refuse, waits


def test_graceful_shutdown_finishes_a_running_stream(draining_host, monkeypatch):
    """Guard against a shutdown that interrupts a running request (I9)."""
    daemon = draining_host
    may_refuse, waits = hold_refusals(daemon.drain, monkeypatch)
    ready = f"http://{daemon.status_http.address}/ready"
    assert urllib3.request("GET", ready).status == 200
    stream, responses = run_in_thread(
        lambda: send_completion(daemon, "Drain", 300, stream=True)
    )
    wait_until_running(daemon, responses)
    drain, finished = run_in_thread(daemon.drain.run)
    wait_until(lambda: daemon.drain.is_draining)
    assert urllib3.request("GET", ready).status == 503
    assert send_completion(daemon, "Before refusing", 2).status == 200
    wait_until(lambda: waits)
    assert waits == [UNREADY_S]
    may_refuse.set()
    wait_until(lambda: daemon.admission.is_refusing)
    refused = send_completion(daemon, "Too late", 2)
    assert refused.status == 503
    assert refused.json()["execution"] == "not-run"
    stream.join(20.0)
    drain.join(20.0)
    assert finished == [True]
    assert parse_stream(responses[0]) == (expected_tokens("Drain", 300), True)


@pytest.mark.parametrize("has_second_signal", [False, True])
def test_shutdown_answers_the_requests_that_it_ends(
    draining_host, monkeypatch, has_second_signal
):
    """Guard against callers without an answer at the end of the drain (I9)."""
    daemon = draining_host
    monkeypatch.setattr(daemon.drain, "_finish_s", 30.0 if has_second_signal else 0.2)
    running, responses = run_in_thread(lambda: send_completion(daemon, "Ended", 2000))
    wait_until_running(daemon, responses)
    drain, finished = run_in_thread(daemon.drain.run)
    if has_second_signal:
        wait_until(lambda: daemon.admission.is_refusing)
        daemon.drain.stop_waiting()
    drain.join(20.0)
    running.join(2.0)
    assert finished == [False]
    assert responses[0].status == 503
    assert responses[0].json()["execution"] != "not-run"


def test_withdrawn_key_stops_its_running_stream(fleet):
    """Guard against a stream that continues after its key was withdrawn (I3)."""
    deployment, daemons = fleet
    stream, responses = run_in_thread(
        lambda: send_completion(daemons[0], "Withdrawn", 2000, stream=True)
    )
    wait_until_running(daemons[0], responses)
    # A withdrawal takes effect within milliseconds, so the stream must run first.
    time.sleep(1.0)
    text = demo_document("assessor-llm")
    digest = text.split('keys = ["')[1].split('"')[0]
    changed = text.replace(digest, "sha256:" + "0" * 64)
    deployment.platform.put("ServiceDocument", "assessor-llm", changed.encode())
    try:
        stream.join(5.0)
        assert not stream.is_alive()
        texts, is_done = parse_stream(responses[0])
        assert texts and not is_done
        assert b"key-withdrawn" in responses[0].data
        deadline = time.monotonic() + WITHDRAWAL_BOUND_S
        for daemon in daemons:
            while send_completion(daemon, "After", 2).status != 401:
                assert time.monotonic() < deadline
    finally:
        deployment.platform.put("ServiceDocument", "assessor-llm", text.encode())
        while send_completion(daemons[1], "Again", 2).status != 200:
            time.sleep(0.1)
