"""Hold the state that admission and placement of one host decide on."""

import math
import random
import time

import attrs
import pykka

from sesameport.admission import (
    FleetQuota,
    FleetUse,
    PlacementPolicy,
    RefusalTimes,
    RetryBudget,
    RolePlanner,
    RouteTable,
    ServerDirectory,
    ServerHealth,
    ServerUse,
    Waiter,
    WaitingRoom,
    WorkMix,
    choose_generation,
    choose_plain,
    forecast_wait_s,
    kv_tokens,
)
from sesameport.entry import messages as m
from sesameport.entry.contracts import EntryConfiguration
from sesameport.entry.role_keeper import RoleChange
from sesameport.entry.settings import EntrySettings
from sesameport.telemetry.logs import get_logger
from sesameport.world import ServerRole

__all__ = ["EntryActor", "TableView"]

REPORT_PERIOD_S = 1.0
"""Longest time between two reports of a host, seconds."""

SNAPSHOT_PERIOD_S = 0.5
"""Shortest time between two snapshots for hosts without the store, seconds."""

ASK_PERIOD_S = 2.0
"""Period at which such a host asks for snapshots, seconds: hosts that start meanwhile
have not heard its first question."""

SNAPSHOT_INTEREST_S = 5.0
"""Time after a question for which changes are published as snapshots, seconds."""

PREFILL_SPEED_WEIGHT = 0.2
"""Weight of the newest prefill in a server's measured speed."""

log = get_logger("entry")


class TableView:
    """Give request threads the route table in force without asking the actor."""

    def __init__(self):
        self.table: RouteTable | None = None


@attrs.define
class _Waiting:
    ask: m.AdmitGeneration
    since: float


