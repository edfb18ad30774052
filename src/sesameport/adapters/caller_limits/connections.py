"""Accept connections up to a bound, and give only those with requests to threads.

cheroot gives each new connection to a thread, which then waits for its first byte. Here
a connection waits without a thread until the head of a request is complete, unless
there are few new ones, and is closed first if there are too many.
"""

import contextlib
import select
import selectors
import socket
import time

from cheroot.connections import ConnectionManager, _ThreadsafeSelector

from sesameport.adapters.caller_limits.bounds import BodyRefused
from sesameport.adapters.caller_limits.memory_account import Holder
from sesameport.adapters.caller_limits.open_heads import HeadReader
from sesameport.adapters.caller_limits.partial_heads import PartialHead
from sesameport.adapters.caller_limits.slow_readers import CallerWriter
from sesameport.adapters.strict_http import StrictConnection, StrictRequest

__all__ = ["BoundedConnection", "ConnectionAcceptor", "choose_idle"]

ACCEPT_PAUSE_S = 0.02
"""Pause before the next connection is accepted if there are too many, seconds."""

CLOSED_AT_ONCE = 8
"""Silent connections that are closed together, as finding them costs time."""


class _Request(StrictRequest):
    def read_request_headers(self) -> bool:
        """Read the headers and charge large ones; return whether they are valid."""
        self.rfile = reader = HeadReader(self.rfile, self.conn)
        try:
            return super().read_request_headers()
        finally:
            self.rfile = reader.inner
            self.server.bodies.heads.complete(self.conn)

    def simple_response(self, status, msg="") -> None:
        """Answer a head that is refused before its body is read.

        If it was cut off, the status is 503 or 408.
        """
        if status.startswith("413") and b"Content-Length" in self.inheaders:
            detail = f"at most {self.server.max_request_body_size} bytes"
            self.server.refuse(self, BodyRefused(413, "body-bytes", detail))
            return
        if self.conn.closed_for == "memory":
            status, msg = "503 Service Unavailable", "not enough memory\n"
        elif self.conn.closed_for:
            status, msg = "408 Request Timeout", "head did not arrive in time\n"
        super().simple_response(status, msg)


class BoundedConnection(StrictConnection):
    """State how long a connection has been in its present phase.

    Attributes
    ----------
    head_since : float
        Monotonic time since which the head of a request is read, or 0, seconds.
    write_since : float
        Monotonic time since which a part of a response waits for the caller to read,
        or 0, seconds.
    has_served : bool
        Whether a request was read from the connection.
    closed_for : str
        Bound for which the connection was cut off, or an empty string.
    is_closed : bool
        Whether the connection has been closed.
    head : Holder or None
        Memory of the head of the present request, if it is charged.
    partial_head : PartialHead
        What has arrived of the head of the next request while no thread reads it.
    """

    RequestHandlerClass = _Request
    head_since = 0.0
    write_since = 0.0
    has_served = False
    closed_for = ""
    is_closed = False
    head: Holder | None = None

    def __init__(self, server, sock, *args):
        super().__init__(server, sock, *args)
        self.wfile = CallerWriter(self)
        self.partial_head = PartialHead(server.account, server.max_request_header_size)
        server.open_connections.add(self)

    def communicate(self) -> bool:
        """Read a request and respond; return whether the connection stays open."""
        self.head_since = time.monotonic()
        try:
            return super().communicate()
        finally:
            self.head_since = 0.0
            self.has_served = True
            self.server.bodies.heads.release(self)

    def receive_head(self) -> bool:
        """Receive what has arrived of a head; return whether a thread should go on."""
        is_ready = self.partial_head.receive(self.socket.fileno())
        if is_ready:
            self.pass_on()
        return is_ready

    def has_head(self) -> bool:
        """Return whether a thread should go on with what was read ahead."""
        data = bytes(self.rfile._read_buf[self.rfile._read_pos :])
        self.rfile._read_buf, self.rfile._read_pos = b"", 0
        is_ready = bool(data) and self.partial_head.add(data)
        if is_ready:
            self.pass_on()
        return is_ready

    def pass_on(self) -> None:
        """Let a thread read what was received of a head."""
        if self.partial_head.lacks_memory:
            self.server.report(self.remote_addr, "memory")
            self.cut_off("memory")
        self.rfile._read_buf, self.rfile._read_pos = self.partial_head.take(), 0

    def cut_off(self, bound: str, how: int = socket.SHUT_RD) -> None:
        """Let the thread that reads or writes see the end of the connection."""
        self.closed_for = bound
        with contextlib.suppress(OSError):
            self.socket.shutdown(how)

    def close(self) -> None:
        """Close the connection; no effect if it is closed.

        cheroot ends the listener if closing fails, so an error is only logged.
        """
        if self.is_closed:
            return
        self.is_closed = True
        self.server.open_connections.discard(self)
        self.partial_head.take()
        try:
            super().close()
        except OSError as exc:
            self.server.error_log(f"close failed: {exc!r}")
            self.socket.close()


