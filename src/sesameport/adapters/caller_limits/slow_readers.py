"""Send to callers, and account for what slow ones leave in the host's buffers.

A part of a response that the socket takes at once costs one system call and no charge.
Otherwise the thread of the request waits, so the host reads no more from the server,
and what is queued is charged until the caller has taken it.
"""

import contextlib
import fcntl
import os
import select
import socket
import struct
import termios
import threading
import time
from collections.abc import Iterable

from sesameport.adapters.caller_limits.memory_account import (
    HOLD_BACK_S,
    Holder,
    MemoryAccount,
    choose_largest,
)

__all__ = ["CallerWriter", "SlowReaders", "choose_unread"]

FREE_BYTES = 24_576
"""Bytes of a response in the process that the charge of its request covers, see
``body_reader.REQUEST_BYTES``."""

COPIES = 2
"""Copies of a part in the process: as the server sent it, and with its framing."""


def choose_unread(holders: Iterable[Holder], now: float, excess: int) -> list[Holder]:
    """Return the readers to cut off so that ``excess`` bytes are released.

    Stalled readers come first, then the largest; none if there is no excess.
    """
    left = [holder for holder in holders if not holder.closed_for]
    excess -= sum(holder.held for holder in holders if holder.closed_for)
    found = []
    while excess > 0:
        largest = choose_largest(left, now, HOLD_BACK_S)
        if largest is None:
            break
        left.remove(largest)
        found.append(largest)
        excess -= largest.held
    return found


class SlowReaders:
    """Keep the callers that do not take a part of their response; thread-safe.

    Parameters
    ----------
    account : MemoryAccount
        Memory of the process.
    """

    def __init__(self, account: MemoryAccount):
        self._account = account
        self._lock = threading.Lock()
        self._conn_by_holder: dict[Holder, object] = {}

    def holders(self) -> list[Holder]:
        """Return the callers that have not taken what was sent to them."""
        with self._lock:
            return list(self._conn_by_holder)

    def close(self, holder: Holder, bound: str) -> None:
        """Cut off a caller; its thread then sees the end of the connection."""
        with self._lock:
            conn = self._conn_by_holder.get(holder)
            if conn is None or holder.closed_for:
                return
            holder.closed_for = bound
            conn.cut_off(bound, socket.SHUT_RDWR)
        conn.server.report(conn.remote_addr, bound)

    def enforce(self, now: float) -> None:
        """Update the charges, and cut off readers if the account is exceeded.

        A response that is ready is charged even if the account is full, so the largest
        holders must give way.
        """
        holders = self.holders()
        for holder in holders:
            self._update(holder)
        for holder in choose_unread(holders, now, self._account.excess()):
            self.close(holder, "unread")

    def send_rest(self, conn, data: memoryview, size: int) -> None:
        """Send what the socket did not take at once of a part of ``size`` bytes.

        Raises
        ------
        OSError
            If the caller disconnects, is cut off, or takes no byte for the timeout of
            its connection.
        """
        now = time.monotonic()
        holder = Holder(conn.remote_addr or "", now, now, now)
        holder.received = max(0, COPIES * size - FREE_BYTES)
        conn.write_since = now
        with self._lock:
            self._conn_by_holder[holder] = conn
        try:
            self._update(holder)
            self._send(conn, data, holder)
        finally:
            conn.write_since = 0.0
            with self._lock:
                del self._conn_by_holder[holder]
                held, holder.held = holder.held, 0
            self._account.release(held)

    def _send(self, conn, data: memoryview, holder: Holder) -> None:
        timeout_s = conn.socket.gettimeout()
        fd = conn.socket.fileno()
        poller = select.poll()
        poller.register(fd, select.POLLOUT)
        while data:
            if not poller.poll(None if timeout_s is None else timeout_s * 1000):
                raise TimeoutError("the caller does not read")
            try:
                data = data[os.write(fd, data) :]
            except BlockingIOError:
                continue
            holder.last_at = time.monotonic()

    def _update(self, holder: Holder) -> None:
        """Charge what the process and the socket hold for a reader now."""
        with self._lock:
            conn = self._conn_by_holder.get(holder)
            if conn is None:
                return
            held = holder.received + _unsent_bytes(conn.socket)
            change, holder.held = held - holder.held, held
            if change > 0:
                self._account.charge_held(change)
        if change < 0:
            self._account.release(-change)


class CallerWriter:
    """Write to the connection of a caller; used as ``wfile`` of cheroot.

    Parameters
    ----------
    conn : BoundedConnection
        Connection whose server has the attribute ``slow_readers``.
    """

    def __init__(self, conn):
        self._conn = conn

    def write(self, data: bytes) -> int:
        """Send all bytes; see `SlowReaders.send_rest` for the exceptions."""
        conn = self._conn
        try:
            sent = os.write(conn.socket.fileno(), data)
        except BlockingIOError:
            sent = 0
        if sent < len(data):
            rest = memoryview(data)[sent:]
            conn.server.slow_readers.send_rest(conn, rest, len(data))
        return len(data)

    def flush(self) -> None:
        """Do nothing, as nothing is buffered."""


def _unsent_bytes(sock: socket.socket) -> int:
    """Return the bytes that the socket holds until the peer has taken them."""
    with contextlib.suppress(OSError, ValueError):
        answer = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, b"\0\0\0\0")
        return struct.unpack("i", answer)[0]
    return 0
