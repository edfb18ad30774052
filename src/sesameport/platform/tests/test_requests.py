"""Test one host from the caller's side against faulty replicas."""

import socket
import threading
import time

import attrs
import pytest

from sesameport.entry.settings import FleetBounds
from sesameport.platform.tests.conftest import HOST, KEY, configuration, wait_until


def test_plain_request_is_passed_on_unchanged_without_the_key(world, host):
    answer = world.call("/look/a%2Fb?q=1&q=2", headers={"X-Other": "v"})
    assert (answer.status, answer.body) == (200, b"s1 ran r1")
    assert answer.headers["x-response-seal"] == "seal-s1"
    method, path, headers, _ = world.replicas["s1"].seen[0]
    assert (method, path) == ("GET", "/look/a%2Fb?q=1&q=2")
    assert headers["x-tenant"] == "w"
    assert headers["x-other"] == "v"
    assert "x-key" not in headers
    assert 0 < int(headers["x-deadline-ms"]) <= 2_000


def test_headers_that_the_router_sets_are_not_taken_from_callers(world, host):
    forged = {
        "X-Tenant": "other",
        "X-Kv-Source": "1.2.3.4:5/h",
        "X-Kv-Hold": "1",
        "X-Pin-Ms": "9",
        "X-Kv-Backup": "1.2.3.4:5",
        "X-Stage": "prefill",
        "X-Expect-Instance": "other",
        "Connection": "X-Secret",
        "X-Secret": "1",
    }
    assert world.call("/look/x", headers=forged).status == 200
    _, _, headers, _ = world.replicas["s1"].seen[0]
    assert headers["x-tenant"] == "w"
    assert headers["x-expect-instance"] == "s1"
    for name in ("x-kv-source", "x-kv-hold", "x-pin-ms", "x-kv-backup", "x-stage"):
        assert name not in headers
    assert "x-secret" not in headers


def test_unknown_route_and_key_are_told_apart(world, host):
    assert world.call("/none/x").status == 404
    assert world.call("/look/x", key="wrong").status == 401
    assert world.call("/open/x", key="wrong").status == 200


def test_stream_is_read_by_one_engine_and_run_by_the_other(world, host):
    answer = world.draft()
    assert answer.status == 200
    assert answer.is_whole
    assert answer.body.count(b"data: piece") == 6
    prefill, decode = world.replicas["p1"], world.replicas["d1"]
    assert prefill.seen[0][2]["x-stage"] == "prefill"
    assert decode.seen[0][2]["x-kv-source"] == f"{prefill.address}/h1"
    assert decode.runs == ["r1"]


def test_safe_request_is_repeated_elsewhere_after_every_failure(world, host):
    second = world.add_replica("s2", "desk")
    wait_until(lambda: host.server_count() >= 4)
    for number, fault in enumerate(["error", "cut", "break", "unsigned", "encoded"]):
        for replica in (world.replicas["s1"], second):
            replica.faults[:] = []
            replica.runs.clear()
        # Both have the fault ready; the one that is tried first takes it.
        world.replicas["s1"].faults[:] = second.faults[:] = [fault]
        first_answer = world.call("/look/x", request_id=f"a{number}")
        runs = world.replicas["s1"].runs + second.runs
        assert len(runs) == 2, fault
        assert first_answer.status in (500, 502), fault
        world.replicas["s1"].faults[:] = second.faults[:] = []
        assert world.call("/look/x", request_id=f"b{number}").status == 200


def test_unsafe_request_never_runs_twice(world, host):
    # Guards against double bookings after a lost answer.
    second = world.add_replica("s2", "desk")
    wait_until(lambda: host.server_count() >= 4)
    for number, fault in enumerate(["cut", "break", "unsigned", "other", "error"]):
        for replica in (world.replicas["s1"], second):
            replica.faults[:] = [fault]
            replica.runs.clear()
        answer = world.call("/book/x", "POST", b"lot", request_id=f"u{number}")
        assert len(world.replicas["s1"].runs + second.runs) == 1, fault
        # A refusal would promise that it has not run.
        assert answer.status in (500, 502), fault


def test_unsafe_request_goes_on_after_a_refusal(world, host):
    second = world.add_replica("s2", "desk")
    wait_until(lambda: host.server_count() >= 4)
    world.replicas["s1"].faults[:] = ["refuse"]
    second.faults[:] = []
    answers = [
        world.call("/book/x", "POST", b"lot", request_id=f"u{number}").status
        for number in range(3)
    ]
    assert answers == [200, 200, 200]


