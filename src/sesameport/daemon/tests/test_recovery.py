"""Cause each failure against the stand-ins and check what callers and engines see."""

import json
import threading
import time

import pytest
import urllib3

from sesameport.daemon.demo_hosts import build_host_settings
from sesameport.daemon.host import Daemon
from sesameport.daemon.tests.callers import KEY, complete, post, stream_texts
from sesameport.daemon.tests.test_whole_path import held, wait_until
from sesameport.documents import RequestSettings
from sesameport.standins import (
    CRASH_MARK,
    EngineProfile,
    build_deployment,
    demo_key,
    expected_tokens,
)

DESK_KEY = demo_key("dhol-makers")


@pytest.fixture
def site():
    """Run one host with a short silent bound against three data centres."""
    deployment = build_deployment(profile=EngineProfile(token_interval_s=0.02))
    cfg = build_host_settings(
        deployment,
        "rajkot-a-1",
        "rajkot-a",
        requests=RequestSettings(silent_s=0.5),
    )
    daemon = Daemon(cfg).start()
    # Servers that are left running would keep the test process from ending.
    try:
        wait_until(lambda: complete(daemon, "Ready", 1).status == 200)
        wait_until(lambda: order_route_ready(daemon))
        for engine in deployment.engines.values():
            engine.runs.clear()
        yield deployment, daemon
    finally:
        for engine in deployment.engines.values():
            engine.faults.down = engine.faults.stall_transfers = False
        daemon.stop()
        deployment.stop()


def order_route_ready(daemon):
    url = f"http://{daemon.http.address}/stock/hide"
    headers = {"Authorization": f"Bearer {DESK_KEY}"}
    return urllib3.request("GET", url, headers=headers).status == 200


def in_background(prompt, count, daemon):
    answers = []
    call = threading.Thread(
        target=lambda: answers.append(complete(daemon, prompt, count, stream=True))
    )
    call.start()
    return call, answers


def whole(call, answers, prompt, count):
    call.join(30.0)
    assert stream_texts(answers[0]) == (expected_tokens(prompt, count), True)


def decoding(deployment):
    """Return the engine that decodes, once one does."""

    def find():
        for engine in deployment.engines.values():
            kinds = {hold["kind"] for hold in engine.held()}
            if "decode-slot" in kinds:
                return engine
        return None

    wait_until(find)
    return find()


def runs(deployment, kind):
    found = [r for e in deployment.engines.values() for r in e.runs]
    return [run for run in found if run.kind == kind]


def nothing_held(deployment, daemon):
    wait_until(lambda: not held(deployment), 15.0)
    wait_until(lambda: daemon.parts.count_holds() == (0, 0), 15.0)


def test_silent_stream_goes_on_over_a_new_connection(site):
    """Guard against an answer that is lost with a silent connection."""
    deployment, daemon = site
    call, answers = in_background("Silent", 60, daemon)
    engine = decoding(deployment)
    time.sleep(0.2)
    engine.faults.silent_before = time.monotonic()
    whole(call, answers, "Silent", 60)
    assert len(runs(deployment, "prefill")) == 1
    nothing_held(deployment, daemon)


def test_crashed_decode_server_is_replaced(site):
    """Guard against an answer that is lost or starts anew with its decode server."""
    deployment, daemon = site
    call, answers = in_background("Crash", 80, daemon)
    engine = decoding(deployment)
    time.sleep(0.3)
    engine.crash()
    whole(call, answers, "Crash", 80)
    nothing_held(deployment, daemon)


def test_broken_prefill_is_repeated_on_another_server(site):
    """Guard against a request that fails with the first prefill server."""
    deployment, daemon = site
    broken = [e for n, e in deployment.engines.items() if "prefill" in n][:2]
    for engine in broken:
        engine.faults.down = True
    # After this time the servers' loss is no evidence against a request.
    time.sleep(2.0)
    assert complete(daemon, "Prefill", 5).status == 200
    for engine in broken:
        engine.faults.down = False
    nothing_held(deployment, daemon)


def test_stalled_transfer_goes_to_another_decode_server(site):
    """Guard against a request that waits for a transfer that never ends."""
    deployment, daemon = site
    decodes = [e for n, e in deployment.engines.items() if "decode" in n]
    for engine in decodes[:2]:
        engine.faults.stall_transfers = True
    started = time.monotonic()
    assert complete(daemon, "Stall", 5).status == 200
    assert time.monotonic() - started < 10.0
    nothing_held(deployment, daemon)