class EntryActor(pykka.ThreadingActor):
    """Admit requests, place them and keep account of what the fleet uses.

    Parameters
    ----------
    settings : EntrySettings
        Identity and bounds of this host.
    view : TableView
        Set to each new route table.
    peers : PeerExchange
        Takes reports for the other hosts.
    timers : TimerService
        Wakes the actor when a request has waited long enough.
    metrics : Metrics
        Counters and gauges.
    on_configuration : callable
        Called with each new configuration.
    """

    use_daemon_thread = True

    def __init__(self, settings, view, peers, timers, metrics, on_configuration=None):
        super().__init__()
        self._settings: EntrySettings = settings
        self._view = view
        self._peers = peers
        self._timers = timers
        self._metrics = metrics
        self._on_configuration = on_configuration or (lambda configuration: None)
        self._rng = random.Random()
        self._incarnation = time.time_ns()
        self._sequence = 0
        self._configuration: EntryConfiguration | None = None
        self._directory = ServerDirectory()
        self._use = FleetUse()
        self._health = ServerHealth()
        self._quota = FleetQuota()
        bounds = settings.bounds
        self._budget = RetryBudget(
            bounds.retry_ratio, bounds.retry_window_s, bounds.retry_slack
        )
        self._policy = PlacementPolicy()
        self._refusals = RefusalTimes()
        self._rooms: dict[str, WaitingRoom] = {}
        self._waiting: dict[int, _Waiting] = {}
        self._speeds: dict[str, float] = {}
        self._mixes: dict[str, WorkMix] = {}
        self._addresses: dict[str, str] = {}
        self._peer_sequences: dict[str, tuple[int, int]] = {}
        self._reported_at = 0.0
        self._snapshot_at = 0.0
        self._snapshot_due = False
        self._snapshot_asked_at = -math.inf
        self._asked_at = -math.inf
        self._store_reachable = False
        self._lost_at: dict[str, float] = {}
        self._handlers = {
            m.AdmitGeneration: self._admit_generation,
            m.AdmitPlain: self._admit_plain,
            m.PrefillEnded: self._prefill_ended,
            m.RunEnded: self._run_ended,
            m.Withdraw: self._withdraw,
            m.ServerOutcome: self._note_outcome,
            m.SpendRetry: self._spend_retry,
            m.FleetReport: self._take_report,
            m.Tick: self._tick,
            m.Configure: self._configure,
            m.ServersListed: self._take_servers,
            m.ServersChanged: self._take_servers,
            m.HostsChanged: self._take_hosts,
            m.FleetSnapshot: self._take_snapshot,
            m.StoreState: self._note_store,
            m.NextRoleChange: self._next_role_change,
            m.RoleOrdered: self._role_ordered,
            m.AskCounts: self._counts,
            m.SnapshotWanted: self._snapshot_wanted,
        }

    # -- messages --------------------------------------------------------------

    def on_receive(self, message):
        """Handle one message; see ``entry.messages``."""
        handler = self._handlers.get(type(message))
        if handler is None:
            log.error("unknown message", extra={"type": type(message).__name__})
            return None
        try:
            return handler(message, time.monotonic())
        except Exception as exc:
            # An actor that raises is stopped, and the host could serve nobody then.
            log.error(
                "message failed",
                extra={"type": type(message).__name__, "error": repr(exc)},
            )
            refused = m.Refused("internal-error", self._retry_after())
            if isinstance(message, m.AdmitGeneration):
                self._waiting.pop(message.key, None)
                message.future.set(refused)
            return refused if isinstance(message, m.AdmitPlain) else None

    # -- admission -------------------------------------------------------------

    def _admit_plain(self, ask: m.AdmitPlain, now: float):
        if ask.is_first:
            verdict = self._quota.charge(ask.workspace, ask.charge_tokens, now)
            if not verdict.is_within:
                return m.Refused("over-quota", verdict.retry_after_s, True)
            self._budget.note_request(ask.service, now)
        servers = self._usable(ask.service, now)
        server = choose_plain(
            self._settings.data_centre,
            servers,
            self._use,
            self._health.cost_factor,
            ask.excluded,
        )
        if server is None:
            return m.Refused("no-server", self._retry_after())
        if ask.spends_budget and not self._budget.spend(ask.service, now):
            return m.Refused("no-retry-budget", self._retry_after())
        self._use.add_own(server.name, ServerUse(0.0, 1, 0.0))
        return m.Admitted(plain=server)

    def _admit_generation(self, ask: m.AdmitGeneration, now: float) -> None:
        service = ask.generation.service
        if ask.is_first:
            verdict = self._quota.charge(ask.workspace, ask.charge_tokens, now)
            if not verdict.is_within:
                ask.future.set(m.Refused("over-quota", verdict.retry_after_s, True))
                return
            self._budget.note_request(service, now)
        elif ask.spends_budget and not self._budget.spend(service, now):
            ask.future.set(m.Refused("no-retry-budget", self._retry_after()))
            return
        generation = ask.generation
        waiter = Waiter(
            ask.key,
            now,
            ask.target_at,
            ask.is_returning,
            ask.priority,
            kv_tokens(generation.prompt_tokens, generation.output_tokens),
        )
        room = self._rooms.setdefault(service, WaitingRoom())
        if not room.enter(waiter):
            self._refuse(ask, "waiting-room-full")
            return
        self._waiting[ask.key] = _Waiting(ask, now)
        self._serve_room(service, now)
        if ask.key not in self._waiting:
            return
        give_up_at = room.give_up_at(waiter)
        forecast_s = self._forecast_s(service, waiter)
        if forecast_s > room.can_wait_s(waiter):
            room.leave(ask.key)
            del self._waiting[ask.key]
            self._refuse(ask, "no-decode-memory-soon", forecast_s)
            return
        self._report(now)
        actor_ref = self.actor_ref
        self._timers.call_at(
            "waiting", give_up_at, lambda at: actor_ref.tell(m.Tick(at))
        )

    def _forecast_s(self, service: str, waiter: Waiter) -> float:
        """Return how long a waiting request is expected to wait, seconds."""
        room = self._rooms[service]
        ahead = room.tokens() - waiter.kv_tokens
        ahead += self._use.waiting_elsewhere(service)
        reserved = sum(
            self._use.of(server.name).kv_tokens
            for server in self._directory.of_service(service)
        )
        held_s = self._mix(service).held_s
        return forecast_wait_s(ahead, waiter.kv_tokens, reserved, held_s)

    def _serve_room(self, service: str, now: float) -> None:
        room = self._rooms.get(service)
        placed = False
        for waiter in room.in_order() if room else ():
            waiting = self._waiting[waiter.key]
            placement = self._choose(waiting.ask, now)
            if placement is None:
                break
            room.leave(waiter.key)
            del self._waiting[waiter.key]
            self._use.add_own(placement.decode.name, placement.decode_use())
            if placement.prefill is not None:
                self._use.add_own(placement.prefill.name, placement.prefill_use())
            waiting.ask.future.set(m.Admitted(placement, waited_s=now - waiting.since))
            placed = True
        if placed:
            self._report(now)

    def _choose(self, ask: m.AdmitGeneration, now: float):
        service = self._configuration and self._configuration.service(
            ask.generation.service
        )
        if service is None or service.engine is None:
            return None
        return choose_generation(
            ask.generation,
            service.engine,
            self._usable(service.name, now),
            self._use,
            self._health.cost_factor,
            self._policy,
            self._speeds,
        )

    def _refuse_expired(self, service: str, now: float) -> None:
        room = self._rooms.get(service)
        for waiter in room.expired(now) if room else ():
            waiting = self._waiting.pop(waiter.key)
            self._refuse(waiting.ask, "no-decode-memory")

    def _refuse(
        self, ask: m.AdmitGeneration, reason: str, forecast_s: float = 0.0
    ) -> None:
        self._quota.refund(ask.workspace, ask.charge_tokens)
        retry_after_s = self._retry_after()
        log.info(
            "generation not placed",
            extra={
                "request_id": ask.request_id,
                "service": ask.generation.service,
                "reason": reason,
                "forecast_s": round(forecast_s, 3),
                "is_returning": ask.is_returning,
                "retry_after_s": round(retry_after_s, 2),
                "hosts_heard": len(self._use.hosts()),
            },
        )
        ask.future.set(m.Refused(reason, retry_after_s))

    def _retry_after(self) -> float:
        return self._refusals.choose(self._rng)

    def _spend_retry(self, message: m.SpendRetry, now: float) -> bool:
        return self._budget.spend(message.service, now)

    def _withdraw(self, message: m.Withdraw, now: float) -> None:
        waiting = self._waiting.pop(message.key, None)
        if waiting is None:
            return
        self._rooms[message.service].leave(message.key)
        self._quota.refund(waiting.ask.workspace, waiting.ask.charge_tokens)

    def _usable(self, service: str, now: float):
        found = []
        for server in self._directory.of_service(service):
            if self._health.is_paused(server.name, now):
                continue
            found.append(server)
        return found

    # -- what requests report --------------------------------------------------

    def _prefill_ended(self, message: m.PrefillEnded, now: float) -> None:
        placement = message.placement
        if placement.prefill is None:
            return
        use = placement.prefill_use()
        name = placement.prefill.name
        self._use.add_own(name, ServerUse(0.0, 0, -use.prefill_tokens))
        if message.succeeded and message.seconds > 0:
            speed = placement.prompt_tokens / message.seconds
            known = self._speeds.get(name, self._policy.prefill_tokens_per_s)
            self._speeds[name] = known + PREFILL_SPEED_WEIGHT * (speed - known)
            self._mix(placement.prefill.service).note_prefill(message.seconds)
        self._serve_room(placement.prefill.service, now)
        self._report(now)

    def _run_ended(self, message: m.RunEnded, now: float) -> None:
        if message.plain is not None:
            self._use.add_own(message.plain.name, ServerUse(0.0, -1, 0.0))
        if message.placement is None:
            return
        placement = message.placement
        use = placement.decode_use()
        self._use.add_own(placement.decode.name, ServerUse(-use.kv_tokens, -1, 0.0))
        service = placement.decode.service
        if message.succeeded:
            self._mix(service).note_decode(placement.kv_tokens, message.seconds)
        self._serve_room(service, now)
        self._report(now)

    def _mix(self, service: str) -> WorkMix:
        return self._mixes.setdefault(service, WorkMix())

    def _note_outcome(self, message: m.ServerOutcome, now: float) -> None:
        server = message.server
        was_paused = self._health.is_paused(server, now)
        if message.unreachable:
            self._health.note_unreachable(server, now)
        elif message.refused:
            self._health.note_refused(server, now)
        elif message.kv_refused:
            self._health.note_decode_refused(server, now)
            if not self._health.is_paused(server, now):
                return
        else:
            self._health.note_answered(server, message.failed)
            return
        if not was_paused:
            reason = "unreachable" if message.unreachable else "refuses work"
            log.warning("server paused", extra={"server": server, "reason": reason})
            self._report(now)

    def _counts(self, message: m.AskCounts, now: float) -> m.Counts:
        return m.Counts(len(self._directory.all()), len(self._use.hosts()))

    def _role_ordered(self, message: m.RoleOrdered, now: float) -> None:
        self._health.pause(message.server, message.seconds, now)
        self._report(now)

    # -- the fleet -------------------------------------------------------------

    def _report(self, now: float) -> None:
        self._reported_at = now
        self._sequence += 1
        uses = {
            name: m.UseEntry(use.kv_tokens, use.runs, use.prefill_tokens)
            for name, use in self._use.own.items()
        }
        version = self._configuration.version if self._configuration else 0
        self._peers.publish(
            m.FleetReport(
                self._settings.name,
                self._incarnation,
                self._sequence,
                uses,
                self._quota.charged(),
                version,
                self._health.pauses(now),
                {
                    service: room.tokens()
                    for service, room in self._rooms.items()
                    if len(room)
                },
            )
        )

    def _take_report(self, report: m.FleetReport, now: float) -> None:
        known = self._peer_sequences.get(report.host)
        if known is None or known[0] < report.incarnation:
            log.info("host heard", extra={"peer": report.host})
        elif known >= (report.incarnation, report.sequence):
            return
        self._peer_sequences[report.host] = (report.incarnation, report.sequence)
        uses = {
            name: ServerUse(use.kv_tokens, use.runs, use.prefill_tokens)
            for name, use in report.uses.items()
        }
        self._use.take_report(report.host, uses, now, report.waiting)
        self._quota.take_report(report.host, report.incarnation, report.charged, now)
        self._health.take_pauses(report.paused, now)
        for service in list(self._rooms):
            self._serve_room(service, now)

    def _snapshot_wanted(self, message: m.SnapshotWanted, now: float) -> None:
        self._snapshot_due = True
        self._snapshot_asked_at = now
        self._publish_snapshot(now)

    def _publish_snapshot(self, now: float) -> None:
        if not self._snapshot_due or self._configuration is None:
            return
        if now - self._snapshot_at < SNAPSHOT_PERIOD_S:
            return
        self._snapshot_due = False
        self._snapshot_at = now
        self._peers.publish(
            m.FleetSnapshot(
                self._settings.name,
                self._store_reachable,
                self._configuration,
                tuple(self._directory.all()),
                dict(self._addresses),
            )
        )

    def _note_news(self, now: float) -> None:
        """Pass a change on to hosts that asked for snapshots lately."""
        if now - self._snapshot_asked_at < SNAPSHOT_INTEREST_S:
            self._snapshot_due = True
            self._publish_snapshot(now)

    def _take_snapshot(self, snapshot: m.FleetSnapshot, now: float) -> None:
        if self._store_reachable:
            return
        if snapshot.configuration is not None:
            source = f"host {snapshot.host}"
            self._configure(m.Configure(snapshot.configuration, source), now)
        if snapshot.is_current or not self._directory.all():
            self._log_servers(snapshot.servers)
            self._directory.replace(snapshot.servers, now)
        if not self._addresses:
            self._take_hosts(m.HostsChanged(snapshot.addresses), now)

    def _ask_snapshots(self, now: float) -> None:
        """Ask the other hosts while this one does not reach the store."""
        if self._store_reachable or now - self._asked_at < ASK_PERIOD_S:
            return
        self._asked_at = now
        self._peers.ask_snapshots(True)

    def _configure(self, message: m.Configure, now: float) -> None:
        configuration = message.configuration
        known = self._configuration.version if self._configuration else 0
        if configuration.version <= known:
            return
        self._configuration = configuration
        self._quota.configure(configuration.workspaces, now)
        self._view.table = RouteTable.of(configuration)
        self._on_configuration(configuration)
        self._metrics.set("sesameport_entry_version", configuration.version)
        self._note_news(now)
        log.info(
            "configuration in force",
            extra={
                "version": configuration.version,
                "before": known,
                "source": message.source,
            },
        )

    def _take_servers(self, message, now: float) -> None:
        if isinstance(message, m.ServersListed):
            self._log_servers(message.servers)
            self._directory.replace(message.servers, now)
        else:
            self._log_servers(message.changed)
            for server in message.changed:
                self._directory.put(server)
            for name in message.removed:
                self._note_lost(name, now)
                self._directory.remove(name, now)
                log.info("server entry removed", extra={"server": name})
        self._note_news(now)
        for service in list(self._rooms):
            self._serve_room(service, now)

    def _note_lost(self, name: str, now: float) -> None:
        server = self._directory.get(name)
        if server is not None:
            self._lost_at[server.service] = now

    def _log_servers(self, servers) -> None:
        for server in servers:
            known = self._directory.get(server.name)
            if known == server:
                continue
            if known is not None and (
                known.started_at_ms != server.started_at_ms or known.role != server.role
            ):
                self._health.forget(server.name)
            log.info(
                "server entry",
                extra={
                    "server": server.name,
                    "service": server.service,
                    "address": server.address,
                    "role": str(server.role),
                    "state": str(server.state),
                    "started_at_ms": server.started_at_ms,
                },
            )

    def _take_hosts(self, message: m.HostsChanged, now: float) -> None:
        addresses = message.addresses
        self._addresses = dict(addresses)
        self._budget.hosts = max(1, len(addresses))
        self._peers.connect(
            set(addresses.values()) | set(self._settings.seed_addresses)
        )

    def _note_store(self, message: m.StoreState, now: float) -> None:
        is_reachable = message.is_reachable
        if is_reachable == self._store_reachable:
            return
        self._store_reachable = is_reachable
        if is_reachable:
            self._directory.note_regained(now)
            self._peers.ask_snapshots(False)
            log.info("store regained")
        else:
            log.warning("store lost")
        self._metrics.set("sesameport_entry_store_reachable", int(is_reachable))

    def _tick(self, message: m.Tick, now: float) -> None:
        for host in self._use.expire(now):
            self._peer_sequences.pop(host, None)
            log.warning("host silent", extra={"peer": host})
        for name in self._directory.expire(now):
            log.info("server lapsed", extra={"server": name})
        for service in list(self._rooms):
            self._serve_room(service, now)
            self._refuse_expired(service, now)
        self._ask_snapshots(now)
        self._publish_snapshot(now)
        if now - self._reported_at >= REPORT_PERIOD_S:
            self._report(now)

    # -- roles -------------------------------------------------------------

    def _next_role_change(self, message: m.NextRoleChange, now: float):
        """Return the change of an engine's role that pays, planned by one host."""
        hosts = [self._settings.name, *self._use.hosts()]
        if self._configuration is None or min(hosts) != self._settings.name:
            return None
        for service in self._configuration.services:
            if service.engine is None:
                continue
            change = self._role_change_of(service, now)
            if change is not None:
                return change
        return None

    def _role_change_of(self, service, now: float) -> RoleChange | None:
        servers = self._directory.of_service(service.name)
        lost_at = self._lost_at.get(service.name, -math.inf)
        planner = RolePlanner(self._mix(service.name), now - lost_at)
        prefill = [item for item in servers if item.role == ServerRole.PREFILL]
        decode = [item for item in servers if item.role == ServerRole.DECODE]
        step = planner.next_change(len(prefill), len(decode), service.engine.kv_tokens)
        if step == 0:
            return None
        candidates = prefill if step > 0 else decode
        idlest = min(candidates, key=lambda item: self._load_of(item.name))
        role = ServerRole.DECODE if step > 0 else ServerRole.PREFILL
        log.info(
            "role change planned",
            extra={
                "server": idlest.name,
                "role": str(role),
                "prefill": len(prefill),
                "decode": len(decode),
                "prefill_s": round(planner.mix.prefill_s, 4),
                "kv_token_s": round(planner.mix.kv_token_s),
            },
        )
        return RoleChange(idlest, role)

    def _load_of(self, server: str) -> tuple[float, float, str]:
        use = self._use.of(server)
        return (use.kv_tokens, use.prefill_tokens, server)
