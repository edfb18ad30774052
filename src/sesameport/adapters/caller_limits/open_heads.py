"""Account for the heads of requests while their lines are read.

A line takes far more memory than it has bytes: it is kept as received, as an entry of
the server's mapping and as a pair of texts. A head of many short lines may therefore
hold more than the largest body, and it is charged before all of it is read.
"""

import threading
import time
from collections.abc import Callable

from sesameport.adapters.caller_limits.memory_account import (
    HOLD_BACK_S,
    Holder,
    MemoryAccount,
)

__all__ = ["FREE_HEAD_BYTES", "HeadReader", "OpenHeads", "line_bytes"]

LINE_BYTES = 400
COPIES = 6
"""Memory of a header line besides its text, bytes, and copies of its text."""

FREE_HEAD_BYTES = 16_384
"""Memory of a head that its thread covers, see ``bounds.THREADS_MB``, bytes. Ordinary
heads stay below it and cost no charge."""

HEAD_STEP_BYTES = 16_384
"""Step in which the memory of a larger head is charged, bytes."""

MAX_WAIT_S = 2 * HOLD_BACK_S
"""Time for which a head waits for memory before it is refused, seconds. Half of it is
left for the largest holder to end once it has been closed."""


def line_bytes(line: bytes) -> int:
    r"""Return the memory that a header line takes, bytes.

    Examples
    --------
    >>> line_bytes(b"1f:\r\n")
    430
    """
    return LINE_BYTES + COPIES * len(line)


class OpenHeads:
    """Hold the large heads that are being read; thread-safe.

    Parameters
    ----------
    account : MemoryAccount
        Memory of the process.
    close_largest : callable
        Called with the monotonic time and the time that a head has waited for memory,
        seconds; closes what gives way, and returns whether there is anything.
    """

    def __init__(
        self, account: MemoryAccount, close_largest: Callable[[float, float], bool]
    ):
        self._account = account
        self._close_largest = close_largest
        self._lock = threading.Lock()
        self._conn_by_holder: dict[Holder, object] = {}

    def holders(self) -> list[Holder]:
        """Return the large heads that are not complete."""
        with self._lock:
            return list(self._conn_by_holder)

    def close(self, holder: Holder, bound: str) -> None:
        """Cut off the caller of a head; its thread then refuses the request."""
        with self._lock:
            conn = self._conn_by_holder.get(holder)
            if conn is None or holder.closed_for:
                return
            holder.closed_for = bound
            conn.cut_off(bound)
        conn.server.report(conn.remote_addr, bound)

    def grow(self, conn) -> bool:
        """Charge one more step of the head of a connection; return False if refused."""
        holder = conn.head
        if holder is None:
            now = time.monotonic()
            holder = conn.head = Holder(conn.remote_addr or "", now, now, now)
            with self._lock:
                self._conn_by_holder[holder] = conn
        if not self._charge(holder):
            return False
        holder.held += HEAD_STEP_BYTES
        return True

    def complete(self, conn) -> None:
        """Let a head hold its memory without giving way, as its request goes on."""
        with self._lock:
            self._conn_by_holder.pop(conn.head, None)

    def release(self, conn) -> None:
        """Release the memory of a head at the end of its request."""
        holder, conn.head = conn.head, None
        if holder is None:
            return
        with self._lock:
            self._conn_by_holder.pop(holder, None)
        self._account.release(holder.held)

    def _charge(self, holder: Holder) -> bool:
        if self._account.charge_open(HEAD_STEP_BYTES):
            return True
        started = waiting_since = time.monotonic()
        holder.is_held_back = True
        try:
            # Others may take what is released, so wakeups are not counted.
            while not self._account.charge_open(HEAD_STEP_BYTES):
                now = time.monotonic()
                if holder.closed_for or now - started >= MAX_WAIT_S:
                    return False
                if self._close_largest(now, now - waiting_since):
                    waiting_since = now
                self._account.wait_for_release()
            return True
        finally:
            holder.is_held_back = False
            holder.last_at = time.monotonic()


class HeadReader:
    """Read the header lines of a connection, and charge them.

    Parameters
    ----------
    inner : file
        Reader of the lines.
    conn : BoundedConnection
        Connection that the charges belong to.
    """

    def __init__(self, inner, conn):
        self.inner = inner
        self._conn = conn
        self._heads: OpenHeads = conn.server.bodies.heads
        self._left = FREE_HEAD_BYTES

    def readline(self, *args) -> bytes:
        """Return the next line; empty, as at the end, if there is no memory for it."""
        line = self.inner.readline(*args)
        self._left -= line_bytes(line)
        conn = self._conn
        if conn.head is not None:
            conn.head.last_at = time.monotonic()
        while self._left < 0:
            if not self._heads.grow(conn):
                if not conn.closed_for:
                    conn.closed_for = "memory"
                    conn.server.report(conn.remote_addr, "memory")
                return b""
            self._left += HEAD_STEP_BYTES
        return line
