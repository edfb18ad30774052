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
    RetryAfterPolicy,
    RetryBudget,
    ServerHealth,
    ServerRegistry,
    ServerUse,
    Shortage,
    WaitingQueue,
    WaitingRequest,
    WaitingTokens,
    WorkloadMix,
    choose_plain_server,
    place_generation,
    reserved_kv_tokens,
)
from sesameport.entry import messages as m
from sesameport.entry.contracts import EntryConfiguration
from sesameport.entry.server_watch import ServerWatch
from sesameport.entry.servers import EntryServer
from sesameport.entry.settings import EntrySettings
from sesameport.telemetry.logs import get_logger

__all__ = ["AdmissionDesk"]

PREFILL_SPEED_WEIGHT = 0.2
"""Weight of the newest prefill in a server's measured speed."""

log = get_logger("entry")


@attrs.define
class _Waiting:
    ask: m.AdmitGeneration
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
        Asks for a call of `serve_all` at a monotonic time.
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
        self.registry = ServerRegistry()
        self.use = FleetUse()
        self.health = ServerHealth()
        self.watch = ServerWatch(self.registry, self.health, on_change, self._rng)
        self.quota = FleetQuota()
        self.budget = RetryBudget(
            bounds.retry_ratio, bounds.retry_window_s, bounds.retry_slack
        )
        self._policy = PlacementPolicy()
        self._refusals = RetryAfterPolicy()
        self._rooms: dict[str, WaitingQueue] = {}
        self._waiting: dict[int, _Waiting] = {}
        self._speeds: dict[str, float] = {}
        self._mixes: dict[str, WorkloadMix] = {}
        self._told_waiting: dict[str, WaitingTokens] = {}

    # -- admission -------------------------------------------------------------

    def admit_plain(self, ask: m.AdmitPlain, now: float) -> m.Admitted | m.Refused:
        """Choose the server of a plain request."""
        if ask.is_first:
            refused = self._charge(ask, ask.service, now)
            if refused is not None:
                return refused
        servers = self.watch.usable(ask.service, now)
        server = choose_plain_server(
            self._data_centre,
            servers,
            self.use,
            self.health.cost_factor,
            ask.excluded,
        )
        if server is None:
            return m.Refused("no-server", self.retry_after())
        if ask.spends_budget and not self.budget.spend(ask.service, now):
            return m.Refused("no-retry-budget", self.retry_after())
        self.use.add_local(server.name, ServerUse(0.0, 1, 0.0))
        return m.Admitted(plain=server)

    def admit_generation(self, ask: m.AdmitGeneration, now: float) -> None:
        """Place a generation, let it wait or refuse it."""
        service = ask.generation.service
        if ask.is_first:
            refused = self._charge(ask, service, now)
            if refused is not None:
                ask.future.set(refused)
                return
        elif ask.spends_budget and not self.budget.spend(service, now):
            ask.future.set(m.Refused("no-retry-budget", self.retry_after()))
            return
        generation = ask.generation
        waiter = WaitingRequest(
            ask.key,
            now,
            ask.target_at,
            ask.leaves_at,
            ask.is_returning,
            ask.priority,
            reserved_kv_tokens(generation.prompt_tokens, generation.output_tokens),
        )
        room = self._rooms.setdefault(service, WaitingQueue())
        if not self._decode_servers(service, now):
            self._refuse(ask, "no-decode-server", now)
            return
        if not room.try_add(waiter):
            self._refuse(ask, "waiting-room-full", now)
            return
        self._waiting[ask.key] = _Waiting(ask, now)
        self._serve_room(service, now)
        if ask.key not in self._waiting:
            return
        refusal_s = self._hopeless_wait_s(service, waiter, now)
        lacks_reader = self._choose(ask, now) == Err(Shortage.PREFILL_SERVER)
        if refusal_s is not None and not lacks_reader:
            room.discard(ask.key)
            del self._waiting[ask.key]
            self._refuse(ask, "no-decode-memory-soon", now, refusal_s)
            return
        self._on_change(now)
        self._wake_at(room.late_at(waiter))
        self._wake_at(room.refuse_at(waiter))

    def _charge(self, ask, service: str, now: float) -> m.Refused | None:
        """Charge a request's workspace; returns the refusal if it is over its rate."""
        verdict = self.quota.charge(ask.workspace, ask.charge_tokens, now)
        if verdict.is_within:
            self.budget.record_request(service, now)
            return None
        log.info(
            "request over quota",
            extra={
                "request_id": ask.request_id,
                "workspace": ask.workspace,
                "charge": ask.charge_tokens,
                "bucket": round(verdict.level),
                "retry_after_s": round(verdict.retry_after_s, 2),
                **self._view_of_fleet(now),
            },
        )
        return m.Refused("over-quota", verdict.retry_after_s, True)

    def _view_of_fleet(self, now: float) -> dict:
        """Return how much and how fresh the knowledge of other hosts is."""
        return {
            "hosts_heard": len(self.use.hosts()),
            "oldest_report_s": round(self.use.oldest_report_s(now), 3),
        }

    def _hopeless_wait_s(
        self, service: str, waiter: WaitingRequest, now: float
    ) -> float | None:
        """Return the expected wait of a request that will not be served in time."""
        room = self._rooms[service]
        waiting = room.tokens(now).plus(self.use.remote_waiting(service))
        # Servers that nobody reaches give nothing back to this host's callers.
        reserved = sum(
            self.use.total_for(server.name).kv_tokens
            for server in self._decode_servers(service, now)
        )
        mean_reservation_s = self.mix(service).mean_reservation_s
        return room.excessive_wait_s(waiter, waiting, reserved, mean_reservation_s, now)

    def _decode_servers(self, service: str, now: float) -> list[EntryServer]:
        """Return the servers of a service that decode and can be reached."""
        return [item for item in self.watch.usable(service, now) if item.can_decode()]

    def _serve_room(self, service: str, now: float) -> None:
        room = self._rooms.get(service)
        if not room:
            return
        placed = False
        others_on_time = self.use.remote_waiting(service).on_time > 0
        for waiter in room.in_service_order(now):
            if others_on_time and room.is_late(waiter, now):
                # What is free is for callers at other hosts that can be in time.
                break
            waiting = self._waiting[waiter.key]
            match self._choose(waiting.ask, now):
                case Err(Shortage.MEMORY) if not waiting.ask.generation.excluded:
                    break
                case Err(_):
                    # A shorter prompt, or one that has failed nowhere, may still go.
                    continue
                case Ok(placement):
                    pass
            room.discard(waiter.key)
            del self._waiting[waiter.key]
            for name, change in placement.uses():
                self.use.add_local(name, change)
            waiting.ask.future.set(m.Admitted(placement, waited_s=now - waiting.since))
            self._log_placement(waiting.ask, placement, now)
            placed = True
        if placed:
            self._on_change(now)

    def _log_placement(self, ask: m.AdmitGeneration, placement, now: float) -> None:
        prefill = placement.prefill
        log.info(
            "generation placed",
            extra={
                "request_id": ask.request_id,
                "decode": placement.decode.name,
                "prefill": prefill.name if prefill else "",
                "kv_tokens": placement.kv_tokens,
                "decode_reserved": round(
                    self.use.total_for(placement.decode.name).kv_tokens
                ),
                **self._view_of_fleet(now),
            },
        )

    def _choose(
        self, ask: m.AdmitGeneration, now: float
    ) -> Result[Placement, Shortage]:
        service = self.configuration and self.configuration.service(
            ask.generation.service
        )
        if service is None or service.engine is None:
            return Err(Shortage.MEMORY)
        return place_generation(
            ask.generation,
            service.engine,
            self.watch.usable(service.name, now),
            self.use,
            self.health.cost_factor,
            self._policy,
            self._speeds,
            self.mix(service.name).mean_reservation_s,
        )

    def serve_all(self, now: float) -> None:
        """Place what fits now and refuse what has waited long enough."""
        for service in list(self._rooms):
            self._serve_room(service, now)
            self._refuse_expired(service, now)
            self._refuse_unservable(service, now)
        if self.waiting_tokens(now) != self._told_waiting:
            self._on_change(now)

    def waiting_tokens(self, now: float) -> dict[str, WaitingTokens]:
        """Return the KV cache for which requests wait, by service."""
        return {
            name: room.tokens(now) for name, room in self._rooms.items() if len(room)
        }

    def tell_waiting(self, now: float) -> dict[str, WaitingTokens]:
        """Return the same, and note that the other hosts are told."""
        self._told_waiting = self.waiting_tokens(now)
        return self._told_waiting

    def give_up(self, key: int) -> None:
        """Drop a waiting request without an answer, after an error."""
        waiting = self._waiting.pop(key, None)
        if waiting is not None:
            self._rooms[waiting.ask.generation.service].discard(key)

    def _refuse_expired(self, service: str, now: float) -> None:
        room = self._rooms.get(service)
        for waiter in room.pop_expired(now) if room else ():
            waiting = self._waiting.pop(waiter.key)
            self._refuse(waiting.ask, "no-decode-memory", now)

    def _refuse_unservable(self, service: str, now: float) -> None:
        """Refuse late requests that wait while no decode server can be reached.

        Those that can still make their target wait: a pause may end before.
        """
        room = self._rooms[service]
        if not len(room) or self._decode_servers(service, now):
            return
        for waiter in room.in_service_order(now):
            if not room.is_late(waiter, now):
                continue
            room.discard(waiter.key)
            waiting = self._waiting.pop(waiter.key)
            self._refuse(waiting.ask, "no-decode-server", now)

    def _refuse(
        self,
        ask: m.AdmitGeneration,
        reason: str,
        now: float,
        forecast_s: float = 0.0,
    ) -> None:
        self.quota.refund(ask.workspace, ask.charge_tokens)
        retry_after_s = self.retry_after()
        log.info(
            "generation not placed",
            extra={
                "request_id": ask.request_id,
                "service": ask.generation.service,
                "reason": reason,
                "forecast_s": round(forecast_s, 3),
                "is_returning": ask.is_returning,
                "retry_after_s": round(retry_after_s, 2),
                **self._view_of_fleet(now),
            },
        )
        ask.future.set(m.Refused(reason, retry_after_s))

    def retry_after(self) -> float:
        """Return when a refused caller should come back, seconds."""
        return self._refusals.choose_delay_s(self._rng)

    def withdraw(self, message: m.Withdraw, now: float) -> None:
        """Take back a waiting request whose caller left."""
        waiting = self._waiting.pop(message.key, None)
        if waiting is None:
            return
        self._rooms[message.service].discard(message.key)
        self.quota.refund(waiting.ask.workspace, waiting.ask.charge_tokens)

    def spend_repeat(self, message: m.SpendRepeat, now: float) -> bool:
        """Take one repeat from the budget of a service, if any is left."""
        return self.budget.spend(message.service, now)

    # -- what requests report --------------------------------------------------

    def prefill_ended(self, message: m.PrefillEnded, now: float) -> None:
        """Free the server that read a prompt and learn the speed of a prefill."""
        placement = message.placement
        prefill_server = placement.prefill_server
        if prefill_server is None:
            return
        name = prefill_server.name
        self.use.add_local(
            name, ServerUse(0.0, 0, -placement.prefill_use().prefill_tokens)
        )
        unread = placement.pending_use().pending_kv_tokens
        self.use.add_local(placement.decode.name, ServerUse(pending_kv_tokens=-unread))
        if placement.prefill is not None and message.succeeded and message.seconds > 0:
            speed = placement.prompt_tokens / message.seconds
            known = self._speeds.get(name, self._policy.prefill_tokens_per_s)
            self._speeds[name] = known + PREFILL_SPEED_WEIGHT * (speed - known)
            self.mix(prefill_server.service).record_prefill(
                placement.prompt_tokens, message.seconds
            )
        self._serve_room(prefill_server.service, now)
        self._on_change(now)

    def run_ended(self, message: m.RunEnded, now: float) -> None:
        """Free the decode or plain server of a request."""
        if message.plain is not None:
            self.use.add_local(message.plain.name, ServerUse(0.0, -1, 0.0))
        if message.placement is None:
            return
        placement = message.placement
        use = placement.decode_use()
        self.use.add_local(placement.decode.name, ServerUse(-use.kv_tokens, -1, 0.0))
        service = placement.decode.service
        if message.succeeded:
            self.mix(service).record_decode(placement.kv_tokens, message.seconds)
        self._serve_room(service, now)
        self._on_change(now)

    def mix(self, service: str) -> WorkloadMix:
        """Return the measured work of a service."""
        return self._mixes.setdefault(service, WorkloadMix())
