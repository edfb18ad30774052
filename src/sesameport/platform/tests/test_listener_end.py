"""Test that no crowd of connections ends a listener.

The tests are marked as crowds, so CI runs them alone and after all others. They check
no times and no share of answered requests.
"""

import contextlib
import signal
import socket
import time

import pytest

from sesameport.platform.tests.conftest import wait_until
from sesameport.platform.tests.crowds import (
    CHUNKED_HEAD,
    assert_unharmed,
    crowded_host,
)

# The bounds are the limits stated in the settings file: memoryMb, and maxFds without
# the 200 descriptors that are reserved for files.
MEMORY_MB = 128
MAX_FEW_FDS = 320
RESERVED_FDS = 200

CONNECTIONS = 16
FEW_CONNECTIONS = {"maxConnections": CONNECTIONS}
SIDE_CONNECTIONS = 40
"""More than the listeners for readiness and metrics accept, which is 32."""

TURNS = 5
SETTLE_S = 0.3
UNFINISHED_HEAD = CHUNKED_HEAD[:-2]

pytestmark = [pytest.mark.crowd, pytest.mark.timeout(180)]


def begin_heads_beside_a_connection(process, address, count):
    """Let silent connections become readable while another one waits for acceptance.

    The process is paused meanwhile, so it sees all of them in one turn, as it does
    under load.
    """
    with contextlib.ExitStack() as stack:
        silent = []
        for _ in range(count):
            with contextlib.suppress(OSError):
                sock = socket.create_connection(address, timeout=2.0)
                silent.append(stack.enter_context(sock))
        time.sleep(SETTLE_S)
        process.send_signal(signal.SIGSTOP)
        try:
            with contextlib.suppress(OSError):
                sock = socket.create_connection(address, timeout=2.0)
                stack.enter_context(sock)
            for sock in silent:
                with contextlib.suppress(OSError):
                    sock.send(UNFINISHED_HEAD)
        finally:
            process.send_signal(signal.SIGCONT)
        time.sleep(SETTLE_S)


@pytest.mark.parametrize(
    "listener, count",
    [
        ("caller", CONNECTIONS),
        ("ready", SIDE_CONNECTIONS),
        ("metrics", SIDE_CONNECTIONS),
    ],
)
def test_heads_that_begin_late_do_not_end_a_listener(
    cluster, tmp_path, listener, count
):
    # Guards against a silent connection that is closed for others in the moment in
    # which its first bytes arrive. It was closed twice, which ended the listener.
    with crowded_host(cluster, tmp_path, MEMORY_MB, MAX_FEW_FDS, FEW_CONNECTIONS) as (
        host,
        _,
    ):
        for _ in range(TURNS):
            address = getattr(host, listener)
            begin_heads_beside_a_connection(host.process, address, count)
        assert_unharmed(host, MEMORY_MB, MAX_FEW_FDS - RESERVED_FDS)


@pytest.mark.filterwarnings("ignore::pytest.PytestUnhandledThreadExceptionWarning")
def test_host_without_listener_is_not_ready(cluster):
    # Guards against a load balancer that keeps sending callers to a host that refuses
    # every connection.
    cluster.configure()
    host = cluster.start_host()
    wait_until(host.is_ready)
    host._listeners.callers._server.interrupt = OSError("an error of a thread")
    wait_until(lambda: not host.is_ready())
    assert host._unready_reasons() == ["listener for callers has ended"]