def test_request_that_did_not_run_is_refused_with_a_time_to_come_back(world, host):
    world.replicas["s1"].faults[:] = ["refuse"]
    answer = world.call("/book/x", "POST", b"lot")
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0
    assert world.replicas["s1"].runs == []


def test_broken_stream_does_not_look_complete_and_is_not_run_again(world, host):
    world.replicas["d1"].faults[:] = ["break"]
    answer = world.draft()
    assert not answer.is_whole
    assert world.replicas["d1"].runs == ["r1"]


def test_resumable_stream_goes_on_at_another_engine_without_gap(world, host):
    second = world.add_replica("d2", "llm", "decode")
    wait_until(lambda: host.server_count() >= 4)
    for replica in (world.replicas["d1"], second):
        replica.faults[:] = ["break"]
    world.replicas["d1"].faults[:] = ["break"]
    second.faults[:] = []
    for number in range(2):
        answer = world.draft("grade", request_id=f"g{number}")
        assert answer.is_whole
        pieces = [line for line in answer.body.split(b"\n") if line.startswith(b"id:")]
        assert pieces == [f"id: {each}".encode() for each in range(1, 7)]


def test_prompt_is_not_read_again_when_its_decode_engine_is_gone(world, host):
    # Guards against a second prefill, whose time and budget the caller pays for, while
    # the KV cache of the first one is still there.
    second = world.add_replica("d2", "llm", "decode")
    wait_until(lambda: host.server_count() >= 4)
    world.replicas["d1"].name = "another"
    assert world.draft().is_whole
    prefill = world.replicas["p1"]
    assert len(prefill.seen) == 1
    assert second.seen[0][2]["x-kv-source"] == f"{prefill.address}/h1"
    assert prefill.freed == []


def test_kv_cache_is_freed_when_no_engine_can_take_it(world, host):
    world.replicas["d1"].name = "another"
    assert world.draft().status == 503
    wait_until(lambda: world.replicas["p1"].freed == ["h1"])


def test_replica_hears_soon_when_the_caller_leaves(world, host):
    world.replicas["s1"].faults[:] = ["hang"]
    sock = socket.create_connection(host.caller_address.split(":"), timeout=5)
    sock.sendall(
        f"GET /look/x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: r1\r\n"
        f"X-Key: {KEY}\r\nX-Deadline-Ms: 2000\r\n\r\n".encode()
    )
    wait_until(lambda: world.replicas["s1"].runs)
    sock.close()
    assert world.replicas["s1"].left.wait(0.5)


def test_route_timeout_gets_a_final_answer_and_ends_the_run(world, host):
    world.replicas["s1"].faults[:] = ["hang"]
    started = time.monotonic()
    answer = world.call("/book/x", "POST", b"lot", deadline_ms=10_000)
    assert answer.status == 504
    assert 1.9 < time.monotonic() - started < 2.5
    assert world.replicas["s1"].left.wait(0.5)


def test_drafts_beyond_the_memory_are_refused_within_the_target(world, host):
    # Four drafts of 1,160 tokens for 20,000 are placed; the fifth finds 17 held.
    world.replicas["d1"].pause_s = 0.3
    answers = []
    threads = [
        threading.Thread(
            target=lambda number=number: answers.append(
                (
                    time.monotonic(),
                    world.draft(
                        request_id=f"m{number}",
                        headers={"X-Token-Count": "6000,400"},
                    ).status,
                )
            )
        )
        for number in range(6)
    ]
    started = time.monotonic()
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    statuses = sorted(status for _, status in answers)
    assert statuses == [200, 200, 200, 503, 503, 503]
    assert all(at - started < 0.9 for at, status in answers if status == 503)


def test_workspace_over_its_rate_gets_429_with_a_time_to_come_back(world, host):
    tenants = [{"name": "w", "apiKeys": [KEY], "ratePerS": 10, "burst": 25}]
    tenants[0]["plainTokens"] = 10
    world.configure(2, tenants=tenants)
    wait_until(lambda: host.version() == 2)
    statuses = [world.call("/look/x", request_id=f"q{n}").status for n in range(4)]
    assert statuses == [200, 200, 429, 429]
    retry_after = float(world.call("/look/x").headers["retry-after"])
    assert 0 < retry_after <= 1.0


def test_engine_that_is_gone_costs_no_request(world, host):
    second = world.add_replica("s2", "desk")
    wait_until(lambda: host.server_count() >= 4)
    second.stop()
    answers = [
        world.call("/book/x", "POST", b"lot", request_id=f"e{n}").status
        for n in range(6)
    ]
    assert answers == [200] * 6


