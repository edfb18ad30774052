"""Test that bytes which wait unread in sockets give way to small requests."""

import contextlib
import socket

import pytest

from sesameport.adapters.caller_limits.bounds import CallerBounds
from sesameport.adapters.caller_limits.listener import HttpListener
from sesameport.adapters.caller_limits.memory_account import MemoryAccount
from sesameport.entry.caller_connection import HttpResponseWriter
from sesameport.platform.tests.conftest import wait_until

BOUNDS = CallerBounds.for_machine(
    account_bytes=200_000, reserved_bytes=50_000, max_threads=16, max_bodies=16
)
HEAD = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"


@pytest.fixture
def listener():
    account = MemoryAccount(BOUNDS.account_bytes, BOUNDS.reserved_bytes)

    def handle(http, body):
        HttpResponseWriter(http, lambda: False).send_complete(200, [], b"ok")

    server = HttpListener(
        "127.0.0.1:0", handle, 16, 16, bounds=BOUNDS, account=account
    ).start()
    server.account = account
    yield server
    server.stop()


def connect(listener):
    host, _, port = listener.address.rpartition(":")
    return socket.create_connection((host, int(port)), timeout=5)


def send_large_bodies(listener, count):
    """Return connections whose bodies fill the account and their receive buffers."""
    socks = [connect(listener) for _ in range(count)]
    for sock in socks:
        sock.sendall(HEAD % 4_000_000 + b"b" * 20_000)
    wait_until(lambda: listener.account.used >= BOUNDS.account_bytes // 2)
    for sock in socks:
        sock.setblocking(False)
        with contextlib.suppress(OSError):
            while True:
                sock.send(b"b" * 20_000)
    return socks


def status_of_small_request(listener):
    with connect(listener) as sock:
        sock.sendall(HEAD % 0)
        return sock.recv(1_000).partition(b"\r\n")[0]


def leave_bytes_charged(listener):
    """Return whether the account is full for connections that have all ended."""
    socks = send_large_bodies(listener, 8)
    listener.enforce_limits()
    for sock in socks:
        sock.close()
    wait_until(lambda: listener.connection_count() == 0)
    return listener.account.excess() > 0


def test_small_request_is_not_refused_for_bytes_of_connections_that_ended(listener):
    # Guards against 503 for ordinary requests until the bytes are counted again, which
    # happens late on a busy host.
    wait_until(lambda: leave_bytes_charged(listener), 30.0)
    assert status_of_small_request(listener) == b"HTTP/1.1 200 OK"
    listener.enforce_limits()
    wait_until(lambda: listener.account.used == 0)


def test_connection_with_more_unread_bytes_gives_way_to_a_small_request(listener):
    # Guards against 503 while bodies that are held back fill the account to its limit.
    socks = send_large_bodies(listener, 8)
    wait_until(lambda: listener.enforce_limits() or not listener.account.excess())
    listener.account.charge_held(BOUNDS.account_bytes - listener.account.used)
    assert status_of_small_request(listener) == b"HTTP/1.1 200 OK"
    for sock in socks:
        sock.close()
