"""Record the holds of one host and schedule each cancel until it is confirmed."""

import random

import attrs

from sesameport.requests.actions import CancelHold
from sesameport.requests.retries import Backoff

__all__ = ["HoldRegistry"]

_MAX_IN_FLIGHT_PER_SERVER = 2
"""A server that does not answer must not block all threads that send cancels."""


@attrs.define
class _Cancel:
    due_at: float
    retries: int = 0
    is_in_flight: bool = False


@attrs.define
class HoldRegistry:
    """Record the holds of this host's requests, by server and attempt.

    A hold is open while its request runs. A cancel is sent again, after growing delays
    with jitter, until the server confirms it or is removed. At most two cancels per
    server are in flight at a time.

    Parameters
    ----------
    rng : random.Random
        Source of the jitter.
    backoff : Backoff
        Delay between two sends of one cancel.
    """

    rng: random.Random
    backoff: Backoff = Backoff(0.1, 10.0)
    confirmed_count: int = 0
    retry_count: int = 0
    _open: dict[tuple[str, str], None] = attrs.field(factory=dict)
    _cancels: dict[tuple[str, str], _Cancel] = attrs.field(factory=dict)
    _in_flight: dict[str, int] = attrs.field(factory=dict)

    def open(self, server: str, attempt_id: str) -> None:
        """Record that an attempt may hold resources on a server."""
        self._open[server, attempt_id] = None

    def close(self, server: str, attempt_id: str) -> None:
        """Remove a hold that the server has released without a cancel."""
        self._open.pop((server, attempt_id), None)

    def cancel(self, server: str, attempt_id: str, now: float) -> None:
        """Remove a hold and schedule its cancel, which is due immediately."""
        self._open.pop((server, attempt_id), None)
        self._cancels.setdefault((server, attempt_id), _Cancel(now))

    def start_due_cancels(self, now: float) -> list[CancelHold]:
        """Return the cancels to send now and mark them as in flight."""
        due_cancels = []
        for (server, attempt_id), cancel in self._cancels.items():
            if cancel.is_in_flight or cancel.due_at > now:
                continue
            if self._in_flight.get(server, 0) >= _MAX_IN_FLIGHT_PER_SERVER:
                continue
            cancel.is_in_flight = True
            self._in_flight[server] = self._in_flight.get(server, 0) + 1
            due_cancels.append(CancelHold(server, attempt_id))
        return due_cancels

    def handle_result(
        self, server: str, attempt_id: str, confirmed: bool, now: float
    ) -> None:
        """Remove a confirmed cancel, or schedule its next attempt."""
        cancel = self._cancels.get((server, attempt_id))
        if cancel is None or not cancel.is_in_flight:
            return
        self._decrement_in_flight(server)
        if confirmed:
            self.confirmed_count += 1
            del self._cancels[server, attempt_id]
            return
        self.retry_count += 1
        cancel.is_in_flight = False
        cancel.due_at = now + self.backoff.delay(cancel.retries, self.rng)
        cancel.retries += 1

    def remove_server(self, server: str) -> None:
        """Remove the holds and cancels of a server that has left the fleet."""
        self._in_flight.pop(server, None)
        for holds in (self._open, self._cancels):
            for pair in [pair for pair in holds if pair[0] == server]:
                del holds[pair]

    def has_hold(self, server: str, attempt_id: str) -> bool:
        """Return whether a hold is open or its cancel is not confirmed yet."""
        pair = (server, attempt_id)
        return pair in self._open or pair in self._cancels

    def servers(self) -> set[str]:
        """Return the servers with open holds or unconfirmed cancels."""
        return {server for server, _ in (*self._open, *self._cancels)}

    def open_count(self) -> int:
        """Return the number of holds of running requests."""
        return len(self._open)

    def cancel_count(self) -> int:
        """Return the number of cancels that are not confirmed yet."""
        return len(self._cancels)

    def _decrement_in_flight(self, server: str) -> None:
        remaining = self._in_flight.get(server, 0) - 1
        if remaining > 0:
            self._in_flight[server] = remaining
        else:
            self._in_flight.pop(server, None)