def test_configuration_is_in_force_at_once_and_never_goes_back(world, host):
    routes = [route for route in configuration()["routes"] if route["name"] != "open"]
    world.configure(5, routes=routes)
    wait_until(lambda: world.call("/open/x").status == 404, 1.0)
    world.configure(4)
    time.sleep(0.2)
    assert world.call("/open/x").status == 404


def test_silent_prefill_engine_costs_a_second_and_not_the_draft(world, host):
    # Guards against waiting for a dark engine until the caller gives up.
    second = world.add_replica("p2", "llm", "prefill")
    wait_until(lambda: host.server_count() >= 4)
    for replica in (world.replicas["p1"], second):
        replica.silent_prefills = 1
    started = time.monotonic()
    world.replicas["p1"].silent_prefills = 1
    second.silent_prefills = 0
    answers = [world.draft(request_id=f"s{n}").status for n in range(3)]
    assert answers == [200, 200, 200]
    assert time.monotonic() - started < 2.5


@pytest.mark.parametrize("fault", ["silent", "cut"])
def test_lost_answer_of_a_prefill_is_asked_for_again_where_it_was_read(
    world, host, fault
):
    # Load: a sound engine whose answers get lost. Guards against prompts that other
    # engines read anew, and against pauses that take it out of use on all hosts.
    prefill = world.replicas["p1"]
    prefill.silent_prefills = int(fault == "silent")
    prefill.cut_prefills = int(fault == "cut")
    started = time.monotonic()
    assert world.draft().is_whole
    assert time.monotonic() - started < 0.9
    assert len(prefill.seen) == 2
    assert world.draft(request_id="r2").is_whole
    assert len(prefill.seen) == 3


def test_hanging_server_is_left_for_another_on_safe_routes_only(world, host):
    second = world.add_replica("s2", "desk")
    wait_until(lambda: host.server_count() >= 4)
    routes = [{**route, "targetLatencyMs": 100} for route in configuration()["routes"]]
    world.configure(2, routes=routes)
    wait_until(lambda: host.version() == 2)
    world.replicas["s1"].faults[:] = ["hang"]
    started = time.monotonic()
    statuses = [
        world.call("/look/x", request_id=f"l{n}", deadline_ms=1_000).status
        for n in range(3)
    ]
    assert statuses == [200, 200, 200]
    assert time.monotonic() - started < 0.9
    for replica in (world.replicas["s1"], second):
        replica.faults[:] = ["hang"]
        replica.runs.clear()
    assert world.call("/book/x", "POST", b"lot", deadline_ms=1_000).status == 504
    assert len(world.replicas["s1"].runs + second.runs) == 1


def test_failure_of_a_server_is_passed_on_when_no_other_does_better(world, host):
    second = world.add_replica("s2", "desk")
    wait_until(lambda: host.server_count() >= 4)
    world.replicas["s1"].faults[:] = second.faults[:] = ["error"]
    answer = world.call("/look/x")
    assert answer.status == 500
    assert answer.headers["x-response-seal"] == "e"


def test_handle_that_cannot_be_freed_costs_no_answer(world, host):
    # Guards against an error of the clean-up call in place of the caller's answer.
    world.replicas["d1"].faults[:] = ["refuse"] * 4
    prefill = world.replicas["p1"]
    prefill.stops_after_prefill = True
    answer = world.draft()
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0


def test_reloaded_retry_budget_is_in_force(world, host):
    # Guards against bounds that a running host goes on ignoring after SIGHUP.
    second = world.add_replica("s2", "desk")
    wait_until(lambda: host.server_count() >= 4)
    bounds = attrs.evolve(FleetBounds(), retry_ratio=0.0, retry_slack=0.0)
    host.reload(attrs.evolve(host.settings, bounds=bounds))
    for replica in (world.replicas["s1"], second):
        replica.faults[:] = ["error"]
    assert world.call("/look/x").status == 500
    assert len(world.replicas["s1"].runs + second.runs) == 1


def test_engine_that_is_gone_costs_one_request_its_first_try(world, host):
    # Guards against requests that find out one after the other that nobody answers.
    second = world.add_replica("d2", "llm", "decode")
    wait_until(lambda: host.server_count() >= 4)
    world.replicas["d1"].stop()
    for number in range(8):
        assert world.draft(request_id=f"r{number}").is_whole
        time.sleep(0.3)
    prefills = [seen[2]["x-request-id"] for seen in world.replicas["p1"].seen]
    assert len(second.runs) == 8
    assert len(prefills) == 8
