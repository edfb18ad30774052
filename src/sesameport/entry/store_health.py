"""Know whether the store can be reached, and who tries to reach it."""

import threading
from collections.abc import Callable

__all__ = ["StoreHealth"]

TURN_CHECK_S = 0.5
"""Period at which a thread that waits for the store checks whether to stop, seconds."""


class StoreHealth:
    """Report each change between a reachable and an unreachable store once.

    While the store is unreachable, one kind of objects at a time is read to find out
    when it can be reached again.
    """

    def __init__(self, on_change: Callable[[bool], None]):
        self._on_change = on_change
        self._changed = threading.Condition()
        self._is_reachable: bool | None = None
        self._probing_kind: str | None = None

    def record(self, kind: str, is_reachable: bool) -> None:
        """Record the outcome of a call for a kind of objects."""
        with self._changed:
            was_reachable = self._is_reachable
            self._is_reachable = is_reachable
            self._probing_kind = None if is_reachable else self._probing_kind or kind
            self._changed.notify_all()
        if is_reachable != bool(was_reachable):
            self._on_change(is_reachable)

    def release_turn(self, kind: str) -> None:
        """Let another kind be read, because the thread of this one has failed."""
        with self._changed:
            if self._probing_kind == kind:
                self._probing_kind = None
                self._changed.notify_all()

    def wait_for_turn(self, kind: str, closing: threading.Event) -> None:
        """Wait while the store is unreachable and another kind is read."""
        with self._changed:
            while self._probing_kind not in (None, kind) and not closing.is_set():
                self._changed.wait(TURN_CHECK_S)
