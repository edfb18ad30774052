"""Queue requests for decode memory and refuse those that cannot be served in time.

A burst can bring twice the usual traffic while decode memory is full, followed by the
retries of refused callers. A request is worth most if its first event arrives within
the target, so requests that can still meet their target are served first. Remaining
memory goes to late requests. Among these, retries of refused requests come before
requests that missed their target, because their callers do not retry again. A late
request waits for as long as its caller waits for a first event.

Requests of equal rank are served in order of arrival, and a later request never
overtakes an earlier one. Small prompts therefore cannot starve large ones. A request
that is not expected to be served in time is refused at once, with a Retry-After by
which memory is likely to be free.
"""

import math
import random

import attrs

from sesameport.admission.forecast import forecast_wait_s

__all__ = [
    "RetryAfterPolicy",
    "WaitingRequest",
    "WaitingPolicy",
    "WaitingQueue",
    "WaitingTokens",
]


@attrs.frozen
class WaitingPolicy:
    """Configure time limits and the size of a waiting queue.

    Attributes
    ----------
    first_event_s : float
        Planned time from the end of the wait to the first event, seconds. It covers
        the prefill, the transfer of the KV cache and the first decode step.
    late_first_event_s : float
        Same for late requests, seconds. It allows for queueing before the prefill,
        because a caller that disconnects before its first event gets no result.
    late_memory_share : float
        Expected fraction of freed memory that late requests receive, because requests
        that are not late have precedence.
    max_waiting : int
        Maximum number of waiting requests per host; further requests are refused.
    """

    first_event_s: float = 0.4
    late_first_event_s: float = 0.8
    late_memory_share: float = 0.4
    max_waiting: int = 64


@attrs.frozen
class RetryAfterPolicy:
    """Choose the Retry-After of a refused request.

    A caller retries once and a burst lasts several seconds, so a late retry finds free
    memory more often than an early one. Callers accept a delay of up to a third of
    their remaining time, which is 4.5 s for a typical generation. The delays are
    randomized, because simultaneous retries would be another burst. ``min_delay_s``
    and ``jitter_s`` are in seconds.
    """

    min_delay_s: float = 2.8
    jitter_s: float = 1.6

    def choose_delay_s(self, rng: random.Random) -> float:
        """Return a randomized Retry-After, seconds."""
        return self.min_delay_s + self.jitter_s * rng.random()


@attrs.frozen
class WaitingRequest:
    """Represent a waiting request.

    Attributes
    ----------
    key : int
        Number of the request in this process, increasing with each arrival.
    arrived_at : float
        Monotonic time of arrival, seconds.
    target_at : float
        Monotonic time at which the first event is due, seconds.
    disconnects_at : float
        Monotonic time at which a caller without an event disconnects, seconds.
    is_returning : bool
        Whether this is a retry after a refusal, which has already missed its target.
    priority : int
        Rank of the route or workspace; 0 is served first.
    kv_tokens : int
        Required KV cache, tokens.
    run_s : float
        Time within which its run is expected to end, seconds.
    """

    key: int
    arrived_at: float
    target_at: float
    disconnects_at: float
    is_returning: bool
    priority: int = 5
    kv_tokens: int = 0
    run_s: float = 0.0


@attrs.frozen
class WaitingTokens:
    """Represent the KV cache that waiting requests need, tokens.

    ``on_time`` counts requests that can still meet their target, ``late`` all others.
    """

    on_time: float = 0.0
    late: float = 0.0

    def plus(self, other: "WaitingTokens") -> "WaitingTokens":
        """Return the elementwise sum."""
        return WaitingTokens(self.on_time + other.on_time, self.late + other.late)

    def minus(self, other: "WaitingTokens") -> "WaitingTokens":
        """Return the elementwise difference."""
        return WaitingTokens(self.on_time - other.on_time, self.late - other.late)


