"""Check placements by the router and its send window."""

import random
from collections import Counter

import attrs

from sesameport.routing import Expired, PairingPolicy, Placement, SendWindow
from sesameport.routing.server_index import ServerIndex
from sesameport.routing.tests.samples import pools, report, request, router, server
from sesameport.world import PlainRequest, ServerRole, ServerState, Urgency


def _placed(item, now):
    return [p for p in item.poll(now) if isinstance(p, Placement)]


def _finish(item, placement, now):
    item.prefill_ended(placement, now)
    item.first_token(placement, now)
    item.decode_ended(placement, now, 50)


def test_a_request_is_placed_with_a_reason():
    item = router()
    assert item.enqueue(request(1, urgent=True), 0.0) is None
    (placement,) = _placed(item, 0.0)
    assert placement.prefill.can_prefill() and placement.decode.can_decode()
    assert "first token" in placement.reason
    assert item.explain("mora-1") == placement.reason
    assert item.next_poll_at(0.0) is None


def test_leaving_and_failed_servers_get_no_new_work():
    # Guards invariant I8 inside one host.
    servers = [
        server("p0", ServerRole.PREFILL),
        server("d0", ServerRole.DECODE, state=ServerState.LEAVING),
        server("d1", ServerRole.DECODE),
    ]
    item = router(servers)
    assert item.place(request(1), 0.0).decode.name == "d1"
    item.report_failure("d1", 0.0)
    assert item.place(request(2), 0.1) is None
    assert "no usable server" in item.explain("mora-2")
    assert item.place(request(3), 5.0).decode.name == "d1"


def test_excluded_servers_are_not_chosen():
    item = router()
    for i in range(20):
        placement = item.place(request(i), 0.0, frozenset({"p0", "d0"}))
        assert placement.prefill.name != "p0" and placement.decode.name != "d0"
        _finish(item, placement, 0.0)


def test_the_own_data_centre_is_preferred_when_equal():
    item = router()
    chosen = Counter()
    for i in range(60):
        placement = item.place(request(i), 0.0)
        chosen[placement.decode.data_centre] += 1
        _finish(item, placement, 0.0)
    assert chosen["svealand-a"] > 30


def test_another_data_centre_is_used_when_the_own_one_is_full():
    item = router()
    item.report_load(report("d0", 20), 1.0)
    item.report_load(report("p0", 0, tokens=30_000), 1.0)
    placement = item.place(request(1), 1.0)
    assert placement.prefill.name != "p0" and placement.decode.name != "d0"


def test_no_prefill_starts_while_an_own_result_waits_for_a_slot():
    # Guards against prefills whose results can only expire.
    item = router()
    placement = item.place(request(1), 0.0)
    item.prefill_ended(placement, 0.1)
    item.report_busy(placement.decode.name, 0.11)
    again = item.place_decode(request(1), 0.11)
    assert again.prefill == placement.prefill
    item.enqueue(request(2), 0.12)
    assert _placed(item, 0.12) == []
    assert "waits for a slot" in item.explain("mora-2")
    item.first_token(again, 0.15)
    item.decode_ended(again, 0.2)
    assert len(_placed(item, 0.3)) == 1


def test_a_host_places_no_more_than_its_window():
    # Guards against many hosts that all fill the same slots.
    item = router(hosts=9)
    for i in range(40):
        item.enqueue(request(i, urgent=True), 0.0)
    assert len(_placed(item, 0.0)) <= 60 // 9 + 5
    assert item.next_poll_at(0.0) > 0.0


def test_every_placement_is_released_whatever_the_order_of_events():
    # Guards against holds left in the router.
    rng = random.Random(3)
    item = router(hosts=1)
    for i in range(300):
        placement = item.place(request(i), i * 0.01)
        if placement is None:
            continue
        events = [item.prefill_ended, item.decode_ended, item.first_token]
        rng.shuffle(events)
        if rng.random() < 0.3:
            item.prefill_ended(placement, i * 0.01)
            placement = item.place_decode(request(i), i * 0.01)
        for event in events + [item.decode_ended]:
            event(placement, i * 0.01)
    assert item.open_count(99.0) == 0


def test_an_expired_request_is_refused_not_run():
    item = router([server("p0", ServerRole.PREFILL)])
    item.enqueue(request(1, deadline=1.0), 0.0)
    assert item.poll(0.5) == []
    (expired,) = item.poll(1.1)
    assert isinstance(expired, Expired)
    assert expired.refusal.execution == "not-run"
    assert expired.refusal.retry_after_s >= 1.0


def test_a_decision_looks_at_a_constant_number_of_servers():
    # Guards against a cost that grows with the number of replicas.
    looked = []
    for count in (10, 600):
        index = ServerIndex("svealand-a")
        index.set_servers(pools(count))
        calls = Counter()

        def usable(name, calls=calls):
            calls[name] += 1
            return False

        index.sample("draft-llm", "decode", 4, usable, random.Random(1))
        looked.append(sum(calls.values()))
    assert looked[1] <= 3 * (4 + 4 + 2)
    item = router(pools(600))
    assert len(item.watched()) <= 2 * item.cfg.watched_per_role


def test_window_grows_on_acceptance_and_shrinks_on_waits():
    window = SendWindow(PairingPolicy(), 6.0, 6.0)
    for ticket in range(6):
        window.place(ticket, 50)
        window.try_decode(ticket, 1.0, 2.0)
        window.accepted(ticket, 1.0)
    grown = window.size
    assert grown > 6.0
    window.place(9, 50)
    window.try_decode(9, 2.0, 2.0)
    window.try_decode(9, 2.6, 2.0)
    window.accepted(9, 2.6)
    assert window.size < grown


def test_windows_of_busy_hosts_become_equal():
    # Guards against a host that stays behind with a small window.
    windows = [SendWindow(PairingPolicy(), size, 6.0, False) for size in (2.0, 14.0)]
    for step in range(4_000):
        now = step * 0.1
        waited = 0.3 if sum(w.size for w in windows) > 14 else 0.0
        for window in windows:
            for ticket in range(1 + int(window.size)):
                window.place(ticket, 50)
            for ticket in range(1 + int(window.size / 2)):
                window.try_decode(ticket, now, 2.0)
                window.try_decode(ticket, now + waited, 2.0)
                window.accepted(ticket, now)
    assert abs(windows[0].size - windows[1].size) < 2.0


def test_plain_calls_spread_and_are_released():
    servers = [
        attrs.evolve(server(f"o{i}", ServerRole.PLAIN), service="order-desk")
        for i in range(3)
    ]
    item = router(pools() + servers)
    req = PlainRequest(
        "o", "order-desk", "", "POST", "/", (), b"", False, Urgency.URGENT, 9.0
    )
    chosen = [item.place_plain(req, 0.0).name for _ in range(6)]
    assert set(Counter(chosen).values()) == {2}
    for name in chosen:
        item.plain_ended(name, 0.0)
    assert item.open_count(0.0) == 0
