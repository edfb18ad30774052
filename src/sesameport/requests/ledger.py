"""Keep the ledger of holds and send each cancel until it is confirmed."""

import random

import attrs

from sesameport.requests.actions import CancelHold
from sesameport.requests.retries import Backoff

__all__ = ["Ledger"]

_PER_SERVER_IN_FLIGHT = 2


@attrs.define
class _Cancel:
    due: float
    tries: int = 0
    in_flight: bool = False


@attrs.define
class Ledger:
    """Hold what the requests of this host may hold, by server and attempt.

    A hold is open while its request runs. A cancel is sent again with growing,
    jittered delay until the server confirms it or is gone. At most two cancels per
    server are in flight, so that a silent server does not occupy every worker.

    Parameters
    ----------
    rng : random.Random
        Source of the jitter.
    backoff : Backoff
        Delay between the tries of one cancel.
    """

    rng: random.Random
    backoff: Backoff = Backoff(0.1, 10.0)
    confirmed: int = 0
    retried: int = 0
    _open: dict[tuple[str, str], None] = attrs.field(factory=dict)
    _cancels: dict[tuple[str, str], _Cancel] = attrs.field(factory=dict)
    _in_flight: dict[str, int] = attrs.field(factory=dict)

    def open(self, server: str, attempt_id: str) -> None:
        """Record that an attempt may hold something on a server."""
        self._open[server, attempt_id] = None

    def close(self, server: str, attempt_id: str) -> None:
        """Record that the server released the hold by itself."""
        self._open.pop((server, attempt_id), None)

    def cancel(self, server: str, attempt_id: str, now: float) -> None:
        """Turn a hold into a cancel that is due at once."""
        self._open.pop((server, attempt_id), None)
        self._cancels.setdefault((server, attempt_id), _Cancel(now))

    def due(self, now: float) -> list[CancelHold]:
        """Return the cancels to send now; each is in flight until it is answered."""
        out = []
        for (server, attempt_id), item in self._cancels.items():
            if item.in_flight or item.due > now:
                continue
            if self._in_flight.get(server, 0) >= _PER_SERVER_IN_FLIGHT:
                continue
            item.in_flight = True
            self._in_flight[server] = self._in_flight.get(server, 0) + 1
            out.append(CancelHold(server, attempt_id))
        return out

    def answered(
        self, server: str, attempt_id: str, confirmed: bool, now: float
    ) -> None:
        """Take the outcome of one sent cancel."""
        item = self._cancels.get((server, attempt_id))
        if item is None or not item.in_flight:
            return
        self._landed(server)
        if confirmed:
            self.confirmed += 1
            del self._cancels[server, attempt_id]
            return
        self.retried += 1
        item.in_flight = False
        item.due = now + self.backoff.delay(item.tries, self.rng)
        item.tries += 1

    def server_gone(self, server: str) -> None:
        """Forget the holds on a server that is gone for sure."""
        self._in_flight.pop(server, None)
        for store in (self._open, self._cancels):
            for pair in [pair for pair in store if pair[0] == server]:
                del store[pair]

    def knows(self, server: str, attempt_id: str) -> bool:
        """Tell whether a hold is open or being cancelled."""
        pair = (server, attempt_id)
        return pair in self._open or pair in self._cancels

    def servers(self) -> set[str]:
        """Return the servers that have holds in the ledger."""
        return {server for server, _ in (*self._open, *self._cancels)}

    def open_count(self) -> int:
        """Return the number of holds of running requests."""
        return len(self._open)

    def cancel_count(self) -> int:
        """Return the number of cancels that are not confirmed yet."""
        return len(self._cancels)

    def _landed(self, server: str) -> None:
        left = self._in_flight.get(server, 0) - 1
        if left > 0:
            self._in_flight[server] = left
        else:
            self._in_flight.pop(server, None)
