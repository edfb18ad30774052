"""Test that the heads of requests are read within the account of the process."""

import socket
import time
from unittest.mock import Mock

import pytest

from sesameport.adapters.caller_limits.bounds import CallerBounds
from sesameport.adapters.caller_limits.listener import HttpListener
from sesameport.adapters.caller_limits.memory_account import MemoryAccount
from sesameport.adapters.caller_limits.open_heads import OpenHeads
from sesameport.entry.caller_connection import HttpResponseWriter
from sesameport.platform.tests.conftest import wait_until

BOUNDS = CallerBounds.for_machine(
    account_bytes=3_000_000, reserved_bytes=750_000, max_threads=16, max_bodies=16
)
REQUEST = b"POST / HTTP/1.1\r\nHost: a\r\n"
SHORT_LINES = b"".join(b"%03x:\r\n" % number for number in range(2_600))
LINE_MEMORY = 150
"""Memory of a header line of a few bytes that the process keeps, bytes."""

OPEN_BODY = b"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"


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


def connect(listener, data):
    host, _, port = listener.address.rpartition(":")
    sock = socket.create_connection((host, int(port)), timeout=5)
    sock.sendall(data)
    return sock


def read_status(sock):
    """Return the status line of the next response, whose body is "ok"."""
    data = b""
    while not data.endswith(b"ok"):
        chunk = sock.recv(1_000)
        assert chunk, data
        data += chunk
    return data.partition(b"\r\n")[0]


def is_open(sock):
    sock.setblocking(False)
    try:
        sock.recv(1_000)
    except BlockingIOError:
        return True
    except OSError:
        pass
    return False


def test_heads_of_short_lines_stay_within_the_account(listener):
    # 400 of them took a process over its memory, as no head was charged (review/15).
    socks = [connect(listener, REQUEST + SHORT_LINES + OPEN_BODY) for _ in range(14)]
    most = BOUNDS.account_bytes // (2_600 * LINE_MEMORY)
    wait_until(lambda: sum(map(is_open, socks)) <= most)
    assert listener.account.used <= BOUNDS.account_bytes
    # An ordinary request is answered beside them, and a large head after a while.
    with connect(listener, REQUEST + b"Content-Length: 0\r\n\r\n") as sock:
        assert read_status(sock) == b"HTTP/1.1 200 OK"
    time.sleep(1.1)
    large = b"Cookie: " + b"c" * 15_000 + b"\r\nContent-Length: 0\r\n\r\n"
    with connect(listener, REQUEST + large) as sock:
        assert read_status(sock) == b"HTTP/1.1 200 OK"
    for sock in socks:
        sock.close()
    wait_until(lambda: listener.account.used == 0)


def test_request_on_a_large_head_is_answered_and_the_charge_released(listener):
    head = REQUEST + SHORT_LINES + b"Content-Length: 5\r\n\r\n"
    with connect(listener, head) as sock:
        wait_until(lambda: listener.account.used > 2_600 * LINE_MEMORY)
        sock.sendall(b"hello")
        assert read_status(sock) == b"HTTP/1.1 200 OK"
        # The connection is kept for the next request, and the head is not.
        wait_until(lambda: listener.account.used == 0)
        sock.sendall(REQUEST + b"Content-Length: 0\r\n\r\n")
        assert read_status(sock) == b"HTTP/1.1 200 OK"


def test_head_waits_for_memory_however_often_others_take_what_is_released():
    # Guards against a head that is refused at once on a busy host, as each release of
    # memory that another request took counted as one of its few waits.
    account = Mock()
    account.charge_open.side_effect = [False] * 10 + [True]
    heads = OpenHeads(account, lambda now, waited_s: False)
    assert heads.grow(Mock(remote_addr="10.0.0.1", head=None))
