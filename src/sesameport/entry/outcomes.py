"""Track the progress of a request, respond to its caller and log the outcome."""

import time
from collections.abc import Iterator
from typing import Protocol

import attrs

from sesameport.entry import messages as m
from sesameport.entry.configuration import EntryRoute
from sesameport.entry.crash_detector import CrashDetector
from sesameport.entry.requests import (
    MAX_BUFFERED_BYTES,
    EntryRequest,
    FailureKind,
    KvSource,
    MemoryLease,
    forward_rest,
)
from sesameport.entry.servers import EntryServer
from sesameport.telemetry.logs import get_logger

__all__ = ["MAX_SENDS", "OutcomeReporter", "RequestProgress", "ResponseWriter"]

MAX_SENDS = 4
"""Number of servers to which one request is sent, whether or not they run it. It bounds
the time spent on servers that refuse."""

SETTLING_S = 0.3
"""Time after the first event of a run from which no crash of its server is attributed
to it, seconds. The last events before a crash may arrive after the first one."""

log = get_logger("requests")


class ResponseWriter(Protocol):
    """Write the response to a caller."""

    def send_complete(self, status: int, headers, body: bytes) -> None:
        """Send a complete response of a backend server."""
        ...

    def refuse(
        self, status: int, reason: str, retry_after_s: float | None = None
    ) -> None:
        """Send a refusal by the router itself."""
        ...

    def start(self, status: int, headers) -> None:
        """Send the status and headers of a stream."""
        ...

    def send(self, data: bytes) -> None:
        """Send a part of a stream.

        Raises
        ------
        CallerDisconnected
            If the caller disconnected.
        """
        ...

    def finish(self) -> None:
        """End a complete stream."""
        ...

    def abort(self) -> None:
        """Close the connection so that the caller sees the stream as incomplete."""
        ...


@attrs.define
class RequestProgress:
    """Track the attempts of a request, for further attempts and the log line.

    Attributes
    ----------
    is_trial : bool
        Whether the request shows if its refused subject still crashes servers.
    sends : int
        Number of servers to which the request was sent.
    runs : int
        Number of servers that ran the request or may have run it.
    has_arrived : bool
        Whether a call that counts as an arrival has reached a server. The first prefill
        that a server accepts does not count.
    has_prefilled : bool
        Whether a server has accepted a prefill.
    excluded : set of str
        Servers that get no further attempt.
    source : KvSource or None
        KV cache of the prompt at a prefill server, valid until ``source_expires_at``.
    server : EntryServer or None
        Server of the present run.
    lease : MemoryLease or None
        Decode memory that is leased for the present attempt and not used yet.
    lease_refusals : int
        Number of leases that engines refused to the request.
    prefill_server : str
        Name of the server whose KV cache the present run uses, if any.
    run_events : int
        Number of reads with events that the present run has returned.
    run_began_at : float
        Monotonic time at which the present run was sent to its server, seconds.
    body_bytes : int
        Bytes of servers' bodies that were sent to the caller.
    crash_subjects : tuple of str
        What the request has in common with others that crash servers, once known.
    """

    req: EntryRequest
    route: EntryRoute
    version: int
    service: str = ""
    is_trial: bool = False
    sends: int = 0
    runs: int = 0
    has_arrived: bool = False
    has_prefilled: bool = False
    excluded: set[str] = attrs.field(factory=set)
    servers: list[str] = attrs.field(factory=list)
    server: EntryServer | None = None
    waited_s: float = 0.0
    first_s: float | None = None
    longest_pause_s: float = 0.0
    _last_event_at: float | None = None
    run_events: int = 0
    run_began_at: float = 0.0
    _run_first_event_at: float | None = None
    status: int = 0
    body_bytes: int = 0
    outcome: str = ""
    reason: str = ""
    has_run: bool = False
    source: KvSource | None = None
    source_expires_at: float = 0.0
    prefill_server: str = ""
    lease: MemoryLease | None = None
    lease_refusals: int = 0
    crash_subjects: tuple[str, ...] = ()

    def begin_run(self, server: EntryServer) -> None:
        """Record that the request is sent to a server that will run it."""
        self.servers.append(server.name)
        self.server = server
        self.run_events = 0
        self.run_began_at = time.monotonic()
        self._run_first_event_at = None

    def has_settled(self) -> bool:
        """Return whether the present run has sent events for some time.

        A server that crashes on a request does so when it begins to answer it.
        """
        if self._run_first_event_at is None:
            return False
        return time.monotonic() - self._run_first_event_at >= SETTLING_S

    def run_events_s(self) -> float:
        """Return the time from the first to the last event of the run, seconds."""
        if self._run_first_event_at is None or self._last_event_at is None:
            return 0.0
        return max(0.0, self._last_event_at - self._run_first_event_at)

    def record_event(self) -> None:
        """Record the time of an event that is forwarded, and the pause before it."""
        now = time.monotonic()
        self.run_events += 1
        if self._run_first_event_at is None:
            self._run_first_event_at = now
        if self._last_event_at is None:
            self.first_s = now - self.req.received_at
        else:
            self.longest_pause_s = max(self.longest_pause_s, now - self._last_event_at)
        self._last_event_at = now

    def repeats(self, has_prefill: bool) -> int:
        """Return how many calls of a further attempt repeat an earlier one.

        ``has_prefill`` is true if the attempt begins with a prefill. The attempt is
        counted as a whole, so that it is not sent only in part.
        """
        return int(self.has_arrived) + int(self.has_prefilled and has_prefill)

    def has_source(self) -> bool:
        """Return whether a KV cache of the prompt can still be fetched."""
        return self.source is not None and time.monotonic() < self.source_expires_at

    def set_outcome(self, outcome: str, reason: str) -> None:
        """Set the outcome and its reason."""
        self.outcome = outcome
        self.reason = reason

    def time_left_s(self) -> float:
        """Return the time until the deadline of the request, seconds."""
        return self.req.deadline - time.monotonic()


