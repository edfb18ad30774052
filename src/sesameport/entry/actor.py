"""Keep one host's view of the fleet and hand messages to its admission desk."""

import math
import time

import pykka

from sesameport.admission import RouteTable
from sesameport.entry import messages as m
from sesameport.entry.desk import AdmissionDesk
from sesameport.entry.report_pacer import ReportPacer
from sesameport.entry.role_choice import RoleChooser
from sesameport.entry.settings import EntrySettings
from sesameport.telemetry.logs import get_logger

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

HOST_GONE_S = 600.0
"""Silence after which a host's registration is deleted, seconds: longer than regions
lose each other. A host that was only cut off registers again."""

log = get_logger("entry")


class TableView:
    """Give request threads the route table in force without asking the actor."""

    def __init__(self):
        self.table: RouteTable | None = None


class EntryActor(pykka.ThreadingActor):
    """Own the admission desk and exchange state with other hosts.

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
    on_suspects : callable
        Called with servers that a probe should try to reach.
    """

    use_daemon_thread = True

    def __init__(
        self, settings, view, peers, timers, metrics, on_configuration, on_suspects
    ):
        super().__init__()
        self._settings: EntrySettings = settings
        self._view = view
        self._peers = peers
        self._timers = timers
        self._metrics = metrics
        self._on_configuration = on_configuration
        self._on_suspects = on_suspects
        self._incarnation = time.time_ns()
        self._sequence = 0
        self._pacer = ReportPacer()
        self._desk = AdmissionDesk(settings, self._note_change, self._wake_at)
        self._roles = RoleChooser(settings.name, self._desk)
        self._addresses: dict[str, str] = {}
        self._peer_sequences: dict[str, tuple[int, int]] = {}
        self._heard_at: dict[str, float] = {}
        self._reported_at = 0.0
        self._snapshot_at = 0.0
        self._snapshot_due = False
        self._snapshot_asked_at = -math.inf
        self._asked_at = -math.inf
        self._store_reachable = False
        self._had_store = False
        desk = self._desk
        self._handlers = {
            m.AdmitGeneration: desk.admit_generation,
            m.AdmitPlain: desk.admit_plain,
            m.PrefillEnded: desk.prefill_ended,
            m.RunEnded: desk.run_ended,
            m.Withdraw: desk.withdraw,
            m.SpendRepeat: desk.spend_repeat,
            m.ServerOutcome: desk.watch.note_outcome,
            m.Probed: self._take_probes,
            m.RoleOrdered: self._role_ordered,
            m.NextRoleChange: lambda message, now: self._roles.next_change(now),
            m.FleetReport: self._take_report,
            m.Tick: self._tick,
            m.ReportDue: self._report_due,
            m.Configure: self._configure,
            m.Reload: self._take_settings,
            m.ServersListed: self._take_servers,
            m.ServersChanged: self._take_servers,
            m.HostsChanged: self._take_hosts,
            m.FleetSnapshot: self._take_snapshot,
            m.StoreState: self._note_store,
            m.AskCounts: self._counts,
            m.AskGoneHosts: self._gone_hosts,
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
            refused = m.Refused("internal-error", self._desk.retry_after())
            if isinstance(message, m.AdmitGeneration):
                self._desk.give_up(message.key)
                message.future.set(refused)
            return refused if isinstance(message, m.AdmitPlain) else None

    def _role_ordered(self, message: m.RoleOrdered, now: float) -> None:
        until = now + message.seconds
        self._roles.note_ordered(message.server, message.role, until)
        self._desk.watch.role_ordered(message, now)

    def _wake_at(self, when: float) -> None:
        actor_ref = self.actor_ref
        self._timers.call_at("waiting", when, lambda at: actor_ref.tell(m.Tick(at)))

    def _counts(self, message: m.AskCounts, now: float) -> m.Counts:
        desk = self._desk
        return m.Counts(len(desk.registry.all()), len(desk.use.hosts()))

    def _gone_hosts(self, message: m.AskGoneHosts, now: float) -> tuple[str, ...]:
        """Return registered hosts that are silent for long, if this host cleans up."""
        if min([self._settings.name, *self._desk.use.hosts()]) != self._settings.name:
            return ()
        return tuple(
            name
            for name, at in self._heard_at.items()
            if now - at > HOST_GONE_S and name in self._addresses
        )

    # -- the fleet -------------------------------------------------------------

    def _note_change(self, now: float) -> None:
        at = self._pacer.note_change(now)
        if at is None:
            return
        if at <= now:
            self._report(now)
            return
        actor_ref = self.actor_ref
        self._timers.call_at("report", at, lambda _: actor_ref.tell(m.ReportDue()))

    def _report_due(self, message: m.ReportDue, now: float) -> None:
        if self._pacer.is_due:
            self._report(now)

    def _report(self, now: float) -> None:
        self._reported_at = now
        self._pacer.note_sent(now)
        self._sequence += 1
        version = self._desk.configuration.version if self._desk.configuration else 0
        self._peers.publish(
            m.FleetReport(
                self._settings.name,
                self._incarnation,
                self._sequence,
                dict(self._desk.use.local),
                self._desk.quota.charged(),
                version,
                self._desk.health.pauses(now),
                self._desk.tell_waiting(now),
                self._desk.health.unreachable(now),
            )
        )

    def _take_report(self, report: m.FleetReport, now: float) -> None:
        known = self._peer_sequences.get(report.host)
        if known is None or known[0] < report.incarnation:
            log.info("host heard", extra={"peer": report.host})
        elif known >= (report.incarnation, report.sequence):
            return
        self._peer_sequences[report.host] = (report.incarnation, report.sequence)
        self._heard_at[report.host] = now
        self._desk.use.apply_report(report.host, report.uses, now, report.waiting)
        self._desk.quota.apply_report(
            report.host, report.incarnation, report.charged, now
        )
        self._desk.health.apply_pauses(report.paused, report.unreachable, now)
        self._desk.serve_all(now)

    def _snapshot_wanted(self, message: m.SnapshotWanted, now: float) -> None:
        self._snapshot_due = True
        self._snapshot_asked_at = now
        self._publish_snapshot(now)

    def _publish_snapshot(self, now: float) -> None:
        if not self._snapshot_due or self._desk.configuration is None:
            return
        if now - self._snapshot_at < SNAPSHOT_PERIOD_S:
            return
        self._snapshot_due = False
        self._snapshot_at = now
        self._peers.publish(
            m.FleetSnapshot(
                self._settings.name,
                self._store_reachable,
                self._desk.configuration,
                tuple(self._desk.registry.all()),
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
        if snapshot.is_current or not self._desk.registry.all():
            self._replace_servers(snapshot.servers, now)
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
        known = self._desk.configuration.version if self._desk.configuration else 0
        if configuration.version <= known:
            return
        self._desk.configuration = configuration
        self._desk.quota.configure(configuration.workspaces, now)
        self._view.table = RouteTable.from_configuration(configuration)
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
            self._replace_servers(message.servers, now)
        else:
            self._note_servers(message.changed)
            for server in message.changed:
                self._desk.registry.put(server)
            for name in message.removed:
                self._note_lost(name, now)
                self._desk.registry.remove(name, now)
                log.info("server entry removed", extra={"server": name})
                self._desk.health.remove_server(name)
        self._note_news(now)
        self._desk.serve_all(now)

    def _replace_servers(self, servers, now: float) -> None:
        self._note_servers(servers)
        before = {server.name for server in self._desk.registry.all()}
        self._desk.registry.replace(servers, now)
        left = {server.name for server in self._desk.registry.all()}
        for name in sorted(before - left):
            log.info("server not listed any more", extra={"server": name})
            self._desk.health.remove_server(name)

    def _note_lost(self, name: str, now: float) -> None:
        server = self._desk.registry.get(name)
        if server is not None:
            self._roles.note_lost(server.service, now)

    def _note_servers(self, servers) -> None:
        """Log and note what is new about servers."""
        for server in servers:
            known = self._desk.registry.get(server.name)
            if known == server:
                continue
            if known is None:
                self._roles.note_joined(server.service, time.monotonic())
            if known is not None and (
                known.started_at_ms != server.started_at_ms or known.role != server.role
            ):
                self._desk.health.remove_server(server.name)
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
        others = [name for name in addresses if name != self._settings.name]
        self._heard_at = {name: self._heard_at.get(name, now) for name in others}
        self._desk.budget.hosts = max(1, len(addresses))
        self._pacer.hosts = max(1, len(others))
        self._peers.connect(
            set(addresses.values()) | set(self._settings.seed_addresses)
        )

    def _take_settings(self, message: m.Reload, now: float) -> None:
        self._settings = message.settings
        bounds = message.settings.bounds
        self._desk.budget.update_limits(
            bounds.retry_ratio, bounds.retry_window_s, bounds.retry_slack
        )
        if self._addresses:
            self._take_hosts(m.HostsChanged(self._addresses), now)

    def _note_store(self, message: m.StoreState, now: float) -> None:
        is_reachable = message.is_reachable
        if is_reachable == self._store_reachable:
            return
        self._store_reachable = is_reachable
        if is_reachable:
            # The first contact ends no outage: what is removed after it is gone.
            if self._had_store:
                self._desk.registry.record_store_recovery(now)
            self._had_store = True
            self._peers.ask_snapshots(False)
            log.info("store regained")
        else:
            log.warning("store lost")
        self._metrics.set("sesameport_entry_store_reachable", int(is_reachable))

    def _tick(self, message: m.Tick, now: float) -> None:
        for host in self._desk.use.expire(now):
            self._peer_sequences.pop(host, None)
            log.warning("host silent", extra={"peer": host})
        for name in self._desk.registry.expire(now):
            log.info("server lapsed", extra={"server": name})
            self._desk.health.remove_server(name)
        self._desk.serve_all(now)
        self._ask_snapshots(now)
        self._publish_snapshot(now)
        self._probe_suspects(now)
        if now - self._reported_at >= REPORT_PERIOD_S:
            self._report(now)

    def _take_probes(self, message: m.Probed, now: float) -> None:
        self._desk.watch.note_probes(message, now)
        self._desk.serve_all(now)

    def _probe_suspects(self, now: float) -> None:
        probe_targets = self._desk.watch.probe_targets(now)
        if probe_targets:
            self._on_suspects(probe_targets)
