"""Decide when and where each waiting request runs.

The router is pure: every method takes the monotonic time and returns messages.
"""

import random

import attrs

from sesameport.interfaces import CacheEvents, LoadReport
from sesameport.world import (
    BackendServer,
    CompletionRequest,
    Refusal,
    RefusalType,
    ServerState,
    ServiceDocument,
)

__all__ = ["Expired", "Placement", "Router", "RouterConfig"]


@attrs.frozen
class RouterConfig:
    """Bound the router. ``data_centre`` is that of the host that decides."""

    data_centre: str
    max_waiting: int = 400


@attrs.frozen
class Placement:
    """Say where a request runs and when its prefill starts (monotonic seconds)."""

    request_id: str
    prefill: BackendServer
    decode: BackendServer
    start_at: float


@attrs.frozen
class Expired:
    """Say that a waiting request is refused before it ran."""

    request_id: str
    refusal: Refusal


@attrs.define
class Router:
    """Hold the waiting requests and the knowledge of backend servers."""

    cfg: RouterConfig
    rng: random.Random
    _servers: dict[str, BackendServer] = attrs.field(factory=dict)
    _documents: dict[str, ServiceDocument] = attrs.field(factory=dict)
    _waiting: list[CompletionRequest] = attrs.field(factory=list)
    _decoding: dict[str, int] = attrs.field(factory=dict)
    _prefilling: dict[str, int] = attrs.field(factory=dict)

    def set_servers(self, servers, documents, now: float) -> None:
        """Replace the known servers and service documents (by name)."""
        self._servers = {server.name: server for server in servers}
        self._documents = dict(documents)

    def report_load(self, report: LoadReport, now: float) -> None:
        """Take in a lagging load report."""

    def report_cache(self, events: CacheEvents, now: float) -> None:
        """Take in cache events of one server."""

    def enqueue(self, req: CompletionRequest, now: float) -> Refusal | None:
        """Queue a request, or return a refusal when the queue is full."""
        if len(self._waiting) >= self.cfg.max_waiting:
            return Refusal(RefusalType.QUEUE_FULL, retry_after_s=1.0)
        self._waiting.append(req)
        return None

    def remove(self, request_id: str) -> None:
        """Drop a waiting request."""
        self._waiting = [r for r in self._waiting if r.request_id != request_id]

    def poll(self, now: float) -> list[Placement | Expired]:
        """Return the requests that start now and those that expired."""
        out: list[Placement | Expired] = []
        kept = []
        for req in self._waiting:
            if req.deadline <= now:
                out.append(Expired(req.request_id, Refusal(RefusalType.DEADLINE)))
                continue
            placement = self.place(req, now)
            if placement is None:
                kept.append(req)
                continue
            out.append(placement)
        self._waiting = kept
        return out

    def place(
        self, req: CompletionRequest, now: float, exclude: frozenset[str] = frozenset()
    ) -> Placement | None:
        """Choose servers for a request and count it there; None if none is free."""
        prefills, decodes = [], []
        for server in self._servers.values():
            if server.service != req.service or server.name in exclude:
                continue
            if server.state != ServerState.LIVE:
                continue
            if server.can_prefill() and self._prefilling.get(server.name, 0) < 4:
                prefills.append(server)
            used = self._decoding.get(server.name, 0)
            if server.can_decode() and used < self._slots(server):
                decodes.append(server)
        if not prefills or not decodes:
            return None
        prefill = min(prefills, key=lambda s: self._prefilling.get(s.name, 0))
        decode = min(decodes, key=lambda s: self._decoding.get(s.name, 0))
        self._count(self._prefilling, prefill.name, 1)
        self._count(self._decoding, decode.name, 1)
        return Placement(req.request_id, prefill, decode, now)

    def prefill_ended(self, placement: Placement, now: float) -> None:
        """Release the prefill share of a placement."""
        self._count(self._prefilling, placement.prefill.name, -1)

    def decode_ended(self, placement: Placement, now: float) -> None:
        """Release the decode slot of a placement."""
        self._count(self._decoding, placement.decode.name, -1)

    def _slots(self, server: BackendServer) -> int:
        doc = self._documents.get(server.service)
        for item in doc.server_classes if doc else ():
            if item.name == server.server_class:
                return item.slots
        return 20

    @staticmethod
    def _count(counts: dict[str, int], name: str, change: int) -> None:
        counts[name] = counts.get(name, 0) + change
