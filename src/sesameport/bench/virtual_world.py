"""Simulate a platform, drifting clocks and lossy calls in virtual time."""

import heapq
import random
from collections.abc import Callable

from result import Err, Ok, Result

from sesameport.fleet.platform_intents import CreateObject, PlatformIntent, ReadObject
from sesameport.interfaces import PlatformError, PlatformErrorKind, StoredObject

__all__ = ["Clock", "EventQueue", "PlatformCaller", "SimPlatform"]


class Clock:
    """Monotonic clock of one host: local seconds = offset + rate * real seconds."""

    def __init__(self, rng: random.Random, drift: float):
        self.rate = rng.choice((1 - drift, 1.0, 1 + drift))
        self.offset = rng.uniform(0, 1000)

    def local(self, real: float) -> float:
        """Return the time that this clock shows, seconds."""
        return self.offset + self.rate * real


class EventQueue:
    """Run callbacks in order of real time."""

    def __init__(self):
        self.now = 0.0
        self._heap = []
        self._count = 0

    def at(self, time: float, callback: Callable[[], None]) -> None:
        """Run a callback at a real time, or now if that has passed."""
        self._count += 1
        heapq.heappush(self._heap, (max(time, self.now), self._count, callback))

    def run_until(
        self, end: float, after_each: Callable[[], None] = lambda: None
    ) -> None:
        """Run every callback up to a real time and ``after_each`` after each one."""
        while self._heap and self._heap[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._heap)
            callback()
            after_each()
        self.now = end
        after_each()


class SimPlatform:
    """Store objects with versions; each call takes effect at one moment."""

    def __init__(self):
        self.objects = {}
        self.version = 0
        self.calls = 0

    def run(self, intent: PlatformIntent) -> Result[StoredObject, PlatformError]:
        """Run an intent at this moment."""
        self.calls += 1
        stored = self.objects.get((intent.kind, intent.name))
        if isinstance(intent, ReadObject):
            if stored is None:
                return Err(PlatformError(PlatformErrorKind.NOT_FOUND))
            return Ok(stored)
        if isinstance(intent, CreateObject):
            if stored is not None:
                return Err(PlatformError(PlatformErrorKind.EXISTS))
        elif stored is None or stored.version != intent.version:
            return Err(PlatformError(PlatformErrorKind.CONFLICT))
        self.version += 1
        stored = StoredObject(intent.kind, intent.name, self.version, intent.value)
        self.objects[intent.kind, intent.name] = stored
        return Ok(stored)


class PlatformCaller:
    """Carry intents of one host to the platform with delays, losses and outages."""

    def __init__(self, queue: EventQueue, platform: SimPlatform, rng: random.Random):
        self.queue = queue
        self.platform = platform
        self.rng = rng
        self.reachable = True
        self.answers_reach = True
        self.lose_answers = 0
        self.slow_calls = 0

    def call(self, intent, deliver) -> None:
        """Run the intent later and pass its answer to ``deliver``."""
        if not self.reachable:
            error = Err(PlatformError(PlatformErrorKind.UNAVAILABLE))
            self.queue.at(self.queue.now + 0.2, lambda: deliver(intent, error))
            return
        slow = self.slow_calls > 0
        self.slow_calls -= slow
        there = self.rng.uniform(1.0, 8.0) if slow else self.rng.uniform(0.002, 0.05)
        lost = self.lose_answers > 0
        self.lose_answers -= lost

        def take_effect():
            answer = self.platform.run(intent)
            if not (lost or slow) and self.answers_reach:
                back = self.queue.now + self.rng.uniform(0.002, 0.05)
                self.queue.at(back, lambda: deliver(intent, answer))

        self.queue.at(self.queue.now + there, take_effect)
        if lost or slow or not self.answers_reach:
            # The caller's adapter gives up after 2 s; the effect may come later.
            unknown = Err(PlatformError(PlatformErrorKind.UNKNOWN))
            self.queue.at(self.queue.now + 2.0, lambda: deliver(intent, unknown))
