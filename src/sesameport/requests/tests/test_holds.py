"""Test the record of holds and the sweep of abandoned holds."""

import random

import pytest

from sesameport.interfaces import Hold, HoldKind
from sesameport.requests import (
    CancelHold,
    HoldOwner,
    HoldRegistry,
    HostMembership,
    choose_sweeper,
    find_abandoned_attempts,
    parse_owner,
)

OWN = HoldOwner("h1.a", "i1")


def test_cancel_is_retried_until_confirmed():
    """Guards against a hold that stays on a server after a lost cancel (I1)."""
    registry = HoldRegistry(random.Random(1))
    registry.open("d1", "a")
    registry.cancel("d1", "a", 0.0)
    now, sent = 0.0, 0
    while sent < 8 and now < 100.0:
        for cancel in registry.start_due_cancels(now):
            assert cancel == CancelHold("d1", "a")
            assert registry.start_due_cancels(now) == []
            registry.handle_result("d1", "a", False, now)
            sent += 1
        now += 0.01
    assert sent == 8, "a cancel was dropped"
    assert now > 0.1, "the delay between retries does not grow"
    assert registry.start_due_cancels(now + 10.0) == [CancelHold("d1", "a")]
    registry.handle_result("d1", "a", True, now)
    assert registry.cancel_count() == 0 and registry.open_count() == 0
    assert registry.start_due_cancels(now + 100.0) == []


def test_cancels_end_when_their_server_is_removed():
    """Guards against cancels that are sent to a removed server forever."""
    registry = HoldRegistry(random.Random(1))
    registry.cancel("d1", "a", 0.0)
    registry.open("d1", "b")
    assert len(registry.start_due_cancels(0.0)) == 1
    registry.remove_server("d1")
    registry.handle_result("d1", "a", False, 1.0)
    assert registry.servers() == set()


def test_cancels_in_flight_are_limited_per_server():
    """Guards against a server that does not respond and blocks all other cancels."""
    registry = HoldRegistry(random.Random(1))
    for number in range(20):
        registry.cancel("slow", f"a{number}", 0.0)
    registry.cancel("d1", "b", 0.0)
    servers = [cancel.server for cancel in registry.start_due_cancels(0.0)]
    assert servers.count("slow") == 2 and "d1" in servers


def hold(attempt_id, age_s=100.0, idle_s=100.0, kind=HoldKind.DECODE_SLOT):
    return Hold(attempt_id, kind, age_s, idle_s)


def is_swept(listed_hold, known=(), **members):
    return (
        find_abandoned_attempts([listed_hold], members, OWN, lambda a: a in known) != []
    )


def test_holds_of_an_earlier_process_of_this_host_are_swept():
    """Guards against a restarted host that keeps the holds of its earlier process.

    In a soak run with seed 3, two decode slots stayed for 138 s (I1).
    """
    old_hold = Hold("h1.a.i0.5.1", HoldKind.DECODE_SLOT, age_s=30.0, idle_s=30.0)

    def find_abandoned(uptime_s):
        return find_abandoned_attempts(
            [old_hold], {}, OWN, lambda a: False, uptime_s=uptime_s
        )

    assert find_abandoned(20.0) == ["h1.a.i0.5.1"]
    assert find_abandoned(29.5) == []
    assert find_abandoned(60.0) == []


def test_owner_is_read_from_the_attempt_id():
    """Guards against splitting a host name at one of its dots."""
    assert parse_owner("h1.a.i1.7.2") == OWN
    for malformed in ("", "a.b.c", "..1.1"):
        assert parse_owner(malformed) is None


@pytest.mark.parametrize(
    ("member", "listed_hold", "expected"),
    [
        (HostMembership("i", has_ended=True), hold("h.i.1.1"), True),
        (HostMembership("i", has_ended=True), hold("h.i.1.1", idle_s=1.0), False),
        (HostMembership("i", has_ended=False), hold("h.i.1.1"), False),
        (
            HostMembership("j", earlier_incarnations=frozenset({"i"})),
            hold("h.i.1.1"),
            True,
        ),
        (HostMembership("j"), hold("h.i.1.1"), False),
        (HostMembership("j", probe_answer_age_s=2.0), hold("h.i.1.1"), True),
        (
            HostMembership("j", probe_answer_age_s=2.0),
            hold("h.i.1.1", age_s=2.5),
            False,
        ),
        (HostMembership("j", has_ended=True), hold("h.i.1.1"), False),
    ],
)
def test_only_holds_of_ended_owners_are_swept(member, listed_hold, expected):
    """Guards against cancelling a hold of a live, paused or newly started host."""
    assert is_swept(listed_hold, h=member) is expected


def test_holds_of_an_unknown_host_are_kept():
    """Guards against cancelling a hold of a host that is not in the view yet."""
    assert not is_swept(hold("new.i.1.1"))


def test_unknown_hold_of_this_process_is_swept_after_its_minimum_age():
    """Guards against a hold that a delayed call created after its cancel."""
    assert is_swept(hold("h1.a.i1.3.1"))
    assert not is_swept(hold("h1.a.i1.3.1", age_s=1.0))
    assert not is_swept(hold("h1.a.i1.3.1"), known={"h1.a.i1.3.1"})


def test_removed_host_reassigns_only_its_own_servers():
    """Guards against servers without a sweeper and against mass reassignment."""
    hosts = [f"h{i}" for i in range(9)]
    servers = [f"d{i}" for i in range(300)]
    before = {s: choose_sweeper(s, hosts) for s in servers}
    after = {s: choose_sweeper(s, hosts[1:]) for s in servers}
    reassigned = [s for s in servers if before[s] != after[s]]
    assert reassigned == [s for s in servers if before[s] == "h0"]
    assert len(set(before.values())) == 9
    assert choose_sweeper("d1", []) is None
