"""Decide when and where each waiting request runs.

The router is pure: every method takes the monotonic time and returns messages.
"""

import itertools
import random
from collections import OrderedDict
from collections.abc import Iterator

import attrs

from sesameport.interfaces import CacheEvents, LoadReport
from sesameport.routing.cache_view import CacheView
from sesameport.routing.link_view import LinkShares
from sesameport.routing.load_view import LoadView
from sesameport.routing.messages import Expired, Placement, RouterConfig
from sesameport.routing.pairing import NotYet, Pair, Pairing
from sesameport.routing.placement_queue import WaitingOrder
from sesameport.routing.plain_calls import PlainCalls
from sesameport.routing.server_index import ServerIndex, watched_servers
from sesameport.world import (
    BackendServer,
    CompletionRequest,
    LatencyTargets,
    PlainRequest,
    Refusal,
    RefusalType,
    ServiceDocument,
    Urgency,
)

__all__ = ["Expired", "Placement", "Router", "RouterConfig"]

_EARLIEST_POLL_S = 0.02
_LATEST_POLL_S = 0.1
_HEADS_PER_POLL = 16
# Failed placements in one poll after which the rest of the queue is not tried.
_FAILURES_PER_POLL = 3
_REASONS_KEPT = 2_000
_PATIENT_PRIORITY = 1
_SLOWEST_SPEED_SHARE = 0.8
_NO_TARGETS = LatencyTargets()


