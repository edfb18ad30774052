"""Baseline routers: least loaded and round robin.

Both start each prefill immediately, in order of arrival. They neither plan start times
nor hold requests back. After a busy answer they choose a decode server again.
"""

import itertools
import random
from collections import deque

import attrs

from sesameport.domain import Refusal, RefusalType
from sesameport.routing import ExpiredRequest, Placement, RouterConfig

__all__ = ["BaselineRouter", "least_loaded", "round_robin"]

_BUSY_RETRY_DELAY_S = 0.03
"""Mean delay before a decode server that answered busy is tried again."""


@attrs.define
class BaselineRouter:
    """Implement the interface of ``Router`` with a fixed selection rule.

    ``select_server(router, names, now)`` returns one of the server names.
    """

    cfg: RouterConfig
    rng: random.Random
    select_server: object
    reported_loads: dict[str, float] = attrs.field(factory=dict)
    own_dispatches: dict[str, int] = attrs.field(factory=dict)
    turn_counter: itertools.count = attrs.field(factory=itertools.count)
    _servers: dict = attrs.field(factory=dict)
    _failed_until: dict[str, float] = attrs.field(factory=dict)
    _busy_at: dict[str, float] = attrs.field(factory=dict)
    _queue: deque = attrs.field(factory=deque)
    _open_placements: dict[int, str] = attrs.field(factory=dict)
    _last_placements: dict[str, Placement] = attrs.field(factory=dict)
    _reservation_ids: itertools.count = attrs.field(factory=lambda: itertools.count(1))
    _open_plain_calls: int = 0

    def set_servers(self, servers, documents, now) -> None:
        """Replace the list of servers; the service documents are not used."""
        self._servers = {server.name: server for server in servers}

    def set_host_count(self, count) -> None:
        """Ignore the number of hosts, which the baselines do not use."""

    def record_load_report(self, report, now) -> None:
        """Record a load report and reset the count of own dispatches."""
        self.reported_loads[report.server] = (
            report.running + report.prefill_queue_tokens / 500
        )
        self.own_dispatches[report.server] = 0

    def record_cache_events(self, events, now) -> None:
        """Ignore cache events, as the baselines do not use prefix caches."""

    def record_busy_answer(self, server, now) -> None:
        """Record the time of a busy answer."""
        self._busy_at[server] = now

    def record_server_failure(self, server, now) -> None:
        """Exclude a failed server for 2 seconds."""
        self._failed_until[server] = now + 2.0

    def enqueue(self, req, now):
        """Queue a request for the next poll."""
        self._queue.append(req)

    def requeue(self, req, now) -> None:
        """Queue a request again for the next poll."""
        self._queue.append(req)

    def remove(self, request_id) -> None:
        """Remove a request from the queue."""
        self._queue = deque(r for r in self._queue if r.request_id != request_id)

    def poll(self, now):
        """Return a placement or an expiry for each queued request.

        Requests for which no server is available stay in the queue.
        """
        decisions = []
        waiting, self._queue = self._queue, deque()
        for req in waiting:
            if req.deadline <= now:
                decisions.append(
                    ExpiredRequest(req.request_id, Refusal(RefusalType.DEADLINE))
                )
                continue
            placement = self.place(req, now)
            if placement is None:
                self._queue.append(req)
                continue
            decisions.append(placement)
        return decisions

    def next_poll_at(self, now):
        """Return the time of the next poll, or None if the queue is empty."""
        return now + 0.05 if self._queue else None

    def place(self, req, now, exclude=frozenset()):
        """Return a placement that starts now, or None if a role has no server.

        The prefill and decode servers are chosen independently.
        """
        prefill = self._choose(req, "prefill", now)
        decode = self._choose(req, "decode", now)
        if prefill is None or decode is None:
            return None
        return self._placement(req, prefill, decode, now)

    def place_decode(self, req, now, exclude=frozenset()):
        """Return a placement that decodes an existing prefill result, or None.

        It starts after a random delay if the chosen server answered busy recently.
        """
        previous = self._last_placements[req.request_id]
        decode = self._choose(req, "decode", now)
        if decode is None:
            return None
        start = now
        if self._busy_at.get(decode.name, -1.0) + _BUSY_RETRY_DELAY_S > now:
            start = now + _BUSY_RETRY_DELAY_S * self.rng.uniform(0.7, 1.3)
        self.record_decode_end(previous, now)
        return self._placement(req, previous.prefill, decode, start)

    def place_plain(self, req, now, exclude=frozenset()):
        """Return a server for a plain call, or None if there is none."""
        server = self._choose(req, "plain", now)
        self._open_plain_calls += server is not None
        return server

    def record_plain_end(self, server, now) -> None:
        """Record the end of a plain call."""
        self._open_plain_calls -= 1

    def record_prefill_end(self, placement, now) -> None:
        """Ignore the end of a prefill, as the baselines do not track prefills."""

    def record_first_token(self, placement, now) -> None:
        """Ignore the first token, as the baselines do not track transfers."""

    def record_decode_end(self, placement, now, output_tokens=None) -> None:
        """Remove a placement from the open ones."""
        self._open_placements.pop(placement.reservation_id, None)
        previous = self._last_placements.get(placement.request_id)
        if previous is not None and previous.reservation_id == placement.reservation_id:
            del self._last_placements[placement.request_id]

    def open_count(self, now) -> int:
        """Return the number of open placements and plain calls."""
        return len(self._open_placements) + self._open_plain_calls

    def waiting_count(self) -> int:
        """Return the number of queued requests."""
        return len(self._queue)

    def _choose(self, req, role, now):
        names = [
            server.name
            for server in self._servers.values()
            if server.service == req.service
            and server.role == role
            and self._failed_until.get(server.name, 0.0) <= now
        ]
        if not names:
            return None
        name = self.select_server(self, names, now)
        self.own_dispatches[name] = self.own_dispatches.get(name, 0) + 1
        return self._servers[name]

    def _placement(self, req, prefill, decode, start):
        reservation_id = next(self._reservation_ids)
        placement = Placement(req.request_id, prefill, decode, start, reservation_id)
        self._open_placements[reservation_id] = req.request_id
        self._last_placements[req.request_id] = placement
        return placement


def least_loaded(router: BaselineRouter, names, now) -> str:
    """Return the server with the least load; ties are broken at random.

    The load is the reported load plus own dispatches since the report.
    """
    best = min(
        router.reported_loads.get(n, 0) + router.own_dispatches.get(n, 0) for n in names
    )
    return router.rng.choice(
        [
            n
            for n in names
            if router.reported_loads.get(n, 0) + router.own_dispatches.get(n, 0) <= best
        ]
    )


def round_robin(router: BaselineRouter, names, now) -> str:
    """Return the servers in cyclic order."""
    return names[next(router.turn_counter) % len(names)]
