"""Detect crashes of backend servers from the requests that were in flight there."""

import time
from collections.abc import Callable

from sesameport.entry.requests import CallFailure, FailureKind, ServerClient
from sesameport.entry.servers import EntryServer
from sesameport.telemetry.logs import get_logger

__all__ = ["CrashDetector"]

log = get_logger("requests")


class CrashDetector:
    """Tell a crash from a connection that a running server closed.

    A server that has crashed refuses connections until it has restarted. Of the
    requests in flight there, only one that it had just begun to answer may have caused
    the crash.

    Parameters
    ----------
    calls : ServerClient
        Client of the backend servers.
    metrics : Metrics
        Counters.
    on_crash : callable
        Called with the ``RequestProgress`` and the server of each crash.
    """

    def __init__(
        self,
        calls: ServerClient,
        metrics,
        on_crash: Callable[[object, EntryServer], None],
    ):
        self._calls = calls
        self._metrics = metrics
        self._on_crash = on_crash

    def record_failure(
        self,
        progress,
        server: EntryServer,
        failure: CallFailure,
        call: str,
    ) -> None:
        """Record a crash if the server crashed as it began to answer a request.

        ``progress`` is the ``RequestProgress`` of the request.
        """
        if failure.kind != FailureKind.BROKEN:
            return
        if call != "prefill" and progress.has_settled():
            return
        if not self._calls.refuses_connections(server.address):
            return
        self._metrics.count("sesameport_entry_server_crashes_total", call=call)
        log.warning(
            "server crashed on a request",
            extra={
                "request_id": progress.req.request_id,
                "server": server.name,
                "service": server.service,
                "started_at_ms": server.started_at_ms,
                "call": call,
                "prefill": progress.prefill_server,
                "run_s": round(time.monotonic() - progress.run_began_at, 3),
                "events": progress.run_events,
                "parts": ",".join(progress.req.prompt_parts),
                "workspace": progress.req.workspace,
            },
        )
        self._on_crash(progress, server)
