"""Find the route and workspace of a request and forward it to its service.

A request runs on the thread of its caller's connection. It is sent a second time only
if the first server certainly did not run it or its route allows a retry.
"""

import attrs

from sesameport.admission import RouteTable, combine_regions
from sesameport.entry.configuration import EntryRoute, RequestKind, key_digest
from sesameport.entry.crash_detector import CrashDetector
from sesameport.entry.crash_guard import CrashGuard
from sesameport.entry.generation_handler import GenerationHandler
from sesameport.entry.outcomes import OutcomeReporter, RequestProgress, ResponseWriter
from sesameport.entry.plain_handler import PlainHandler
from sesameport.entry.requests import (
    CallerConnection,
    CallerDisconnected,
    EntryRequest,
    ServerClient,
)
from sesameport.entry.stopping import (
    HOST_STOPPING,
    STOPPING_RETRY_AFTER_S,
    ProcessStop,
)

__all__ = ["Forwarder"]

MIN_TIME_LEFT_S = 1.0
"""Time before the end of the process in which requests are rejected, seconds: many
times the usual duration of a plain request."""


class Forwarder:
    """Forward requests of callers.

    Parameters
    ----------
    actor : pykka.ActorRef
        The entry actor, which admits and places requests.
    routes : CurrentRoutes
        Route table in force.
    calls : ServerClient
        Client of the backend servers.
    data_centre : str
        Data centre of this host.
    metrics : Metrics
        Counters and histograms.
    guard : CrashGuard
        Refuses requests that crash servers.
    stop : ProcessStop
        When this process ends.
    """

    def __init__(
        self,
        actor,
        routes,
        calls: ServerClient,
        data_centre: str,
        metrics,
        guard: CrashGuard,
        stop: ProcessStop,
    ):
        self._stop = stop
        self._routes = routes
        crashes = CrashDetector(calls, metrics, guard.record_crash)
        self._outcomes = OutcomeReporter(actor, metrics, crashes)
        self._plain = PlainHandler(actor, calls, self._outcomes, guard)
        self._generations = GenerationHandler(
            actor, calls, self._outcomes, guard, data_centre, stop
        )

    def forward(
        self,
        req: EntryRequest,
        host: str,
        key: str,
        writer: ResponseWriter,
        caller: CallerConnection,
    ) -> None:
        """Forward one request and respond to its caller."""
        table: RouteTable | None = self._routes.table
        if table is None:
            self._outcomes.reject_request(req, writer, 503, "no-configuration", 1.0)
            return
        route = table.find_route(host, req.target)
        if route is None:
            self._outcomes.reject_request(req, writer, 404, "no-route")
            return
        if self._stop.has_begun:
            if not self._accepts(route, req.received_at):
                self._outcomes.reject_request(
                    req, writer, 503, HOST_STOPPING, STOPPING_RETRY_AFTER_S
                )
                return
            req = attrs.evolve(req, deadline=min(req.deadline, self._stop.ends_at))
        workspace, priority, charge = "", route.priority, 0.0
        workspace_regions: tuple[str, ...] = ()
        if table.needs_key(route):
            caller_workspace = table.find_workspace(key_digest(key)) if key else None
            if caller_workspace is None:
                self._outcomes.reject_request(req, writer, 401, "unknown-key")
                return
            workspace = caller_workspace.name
            workspace_regions = caller_workspace.allowed_regions
            if caller_workspace.priority is not None:
                priority = caller_workspace.priority
            charge = float(
                req.tokens.total() if req.tokens else caller_workspace.plain_tokens
            )
        service = table.choose_service(route, req.request_id)
        req = attrs.evolve(
            req,
            route=route,
            workspace=workspace,
            deadline=min(req.deadline, req.received_at + route.timeout_s),
            allowed_regions=combine_regions(route.allowed_regions, workspace_regions),
            rank=table.rank(route, service, priority),
        )
        progress = RequestProgress(req, route, table.configuration.version, service)
        try:
            if route.kind == RequestKind.STREAM:
                self._generations.handle(
                    progress, service, priority, charge, writer, caller
                )
            else:
                self._plain.handle(progress, service, charge, writer, caller)
        except CallerDisconnected:
            progress.set_outcome("caller-left", "caller closed its connection")
            writer.abort()
        finally:
            self._outcomes.record_end(progress)

    def _accepts(self, route: EntryRoute, now: float) -> bool:
        """Return whether a stopping host accepts a request of a route."""
        if route.kind == RequestKind.STREAM and now >= self._stop.streams_until:
            return False
        return self._stop.leaves_time(MIN_TIME_LEFT_S, now)
