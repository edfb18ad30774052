"""Simulate one host: its router and the attempts of its requests."""

import random

import attrs

from sesameport.bench.traffic import Arrival
from sesameport.domain import PlainRequest
from sesameport.routing import ExpiredRequest, Placement

__all__ = ["Attempt", "BenchHost", "RequestRecord", "RunStatistics"]

_TRANSFER_TIMEOUT_S = 1.0
"""Duration after which a transfer counts as stalled and the request is retried."""

_PLACEMENT_RETRY_DELAY_S = 0.05


@attrs.define(eq=False)
class RequestRecord:
    """Track the outcome of one admitted request."""

    arrival: Arrival
    in_window: bool
    refusal_reason: str = ""
    first_token_at: float | None = None
    ended_at: float | None = None
    interval_s: float = 0.0
    answer_count: int = 0
    is_host_lost: bool = False


@attrs.define
class RunStatistics:
    """Count the events and outcomes of a run."""

    offered_count: int = 0
    records: list[RequestRecord] = attrs.field(factory=list)
    useful_tokens: float = 0.0
    crashed_prefill_tokens: float = 0.0
    busy_answers: int = 0
    expired_results: int = 0
    plain_latencies_s: list[float] = attrs.field(factory=list)
    unknown_plain_outcomes: int = 0
    router_polls: int = 0

    def add_record(self, arrival: Arrival, in_window: bool) -> RequestRecord:
        """Add and return the record of an admitted request."""
        record = RequestRecord(arrival, in_window)
        self.records.append(record)
        return record


@attrs.define(eq=False)
class Attempt:
    """Track one attempt to serve a request on a prefill and a decode server."""

    host: "BenchHost"
    record: RequestRecord
    placement: Placement
    work_tokens: float = 0.0
    result_expires_at: float = 0.0
    generation_started_at: float | None = None
    is_finished: bool = False


