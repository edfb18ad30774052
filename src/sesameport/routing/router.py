"""Decide when and where each waiting request runs, without I/O or clock reads."""

import itertools
import random
from collections import OrderedDict
from collections.abc import Iterator

import attrs

from sesameport.domain import (
    BackendServer,
    CompletionRequest,
    LatencyTargets,
    PlainRequest,
    Refusal,
    RefusalType,
    ServiceDocument,
    Urgency,
)
from sesameport.interfaces import CacheEvents, LoadReport
from sesameport.routing.cache_view import CacheView
from sesameport.routing.link_view import LinkView
from sesameport.routing.load_view import LoadView
from sesameport.routing.messages import ExpiredRequest, Placement, RouterConfig
from sesameport.routing.pairing import Deferral, PairSelector, ServerPair
from sesameport.routing.placement_queue import PlacementQueue
from sesameport.routing.plain_calls import PlainCallBalancer
from sesameport.routing.server_index import ServerIndex, select_server_subset

__all__ = ["ExpiredRequest", "Placement", "Router", "RouterConfig"]

_MIN_POLL_DELAY_S = 0.02
_MAX_POLL_DELAY_S = 0.1
_HEADS_PER_POLL = 16
_MAX_FAILURES_PER_POLL = 3
"""Deferred requests in one poll after which the rest of the queue is not tried."""

_MAX_REASONS = 2_000
_PATIENT_PRIORITY = 1
_MIN_SPEED_FRACTION = 0.8
_NO_TARGETS = LatencyTargets()


