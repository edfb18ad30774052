"""Handle the messages of one entry host and exchange state with the other hosts."""

import contextlib
import queue
import time

import pykka

from sesameport.admission import Evacuations, RequestLimits, RouteTable
from sesameport.entry import messages as m
from sesameport.entry.admission_controller import AdmissionController
from sesameport.entry.cold_exchange import ColdExchange
from sesameport.entry.evacuation_controller import EvacuationController
from sesameport.entry.fleet_queries import FleetQueries
from sesameport.entry.host_addresses import HostAddresses, log_hosts
from sesameport.entry.learned_servers import LearnedServers
from sesameport.entry.notice_exchange import NoticeExchange
from sesameport.entry.placement_explainer import PlacementExplainer
from sesameport.entry.report_sender import ReportSender
from sesameport.entry.retry_exchange import RetryExchange
from sesameport.entry.revision_exchange import RevisionExchange
from sesameport.entry.role_change_selector import RoleChangeSelector
from sesameport.entry.server_entries import ServerEntries
from sesameport.entry.settings import EntrySettings
from sesameport.entry.snapshot_schedule import SnapshotSchedule
from sesameport.entry.speed_exchange import SpeedExchange
from sesameport.entry.stopping import HostStopping
from sesameport.telemetry.logs import get_logger

__all__ = ["EntryActor"]

log = get_logger("entry")


