"""Run the timer service on one thread."""

import contextlib
import heapq
import itertools
import random
import threading
import time
from collections.abc import Callable

__all__ = ["TimerService"]


class TimerService:
    """Call subscribers periodically, with jitter, by the monotonic clock.

    Callbacks run on the timer thread and must not block; they usually send a message
    to an actor. An exception in a callback is passed to ``on_error`` and does not stop
    the other callbacks.
    """

    def __init__(
        self,
        rng: random.Random | None = None,
        on_error: Callable[[str, Exception], None] | None = None,
    ):
        self._rng = rng or random.Random()
        self._on_error = on_error or (lambda name, exc: None)
        self._heap: list = []
        self._sequence_numbers = itertools.count()
        self._wakeup = threading.Condition()
        self._stopped = False
        self._thread = threading.Thread(target=self._run, name="timers", daemon=True)

    def start(self) -> "TimerService":
        """Start the thread and return the service."""
        self._thread.start()
        return self

    def stop(self) -> None:
        """Stop calling subscribers."""
        with self._wakeup:
            self._stopped = True
            self._wakeup.notify()

    def now(self) -> float:
        """Return the monotonic time, seconds."""
        return time.monotonic()

    def subscribe(
        self,
        name: str,
        period_s: float,
        callback: Callable[[float], None],
        jitter: float = 0.1,
    ) -> None:
        """Call ``callback`` periodically.

        Each period is drawn uniformly from ``period_s * (1 ± jitter)``. The first call
        comes after a random part of one period.
        """
        with self._wakeup:
            first_at = self.now() + period_s * self._rng.random()
            entry = (
                first_at,
                next(self._sequence_numbers),
                name,
                period_s,
                callback,
                jitter,
            )
            heapq.heappush(self._heap, entry)
            self._wakeup.notify()

    def call_at(
        self, name: str, when: float, callback: Callable[[float], None]
    ) -> None:
        """Call ``callback`` once at a monotonic time, seconds."""
        with self._wakeup:
            entry = (when, next(self._sequence_numbers), name, None, callback, 0.0)
            heapq.heappush(self._heap, entry)
            self._wakeup.notify()

    def _run(self) -> None:
        while True:
            with self._wakeup:
                if self._stopped:
                    return
                wait_s = self._heap[0][0] - self.now() if self._heap else None
                if wait_s is None or wait_s > 0:
                    self._wakeup.wait(wait_s)
                    continue
                entry = heapq.heappop(self._heap)
            self._call(entry)

    def _call(self, entry) -> None:
        _, sequence_number, name, period_s, callback, jitter = entry
        try:
            callback(self.now())
        except Exception as exc:
            with contextlib.suppress(Exception):
                self._on_error(name, exc)
        if period_s is None:
            return
        jitter_factor = 1.0 + jitter * (2.0 * self._rng.random() - 1.0)
        due_at = self.now() + period_s * jitter_factor
        with self._wakeup:
            heapq.heappush(
                self._heap, (due_at, sequence_number, name, period_s, callback, jitter)
            )