def test_lost_cancel_is_sent_again(site):
    """Guard against engine memory that stays after a lost cancel (I1)."""
    deployment, daemon = site
    body = {"model": "assessor", "prompt": "Gone", "max_tokens": 2000, "stream": True}
    answer = urllib3.request(
        "POST",
        f"http://{daemon.http.address}/v1/completions",
        body=json.dumps(body).encode(),
        headers={"Authorization": f"Bearer {KEY}"},
        preload_content=False,
    )
    next(iter(answer))
    engine = decoding(deployment)
    engine.faults.error_share = 0.8
    answer.close()
    wait_until(lambda: daemon.parts.count_holds()[1] > 0 or not engine.held())
    nothing_held(deployment, daemon)


def test_own_hold_that_the_ledger_does_not_know_is_swept(site):
    """Guard against a hold that a delayed call took after its cancel."""
    deployment, daemon = site
    engine = deployment.engines["rajkot-a-decode-1"]
    attempt_id = f"rajkot-a-1.{daemon.incarnation}.999.1"
    body = {"model": "assessor", "prompt": "Lost", "max_tokens": 5000, "stream": True}
    answer = urllib3.request(
        "POST",
        f"http://{engine.address}/v1/completions",
        body=json.dumps(body).encode(),
        headers={"X-Request-Id": attempt_id, "Content-Type": "application/json"},
        preload_content=False,
    )
    try:
        assert engine.held()
        wait_until(lambda: not engine.held(), 20.0)
    finally:
        answer.close()


def test_poison_request_is_refused_after_two_crashes(site):
    """Guard against one request that crashes server after server."""
    deployment, daemon = site
    # A loss counts only for servers that answered the load polls before.
    time.sleep(1.0)
    answer = complete(daemon, f"Poison {CRASH_MARK}", 5)
    assert answer.status == 422
    assert answer.json()["type"] == "urn:sesameport:quarantined"
    assert answer.json()["execution"] == "may-have-run"
    again = complete(daemon, f"Poison {CRASH_MARK}", 5)
    assert again.json()["execution"] == "not-run"
    assert sum(e.crashes for e in deployment.engines.values()) == 2
    assert complete(daemon, "Good", 5).status == 200


def bookings(deployment):
    return [b for standin in deployment.plain.values() for b in standin.bookings]


def order(daemon, key, body=None):
    headers = {"Idempotency-Key": key}
    return post(daemon, "/orders", body or {"item": "hide"}, DESK_KEY, **headers)


def test_order_whose_answer_was_lost_runs_once(site):
    """Guard against a double booking after a lost answer (I7)."""
    deployment, daemon = site
    for standin in deployment.plain.values():
        standin.faults.lost_answer_share = 1.0
    first = order(daemon, "k1")
    assert first.json()["execution"] == "may-have-run"
    for standin in deployment.plain.values():
        standin.faults.lost_answer_share = 0.0
    wait_until(lambda: order(daemon, "k1").json()["execution"] == "may-have-run")
    assert len(bookings(deployment)) == 1


def test_repeated_order_gets_the_first_answer(site):
    """Guard against a second booking, and another body under the same key."""
    deployment, daemon = site
    first = order(daemon, "k2")
    assert first.status == 201
    wait_until(lambda: order(daemon, "k2").status == 201)
    repeat = order(daemon, "k2")
    assert repeat.data == first.data
    assert repeat.headers["Idempotency-Replayed"] == "true"
    assert order(daemon, "k2", {"item": "other"}).status == 422
    assert len(bookings(deployment)) == 1


def test_keyed_order_is_refused_while_the_platform_is_down(site):
    """Guard against an order without a claim (I7), and a false 'not run' (I6)."""
    deployment, daemon = site
    deployment.platform.faults.down = True
    refused = order(daemon, "k3")
    assert refused.status == 503
    assert refused.json()["execution"] == "not-run"
    assert not bookings(deployment)
    deployment.platform.faults.down = False
    wait_until(lambda: order(daemon, "k3").status == 201)
    assert len(bookings(deployment)) == 1


def test_order_with_unknown_fate_is_not_sent_again(site):
    """Guard against a second run of a call that may not be repeated (I7)."""
    deployment, daemon = site
    for standin in deployment.plain.values():
        standin.faults.lost_answer_share = 1.0
    answer = post(daemon, "/orders", {"item": "hide"}, DESK_KEY)
    assert answer.json()["execution"] == "may-have-run"
    assert len(bookings(deployment)) == 1


def test_stock_check_is_tried_on_another_server(site):
    """Guard against a failed stock check that another server could answer."""
    deployment, daemon = site
    list(deployment.plain.values())[0].faults.down = True
    list(deployment.plain.values())[1].faults.down = True
    url = f"http://{daemon.http.address}/stock/hide"
    headers = {"Authorization": f"Bearer {DESK_KEY}"}
    for _ in range(3):
        assert urllib3.request("GET", url, headers=headers).status == 200
