"""Call backend servers, except those that want nothing, and pass on their notices."""

import time
from collections.abc import Callable

from result import Err, Ok

from sesameport.admission import Evacuations, RequestLimits
from sesameport.entry import messages as m
from sesameport.entry.requests import (
    CallerDisconnected,
    CallFailure,
    CallInterrupted,
    FailureKind,
    KvSource,
    ServerClient,
)
from sesameport.entry.role_controller import EngineOrderClient
from sesameport.entry.server_bytes import CountedResponse, ServerBytes
from sesameport.entry.server_notices import NO_NOTICE, ServerNotice
from sesameport.entry.stopping import HOST_STOPPING, ProcessStop
from sesameport.telemetry.logs import get_logger

__all__ = ["EvacuationOrderClient", "NoticedServerClient"]

EVACUATED = CallFailure(FailureKind.NOT_SENT, "the data centre is evacuated")
LIMITED = CallFailure(FailureKind.NOT_SENT, "the server has a limit of requests")
FULL = CallFailure(FailureKind.NOT_SENT, "the server holds this host's share of bytes")
STOPPING = CallFailure(FailureKind.NOT_SENT, HOST_STOPPING)
PAUSED = CallFailure(FailureKind.NOT_SENT, "the server wants nothing now")

_CALLER_ERRORS = (CallerDisconnected, CallInterrupted)

