"""Close the connections that hold threads for too long without progress."""

import math
import socket

from sesameport.adapters.caller_limits.bounds import CallerBounds
from sesameport.adapters.caller_limits.connections import BoundedConnection
from sesameport.adapters.caller_limits.open_bodies import (
    OpenBodies,
    choose_overdue,
    choose_slowest,
)
from sesameport.adapters.caller_limits.unread_bytes import UnreadBytes

__all__ = ["ConnectionSupervisor", "choose_blocked"]

YOUNG_HEAD_S = 0.25
"""Age below which a head is not cut off for other requests, seconds. An ordinary head
arrives in one piece."""

SLOW_READER_S = 5.0
"""Time for which a caller may not read before it is cut off for other requests,
seconds."""

RECOUNT_S = 0.02
"""Shortest time between two counts of the unread bytes for requests that find the
account full, seconds. Each count takes a system call per connection."""

MAX_CUT_OFF_AT_ONCE = 32
"""Connections that are cut off in one turn for others that wait. Each choice looks at
all of them, so more would take processor time from ordinary requests."""


def choose_blocked(
    connections: list[BoundedConnection], now: float
) -> BoundedConnection | None:
    """Return the connection to cut off if threads are scarce, or None.

    A head that is not complete comes first, then a caller that does not read.
    """
    heads = [
        conn
        for conn in connections
        if conn.head_since and now - conn.head_since > YOUNG_HEAD_S
    ]
    if heads:
        return min(heads, key=lambda conn: conn.head_since)
    readers = [
        conn
        for conn in connections
        if conn.write_since and now - conn.write_since > SLOW_READER_S
    ]
    return min(readers, key=lambda conn: conn.write_since, default=None)


class ConnectionSupervisor:
    """Supervise the connections of one server.

    Parameters
    ----------
    server : cheroot.server.HTTPServer
        Server with `BoundedConnection` objects.
    open_bodies : OpenBodies
        Bodies that the server receives.
    bounds : CallerBounds
        Bounds of bodies.
    unread_bytes : UnreadBytes
        Charges of what is received and not read.
    """

    def __init__(
        self,
        server,
        open_bodies: OpenBodies,
        bounds: CallerBounds,
        unread_bytes: UnreadBytes,
    ):
        self._server = server
        self._open_bodies = open_bodies
        self._bounds = bounds
        self._unread_bytes = unread_bytes
        self._recounted_at = -math.inf
        self._is_releasing = False

    def enforce(self, now: float, idle_s: float) -> None:
        """Cut off what exceeds its time, and more if requests wait for threads.

        Parameters
        ----------
        now : float
            Monotonic time, seconds.
        idle_s : float
            Longest silence of a connection, and longest time for a head, seconds.
        """
        self._server.slow_readers.enforce(now)
        for conn in self._unread_bytes.update(self._connections_with_data()):
            self._refuse(conn, "memory")
        for conn in self._connections():
            if conn.head_since and now - conn.head_since > idle_s:
                self._cut_off(conn, "head-time")
        for holder, bound in choose_overdue(
            self._open_bodies.holders(), now, idle_s, self._bounds.min_body_rate
        ):
            self._open_bodies.close(holder, bound)
        pool = self._server.requests
        waiting = pool.qsize if not pool.idle else 0
        for _ in range(min(waiting, MAX_CUT_OFF_AT_ONCE)):
            if not self.close_one(now, "threads"):
                break

    def release_unread(self, now: float, size: int) -> bool:
        """Release unread bytes for a request of ``size`` bytes that has arrived.

        Connections that have ended since the last count are charged no longer, and
        those with most unread bytes are cut off. Return whether more may be released
        soon.
        """
        if now - self._recounted_at < RECOUNT_S:
            return self._is_releasing
        self._recounted_at = now
        connections = self._connections_with_data()
        for conn in self._unread_bytes.update(connections, size):
            self._refuse(conn, "memory")
        self._is_releasing = any(conn.closed_for for conn in connections)
        return self._is_releasing

    def close_one(self, now: float, bound: str) -> bool:
        """Cut off the connection that holds a thread with least progress, if any."""
        conn = choose_blocked(self._connections(), now)
        if conn is not None:
            self._cut_off(conn, bound)
            return True
        holder = choose_slowest(self._open_bodies.holders(), now)
        if holder is None:
            return False
        self._open_bodies.close(holder, bound)
        return True

    def _connections_with_data(self) -> list[BoundedConnection]:
        """Return the connections that may have unread bytes.

        They have a thread or wait for one. What arrives on the others is read at once.
        """
        pool = self._server.requests
        found = [thread.conn for thread in list(pool._threads)]
        with pool._queue.mutex:
            found += pool._queue.queue
        return [conn for conn in found if isinstance(conn, BoundedConnection)]

    def _refuse(self, conn: BoundedConnection, bound: str) -> None:
        """Refuse the request of a connection, whose body may be in progress."""
        if not self._open_bodies.close_connection(conn, bound):
            self._cut_off(conn, bound)

    def _connections(self) -> list[BoundedConnection]:
        """Return the connections that have a thread and are not cut off yet."""
        found = [thread.conn for thread in list(self._server.requests._threads)]
        return [
            conn
            for conn in found
            if isinstance(conn, BoundedConnection) and not conn.closed_for
        ]

    def _cut_off(self, conn: BoundedConnection, bound: str) -> None:
        self._server.report(conn.remote_addr, bound)
        how = socket.SHUT_RD if conn.head_since else socket.SHUT_RDWR
        conn.cut_off(bound, how)
