"""Check that keys, drains and thread limits act on running requests."""

import threading
import time

import pytest
import urllib3

from sesameport.daemon.demo_hosts import build_host_settings, wait_until_ready
from sesameport.daemon.host import Daemon
from sesameport.daemon.tests.callers import complete, stream_texts
from sesameport.daemon.tests.test_whole_path import wait_until
from sesameport.documents import ShutdownSettings
from sesameport.standins import demo_document, expected_tokens

# The users' bound is "within seconds" on every host.
SECONDS_TO_WITHDRAW = 5.0


@pytest.fixture
def draining_host(fleet):
    deployment, _ = fleet
    cfg = build_host_settings(
        deployment, "rajkot-a-9", "rajkot-a", shutdown=ShutdownSettings(0.3, 30.0)
    )
    daemon = Daemon(cfg).start()
    # Hosts that the platform does not list get no tokens from the others.
    listed = list(deployment.hosts)
    deployment.hosts.append(daemon.bound_host)
    deployment.publish()
    try:
        wait_until_ready(daemon)
        wait_until(lambda: complete(daemon, "Ready", 1).status == 200, 30.0)
        yield daemon
    finally:
        deployment.hosts[:] = listed
        deployment.publish()
        daemon.stop()


def wait_running(daemon, answers):
    end = time.monotonic() + 10.0
    while not daemon.admission.running:
        assert not answers, answers[0].data
        assert time.monotonic() < end
        time.sleep(0.01)


def in_background(call):
    out = []
    thread = threading.Thread(target=lambda: out.append(call()), daemon=True)
    thread.start()
    return thread, out


def test_graceful_shutdown_finishes_a_running_stream(draining_host):
    """Guards against a shutdown that interrupts a request (I9)."""
    daemon = draining_host
    ready = f"http://{daemon.status_http.address}/ready"
    assert urllib3.request("GET", ready).status == 200
    stream, answers = in_background(lambda: complete(daemon, "Drain", 300, stream=True))
    wait_running(daemon, answers)
    drain, finished = in_background(daemon.drain.run)
    time.sleep(0.1)
    assert urllib3.request("GET", ready).status == 503
    assert complete(daemon, "Before refusing", 2).status == 200
    time.sleep(0.4)
    refused = complete(daemon, "Too late", 2)
    assert refused.status == 503
    assert refused.json()["execution"] == "not-run"
    stream.join(20.0)
    drain.join(20.0)
    assert finished == [True]
    assert stream_texts(answers[0]) == (expected_tokens("Drain", 300), True)


def test_withdrawn_key_ends_its_open_stream(fleet):
    """Guards against a stream that goes on after its key was withdrawn (I3)."""
    deployment, daemons = fleet
    stream, answers = in_background(
        lambda: complete(daemons[0], "Withdrawn", 2000, stream=True)
    )
    wait_running(daemons[0], answers)
    # The withdrawal is in force within milliseconds; the stream is to run by then.
    time.sleep(1.0)
    text = demo_document("assessor-llm")
    digest = text.split('keys = ["')[1].split('"')[0]
    changed = text.replace(digest, "sha256:" + "0" * 64)
    deployment.platform.put("ServiceDocument", "assessor-llm", changed.encode())
    try:
        stream.join(5.0)
        assert not stream.is_alive()
        texts, done = stream_texts(answers[0])
        assert texts and not done
        assert b"key-withdrawn" in answers[0].data
        end = time.monotonic() + SECONDS_TO_WITHDRAW
        for daemon in daemons:
            while complete(daemon, "After", 2).status != 401:
                assert time.monotonic() < end
    finally:
        deployment.platform.put("ServiceDocument", "assessor-llm", text.encode())
        while complete(daemons[1], "Again", 2).status != 200:
            time.sleep(0.1)