class OutcomeReporter:
    """Respond to callers, and report outcomes to the actor, the metrics and the log.

    Parameters
    ----------
    actor : pykka.ActorRef
        The entry actor, which tracks server health.
    metrics : Metrics
        Counters and histograms.
    crashes : CrashDetector
        Attributes crashes of servers to requests.
    """

    def __init__(self, actor, metrics, crashes: CrashDetector):
        self._actor = actor
        self.metrics = self._metrics = metrics
        self._crashes = crashes

    def send_response(
        self, progress, writer, status, headers, body, rest: Iterator[bytes] = iter(())
    ) -> None:
        """Send a response of a server to the caller.

        If the body exceeds ``MAX_BUFFERED_BYTES``, ``rest`` yields what follows it.
        """
        progress.status = status
        progress.body_bytes = len(body)
        progress.outcome = "served" if status < 400 else "server-failed"
        if len(body) <= MAX_BUFFERED_BYTES:
            writer.send_complete(status, headers, body)
            return
        writer.start(status, headers)
        writer.send(body)

        def send(data: bytes) -> None:
            progress.body_bytes += len(data)
            writer.send(data)

        failure = forward_rest(rest, send)
        if failure is None:
            writer.finish()
            return
        self.record_failure(progress, progress.server, failure)
        progress.set_outcome("broken-off", failure.detail)
        writer.abort()

    def refuse(self, progress, writer, refused: m.Refused) -> None:
        """Respond to a caller whose request was not admitted."""
        if progress.has_run:
            progress.set_outcome("failed", refused.reason)
            progress.status = 502
            writer.refuse(502, refused.reason)
            return
        progress.set_outcome("refused", refused.reason)
        progress.status = 429 if refused.is_over_quota else 503
        writer.refuse(progress.status, refused.reason, refused.retry_after_s)

    def fail(self, progress, writer, failure) -> None:
        """Respond to a caller whose request failed; 503 only if it has not run."""
        reason = f"{failure.kind}: {failure.detail}"
        if failure.kind == FailureKind.TIMEOUT:
            progress.set_outcome("timed-out", reason)
            progress.status = 504
            writer.refuse(504, "timeout")
        elif failure.kind.has_not_run() and not progress.has_run:
            progress.set_outcome("refused", reason)
            progress.status = 503
            writer.refuse(503, str(failure.kind), 1.0)
        else:
            progress.set_outcome("failed", reason)
            progress.status = 502
            writer.refuse(502, str(failure.kind))

    def reject_request(self, req, writer, status, reason, retry_after_s=None) -> None:
        """Respond to a request that fails before a service is chosen."""
        log.info(
            "request rejected",
            extra={"request_id": req.request_id, "status": status, "reason": reason},
        )
        self._metrics.count(
            "sesameport_entry_requests_total",
            kind="none",
            outcome="turned-away",
            reason=reason,
        )
        writer.refuse(status, reason, retry_after_s)

    def record_failure(
        self,
        progress,
        server: EntryServer,
        failure,
        call: str = "run",
        will_retry: bool = False,
    ) -> None:
        """Log a failed call and report its outcome to the actor.

        ``will_retry`` is true if the same server is called again.
        """
        if not failure.kind.is_of_server():
            return
        unreachable = failure.kind == FailureKind.UNREACHABLE
        # A prefill takes a fraction of its timeout unless the response was lost or the
        # server is unresponsive. The outcome of the retry tells these apart.
        unresponsive = (
            call == "prefill" and failure.kind == FailureKind.TIMEOUT and not will_retry
        )
        failed = failure.kind in (FailureKind.BROKEN, FailureKind.TIMEOUT)
        refused = failure.kind == FailureKind.REFUSED
        is_decode = call == "decode"
        if failure.kind != FailureKind.NOT_SENT:
            outcome = m.CallOutcome(
                server.name,
                failed,
                unreachable,
                refused and not is_decode,
                refused and is_decode,
                failure.kind == FailureKind.WRONG_SERVER,
                unresponsive,
            )
            self._actor.tell(outcome)
        log.info(
            "attempt failed",
            extra={
                "request_id": progress.req.request_id,
                "server": server.name,
                "call": call,
                "failure": str(failure.kind),
                "detail": failure.detail,
                "send": progress.sends,
                "age_s": round(time.monotonic() - progress.req.received_at, 3),
                "events": progress.run_events,
                "parts": ",".join(progress.req.prompt_parts),
            },
        )
        self._crashes.record_failure(progress, server, failure, call)

    def record_end(self, progress) -> None:
        """Record the end of a request in the metrics and the log."""
        req = progress.req
        total_s = time.monotonic() - req.received_at
        kind = str(progress.route.kind)
        reason = progress.reason.partition(":")[0]
        self._metrics.count(
            "sesameport_entry_requests_total",
            kind=kind,
            outcome=progress.outcome or "failed",
            reason=reason,
        )
        first_s = progress.first_s if progress.first_s is not None else total_s
        if progress.outcome == "served":
            self._metrics.observe("sesameport_entry_answer_seconds", first_s, kind=kind)
            if progress.longest_pause_s:
                self._metrics.observe(
                    "sesameport_entry_pause_seconds",
                    progress.longest_pause_s,
                    kind=kind,
                )
        log.info(
            "request ended",
            extra={
                "request_id": req.request_id,
                "route": progress.route.name,
                "kind": kind,
                "workspace": req.workspace,
                "outcome": progress.outcome or "failed",
                "reason": progress.reason,
                "status": progress.status,
                "body_bytes": progress.body_bytes,
                "servers": ",".join(progress.servers),
                "sends": progress.sends,
                "waited_s": round(progress.waited_s, 3),
                "first_s": round(first_s, 3),
                "longest_pause_s": round(progress.longest_pause_s, 3),
                "total_s": round(total_s, 3),
                "caller_wait_s": req.caller_wait_s,
                "tokens": attrs.astuple(req.tokens) if req.tokens else (),
                "version": progress.version,
            },
        )
