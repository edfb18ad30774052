"""Define the timer service that parts of the daemon subscribe to."""

from collections.abc import Callable
from typing import Protocol

__all__ = ["Timers"]


class Timers(Protocol):
    """Call subscribers at their period, with the monotonic time in seconds."""

    def subscribe(
        self,
        name: str,
        period_s: float,
        callback: Callable[[float], None],
        jitter: float = 0.1,
    ) -> None:
        """Call back every period; jitter is the random part of the period."""
        ...

    def call_at(
        self, name: str, when: float, callback: Callable[[float], None]
    ) -> None:
        """Call back once at a monotonic time, seconds."""
        ...

    def now(self) -> float:
        """Return the monotonic time, seconds."""
        ...
