"""Take a lease of decode memory before the prefill of a generation."""

from result import Err, Ok

from sesameport.admission import Placement
from sesameport.entry import messages as m
from sesameport.entry.outcomes import RequestProgress
from sesameport.entry.requests import CallFailure, FailureKind, ServerClient
from sesameport.telemetry.logs import get_logger

__all__ = ["MAX_LEASE_REFUSALS", "MemoryLeaseHandler"]

MAX_LEASE_REFUSALS = 8
"""Number of leases that engines may refuse to one request. It bounds the calls for a
request while decode memory is full."""

log = get_logger("requests")


class MemoryLeaseHandler:
    """Take and release leases, each on the thread of its caller's connection.

    Parameters
    ----------
    actor : pykka.ActorRef
        The entry actor.
    calls : ServerClient
        Client of the engines.
    metrics : Metrics
        Counts leases by result.
    """

    def __init__(self, actor, calls: ServerClient, metrics):
        self._actor = actor
        self._calls = calls
        self._metrics = metrics

    def take(
        self, progress: RequestProgress, placement: Placement
    ) -> CallFailure | None:
        """Take the planned lease; return why the prefill must not start, or None.

        An engine that cannot answer the call is used without a lease.
        """
        if placement.lease_tokens <= 0:
            return None
        engine = placement.decode
        result = self._calls.lease_memory(
            engine.address, engine.name, placement.lease_tokens, placement.lease_s
        )
        match result:
            case Ok(lease):
                progress.lease = lease
                self._count("granted", placement)
                return None
            case Err(CallFailure(FailureKind.REFUSED)):
                pass
            case Err(failure):
                self._count("failed", placement)
                self._log("lease of decode memory failed", progress, placement, failure)
                return None
        self._count("refused", placement)
        progress.lease_refusals += 1
        self._actor.tell(m.MemoryRefused(engine.name, placement.lease_tokens))
        failure = CallFailure(FailureKind.NOT_SENT, "no decode memory to lease")
        self._log("lease of decode memory refused", progress, placement, failure)
        return failure

    def release(self, progress: RequestProgress) -> None:
        """Release a lease that no request has used."""
        lease, progress.lease = progress.lease, None
        if lease is not None:
            self._calls.release_memory(lease)

    def _count(self, result: str, placement: Placement) -> None:
        self._metrics.count("sesameport_entry_memory_leases_total", result=result)
        if placement.beyond_tokens > 0:
            self._metrics.count("sesameport_entry_urgent_leases_total", result=result)

    def _log(
        self, event: str, progress: RequestProgress, placement: Placement, failure
    ) -> None:
        log.info(
            event,
            extra={
                "request_id": progress.req.request_id,
                "server": placement.decode.name,
                "kv_tokens": placement.lease_tokens,
                "failure": str(failure.kind),
                "detail": failure.detail,
            },
        )
