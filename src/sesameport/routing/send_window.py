"""Bound how many requests a host has on the decode servers of one service.

Hosts cannot see each other's prefills, and reports lag. What a host does see at once is
how long its own prefill results wait for a decode slot: the engine's busy answer is the
reservation. The window grows while results are accepted at once and shrinks in
proportion when they wait longer than a target, as delay-based congestion control does
(TCP Vegas, 1994). It settles where the fleet's prefills just keep the slots full, for
any number of hosts, and hosts without work leave their part to others.
"""

import math

import attrs

from sesameport.routing.messages import PairingPolicy

__all__ = ["SendWindow"]

_OVERDUE_SHARE = 0.25
_LEAST_SIZE = 1.0
_FAST_STEP = 0.3
_LARGEST_CUT = 0.2


@attrs.define
class _Open:
    tokens: int
    first_try: float | None = None
    last_try: float | None = None
    expected_end: float = 0.0
    judged: bool = False


@attrs.define
class SendWindow:
    """Hold the window of one service.

    ``size`` counts requests; ``share`` is the even share of the slots per host.
    """

    policy: PairingPolicy
    size: float
    share: float = 1.0
    growing_fast: bool = True
    _cut_at: float = -math.inf
    _open: dict[int, _Open] = attrs.field(factory=dict)

    def __len__(self) -> int:
        return len(self._open)

    def place(self, ticket: int, tokens: int) -> None:
        """Count a request from the start of its prefill."""
        self._open[ticket] = _Open(tokens)

    def move(self, old: int, new: int) -> None:
        """Follow a request to another decode server after a busy answer."""
        item = self._open.pop(old, None)
        if item is not None:
            self._open[new] = item

    def try_decode(self, ticket: int, now: float, duration: float) -> None:
        """Note a decode call; ``duration`` is the expected time of the decode."""
        item = self._open.get(ticket)
        if item is None:
            return
        if item.first_try is None:
            item.first_try = now
        item.last_try = now
        item.expected_end = now + duration

    def accepted(self, ticket: int, now: float) -> None:
        """Note that a decode server took the request."""
        item = self._open.get(ticket)
        if item is not None and item.first_try is not None and not item.judged:
            item.judged = True
            self._judge(item.last_try - item.first_try, now)

    def end(self, ticket: int, now: float) -> None:
        """Release a request; a repeated call has no effect."""
        item = self._open.pop(ticket, None)
        if item is not None and item.first_try is not None and not item.judged:
            self._judge(item.last_try - item.first_try, now)

    def waited_s(self, ticket: int, now: float) -> float:
        """Return how long the result of a request has waited for a slot, seconds."""
        item = self._open.get(ticket)
        if item is None or item.first_try is None:
            return 0.0
        return now - item.first_try

    def waiting_results(self, now: float) -> int:
        """Return the own prefill results that were turned away a moment ago."""
        recent = now - 2 * self.policy.retry_s
        return sum(
            1
            for item in self._open.values()
            if not item.judged
            and item.first_try is not None
            and item.last_try > item.first_try
            and item.last_try >= recent
        )

    def room_at(self, now: float, lead_s: float, extra: float) -> float:
        """Return when a request may start whose prefill takes ``lead_s``.

        Own requests that are expected to end during the prefill leave their place.
        ``extra`` is added to the window. The result is in monotonic seconds.
        """
        rate = self._end_rate(now)
        over = len(self._open) + 1 - self.size - extra
        if over <= 0:
            return now
        if rate <= 0:
            return now + 1.0
        return max(now, now + over / rate - lead_s)

    def _end_rate(self, now: float) -> float:
        rate = 0.0
        for item in self._open.values():
            if not item.judged or item.first_try is None:
                continue
            # An overdue request may end at any time within a quarter of its length.
            least = _OVERDUE_SHARE * (item.expected_end - item.last_try)
            rate += 1.0 / max(item.expected_end - now, least, 1e-3)
        return rate

    def _judge(self, waited: float, now: float) -> None:
        policy = self.policy
        if policy.window_step <= 0:
            return
        if waited > 0:
            self.growing_fast = False
        excess = waited / policy.target_wait_s - 1.0
        if excess > 0:
            self._cut(excess, now)
            return
        if len(self._open) < self.size - 1.0:
            # The window was not what held requests back.
            return
        # Divided by the size, growth per second is the same for large and small
        # windows, while cuts are relative; so the windows of busy hosts become equal.
        step = -excess * policy.window_step * self.share / self.size
        self.size += _FAST_STEP if self.growing_fast else step

    def _cut(self, excess: float, now: float) -> None:
        # Results that waited at the same time show one congestion, not several.
        if now < self._cut_at + self.policy.cut_pause_s:
            return
        self._cut_at = now
        cut = min(_LARGEST_CUT, self.policy.window_cut * excess)
        self.size = max(_LEAST_SIZE, self.size * (1.0 - cut))
