"""Test who is closed when memory, bodies or threads run out, without a network."""

import io
import socket
import types
from unittest.mock import Mock

import pytest

from sesameport.adapters.caller_limits.bounds import CallerBounds
from sesameport.adapters.caller_limits.memory_account import (
    Holder,
    MemoryAccount,
    choose_largest,
)
from sesameport.adapters.caller_limits.open_bodies import (
    OpenBodies,
    choose_overdue,
    choose_slowest,
)
from sesameport.adapters.caller_limits.reports import LimitReporter
from sesameport.adapters.caller_limits.supervisor import choose_blocked
from sesameport.adapters.caller_limits.unread_bytes import (
    UnreadBytes,
    choose_most_unread,
)
from sesameport.telemetry.logs import JsonLineHandler

NOW = 100.0


def holder(name, age_s=10.0, silent_s=0.0, **fields):
    fields = {"deadline": NOW + 50, **fields}
    return Holder(name, NOW - age_s, last_at=NOW - silent_s, **fields)


def test_stalled_holder_is_closed_before_a_larger_one_that_makes_progress():
    busy, stalled = holder("a", held=900), holder("b", held=100, silent_s=2.0)
    held_back = holder("c", held=950, silent_s=9.0, is_held_back=True)
    assert choose_largest([busy, stalled, held_back], NOW, 0.0) is stalled
    assert choose_largest([busy, held_back], NOW, 0.5) is None
    assert choose_largest([busy, held_back], NOW, 1.5) is held_back


def test_closed_holder_is_not_closed_again():
    # Guards against a wait that closes nothing while the first victim ends.
    closed = holder("a", held=900, silent_s=2.0, closed_for="memory")
    assert choose_largest([closed], NOW, 9.0) is None


def test_young_and_fast_bodies_are_not_closed_for_others():
    young, fast = holder("a", age_s=0.5), holder("a", received=10_000_000)
    slow = holder("b", received=100)
    assert choose_slowest([young, fast, slow], NOW) is slow
    assert choose_slowest([young, fast, slow], NOW, "a") is fast
    assert choose_slowest([young], NOW) is None


@pytest.mark.parametrize(
    ("body", "bound"),
    [
        (holder("a", deadline=NOW - 1), "body-deadline"),
        (holder("a", age_s=40, silent_s=20, received=10**9), "body-progress"),
        (holder("a", age_s=40, received=1_000), "body-progress"),
        (holder("a", age_s=40, received=20_000), ""),
        (holder("a", age_s=10, received=1), ""),
        (holder("a", age_s=40, silent_s=20, is_held_back=True), ""),
    ],
)
def test_overdue_bodies_are_closed_and_others_are_not(body, bound):
    found = choose_overdue([body], NOW, idle_s=15.0, min_rate=256.0)
    assert [reason for _, reason in found] == ([bound] if bound else [])


def test_head_is_cut_off_before_a_slow_reader():
    def conn(head_since=0.0, write_since=0.0):
        return types.SimpleNamespace(head_since=head_since, write_since=write_since)

    head, reader = conn(head_since=NOW - 1), conn(write_since=NOW - 60)
    assert choose_blocked([reader, head], NOW) is head
    assert choose_blocked([reader, conn(head_since=NOW - 0.1)], NOW) is reader
    assert choose_blocked([conn(write_since=NOW - 1)], NOW) is None


def test_one_address_does_not_take_all_bodies():
    bodies = OpenBodies(
        CallerBounds.for_machine(max_bodies=3, max_bodies_per_address=2)
    )
    conn = types.SimpleNamespace(
        socket=types.SimpleNamespace(shutdown=lambda how: None)
    )
    first, second, third = (Holder("a", at, 90.0, at) for at in (50.0, 51.0, 51.5))
    assert bodies.add(first, conn) == bodies.add(second, conn) == ""
    assert bodies.add(third, conn) == ""
    assert first.closed_for == "bodies-per-address"
    other = Holder("b", 51.6, 90.0, 51.6)
    bodies.remove(first)
    assert bodies.add(other, conn) == ""
    # The others are too young to be closed for a further one.
    assert bodies.add(Holder("b", 51.7, 90.0, 51.7), conn) == "bodies"
    assert second.closed_for == ""
    for body in (second, third):
        bodies.remove(body)


def test_reserved_memory_is_left_to_small_requests():
    account = MemoryAccount(100, 30)
    assert account.charge_open(70)
    assert not account.charge_open(1)
    assert account.charge(30)
    assert not account.charge(1)
    account.release(100)
    assert account.used == 0


def test_bounds_follow_the_machine_and_stated_values_take_precedence():
    small, large = (
        CallerBounds.for_machine(128, 300),
        CallerBounds.for_machine(552, 10_250),
    )
    assert small.max_threads <= small.max_connections == 40
    assert large.account_bytes == 342_000_000
    assert CallerBounds.for_machine(128, 300, max_threads=9).max_bodies == 4
    # One body of the usual size limit always fits.
    assert small.account_bytes - small.reserved_bytes > 2 * 4_194_304


def test_each_address_is_logged_once_and_counted_always():
    counted, stream = [], io.StringIO()
    reporter = LimitReporter(counted.append)
    with JsonLineHandler("h", "a", stream).applicationbound():
        for _ in range(3):
            reporter.report("10.0.0.1", "memory")
    assert counted == ["memory"] * 3
    assert stream.getvalue().count("limit reached") == 1


def test_connections_with_most_unread_bytes_are_cut_off_for_the_excess():
    sizes = {"a": 10, "b": 500, "c": 300, "silent": 0}
    assert choose_most_unread(sizes, 0) == []
    assert choose_most_unread(sizes, 700) == ["b", "c"]
    assert choose_most_unread(sizes, 700, closing=650) == ["b"]
    # Guards against cutting off silent connections for bytes that others hold.
    assert choose_most_unread(sizes, 10_000) == ["b", "c", "a"]


def test_unread_bytes_are_charged_until_they_are_read():
    account = MemoryAccount(1_000, 0)
    unread = UnreadBytes(account)
    sender, receiver = socket.socketpair()
    with sender, receiver:
        conn = Mock(socket=receiver, closed_for="")
        sender.sendall(b"x" * 900)
        assert unread.update([conn]) == []
        assert account.used == 900
        sender.sendall(b"x" * 200)
        assert unread.update([conn]) == [conn]
        # A connection that is cut off keeps its bytes until its thread closes it.
        conn.closed_for = "memory"
        assert unread.update([conn]) == []
        receiver.recv(1_000)
        unread.update([conn])
        assert account.used == 100
    assert unread.update([conn]) == []
    assert account.used == 0
