"""Check how a host detects that a caller has disconnected."""

import fcntl
import resource
import socket

import pytest

from sesameport.daemon.request_path.caller_api import _make_disconnect_check

FD_SETSIZE = 1_024


@pytest.fixture
def high_fd_pair():
    """Connect two sockets, the first with a descriptor that select() rejects."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < 2 * FD_SETSIZE:
        resource.setrlimit(resource.RLIMIT_NOFILE, (2 * FD_SETSIZE, hard))
    ours, theirs = socket.socketpair()
    fd = fcntl.fcntl(ours.fileno(), fcntl.F_DUPFD_CLOEXEC, FD_SETSIZE)
    ours.close()
    with socket.socket(fileno=fd) as high, theirs:
        yield high, theirs
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def test_caller_with_a_high_descriptor_counts_as_connected(high_fd_pair):
    """Guard against requests that are cancelled on a host with many connections."""
    conn, caller = high_fd_pair
    assert conn.fileno() >= FD_SETSIZE
    is_disconnected = _make_disconnect_check({"sesameport.socket": conn})
    assert not is_disconnected()
    caller.sendall(b"GET")
    assert not is_disconnected()


def test_caller_that_closed_its_connection_is_detected(high_fd_pair):
    """Guard against work for a caller that is gone, also after our own close."""
    conn, caller = high_fd_pair
    is_disconnected = _make_disconnect_check({"sesameport.socket": conn})
    caller.close()
    assert is_disconnected()
    conn.close()
    assert is_disconnected()
