"""Build and run the daemon of one entry host."""

import random
import secrets
import time

import attrs

from sesameport.adapters import BulkheadLimits, Bulkheads, TimerService
from sesameport.adapters.caller_limits.bounds import (
    SIDE_BOUNDS,
    SIDE_LIMITS,
    CallerBounds,
    CallerLimits,
)
from sesameport.adapters.caller_limits.reports import LimitReporter
from sesameport.daemon.fleet.configuration_snapshot import (
    ConfigurationPublisher,
    ConfigurationSnapshot,
)
from sesameport.daemon.fleet.fleet_components import FleetComponents
from sesameport.daemon.fleet.load_poller import LoadPoller
from sesameport.daemon.request_path.backend_adapters import BackendAdapters
from sesameport.daemon.request_path.caller_api import CallerApi
from sesameport.daemon.request_path.completion_runner import RunnerContext
from sesameport.daemon.request_path.dispatcher_actor import DispatcherActor
from sesameport.daemon.request_path.dispatcher_messages import (
    RecordServerFailure,
    SetHostCount,
    SetServers,
    StopRequest,
)
from sesameport.daemon.request_path.http_server import HttpServer
from sesameport.daemon.request_path.key_freshness import KeyFreshnessPolicy
from sesameport.daemon.request_path.request_admission import RequestAdmission
from sesameport.daemon.request_path.request_components import RequestComponents
from sesameport.daemon.shutdown import Drain
from sesameport.daemon.views.host_status import describe_host
from sesameport.daemon.views.sweep_view import membership_queries
from sesameport.documents import Settings
from sesameport.domain import Execution, Host, Refusal, RefusalType
from sesameport.requests import HoldOwner, RetryBudget
from sesameport.routing import Router, RouterConfig
from sesameport.routing.quarantine import PoisonNotice, Quarantine
from sesameport.telemetry.decisions import DecisionKind
from sesameport.telemetry.logs import get_logger
from sesameport.telemetry.recorder import Recorder
from sesameport.telemetry.status import HostStatus
from sesameport.telemetry.status_api import StatusApi

__all__ = ["Daemon"]

_LOG = get_logger("daemon")

_POLL_FAILURE_LIMIT = 2
"""Failed load polls in a row after which a server counts as failing."""

_KEY_CHECK_PERIOD_S = 0.5

_LIMIT_PERIOD_S = 0.25
"""Period at which clients that exceed their time or memory are cut off, and threads are
added for connections that wait, seconds."""


