"""Account for the memory that a process holds for callers and servers.

Small requests are charged once. Bodies that arrive in several reads grow step by step;
if the account is full, their reader is held back, and the largest holder that does not
make progress is closed.
"""

import threading
from collections.abc import Iterable

import attrs

__all__ = [
    "HOLD_BACK_S",
    "STEP_BYTES",
    "Holder",
    "MemoryAccount",
    "choose_largest",
]

STALLED_S = 1.0
"""Time without a byte after which a holder counts as stalled, seconds."""

HOLD_BACK_S = 1.0
"""Time for which a body waits for memory before the largest holder is closed even if it
makes progress, seconds."""

CHECK_S = 0.25
"""Period at which a body that waits for memory looks for a stalled holder, seconds."""

STEP_BYTES = 65_536
"""Step in which the memory of a growing body is charged, bytes. A waiting body is woken
only if that much is free, as each ordinary request releases less."""


@attrs.define(eq=False)
class Holder:
    """Represent a head or body that is being received, or a response that is not read.

    Attributes
    ----------
    address : str
        IP address of the caller.
    started_at, last_at : float
        Monotonic times of the first read and of the last byte, seconds.
    deadline : float
        Monotonic time by which the body must be complete, seconds.
    held : int
        Bytes that are charged to the account.
    head_bytes : int
        Bytes that are charged for the head of the same request besides.
    received : int
        Bytes of a body that arrived, or of a response that wait in the process.
    is_held_back : bool
        Whether the host has stopped reading because the account is full.
    closed_for : str
        Bound for which the holder was closed; empty while it is open.
    """

    address: str
    started_at: float
    deadline: float
    last_at: float = 0.0
    held: int = 0
    head_bytes: int = 0
    received: int = 0
    is_held_back: bool = False
    closed_for: str = ""

    def is_stalled(self, now: float) -> bool:
        """Return whether no byte has come for a while, though the host reads."""
        return not self.is_held_back and now - self.last_at >= STALLED_S


def choose_largest(
    holders: Iterable[Holder], now: float, waited_s: float
) -> Holder | None:
    """Return the holder to close while another waits for memory, or None.

    Stalled holders come first. One that makes progress is closed only if the other has
    waited for ``HOLD_BACK_S``.
    """
    found = None
    for holder in holders:
        if holder.closed_for:
            continue
        if waited_s < HOLD_BACK_S and not holder.is_stalled(now):
            continue
        if found is None or _rank(holder, now) > _rank(found, now):
            found = holder
    return found


def _rank(holder: Holder, now: float) -> tuple[bool, int, float]:
    held = holder.held + holder.head_bytes
    return holder.is_stalled(now), held, -holder.started_at


class MemoryAccount:
    """Count the bytes that are held for callers and servers; thread-safe.

    Parameters
    ----------
    limit : int
        Bytes that may be held.
    reserved : int
        Part of them that only `charge` may use.
    """

    def __init__(self, limit: int, reserved: int):
        self._limit = limit
        self._open_limit = limit - reserved
        self._used = 0
        self._lock = threading.Lock()
        self._released = threading.Condition(self._lock)
        self._waiting = 0

    @property
    def used(self) -> int:
        """Return the bytes that are charged."""
        return self._used

    def charge(self, size: int) -> bool:
        """Charge the memory of a request that has arrived; return False if full."""
        with self._lock:
            if self._used + size > self._limit:
                return False
            self._used += size
        return True

    def charge_open(self, size: int) -> bool:
        """Charge memory outside the reserved part; return False if it is full."""
        with self._lock:
            if self._used + size > self._open_limit:
                return False
            self._used += size
        return True

    def charge_held(self, size: int) -> None:
        """Charge memory that is held already, even if the account is full then."""
        with self._lock:
            self._used += size

    def excess(self, wanted: int = 0) -> int:
        """Return the bytes beyond the limit if ``wanted`` more were charged."""
        return max(0, self._used + wanted - self._limit)

    def release(self, size: int) -> None:
        """Release what was charged."""
        with self._lock:
            self._used -= size
            if self._waiting and self._used + STEP_BYTES <= self._open_limit:
                self._released.notify()

    def wait_for_release(self, timeout_s: float = CHECK_S) -> None:
        """Wait until something is released, or for a time."""
        with self._lock:
            self._waiting += 1
            try:
                self._released.wait(timeout_s)
            finally:
                self._waiting -= 1
