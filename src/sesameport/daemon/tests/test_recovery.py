"""Check recovery from injected failures of engines, plain services and the platform."""

import json
import threading
import time

import pytest
import urllib3

from sesameport.daemon.demo_hosts import build_host_settings
from sesameport.daemon.host import Daemon
from sesameport.daemon.tests.callers import (
    WORKSPACE_KEY,
    parse_stream,
    send_completion,
    send_post,
)
from sesameport.daemon.tests.test_whole_path import list_holds, wait_until
from sesameport.documents import RequestSettings
from sesameport.standins import (
    CRASH_MARK,
    EngineProfile,
    build_deployment,
    demo_key,
    expected_tokens,
)

ORDER_DESK_KEY = demo_key("dhol-makers")

LOST_CANCELS = 4
"""Mean number of cancels that are lost if four of five calls fail. The delays before
the next one are then at most 1.5 s in total."""


@pytest.fixture
def single_host():
    """Run one host with a short stream timeout against three data centres."""
    deployment = build_deployment(profile=EngineProfile(token_interval_s=0.02))
    cfg = build_host_settings(
        deployment,
        "rajkot-a-1",
        "rajkot-a",
        requests=RequestSettings(silent_s=0.5),
    )
    daemon = Daemon(cfg).start()
    # Running servers would keep the test process alive.
    try:
        wait_until(lambda: send_completion(daemon, "Ready", 1).status == 200)
        wait_until(lambda: is_order_desk_ready(daemon))
        for engine in deployment.engines.values():
            engine.runs.clear()
        yield deployment, daemon
    finally:
        for engine in deployment.engines.values():
            engine.faults.down = engine.faults.stall_transfers = False
        daemon.stop()
        deployment.stop()


def is_order_desk_ready(daemon):
    url = f"http://{daemon.http.address}/stock/hide"
    headers = {"Authorization": f"Bearer {ORDER_DESK_KEY}"}
    return urllib3.request("GET", url, headers=headers).status == 200


def start_stream(prompt, count, daemon):
    responses = []
    thread = threading.Thread(
        target=lambda: responses.append(
            send_completion(daemon, prompt, count, stream=True)
        )
    )
    thread.start()
    return thread, responses


def assert_complete_stream(thread, responses, prompt, count):
    thread.join(30.0)
    assert parse_stream(responses[0]) == (expected_tokens(prompt, count), True)


def wait_for_decoding_engine(deployment):
    """Wait until an engine decodes and return it."""

    def find():
        for engine in deployment.engines.values():
            kinds = {hold["kind"] for hold in engine.list_holds()}
            if "decode-slot" in kinds:
                return engine
        return None

    wait_until(find)
    return find()


def list_runs(deployment, kind):
    runs = [run for engine in deployment.engines.values() for run in engine.runs]
    return [run for run in runs if run.kind == kind]


def wait_until_released(deployment, daemon):
    wait_until(lambda: not list_holds(deployment), 15.0)
    wait_until(lambda: daemon.request_components.count_holds() == (0, 0), 15.0)


def test_silent_stream_resumes_over_a_new_connection(single_host):
    """Guard against a response that is lost when its stream sends no data."""
    deployment, daemon = single_host
    thread, responses = start_stream("Silent", 60, daemon)
    engine = wait_for_decoding_engine(deployment)
    time.sleep(0.2)
    engine.faults.stall_streams_opened_before = time.monotonic()
    assert_complete_stream(thread, responses, "Silent", 60)
    assert len(list_runs(deployment, "prefill")) == 1
    wait_until_released(deployment, daemon)


def test_crashed_decode_server_is_replaced(single_host):
    """Guard against a stream that is lost or restarts when a decode server crashes."""
    deployment, daemon = single_host
    thread, responses = start_stream("Crash", 80, daemon)
    engine = wait_for_decoding_engine(deployment)
    time.sleep(0.3)
    engine.crash()
    assert_complete_stream(thread, responses, "Crash", 80)
    wait_until_released(deployment, daemon)


def test_failed_prefill_is_retried_on_another_server(single_host):
    """Guard against a request that fails because prefill servers are down."""
    deployment, daemon = single_host
    down_engines = [e for n, e in deployment.engines.items() if "prefill" in n][:2]
    for engine in down_engines:
        engine.faults.down = True
    # The loss of a server that has not answered recently is no evidence.
    time.sleep(2.0)
    assert send_completion(daemon, "Prefill", 5).status == 200
    for engine in down_engines:
        engine.faults.down = False
    wait_until_released(deployment, daemon)


def test_stalled_transfer_is_retried_on_another_decode_server(single_host):
    """Guard against a request that waits forever for a stalled KV transfer."""
    deployment, daemon = single_host
    decode_engines = [e for n, e in deployment.engines.items() if "decode" in n]
    for engine in decode_engines[:2]:
        engine.faults.stall_transfers = True
    started = time.monotonic()
    assert send_completion(daemon, "Stall", 5).status == 200
    assert time.monotonic() - started < 10.0
    wait_until_released(deployment, daemon)


