"""Admit and place the requests of one host.

The desk owns what the decisions of ``sesameport.admission`` are made from. It does no
I/O: results go to futures, and changes that other hosts have to know to a callback.
"""

import random
from collections.abc import Callable

import attrs
from result import Err, Ok, Result

from sesameport.admission import (
    FleetQuota,
    FleetUse,
    Placement,
    PlacementPolicy,
    RefusalTimes,
    RetryBudget,
    ServerDirectory,
    ServerHealth,
    ServerUse,
    Shortage,
    Waiter,
    WaitingRoom,
    WaitingTokens,
    WorkMix,
    choose_generation,
    choose_plain,
    kv_tokens,
)
from sesameport.entry import messages as m
from sesameport.entry.contracts import EntryConfiguration
from sesameport.entry.server_monitor import ServerMonitor
from sesameport.entry.servers import EntryServer
from sesameport.entry.settings import EntrySettings
from sesameport.telemetry.logs import get_logger

__all__ = ["AdmissionDesk"]

PREFILL_SPEED_WEIGHT = 0.2
"""Weight of the newest prefill in a server's measured speed."""

log = get_logger("entry")


@attrs.define
class _Waiting:
    request: m.AdmitGeneration
    since: float


class AdmissionDesk:
    """Hold the state of admission; belongs to one thread.

    Parameters
    ----------
    settings : EntrySettings
        Identity and bounds of this host.
    on_change : callable
        Called with the time when the own use of servers or a pause changed.
    wake_at : callable
        Asks for a call of `place_waiting` at a monotonic time.
    rng : random.Random
        Spreads the times at which callers come back, and chooses whom to probe.
    """

    def __init__(
        self,
        settings: EntrySettings,
        on_change: Callable[[float], None],
        wake_at: Callable[[float], None],
        rng: random.Random | None = None,
    ):
        bounds = settings.bounds
        self._data_centre = settings.data_centre
        self._on_change = on_change
        self._wake_at = wake_at
        self._rng = rng or random.Random()
        self.configuration: EntryConfiguration | None = None
        self.directory = ServerDirectory()
        self.use = FleetUse()
        self.health = ServerHealth()
        self.server_monitor = ServerMonitor(
            self.directory, self.health, on_change, self._rng
        )
        self.quota = FleetQuota()
        self.budget = RetryBudget(
            bounds.retry_ratio, bounds.retry_window_s, bounds.retry_slack
        )
        self._policy = PlacementPolicy()
        self._refusals = RefusalTimes()
        self._queues: dict[str, WaitingRoom] = {}
        self._waiting: dict[int, _Waiting] = {}
        self._speeds: dict[str, float] = {}
        self._mixes: dict[str, WorkMix] = {}
        self._reported_waiting: dict[str, WaitingTokens] = {}

    # -- admission -------------------------------------------------------------

    def admit_plain(self, request: m.AdmitPlain, now: float) -> m.Admitted | m.Refused:
        """Choose the server of a plain request."""
        if request.is_first_attempt:
            refused = self._charge(request, request.service, now)
            if refused is not None:
                return refused
        servers = self.server_monitor.usable_servers(request.service, now)
        server = choose_plain(
            self._data_centre,
            servers,
            self.use,
            self.health.cost_factor,
            request.excluded,
        )
        if server is None:
            return m.Refused("no-server", self.choose_retry_after_s())
        if request.uses_retry_budget and not self.budget.spend(request.service, now):
            return m.Refused("no-retry-budget", self.choose_retry_after_s())
        self.use.add_own(server.name, ServerUse(0.0, 1, 0.0))
        return m.Admitted(plain=server)

    def admit_generation(self, request: m.AdmitGeneration, now: float) -> None:
        """Place a generation, let it wait or refuse it."""
        service = request.generation.service
        if request.is_first_attempt:
            refused = self._charge(request, service, now)
            if refused is not None:
                request.future.set(refused)
                return
        elif request.uses_retry_budget and not self.budget.spend(service, now):
            request.future.set(
                m.Refused("no-retry-budget", self.choose_retry_after_s())
            )
            return
        generation = request.generation
        waiter = Waiter(
            request.key,
            now,
            request.target_at,
            request.leaves_at,
            request.is_returning,
            request.priority,
            kv_tokens(generation.prompt_tokens, generation.output_tokens),
        )
        queue = self._queues.setdefault(service, WaitingRoom())
        if not self._decode_servers(service, now):
            self._refuse(request, "no-decode-server", now)
            return
        if not queue.enter(waiter):
            self._refuse(request, "waiting-room-full", now)
            return
        self._waiting[request.key] = _Waiting(request, now)
        self._place_from_queue(service, now)
        if request.key not in self._waiting:
            return
        refusal_s = self._excessive_wait_s(service, waiter, now)
        lacks_prefill_server = self._choose_placement(request, now) == Err(
            Shortage.READER
        )
        if refusal_s is not None and not lacks_prefill_server:
            queue.leave(request.key)
            del self._waiting[request.key]
            self._refuse(request, "no-decode-memory-soon", now, refusal_s)
            return
        self._on_change(now)
        self._wake_at(queue.late_at(waiter))
        self._wake_at(queue.give_up_at(waiter))

    def _charge(self, request, service: str, now: float) -> m.Refused | None:
        """Charge a request's workspace; returns the refusal if it is over its rate."""
        verdict = self.quota.charge(request.workspace, request.charge_tokens, now)
        if verdict.is_within:
            self.budget.note_request(service, now)
            return None
        log.info(
            "request over quota",
            extra={
                "request_id": request.request_id,
                "workspace": request.workspace,
                "charge": request.charge_tokens,
                "bucket": round(verdict.level),
                "retry_after_s": round(verdict.retry_after_s, 2),
                **self._fleet_view_fields(now),
            },
        )
        return m.Refused("over-quota", verdict.retry_after_s, True)

    def _fleet_view_fields(self, now: float) -> dict:
        """Return how much and how fresh the knowledge of other hosts is."""
        return {
            "hosts_heard": len(self.use.hosts()),
            "oldest_report_s": round(self.use.oldest_report_s(now), 3),
        }

    def _excessive_wait_s(
        self, service: str, waiter: Waiter, now: float
    ) -> float | None:
        """Return the expected wait of a request that will not be served in time."""
        queue = self._queues[service]
        waiting = queue.tokens(now).plus(self.use.waiting_elsewhere(service))
        # Servers that nobody reaches give nothing back to this host's callers.
        reserved = sum(
            self.use.of(server.name).kv_tokens
            for server in self._decode_servers(service, now)
        )
        held_s = self.work_mix(service).held_s
        return queue.hopeless_wait_s(waiter, waiting, reserved, held_s, now)

    def _decode_servers(self, service: str, now: float) -> list[EntryServer]:
        """Return the servers of a service that decode and can be reached."""
        return [
            server
            for server in self.server_monitor.usable_servers(service, now)
            if server.decodes()
        ]

    def _place_from_queue(self, service: str, now: float) -> None:
        queue = self._queues.get(service)
        if not queue:
            return
        placed = False
        others_on_time = self.use.waiting_elsewhere(service).on_time > 0
        for waiter in queue.in_order(now):
            if others_on_time and queue.is_late(waiter, now):
                # What is free is for callers at other hosts that can be in time.
                break
            waiting = self._waiting[waiter.key]
            match self._choose_placement(waiting.request, now):
                case Err(Shortage.MEMORY) if not waiting.request.generation.excluded:
                    break
                case Err(_):
                    # A shorter prompt, or one that has failed nowhere, may still go.
                    continue
                case Ok(placement):
                    pass
            queue.leave(waiter.key)
            del self._waiting[waiter.key]
            for name, change in placement.uses():
                self.use.add_own(name, change)
            waiting.request.future.set(
                m.Admitted(placement, waited_s=now - waiting.since)
            )
            self._log_placement(waiting.request, placement, now)
            placed = True
        if placed:
            self._on_change(now)

    def _log_placement(self, request: m.AdmitGeneration, placement, now: float) -> None:
        prefill = placement.prefill
        log.info(
            "generation placed",
            extra={
                "request_id": request.request_id,
                "decode": placement.decode.name,
                "prefill": prefill.name if prefill else "",
                "kv_tokens": placement.kv_tokens,
                "decode_reserved": round(self.use.of(placement.decode.name).kv_tokens),
                **self._fleet_view_fields(now),
            },
        )

    def _choose_placement(
        self, request: m.AdmitGeneration, now: float
    ) -> Result[Placement, Shortage]:
        service = self.configuration and self.configuration.service(
            request.generation.service
        )
        if service is None or service.engine is None:
            return Err(Shortage.MEMORY)
        return choose_generation(
            request.generation,
            service.engine,
            self.server_monitor.usable_servers(service.name, now),
            self.use,
            self.health.cost_factor,
            self._policy,
            self._speeds,
            self.work_mix(service.name).held_s,
        )

    def place_waiting(self, now: float) -> None:
        """Place what fits now and refuse what has waited long enough."""
        for service in list(self._queues):
            self._place_from_queue(service, now)
            self._refuse_expired(service, now)
            self._refuse_unservable(service, now)
        if self.waiting_tokens(now) != self._reported_waiting:
            self._on_change(now)

    def waiting_tokens(self, now: float) -> dict[str, WaitingTokens]:
        """Return the KV cache for which requests wait, by service."""
        return {
            name: queue.tokens(now)
            for name, queue in self._queues.items()
            if len(queue)
        }

    def report_waiting_tokens(self, now: float) -> dict[str, WaitingTokens]:
        """Return the same, and note that the other hosts are told."""
        self._reported_waiting = self.waiting_tokens(now)
        return self._reported_waiting

    def discard_waiting(self, key: int) -> None:
        """Drop a waiting request without an answer, after an error."""
        waiting = self._waiting.pop(key, None)
        if waiting is not None:
            self._queues[waiting.request.generation.service].leave(key)

    def _refuse_expired(self, service: str, now: float) -> None:
        queue = self._queues.get(service)
        for waiter in queue.expired(now) if queue else ():
            waiting = self._waiting.pop(waiter.key)
            self._refuse(waiting.request, "no-decode-memory", now)

    def _refuse_unservable(self, service: str, now: float) -> None:
        """Refuse late requests that wait while no decode server can be reached.

        Those that can still make their target wait: a pause may end before.
        """
        queue = self._queues[service]
        if not len(queue) or self._decode_servers(service, now):
            return
        for waiter in queue.in_order(now):
            if not queue.is_late(waiter, now):
                continue
            queue.leave(waiter.key)
            waiting = self._waiting.pop(waiter.key)
            self._refuse(waiting.request, "no-decode-server", now)

    def _refuse(
        self,
        request: m.AdmitGeneration,
        reason: str,
        now: float,
        forecast_s: float = 0.0,
    ) -> None:
        self.quota.refund(request.workspace, request.charge_tokens)
        retry_after_s = self.choose_retry_after_s()
        log.info(
            "generation not placed",
            extra={
                "request_id": request.request_id,
                "service": request.generation.service,
                "reason": reason,
                "forecast_s": round(forecast_s, 3),
                "is_returning": request.is_returning,
                "retry_after_s": round(retry_after_s, 2),
                **self._fleet_view_fields(now),
            },
        )
        request.future.set(m.Refused(reason, retry_after_s))

    def choose_retry_after_s(self) -> float:
        """Return when a refused caller should come back, seconds."""
        return self._refusals.choose(self._rng)

    def cancel_wait(self, message: m.CancelWait, now: float) -> None:
        """Take back a waiting request whose caller left."""
        waiting = self._waiting.pop(message.key, None)
        if waiting is None:
            return
        self._queues[message.service].leave(message.key)
        self.quota.refund(waiting.request.workspace, waiting.request.charge_tokens)

    def consume_retry(self, message: m.ConsumeRetry, now: float) -> bool:
        """Take one repeat from the budget of a service, if any is left."""
        return self.budget.spend(message.service, now)

    # -- what requests report --------------------------------------------------

    def handle_prefill_ended(self, message: m.PrefillEnded, now: float) -> None:
        """Free the server that read a prompt and learn the speed of a prefill."""
        placement = message.placement
        reader = placement.reader
        if reader is None:
            return
        name = reader.name
        self.use.add_own(
            name, ServerUse(0.0, 0, -placement.reading_use().prefill_tokens)
        )
        unread = placement.unread_use().unread_kv_tokens
        self.use.add_own(placement.decode.name, ServerUse(unread_kv_tokens=-unread))
        if placement.prefill is not None and message.succeeded and message.seconds > 0:
            speed = placement.prompt_tokens / message.seconds
            known = self._speeds.get(name, self._policy.prefill_tokens_per_s)
            self._speeds[name] = known + PREFILL_SPEED_WEIGHT * (speed - known)
            self.work_mix(reader.service).note_prefill(
                placement.prompt_tokens, message.seconds
            )
        self._place_from_queue(reader.service, now)
        self._on_change(now)

    def handle_run_ended(self, message: m.RunEnded, now: float) -> None:
        """Free the decode or plain server of a request."""
        if message.plain is not None:
            self.use.add_own(message.plain.name, ServerUse(0.0, -1, 0.0))
        if message.placement is None:
            return
        placement = message.placement
        use = placement.decode_use()
        self.use.add_own(placement.decode.name, ServerUse(-use.kv_tokens, -1, 0.0))
        service = placement.decode.service
        if message.succeeded:
            self.work_mix(service).note_decode(placement.kv_tokens, message.seconds)
        self._place_from_queue(service, now)
        self._on_change(now)

    def work_mix(self, service: str) -> WorkMix:
        """Return the measured work of a service."""
        return self._mixes.setdefault(service, WorkMix())
