"""Test that reads from a server end with its data, the deadline or the caller."""

import socket
import time

import pytest

from sesameport.adapters.cancellable_socket import CancellableSocket
from sesameport.entry.caller_connection import CallerSocket


@pytest.fixture
def pairs():
    """Return the ends of the connections to a server and to a caller."""
    sockets = [*socket.socketpair(), *socket.socketpair()]
    yield sockets
    for sock in sockets:
        sock.close()


def wrap(pairs, seconds):
    deadline = time.monotonic() + seconds
    return CancellableSocket.wrap(pairs[0], CallerSocket(pairs[2]), deadline)


def test_reads_go_on_after_the_caller_sent_its_next_request(pairs):
    # Guards against a poller that is kept although what it waits for has changed.
    sock, buffer = wrap(pairs, 30.0), bytearray(10)
    pairs[3].sendall(b"G")
    for data in (b"one", b"two"):
        pairs[1].sendall(data)
        assert buffer[: sock.recv_into(buffer)] == data
    sock.close()


def test_read_without_data_ends_at_the_deadline(pairs):
    sock = wrap(pairs, 0.05)
    with pytest.raises(TimeoutError):
        sock.recv_into(bytearray(10))
    assert sock.timed_out
    sock.close()


def test_caller_that_leaves_after_further_data_is_noticed(pairs):
    # The unread data hides the end of the connection from a read. The thread then
    # polled without a pause, at a whole core, until the deadline of the request.
    sock = wrap(pairs, 30.0)
    pairs[3].sendall(b"G")
    pairs[3].close()
    with pytest.raises(ConnectionAbortedError):
        sock.recv_into(bytearray(10))
    assert sock.caller_disconnected
    sock.close()
