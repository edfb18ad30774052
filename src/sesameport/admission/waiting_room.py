"""Decide who waits for decode memory, for how long, and who is refused.

Load: bursts of twice the usual traffic on full decode memory. A request is of full use
to its caller only if its first event comes within the target, so it waits no longer
than its target leaves after prefill and transfer. Then it is refused at once, with a
time after which memory is likely to be free. Requests that can still make their target
go before those that came back after a refusal and cannot; among equals the oldest goes
first, and no later request passes it, so that large prompts are not starved by small
ones.
"""

import random

import attrs

__all__ = ["RefusalTimes", "Waiter", "WaitingRoom", "WaitingPolicy"]


@attrs.frozen
class WaitingPolicy:
    """Set the times of waiting.

    Attributes
    ----------
    start_s : float
        Time from the end of the wait to the first event that is planned for: the
        prefill, the transfer of its KV cache and the first step, seconds.
    late_wait_s : float
        Wait of a request that cannot make its target any more, seconds.
    max_waiting : int
        Requests that wait at one host; further ones are refused.
    """

    start_s: float = 0.4
    late_wait_s: float = 0.5
    max_waiting: int = 64


@attrs.frozen
class RefusalTimes:
    """Choose when a refused caller should come back.

    A caller comes back once, and a burst lasts some seconds, so that a late return
    finds memory more often than an early one. Callers honour a third of the time that
    they have left, 4.5 s for a draft. They are spread, otherwise they meet once more
    as a burst. ``shortest_s`` and ``spread_s`` are in seconds.
    """

    shortest_s: float = 2.8
    spread_s: float = 1.6

    def choose(self, rng: random.Random) -> float:
        """Return a Retry-After, seconds."""
        return self.shortest_s + self.spread_s * rng.random()


@attrs.frozen
class Waiter:
    """Describe a waiting request.

    Attributes
    ----------
    key : int
        Number of the request in this process; rises with each arrival.
    arrived_at : float
        Monotonic time, seconds.
    target_at : float
        Time at which the first event is due.
    is_returning : bool
        Whether the caller was refused before, so that the target has passed.
    priority : int
        Rank of the route or workspace, 0 first.
    kv_tokens : int
        KV cache that it needs, tokens.
    """

    key: int
    arrived_at: float
    target_at: float
    is_returning: bool
    priority: int = 5
    kv_tokens: int = 0


@attrs.define
class WaitingRoom:
    """Hold the waiting requests of one service."""

    policy: WaitingPolicy = WaitingPolicy()
    _waiters: dict[int, Waiter] = attrs.field(factory=dict)

    def __len__(self) -> int:
        return len(self._waiters)

    def give_up_at(self, waiter: Waiter) -> float:
        """Return the time at which a request is refused."""
        if waiter.is_returning:
            return waiter.arrived_at + self.policy.late_wait_s
        return max(waiter.arrived_at, waiter.target_at - self.policy.start_s)

    def enter(self, waiter: Waiter) -> bool:
        """Let a request wait; False if it has to be refused at once."""
        if len(self._waiters) >= self.policy.max_waiting:
            return False
        self._waiters[waiter.key] = waiter
        return True

    def tokens(self) -> float:
        """Return the KV cache that all waiting requests need, tokens."""
        return float(sum(item.kv_tokens for item in self._waiters.values()))

    def can_wait_s(self, waiter: Waiter) -> float:
        """Return for how long a request may wait, seconds."""
        return self.give_up_at(waiter) - waiter.arrived_at

    def leave(self, key: int) -> None:
        """Take a request out, because it was placed or its caller left."""
        self._waiters.pop(key, None)

    def in_order(self) -> list[Waiter]:
        """Return the waiting requests, first the one to be served next."""
        return sorted(
            self._waiters.values(),
            key=lambda item: (
                item.is_returning,
                item.priority,
                item.arrived_at,
                item.key,
            ),
        )

    def expired(self, now: float) -> list[Waiter]:
        """Take out and return the requests that are to be refused."""
        over = [item for item in self._waiters.values() if self.give_up_at(item) <= now]
        for waiter in over:
            del self._waiters[waiter.key]
        return over