@attrs.define
class WaitingQueue:
    """Queue the waiting requests of one service.

    Attributes
    ----------
    ends_at : float
        Monotonic time at which this process ends, seconds; infinite unless the host
        stops. A request whose run would not end before it is refused.
    """

    policy: WaitingPolicy = WaitingPolicy()
    _requests: dict[int, WaitingRequest] = attrs.field(factory=dict)
    ends_at: float = math.inf

    def __len__(self) -> int:
        return len(self._requests)

    def late_at(self, request: WaitingRequest) -> float:
        """Return the time from which a request can no longer meet its target."""
        if request.is_returning:
            return request.arrived_at
        return max(request.arrived_at, request.target_at - self.policy.first_event_s)

    def is_late(self, request: WaitingRequest, now: float) -> bool:
        """Return whether a request can no longer meet its target."""
        return now >= self.late_at(request)

    def refuse_at(self, request: WaitingRequest) -> float:
        """Return the time at which a request is refused if it is still waiting."""
        latest = request.disconnects_at - self.policy.late_first_event_s
        latest = max(request.arrived_at, self.late_at(request), latest)
        return min(latest, self.ends_at - request.run_s)

    def waiting(self) -> list[WaitingRequest]:
        """Return the waiting requests in the order of their arrival."""
        return list(self._requests.values())

    def try_add(self, request: WaitingRequest) -> bool:
        """Add a request; return False if the queue is full."""
        if len(self._requests) >= self.policy.max_waiting:
            return False
        self._requests[request.key] = request
        return True

    def tokens(self, now: float, max_priority: float = math.inf) -> WaitingTokens:
        """Return the KV cache that waiting requests of these ranks need."""
        on_time = late = 0.0
        for request in self._requests.values():
            if request.priority > max_priority:
                continue
            if self.is_late(request, now):
                late += request.kv_tokens
                continue
            on_time += request.kv_tokens
        return WaitingTokens(on_time, late)

    def excessive_wait_s(
        self,
        request: WaitingRequest,
        waiting: WaitingTokens,
        reserved_tokens: float,
        mean_reservation_s: float,
        now: float,
        fit_s: float = math.inf,
    ) -> float | None:
        """Return the expected wait of a request that cannot be served in time.

        Return None if the request may keep waiting.

        Parameters
        ----------
        request : WaitingRequest
            Request that is in the queue.
        waiting : WaitingTokens
            KV cache that waiting requests need on all hosts, including this request.
        reserved_tokens : float
            KV cache reserved by running requests, tokens.
        mean_reservation_s : float
            Mean time for which a request holds its KV cache, seconds.
        now : float
            Monotonic time, seconds.
        fit_s : float
            Expected time until the request fits into one engine if no other request
            is served first, seconds.
        """
        needed = request.kv_tokens

        def forecast_s(ahead: float, freed: float) -> float:
            wait_s = forecast_wait_s(ahead, needed, freed, mean_reservation_s)
            ahead_s = forecast_wait_s(ahead, 0.0, freed, mean_reservation_s)
            return min(wait_s, ahead_s + fit_s * reserved_tokens / max(freed, 1.0))

        if not self.is_late(request, now):
            ahead = waiting.on_time - needed
            wait_s = forecast_s(ahead, reserved_tokens)
            if now + wait_s <= min(self.late_at(request), self.refuse_at(request)):
                return None
        ahead = waiting.on_time + waiting.late - needed
        freed = self.policy.late_memory_share * reserved_tokens
        wait_s = forecast_s(ahead, freed)
        return None if now + wait_s <= self.refuse_at(request) else wait_s

    def discard(self, key: int) -> None:
        """Remove a request that was placed or whose caller disconnected."""
        self._requests.pop(key, None)

    def in_service_order(self, now: float) -> list[WaitingRequest]:
        """Return the waiting requests in the order in which they are served."""

        def rank(request: WaitingRequest) -> tuple:
            is_late = self.is_late(request, now)
            return (
                is_late,
                is_late and not request.is_returning,
                request.priority,
                request.arrived_at,
                request.key,
            )

        return sorted(self._requests.values(), key=rank)

    def pop_expired(self, now: float) -> list[WaitingRequest]:
        """Remove and return the requests that must be refused now."""
        due = [
            request
            for request in self._requests.values()
            if self.refuse_at(request) <= now
        ]
        for request in due:
            del self._requests[request.key]
        return due