class BenchHost:
    """Simulate a host with its router and open requests."""

    def __init__(self, sim, data_centre: str, make_router, number: int):
        self.sim = sim
        self.clock = sim.clock
        self.data_centre = data_centre
        self.rng = random.Random(sim.plan.seed * 1_000 + number)
        self.router = make_router(data_centre, sim.host_count)
        self.router.rng.seed(sim.plan.seed * 1_000 + 500 + number)
        self.router.set_servers(sim.servers, sim.documents, 0.0)
        self.attempts: dict[str, Attempt] = {}
        self.records: dict[str, RequestRecord] = {}
        self.open_plain_calls: dict[str, str] = {}
        self.is_stopped = False
        self._poll_at: float | None = None
        self._sequences: dict[str, int] = {}
        self._reports_until = 0.0

    def start_reading_reports(self, until: float) -> None:
        """Start periodic reads of load reports and cache events until a time."""
        self._reports_until = until
        period = self.sim.deployment.speed.report_period_s
        for server in self.sim.servers:
            if server.role != "plain":
                delay = self.rng.uniform(0, period)
                self.clock.schedule_after(delay, self._read_load, server.name)

    def stop(self) -> None:
        """Stop the host and abandon all its requests, as when its data centre fails."""
        self.is_stopped = True
        for record in self.records.values():
            record.is_host_lost = True
        for attempt in self.attempts.values():
            self._release(attempt)

    def accept(self, arrival: Arrival, record: RequestRecord) -> None:
        """Queue an admitted request at the router."""
        if self.is_stopped:
            record.is_host_lost = True
            return
        self.records[arrival.req.request_id] = record
        refusal = self.router.enqueue(arrival.req, self.clock.now)
        if refusal is not None:
            self._refuse(record, refusal.type.slug)
            return
        self.clock.schedule_at(
            arrival.req.deadline + 0.02, self._handle_deadline, record
        )
        self._poll()

    def call_plain(self, req: PlainRequest) -> None:
        """Send a plain call, which must not run twice."""
        started = self.clock.now
        server = self.router.place_plain(req, started)
        if server is None:
            return
        self.open_plain_calls[req.request_id] = server.name
        delay = self.sim.get_latency_s(self.data_centre, server.data_centre)

        def on_done():
            self.clock.schedule_after(delay, self._complete_plain_call, req, started)

        engine = self.sim.engines[server.name]
        if not engine.is_alive:
            # No byte was sent, so a retry on another server cannot run the call twice.
            self.router.record_server_failure(server.name, started)
            self._end_plain_call(req.request_id)
            self.clock.schedule_after(delay, self.call_plain, req)
            return
        self.clock.schedule_after(delay, engine.submit, req.request_id, on_done)

    def handle_plain_server_crash(self, server: str) -> None:
        """End the open calls to a crashed server; their outcome is unknown."""
        self.router.record_server_failure(server, self.clock.now)
        for request_id, name in list(self.open_plain_calls.items()):
            if name == server:
                self.sim.stats.unknown_plain_outcomes += 1
                self._end_plain_call(request_id)

    def handle_engine_crash(self, attempt: Attempt, server: str) -> None:
        """Retry the request of an attempt whose server crashed."""
        if attempt.is_finished or self.is_stopped:
            return
        self.router.record_server_failure(server, self.clock.now)
        self._retry_request(attempt)

    def _complete_plain_call(self, req: PlainRequest, started: float) -> None:
        if req.request_id in self.open_plain_calls:
            self.sim.stats.plain_latencies_s.append(self.clock.now - started)
            self._end_plain_call(req.request_id)

    def _end_plain_call(self, request_id: str) -> None:
        self.router.record_plain_end(
            self.open_plain_calls.pop(request_id), self.clock.now
        )

    def _read_load(self, name: str) -> None:
        if self.is_stopped or self.clock.now > self._reports_until:
            return
        engine = self.sim.engines[name]
        if engine.is_alive:
            sequence = self._sequences.get(name, 0) + 1
            self._sequences[name] = sequence
            self.router.record_load_report(engine.report(sequence), self.clock.now)
            if hasattr(engine, "cache_events"):
                after = self._sequences.get(name + "/cache", 0)
                events = engine.cache_events(after)
                self._sequences[name + "/cache"] = events.last_sequence
                self.router.record_cache_events(events, self.clock.now)
        period = self.sim.deployment.speed.report_period_s
        self.clock.schedule_after(
            period * self.rng.uniform(0.9, 1.1), self._read_load, name
        )

    def _poll(self) -> None:
        now = self.clock.now
        self._poll_at = None
        self.sim.stats.router_polls += 1
        for outcome in self.router.poll(now):
            record = self.records.get(outcome.request_id)
            if isinstance(outcome, ExpiredRequest):
                if record is not None:
                    self._refuse(record, outcome.refusal.type.slug)
                continue
            self._start_attempt(record, outcome)
        self._schedule_poll()

    def _schedule_poll(self) -> None:
        now = self.clock.now
        at = self.router.next_poll_at(now)
        if at is None:
            return
        at = max(at, now + 0.002)
        if self._poll_at is None or at < self._poll_at - 1e-9:
            self._poll_at = at
            self.clock.schedule_at(at, self._poll_if_due, at)

    def _poll_if_due(self, at: float) -> None:
        if self._poll_at == at and not self.is_stopped:
            self._poll()

    def _start_attempt(self, record: RequestRecord, placement: Placement) -> None:
        attempt = Attempt(self, record, placement)
        self.attempts[placement.request_id] = attempt
        delay = self.sim.get_latency_s(self.data_centre, placement.prefill.data_centre)
        self.clock.schedule_at(placement.start_at + delay, self._run_prefill, attempt)

    def _run_prefill(self, attempt: Attempt) -> None:
        if attempt.is_finished:
            return
        name = attempt.placement.prefill.name
        engine = self.sim.engines[name]
        if not engine.is_alive:
            self.router.record_server_failure(name, self.clock.now)
            self._retry_request(attempt)
            return
        req = attempt.record.arrival.req
        delay = self.sim.get_latency_s(
            self.data_centre, attempt.placement.prefill.data_centre
        )

        def on_done(work):
            attempt.work_tokens = work
            lifetime = self.sim.deployment.speed.result_lifetime_s
            attempt.result_expires_at = self.clock.now + lifetime
            self.clock.schedule_after(delay, self._handle_prefill_result, attempt)

        engine.submit(
            attempt,
            req.prompt_tokens,
            req.prefix_digests,
            attempt.placement.priority,
            on_done,
        )

    def _handle_prefill_result(self, attempt: Attempt) -> None:
        if attempt.is_finished:
            return
        self.router.record_prefill_end(attempt.placement, self.clock.now)
        self._send_decode(attempt)

    def _send_decode(self, attempt: Attempt) -> None:
        if attempt.is_finished:
            return
        delay = self.sim.get_latency_s(
            self.data_centre, attempt.placement.decode.data_centre
        )
        self.clock.schedule_after(delay, self._run_decode, attempt, delay)

    def _run_decode(self, attempt: Attempt, delay: float) -> None:
        if attempt.is_finished:
            return
        placement = attempt.placement
        engine = self.sim.engines[placement.decode.name]
        if not engine.is_alive:
            self.clock.schedule_after(delay, self._handle_decode_failure, attempt)
            return
        if not engine.reserve(attempt):
            self.sim.stats.busy_answers += 1
            self.clock.schedule_after(delay, self._handle_busy_answer, attempt)
            return
        if not self.sim.engines[placement.prefill.name].export_result(attempt):
            engine.cancel(attempt)
            self.sim.stats.expired_results += 1
            self.clock.schedule_after(delay, self._retry_request, attempt)
            return
        duration = self.sim.start_transfer(
            placement.prefill.data_centre,
            placement.decode.data_centre,
            attempt.record.arrival.req.kv_bytes,
        )
        if duration > _TRANSFER_TIMEOUT_S:
            self.clock.schedule_after(
                _TRANSFER_TIMEOUT_S, self._handle_transfer_timeout, attempt
            )
            return
        self.clock.schedule_after(duration, self._generate, attempt)

    def _handle_busy_answer(self, attempt: Attempt) -> None:
        if attempt.is_finished:
            return
        now = self.clock.now
        self.router.record_busy_answer(attempt.placement.decode.name, now)
        if now >= attempt.result_expires_at or not self.sim.plan.retry_results:
            self.sim.stats.expired_results += 1
            self._retry_request(attempt)
            return
        self._place_decode_again(attempt)

    def _handle_decode_failure(self, attempt: Attempt) -> None:
        if attempt.is_finished:
            return
        self.router.record_server_failure(attempt.placement.decode.name, self.clock.now)
        self._place_decode_again(attempt)

    def _place_decode_again(self, attempt: Attempt) -> None:
        placement = self.router.place_decode(attempt.record.arrival.req, self.clock.now)
        if placement is None:
            self._retry_request(attempt)
            return
        attempt.placement = placement
        self.clock.schedule_at(placement.start_at, self._send_decode, attempt)

    def _handle_transfer_timeout(self, attempt: Attempt) -> None:
        if not attempt.is_finished:
            self._retry_request(attempt)

    def _generate(self, attempt: Attempt) -> None:
        if attempt.is_finished:
            return
        engine = self.sim.engines[attempt.placement.decode.name]
        if not engine.is_alive:
            return
        self.router.record_first_token(attempt.placement, self.clock.now)
        attempt.generation_started_at = self.clock.now
        record = attempt.record
        if record.first_token_at is None:
            first_interval_s = self.sim.deployment.speed.interval_s(
                len(engine.running) + 1
            )
            delay = self.sim.get_latency_s(
                self.data_centre, attempt.placement.decode.data_centre
            )
            delay += self.sim.deployment.client_latency_s
            record.first_token_at = self.clock.now + first_interval_s + delay
        engine.generate(
            attempt,
            record.arrival.output_tokens,
            lambda: self._handle_complete_answer(attempt),
        )

    def _handle_complete_answer(self, attempt: Attempt) -> None:
        if attempt.is_finished:
            return
        record = attempt.record
        now = self.clock.now
        tokens = record.arrival.output_tokens
        record.ended_at = now
        record.answer_count += 1
        record.interval_s = (now - attempt.generation_started_at) / tokens
        self.sim.stats.useful_tokens += attempt.work_tokens
        self._release(attempt, tokens)
        self.attempts.pop(attempt.placement.request_id, None)
        self.records.pop(attempt.placement.request_id, None)
        self._poll()

    def _retry_request(self, attempt: Attempt) -> None:
        if attempt.is_finished:
            return
        self._release(attempt)
        req = attempt.record.arrival.req
        self.attempts.pop(req.request_id, None)
        if self.clock.now < req.deadline:
            self.router.requeue(req, self.clock.now)
            self._poll()

    def _handle_deadline(self, record: RequestRecord) -> None:
        request_id = record.arrival.req.request_id
        attempt = self.attempts.get(request_id)
        if attempt is not None and attempt.generation_started_at is None:
            self._release(attempt)
            self._refuse(record, "deadline")
            return
        if attempt is None and request_id in self.records:
            self.router.remove(request_id)
            self._refuse(record, "deadline")

    def _refuse(self, record: RequestRecord, reason: str) -> None:
        record.refusal_reason = reason
        self.records.pop(record.arrival.req.request_id, None)
        self.attempts.pop(record.arrival.req.request_id, None)

    def _release(self, attempt: Attempt, tokens: int | None = None) -> None:
        attempt.is_finished = True
        placement = attempt.placement
        now = self.clock.now
        self.router.record_prefill_end(placement, now)
        self.router.record_decode_end(placement, now, tokens)
        for server in (placement.prefill, placement.decode):
            engine = self.sim.engines[server.name]
            if engine.is_alive:
                engine.cancel(attempt)
