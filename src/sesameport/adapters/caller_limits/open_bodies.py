"""Keep the bodies that are being received, and close those that are too slow."""

import contextlib
import socket
import threading
from collections.abc import Iterable

from sesameport.adapters.caller_limits.bounds import CallerBounds
from sesameport.adapters.caller_limits.memory_account import Holder

__all__ = ["OpenBodies", "choose_overdue", "choose_slowest"]

YOUNG_S = 1.0
"""Age below which a body is not closed for other bodies, seconds. An ordinary body has
arrived by then."""


def choose_overdue(
    holders: Iterable[Holder], now: float, idle_s: float, min_rate: float
) -> list[tuple[Holder, str]]:
    """Return the bodies that exceed their deadline or stay below the rate, and why.

    The rate is checked after ``idle_s``, in which a caller may be silent.
    """
    found = []
    for holder in holders:
        age_s = now - holder.started_at
        if now > holder.deadline:
            found.append((holder, "body-deadline"))
        elif holder.is_held_back:
            continue
        elif now - holder.last_at > idle_s or (
            age_s > idle_s and holder.received < min_rate * age_s
        ):
            found.append((holder, "body-progress"))
    return found


def choose_slowest(
    holders: Iterable[Holder], now: float, address: str = ""
) -> Holder | None:
    """Return the body that arrives most slowly, or None if all are young.

    Only bodies from ``address`` are considered, if it is given.
    """
    found, lowest = None, 0.0
    for holder in holders:
        age_s = now - holder.started_at
        if holder.closed_for or age_s < YOUNG_S:
            continue
        if address and holder.address != address:
            continue
        # Bodies that have stopped come before those that are merely slow.
        rate = holder.received / age_s / (1.0 + now - holder.last_at)
        if found is None or rate < lowest:
            found, lowest = holder, rate
    return found


class OpenBodies:
    """Hold the bodies in progress of all listeners; thread-safe.

    Parameters
    ----------
    bounds : CallerBounds
        Largest number of bodies, in total and per address.
    """

    def __init__(self, bounds: CallerBounds):
        self._bounds = bounds
        self._lock = threading.Lock()
        self._conn_by_holder: dict[Holder, object] = {}
        self._count_by_address: dict[str, int] = {}

    def add(self, holder: Holder, conn) -> str:
        """Add a body; return the bound for which it is refused, or an empty string.

        If there are too many bodies, the slowest one is closed instead if it is old
        enough.
        """
        bounds = self._bounds
        with self._lock:
            count = self._count_by_address.get(holder.address, 0)
            bound, address = "", ""
            if count >= bounds.max_bodies_per_address:
                bound, address = "bodies-per-address", holder.address
            elif len(self._conn_by_holder) >= bounds.max_bodies:
                bound = "bodies"
            if bound:
                slowest = choose_slowest(
                    self._conn_by_holder, holder.started_at, address
                )
                if slowest is None:
                    return bound
                self._close(slowest, bound)
            self._conn_by_holder[holder] = conn
            self._count_by_address[holder.address] = count + 1
        return ""

    def remove(self, holder: Holder) -> None:
        """Remove a body that is complete or has failed; no effect if it is not here."""
        with self._lock:
            if self._conn_by_holder.pop(holder, None) is None:
                return
            count = self._count_by_address[holder.address] - 1
            if count:
                self._count_by_address[holder.address] = count
            else:
                del self._count_by_address[holder.address]

    def holders(self) -> list[Holder]:
        """Return the bodies in progress."""
        with self._lock:
            return list(self._conn_by_holder)

    def close(self, holder: Holder, bound: str) -> None:
        """End the reading of a body; its thread then refuses the request."""
        with self._lock:
            self._close(holder, bound)

    def close_connection(self, conn, bound: str) -> bool:
        """Close the body of a connection; return whether it has one in progress."""
        with self._lock:
            for holder, holder_conn in self._conn_by_holder.items():
                if holder_conn is not conn:
                    continue
                conn.closed_for = conn.closed_for or bound
                self._close(holder, bound)
                return True
        return False

    def _close(self, holder: Holder, bound: str) -> None:
        conn = self._conn_by_holder.get(holder)
        if conn is None or holder.closed_for:
            return
        holder.closed_for = bound
        # The thread that waits in recv then reads an end of the connection.
        with contextlib.suppress(OSError):
            conn.socket.shutdown(socket.SHUT_RD)
