"""Compare with two plain ways to route: least loaded and round robin.

Both start the prefill at once, in order of arrival, and retry a busy decode server as
the router's driver does. Neither plans ahead or queues.
"""

import itertools
import random
from collections import deque

import attrs

from sesameport.routing import ExpiredRequest, Placement, RouterConfig
from sesameport.world import Refusal, RefusalType

__all__ = ["BaselineRouter", "least_loaded", "round_robin"]

_BUSY_RETRY_S = 0.03


@attrs.define
class BaselineRouter:
    """Offer the router's methods with a fixed rule ``pick(router, names, now)``."""

    cfg: RouterConfig
    rng: random.Random
    pick: object
    loads: dict[str, float] = attrs.field(factory=dict)
    own: dict[str, int] = attrs.field(factory=dict)
    turn: itertools.count = attrs.field(factory=itertools.count)
    _servers: dict = attrs.field(factory=dict)
    _failed: dict[str, float] = attrs.field(factory=dict)
    _busy: dict[str, float] = attrs.field(factory=dict)
    _queue: deque = attrs.field(factory=deque)
    _open: dict[int, str] = attrs.field(factory=dict)
    _last: dict[str, Placement] = attrs.field(factory=dict)
    _numbers: itertools.count = attrs.field(factory=lambda: itertools.count(1))
    _plain: int = 0

    def set_servers(self, servers, documents, now) -> None:
        """Replace the servers."""
        self._servers = {server.name: server for server in servers}

    def set_host_count(self, count) -> None:
        """Ignore the number of hosts."""

    def record_load_report(self, report, now) -> None:
        """Take in a report; own dispatches count from here."""
        self.loads[report.server] = report.running + report.prefill_queue_tokens / 500
        self.own[report.server] = 0

    def record_cache_events(self, events, now) -> None:
        """Ignore cache events."""

    def record_busy_answer(self, server, now) -> None:
        """Note a busy answer."""
        self._busy[server] = now

    def record_server_failure(self, server, now) -> None:
        """Avoid a failed server for a while."""
        self._failed[server] = now + 2.0

    def enqueue(self, req, now):
        """Take a request; it is placed at the next poll."""
        self._queue.append(req)

    def requeue(self, req, now) -> None:
        """Place a request again at the next poll."""
        self._queue.append(req)

    def remove(self, request_id) -> None:
        """Drop a request."""
        self._queue = deque(r for r in self._queue if r.request_id != request_id)

    def poll(self, now):
        """Place everything at once."""
        out = []
        waiting, self._queue = self._queue, deque()
        for req in waiting:
            if req.deadline <= now:
                out.append(
                    ExpiredRequest(req.request_id, Refusal(RefusalType.DEADLINE))
                )
                continue
            placement = self.place(req, now)
            if placement is None:
                self._queue.append(req)
                continue
            out.append(placement)
        return out

    def next_poll_at(self, now):
        """Return when to poll again."""
        return now + 0.05 if self._queue else None

    def place(self, req, now, exclude=frozenset()):
        """Choose both servers independently and start at once."""
        prefill = self._choose(req, "prefill", now)
        decode = self._choose(req, "decode", now)
        if prefill is None or decode is None:
            return None
        return self._placement(req, prefill, decode, now)

    def place_decode(self, req, now, exclude=frozenset()):
        """Choose another decode server for a live result."""
        last = self._last[req.request_id]
        decode = self._choose(req, "decode", now)
        if decode is None:
            return None
        start = now
        if self._busy.get(decode.name, -1.0) + _BUSY_RETRY_S > now:
            start = now + _BUSY_RETRY_S * self.rng.uniform(0.7, 1.3)
        self.record_decode_end(last, now)
        return self._placement(req, last.prefill, decode, start)

    def place_plain(self, req, now, exclude=frozenset()):
        """Choose a plain server."""
        server = self._choose(req, "plain", now)
        self._plain += server is not None
        return server

    def record_plain_end(self, server, now) -> None:
        """Release a plain call."""
        self._plain -= 1

    def record_prefill_end(self, placement, now) -> None:
        """Keep nothing about prefills."""

    def record_first_token(self, placement, now) -> None:
        """Keep nothing about links."""

    def record_decode_end(self, placement, now, output_tokens=None) -> None:
        """Release a placement."""
        self._open.pop(placement.reservation_id, None)
        last = self._last.get(placement.request_id)
        if last is not None and last.reservation_id == placement.reservation_id:
            del self._last[placement.request_id]

    def open_count(self, now) -> int:
        """Return the number of open placements."""
        return len(self._open) + self._plain

    def waiting_count(self) -> int:
        """Return the number of requests that were not placed."""
        return len(self._queue)

    def _choose(self, req, role, now):
        names = [
            server.name
            for server in self._servers.values()
            if server.service == req.service
            and server.role == role
            and self._failed.get(server.name, 0.0) <= now
        ]
        if not names:
            return None
        name = self.pick(self, names, now)
        self.own[name] = self.own.get(name, 0) + 1
        return self._servers[name]

    def _placement(self, req, prefill, decode, start):
        reservation_id = next(self._numbers)
        placement = Placement(req.request_id, prefill, decode, start, reservation_id)
        self._open[reservation_id] = req.request_id
        self._last[req.request_id] = placement
        return placement


def least_loaded(router: BaselineRouter, names, now) -> str:
    """Pick the server with the least reported load plus own dispatches since."""
    best = min(router.loads.get(n, 0) + router.own.get(n, 0) for n in names)
    return router.rng.choice(
        [n for n in names if router.loads.get(n, 0) + router.own.get(n, 0) <= best]
    )


def round_robin(router: BaselineRouter, names, now) -> str:
    """Pick the servers in turn."""
    return names[next(router.turn) % len(names)]
