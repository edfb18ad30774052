"""Bound the calls that one host, and the whole fleet, make to the platform.

Hosts do not coordinate. Each one derives its part of a fleet-wide rate from the number
of hosts, so the platform's load does not grow with the fleet, whose size outgrows the
platform's limits.
"""

import math
import random
from collections.abc import Hashable

__all__ = ["Backoff", "CallPacer", "WriteOrder"]

FLEET_CALLS_PER_S = 200.0
"""Calls of all hosts together. The platform accepts several hundred writes a second,
taken as 300. The mean leaves room for hosts whose calls fall together and for the
trials at the start of an outage: 310 in one second were seen with a mean of 240."""

FLEET_TRIALS_PER_S = 20.0
"""Calls of all hosts together by which they find out that an outage has ended."""

FLEET_RECOVERY_CALLS_PER_S = 100.0
"""Calls of all hosts together in the first time after an outage."""

RECOVERY_S = 10.0
"""Length of that time. It covers the spread of the hosts' trials at 9 hosts and at
340, where one host's trial comes up to 34 s after the end of the outage."""

MIN_TRIAL_BASE_S = 0.5
MIN_TRIAL_CAP_S = 5.0
"""Bounds of the first and the longest wait between trials in a small fleet."""


class Backoff:
    """Draw waits with full jitter: uniform between 0 and a bound that doubles.

    Full jitter spreads retries most (Brooker 2015).
    """

    def __init__(self, rng: random.Random, base_s: float, cap_s: float):
        self.cap_s = cap_s
        self.failures = 0
        self._rng = rng
        self.base_s = base_s

    def next_wait(self) -> float:
        """Count a failure and return the wait before the next attempt, seconds."""
        exponent = min(self.failures, 30)
        self.failures += 1
        bound = min(self.cap_s, self.base_s * 2.0**exponent)
        return self._rng.uniform(0.0, bound)

    def reset(self) -> None:
        """Forget the failures after a success."""
        self.failures = 0


class CallPacer:
    """Decide when this host may call the platform.

    Normally a token bucket admits calls. After a failure that means that the platform
    was not reached, one trial at a time is made, at full jitter, until one succeeds;
    then calls start again from an empty bucket at a lower rate.

    Parameters
    ----------
    calls_per_s : float
        Calls per second that this host may make at most.
    """

    BURST_S = 1.0
    """Seconds of the rate that an idle host may save; at least one call."""

    def __init__(self, rng: random.Random, calls_per_s: float, hosts: int = 1):
        self._own_rate = calls_per_s
        self._tokens = 1.0
        self._filled_at: float | None = None
        self._trial = Backoff(rng, MIN_TRIAL_BASE_S, MIN_TRIAL_CAP_S)
        self.set_hosts(hosts)
        self._trial_at = -math.inf
        self._trial_runs = False
        self._down = False
        self._recovering_until = -math.inf

    def set_hosts(self, hosts: int) -> None:
        """Set the number of alive hosts of the whole fleet."""
        self._hosts = max(1, hosts)
        # The mean wait is half the bound. The first wait adds at most a fifth to the
        # normal rate while an outage begins, the longest one gives the rate of trials.
        base_s = 4.0 * self._hosts / FLEET_CALLS_PER_S
        cap_s = 2.0 * self._hosts / FLEET_TRIALS_PER_S
        self._trial.base_s = max(MIN_TRIAL_BASE_S, base_s)
        self._trial.cap_s = max(MIN_TRIAL_CAP_S, cap_s)

    def rate(self, now: float) -> float:
        """Return the calls per second that this host may make now."""
        fleet = FLEET_CALLS_PER_S
        if now < self._recovering_until:
            fleet = FLEET_RECOVERY_CALLS_PER_S
        return min(self._own_rate, fleet / self._hosts)

    def admit(self, now: float) -> bool:
        """Take one call from the budget; False when it is not yet allowed."""
        self._fill(now)
        if self._down:
            if self._trial_runs or now < self._trial_at:
                return False
            self._trial_runs = True
            return True
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def wait_s(self, now: float) -> float:
        """Return the time after which asking again makes sense, seconds."""
        self._fill(now)
        if self._down:
            return max(0.05, self._trial_at - now)
        return max(0.0, (1.0 - self._tokens) / self.rate(now))

    def note_success(self, now: float) -> None:
        """Record a call that reached the platform, whatever it answered."""
        if self._down:
            self._down = False
            self._tokens = 0.0
            self._recovering_until = now + RECOVERY_S
        self._trial_runs = False
        self._trial.reset()

    def note_failure(self, now: float) -> None:
        """Record a call that did not reach the platform or lost its answer."""
        self._down = True
        self._trial_runs = False
        self._trial_at = now + self._trial.next_wait()

    def _fill(self, now: float) -> None:
        if self._filled_at is not None:
            rate = self.rate(now)
            gained = (now - self._filled_at) * rate
            limit = max(1.0, rate * self.BURST_S)
            self._tokens = min(limit, self._tokens + gained)
        self._filled_at = now


class WriteOrder:
    """Let one write at a time run per object; later writes of it wait in order.

    At most ``max_waiting`` writes wait per object.
    """

    def __init__(self, max_waiting: int = 64):
        self._max_waiting = max_waiting
        self._waiting: dict[Hashable, list] = {}

    def begin(self, key: Hashable, write) -> bool | None:
        """Return True to run the write now, False if it waits, None if refused."""
        waiting = self._waiting.get(key)
        if waiting is None:
            self._waiting[key] = []
            return True
        if len(waiting) >= self._max_waiting:
            return None
        waiting.append(write)
        return False

    def end(self, key: Hashable):
        """Return the next write of the object, which runs now, or None."""
        waiting = self._waiting[key]
        if not waiting:
            del self._waiting[key]
            return None
        return waiting.pop(0)
