"""Test that answers without an end are charged to the account, and released."""

import socket
import threading
import time

import pytest

from sesameport.adapters.caller_limits.memory_account import MemoryAccount
from sesameport.adapters.cancellable_socket import CancellableSocket, ReadLimitExceeded
from sesameport.entry.caller_connection import CallerSocket
from sesameport.platform.store import ObjectStoreClient
from sesameport.platform.tests.test_endless_bytes import (
    BLOCK,
    CHUNKED,
    FLOODS,
    SIGNED,
    FloodingServer,
)

CHUNK = b"%x\r\n%b\r\n" % (len(BLOCK), BLOCK)


@pytest.mark.parametrize(
    ("start", "block"),
    [(SIGNED + b"\r\n", BLOCK), (CHUNKED, CHUNK), FLOODS["trailers"]],
)
def test_endless_answer_of_the_store_is_an_error(start, block):
    # Guards against a store that fills the memory of all hosts at once.
    server = FloodingServer(start, block)
    account = MemoryAccount(2_000_000, 0)
    try:
        result = ObjectStoreClient(server.address, account=account).list("servers")
    finally:
        server.stop()
    assert result.is_err()
    assert account.used == 0


def test_long_head_of_a_server_is_charged_until_its_end():
    ours, theirs = socket.socketpair()
    account = MemoryAccount(40_000, 0)
    caller, _other_end = socket.socketpair()
    sock = CancellableSocket.wrap(
        ours, CallerSocket(caller), time.monotonic() + 30, account
    )
    sock.allow_bytes(1_000_000)
    threading.Thread(target=theirs.sendall, args=(b"x" * 200_000,), daemon=True).start()
    buffer = bytearray(8_192)
    with pytest.raises(ReadLimitExceeded):
        for _ in range(20):
            sock.recv_into(buffer)
    assert 0 < account.used <= 40_000
    sock.stop_charging()
    assert account.used == 0