def choose_idle(connections: list[BoundedConnection]) -> list[BoundedConnection]:
    """Return the idle connections to close: those that never sent a request, oldest."""
    ranked = sorted(connections, key=lambda conn: (conn.has_served, conn.last_used))
    return ranked[:CLOSED_AT_ONCE]


class _HeadSelector(_ThreadsafeSelector):
    """Name the connections whose next head is complete, and new ones of the server.

    Connections that were closed after the system named them as ready are left out.
    Their descriptors may belong to connections that were accepted since then.
    """

    def select(self, timeout=None):
        return self._with_heads(self._selector.select(timeout))

    def _with_heads(self, events):
        for key, _ in events:
            conn = key.data
            if not isinstance(conn, BoundedConnection) or (
                not conn.is_closed and conn.receive_head()
            ):
                yield key.fd, conn


class ConnectionAcceptor(ConnectionManager):
    """Accept the connections of one server.

    The server has the attributes ``open_connections`` (set), ``max_connections`` and
    ``make_room`` (called if the bound is reached and no connection is idle), and
    ``report`` (called with an address and the name of a bound).
    """

    def __init__(self, server):
        super().__init__(server)
        self._selector.close()
        self._selector = _HeadSelector()
        self._selector.register(
            server.socket.fileno(), selectors.EVENT_READ, data=server
        )

    @property
    def _num_connections(self) -> int:
        count = super()._num_connections
        limit = self.server.keep_alive_conn_limit
        if limit is None or count < limit:
            return count
        # Silent connections must not end the keep-alive of others.
        return sum(conn.has_served for conn in self._idle())

    def _idle(self) -> list[BoundedConnection]:
        return [conn for _, conn in self._selector.connections if conn != self.server]

    def _from_server_socket(self, server_socket):
        server = self.server
        if len(server.open_connections) >= server.max_connections:
            idle = choose_idle(self._idle())
            for conn in idle:
                self._selector.unregister(conn.socket.fileno())
                server.report(conn.remote_addr, "connections")
                conn.close()
            if not idle:
                server.make_room()
                time.sleep(ACCEPT_PAUSE_S)
                return None
        try:
            conn = super()._from_server_socket(server_socket)
        except OSError as exc:
            # Without a free descriptor, the connection stays in the accept queue.
            server.error_log(f"accept failed: {exc!r}")
            time.sleep(ACCEPT_PAUSE_S)
            return None
        if conn is None or self._has_spare_threads():
            return conn
        if _is_readable(conn.socket) and conn.receive_head():
            return conn
        self._wait_for_head(conn)
        return None

    def put(self, conn) -> None:
        """Keep a connection, or pass it on if its next request was read ahead."""
        if conn.has_head():
            self.server.process_conn(conn)
        else:
            self._wait_for_head(conn)

    def _wait_for_head(self, conn) -> None:
        conn.last_used = time.time()
        self._selector.register(conn.socket.fileno(), selectors.EVENT_READ, data=conn)

    def _expire(self, threshold) -> None:
        """Refuse heads that take too long, and close connections that are idle."""
        now, idle_s = time.monotonic(), self.server.timeout
        for fd, conn in list(self._selector.connections):
            if conn is self.server or not conn.partial_head.since:
                continue
            if now - conn.partial_head.since < idle_s:
                # The time of a head counts from its first byte.
                conn.last_used = max(conn.last_used, threshold)
                continue
            self._selector.unregister(fd)
            self.server.report(conn.remote_addr, "head-time")
            conn.cut_off("head-time")
            conn.pass_on()
            self.server.process_conn(conn)
        super()._expire(threshold)

    def _has_spare_threads(self) -> bool:
        """Return whether a connection may wait for its first request on a thread.

        That saves a turn of the selector while there are few connections.
        """
        server = self.server
        return len(server.open_connections) * 2 < len(server.requests._threads)


def _is_readable(sock: socket.socket) -> bool:
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    return bool(poller.poll(0))
