"""Serve HTTP with cheroot within the bounds of the process."""

import contextlib
import math
import socket
import threading
import time
from collections.abc import Callable

from cheroot.server import Gateway, HTTPServer

from sesameport.adapters.caller_limits.body_reader import BodyReader
from sesameport.adapters.caller_limits.bounds import (
    BodyRefused,
    CallerBounds,
    CallerLimits,
)
from sesameport.adapters.caller_limits.connections import (
    BoundedConnection,
    ConnectionAcceptor,
)
from sesameport.adapters.caller_limits.memory_account import MemoryAccount
from sesameport.adapters.caller_limits.open_bodies import OpenBodies
from sesameport.adapters.caller_limits.slow_readers import SlowReaders
from sesameport.adapters.caller_limits.supervisor import ConnectionSupervisor
from sesameport.adapters.caller_limits.unread_bytes import UnreadBytes
from sesameport.adapters.sockets import KEEPALIVE_OPTIONS
from sesameport.adapters.strict_http import FramingError, StrictRequest
from sesameport.telemetry.logs import get_logger

__all__ = ["RETRY_AFTER_S", "HttpListener", "refuse_as_text"]

LISTEN_BACKLOG = 1_024
"""Length of the accept queue. A full queue delays callers by seconds."""

IDLE_MARGIN_S = 4.0
"""Time beyond the configured idle limit before a connection is closed, seconds. cheroot
measures idle time by the wall clock, which may jump by some seconds."""

MAX_NEW_THREADS = 48
"""Threads that are started at once while connections wait for one."""

RETRY_AFTER_S = 1.0
"""Time after which a request that was refused for memory may be repeated, seconds."""

log = get_logger("http")


def refuse_as_text(req: StrictRequest, exc: BodyRefused) -> None:
    """Refuse a request with a line of text and close its connection."""
    headers = []
    if exc.status == 503:
        headers.append((b"Retry-After", f"{RETRY_AFTER_S:.2f}".encode()))
    req.refuse(exc.status, str(exc), headers)


class _Server(HTTPServer):
    """Serve HTTP and close connections with further requests while stopping."""

    is_stopping = False
    max_connections = 0
    ConnectionClass = BoundedConnection

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.open_connections = set()
        self._pool_lock = threading.Lock()
        self._has_ended = False

    def grow_pool(self, count: int) -> None:
        """Add threads, unless the server ends."""
        with self._pool_lock:
            if not self._has_ended:
                self.requests.grow(count)

    def stop(self) -> None:
        """End the server and its threads.

        cheroot asks each thread once to end. One that is added after that takes the
        request of another, which is then waited for without end.
        """
        with self._pool_lock:
            self._has_ended = True
        super().stop()

    def prepare(self) -> None:
        """Listen, and accept a bounded number of connections."""
        super().prepare()
        self._connections._selector.close()
        self._connections = ConnectionAcceptor(self)

    def process_conn(self, conn) -> None:
        """Pass a connection with a request to a thread, or close it unread."""
        if self.is_stopping:
            conn.close()
            return
        super().process_conn(conn)

    def put_conn(self, conn) -> None:
        """Keep a connection for its next request."""
        if self.is_stopping:
            conn.close()
            return
        try:
            super().put_conn(conn)
        except (OSError, ValueError, KeyError) as exc:
            # cheroot ends the listener for any exception here.
            self.error_log(f"connection not kept: {exc!r}")
            conn.close()


class _Gateway(Gateway):
    def respond(self) -> None:
        """Read the body and pass the request to the server's handler."""
        req = self.req
        req.conn.head_since = 0.0
        cut_off_for = req.conn.closed_for
        if cut_off_for == "memory":
            self._refuse(BodyRefused(503, cut_off_for, "not enough memory"))
            return
        if cut_off_for:
            self._refuse(BodyRefused(408, cut_off_for, "head did not arrive in time"))
            return
        try:
            with req.server.bodies.body_of(req) as body:
                req.server.handle(req, body)
        except FramingError as exc:
            req.server.refuse(req, BodyRefused(400, "framing", str(exc)))
        except BodyRefused as exc:
            self._refuse(exc)

    def _refuse(self, exc: BodyRefused) -> None:
        req = self.req
        req.server.report(req.conn.remote_addr, exc.bound)
        # The rest of the body is not read, so the connection can't be used again.
        req.close_connection = True
        with contextlib.suppress(OSError):
            req.server.refuse(req, exc)


