"""Simulate a platform, drifting clocks and unreliable calls in virtual time."""

import heapq
import random
from collections.abc import Callable

from result import Err, Ok, Result

from sesameport.fleet.platform_intents import CreateObject, PlatformIntent, ReadObject
from sesameport.interfaces import PlatformError, PlatformErrorKind, StoredObject

__all__ = ["DriftingClock", "EventQueue", "SimPlatformClient", "SimPlatform"]


class DriftingClock:
    """Simulate the monotonic clock of a host, which drifts against real time.

    Local seconds = offset + rate * real seconds.
    """

    def __init__(self, rng: random.Random, drift: float):
        self.rate = rng.choice((1 - drift, 1.0, 1 + drift))
        self.offset = rng.uniform(0, 1000)

    def local(self, real: float) -> float:
        """Return the local time at a real time, seconds."""
        return self.offset + self.rate * real


class EventQueue:
    """Schedule and run callbacks in order of real time."""

    def __init__(self):
        self.now = 0.0
        self._heap = []
        self._count = 0

    def call_at(self, time: float, callback: Callable[[], None]) -> None:
        """Schedule a callback for a real time, or for now if it has passed."""
        self._count += 1
        heapq.heappush(self._heap, (max(time, self.now), self._count, callback))

    def run_until(
        self, end: float, after_each: Callable[[], None] = lambda: None
    ) -> None:
        """Run all callbacks up to a real time.

        ``after_each`` is called after each callback and once at the end.
        """
        while self._heap and self._heap[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._heap)
            callback()
            after_each()
        self.now = end
        after_each()


class SimPlatform:
    """Store versioned objects in memory; each call is atomic."""

    def __init__(self):
        self.objects = {}
        self.version = 0
        self.calls = 0

    def run(self, intent: PlatformIntent) -> Result[StoredObject, PlatformError]:
        """Apply an intent and return the stored object, or an Err with the reason."""
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


class SimPlatformClient:
    """Send the intents of one host to the platform with delays and faults.

    The next ``responses_to_lose`` calls take effect without a response. The next
    ``slow_calls_left`` calls take effect after 1 to 8 s, without a response. If
    ``delivers_responses`` is False, all calls take effect without a response. If
    ``reachable`` is False, calls fail and have no effect.
    """

    def __init__(self, queue: EventQueue, platform: SimPlatform, rng: random.Random):
        self.queue = queue
        self.platform = platform
        self.rng = rng
        self.reachable = True
        self.delivers_responses = True
        self.responses_to_lose = 0
        self.slow_calls_left = 0

    def call(self, intent, deliver) -> None:
        """Send an intent and call ``deliver(intent, result)`` with its result."""
        if not self.reachable:
            error = Err(PlatformError(PlatformErrorKind.UNAVAILABLE))
            self.queue.call_at(self.queue.now + 0.2, lambda: deliver(intent, error))
            return
        is_slow = self.slow_calls_left > 0
        self.slow_calls_left -= is_slow
        request_delay_s = (
            self.rng.uniform(1.0, 8.0) if is_slow else self.rng.uniform(0.002, 0.05)
        )
        loses_response = self.responses_to_lose > 0
        self.responses_to_lose -= loses_response

        def take_effect():
            response = self.platform.run(intent)
            if not (loses_response or is_slow) and self.delivers_responses:
                response_at = self.queue.now + self.rng.uniform(0.002, 0.05)
                self.queue.call_at(response_at, lambda: deliver(intent, response))

        self.queue.call_at(self.queue.now + request_delay_s, take_effect)
        if loses_response or is_slow or not self.delivers_responses:
            # The platform adapter times out after 2 s; the call may take effect later.
            unknown = Err(PlatformError(PlatformErrorKind.UNKNOWN))
            self.queue.call_at(self.queue.now + 2.0, lambda: deliver(intent, unknown))
