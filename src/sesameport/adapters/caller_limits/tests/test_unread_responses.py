"""Test that responses that are not read are charged, released and cut off in order."""

import contextlib
import socket
import threading
import time
import types

import pytest

from sesameport.adapters.caller_limits.memory_account import Holder, MemoryAccount
from sesameport.adapters.caller_limits.slow_readers import (
    CallerWriter,
    SlowReaders,
    choose_unread,
)
from sesameport.platform.tests.conftest import wait_until

NOW = 100.0


def holder(held, silent_s=0.0, closed_for=""):
    at = NOW - silent_s
    return Holder("a", NOW - 9, NOW, last_at=at, held=held, closed_for=closed_for)


@pytest.mark.parametrize(("excess", "expected"), [(0, 0), (1, 1), (101, 2), (999, 3)])
def test_stalled_readers_give_way_first_and_no_more_than_needed(excess, expected):
    # Guards against slow but sound readers that are cut off without need.
    stalled, largest, small = holder(100, 2.0), holder(300), holder(200)
    found = choose_unread([small, largest, stalled], NOW, excess)
    assert found == [stalled, largest, small][:expected]


def test_reader_that_is_cut_off_already_counts_as_released():
    readers = [holder(100), holder(300, closed_for="unread")]
    assert choose_unread(readers, NOW, 200) == []


def make_writer(readers):
    ours, theirs = socket.socketpair()
    ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8_192)
    ours.settimeout(20.0)
    server = types.SimpleNamespace(
        slow_readers=readers, report=lambda address, bound: reported.append(bound)
    )
    reported = []

    def cut_off(bound, how):
        ours.shutdown(how)

    conn = types.SimpleNamespace(
        socket=ours, server=server, remote_addr="a", write_since=0.0, cut_off=cut_off
    )
    return CallerWriter(conn), theirs, reported


def test_slow_but_sound_reader_gets_everything_and_all_is_released():
    account = MemoryAccount(10_000_000, 0)
    readers = SlowReaders(account)
    writer, theirs, reported = make_writer(readers)
    data = bytes(n % 251 for n in range(300_000))
    thread = threading.Thread(target=writer.write, args=(data,), daemon=True)
    thread.start()
    wait_until(lambda: account.used > len(data))
    readers.enforce(time.monotonic())
    received = b""
    while len(received) < len(data):
        received += theirs.recv(4_096)
    thread.join(5.0)
    assert received == data
    assert (account.used, readers.holders(), reported) == (0, [], [])


def test_reader_is_cut_off_when_the_account_is_exceeded():
    account = MemoryAccount(100_000, 0)
    readers = SlowReaders(account)
    writer, _theirs, reported = make_writer(readers)

    def write():
        with contextlib.suppress(OSError):
            writer.write(bytes(300_000))

    thread = threading.Thread(target=write, daemon=True)
    thread.start()
    wait_until(lambda: account.excess() > 0)
    readers.enforce(time.monotonic())
    thread.join(5.0)
    assert not thread.is_alive()
    assert (account.used, readers.holders(), reported) == (0, [], ["unread"])
