"""Wire the parts of one daemon together."""

import random
import secrets
import time

import attrs

from sesameport.adapters import BulkheadLimits, Bulkheads, TimerService
from sesameport.daemon.fleet.cluster import Cluster
from sesameport.daemon.fleet.directory import Directory, DirectoryHolder
from sesameport.daemon.fleet.load_poller import LoadPoller
from sesameport.daemon.request_path.admission import AdmissionDesk
from sesameport.daemon.request_path.caller_api import CallerApi
from sesameport.daemon.request_path.completion_runner import RunnerServices
from sesameport.daemon.request_path.dispatcher_actor import DispatcherActor
from sesameport.daemon.request_path.dispatcher_messages import (
    DirectoryChanged,
    HostsChanged,
    NoteServerFailing,
    StopRequest,
)
from sesameport.daemon.request_path.engines import Backends
from sesameport.daemon.request_path.http_server import HttpServer
from sesameport.daemon.request_path.key_gate import KeyGate
from sesameport.daemon.request_path.request_parts import RequestParts
from sesameport.daemon.shutdown import Drain
from sesameport.daemon.views.host_status import describe_host
from sesameport.daemon.views.sweep_view import fleet_knowledge
from sesameport.documents import Settings
from sesameport.requests import HoldOwner, RetryBudget
from sesameport.routing import Router, RouterConfig
from sesameport.routing.quarantine import PoisonNotice, Quarantine
from sesameport.telemetry.decisions import DecisionKind
from sesameport.telemetry.logs import get_logger
from sesameport.telemetry.recorder import Recorder
from sesameport.telemetry.status import HostStatus
from sesameport.telemetry.status_api import StatusApi
from sesameport.world import Execution, Host, Refusal, RefusalType

__all__ = ["Daemon"]

_LOG = get_logger("daemon")

_FAILING_POLLS = 2
_KEYS_PERIOD_S = 0.5


