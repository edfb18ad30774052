"""Define the interface of the timer service."""

from collections.abc import Callable
from typing import Protocol

__all__ = ["Timers"]


class Timers(Protocol):
    """Call subscribers periodically with the monotonic time in seconds."""

    def subscribe(
        self,
        name: str,
        period_s: float,
        callback: Callable[[float], None],
        jitter: float = 0.1,
    ) -> None:
        """Call ``callback`` periodically.

        Each period deviates randomly from ``period_s`` by at most the fraction
        ``jitter``.
        """
        ...

    def call_at(
        self, name: str, when: float, callback: Callable[[float], None]
    ) -> None:
        """Call ``callback`` once at a monotonic time, seconds."""
        ...

    def now(self) -> float:
        """Return the monotonic time, seconds."""
        ...
