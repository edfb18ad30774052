"""Assemble and run one entry host."""

import threading
import time

import attrs
from result import Err, Ok

from sesameport.adapters.caller_limits.memory_account import MemoryAccount
from sesameport.adapters.cancellable_socket import ReadInterrupt
from sesameport.adapters.strict_http import StrictRequest
from sesameport.adapters.timers import TimerService
from sesameport.admission import (
    ColdServers,
    Evacuations,
    RequestLimits,
    ServerNotices,
)
from sesameport.entry import messages as m
from sesameport.entry.actor import EntryActor
from sesameport.entry.caller_connection import CallerSocket, HttpResponseWriter
from sesameport.entry.cold_exchange import cold_bounds
from sesameport.entry.configuration import EntryConfiguration
from sesameport.entry.crash_guard import CrashGuard
from sesameport.entry.current_routes import CurrentRoutes
from sesameport.entry.forwarding import Forwarder
from sesameport.entry.host_directory import HostDirectory
from sesameport.entry.host_listeners import HostListeners
from sesameport.entry.host_registration import HostRegistration
from sesameport.entry.peer_messages import PeerInbox
from sesameport.entry.peers import PeerExchange
from sesameport.entry.placement_query import send_explanation
from sesameport.entry.platform_adapter import PlatformAdapter
from sesameport.entry.reachability_probe import ReachabilityProbe
from sesameport.entry.role_controller import RoleChange, RoleController
from sesameport.entry.server_bytes import ServerBytes
from sesameport.entry.server_calls import EvacuationOrderClient, NoticedServerClient
from sesameport.entry.settings import EntrySettings, settings_requiring_restart
from sesameport.entry.stopping import HostDrain, InFlight, ProcessStop
from sesameport.entry.store_era import StoreEra
from sesameport.entry.store_follower import StoreFollower
from sesameport.entry.suspect_store import SuspectStore
from sesameport.telemetry.logs import get_logger
from sesameport.telemetry.metrics import ENTRY_METRICS, Metrics

__all__ = ["EntryHost"]

MIN_THREADS = 24
MAX_THREADS = 400
"""Initial and maximum number of threads. Each request occupies one thread; further
requests wait. A machine with few descriptors has fewer threads."""

TICK_PERIOD_S = 0.5
"""Period of the actor's tasks and of the thread pool check, seconds."""

LIMIT_PERIOD_S = 0.25
"""Period at which connections that exceed their time are cut off, seconds."""

MAX_RUN_S = 14.0
"""Longest time until the running requests of an engine that changes its role end,
seconds. It is the longest timeout of the users' routes."""

ROLE_CHECK_PERIOD_S = 1.5
"""Period at which the roles of engines are checked, seconds."""

MAX_REASON_CHARS = 500
"""Longest text in the answer to a readiness check, characters."""

log = get_logger("host")