log = get_logger("limits")


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
        Counts the calls of servers that name a limit or are cold, and those that were
        not sent to an evacuated data centre.
    evacuations : Evacuations
        Data centres whose servers get nothing.
    server_bytes : ServerBytes or None
        Bytes of requests in flight to each server.
    stop : ProcessStop or None
        When this process ends; from then on, servers get nothing.
    """

    def __init__(
        self,
        limits: RequestLimits,
        tell: Callable[[m.ServerNoticed], None],
        metrics,
        evacuations: Evacuations,
        server_bytes: ServerBytes | None = None,
        stop: ProcessStop | None = None,
    ):
        self._stop = stop or ProcessStop()
        self._bytes = server_bytes or ServerBytes(None, lambda: 1)
        self._limits = limits
        self._notices = limits.notices
        self._tell = tell
        self._metrics = metrics
        self._evacuations = evacuations
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
        refusal = self._find_refusal(server, "prefill")
        if refusal is not None:
            return Err(refusal)
        if not self._bytes.take(server, len(req.body)):
            return Err(self._refuse_full(server))
        try:
            self._record_call(server, "prefill")
            return self._calls.prefill(address, server, req, caller, attempt_timeout_s)
        except _CALLER_ERRORS:
            raise
        except Exception as exc:
            return Err(self._record_unexpected(server, "prefill", exc))
        finally:
            self._bytes.release(server, len(req.body))

    def run(
        self,
        address,
        server,
        req,
        caller,
        source=None,
        attempt_timeout_s=None,
        lease=None,
    ):
        """Run a request; see ``ServerClient``."""
        call = "resume" if req.resume_after else "run"
        refusal = self._find_refusal(server, call)
        if refusal is not None:
            return Err(refusal)
        size = len(req.body)
        if not self._bytes.take(server, size):
            return Err(self._refuse_full(server))
        is_open = False
        try:
            self._record_call(server, call)
            result = self._calls.run(
                address, server, req, caller, source, attempt_timeout_s, lease
            )
            is_open = self._bytes.is_bounded and result.is_ok()
        except _CALLER_ERRORS:
            raise
        except Exception as exc:
            return Err(self._record_unexpected(server, call, exc))
        finally:
            if not is_open:
                self._bytes.release(server, size)
        if is_open:
            # The server holds the request until its response ends.
            return Ok(CountedResponse(result.unwrap(), self._bytes, server, size))
        return result

    def lease_memory(self, address, server, tokens, seconds):
        """Lease memory of an engine; see ``ServerClient``.

        A server that has a limit gets no such call, which would count against it.
        """
        if self._has_limit(server):
            return Err(LIMITED)
        refusal = self._find_refusal(server, "lease")
        if refusal is not None:
            return Err(refusal)
        try:
            return self._calls.lease_memory(address, server, tokens, seconds)
        except Exception as exc:
            return Err(self._record_unexpected(server, "lease", exc))

    def release_memory(self, lease):
        """Release a lease; see ``ServerClient``.

        A server that has a limit or wants nothing releases it at its expiry.
        """
        if self._has_limit(lease.server):
            return
        if self._find_refusal(lease.server, "release") is not None:
            return
        try:
            self._calls.release_memory(lease)
        except Exception as exc:
            self._record_unexpected(lease.server, "release", exc)

    def free(self, source: KvSource):
        """Release the KV cache of a prefill; see ``ServerClient``.

        A server that has a limit or wants nothing releases it at its expiry.
        """
        if self._has_limit(source.server):
            return Err(LIMITED.detail)
        refusal = self._find_refusal(source.server, "free")
        if refusal is not None:
            return Err(refusal.detail)
        try:
            return self._calls.free(source)
        except Exception as exc:
            return Err(self._record_unexpected(source.server, "free", exc).detail)

    def refuses_connections(self, address: str) -> bool:
        """Return whether no process listens at the address of a server."""
        return self._calls.refuses_connections(address)

    def _find_refusal(self, server: str, call: str) -> CallFailure | None:
        """Return why a server gets nothing, perhaps since the placement, or None."""
        if self._evacuations.forbids(server):
            self._metrics.count("sesameport_entry_evacuated_calls_total", call=call)
            return EVACUATED
        now = time.monotonic()
        if not self._stop.leaves_time(0.0, now):
            return STOPPING
        if now < self._notices.paused_until(server):
            return PAUSED
        return None

    def _refuse_full(self, server: str) -> CallFailure:
        self._metrics.count(
            "sesameport_entry_limit_refusals_total", bound="server-bytes"
        )
        log.info("limit reached", extra={"server": server, "bound": "server-bytes"})
        return FULL

    def _record_unexpected(self, server: str, call: str, exc: Exception) -> CallFailure:
        """Return the failure of a call that ended by an exception of its client.

        The server has caused it, or a fault of this program, and the request may have
        arrived. Other servers are not affected.
        """
        log.error(
            "call failed unexpectedly",
            extra={"server": server, "call": call, "error": repr(exc)},
        )
        return CallFailure(FailureKind.BROKEN, f"unexpected: {exc!r}")

    def _has_limit(self, server: str) -> bool:
        return self._limits.limit_of(server, time.monotonic()) is not None

    def _record_call(self, server: str, call: str) -> None:
        self._evacuations.record_send(server, time.monotonic())
        if self._notices.limit_of(server) is not None:
            self._metrics.count("sesameport_entry_limited_calls_total", call=call)
        if self._limits.is_cold(server, time.monotonic()):
            self._metrics.count("sesameport_entry_cold_calls_total", call=call)


class EvacuationOrderClient:
    """Send no orders to engines of evacuated data centres.

    This class implements ``EngineOrderClient``. An evacuation may begin after an engine
    was selected and before it gets its order.

    Parameters
    ----------
    orders : EngineOrderClient
        Client that sends the orders.
    evacuations : Evacuations
        Data centres whose servers get nothing.
    """

    def __init__(self, orders: EngineOrderClient, evacuations: Evacuations):
        self._orders = orders
        self._evacuations = evacuations

    def read_state(self, server):
        """Return the state of an engine; see ``EngineOrderClient``."""
        if self._evacuations.is_evacuated(server.data_centre):
            return Err(EVACUATED.detail)
        return self._orders.read_state(server)

    def change_role(self, change, holder, epoch, orders_taken):
        """Order a role change; see ``EngineOrderClient``."""
        if self._evacuations.is_evacuated(change.server.data_centre):
            return Err(EVACUATED.detail)
        return self._orders.change_role(change, holder, epoch, orders_taken)