@attrs.define
class Router:
    """Queue requests and place them on backend servers.

    A placement reserves prefill and decode capacity until ``record_prefill_end`` and
    ``record_decode_end`` are called. Further calls of either have no effect.
    """

    cfg: RouterConfig
    rng: random.Random
    _servers: dict[str, BackendServer] = attrs.field(factory=dict)
    _documents: dict[str, ServiceDocument] = attrs.field(factory=dict)
    _queues: dict[str, PlacementQueue] = attrs.field(factory=dict)
    _queue_poll_at: dict[str, float] = attrs.field(factory=dict)
    _reservation_ids: Iterator[int] = attrs.field(factory=lambda: itertools.count(1))
    _placements: OrderedDict[str, Placement] = attrs.field(factory=OrderedDict)
    _reasons: OrderedDict[str, str] = attrs.field(factory=OrderedDict)
    _server_subset: list[BackendServer] = attrs.field(factory=list)
    _salt: int = attrs.field(init=False)
    _cache: CacheView = attrs.field(factory=CacheView)
    _links: LinkView = attrs.field(factory=LinkView)
    _loads: LoadView = attrs.field(init=False)
    _index: ServerIndex = attrs.field(init=False)
    _selector: PairSelector = attrs.field(init=False)
    _plain: PlainCallBalancer = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the views and the selectors that use them."""
        self._salt = self.rng.getrandbits(32)
        self._loads = LoadView(self.cfg.policy)
        self._index = ServerIndex(self.cfg.data_centre)
        self._selector = PairSelector(
            self.cfg, self._loads, self._cache, self._links, self._index, self.rng
        )
        self._selector.host_count = self.cfg.hosts
        self._plain = PlainCallBalancer(self.cfg, self._loads, self._index, self.rng)

    def set_servers(self, servers, documents, now: float) -> None:
        """Replace the servers and the service documents (a dict by name)."""
        previous_names = set(self._servers)
        windows = self._selector.windows
        slots_before = {name: self._loads.decode_slots(name) for name in windows}
        self._servers = {server.name: server for server in servers}
        self._documents = dict(documents)
        for name in previous_names - set(self._servers):
            self._cache.remove_server(name)
        self._loads.set_servers(self._servers.values(), self._documents)
        self._server_subset = select_server_subset(
            self._servers.values(),
            self.cfg.data_centre,
            self.cfg.subset_size_per_role,
            self._salt,
        )
        self._index.set_servers(self._server_subset)
        self._selector.rescale_windows(slots_before, self._selector.host_count)
        self._links.set_links(
            link for doc in self._documents.values() for link in doc.links
        )
        for name, doc in self._documents.items():
            weights = {space.name: space.weight for space in doc.workspaces}
            self._queue(name).set_weights(weights)

    def set_host_count(self, count: int) -> None:
        """Set the number of live hosts that place work on the same servers."""
        self._selector.rescale_windows({}, max(1, count))

    def server_subset(self) -> list[BackendServer]:
        """Return the servers that this host polls for load and cache events."""
        return list(self._server_subset)

    def record_load_report(self, report: LoadReport, now: float) -> None:
        """Apply a load report of a server."""
        self._loads.apply_report(report, now)

    def record_cache_events(self, events: CacheEvents, now: float) -> None:
        """Apply the cache events of a server."""
        self._cache.apply_events(events)

    def record_busy_answer(self, server: str, now: float) -> None:
        """Record that a decode server answered busy and ran nothing."""
        self._loads.record_busy(server, now)

    def record_server_failure(self, server: str, now: float) -> None:
        """Exclude a server that crashed or did not answer from new work for a while."""
        self._loads.mark_suspected(server, now)
        self._cache.remove_server(server)

    def enqueue(self, req: CompletionRequest, now: float) -> Refusal | None:
        """Queue a request; return None, or a Refusal if it was not queued."""
        refusal = self._queue(req.service).offer(req, self._latest_start(req), now)
        if refusal is not None:
            self._record_reason(req.request_id, f"refused: {refusal.detail}")
            return refusal
        self._queue_poll_at[req.service] = now
        return None

    def requeue(self, req: CompletionRequest, now: float) -> None:
        """Queue a request again at the front after its placement failed."""
        self._queue(req.service).requeue(req, self._latest_start(req), now)
        self._queue_poll_at[req.service] = now

    def remove(self, request_id: str) -> None:
        """Remove a waiting request."""
        for queue in self._queues.values():
            if queue.remove(request_id):
                return

    def poll(self, now: float) -> list[Placement | ExpiredRequest]:
        """Return due placements and expired requests, at bounded cost per service."""
        out: list[Placement | ExpiredRequest] = []
        for service, queue in self._queues.items():
            for entry in queue.process_timers(now):
                detail = "no slot became free before the deadline"
                self._record_reason(entry.req.request_id, f"expired: {detail}")
                wait_s = queue.expected_wait_s(entry.req.workspace, entry.req.urgency)
                delay_s = max(1.0, round(wait_s, 1))
                refusal = Refusal(
                    RefusalType.DEADLINE, detail=detail, retry_after_s=delay_s
                )
                out.append(ExpiredRequest(entry.req.request_id, refusal))
            if len(queue):
                self._queue_poll_at[service] = self._poll_queue(queue, now, out)
        return out

    def next_poll_at(self, now: float) -> float | None:
        """Return when to call ``poll`` next, or None if no request waits."""
        times = []
        for service, queue in self._queues.items():
            if not len(queue):
                continue
            times.append(max(now, self._queue_poll_at.get(service, now)))
            due = queue.next_timer_at()
            if due is not None:
                times.append(max(now, due))
        return min(times) if times else None

    def place(
        self, req: CompletionRequest, now: float, exclude: frozenset[str] = frozenset()
    ) -> Placement | None:
        """Return a new placement of a request, or None and record the reason."""
        choice = self._selector.choose(req, now, exclude, is_retry=True)
        if isinstance(choice, Deferral):
            self._record_reason(req.request_id, f"waits: {choice.reason}")
            return None
        return self._reserve(req, choice, now)

    def place_decode(
        self, req: CompletionRequest, now: float, exclude: frozenset[str] = frozenset()
    ) -> Placement | None:
        """Return a new decode server for a request whose prefill result is still kept.

        The previous reservation of the request is released. If its decode server is
        excluded, that server is treated as full. ``start_at`` includes a short delay
        after a busy answer. None means that no decode server is usable.
        """
        last = self._placements.get(req.request_id)
        source = last.prefill.data_centre if last else self.cfg.data_centre
        if last and last.decode.name in exclude:
            self._loads.record_busy(last.decode.name, now)
        window = self._selector.send_window(req.service)
        waited_s = window.waited_s(last.reservation_id, now) if last else 0.0
        choice = self._selector.choose_decode(req, source, now, exclude, waited_s)
        if choice is None:
            return None
        name, start_at = choice
        decode = self._servers[name]
        reservation_id = next(self._reservation_ids)
        if last is not None:
            window.replace_id(last.reservation_id, reservation_id)
            self.record_decode_end(last, now)
        else:
            window.add(reservation_id, req.expected_output_tokens)
        self._loads.reserve_decode(
            reservation_id, name, req.expected_output_tokens, start_at, now
        )
        self._links.begin_transfer(
            reservation_id, source, decode.data_centre, req.kv_bytes, now
        )
        self._record_decode_call(
            reservation_id, req.service, req.expected_output_tokens, start_at
        )
        prefill = last.prefill if last else decode
        reason = f"decode again on {name}, the prefill result is still kept"
        placement = Placement(
            req.request_id,
            prefill,
            decode,
            start_at,
            reservation_id,
            self._engine_priority(req),
            req.kv_bytes,
            req.expected_output_tokens,
            reason,
        )
        return self._record_placement(placement)

    def place_plain(
        self, req: PlainRequest, now: float, exclude: frozenset[str] = frozenset()
    ) -> BackendServer | None:
        """Return a server for a plain call until ``record_plain_end``, or None."""
        name = self._plain.place(req.service, exclude, now)
        return None if name is None else self._servers[name]

    def record_plain_end(self, server: str, now: float) -> None:
        """Release a plain call."""
        self._plain.release(server)

    def record_prefill_end(self, placement: Placement, now: float) -> None:
        """Release the prefill of a placement; its decode call is sent now."""
        self._loads.end_prefill(placement.reservation_id, now)
        last = self._placements.get(placement.request_id)
        if last is not None and last.reservation_id == placement.reservation_id:
            service = placement.decode.service
            self._record_decode_call(
                placement.reservation_id, service, placement.output_tokens, now
            )
            self._links.begin_transfer(
                placement.reservation_id,
                placement.prefill.data_centre,
                placement.decode.data_centre,
                placement.kv_bytes,
                now,
            )

    def record_first_token(self, placement: Placement, now: float) -> None:
        """Record that the KV cache is imported, and release its link share."""
        self._selector.send_window(placement.decode.service).record_acceptance(
            placement.reservation_id, now
        )
        self._links.end_transfer(placement.reservation_id)

    def record_decode_end(
        self, placement: Placement, now: float, output_tokens: int | None = None
    ) -> None:
        """Release a placement; ``output_tokens`` updates the token interval."""
        reservation_id = placement.reservation_id
        self._selector.send_window(placement.decode.service).release(
            reservation_id, now
        )
        self._loads.end_decode(reservation_id, now, output_tokens)
        self._loads.end_prefill(reservation_id, now)
        self._loads.remove_if_released(reservation_id)
        self._links.end_transfer(reservation_id)
        last = self._placements.get(placement.request_id)
        if last is not None and last.reservation_id == reservation_id:
            del self._placements[placement.request_id]

    def explain(self, request_id: str) -> str:
        """Return the reason of the last decision on a request, or an empty string."""
        return self._reasons.get(request_id, "")

    def waiting_count(self) -> int:
        """Return the number of waiting requests."""
        return sum(len(queue) for queue in self._queues.values())

    def open_count(self, now: float) -> int:
        """Return the number of reservations and plain calls in progress."""
        return (
            self._loads.open_count()
            + self._links.open_count(now)
            + self._plain.open_count()
        )

    def _poll_queue(self, queue: PlacementQueue, now: float, out: list) -> float:
        failures = 0
        poll_at = now + _MAX_POLL_DELAY_S
        for entry in queue.lane_heads(_HEADS_PER_POLL):
            choice = self._selector.choose(entry.req, now)
            if isinstance(choice, Deferral):
                failures += 1
                poll_at = min(poll_at, max(choice.retry_at, now + _MIN_POLL_DELAY_S))
                self._record_reason(entry.req.request_id, f"waits: {choice.reason}")
                if failures >= _MAX_FAILURES_PER_POLL:
                    break
                continue
            queue.dequeue(entry, now)
            out.append(self._reserve(entry.req, choice, now))
        return poll_at

    def _record_decode_call(
        self, reservation_id: int, service: str, tokens: int, at: float
    ) -> None:
        self._loads.start_decode(reservation_id, at)
        duration = self._loads.decode_s(service, tokens)
        self._selector.send_window(service).record_decode_call(
            reservation_id, at, duration
        )

    def _reserve(
        self, req: CompletionRequest, pair: ServerPair, now: float
    ) -> Placement:
        reservation_id = next(self._reservation_ids)
        self._loads.reserve_prefill(reservation_id, pair.prefill, pair.work_tokens, now)
        self._loads.reserve_decode(
            reservation_id,
            pair.decode,
            req.expected_output_tokens,
            pair.first_token_at,
            now,
        )
        window = self._selector.send_window(req.service)
        window.add(reservation_id, req.expected_output_tokens)
        self._cache.confirm(pair.prefill, req.prefix_digests)
        placement = Placement(
            req.request_id,
            self._servers[pair.prefill],
            self._servers[pair.decode],
            pair.start_at,
            reservation_id,
            self._engine_priority(req),
            req.kv_bytes,
            req.expected_output_tokens,
            pair.reason,
        )
        return self._record_placement(placement)

    def _record_placement(self, placement: Placement) -> Placement:
        self._placements[placement.request_id] = placement
        self._record_reason(placement.request_id, placement.reason)
        return placement

    def _queue(self, service: str) -> PlacementQueue:
        queue = self._queues.get(service)
        if queue is None:
            queue = PlacementQueue(
                self.cfg.max_waiting, self.cfg.max_waiting_per_workspace
            )
            self._queues[service] = queue
        return queue

    def _latest_start(self, req: CompletionRequest) -> float:
        """Return the latest start at which the request still meets its target."""
        doc = self._documents.get(req.service)
        targets = doc.targets if doc else _NO_TARGETS
        speed = 8_000.0
        for server_class in doc.server_classes if doc else ():
            if server_class.role != "decode":
                speed = server_class.prefill_tokens_per_s
        prefill_s = req.prompt_tokens / (speed * _MIN_SPEED_FRACTION)
        if req.urgency == Urgency.URGENT:
            return req.arrived_at + targets.first_token_s - prefill_s
        decode_s = req.expected_output_tokens * targets.between_tokens_s
        first_token_at = min(
            req.arrived_at + self.cfg.patient_first_token_s, req.deadline - decode_s
        )
        return first_token_at - prefill_s

    def _engine_priority(self, req: CompletionRequest) -> int:
        return 0 if req.urgency == Urgency.URGENT else _PATIENT_PRIORITY

    def _record_reason(self, request_id: str, reason: str) -> None:
        self._reasons[request_id] = reason
        self._reasons.move_to_end(request_id)
        if len(self._reasons) > _MAX_REASONS:
            self._reasons.popitem(last=False)
