"""Test that bodies are read within the account and that every charge is released."""

import math
import socket
import threading
import time
import types

import pytest
from cheroot.makefile import MakeFile

from sesameport.adapters.caller_limits.body_reader import HOLDER_BYTES, BodyReader
from sesameport.adapters.caller_limits.bounds import BodyRefused, CallerBounds
from sesameport.adapters.caller_limits.memory_account import (
    STEP_BYTES,
    Holder,
    MemoryAccount,
)
from sesameport.adapters.caller_limits.open_bodies import OpenBodies
from sesameport.adapters.strict_http import FramingError
from sesameport.platform.tests.conftest import wait_until

BOUNDS = CallerBounds.for_machine(account_bytes=400_000, reserved_bytes=100_000)


class Reader:
    """Read bodies from socket pairs, like the threads of a listener."""

    def __init__(self):
        self.account = MemoryAccount(BOUNDS.account_bytes, BOUNDS.reserved_bytes)
        self.bodies = OpenBodies(BOUNDS)
        self._reader = BodyReader(
            BOUNDS, self.account, self.bodies, lambda headers: math.inf
        )

    def read(self, sock, length=None):
        """Return the body of a request on a socket, or the exception."""
        conn = types.SimpleNamespace(
            socket=sock, rfile=MakeFile(sock, "rb"), remote_addr="10.0.0.1", head=None
        )
        req = types.SimpleNamespace(
            conn=conn,
            rfile=types.SimpleNamespace(read=conn.rfile.read, remaining=length),
            chunked_read=length is None,
            inheaders={b"Content-Length": length},
            header_pairs=(),
            server=types.SimpleNamespace(max_request_body_size=200_000),
        )
        try:
            with self._reader.body_of(req) as body:
                assert self.account.used > len(body)
                return body
        except (FramingError, BodyRefused) as exc:
            return exc


@pytest.fixture
def reader():
    reader = Reader()
    yield reader
    # Guards against charges that are lost, after which all requests would be refused.
    assert reader.account.used == 0
    assert reader.bodies.holders() == []


def send(parts):
    """Return a socket on which the parts and then the end can be read."""
    ours, theirs = socket.socketpair()

    def run():
        with theirs:
            for part in parts:
                theirs.sendall(part)

    threading.Thread(target=run, daemon=True).start()
    return ours


@pytest.mark.parametrize("size", [1, 8_000, 150_000])
def test_body_is_read_with_a_length_and_in_chunks(reader, size):
    body = b"b" * size
    assert reader.read(send([body]), size) == body
    assert reader.read(send([b"%x\r\n%b\r\n0\r\n\r\n" % (size, body)])) == body
    assert reader.read(send([b"1\r\nb\r\n" * size, b"0\r\n\r\n"])) == body


@pytest.mark.parametrize(
    ("data", "length"),
    [(b"x" * 9, 10), (b"5\r\nhel", None), (b"0\r\n", None), (b"", 10)],
)
def test_body_that_ends_early_is_malformed(reader, data, length):
    assert isinstance(reader.read(send([data]), length), FramingError)


def test_too_large_body_is_refused(reader):
    refused = reader.read(send([b"30d41\r\n", b"x" * 200_001]))
    assert (refused.status, refused.bound) == (413, "body-bytes")


def test_small_body_behind_its_head_is_served_among_too_many_bodies(reader):
    # Guards against callers that are refused for the slow bodies of their address.
    slow = [Holder("10.0.0.1", now, math.inf) for now in [time.monotonic()] * 200]
    for holder in slow:
        reader.bodies.add(holder, None)
    assert reader.read(send([b"small"]), 5) == b"small"
    assert reader.read(send([b"5\r\nsmall\r\n0\r\n\r\n"])) == b"small"
    assert reader.read(send([b"x" * 9_000]), 9_000).bound == "bodies-per-address"
    for holder in slow:
        reader.bodies.remove(holder)


def test_stalled_bodies_give_way_to_others(reader):
    # Guards against bodies that stop short and keep all others from being read.
    pairs = [socket.socketpair() for _ in range(3)]
    results = []
    threads = [
        threading.Thread(target=lambda sock=ours: results.append(reader.read(sock)))
        for ours, _ in pairs
    ]
    for thread, (_, theirs) in zip(threads, pairs, strict=True):
        thread.start()
        theirs.sendall(b"1d4c0\r\n" + b"x" * 60_000)
    # Each holds its first step; together they hold all that bodies may have.
    wait_until(lambda: reader.account.used == 3 * (HOLDER_BYTES + STEP_BYTES))
    assert reader.read(send([b"y" * 150_000]), 150_000) == b"y" * 150_000
    for _, theirs in pairs:
        theirs.close()
    for thread in threads:
        thread.join(20.0)
    assert any(getattr(result, "bound", "") == "memory" for result in results)
    assert len(results) == 3
