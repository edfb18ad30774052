"""Decide when a host repeats what it and the other hosts should all know.

This is the Trickle algorithm (RFC 6206). Each host sends at a random time of each
interval, unless others have sent the same in this interval. The number of messages
therefore hardly depends on the number of hosts. The interval doubles up to a maximum,
and a difference between hosts resets it.
"""

import random

import attrs

__all__ = ["Trickle"]

REDUNDANCY = 2
"""Number of equal messages of other hosts that make an own one unnecessary."""

MIN_INTERVAL_S = 0.5
MIN_INTERVAL_PER_HOST_S = 0.01
"""The first interval is the greater of the minimum and the product with the number of
hosts, seconds."""

DOUBLINGS = 3
"""Number of times that the interval doubles."""


@attrs.define
class Trickle:
    """Schedule the messages of one host.

    Attributes
    ----------
    rng : random.Random
        Chooses the time within an interval.
    hosts : int
        Number of hosts that send.
    """

    rng: random.Random
    hosts: int = 1
    _began_at: float = 0.0
    _interval_s: float = 0.0
    _send_at: float = 0.0
    _heard: int = 0
    _has_sent: bool = False

    def is_running(self) -> bool:
        """Return whether an interval has begun."""
        return self._interval_s > 0.0

    def min_interval_s(self) -> float:
        """Return the length of the first interval, seconds."""
        return max(MIN_INTERVAL_S, MIN_INTERVAL_PER_HOST_S * self.hosts)

    def reset(self, now: float) -> None:
        """Begin with the first interval, unless it is in progress."""
        if self._interval_s != self.min_interval_s() or now >= self.ends_at():
            self._begin(self.min_interval_s(), now)

    def record_equal(self) -> None:
        """Record a message of another host that tells all that is known here."""
        self._heard += 1

    def ends_at(self) -> float:
        """Return the monotonic time at which the present interval ends, seconds."""
        return self._began_at + self._interval_s

    def take_send(self, now: float) -> bool:
        """Return whether to send now; begin the next interval if it is time."""
        is_due = not self._has_sent and self._send_at <= now
        if is_due:
            self._has_sent = True
        sends = is_due and self._heard < REDUNDANCY
        if now >= self.ends_at():
            longest_s = self.min_interval_s() * 2**DOUBLINGS
            self._begin(min(longest_s, 2 * self._interval_s), now)
        return sends

    def next_at(self, now: float) -> float:
        """Return when to call `take_send` again, seconds."""
        return self.ends_at() if self._has_sent else max(now, self._send_at)

    def _begin(self, interval_s: float, now: float) -> None:
        self._began_at, self._interval_s = now, interval_s
        self._send_at = now + interval_s * self.rng.uniform(0.5, 1.0)
        self._heard = 0
        self._has_sent = False
