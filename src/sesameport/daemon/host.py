"""Wire the parts of one daemon together."""

import random
import secrets
import threading
import time

from sesameport.adapters import HttpPlatform, TimerService
from sesameport.daemon.admission import AdmissionDesk, UnlimitedRates
from sesameport.daemon.caller_api import CallerApi
from sesameport.daemon.completion_runner import RunnerServices
from sesameport.daemon.directory import DirectoryHolder, build_directory
from sesameport.daemon.dispatcher_actor import (
    DirectoryChanged,
    DispatcherActor,
    Poll,
    StopRequest,
)
from sesameport.daemon.engines import Backends
from sesameport.daemon.http_server import HttpServer
from sesameport.daemon.load_poller import LoadPoller, choose_subset
from sesameport.daemon.plain_runner import PlainRunner
from sesameport.daemon.shutdown import Drain
from sesameport.documents import Settings, load_service
from sesameport.routing import Router, RouterConfig
from sesameport.telemetry.decisions import DecisionKind
from sesameport.telemetry.logs import get_logger
from sesameport.telemetry.recorder import Recorder
from sesameport.telemetry.status import DocumentStatus, HostStatus
from sesameport.telemetry.status_api import StatusApi
from sesameport.world import Execution, Refusal, RefusalType

__all__ = ["Daemon"]

_LOG = get_logger("daemon")

_POLL_PERIOD_S = 0.01
_DIRECTORY_PERIOD_S = 0.5
_CANCEL_TRIES = 8


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
        self._started = time.monotonic()
        self.recorder = Recorder(cfg.host.name, cfg.host.data_centre, self._started)
        self.timers = TimerService(on_error=_log_timer_error)
        self.platform = HttpPlatform(cfg.platform.url, cfg.platform.timeout_s)
        self.backends = Backends(self.directory, cfg.requests.silent_s)
        router = Router(
            RouterConfig(cfg.host.data_centre, cfg.requests.max_waiting),
            random.Random(),
        )
        self._dispatcher = DispatcherActor.start(router, time.monotonic)
        services = RunnerServices(
            self._dispatcher,
            self.backends.find_engine,
            self._cancel,
            self._record,
        )
        plain = PlainRunner(self.directory, self.backends, time.monotonic)
        identity = f"{cfg.host.name}.{self.incarnation}"
        self.admission = AdmissionDesk(
            self.directory,
            services,
            UnlimitedRates(),
            identity,
            plain.call,
            cfg.host.max_threads - cfg.host.urgent_threads,
            self.recorder,
        )
        self.poller = LoadPoller(
            self.backends.find_engine, self._dispatcher.tell, self._note_poll_failure
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

    def start(self) -> "Daemon":
        """Start serving and return the daemon."""
        self._refresh(0.0)
        self.timers.subscribe("poll", _POLL_PERIOD_S, self._poll)
        self.timers.subscribe("directory", _DIRECTORY_PERIOD_S, self._refresh)
        period_s = self.cfg.requests.load_period_s
        self.timers.subscribe("load", period_s, self.poller.tick)
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
        self.poller.stop()
        self.http.stop()
        self.status_http.stop()
        self._dispatcher.stop(block=False)

    def is_ready(self) -> bool:
        """Tell whether the balancer may send callers here."""
        return bool(self.directory.current.documents) and not self.drain.has_begun

    def shutdown(self) -> bool:
        """Drain, stop, and return whether every request ended by itself."""
        _LOG.info("drain started", extra={"in_flight": self.admission.count()})
        finished = self.drain.run()
        _LOG.info("drain ended", extra={"finished": finished})
        self.stop()
        return finished

    def _refuse_new(self) -> None:
        self.admission.refusing = True

    def build_status(self, request_id: str) -> HostStatus:
        """Return the status of this host, with the decisions on one request."""
        directory, host, now = self.directory.current, self.cfg.host, time.monotonic()
        return HostStatus(
            host.name,
            host.data_centre,
            self.incarnation,
            self.cfg.region(),
            self.is_ready(),
            now - self._started,
            documents=tuple(
                DocumentStatus(name, version)
                for name, version in sorted(directory.versions.items())
            ),
            decisions=tuple(self.recorder.decisions.find(request_id)),
            in_flight=self.admission.count(),
            now=now,
        )

    def _note_poll_failure(self, server: str, count: int) -> None:
        pass

    def explain(self, request_id: str) -> list[str]:
        """Return the recorded decisions on a request, oldest first."""
        records = self.recorder.decisions.find(request_id)
        return [f"{record.kind}: {record.reason}" for record in records]

    def _record(self, request_id: str, text: str) -> None:
        self.recorder.decisions.add(
            DecisionKind.PLACEMENT, text, time.monotonic(), request_id
        )

    def _poll(self, now: float) -> None:
        self._dispatcher.tell(Poll())

    def _directory_changed(self, directory) -> None:
        host = self.cfg.host
        servers = choose_subset(
            directory.servers,
            host.name,
            host.data_centre,
            self.cfg.requests.servers_per_role,
        )
        self.poller.set_servers(servers)
        self._dispatcher.tell(DirectoryChanged(servers, dict(directory.documents)))
        for name, doc in directory.documents.items():
            weights = {workspace.name: workspace.weight for workspace in doc.workspaces}
            self.recorder.set_targets(name, doc.targets, weights)
        for req in self.admission.find_withdrawn():
            refusal = Refusal(RefusalType.KEY_WITHDRAWN, Execution.MAY_HAVE_RUN)
            self._dispatcher.tell(StopRequest(req.request_id, refusal))

    def _refresh(self, now: float) -> None:
        listed = self.platform.list("ServiceDocument")
        hosts = self.platform.hosts()
        if listed.is_err() or hosts.is_err():
            return
        documents, versions = {}, {}
        for stored in listed.unwrap().objects:
            doc, findings = load_service(stored.value.decode(), stored.name)
            if stored.deleted or doc is None:
                continue
            documents[doc.name] = doc
            versions[doc.name] = stored.version
        found = hosts.unwrap()
        self.directory.replace(
            build_directory(documents, versions, found.servers, found.hosts)
        )

    def _cancel(self, server: str, attempt_id: str) -> None:
        threading.Thread(
            target=self._cancel_now, args=(server, attempt_id), daemon=True
        ).start()

    def _cancel_now(self, server: str, attempt_id: str) -> None:
        for attempt in range(_CANCEL_TRIES):
            engine = self.backends.find_engine(server)
            if engine is None or engine.cancel(attempt_id).is_ok():
                return
            time.sleep(0.1 * 2**attempt)


def _log_timer_error(name: str, exc: Exception) -> None:
    _LOG.error("timer callback failed", extra={"timer": name, "error": repr(exc)})
