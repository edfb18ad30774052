"""Admit and place the requests of one host.

It does no I/O. Results are set on futures, and a callback reports changes to hosts.
"""

import math
import random
from collections.abc import Callable

import attrs
from result import Err, Ok

from sesameport.admission import (
    STARTING_S,
    ColdServers,
    Evacuations,
    FleetQuota,
    FleetUse,
    RequestLimits,
    RetryAfterPolicy,
    ServerHealth,
    ServerNotices,
    ServerRegistry,
    Shortage,
    WaitingRequest,
    WaitingTokens,
    WindowedRetryBudget,
    WorkloadMix,
    reserved_kv_tokens,
)
from sesameport.entry import messages as m
from sesameport.entry.candidate_servers import CandidateServers
from sesameport.entry.configuration import EntryConfiguration
from sesameport.entry.generation_limits import PLACE_AGAIN_S, GenerationLimits
from sesameport.entry.generation_placement import GenerationPlacement
from sesameport.entry.learned_servers import LearnedServers
from sesameport.entry.permit_exchange import PermitExchange
from sesameport.entry.placement_log import log_placement, log_refusal
from sesameport.entry.plain_admission import PlainAdmission
from sesameport.entry.request_charges import charge_request
from sesameport.entry.reservations import release_prefill, release_run
from sesameport.entry.server_monitor import EVACUATED, ServerMonitor
from sesameport.entry.settings import EntrySettings
from sesameport.entry.stopping import (
    HOST_STOPPING,
    STOPPING_RETRY_AFTER_S,
    HostStopping,
)
from sesameport.entry.waiting_generations import WaitingGenerations

__all__ = ["AdmissionController"]