class Daemon:
    """Run one entry host.

    Parameters
    ----------
    cfg : Settings
        Checked settings.
    """

    def __init__(self, cfg: Settings):
        self.cfg = cfg
        self.incarnation = secrets.token_hex(8)
        self.directory = DirectoryHolder()
        self.started_at = time.monotonic()
        self.recorder = Recorder(cfg.host.name, cfg.host.data_centre, self.started_at)
        self.timers = TimerService(on_error=_log_timer_error)
        threads = cfg.host.max_threads
        limits = BulkheadLimits(threads // 2, threads * 3 // 8)
        self.backends = Backends(
            self.directory, cfg.requests.silent_s, Bulkheads(limits)
        )
        router = Router(
            RouterConfig(
                cfg.host.data_centre,
                cfg.requests.max_waiting,
                subset_size_per_role=cfg.requests.servers_per_role,
            ),
            random.Random(),
        )
        identity = f"{cfg.host.name}.{self.incarnation}"
        self.cluster = Cluster(
            cfg,
            Host(cfg.host.name, cfg.host.data_centre),
            self.incarnation,
            self.directory,
            self.timers,
            self.recorder,
            self.backends.find_engine,
        )
        self.keys = KeyGate(cfg, self.cluster.fleet.view, time.monotonic)
        self._dispatcher = DispatcherActor.start(
            router,
            time.monotonic,
            self.timers.call_at,
            RetryBudget(cfg.requests.retry_share),
            Quarantine(identity),
            self.cluster.send_to_data_centre,
        )
        self.cluster.link.subscribe(
            PoisonNotice, lambda sender, notice: self._dispatcher.tell(notice)
        )
        self.parts = RequestParts(
            HoldOwner(cfg.host.name, self.incarnation),
            cfg.host.data_centre,
            self.directory,
            self.backends,
            self.cluster.platform,
            self._dispatcher,
            fleet_knowledge(self.cluster.fleet.view, cfg.host.data_centre),
        )
        services = RunnerServices(
            self._dispatcher,
            self.backends.find_engine,
            self.parts.holds.tell,
            self._record,
        )
        self.admission = AdmissionDesk(
            self.directory,
            services,
            self.cluster.rates,
            self.keys.is_usable,
            identity,
            self.parts.plain.call,
            cfg.host.max_threads - cfg.host.urgent_threads,
            self.recorder,
        )
        self.poller = LoadPoller(
            self.backends.find_engine,
            self._dispatcher.tell,
            self._note_poll_failure,
            lambda: self.admission.count() > 0,
        )
        self.drain = Drain(
            cfg.shutdown.unready_s,
            cfg.shutdown.finish_s,
            self._refuse_new,
            self.admission.count,
        )
        api = CallerApi(self.admission, cfg.requests.max_body_bytes)
        self.http = HttpServer(
            cfg.host.listen,
            api,
            cfg.host.threads,
            cfg.host.max_threads,
            cfg.requests.read_timeout_s,
            cfg.requests.max_header_bytes,
            cfg.requests.max_body_bytes,
        )
        status = StatusApi(
            self.build_status,
            lambda: self.recorder.snapshot(time.monotonic()),
            self.recorder.metrics,
            self.is_ready,
        )
        self.status_http = HttpServer(cfg.host.status_listen, status, threads=2)
        self.directory.subscribe(self._directory_changed)
        # The fleet actor may have published before the subscription.
        self._directory_changed(self.directory.current)

    def start(self) -> "Daemon":
        """Start serving and return the daemon."""
        self.timers.subscribe("keys", _KEYS_PERIOD_S, self._check_keys)
        period_s = self.cfg.requests.load_period_s
        self.timers.subscribe("load", period_s, self.poller.tick)
        self.parts.start(self.timers)
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
        """Stop at once."""
        self.timers.stop()
        self.cluster.stop()
        self.poller.stop()
        self.http.stop()
        self.status_http.stop()
        self._dispatcher.stop(block=False)
        self.parts.stop()

    @property
    def own_host(self) -> Host:
        """Describe this host with the addresses it is bound to."""
        return attrs.evolve(
            self.cluster.own,
            caller_address=self.http.address,
            status_address=self.status_http.address,
        )

    def is_ready(self) -> bool:
        """Tell whether the balancer may send callers here."""
        return bool(self.directory.current.documents) and not self.drain.has_begun

    def shutdown(self) -> bool:
        """Drain, stop, and return whether every request ended by itself."""
        _LOG.info("drain started", extra={"in_flight": self.admission.count()})
        finished = self.drain.run()
        self.cluster.leave()
        _LOG.info("drain ended", extra={"finished": finished})
        self.stop()
        return finished

    def _refuse_new(self) -> None:
        self.admission.refusing = True

    def build_status(self, request_id: str) -> HostStatus:
        """Return the status of this host, with the decisions on one request."""
        return describe_host(self, request_id, time.monotonic())

    def _note_poll_failure(self, server: str, count: int) -> None:
        if count >= _FAILING_POLLS:
            self._dispatcher.tell(NoteServerFailing(server))

    def explain(self, request_id: str) -> list[str]:
        """Return the recorded decisions on a request, oldest first."""
        records = self.recorder.decisions.find(request_id)
        return [f"{record.kind}: {record.reason}" for record in records]

    def _record(self, request_id: str, text: str) -> None:
        self.recorder.decisions.add(
            DecisionKind.PLACEMENT, text, time.monotonic(), request_id
        )

    def _directory_changed(self, directory: Directory) -> None:
        changed = DirectoryChanged(directory.servers, dict(directory.documents))
        self.poller.set_servers(self._dispatcher.ask(changed))
        regions = {centre.name: centre.region for centre in self.cfg.data_centres}
        alive = self.cluster.fleet.view().alive.items()
        count = sum(
            len(names)
            for centre, names in alive
            if regions[centre] == self.cfg.region()
        )
        self._dispatcher.tell(HostsChanged(count))
        for name, doc in directory.documents.items():
            weights = {workspace.name: workspace.weight for workspace in doc.workspaces}
            self.recorder.set_targets(name, doc.targets, weights)
        for req in self.admission.find_withdrawn():
            self._stop_request(req.request_id, RefusalType.KEY_WITHDRAWN)

    def _check_keys(self, now: float) -> None:
        """End keyed streams while keys cannot be confirmed."""
        if self.keys.is_usable():
            return
        for req in list(self.admission.running.values()):
            if req.workspace:
                self._stop_request(req.request_id, RefusalType.STALE_CONFIGURATION)

    def _stop_request(self, request_id: str, kind: RefusalType) -> None:
        refusal = Refusal(kind, Execution.MAY_HAVE_RUN)
        self._dispatcher.tell(StopRequest(request_id, refusal))


def _log_timer_error(name: str, exc: Exception) -> None:
    _LOG.error("timer callback failed", extra={"timer": name, "error": repr(exc)})
