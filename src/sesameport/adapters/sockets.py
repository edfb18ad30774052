"""Define TCP socket options and check which addresses accept connections."""

import contextlib
import errno
import select
import socket
import time
from collections.abc import Iterable

__all__ = [
    "KEEPALIVE_OPTIONS",
    "SERVER_KEEPALIVE_OPTIONS",
    "find_reachable",
    "refuses_connections",
]

KEEPALIVE_OPTIONS = [
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    # An unresponsive peer is detected after idle + interval * count = 3 s. Users expect
    # a host to work normally again that long after a network fault.
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 3_000),
]
"""Options that close a connection whose peer is unresponsive, even when it is idle."""

SERVER_KEEPALIVE_OPTIONS = [
    *KEEPALIVE_OPTIONS[:-1],
    # Shorter than the 3 s above, because requests to an unresponsive server are retried
    # on another one and their latency targets are below a second. Closing a working
    # connection by mistake costs one request here, but many on a store connection.
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 1_500),
]
"""Options for connections to backend servers, which detect a dead peer within 2 s."""


def find_reachable(addresses: Iterable[str], timeout_s: float) -> set[str]:
    """Return the ``IP:port`` addresses that accept a TCP connection in time.

    All connections are attempted concurrently and closed before the function returns.
    ``timeout_s`` is in seconds and limits the whole check.
    """
    reachable: set[str] = set()
    with contextlib.ExitStack() as stack:
        poller, pending = select.poll(), {}
        for address in addresses:
            host, _, port = address.rpartition(":")
            sock = stack.enter_context(socket.socket())
            sock.setblocking(False)
            try:
                error_code = sock.connect_ex((host, int(port)))
            except OSError as exc:
                error_code = exc.errno
            if error_code == 0:
                reachable.add(address)
            elif error_code == errno.EINPROGRESS:
                pending[sock.fileno()] = (sock, address)
                poller.register(sock, select.POLLOUT)
        deadline = time.monotonic() + timeout_s
        while pending and (remaining_s := deadline - time.monotonic()) > 0:
            for fd, _ in poller.poll(remaining_s * 1000):
                sock, address = pending.pop(fd)
                poller.unregister(fd)
                if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0:
                    reachable.add(address)
    return reachable


def refuses_connections(address: str, timeout_s: float) -> bool:
    """Return whether a connection to ``IP:port`` is refused within ``timeout_s``.

    Only a machine that runs, and on which no process listens at the port, refuses a
    connection. One that is cut off or down does not answer.
    """
    host, _, port = address.rpartition(":")
    try:
        socket.create_connection((host, int(port)), timeout_s).close()
    except ConnectionRefusedError:
        return True
    except OSError:
        return False
    return False