class AdmissionController:
    """Hold the admission state of one host; not thread-safe.

    Parameters
    ----------
    settings : EntrySettings
        Identity and bounds of this host.
    on_change : callable
        Called with the current time when this host's server use or a pause changes.
    wake_at : callable
        Schedules a call of `place_waiting` at a monotonic time.
    rng : random.Random
        Spreads the retry times of refused callers and samples servers to probe.
    limits : RequestLimits
        Limits of servers; its notices are what servers say of themselves.
    publish : callable
        Sends messages about permits to other hosts.
    started_at : float
        Monotonic time at which the host started, seconds.
    evacuations : Evacuations
        Data centres whose servers get nothing.
    learned : LearnedServers
        What this host learns of servers.
    """

    def __init__(
        self,
        settings: EntrySettings,
        on_change: Callable[[float], None],
        wake_at: Callable[[float], None],
        rng: random.Random | None = None,
        limits: RequestLimits | None = None,
        publish: Callable[[m.PermitRequest | m.PermitReply], None] = lambda _: None,
        started_at: float = -math.inf,
        evacuations: Evacuations | None = None,
        learned: LearnedServers | None = None,
    ):
        bounds = settings.bounds
        self._on_change = on_change
        self._wake_at = wake_at
        self._rng = rng = rng or random.Random()
        self.registry = ServerRegistry()
        self.use = FleetUse()
        self.health = ServerHealth()
        self.evacuations = Evacuations() if evacuations is None else evacuations
        self.limits = limits or RequestLimits(ServerNotices(), ColdServers())
        self.notices = self.limits.notices
        self._learned = learned = learned or LearnedServers(settings.data_centre)
        self.monitor = ServerMonitor(
            self.registry, self.health, self.notices, on_change, rng, self.evacuations
        )
        self.candidates = CandidateServers(self.monitor, settings.regions)
        self.permits = PermitExchange(
            settings.name, self.limits, self.use, publish, wake_at, rng, started_at
        )
        self.quota = FleetQuota(bounds.quota_window_s)
        self.budget = WindowedRetryBudget(
            bounds.retry_ratio, bounds.retry_window_s, bounds.retry_slack
        )
        self.budget.pool.usable_from = started_at + STARTING_S
        self._plain = PlainAdmission(
            settings.data_centre,
            self.candidates,
            self.health,
            self.use,
            self.budget,
            self.permits,
            self.retry_delay_s,
            wake_at,
            self._learned.plain_factors,
        )
        self._limits = GenerationLimits(self.monitor, self.permits)
        self._retry_after_policy = RetryAfterPolicy()
        self.waiting = WaitingGenerations()
        self._placement = GenerationPlacement(
            self.candidates, self.permits, self.limits, self.health, self.use, learned
        )
        self._choose = self._placement.choose
        self._place_again_at = -math.inf

    @property
    def configuration(self) -> EntryConfiguration | None:
        """Return the configuration in force, None before the first one."""
        return self._placement.configuration

    @configuration.setter
    def configuration(self, configuration: EntryConfiguration) -> None:
        self._placement.configure(configuration)

    def admit_plain(self, req: m.AdmitPlain, now: float) -> m.PlainReply:
        """Return the server of a plain request, a refusal, or a future of these."""
        if now >= self.waiting.ends_at:
            return m.Refused(HOST_STOPPING, STOPPING_RETRY_AFTER_S)
        if req.is_first_attempt:
            refused = self._charge(req, req.service, now)
            if refused is not None:
                return refused
        return self._plain.admit(req, now)

    def admit_generation(self, req: m.AdmitGeneration, now: float) -> None:
        """Place a generation, queue it or refuse it."""
        generation, service = req.generation, req.generation.service
        if req.is_first_attempt:
            refused = self._charge(req, service, now)
            if refused is not None:
                req.future.set(refused)
                return
        run_s = self._placement.measurements.expected_run_s(service)
        if now + run_s > self.waiting.ends_at:
            self._refuse(req, HOST_STOPPING, now)
            return
        if not req.is_first_attempt and not self.budget.spend(
            service, now, req.repeats
        ):
            req.future.set(m.Refused("no-retry-budget", self.retry_delay_s()))
            return
        waiting_request = WaitingRequest(
            req.key,
            now,
            req.target_at,
            req.disconnects_at,
            req.is_returning,
            req.priority,
            reserved_kv_tokens(generation.prompt_tokens, generation.output_tokens),
            run_s,
        )
        queue = self.waiting.queue(service)
        if shortage := self.candidates.decode_shortage(generation, now):
            self._refuse(req, shortage, now)
            return
        if not self.waiting.try_add(waiting_request, req, now):
            self._refuse(req, "waiting-room-full", now)
            return
        self._place_from_queue(service, now)
        self._refuse_beyond_limits(service, now)
        if req.key not in self.waiting:
            return
        refusal_s = self._excessive_wait_s(service, waiting_request, now)
        lacks_prefill = self._choose(req, now) == Err(Shortage.PREFILL_SERVER)
        may_wait = lacks_prefill or self._limits.may_get_permit(service, now)
        if refusal_s is not None and not may_wait:
            self.discard_waiting(req.key)
            self._refuse(req, "no-decode-memory-soon", now, refusal_s)
            return
        self._on_change(now)
        self._wake_at(queue.late_at(waiting_request))
        self._wake_at(queue.refuse_at(waiting_request))

    def stop(self, message: HostStopping, now: float) -> None:
        """Refuse the waiting generations that cannot end before this process."""
        self.waiting.stop(message.ends_at)
        self.place_waiting(now)
        for service, queue in self.waiting.queues.items():
            for waiting_request in queue.waiting():
                if self._excessive_wait_s(service, waiting_request, now) is not None:
                    self._refuse_waiting(waiting_request, HOST_STOPPING, now)
                    continue
                self._wake_at(queue.refuse_at(waiting_request))
        self._on_change(now)

    def _charge(self, req, service: str, now: float) -> m.Refused | None:
        return charge_request(req, service, self.quota, self.budget, self.use, now)

    def _place_from_queue(self, service: str, now: float) -> None:
        if self.waiting.is_stopping():
            self._refuse_expired(service, now)
        queue = self.waiting.queue(service)
        if not queue:
            return
        placed, short = False, set()
        others_on_time = self.use.remote_waiting(service).on_time > 0
        for waiting_request in self._service_order(service, now):
            yields = others_on_time and queue.is_late(waiting_request, now)
            if yields and not self._limits.has_permit(service, now):
                # Other hosts get free memory first, but cannot use permits of this one.
                short.add(Shortage.MEMORY)
                break
            queued = self.waiting[waiting_request.key]
            match self._choose(queued.req, now):
                case Err(Shortage.MEMORY) if not queued.req.generation.is_restricted():
                    short.add(Shortage.MEMORY)
                    break
                case Err(shortage):
                    # A later request with a shorter prompt or no exclusions may fit.
                    short.add(shortage)
                    continue
                case Ok(placement):
                    pass
            if self._limits.should_wait(placement, now - queued.since, now):
                short.add(Shortage.PREFILL_SERVER)
                continue
            self.discard_waiting(waiting_request.key)
            for name, change in placement.uses():
                self.use.add_local(name, change)
            for name in placement.called_servers():
                self.permits.take(name, now)
            placement = self._placement.leases.plan(
                placement, self._placement.engine(service), now
            )
            run_s = self._placement.measurements.expected_run_s(service)
            admitted = m.Admitted(
                placement, waited_s=now - queued.since, expected_s=run_s
            )
            queued.req.future.set(admitted)
            log_placement(queued.req, placement, self.use, now)
            placed = True
        self._limits.ask(service, short, len(queue), now)
        if placed:
            self._on_change(now)

    def place_waiting(self, now: float) -> None:
        """Place queued requests that fit and refuse those that waited too long."""
        self._plain.place_waiting(now)
        for service in list(self.waiting.queues):
            self._place_from_queue(service, now)
            self._refuse_expired(service, now)
            self._refuse_unservable(service, now)
            self._refuse_beyond_limits(service, now)
        if self.waiting.differs_from_report(now):
            self._on_change(now)

    def waiting_tokens(self, now: float) -> dict[str, WaitingTokens]:
        """Return the tokens of KV cache for which requests wait, by service."""
        return self.waiting.tokens(now)

    def report_waiting_tokens(self, now: float) -> dict[str, WaitingTokens]:
        """Return `waiting_tokens` for a report and remember it as reported."""
        return self.waiting.report_tokens(now)

    def discard_waiting(self, key: int) -> None:
        """Remove a waiting request without setting its future."""
        self.waiting.discard(key)

    def _refuse_expired(self, service: str, now: float) -> None:
        reason = HOST_STOPPING if self.waiting.is_stopping() else "no-decode-memory"
        for req in self.waiting.pop_expired(service, now):
            self._refuse(req, reason, now)

    def _refuse_unservable(self, service: str, now: float) -> None:
        """Refuse late requests while no decode server is usable for them.

        Others wait for a server unless an evacuation is the cause, which lasts longer.
        """
        queue = self.waiting.queue(service)
        shortages: dict[frozenset[str] | None, str | None] = {}
        for waiting_request in queue.in_service_order(now) if len(queue) else ():
            req = self.waiting[waiting_request.key].req.generation
            regions = req.allowed_regions
            if regions not in shortages:
                shortages[regions] = self.candidates.decode_shortage(req, now)
            reason = shortages[regions]
            if reason is None:
                continue
            if reason == EVACUATED or queue.is_late(waiting_request, now):
                self._refuse_waiting(waiting_request, reason, now)

    def _refuse_beyond_limits(self, service: str, now: float) -> None:
        """Refuse requests that get neither a permit nor memory in time.

        Where only permits can serve requests, each waits only if there are enough.
        """
        queue = self.waiting.queue(service)
        if not self._limits.may_get_permit(service, now):
            return
        for rank, request in enumerate(self._service_order(service, now)):
            waiting = self.waiting[request.key]
            order = rank if waiting.has_permit else len(queue) - 1
            wait = self._limits.wait_for(service, order, now)
            if wait is not None and wait.is_reserved:
                waiting.has_permit = True
                continue
            choice = self._choose(waiting.req, now)
            if choice.is_ok():
                if now >= self._place_again_at and not queue.is_late(request, now):
                    self._place_again_at = now + PLACE_AGAIN_S
                    self._wake_at(self._place_again_at)
                continue
            fits = wait is None or waiting.has_permit
            if wait is None:
                wait = self._limits.decode_wait_for(service, rank, now)
                memory_s = self._excessive_wait_s(service, request, now)
                lacks_prefill = choice == Err(Shortage.PREFILL_SERVER)
                if wait is None or memory_s is None or lacks_prefill:
                    continue
                wait = attrs.evolve(wait, seconds=min(wait.seconds, memory_s))
            if not fits or now + wait.seconds > queue.refuse_at(request):
                self._refuse_waiting(request, "server-limits", now, wait.seconds)

    def _service_order(self, service: str, now: float) -> list[WaitingRequest]:
        """Return the waiting requests in service order, those with a permit first."""
        order = self.waiting.queue(service).in_service_order(now)
        if not self.permits.has_limits(now):
            return order
        first = [item for item in order if self.waiting[item.key].has_permit]
        rest = [item for item in order if not self.waiting[item.key].has_permit]
        return sorted(first, key=lambda item: item.arrived_at) + rest

    def _excessive_wait_s(
        self, service: str, waiting: WaitingRequest, now: float
    ) -> float | None:
        req, queue = self.waiting[waiting.key].req, self.waiting.queue(service)
        return self._placement.excessive_wait_s(req, queue, waiting, now)

    def _refuse_waiting(
        self, waiting: WaitingRequest, reason: str, now: float, wait_s: float = 0.0
    ) -> None:
        req = self.waiting.discard(waiting.key)
        self._refuse(req, reason, now, wait_s, min_retry_s=wait_s)

    def _refuse(
        self, req, reason: str, now: float, forecast_s=0.0, min_retry_s=0.0
    ) -> None:
        self.quota.refund(req.workspace, req.charge_tokens)
        delay_s = max(min_retry_s, self.retry_delay_s())
        if reason == HOST_STOPPING:
            delay_s = STOPPING_RETRY_AFTER_S
        refused = m.Refused(reason, delay_s)
        log_refusal(req, refused, forecast_s, self.use, now)
        req.future.set(refused)

    def retry_delay_s(self) -> float:
        """Return the time after which a refused caller should retry, seconds."""
        return self._retry_after_policy.choose_delay_s(self._rng)

    def cancel_plain_wait(self, message: m.CancelPlainWait, now: float) -> None:
        """Give up a plain request that waits for a permit, or its server."""
        self._plain.cancel_wait(message)
        self._on_change(now)

    def cancel_wait(self, message: m.CancelWait, now: float) -> None:
        """Remove a waiting request whose caller disconnected, and refund its charge."""
        req = self.waiting.discard(message.key)
        if req is not None:
            self.quota.refund(req.workspace, req.charge_tokens)

    def consume_retry(self, message: m.ConsumeRetry, now: float) -> bool:
        """Consume one retry; return False if the budget or the server forbids it."""
        if not self.permits.may_send(message.server, now):
            return False
        is_within = self.budget.spend(message.service, now)
        return is_within and self.permits.take(message.server, now)

    def handle_prefill_ended(self, message: m.PrefillEnded, now: float) -> None:
        """Release the prefill reservation and place requests that fit now."""
        service = release_prefill(message, self.use, self._placement.measurements)
        self._place_released(service, now)

    def handle_run_ended(self, message: m.RunEnded, now: float) -> None:
        """Release the decode server or plain server of a request."""
        self._place_released(
            release_run(message, self.use, self._placement.measurements), now
        )

    def record_refused_memory(self, message: m.MemoryRefused, now: float) -> None:
        """Place fewer tokens for a moment on an engine that refused a lease."""
        self._wake_at(self._placement.leases.record_refusal(message, now))

    def _place_released(self, service: str | None, now: float) -> None:
        if service is not None:
            self._place_from_queue(service, now)
            self._on_change(now)

    def workload_mix(self, service: str) -> WorkloadMix:
        """Return the workload mix of a service, updated by its requests."""
        return self._placement.measurements.workload_mix(service)
