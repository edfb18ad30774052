"""Limit the rate of platform calls of each host and of the whole fleet.

Hosts do not coordinate. Each one divides a fleet-wide rate by the number of hosts. The
load on the platform therefore does not grow with the fleet, which would otherwise
exceed the platform's limits.
"""

import math
import random
from collections.abc import Hashable

__all__ = ["CallBackoff", "CallPacer", "KeyedWriteQueue"]

FLEET_CALLS_PER_S = 200.0
"""Mean call rate of all hosts together. The platform accepts several hundred writes per
second, taken as 300. The margin covers coinciding calls of several hosts and the trials
at the start of an outage: a mean of 240 led to 310 calls in one second."""

FLEET_TRIALS_PER_S = 20.0
"""Rate of trial calls of all hosts together during an outage. A trial call detects the
end of the outage."""

FLEET_RECOVERY_CALLS_PER_S = 100.0
"""Call rate of all hosts together during the first `RECOVERY_S` after an outage."""

RECOVERY_S = 10.0
"""Time with the reduced rate after an outage. It covers the spread of the hosts' trials
at 9 hosts and at 340, where the last host's trial comes up to 34 s after the outage."""

MIN_TRIAL_BASE_S = 0.5
MIN_TRIAL_CAP_S = 5.0
"""Lower limits of the first and of the longest wait between trials. They apply in a
small fleet."""


class CallBackoff:
    """Compute exponential backoff with full jitter.

    Each wait is uniform between 0 and a bound that doubles per failure. Full jitter
    spreads retries most (Brooker 2015).
    """

    def __init__(self, rng: random.Random, base_s: float, cap_s: float):
        self.cap_s = cap_s
        self.failures = 0
        self._rng = rng
        self.base_s = base_s

    def next_wait(self) -> float:
        """Record a failure and return the wait before the next attempt, seconds."""
        exponent = min(self.failures, 30)
        self.failures += 1
        bound = min(self.cap_s, self.base_s * 2.0**exponent)
        return self._rng.uniform(0.0, bound)

    def reset(self) -> None:
        """Reset the failure count after a success."""
        self.failures = 0


class CallPacer:
    """Limit this host's platform calls by a token bucket with a circuit breaker.

    A call that does not reach the platform opens the breaker. Then one trial at a time
    is admitted, with backoff and full jitter, until one succeeds. Calls resume from an
    empty bucket at a reduced rate.

    Parameters
    ----------
    rng : random.Random
        Source of jitter.
    calls_per_s : float
        Upper limit of this host's calls per second.
    hosts : int
        Number of alive hosts of the whole fleet.
    """

    BURST_S = 1.0
    """Bucket size in seconds of the rate; the bucket holds at least one call."""

    def __init__(self, rng: random.Random, calls_per_s: float, hosts: int = 1):
        self._max_rate = calls_per_s
        self._tokens = 1.0
        self._refilled_at: float | None = None
        self._trial = CallBackoff(rng, MIN_TRIAL_BASE_S, MIN_TRIAL_CAP_S)
        self.set_host_count(hosts)
        self._trial_at = -math.inf
        self._is_trial_running = False
        self._is_down = False
        self._recovering_until = -math.inf

    def set_host_count(self, hosts: int) -> None:
        """Set the number of alive hosts of the whole fleet."""
        self._hosts = max(1, hosts)
        # The mean wait is half the bound. With the first bound, trials add at most a
        # fifth to the normal rate at the start of an outage. With the longest bound,
        # the trials of all hosts together have the rate `FLEET_TRIALS_PER_S`.
        base_s = 4.0 * self._hosts / FLEET_CALLS_PER_S
        cap_s = 2.0 * self._hosts / FLEET_TRIALS_PER_S
        self._trial.base_s = max(MIN_TRIAL_BASE_S, base_s)
        self._trial.cap_s = max(MIN_TRIAL_CAP_S, cap_s)

    def rate(self, now: float) -> float:
        """Return the calls per second that this host may make now."""
        fleet = FLEET_CALLS_PER_S
        if now < self._recovering_until:
            fleet = FLEET_RECOVERY_CALLS_PER_S
        return min(self._max_rate, fleet / self._hosts)

    def admit(self, now: float) -> bool:
        """Return whether a call may be made now, and consume a token if so."""
        self._refill(now)
        if self._is_down:
            if self._is_trial_running or now < self._trial_at:
                return False
            self._is_trial_running = True
            return True
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def wait_s(self, now: float) -> float:
        """Return the time until `admit` may next succeed, seconds."""
        self._refill(now)
        if self._is_down:
            return max(0.05, self._trial_at - now)
        return max(0.0, (1.0 - self._tokens) / self.rate(now))

    def record_success(self, now: float) -> None:
        """Record a call that reached the platform, whatever its result."""
        if self._is_down:
            self._is_down = False
            self._tokens = 0.0
            self._recovering_until = now + RECOVERY_S
        self._is_trial_running = False
        self._trial.reset()

    def record_failure(self, now: float) -> None:
        """Record a call that did not reach the platform or whose answer was lost."""
        self._is_down = True
        self._is_trial_running = False
        self._trial_at = now + self._trial.next_wait()

    def _refill(self, now: float) -> None:
        if self._refilled_at is not None:
            rate = self.rate(now)
            gained = (now - self._refilled_at) * rate
            limit = max(1.0, rate * self.BURST_S)
            self._tokens = min(limit, self._tokens + gained)
        self._refilled_at = now


class KeyedWriteQueue:
    """Serialize writes per object: one runs and the others wait in FIFO order.

    At most ``max_waiting`` writes wait per object.
    """

    def __init__(self, max_waiting: int = 64):
        self._max_waiting = max_waiting
        self._waiting: dict[Hashable, list] = {}

    def begin(self, key: Hashable, write) -> bool | None:
        """Return True to run the write now, False if it is queued, None if rejected."""
        waiting = self._waiting.get(key)
        if waiting is None:
            self._waiting[key] = []
            return True
        if len(waiting) >= self._max_waiting:
            return None
        waiting.append(write)
        return False

    def end(self, key: Hashable):
        """End the current write of an object; return its next write to run, or None."""
        waiting = self._waiting[key]
        if not waiting:
            del self._waiting[key]
            return None
        return waiting.pop(0)