def test_lost_cancel_is_retried(single_host):
    """Guard against engine memory that stays held after a lost cancel (I1)."""
    deployment, daemon = single_host
    body = {"model": "assessor", "prompt": "Gone", "max_tokens": 2000, "stream": True}
    response = urllib3.request(
        "POST",
        f"http://{daemon.http.address}/v1/completions",
        body=json.dumps(body).encode(),
        headers={"Authorization": f"Bearer {WORKSPACE_KEY}"},
        preload_content=False,
    )
    next(iter(response))
    engine = wait_for_decoding_engine(deployment)
    # With random failures some runs lose no cancel, and in others the delay between
    # two cancels grows beyond the bound of the release.
    engine.faults.error_share = 1.0
    response.close()
    wait_until(lambda: count_failed_cancels(engine) >= LOST_CANCELS)
    assert engine.list_holds()
    assert daemon.request_components.count_holds()[1] > 0
    engine.faults.error_share = 0.0
    wait_until_released(deployment, daemon)


def count_failed_cancels(engine):
    calls = engine.faults.failed_calls
    return sum(call.startswith("DELETE /v1/requests/") for call in calls)


def test_unregistered_local_hold_is_swept(single_host):
    """Guard against a hold that a delayed call opens after its cancel."""
    deployment, daemon = single_host
    engine = deployment.engines["rajkot-a-decode-1"]
    attempt_id = f"rajkot-a-1.{daemon.incarnation}.999.1"
    body = {"model": "assessor", "prompt": "Lost", "max_tokens": 5000, "stream": True}
    response = urllib3.request(
        "POST",
        f"http://{engine.address}/v1/completions",
        body=json.dumps(body).encode(),
        headers={"X-Request-Id": attempt_id, "Content-Type": "application/json"},
        preload_content=False,
    )
    try:
        assert engine.list_holds()
        wait_until(lambda: not engine.list_holds(), 20.0)
    finally:
        response.close()


def test_request_that_crashed_two_servers_is_refused(single_host):
    """Guard against one request that crashes several servers in turn."""
    deployment, daemon = single_host
    # A crash counts only on servers that answered load polls before it.
    time.sleep(1.0)
    response = send_completion(daemon, f"Poison {CRASH_MARK}", 5)
    assert response.status == 422
    assert response.json()["type"] == "urn:sesameport:quarantined"
    assert response.json()["execution"] == "may-have-run"
    retry = send_completion(daemon, f"Poison {CRASH_MARK}", 5)
    assert retry.json()["execution"] == "not-run"
    assert sum(e.crashes for e in deployment.engines.values()) == 2
    assert send_completion(daemon, "Good", 5).status == 200


def list_bookings(deployment):
    return [b for server in deployment.plain_servers.values() for b in server.bookings]


def send_order(daemon, key, body=None):
    headers = {"Idempotency-Key": key}
    return send_post(
        daemon, "/orders", body or {"item": "hide"}, ORDER_DESK_KEY, **headers
    )


def test_order_with_lost_answer_runs_once(single_host):
    """Guard against a double booking after a lost response (I7)."""
    deployment, daemon = single_host
    for server in deployment.plain_servers.values():
        server.faults.lost_response_share = 1.0
    first = send_order(daemon, "k1")
    assert first.json()["execution"] == "may-have-run"
    for server in deployment.plain_servers.values():
        server.faults.lost_response_share = 0.0
    wait_until(lambda: send_order(daemon, "k1").json()["execution"] == "may-have-run")
    assert len(list_bookings(deployment)) == 1


def test_retried_order_returns_the_first_answer(single_host):
    """Guard against a second booking and against key reuse with another body."""
    deployment, daemon = single_host
    first = send_order(daemon, "k2")
    assert first.status == 201
    wait_until(lambda: send_order(daemon, "k2").status == 201)
    retry = send_order(daemon, "k2")
    assert retry.data == first.data
    assert retry.headers["Idempotency-Replayed"] == "true"
    assert send_order(daemon, "k2", {"item": "other"}).status == 422
    assert len(list_bookings(deployment)) == 1


def test_idempotent_order_is_refused_while_the_platform_is_down(single_host):
    """Guard against an order without a claim (I7) and a false not-run (I6)."""
    deployment, daemon = single_host
    deployment.platform.faults.down = True
    refused = send_order(daemon, "k3")
    assert refused.status == 503
    assert refused.json()["execution"] == "not-run"
    assert not list_bookings(deployment)
    deployment.platform.faults.down = False
    wait_until(lambda: send_order(daemon, "k3").status == 201)
    assert len(list_bookings(deployment)) == 1


def test_order_with_unknown_outcome_is_not_retried(single_host):
    """Guard against a second run of a call that is not repeatable (I7)."""
    deployment, daemon = single_host
    for server in deployment.plain_servers.values():
        server.faults.lost_response_share = 1.0
    response = send_post(daemon, "/orders", {"item": "hide"}, ORDER_DESK_KEY)
    assert response.json()["execution"] == "may-have-run"
    assert len(list_bookings(deployment)) == 1


def test_repeatable_call_is_retried_on_another_server(single_host):
    """Guard against a failed call that another server could have answered."""
    deployment, daemon = single_host
    list(deployment.plain_servers.values())[0].faults.down = True
    list(deployment.plain_servers.values())[1].faults.down = True
    url = f"http://{daemon.http.address}/stock/hide"
    headers = {"Authorization": f"Bearer {ORDER_DESK_KEY}"}
    for _ in range(3):
        assert urllib3.request("GET", url, headers=headers).status == 200
