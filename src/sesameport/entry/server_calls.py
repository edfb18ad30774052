"""Call backend servers, except those that want nothing, and pass on their notices."""

import time
from collections.abc import Callable

from result import Err

from sesameport.admission import RequestLimits
from sesameport.entry import messages as m
from sesameport.entry.requests import (
    CallFailure,
    FailureKind,
    KvSource,
    ServerClient,
)
from sesameport.entry.server_notices import NO_NOTICE, ServerNotice

__all__ = ["NoticedServerClient"]

PAUSED = CallFailure(FailureKind.NOT_SENT, "the server wants nothing now")


class NoticedServerClient:
    """Wrap a client of backend servers; implements ``ServerClient``.

    It is thread-safe. The notices are read here, but only the actor changes them.

    Parameters
    ----------
    limits : RequestLimits
        Known notices and limits of servers.
    tell : callable
        Sends `ServerNoticed` to the entry actor.
    metrics : Metrics
        Counts the calls of servers that name a limit or are cold.
    """

    def __init__(
        self,
        limits: RequestLimits,
        tell: Callable[[m.ServerNoticed], None],
        metrics,
    ):
        self._limits = limits
        self._notices = limits.notices
        self._tell = tell
        self._metrics = metrics
        self._calls: ServerClient | None = None

    def wrap(self, calls: ServerClient) -> "NoticedServerClient":
        """Set the client that sends the calls, and return this one."""
        self._calls = calls
        return self

    def record_notice(self, server: str, notice: ServerNotice) -> None:
        """Pass on the notice of an answer unless it says nothing new."""
        if notice != NO_NOTICE or server in self._notices:
            self._tell(m.ServerNoticed(server, notice))

    def prefill(self, address, server, req, caller, attempt_timeout_s):
        """Run a prefill; see ``ServerClient``."""
        if self._is_paused(server):
            return Err(PAUSED)
        self._count(server, "prefill")
        return self._calls.prefill(address, server, req, caller, attempt_timeout_s)

    def run(self, address, server, req, caller, source=None, attempt_timeout_s=None):
        """Run a request; see ``ServerClient``."""
        if self._is_paused(server):
            return Err(PAUSED)
        self._count(server, "resume" if req.resume_after else "run")
        return self._calls.run(address, server, req, caller, source, attempt_timeout_s)

    def free(self, source: KvSource):
        """Release the KV cache of a prefill; see ``ServerClient``.

        A server that has a limit or wants nothing releases it at its expiry.
        """
        if self._limits.limit_of(source.server, time.monotonic()) is not None:
            return Err("the server has a limit of requests")
        if self._is_paused(source.server):
            return Err(PAUSED.detail)
        return self._calls.free(source)

    def refuses_connections(self, address: str) -> bool:
        """Return whether no process listens at the address of a server."""
        return self._calls.refuses_connections(address)

    def _is_paused(self, server: str) -> bool:
        """Return whether a server has asked for a pause, perhaps after a placement."""
        return time.monotonic() < self._notices.paused_until(server)

    def _count(self, server: str, call: str) -> None:
        if self._notices.limit_of(server) is not None:
            self._metrics.count("sesameport_entry_limited_calls_total", call=call)
        if self._limits.is_cold(server, time.monotonic()):
            self._metrics.count("sesameport_entry_cold_calls_total", call=call)
