"""Drive one router through the requests of one bench host."""

import random

import attrs

from sesameport.bench.traffic import Arrival
from sesameport.routing import ExpiredRequest, Placement
from sesameport.world import PlainRequest

__all__ = ["Attempt", "BenchHost", "Record", "Tally"]

_TRANSFER_BOUND_S = 1.0
_PLACE_AGAIN_S = 0.05


@attrs.define(eq=False)
class Record:
    """Hold what happened to one admitted request."""

    arrival: Arrival
    in_window: bool
    refused: str = ""
    first_token: float | None = None
    ended: float | None = None
    interval_s: float = 0.0
    answers: int = 0
    lost_with_host: bool = False


@attrs.define
class Tally:
    """Count the events of a run."""

    offered: int = 0
    records: list[Record] = attrs.field(factory=list)
    useful_tokens: float = 0.0
    computed_before_crash: float = 0.0
    busy_answers: int = 0
    expired_results: int = 0
    plain_delays: list[float] = attrs.field(factory=list)
    plain_unknown: int = 0
    decisions: int = 0

    def admit(self, arrival: Arrival, in_window: bool) -> Record:
        """Start the record of an admitted request."""
        record = Record(arrival, in_window)
        self.records.append(record)
        return record


@attrs.define(eq=False)
class Attempt:
    """Hold one attempt of a request on one pair of servers."""

    host: "BenchHost"
    record: Record
    placement: Placement
    work_tokens: float = 0.0
    result_until: float = 0.0
    generating_since: float | None = None
    over: bool = False