class Daemon:
    """Run one entry host.

    Parameters
    ----------
    cfg : Settings
        Validated settings.
    """

    def __init__(self, cfg: Settings):
        self.cfg = cfg
        self.incarnation = secrets.token_hex(8)
        self.configuration = ConfigurationPublisher()
        self.started_at = time.monotonic()
        self.recorder = Recorder(cfg.host.name, cfg.host.data_centre, self.started_at)
        self.timers = TimerService(on_error=_log_timer_error)
        threads = cfg.host.max_threads
        limits = BulkheadLimits(threads // 2, threads * 3 // 8)
        self.backends = BackendAdapters(
            self.configuration, cfg.requests.silent_s, Bulkheads(limits)
        )
        router = Router(
            RouterConfig(
                cfg.host.data_centre,
                cfg.requests.max_waiting,
                subset_size_per_role=cfg.requests.servers_per_role,
            ),
            random.Random(),
        )
        host_id = f"{cfg.host.name}.{self.incarnation}"
        self.fleet_components = FleetComponents(
            cfg,
            Host(cfg.host.name, cfg.host.data_centre),
            self.incarnation,
            self.configuration,
            self.timers,
            self.recorder,
            self.backends.find_engine,
        )
        self.key_policy = KeyFreshnessPolicy(
            cfg, self.fleet_components.fleet.view, time.monotonic
        )
        self._dispatcher = DispatcherActor.start(
            router,
            time.monotonic,
            self.timers.call_at,
            RetryBudget(cfg.requests.retry_share),
            Quarantine(host_id),
            self.fleet_components.send_to_data_centre,
        )
        self.fleet_components.link.subscribe(
            PoisonNotice, lambda sender, notice: self._dispatcher.tell(notice)
        )
        self.request_components = RequestComponents(
            HoldOwner(cfg.host.name, self.incarnation),
            cfg.host.data_centre,
            self.configuration,
            self.backends,
            self.fleet_components.platform,
            self._dispatcher,
            membership_queries(self.fleet_components.fleet.view, cfg.host.data_centre),
        )
        context = RunnerContext(
            self._dispatcher,
            self.backends.find_engine,
            self.request_components.holds.tell,
            self._record_step,
        )
        self.admission = RequestAdmission(
            self.configuration,
            context,
            self.fleet_components.share_client,
            self.key_policy.can_accept_keys,
            host_id,
            self.request_components.plain.call,
            cfg.host.max_threads - cfg.host.urgent_threads,
            self.recorder,
        )
        self.poller = LoadPoller(
            self.backends.find_engine,
            self._dispatcher.tell,
            self._record_poll_failure,
            lambda: self.admission.count_in_flight() > 0,
        )
        self.drain = Drain(
            cfg.shutdown.unready_s,
            cfg.shutdown.finish_s,
            self._refuse_new_requests,
            self.admission.count_in_flight,
            self._refuse_remaining,
        )
        api = CallerApi(self.admission)
        bounds = CallerBounds.for_machine(
            cfg.host.memory_mb or cfg.host.default_memory_mb(),
            cfg.host.max_fds,
            max_threads=threads,
        )
        reporter = LimitReporter.for_metrics(
            self.recorder.metrics, "sesameport_limit_refusals_total"
        )
        self.http = HttpServer(
            cfg.host.listen,
            api,
            bounds,
            CallerLimits(
                cfg.requests.max_header_bytes,
                cfg.requests.max_body_bytes,
                cfg.requests.read_timeout_s,
            ),
            cfg.host.threads,
            report=reporter.report,
            refuse=api.refuse,
        )
        status = StatusApi(
            self.build_status,
            lambda: self.recorder.snapshot(time.monotonic()),
            self.recorder.metrics,
            self.is_ready,
        )
        self.status_http = HttpServer(
            cfg.host.status_listen,
            status,
            SIDE_BOUNDS,
            SIDE_LIMITS,
            report=reporter.report,
        )
        self.configuration.subscribe(self._apply_configuration)
        # The fleet actor may have published a configuration before the subscription.
        self._apply_configuration(self.configuration.current)

    def start(self) -> "Daemon":
        """Start serving and return the daemon."""
        self.timers.subscribe("keys", _KEY_CHECK_PERIOD_S, self._check_keys)
        period_s = self.cfg.requests.load_period_s
        self.timers.subscribe("load", period_s, self.poller.tick)
        self.timers.subscribe("limits", _LIMIT_PERIOD_S, self._enforce_limits)
        self.request_components.start(self.timers)
        self.timers.start()
        self.http.start()
        self.status_http.start()
        addresses = {
            "incarnation": self.incarnation,
            "callers": self.http.address,
            "status": self.status_http.address,
        }
        _LOG.info("daemon started", extra=addresses)
        return self

    def stop(self) -> None:
        """Stop without draining."""
        self.timers.stop()
        self.fleet_components.stop()
        self.poller.stop()
        self.http.stop()
        self.status_http.stop()
        self._dispatcher.stop(block=False)
        self.request_components.stop()

    @property
    def bound_host(self) -> Host:
        """Return this host with the addresses that it is bound to."""
        return attrs.evolve(
            self.fleet_components.local_host,
            caller_address=self.http.address,
            status_address=self.status_http.address,
        )

    def is_ready(self) -> bool:
        """Return whether the load balancer may send callers to this host."""
        return (
            bool(self.configuration.current.documents)
            and not self.drain.is_draining
            and not self.http.has_failed()
        )

    def shutdown(self) -> bool:
        """Drain and stop; return whether every request ended without interruption."""
        _LOG.info(
            "drain started", extra={"in_flight": self.admission.count_in_flight()}
        )
        finished = self.drain.run()
        self.fleet_components.leave()
        _LOG.info("drain ended", extra={"finished": finished})
        self.stop()
        return finished

    def _enforce_limits(self, now: float) -> None:
        for server in (self.http, self.status_http):
            server.enforce_limits()
            server.add_threads()

    def _refuse_new_requests(self) -> None:
        self.admission.is_refusing = True

    def _refuse_remaining(self) -> None:
        for request_id in list(self.admission.running):
            self._stop_request(request_id, RefusalType.SHUTTING_DOWN)

    def build_status(self, request_id: str) -> HostStatus:
        """Return the status of this host, with the decisions on one request."""
        return describe_host(self, request_id, time.monotonic())

    def _record_poll_failure(self, server: str, failure_count: int) -> None:
        if failure_count >= _POLL_FAILURE_LIMIT:
            self._dispatcher.tell(RecordServerFailure(server))

    def explain(self, request_id: str) -> list[str]:
        """Return the recorded decisions on a request, oldest first."""
        records = self.recorder.decisions.find(request_id)
        return [f"{record.kind}: {record.reason}" for record in records]

    def _record_step(self, request_id: str, text: str) -> None:
        self.recorder.decisions.add(
            DecisionKind.PLACEMENT, text, time.monotonic(), request_id
        )

    def _apply_configuration(self, configuration: ConfigurationSnapshot) -> None:
        message = SetServers(configuration.servers, dict(configuration.documents))
        self.poller.set_servers(self._dispatcher.ask(message))
        regions = {centre.name: centre.region for centre in self.cfg.data_centres}
        alive = self.fleet_components.fleet.view().alive.items()
        host_count = sum(
            len(names)
            for centre, names in alive
            if regions[centre] == self.cfg.region()
        )
        self._dispatcher.tell(SetHostCount(host_count))
        for name, doc in configuration.documents.items():
            weights = {workspace.name: workspace.weight for workspace in doc.workspaces}
            self.recorder.set_targets(name, doc.targets, weights)
        for req in self.admission.find_withdrawn_key_requests():
            self._stop_request(req.request_id, RefusalType.KEY_WITHDRAWN)

    def _check_keys(self, now: float) -> None:
        """Stop running requests with keys while keys cannot be confirmed."""
        if self.key_policy.can_accept_keys():
            return
        for req in list(self.admission.running.values()):
            if req.workspace:
                self._stop_request(req.request_id, RefusalType.STALE_CONFIGURATION)

    def _stop_request(self, request_id: str, refusal_type: RefusalType) -> None:
        refusal = Refusal(refusal_type, Execution.MAY_HAVE_RUN)
        self._dispatcher.tell(StopRequest(request_id, refusal))


def _log_timer_error(name: str, exc: Exception) -> None:
    _LOG.error("timer callback failed", extra={"timer": name, "error": repr(exc)})