class EntryHost:
    """Run one entry host.

    Parameters
    ----------
    settings : EntrySettings
        Validated settings.
    adapter : PlatformAdapter
        Adapter of the users' platform.
    """

    def __init__(self, settings: EntrySettings, adapter: PlatformAdapter):
        self._settings = settings
        self._adapter = adapter
        self.metrics = Metrics(settings.name, settings.data_centre, ENTRY_METRICS)
        self._routes = CurrentRoutes()
        self._timers = TimerService(on_error=_log_timer_error)
        self._in_flight = InFlight()
        self._stop = ProcessStop()
        self._interrupt = ReadInterrupt()
        self._closing = threading.Event()
        self._reachability_probe = ReachabilityProbe(self._tell)
        bounds = settings.limits
        account = MemoryAccount(bounds.account_bytes, bounds.reserved_bytes)
        self._peers = PeerExchange(
            settings.name,
            settings.ip,
            settings.peer_port,
            self._receive,
            PeerInbox.for_process(
                bounds,
                account,
                self.metrics,
                lambda done: self._tell(m.MessagesHandled(done)),
            ),
            bounds.max_peer_queue_bytes,
            bounds.socket_buffer_bytes,
        )
        self._era = era = StoreEra()
        era.subscribe(
            lambda era, _: self.metrics.set("sesameport_entry_store_era", era)
        )
        self._store = adapter.create_store_client(settings.store_address, account, era)
        self._guard = CrashGuard(
            self._timers,
            self._tell,
            SuspectStore(self._store, self._closing),
            self.metrics,
        )
        cold = ColdServers(cold_bounds(settings.bounds))
        limits = RequestLimits(ServerNotices(), cold)
        # Without the bound, the deployment has no evacuations that must be known first.
        self._evacuations = Evacuations(settings.bounds.evacuate_s is None)
        self._actor = EntryActor.start(
            settings,
            self._routes,
            self._peers,
            self._timers,
            self.metrics,
            self._apply_limits,
            self._reachability_probe.start_round,
            self._guard.record_hosts,
            lambda missed: self._follower.read_again(missed),
            limits,
            self._evacuations,
        )
        self._calls = calls = NoticedServerClient(
            limits,
            self._tell,
            self.metrics,
            self._evacuations,
            ServerBytes(bounds.max_server_bytes, self._peers.host_count),
            self._stop,
        )
        self._forwarder = Forwarder(
            self._actor,
            self._routes,
            calls.wrap(
                adapter.create_server_client(
                    calls.record_notice,
                    account,
                    bounds.socket_buffer_bytes,
                    self._interrupt,
                )
            ),
            settings.data_centre,
            self.metrics,
            self._guard,
            self._stop,
        )
        self._follower = StoreFollower(
            lambda: adapter.create_store_client(settings.store_address, account, era),
            adapter,
            self._actor,
            self.metrics,
            self._closing,
            settings.bounds,
            self._timers.call_at,
            era,
        )
        era.subscribe(lambda era, first: self._tell(m.StoreEraBegan(era, first)))
        era.subscribe(lambda era, first: first or self._guard.begin_era())
        era.subscribe(lambda era, first: first or self._registration.begin_era())
        self._registration = HostRegistration(
            HostDirectory(self._store, settings.name, self._peers.address, self._tell),
            self._timers,
            lambda: self._actor.ask(m.GetExpiredHosts()),
        )
        self._listeners = HostListeners(
            settings,
            account,
            (MIN_THREADS, min(MAX_THREADS, bounds.max_threads)),
            self.metrics,
            adapter.stated_wait_s,
            self._handle,
            self._handle_ready,
            self._handle_metrics,
        )
        self._drain = HostDrain(
            self._listeners.callers,
            self._in_flight,
            self._stop,
            self._interrupt,
            self._tell,
        )

    def start(self) -> "EntryHost":
        """Start serving and return the host."""
        self._timers.start()
        self._peers.start()
        self._actor.tell(m.HostsChanged({}))
        self._start_store_access()
        self._guard.start()
        self._timers.subscribe("tick", TICK_PERIOD_S, self._tick)
        self._registration.start()
        self._timers.subscribe("limits", LIMIT_PERIOD_S, self._enforce_limits)
        self._listeners.start()
        log.info("started", extra={"listen": self._listeners.callers.address})
        return self

    def reload(self, changed: EntrySettings) -> None:
        """Apply changed bounds and seeds; other settings need a restart."""
        need_restart = settings_requiring_restart(self._settings, changed)
        self._settings = attrs.evolve(
            self._settings,
            bounds=changed.bounds,
            seed_addresses=changed.seed_addresses,
            regions=changed.regions,
        )
        self._role_controller.set_lease_time(changed.bounds.lease_s)
        self._follower.apply_bounds(changed.bounds)
        if changed.bounds.evacuate_s is not None:
            self._follower.follow_evacuations()
        self._actor.tell(m.ApplySettings(self._settings))
        log.info(
            "settings reloaded",
            extra={
                "bounds": attrs.asdict(changed.bounds),
                "seeds": ",".join(changed.seed_addresses),
                "need_restart": ",".join(need_restart),
            },
        )

    def shutdown(self) -> bool:
        """Drain and stop; return whether every running request was completed."""
        self.metrics.set("sesameport_ready", 0)
        log.info("draining", extra={"in_flight": self._in_flight.count})
        given_up = self._drain.run(self._settings.bounds.grace_s)
        log.info("stopped", extra={"given_up": given_up})
        return given_up == 0

    def close(self) -> None:
        """Stop immediately without draining, for hosts that share a process."""
        self._timers.stop()
        self._closing.set()
        self._listeners.stop()

    @property
    def settings(self) -> EntrySettings:
        """Return the settings in force."""
        return self._settings

    @property
    def caller_address(self) -> str:
        """Return the bound ``IP:port`` for callers."""
        return self._listeners.callers.address

    @property
    def peer_address(self) -> str:
        """Return the bound ``IP:port`` for other hosts."""
        return self._peers.address

    def is_ready(self) -> bool:
        """Return whether the host accepts new connections."""
        return not self._unready_reasons()

    def _unready_reasons(self) -> list[str]:
        reasons = self._follower.failures()
        if self._routes.table is None or not self._evacuations.is_known:
            reasons.append("configuration or evacuations not known yet")
        if self._stop.has_begun:
            reasons.append("draining")
        if not self._actor.is_alive():
            reasons.append("admission has ended")
        if self._listeners.callers.has_failed():
            reasons.append("listener for callers has ended")
        return reasons

    def configuration_version(self) -> int:
        """Return the version of the configuration in force, 0 without one."""
        table = self._routes.table
        return table.configuration.version if table else 0

    def server_count(self) -> int:
        """Return the number of backend servers that are registered."""
        return self._actor.ask(m.GetFleetCounts()).servers

    def usable_servers(self) -> tuple[str, ...]:
        """Return the servers to which this host may send new requests."""
        return self._actor.ask(m.GetUsableServers())

    def refused_subjects(self) -> list[str]:
        """Return what is refused for crashing servers; see `CrashSuspects`."""
        return self._guard.refused_subjects()

    def peer_count(self) -> int:
        """Return the number of other hosts that report."""
        return self._actor.ask(m.GetFleetCounts()).hosts

    def _tell(self, message) -> None:
        self._actor.tell(message)

    def _receive(self, message) -> None:
        if isinstance(message, m.SuspectReports):
            self._guard.apply_reports(message.groups, message.is_partial)
            return
        self._actor.tell(message)

    def _start_store_access(self) -> None:
        adapter, settings, store = self._adapter, self._settings, self._store
        self._follower.start()
        if settings.bounds.evacuate_s is not None:
            self._follower.follow_evacuations()
        self._role_controller = RoleController(
            settings.name,
            settings.bounds.lease_s,
            store,
            EvacuationOrderClient(
                adapter.create_order_client(self._calls.record_notice),
                self._evacuations,
            ),
            lambda: self._actor.ask(m.GetNextRoleChange()),
            self._record_order,
            self.metrics,
            self._era,
        )
        self._timers.subscribe("roles", ROLE_CHECK_PERIOD_S, self._start_role_control)

    def _record_order(self, change: RoleChange) -> None:
        table = self._routes.table
        service = table.configuration.service(change.server.service) if table else None
        seconds = service.engine.role_change_s if service and service.engine else 0.0
        ordered = m.RoleChangeOrdered(
            change.server.name, change.role, seconds + MAX_RUN_S
        )
        self._actor.tell(ordered)

    def _start_role_control(self, now: float) -> None:
        # The calls block on the store and engines, so they need their own thread.
        threading.Thread(
            target=self._role_controller.run_once, name="roles", daemon=True
        ).start()

    def delete_expired_hosts(self) -> None:
        """Delete the registrations of expired hosts; see `HostDirectory.clean_up`.

        Only the first host by name deletes registrations.
        """
        self._registration.delete_expired()

    def _tick(self, now: float) -> None:
        self._actor.tell(m.Tick(now))
        self.metrics.set("sesameport_ready", int(self.is_ready()))
        self._listeners.add_threads()

    def _enforce_limits(self, now: float) -> None:
        self._listeners.enforce_limits()

    def _apply_limits(self, configuration: EntryConfiguration) -> None:
        self._listeners.callers.set_limits(configuration.limits)
        self.metrics.set("sesameport_ready", int(self.is_ready()))

    def _handle(self, http: StrictRequest, body: bytes) -> None:
        now = time.monotonic()
        with self._in_flight.request():
            self._respond(http, body, now)

    def _respond(self, http: StrictRequest, body: bytes, now: float) -> None:
        writer = HttpResponseWriter(http, lambda: self._stop.has_begun)
        headers = http.header_pairs
        method, target = http.method.decode(), http.uri.decode()
        match self._adapter.decode_request(method, target, headers, body, now):
            case Err(problem):
                log.info("request malformed", extra={"reason": problem})
                http.reject(problem)
            case Ok(req):
                host = http.inheaders.get(b"Host", b"").decode("latin-1").strip()
                key = self._adapter.extract_key(headers)
                caller = CallerSocket(http.conn.socket)
                self._forwarder.forward(req, host, key, writer, caller)

    def _handle_ready(self, http: StrictRequest, body: bytes) -> None:
        writer = HttpResponseWriter(http, lambda: False)
        target = http.uri.decode()
        if not self._adapter.is_readiness_check(http.method.decode(), target):
            writer.refuse(404, "not found")
        elif reasons := self._unready_reasons():
            writer.refuse(503, f"not ready: {'; '.join(reasons)}"[:MAX_REASON_CHARS])
        else:
            writer.send_complete(200, [("Content-Type", "text/plain")], b"ready\n")

    def _handle_metrics(self, http: StrictRequest, body: bytes) -> None:
        writer = HttpResponseWriter(http, lambda: True)
        table, ask = self._routes.table, self._actor.ask
        if not send_explanation(http.uri.decode(), table, ask, writer):
            content_type = [("Content-Type", self.metrics.content_type)]
            writer.send_complete(200, content_type, self.metrics.render())


def _log_timer_error(name: str, exc: Exception) -> None:
    log.error("timer callback failed", extra={"timer": name, "error": repr(exc)})
