"""Test the placements of the router and its send window."""

import random
from collections import Counter

import attrs

from sesameport.domain import PlainRequest, ServerRole, ServerState, Urgency
from sesameport.routing import ExpiredRequest, PairingPolicy, Placement, SendWindow
from sesameport.routing.server_index import ServerIndex
from sesameport.routing.tests.samples import make_router, pools, report, request, server


def _poll_placements(router, now):
    return [p for p in router.poll(now) if isinstance(p, Placement)]


def _finish(router, placement, now):
    router.record_prefill_end(placement, now)
    router.record_first_token(placement, now)
    router.record_decode_end(placement, now, 50)


def test_placement_has_a_reason():
    router = make_router()
    assert router.enqueue(request(1, urgent=True), 0.0) is None
    (placement,) = _poll_placements(router, 0.0)
    assert placement.prefill.can_prefill() and placement.decode.can_decode()
    assert "first token" in placement.reason
    assert router.explain("mora-1") == placement.reason
    assert router.next_poll_at(0.0) is None


def test_leaving_and_failed_servers_get_no_new_work():
    # Guards against work for a server that is about to stop or has just crashed
    # (invariant I8 within one host).
    servers = [
        server("p0", ServerRole.PREFILL),
        server("d0", ServerRole.DECODE, state=ServerState.LEAVING),
        server("d1", ServerRole.DECODE),
    ]
    router = make_router(servers)
    assert router.place(request(1), 0.0).decode.name == "d1"
    router.record_server_failure("d1", 0.0)
    assert router.place(request(2), 0.1) is None
    assert "no usable server" in router.explain("mora-2")
    assert router.place(request(3), 5.0).decode.name == "d1"


def test_excluded_servers_are_not_chosen():
    router = make_router()
    for i in range(20):
        placement = router.place(request(i), 0.0, frozenset({"p0", "d0"}))
        assert placement.prefill.name != "p0" and placement.decode.name != "d0"
        _finish(router, placement, 0.0)


def test_local_data_centre_is_preferred_among_equal_servers():
    router = make_router()
    chosen = Counter()
    for i in range(60):
        placement = router.place(request(i), 0.0)
        chosen[placement.decode.data_centre] += 1
        _finish(router, placement, 0.0)
    assert chosen["svealand-a"] > 30


def test_remote_data_centre_is_used_when_the_local_one_is_full():
    router = make_router()
    router.record_load_report(report("d0", 20), 1.0)
    router.record_load_report(report("p0", 0, tokens=30_000), 1.0)
    placement = router.place(request(1), 1.0)
    assert placement.prefill.name != "p0" and placement.decode.name != "d0"


def test_no_prefill_starts_while_an_own_result_waits_for_a_slot():
    # Guards against prefills whose results expire before a decode slot is free.
    router = make_router()
    placement = router.place(request(1), 0.0)
    router.record_prefill_end(placement, 0.1)
    router.record_busy_answer(placement.decode.name, 0.11)
    retried = router.place_decode(request(1), 0.11)
    assert retried.prefill == placement.prefill
    router.enqueue(request(2), 0.12)
    assert _poll_placements(router, 0.12) == []
    assert "waits for a slot" in router.explain("mora-2")
    router.record_first_token(retried, 0.15)
    router.record_decode_end(retried, 0.2)
    assert len(_poll_placements(router, 0.3)) == 1


def test_host_places_no_more_than_its_window():
    # Guards against several hosts that overfill the same slots.
    router = make_router(hosts=9)
    for i in range(40):
        router.enqueue(request(i, urgent=True), 0.0)
    assert len(_poll_placements(router, 0.0)) <= 60 // 9 + 5
    assert router.next_poll_at(0.0) > 0.0


def test_every_placement_is_released_for_any_order_of_events():
    # Guards against reservations that are never released.
    rng = random.Random(3)
    router = make_router(hosts=1)
    for i in range(300):
        placement = router.place(request(i), i * 0.01)
        if placement is None:
            continue
        events = [
            router.record_prefill_end,
            router.record_decode_end,
            router.record_first_token,
        ]
        rng.shuffle(events)
        if rng.random() < 0.3:
            router.record_prefill_end(placement, i * 0.01)
            placement = router.place_decode(request(i), i * 0.01)
        for event in events + [router.record_decode_end]:
            event(placement, i * 0.01)
    assert router.open_count(99.0) == 0


def test_expired_request_is_refused_without_running():
    router = make_router([server("p0", ServerRole.PREFILL)])
    router.enqueue(request(1, deadline=1.0), 0.0)
    assert router.poll(0.5) == []
    (expired,) = router.poll(1.1)
    assert isinstance(expired, ExpiredRequest)
    assert expired.refusal.execution == "not-run"
    assert expired.refusal.retry_after_s >= 1.0


def test_decision_checks_a_bounded_number_of_servers():
    # Guards against a cost that grows with the number of replicas.
    check_counts = []
    for count in (10, 600):
        index = ServerIndex("svealand-a")
        index.set_servers(pools(count))
        calls = Counter()

        def is_usable(name, calls=calls):
            calls[name] += 1
            return False

        index.sample("draft-llm", "decode", 4, is_usable, random.Random(1))
        check_counts.append(sum(calls.values()))
    assert check_counts[1] <= 3 * (4 + 4 + 2)
    router = make_router(pools(600))
    assert len(router.server_subset()) <= 2 * router.cfg.subset_size_per_role


def test_window_grows_on_acceptance_and_decreases_on_waits():
    window = SendWindow(PairingPolicy(), 6.0, 6.0)
    for reservation_id in range(6):
        window.add(reservation_id, 50)
        window.record_decode_call(reservation_id, 1.0, 2.0)
        window.record_acceptance(reservation_id, 1.0)
    grown = window.size
    assert grown > 6.0
    window.add(9, 50)
    window.record_decode_call(9, 2.0, 2.0)
    window.record_decode_call(9, 2.6, 2.0)
    window.record_acceptance(9, 2.6)
    assert window.size < grown


def test_windows_of_busy_hosts_converge():
    # Guards against a host whose window stays smaller than those of the others.
    windows = [SendWindow(PairingPolicy(), size, 6.0, False) for size in (2.0, 14.0)]
    for step in range(4_000):
        now = step * 0.1
        waited = 0.3 if sum(w.size for w in windows) > 14 else 0.0
        for window in windows:
            for reservation_id in range(1 + int(window.size)):
                window.add(reservation_id, 50)
            for reservation_id in range(1 + int(window.size / 2)):
                window.record_decode_call(reservation_id, now, 2.0)
                window.record_decode_call(reservation_id, now + waited, 2.0)
                window.record_acceptance(reservation_id, now)
    assert abs(windows[0].size - windows[1].size) < 2.0


def test_plain_calls_are_distributed_evenly_and_released():
    servers = [
        attrs.evolve(server(f"o{i}", ServerRole.PLAIN), service="order-desk")
        for i in range(3)
    ]
    router = make_router(pools() + servers)
    req = PlainRequest(
        "o", "order-desk", "", "POST", "/", (), b"", False, Urgency.URGENT, 9.0
    )
    chosen = [router.place_plain(req, 0.0).name for _ in range(6)]
    assert set(Counter(chosen).values()) == {2}
    for name in chosen:
        router.record_plain_end(name, 0.0)
    assert router.open_count(0.0) == 0