class BenchHost:
    """Hold one host: its router and the requests that it follows."""

    def __init__(self, sim, data_centre: str, make_router, number: int):
        self.sim = sim
        self.clock = sim.clock
        self.data_centre = data_centre
        self.rng = random.Random(sim.plan.seed * 1_000 + number)
        self.router = make_router(data_centre, sim.host_count)
        self.router.rng.seed(sim.plan.seed * 1_000 + 500 + number)
        self.router.set_servers(sim.servers, sim.documents, 0.0)
        self.attempts: dict[str, Attempt] = {}
        self.records: dict[str, Record] = {}
        self.plain_open: dict[str, str] = {}
        self.stopped = False
        self._poll_at: float | None = None
        self._sequences: dict[str, int] = {}
        self._until = 0.0

    def begin(self, until: float) -> None:
        """Start to read load reports and cache events of every server."""
        self._until = until
        period = self.sim.deployment.speed.report_period_s
        for server in self.sim.servers:
            if server.role != "plain":
                delay = self.rng.uniform(0, period)
                self.clock.after(delay, self._read_load, server.name)

    def stop(self) -> None:
        """End at once, with all requests, as a lost host does."""
        self.stopped = True
        for record in self.records.values():
            record.lost_with_host = True
        for attempt in self.attempts.values():
            self._release(attempt)

    def accept(self, arrival: Arrival, record: Record) -> None:
        """Queue a request."""
        if self.stopped:
            record.lost_with_host = True
            return
        self.records[arrival.req.request_id] = record
        refusal = self.router.enqueue(arrival.req, self.clock.now)
        if refusal is not None:
            self._refuse(record, refusal.type.slug)
            return
        self.clock.at(arrival.req.deadline + 0.02, self._deadline, record)
        self._poll()

    def call_plain(self, req: PlainRequest) -> None:
        """Send a plain call that may not be repeated."""
        started = self.clock.now
        server = self.router.place_plain(req, started)
        if server is None:
            return
        self.plain_open[req.request_id] = server.name
        delay = self.sim.latency(self.data_centre, server.data_centre)

        def done():
            self.clock.after(delay, self._plain_done, req, started)

        engine = self.sim.engines[server.name]
        if not engine.alive:
            # No byte was sent, so the call may go to another server.
            self.router.record_server_failure(server.name, started)
            self._plain_over(req.request_id)
            self.clock.after(delay, self.call_plain, req)
            return
        self.clock.after(delay, engine.submit, req.request_id, done)

    def plain_crashed(self, server: str) -> None:
        """End the calls to a crashed server with an unknown outcome."""
        self.router.record_server_failure(server, self.clock.now)
        for request_id, name in list(self.plain_open.items()):
            if name == server:
                self.sim.tally.plain_unknown += 1
                self._plain_over(request_id)

    def engine_crashed(self, attempt: Attempt, server: str) -> None:
        """Place the request of an attempt again after its server crashed."""
        if attempt.over or self.stopped:
            return
        self.router.record_server_failure(server, self.clock.now)
        self._again(attempt)

    def _plain_done(self, req: PlainRequest, started: float) -> None:
        if req.request_id in self.plain_open:
            self.sim.tally.plain_delays.append(self.clock.now - started)
            self._plain_over(req.request_id)

    def _plain_over(self, request_id: str) -> None:
        self.router.record_plain_end(self.plain_open.pop(request_id), self.clock.now)

    def _read_load(self, name: str) -> None:
        if self.stopped or self.clock.now > self._until:
            return
        engine = self.sim.engines[name]
        if engine.alive:
            sequence = self._sequences.get(name, 0) + 1
            self._sequences[name] = sequence
            self.router.record_load_report(engine.report(sequence), self.clock.now)
            if hasattr(engine, "cache_events"):
                after = self._sequences.get(name + "/cache", 0)
                events = engine.cache_events(after)
                self._sequences[name + "/cache"] = events.last_sequence
                self.router.record_cache_events(events, self.clock.now)
        period = self.sim.deployment.speed.report_period_s
        self.clock.after(period * self.rng.uniform(0.9, 1.1), self._read_load, name)

    def _poll(self) -> None:
        now = self.clock.now
        self._poll_at = None
        self.sim.tally.decisions += 1
        for item in self.router.poll(now):
            record = self.records.get(item.request_id)
            if isinstance(item, ExpiredRequest):
                if record is not None:
                    self._refuse(record, item.refusal.type.slug)
                continue
            self._start(record, item)
        self._schedule_poll()

    def _schedule_poll(self) -> None:
        now = self.clock.now
        at = self.router.next_poll_at(now)
        if at is None:
            return
        at = max(at, now + 0.002)
        if self._poll_at is None or at < self._poll_at - 1e-9:
            self._poll_at = at
            self.clock.at(at, self._poll_if_due, at)

    def _poll_if_due(self, at: float) -> None:
        if self._poll_at == at and not self.stopped:
            self._poll()

    def _start(self, record: Record, placement: Placement) -> None:
        attempt = Attempt(self, record, placement)
        self.attempts[placement.request_id] = attempt
        delay = self.sim.latency(self.data_centre, placement.prefill.data_centre)
        self.clock.at(placement.start_at + delay, self._prefill, attempt)

    def _prefill(self, attempt: Attempt) -> None:
        if attempt.over:
            return
        name = attempt.placement.prefill.name
        engine = self.sim.engines[name]
        if not engine.alive:
            self.router.record_server_failure(name, self.clock.now)
            self._again(attempt)
            return
        req = attempt.record.arrival.req
        delay = self.sim.latency(
            self.data_centre, attempt.placement.prefill.data_centre
        )

        def done(work):
            attempt.work_tokens = work
            lifetime = self.sim.deployment.speed.result_lifetime_s
            attempt.result_until = self.clock.now + lifetime
            self.clock.after(delay, self._prefilled, attempt)

        engine.submit(
            attempt,
            req.prompt_tokens,
            req.prefix_digests,
            attempt.placement.priority,
            done,
        )

    def _prefilled(self, attempt: Attempt) -> None:
        if attempt.over:
            return
        self.router.record_prefill_end(attempt.placement, self.clock.now)
        self._call_decode(attempt)

    def _call_decode(self, attempt: Attempt) -> None:
        if attempt.over:
            return
        delay = self.sim.latency(self.data_centre, attempt.placement.decode.data_centre)
        self.clock.after(delay, self._decode, attempt, delay)

    def _decode(self, attempt: Attempt, delay: float) -> None:
        if attempt.over:
            return
        placement = attempt.placement
        engine = self.sim.engines[placement.decode.name]
        if not engine.alive:
            self.clock.after(delay, self._decode_failed, attempt)
            return
        if not engine.reserve(attempt):
            self.sim.tally.busy_answers += 1
            self.clock.after(delay, self._busy, attempt)
            return
        if not self.sim.engines[placement.prefill.name].take(attempt):
            engine.cancel(attempt)
            self.sim.tally.expired_results += 1
            self.clock.after(delay, self._again, attempt)
            return
        duration = self.sim.transfer_s(
            placement.prefill.data_centre,
            placement.decode.data_centre,
            attempt.record.arrival.req.kv_bytes,
        )
        if duration > _TRANSFER_BOUND_S:
            self.clock.after(_TRANSFER_BOUND_S, self._stalled, attempt)
            return
        self.clock.after(duration, self._generate, attempt)

    def _busy(self, attempt: Attempt) -> None:
        if attempt.over:
            return
        now = self.clock.now
        self.router.record_busy_answer(attempt.placement.decode.name, now)
        if now >= attempt.result_until or not self.sim.plan.retry_results:
            self.sim.tally.expired_results += 1
            self._again(attempt)
            return
        self._decode_elsewhere(attempt)

    def _decode_failed(self, attempt: Attempt) -> None:
        if attempt.over:
            return
        self.router.record_server_failure(attempt.placement.decode.name, self.clock.now)
        self._decode_elsewhere(attempt)

    def _decode_elsewhere(self, attempt: Attempt) -> None:
        placement = self.router.place_decode(attempt.record.arrival.req, self.clock.now)
        if placement is None:
            self._again(attempt)
            return
        attempt.placement = placement
        self.clock.at(placement.start_at, self._call_decode, attempt)

    def _stalled(self, attempt: Attempt) -> None:
        if not attempt.over:
            self._again(attempt)

    def _generate(self, attempt: Attempt) -> None:
        if attempt.over:
            return
        engine = self.sim.engines[attempt.placement.decode.name]
        if not engine.alive:
            return
        self.router.record_first_token(attempt.placement, self.clock.now)
        attempt.generating_since = self.clock.now
        record = attempt.record
        if record.first_token is None:
            one = self.sim.deployment.speed.interval_s(len(engine.running) + 1)
            delay = self.sim.latency(
                self.data_centre, attempt.placement.decode.data_centre
            )
            delay += self.sim.deployment.client_latency_s
            record.first_token = self.clock.now + one + delay
        engine.generate(
            attempt,
            record.arrival.output_tokens,
            lambda: self._answered(attempt),
        )

    def _answered(self, attempt: Attempt) -> None:
        if attempt.over:
            return
        record = attempt.record
        now = self.clock.now
        tokens = record.arrival.output_tokens
        record.ended = now
        record.answers += 1
        record.interval_s = (now - attempt.generating_since) / tokens
        self.sim.tally.useful_tokens += attempt.work_tokens
        self._release(attempt, tokens)
        self.attempts.pop(attempt.placement.request_id, None)
        self.records.pop(attempt.placement.request_id, None)
        self._poll()

    def _again(self, attempt: Attempt) -> None:
        if attempt.over:
            return
        self._release(attempt)
        req = attempt.record.arrival.req
        self.attempts.pop(req.request_id, None)
        if self.clock.now < req.deadline:
            self.router.requeue(req, self.clock.now)
            self._poll()

    def _deadline(self, record: Record) -> None:
        request_id = record.arrival.req.request_id
        attempt = self.attempts.get(request_id)
        if attempt is not None and attempt.generating_since is None:
            self._release(attempt)
            self._refuse(record, "deadline")
            return
        if attempt is None and request_id in self.records:
            self.router.remove(request_id)
            self._refuse(record, "deadline")

    def _refuse(self, record: Record, reason: str) -> None:
        record.refused = reason
        self.records.pop(record.arrival.req.request_id, None)
        self.attempts.pop(record.arrival.req.request_id, None)

    def _release(self, attempt: Attempt, tokens: int | None = None) -> None:
        attempt.over = True
        placement = attempt.placement
        now = self.clock.now
        self.router.record_prefill_end(placement, now)
        self.router.record_decode_end(placement, now, tokens)
        for server in (placement.prefill, placement.decode):
            engine = self.sim.engines[server.name]
            if engine.alive:
                engine.cancel(attempt)