@attrs.define
class Router:
    """Hold the waiting requests and the knowledge of backend servers.

    The router counts every placement until ``prefill_ended`` and ``decode_ended`` were
    called for it. Both may be called more than once.
    """

    cfg: RouterConfig
    rng: random.Random
    _servers: dict[str, BackendServer] = attrs.field(factory=dict)
    _documents: dict[str, ServiceDocument] = attrs.field(factory=dict)
    _orders: dict[str, WaitingOrder] = attrs.field(factory=dict)
    _retry_at: dict[str, float] = attrs.field(factory=dict)
    _tickets: Iterator[int] = attrs.field(factory=lambda: itertools.count(1))
    _last: OrderedDict[str, Placement] = attrs.field(factory=OrderedDict)
    _reasons: OrderedDict[str, str] = attrs.field(factory=OrderedDict)
    _watched: list[BackendServer] = attrs.field(factory=list)
    _salt: int = attrs.field(init=False)
    _cache: CacheView = attrs.field(factory=CacheView)
    _links: LinkShares = attrs.field(factory=LinkShares)
    _loads: LoadView = attrs.field(init=False)
    _index: ServerIndex = attrs.field(init=False)
    _pairing: Pairing = attrs.field(init=False)
    _plain: PlainCalls = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Build the views."""
        self._salt = self.rng.getrandbits(32)
        self._loads = LoadView(self.cfg.policy)
        self._index = ServerIndex(self.cfg.data_centre)
        self._pairing = Pairing(
            self.cfg, self._loads, self._cache, self._links, self._index, self.rng
        )
        self._pairing.hosts = self.cfg.hosts
        self._plain = PlainCalls(self.cfg, self._loads, self._index, self.rng)

    def set_servers(self, servers, documents, now: float) -> None:
        """Replace the known servers and service documents (by name)."""
        gone = set(self._servers)
        services = self._pairing.windows
        before = {name: self._loads.slots_of(name) for name in services}
        self._servers = {server.name: server for server in servers}
        self._documents = dict(documents)
        for name in gone - set(self._servers):
            self._cache.forget(name)
        self._loads.set_servers(self._servers.values(), self._documents)
        self._watched = watched_servers(
            self._servers.values(),
            self.cfg.data_centre,
            self.cfg.watched_per_role,
            self._salt,
        )
        self._index.set_servers(self._watched)
        self._pairing.rescale(before, self._pairing.hosts)
        self._links.set_links(
            link for doc in self._documents.values() for link in doc.links
        )
        for name, doc in self._documents.items():
            weights = {item.name: item.weight for item in doc.workspaces}
            self._order(name).set_weights(weights)

    def set_hosts(self, count: int) -> None:
        """Set the number of live hosts that place work on the same servers."""
        self._pairing.rescale({}, max(1, count))

    def watched(self) -> list[BackendServer]:
        """Return the servers whose load and cache events this host is to read.

        Their number is bounded, so that a host's traffic does not grow with the fleet.
        """
        return list(self._watched)

    def report_load(self, report: LoadReport, now: float) -> None:
        """Take in a lagging load report."""
        self._loads.report(report, now)

    def report_cache(self, events: CacheEvents, now: float) -> None:
        """Take in cache events of one server."""
        self._cache.take(events)

    def report_busy(self, server: str, now: float) -> None:
        """Note that a decode server answered busy; nothing ran there."""
        self._loads.busy(server, now)

    def report_failure(self, server: str, now: float) -> None:
        """Send no new work to a server for a while; it crashed or did not answer."""
        self._loads.suspect(server, now)
        self._cache.forget(server)

    def enqueue(self, req: CompletionRequest, now: float) -> Refusal | None:
        """Queue a request, or return a true refusal: it has not run."""
        refusal = self._order(req.service).offer(req, self._target(req), now)
        if refusal is not None:
            self._note(req.request_id, f"refused: {refusal.detail}")
            return refusal
        self._retry_at[req.service] = now
        return None

    def requeue(self, req: CompletionRequest, now: float) -> None:
        """Queue a request at the front again, after its placement came to nothing."""
        self._order(req.service).put_back(req, self._target(req), now)
        self._retry_at[req.service] = now

    def remove(self, request_id: str) -> None:
        """Drop a waiting request."""
        for order in self._orders.values():
            if order.remove(request_id):
                return

    def poll(self, now: float) -> list[Placement | Expired]:
        """Return the requests that start now and those that expired.

        The cost is bounded: a constant number of requests is tried per service.
        """
        out: list[Placement | Expired] = []
        for service, order in self._orders.items():
            for entry in order.due(now):
                detail = "no slot became free before the deadline"
                self._note(entry.req.request_id, f"expired: {detail}")
                wait = order.expected_wait_s(entry.req.workspace, entry.req.urgency)
                retry = max(1.0, round(wait, 1))
                refusal = Refusal(
                    RefusalType.DEADLINE, detail=detail, retry_after_s=retry
                )
                out.append(Expired(entry.req.request_id, refusal))
            if len(order):
                self._retry_at[service] = self._poll_order(order, now, out)
        return out

    def next_poll_at(self, now: float) -> float | None:
        """Return when ``poll`` has something to do; None when nothing waits."""
        times = []
        for service, order in self._orders.items():
            if not len(order):
                continue
            times.append(max(now, self._retry_at.get(service, now)))
            due = order.next_due()
            if due is not None:
                times.append(max(now, due))
        return min(times) if times else None

    def place(
        self, req: CompletionRequest, now: float, exclude: frozenset[str] = frozenset()
    ) -> Placement | None:
        """Choose servers for a request that is placed again, and count it there.

        None means that no slot is expected now; ``explain`` has the reason.
        """
        choice = self._pairing.choose(req, now, exclude, again=True)
        if isinstance(choice, NotYet):
            self._note(req.request_id, f"waits: {choice.reason}")
            return None
        return self._reserve(req, choice, now)

    def place_decode(
        self, req: CompletionRequest, now: float, exclude: frozenset[str] = frozenset()
    ) -> Placement | None:
        """Choose a decode server for a KV handle that is still alive.

        The earlier reservation of the request is released; if its server is excluded,
        it counts as full now. ``start_at`` is when to try
        the server: after a busy answer there is a short pause. None means that no
        decode server is usable.
        """
        last = self._last.get(req.request_id)
        source = last.prefill.data_centre if last else self.cfg.data_centre
        if last and last.decode.name in exclude:
            self._loads.busy(last.decode.name, now)
        window = self._pairing.window(req.service)
        waited = window.waited_s(last.ticket, now) if last else 0.0
        choice = self._pairing.choose_decode(req, source, now, exclude, waited)
        if choice is None:
            return None
        name, start_at = choice
        decode = self._servers[name]
        ticket = next(self._tickets)
        if last is not None:
            window.move(last.ticket, ticket)
            self.decode_ended(last, now)
        else:
            window.place(ticket, req.expected_output_tokens)
        self._loads.place_decode(
            ticket, name, req.expected_output_tokens, start_at, now
        )
        self._links.begin(ticket, source, decode.data_centre, req.kv_bytes, now)
        self._try_decode(ticket, req.service, req.expected_output_tokens, start_at)
        prefill = last.prefill if last else decode
        reason = f"decode again on {name}, the prefill result is still kept"
        placement = Placement(
            req.request_id,
            prefill,
            decode,
            start_at,
            ticket,
            self._priority(req),
            req.kv_bytes,
            req.expected_output_tokens,
            reason,
        )
        return self._remember(placement)

    def place_plain(
        self, req: PlainRequest, now: float, exclude: frozenset[str] = frozenset()
    ) -> BackendServer | None:
        """Choose a server of a plain service and count the call there.

        ``plain_ended`` releases it.
        """
        name = self._plain.place(req.service, exclude, now)
        return None if name is None else self._servers[name]

    def plain_ended(self, server: str, now: float) -> None:
        """Release a plain call."""
        self._plain.ended(server)

    def prefill_ended(self, placement: Placement, now: float) -> None:
        """Release the prefill share of a placement; its decode is called now."""
        self._loads.end_prefill(placement.ticket, now)
        last = self._last.get(placement.request_id)
        if last is not None and last.ticket == placement.ticket:
            service = placement.decode.service
            self._try_decode(placement.ticket, service, placement.output_tokens, now)
            self._links.begin(
                placement.ticket,
                placement.prefill.data_centre,
                placement.decode.data_centre,
                placement.kv_bytes,
                now,
            )

    def first_token(self, placement: Placement, now: float) -> None:
        """Release the link share: the decode server took the request."""
        self._pairing.window(placement.decode.service).accepted(placement.ticket, now)
        self._links.end(placement.ticket)

    def decode_ended(
        self, placement: Placement, now: float, output_tokens: int | None = None
    ) -> None:
        """Release the decode slot of a placement.

        ``output_tokens``, where known, updates the measured token interval.
        """
        ticket = placement.ticket
        self._pairing.window(placement.decode.service).end(ticket, now)
        self._loads.end_decode(ticket, now, output_tokens)
        self._loads.end_prefill(ticket, now)
        self._loads.forget(ticket)
        self._links.end(ticket)
        last = self._last.get(placement.request_id)
        if last is not None and last.ticket == ticket:
            del self._last[placement.request_id]

    def explain(self, request_id: str) -> str:
        """Return the reason of the last decision on a request, or an empty text."""
        return self._reasons.get(request_id, "")

    def waiting_count(self) -> int:
        """Return the number of waiting requests."""
        return sum(len(order) for order in self._orders.values())

    def open_count(self, now: float) -> int:
        """Return the number of reservations that were not released."""
        return (
            self._loads.open_count()
            + self._links.open_count(now)
            + self._plain.open_count()
        )

    def _poll_order(self, order: WaitingOrder, now: float, out: list) -> float:
        failures = 0
        again = now + _LATEST_POLL_S
        for entry in order.heads(_HEADS_PER_POLL):
            choice = self._pairing.choose(entry.req, now)
            if isinstance(choice, NotYet):
                failures += 1
                again = min(again, max(choice.at, now + _EARLIEST_POLL_S))
                self._note(entry.req.request_id, f"waits: {choice.reason}")
                if failures >= _FAILURES_PER_POLL:
                    break
                continue
            order.take(entry, now)
            out.append(self._reserve(entry.req, choice, now))
        return again

    def _try_decode(self, ticket: int, service: str, tokens: int, at: float) -> None:
        self._loads.start_decode(ticket, at)
        duration = self._loads.decode_s(service, tokens)
        self._pairing.window(service).try_decode(ticket, at, duration)

    def _reserve(self, req: CompletionRequest, pair: Pair, now: float) -> Placement:
        ticket = next(self._tickets)
        self._loads.place_prefill(ticket, pair.prefill, pair.work_tokens, now)
        self._loads.place_decode(
            ticket, pair.decode, req.expected_output_tokens, pair.first_token, now
        )
        window = self._pairing.window(req.service)
        window.place(ticket, req.expected_output_tokens)
        self._cache.confirm(pair.prefill, req.prefix_digests)
        placement = Placement(
            req.request_id,
            self._servers[pair.prefill],
            self._servers[pair.decode],
            pair.start_at,
            ticket,
            self._priority(req),
            req.kv_bytes,
            req.expected_output_tokens,
            pair.reason,
        )
        return self._remember(placement)

    def _remember(self, placement: Placement) -> Placement:
        self._last[placement.request_id] = placement
        self._note(placement.request_id, placement.reason)
        return placement

    def _order(self, service: str) -> WaitingOrder:
        order = self._orders.get(service)
        if order is None:
            order = WaitingOrder(
                self.cfg.max_waiting, self.cfg.max_waiting_per_workspace
            )
            self._orders[service] = order
        return order

    def _target(self, req: CompletionRequest) -> float:
        """Return the latest start that meets the request's target."""
        doc = self._documents.get(req.service)
        targets = doc.targets if doc else _NO_TARGETS
        speed = 8_000.0
        for item in doc.server_classes if doc else ():
            if item.role != "decode":
                speed = item.prefill_tokens_per_s
        prefill = req.prompt_tokens / (speed * _SLOWEST_SPEED_SHARE)
        if req.urgency == Urgency.URGENT:
            return req.arrived + targets.first_token_s - prefill
        decode = req.expected_output_tokens * targets.between_tokens_s
        latest = min(
            req.arrived + self.cfg.patient_first_token_s, req.deadline - decode
        )
        return latest - prefill

    def _priority(self, req: CompletionRequest) -> int:
        return 0 if req.urgency == Urgency.URGENT else _PATIENT_PRIORITY

    def _note(self, request_id: str, reason: str) -> None:
        self._reasons[request_id] = reason
        self._reasons.move_to_end(request_id)
        if len(self._reasons) > _REASONS_KEPT:
            self._reasons.popitem(last=False)
