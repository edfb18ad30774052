"""Account for what the system has received for callers and the process has not read.

These bytes count toward the memory of a machine. Their number is bounded for each
connection by the size of its receive buffer, and for all of them by the account.
"""

import contextlib
import fcntl
import socket
import struct
import termios
import threading
from collections.abc import Iterable, Mapping

from sesameport.adapters.caller_limits.memory_account import MemoryAccount

__all__ = ["UnreadBytes", "choose_most_unread"]


def choose_most_unread(
    unread_by_conn: Mapping[object, int], excess: int, closing: int = 0
) -> list:
    """Return the connections to cut off, so that ``excess`` bytes are released.

    Those with most unread bytes come first.

    Parameters
    ----------
    unread_by_conn : mapping
        Unread bytes of each connection that may be cut off.
    excess : int
        Bytes that are held beyond the limit; none is cut off if it is 0.
    closing : int
        Bytes of connections that are cut off already and close soon.

    Examples
    --------
    >>> choose_most_unread({"a": 10, "b": 500, "c": 300, "d": 0}, 700)
    ['b', 'c']
    """
    found, left = [], excess - closing
    for conn, size in sorted(unread_by_conn.items(), key=lambda item: -item[1]):
        if left <= 0 or not size:
            break
        found.append(conn)
        left -= size
    return found


class UnreadBytes:
    """Charge the unread bytes of one listener's connections to the account.

    Thread-safe.

    Parameters
    ----------
    account : MemoryAccount
        Memory of the process.
    """

    def __init__(self, account: MemoryAccount):
        self._account = account
        self._charged = 0
        self._lock = threading.Lock()

    def update(self, connections: Iterable, wanted: int = 0) -> list:
        """Charge what is unread now; return the connections to cut off for it.

        The bytes are received already, so they are charged above the limit, too.

        Parameters
        ----------
        connections : iterable
            Connections that may have unread bytes.
        wanted : int
            Bytes that a request needs besides. For these, only connections with more
            unread bytes than that are cut off.
        """
        with self._lock:
            sizes = {conn: _unread_bytes(conn.socket) for conn in connections}
            total = sum(sizes.values())
            change, self._charged = total - self._charged, total
            if change > 0:
                self._account.charge_held(change)
            elif change < 0:
                self._account.release(-change)
        open_sizes = {conn: n for conn, n in sizes.items() if not conn.closed_for}
        closing = total - sum(open_sizes.values())
        if wanted:
            open_sizes = {conn: n for conn, n in open_sizes.items() if n > wanted}
        return choose_most_unread(open_sizes, self._account.excess(wanted), closing)


def _unread_bytes(sock: socket.socket) -> int:
    """Return the bytes that a socket has received and the process has not read."""
    with contextlib.suppress(OSError, ValueError):
        answer = fcntl.ioctl(sock.fileno(), termios.FIONREAD, b"\0\0\0\0")
        return struct.unpack("i", answer)[0]
    return 0