class EntryActor(pykka.ThreadingActor):
    """Run the admission controller and exchange state with other hosts.

    Parameters
    ----------
    settings : EntrySettings
        Identity and bounds of this host.
    routes : CurrentRoutes
        Receives each new route table.
    peers : PeerExchange
        Sends reports and snapshots to the other hosts.
    timers : TimerService
        Wakes the actor when the wait of a request ends.
    metrics : Metrics
        Counters and gauges.
    on_config : callable
        Called with each new configuration.
    on_probe_targets : callable
        Called with the servers that need a probe.
    on_hosts : callable
        Called with the number of hosts and whether new ones report.
    on_missed : callable
        Called with what this host should read from the store again; see `Missed`.
    limits : RequestLimits
        What servers say of themselves and which are cold; changed by this actor only.
    evacuations : Evacuations
        Data centres whose servers get nothing; changed by this actor only.
    """

    use_daemon_thread = True

    def __init__(
        self,
        settings,
        routes,
        peers,
        timers,
        metrics,
        on_config,
        on_probe_targets,
        on_hosts,
        on_missed,
        limits: RequestLimits,
        evacuations: Evacuations,
    ):
        super().__init__()
        self._settings: EntrySettings = settings
        self._routes = routes
        self._peers = peers
        self._timers = timers
        self._metrics = metrics
        self._on_config = on_config
        self._on_probe_targets = on_probe_targets
        self._on_hosts = on_hosts
        self._revisions = RevisionExchange(
            settings.name,
            peers.publish,
            on_missed,
            lambda: self._admission.configuration,
            metrics,
            is_registered=lambda name: self._admission.registry.get(name) is not None,
        )
        self._reports = ReportSender(
            settings.name, peers.publish, self._call_for_report
        )
        learned = LearnedServers(settings.data_centre)
        self._admission = AdmissionController(
            settings,
            lambda now: self._reports.record_change(self._admission, now),
            self._wake_at,
            limits=limits,
            publish=peers.publish,
            started_at=time.monotonic(),
            evacuations=evacuations,
            learned=learned,
        )
        self._speeds = SpeedExchange(learned, self._admission, peers.publish, metrics)
        registry, notices = self._admission.registry, limits.notices
        self._notices = NoticeExchange(registry, notices, peers.publish, metrics)
        self._cold = ColdExchange(
            registry,
            limits.cold,
            peers.publish,
            self._wake_at,
            metrics,
            time.monotonic(),
        )
        self._selector = RoleChangeSelector(settings.name, self._admission)
        admission = self._admission
        self._entries = ServerEntries(
            registry,
            admission.health,
            notices,
            self._selector,
            evacuations,
            self._cold,
            learned,
        )
        self._evacuations = EvacuationController(
            evacuations,
            registry,
            admission.use,
            metrics,
            settings.name,
            peers.publish,
            on_missed,
            self._handle_evacuation_ended,
        )
        self._addresses = HostAddresses(settings.name)
        self._new_peers: list[str] = []
        self._peer_sequences: dict[str, tuple[int, int]] = {}
        self._snapshots = SnapshotSchedule()
        self._store_reachable = False
        self._had_store_contact = False
        self._retries = RetryExchange(
            settings.name, admission.budget, admission.use, peers.publish
        )
        self._exchanges = (
            self._notices,
            self._cold,
            self._speeds,
            self._retries,
            self._revisions,
        )
        queries = FleetQueries(settings.name, admission, self._addresses)
        explainer = PlacementExplainer(admission, learned, settings.data_centre)
        self._handlers = {
            **self._speeds.handlers(),
            **self._revisions.handlers(),
            m.ExplainPlacement: explainer.explain,
            m.AdmitPlain: admission.admit_plain,
            m.CancelWait: admission.cancel_wait,
            m.CancelPlainWait: admission.cancel_plain_wait,
            HostStopping: admission.stop,
            m.MemoryRefused: admission.record_refused_memory,
            m.ConsumeRetry: admission.consume_retry,
            m.CallOutcome: admission.monitor.record_outcome,
            m.ServerNoticed: self._record_notice,
            m.NoticeReports: self._apply_notices,
            m.ColdReports: self._cold.apply_reports,
            m.RetryReport: self._retries.apply,
            m.PermitRequest: admission.permits.handle_request,
            m.PermitReply: self._apply_permits,
            m.ProbeResult: self._handle_probe_result,
            m.RoleChangeOrdered: self._handle_role_ordered,
            m.GetNextRoleChange: lambda message, now: self._selector.next_change(now),
            m.HostReports: self._handle_reports,
            m.Tick: self._handle_tick,
            m.MessagesHandled: lambda message, now: message.done(),
            m.ReportDue: lambda message, now: self._reports.send_due(admission, now),
            m.ApplyConfiguration: self._configure,
            m.ApplySettings: self._apply_settings,
            m.ServersListed: self._apply_servers,
            m.ServersChanged: self._apply_servers,
            m.EvacuationReport: self._evacuations.record_report,
            m.EvacuationsListed: self._apply_evacuations,
            m.EvacuationsChanged: self._apply_evacuations,
            m.HostsChanged: self._apply_hosts,
            m.HostAnnounced: self._add_host,
            m.FleetSnapshot: self._apply_snapshot,
            m.StoreConnectivity: self._apply_connectivity,
            m.StoreEraBegan: self._begin_era,
            m.GetFleetCounts: queries.counts,
            m.GetUsableServers: queries.usable_servers,
            m.GetExpiredHosts: queries.expired_hosts,
            m.SnapshotRequested: self._serve_snapshot,
            m.SuspectReports: lambda message, now: peers.publish(message),
        }

    def on_receive(self, message):
        """Handle one message; see ``entry.messages``."""
        handler = self._handlers.get(type(message))
        if handler is None:
            log.error("unknown message", extra={"type": type(message).__name__})
            return None
        try:
            return handler(message, time.monotonic())
        except Exception as exc:
            # pykka stops an actor that raises, and the host could not serve any more.
            log.error(
                "message failed",
                extra={"type": type(message).__name__, "error": repr(exc)},
            )
            refused = m.Refused("internal-error", self._admission.retry_delay_s())
            if isinstance(message, m.AdmitGeneration):
                self._admission.discard_waiting(message.key)
                # The failure may have come after the answer was set.
                with contextlib.suppress(queue.Full):
                    message.future.set(refused)
            return refused if isinstance(message, m.AdmitPlain) else None

    def _record_notice(self, message: m.ServerNoticed, now: float) -> None:
        remaining_s = message.notice.cold_remaining_s
        self._cold.record_answer(message.server, remaining_s, now)
        if self._notices.record(message, now):
            self._admission.place_waiting(now)

    def _apply_notices(self, message: m.NoticeReports, now: float) -> None:
        if self._notices.apply_reports(message, now):
            self._admission.place_waiting(now)

    def _apply_permits(self, message: m.PermitReply, now: float) -> None:
        self._admission.permits.handle_reply(message, now)
        self._admission.place_waiting(now)

    def _handle_role_ordered(self, message: m.RoleChangeOrdered, now: float) -> None:
        until = now + message.seconds
        self._selector.record_order(message.server, message.role, until)
        self._admission.monitor.pause_for_role_change(message, now)

    def _wake_at(self, when: float) -> None:
        actor_ref = self.actor_ref
        self._timers.call_at("waiting", when, lambda at: actor_ref.tell(m.Tick(at)))

    def _call_for_report(self, when: float) -> None:
        actor_ref = self.actor_ref
        self._timers.call_at("report", when, lambda _: actor_ref.tell(m.ReportDue()))

    def _handle_reports(self, message: m.HostReports, now: float) -> None:
        for report in message.reports:
            self._apply_report(report, now)
        # Ticks may be late on a busy host, and what it misses is due in 2 s.
        self._revisions.check(self._store_reachable, now)
        self._admission.place_waiting(now)

    def _apply_report(self, report: m.HostReport, now: float) -> None:
        known = self._peer_sequences.get(report.host)
        if known is None or known[0] < report.incarnation:
            self._new_peers.append(report.host)
        elif known >= (report.incarnation, report.sequence):
            return
        self._peer_sequences[report.host] = (report.incarnation, report.sequence)
        self._revisions.record(report, now)
        self._addresses.record_report(report.host, now)
        self._admission.use.apply_report(report.host, report.uses, now, report.waiting)
        self._admission.quota.apply_report(
            report.host, report.incarnation, report.charged, now, report.is_complete
        )
        self._admission.health.apply_pauses(
            report.host, report.paused, report.unreachable, now
        )

    def _serve_snapshot(self, message: m.SnapshotRequested, now: float) -> None:
        self._snapshots.record_peer_request(now)
        self._publish_snapshot(now)

    def _publish_snapshot(self, now: float) -> None:
        is_complete = (
            self._admission.configuration is not None
            and self._admission.evacuations.is_known
        )
        if not is_complete or not self._snapshots.take_send(now):
            return
        configuration = self._admission.configuration
        if not self._snapshots.take_configuration(configuration.version, now):
            configuration = None
        size = self._peers.publish(
            m.FleetSnapshot(
                self._settings.name,
                self._store_reachable,
                configuration,
                self._cold.current_entries(now),
                dict(self._addresses.by_name),
                *self._evacuations.snapshot_fields(now),
            )
        )
        if configuration is not None:
            self._snapshots.record_size(size)

    def _publish_change(self, now: float) -> None:
        """Publish a snapshot of a change if a host requested snapshots recently."""
        if self._snapshots.record_change(now):
            self._publish_snapshot(now)

    def _apply_snapshot(self, snapshot: m.FleetSnapshot, now: float) -> None:
        if self._store_reachable:
            return
        self._snapshots.record_snapshot(snapshot.is_current)
        if self._evacuations.apply_snapshot(snapshot, now):
            self._publish_change(now)
        if snapshot.configuration is not None:
            source = f"host {snapshot.host}"
            self._configure(m.ApplyConfiguration(snapshot.configuration, source), now)
        if snapshot.is_current or not self._admission.registry.all():
            self._entries.replace(snapshot.servers, now)
        if not self._addresses.by_name:
            self._apply_hosts(m.HostsChanged(snapshot.addresses), now)

    def _request_snapshots(self, now: float) -> None:
        """Request snapshots from other hosts while the store is unreachable."""
        if not self._store_reachable and self._snapshots.take_request(now):
            self._peers.request_snapshots(True)

    def _configure(self, message: m.ApplyConfiguration, now: float) -> None:
        configuration = message.configuration
        known = (
            self._admission.configuration.version
            if self._admission.configuration
            else 0
        )
        if configuration.version <= known:
            return
        table = RouteTable.from_configuration(configuration)
        self._admission.quota.configure(configuration.workspaces, now)
        self._admission.limits.cold.configure(configuration.services)
        self._admission.configuration = configuration
        self._routes.table = table
        self._on_config(configuration)
        self._metrics.set("sesameport_entry_version", configuration.version)
        self._publish_change(now)
        log.info(
            "configuration in force",
            extra={
                "version": configuration.version,
                "before": known,
                "source": message.source,
            },
        )

    def _apply_servers(self, message, now: float) -> None:
        if isinstance(message, m.ServersListed):
            self._entries.replace(message.servers, now)
        else:
            self._entries.apply_changes(message.changed, message.removed, now)
        self._publish_change(now)
        self._admission.place_waiting(now)

    def _apply_evacuations(self, message, now: float) -> None:
        if self._evacuations.apply(message, now):
            self._publish_change(now)
        self._admission.place_waiting(now)

    def _handle_evacuation_ended(self, data_centre: str, now: float) -> None:
        self._cold.on_evacuation_ended(data_centre, now)
        self._selector.record_return(data_centre, now)

    def _add_host(self, message: m.HostAnnounced, now: float) -> None:
        """Connect to a host that has connected to this one."""
        if self._addresses.announce(message.name, message.address, now):
            self._connect_hosts()

    def _apply_hosts(self, message: m.HostsChanged, now: float) -> None:
        self._addresses.replace(message.addresses, now)
        self._connect_hosts()

    def _connect_hosts(self) -> None:
        self._admission.budget.hosts = max(1, len(self._addresses.by_name))
        self._admission.permits.set_fleet(
            1 + len(self._addresses.others()),
            self._settings.name in self._addresses.by_name,
        )
        self._reports.scheduler.hosts = max(1, len(self._addresses.others()))
        self._peers.connect(self._addresses.connections(self._settings.seed_addresses))

    def _apply_settings(self, message: m.ApplySettings, now: float) -> None:
        self._settings = message.settings
        bounds = message.settings.bounds
        self._admission.budget.update_limits(
            bounds.retry_ratio, bounds.retry_window_s, bounds.retry_slack
        )
        self._admission.quota.change_window(bounds.quota_window_s, now)
        self._cold.apply_bounds(bounds)
        self._admission.candidates.regions = message.settings.regions
        if self._addresses.by_name:
            self._connect_hosts()

    def _apply_connectivity(self, message: m.StoreConnectivity, now: float) -> None:
        is_reachable = message.is_reachable
        if is_reachable == self._store_reachable:
            return
        self._store_reachable = is_reachable
        if is_reachable:
            # The first contact after the start does not end an outage. Entries that are
            # removed after it belong to servers that have stopped.
            if self._had_store_contact:
                self._admission.registry.record_store_recovery(now)
            self._had_store_contact = True
            self._peers.request_snapshots(False)
            log.info("store reachable")
        else:
            log.warning("store lost")
        self._metrics.set("sesameport_entry_store_reachable", int(is_reachable))

    def _begin_era(self, message: m.StoreEraBegan, now: float) -> None:
        """Keep what the store may have lost; see `StoreEra`."""
        self._revisions.begin_era(message.era, now)
        if not message.is_first:
            self._entries.begin_era(self._settings.bounds.heartbeat_s, now)
            self._evacuations.begin_era(now)

    def _handle_tick(self, message: m.Tick, now: float) -> None:
        silent = self._admission.use.expire(now, self._reports.scheduler.expiry_s())
        for host in silent:
            self._peer_sequences.pop(host, None)
        log_hosts(log.warning, "host silent", silent)
        log_hosts(log.info, "host heard", self._new_peers)
        self._on_hosts(len(self._addresses.by_name), bool(self._new_peers))
        for exchange in self._exchanges:
            exchange.repeat(len(self._addresses.by_name), bool(self._new_peers), now)
        self._admission.permits.expire(now)
        self._new_peers = []
        self._entries.expire(now)
        self._evacuations.check_progress(now)
        self._admission.place_waiting(now)
        self._request_snapshots(now)
        self._publish_snapshot(now)
        targets = self._admission.monitor.probe_targets(now)
        if targets:
            self._on_probe_targets(targets)
        self._revisions.check(self._store_reachable, now)
        self._reports.send_periodic(self._admission, now)

    def _handle_probe_result(self, message: m.ProbeResult, now: float) -> None:
        self._admission.monitor.record_probe_result(message, now)
        self._admission.place_waiting(now)