class HttpListener:
    """Serve requests on ``IP:port``; each occupies a thread until it is answered.

    Parameters
    ----------
    address : str
        ``IP:port`` to listen on.
    handle : callable
        Responds to a `StrictRequest` with its body.
    threads, max_threads : int
        Initial and maximum number of threads.
    bounds : CallerBounds
        Bounds on what clients can make the listener hold.
    account : MemoryAccount
        Memory of the process.
    report : callable
        Called with the address of a client and the name of a bound that it reached.
    stated_wait_s : callable
        Returns how long a caller waits according to its headers, seconds.
    refuse : callable
        Answers a `StrictRequest` that is refused for a `BodyRefused`; not run then.
    """

    def __init__(
        self,
        address: str,
        handle: Callable[[StrictRequest, bytes], None],
        threads: int,
        max_threads: int,
        bounds: CallerBounds | None = None,
        account: MemoryAccount | None = None,
        report: Callable[[str | None, str], None] = lambda address, bound: None,
        stated_wait_s: Callable[[tuple], float] = lambda headers: math.inf,
        refuse: Callable[[StrictRequest, BodyRefused], None] = refuse_as_text,
    ):
        bounds = bounds or CallerBounds.for_machine()
        account = account or MemoryAccount(bounds.account_bytes, bounds.reserved_bytes)
        host, _, port = address.rpartition(":")
        self._server = _Server(
            (host, int(port)), _Gateway, minthreads=threads, maxthreads=max_threads
        )
        self._open_bodies = open_bodies = OpenBodies(bounds)
        self._server.slow_readers = SlowReaders(account)
        self._server.bodies = BodyReader(
            bounds,
            account,
            open_bodies,
            stated_wait_s,
            self._server.slow_readers,
            lambda now, size: self._supervisor.release_unread(now, size),
        )
        self._server.account = account
        self._server.max_connections = bounds.max_connections
        self._server.report = report
        self._server.refuse = refuse
        self._supervisor = ConnectionSupervisor(
            self._server, open_bodies, bounds, UnreadBytes(account)
        )
        self._server.make_room = lambda: self._supervisor.close_one(
            time.monotonic(), "connections"
        )
        self.set_limits(CallerLimits())
        self._server.request_queue_size = LISTEN_BACKLOG
        self._server.handle = handle
        self._server.server_name = "sesameport"
        self._server.shutdown_timeout = 0.2
        self._server.error_log = self._log_error
        self._min_idle_threads = max(1, threads // 2)
        self._server.prepare()
        # Connections inherit the sizes. What a caller does not read, and what is not
        # read from it, collects there.
        buffers = (
            (socket.SOL_SOCKET, socket.SO_SNDBUF, bounds.socket_buffer_bytes),
            (socket.SOL_SOCKET, socket.SO_RCVBUF, bounds.receive_buffer_bytes),
        )
        for option in (*KEEPALIVE_OPTIONS, *buffers):
            self._server.socket.setsockopt(*option)
        bound_host, bound_port = self._server.bind_addr[:2]
        self.address = f"{bound_host}:{bound_port}"
        self._thread = threading.Thread(
            target=self._server.serve, name=f"http-{self.address}", daemon=True
        )

    def start(self) -> "HttpListener":
        """Serve on a separate thread and return the listener."""
        self._thread.start()
        return self

    def has_failed(self) -> bool:
        """Return whether the listener has ended although it was not stopped."""
        started = self._thread.ident is not None
        return started and not self._server.is_stopping and not self._thread.is_alive()

    def set_limits(self, limits: CallerLimits) -> None:
        """Apply the limits of a configuration."""
        self._server.max_request_header_size = limits.header_bytes
        self._server.max_request_body_size = limits.body_bytes
        self._idle_s = limits.idle_s + IDLE_MARGIN_S
        if not self._server.is_stopping:
            self._server.timeout = self._idle_s

    def add_threads(self) -> None:
        """Add threads if few are idle.

        Starting threads blocks, so request threads must not call this.
        """
        pool = self._server.requests
        if pool.idle < self._min_idle_threads:
            waiting = min(pool.qsize, MAX_NEW_THREADS)
            self._server.grow_pool(max(self._min_idle_threads, waiting))

    def enforce_limits(self) -> None:
        """Cut off clients that exceed their time or hold threads that others need."""
        self._supervisor.enforce(time.monotonic(), self._idle_s)

    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self._server.open_connections)

    def stop_accepting(self) -> None:
        """Accept no more requests: close idle connections and new ones unread.

        Requests that were already read still get a response.
        """
        self._server.is_stopping = True
        # cheroot closes connections that were idle for longer than its timeout.
        self._server.timeout = 0

    def has_work(self) -> bool:
        """Return whether a request waits for a thread or is being read or answered."""
        pool = self._server.requests
        return pool.qsize > 0 or pool.idle < len(pool._threads)

    def has_open_bodies(self) -> bool:
        """Return whether the body of a request is being read."""
        return bool(self._open_bodies.holders())

    def end_open_bodies(self) -> None:
        """Refuse the requests whose bodies are being read."""
        for holder in self._open_bodies.holders():
            self._open_bodies.close(holder, "stopping")

    def stop(self) -> None:
        """Stop listening and abort requests in progress."""
        self._server.stop()

    def _log_error(self, msg="", level=20, traceback=False) -> None:
        log.info("http server", extra={"detail": msg})
