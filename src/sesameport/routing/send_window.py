"""Bound how many requests a host has on the decode servers of one service.

Hosts do not know each other's prefills, and load reports lag. The only signal without
delay is how long a host's own prefill results wait for a decode slot, because an engine
without a free slot answers busy at once. The window therefore follows delay-based
congestion control (TCP Vegas, 1994): it grows while results are accepted at once and
decreases in proportion to the wait beyond a target. It converges to the size at which
the prefills of all hosts just keep the slots full, for any number of hosts. Hosts
without work leave their slots to the others.
"""

import math

import attrs

from sesameport.routing.messages import PairingPolicy

__all__ = ["SendWindow"]

_OVERDUE_FRACTION = 0.25
"""An overdue request is expected to end within this fraction of its expected length."""

_MIN_SIZE = 1.0
_SLOW_START_INCREASE = 0.3
"""Growth per accepted result until the first result has to wait, requests."""

_MAX_DECREASE = 0.2
"""Maximum relative decrease of the window in one step."""


@attrs.define
class _OpenRequest:
    tokens: int
    first_call_at: float | None = None
    last_call_at: float | None = None
    expected_end: float = 0.0
    is_wait_applied: bool = False


@attrs.define
class SendWindow:
    """Track the requests of one service and adapt their maximum number.

    Attributes
    ----------
    size : float
        Current window, requests.
    even_share : float
        Decode slots per host if all hosts get the same number.
    is_slow_start : bool
        Whether the window still grows quickly because no result has waited yet.
    """

    policy: PairingPolicy
    size: float
    even_share: float = 1.0
    is_slow_start: bool = True
    _decreased_at: float = -math.inf
    _open: dict[int, _OpenRequest] = attrs.field(factory=dict)

    def __len__(self) -> int:
        return len(self._open)

    def add(self, reservation_id: int, tokens: int) -> None:
        """Add a request, at the start of its prefill."""
        self._open[reservation_id] = _OpenRequest(tokens)

    def replace_id(self, old: int, new: int) -> None:
        """Keep the entry of a request that moves to another decode server."""
        request = self._open.pop(old, None)
        if request is not None:
            self._open[new] = request

    def record_decode_call(
        self, reservation_id: int, now: float, decode_s: float
    ) -> None:
        """Record a decode call and the expected duration of the decode."""
        request = self._open.get(reservation_id)
        if request is None:
            return
        if request.first_call_at is None:
            request.first_call_at = now
        request.last_call_at = now
        request.expected_end = now + decode_s

    def record_acceptance(self, reservation_id: int, now: float) -> None:
        """Adapt the window when a decode server has accepted a request."""
        request = self._open.get(reservation_id)
        if (
            request is not None
            and request.first_call_at is not None
            and not request.is_wait_applied
        ):
            request.is_wait_applied = True
            self._apply_wait(request.last_call_at - request.first_call_at, now)

    def release(self, reservation_id: int, now: float) -> None:
        """Remove a request; adapt the window if its wait has not been applied yet.

        A second call has no effect.
        """
        request = self._open.pop(reservation_id, None)
        if (
            request is not None
            and request.first_call_at is not None
            and not request.is_wait_applied
        ):
            self._apply_wait(request.last_call_at - request.first_call_at, now)

    def waited_s(self, reservation_id: int, now: float) -> float:
        """Return how long the result of a request has waited for a slot, seconds."""
        request = self._open.get(reservation_id)
        if request is None or request.first_call_at is None:
            return 0.0
        return now - request.first_call_at

    def waiting_result_count(self, now: float) -> int:
        """Return the number of own prefill results that a server has just rejected.

        A result counts if its last decode call was a retry within the last two
        maximum retry delays.
        """
        recent = now - 2 * self.policy.max_retry_delay_s
        return sum(
            1
            for request in self._open.values()
            if not request.is_wait_applied
            and request.first_call_at is not None
            and request.last_call_at > request.first_call_at
            and request.last_call_at >= recent
        )

    def earliest_start(self, now: float, lead_s: float, extra_requests: float) -> float:
        """Return when a prefill of ``lead_s`` seconds may start, monotonic seconds.

        Requests that are expected to end during the prefill free their places in the
        window for it. ``extra_requests`` is added to the window.
        """
        rate = self._end_rate(now)
        excess_requests = len(self._open) + 1 - self.size - extra_requests
        if excess_requests <= 0:
            return now
        if rate <= 0:
            return now + 1.0
        return max(now, now + excess_requests / rate - lead_s)

    def _end_rate(self, now: float) -> float:
        rate = 0.0
        for request in self._open.values():
            if not request.is_wait_applied or request.first_call_at is None:
                continue
            min_remaining_s = _OVERDUE_FRACTION * (
                request.expected_end - request.last_call_at
            )
            rate += 1.0 / max(request.expected_end - now, min_remaining_s, 1e-3)
        return rate

    def _apply_wait(self, waited_s: float, now: float) -> None:
        policy = self.policy
        if policy.window_increase <= 0:
            return
        if waited_s > 0:
            self.is_slow_start = False
        excess = waited_s / policy.target_wait_s - 1.0
        if excess > 0:
            self._decrease(excess, now)
            return
        if len(self._open) < self.size - 1.0:
            # The window does not limit the host now, so it need not grow.
            return
        # Larger windows get more results per second. Dividing by the size gives every
        # window the same growth per second. Decreases are relative, so the windows of
        # busy hosts converge to the same size.
        increase = -excess * policy.window_increase * self.even_share / self.size
        self.size += _SLOW_START_INCREASE if self.is_slow_start else increase

    def _decrease(self, excess: float, now: float) -> None:
        # Results that waited at the same time are signs of the same congestion.
        if now < self._decreased_at + self.policy.min_decrease_interval_s:
            return
        self._decreased_at = now
        decrease = min(_MAX_DECREASE, self.policy.window_decrease * excess)
        self.size = max(_MIN_SIZE, self.size * (1.0 - decrease))
