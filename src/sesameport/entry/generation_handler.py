"""Run a generation through prefill and decode and stream its response."""

import itertools
import time

import attrs
import pykka
from result import Err, Ok

from sesameport.admission import (
    GenerationRequest,
    expected_output_tokens,
    prefix_parts,
)
from sesameport.entry import messages as m
from sesameport.entry.crash_guard import CrashGuard
from sesameport.entry.event_buffer import EventBuffer, EventLengthLimit
from sesameport.entry.memory_leases import MAX_LEASE_REFUSALS, MemoryLeaseHandler
from sesameport.entry.outcomes import MAX_SENDS, OutcomeReporter
from sesameport.entry.prefill_handler import PrefillHandler
from sesameport.entry.prefill_reservation import PrefillReservation
from sesameport.entry.requests import (
    INTERRUPTED,
    CallerDisconnected,
    CallFailure,
    CallInterrupted,
    FailureKind,
    IncompleteResponse,
    ServerClient,
    read_response,
)
from sesameport.entry.stopping import HOST_STOPPING, ProcessStop
from sesameport.telemetry.logs import get_logger

__all__ = ["GenerationHandler"]

DISCONNECT_CHECK_PERIOD_S = 0.2
"""Interval at which a waiting request checks its caller's connection, seconds. Nothing
may be sent for a caller that disconnected half a second ago or earlier."""

RETRYING_CALLER_WAIT_SHARE = 0.84
"""A caller that waits for less than this share of the route's timeout is retrying after
a refusal. First attempts state 0.85 of the timeout or more, and a refusal costs two
seconds of it."""

CALLER_PATIENCE_TARGETS = 4.0
MIN_CALLER_PATIENCE_S = 2.0
"""A caller without an event disconnects after this multiple of its latency target, or
after the minimum in seconds if that is longer, as the users specify."""

SUSPECT_FAILURE = CallFailure(FailureKind.REFUSED, "crashes-servers")
"""Failure of an attempt whose request became refused meanwhile. It has not been sent,
and the next attempt is refused before it is sent."""

STOPPING_FAILURE = CallFailure(FailureKind.NOT_SENT, HOST_STOPPING)
"""Failure of an attempt whose run would not end before this process does."""

EVENT_STREAM = "text/event-stream"

log = get_logger("requests")


class GenerationHandler:
    """Run generations, each on the thread of its caller's connection.

    Parameters
    ----------
    actor : pykka.ActorRef
        The entry actor.
    calls : ServerClient
        Client of the engines.
    outcomes : OutcomeReporter
        Sends responses and records outcomes.
    guard : CrashGuard
        Refuses requests that crash servers.
    data_centre : str
        Data centre of this host.
    stop : ProcessStop or None
        When this process ends.
    """

    def __init__(
        self,
        actor,
        calls: ServerClient,
        outcomes: OutcomeReporter,
        guard: CrashGuard,
        data_centre: str,
        stop: ProcessStop | None = None,
    ):
        self._stop = stop or ProcessStop()
        self._actor = actor
        self._guard = guard
        self._calls = calls
        self._outcomes = outcomes
        self._data_centre = data_centre
        self._prefills = PrefillHandler(actor, calls, outcomes)
        self._leases = MemoryLeaseHandler(actor, calls, outcomes.metrics)
        self._keys = itertools.count(1)

    def handle(self, progress, service, priority, charge, writer, caller) -> None:
        """Stream a generation to its caller; use another engine if one fails."""
        try:
            self._run(progress, service, priority, charge, writer, caller)
        finally:
            self._release_source(progress)

    def _run(self, progress, service, priority, charge, writer, caller) -> None:
        events = EventBuffer() if progress.route.is_resumable else None
        has_started = False
        while True:
            admitted = self._admit(progress, service, priority, charge, caller)
            if isinstance(admitted, m.Refused):
                if has_started:
                    progress.set_outcome("broken-off", admitted.reason)
                    writer.abort()
                else:
                    self._outcomes.refuse(progress, writer, admitted)
                return
            progress.sends += 1
            progress.waited_s += admitted.waited_s
            reservation = PrefillReservation(self._actor, admitted.placement)
            began_at = time.monotonic()
            succeeded = False
            try:
                failure, has_started = self._run_attempt(
                    progress,
                    admitted,
                    reservation,
                    events,
                    has_started,
                    writer,
                    caller,
                )
                succeeded = failure is None
            finally:
                reservation.end()
                ended = m.RunEnded(
                    placement=admitted.placement,
                    seconds=time.monotonic() - began_at,
                    succeeded=succeeded,
                    events=progress.run_events,
                    events_s=progress.run_events_s(),
                )
                self._actor.tell(ended)
                self._leases.release(progress)
            if failure is None:
                return
            if failure.kind == FailureKind.CALLER_LEFT:
                raise CallerDisconnected
            if not self._may_retry(progress, failure):
                if has_started:
                    progress.set_outcome("broken-off", failure.detail)
                    writer.abort()
                else:
                    self._outcomes.fail(progress, writer, failure)
                return
            if events is not None and events.last_id:
                progress.req = attrs.evolve(progress.req, resume_after=events.last_id)

    def _admit(self, progress, service, priority, charge, caller):
        refused = self._guard.refusal(progress)
        if refused is not None:
            return refused
        req, route = progress.req, progress.route
        tokens = req.tokens
        prompt, output = 0, 0
        if tokens is not None:
            prompt = tokens.prompt
            output = expected_output_tokens(tokens.max_output, tokens.expected_output)
        key = next(self._keys)
        has_source = progress.has_source()
        future = pykka.ThreadingFuture()
        self._actor.tell(
            m.AdmitGeneration(
                key,
                req.request_id,
                GenerationRequest(
                    service,
                    self._data_centre,
                    prompt,
                    output,
                    frozenset(progress.excluded),
                    has_source,
                    req.allowed_regions,
                    prefix_parts(req.prompt_parts, req.prompt_part_tokens, prompt),
                ),
                req.workspace,
                # A request that has run stays charged, so a refusal refunds nothing.
                0.0 if progress.has_run else charge,
                req.received_at + route.target_s,
                _caller_disconnects_at(req, route),
                req.caller_wait_s < RETRYING_CALLER_WAIT_SHARE * route.timeout_s,
                priority,
                future,
                is_first_attempt=progress.sends == 0,
                repeats=progress.repeats(has_prefill=not has_source),
            )
        )
        return self._wait_for_admission(progress, key, service, future, caller)

    def _wait_for_admission(self, progress, key, service, future, caller):
        """Return the reply of the actor, or a refusal of the guard meanwhile.

        Without a reply, the request is taken out of the queue in any case.
        """
        reply = None
        try:
            while reply is None:
                try:
                    reply = future.get(timeout=DISCONNECT_CHECK_PERIOD_S)
                except pykka.Timeout:
                    refused = self._guard.refusal(progress)
                    if refused is not None:
                        return refused
                    if caller.is_disconnected():
                        raise CallerDisconnected from None
            return reply
        finally:
            if reply is None:
                self._actor.ask(m.CancelWait(key, service))
                self._release_late_admission(future)

    def _release_late_admission(self, future: pykka.Future) -> None:
        """Release servers granted to a request just before its wait was cancelled."""
        try:
            admitted = future.get(timeout=0)
        except pykka.Timeout:
            return
        if isinstance(admitted, m.Admitted):
            PrefillReservation(self._actor, admitted.placement).end()
            self._actor.tell(m.RunEnded(admitted.placement))

    def _run_attempt(
        self, progress, admitted, reservation, events, has_started, writer, caller
    ):
        placement = admitted.placement
        if self._guard.refusal(progress) is not None:
            return SUSPECT_FAILURE, has_started
        failure = self._leases.take(progress, placement)
        if failure is not None:
            return failure, has_started
        failure = self._prefills.run(progress, placement, reservation, caller)
        if failure is not None:
            return failure, has_started
        if self._guard.refusal(progress) is not None:
            return SUSPECT_FAILURE, has_started
        if not self._stop.leaves_time(admitted.expected_s, time.monotonic()):
            return STOPPING_FAILURE, has_started
        return self._decode(
            progress,
            placement.decode,
            reservation,
            events,
            has_started,
            writer,
            caller,
        )

    def _decode(
        self, progress, decode, reservation, events, has_started, writer, caller
    ):
        source = progress.source
        progress.prefill_server = source.server if source is not None else ""
        progress.begin_run(decode)
        lease, progress.lease = progress.lease, None
        result = self._calls.run(
            decode.address, decode.name, progress.req, caller, source, lease=lease
        )
        match result:
            case Err(failure):
                self._outcomes.record_failure(progress, decode, failure, "decode")
                progress.has_arrived |= failure.kind.has_arrived()
                progress.excluded.add(decode.name)
                if failure.kind == FailureKind.REFUSED and source is not None:
                    self._record_source_failure(progress)
                    self._release_source(progress)
                elif not failure.kind.has_not_run():
                    progress.runs += 1
                    progress.source = None
                return failure, has_started
            case Ok(response):
                pass
        progress.source = None
        progress.has_arrived = progress.has_run = True
        progress.runs += 1
        try:
            return self._stream_response(
                progress,
                decode,
                response,
                reservation,
                events,
                has_started,
                writer,
            )
        finally:
            response.close()

    def _record_source_failure(self, progress) -> None:
        """Record a decode server's refusal as a failure of the prefill server too.

        The refusal does not show whether memory is short or the handle has expired. A
        prefill server whose handles expire takes part in nearly all refusals, so these
        failures add up there.
        """
        server = progress.source.server
        progress.excluded.add(server)
        self._actor.tell(m.CallOutcome(server, failed=True))

    def _stream_response(
        self, progress, server, response, reservation, events, has_started, writer
    ):
        if response.status != 200 or not response.is_signed:
            if has_started:
                detail = f"status {response.status} on resuming"
                return CallFailure(FailureKind.BROKEN, detail), has_started
            return self._forward_error_response(
                progress, server, response, writer
            ), has_started
        if events is not None:
            events.discard_incomplete()
        checked = events if events is not None else EventLengthLimit()
        is_settled = False
        try:
            for chunk in response.chunks():
                reservation.end(succeeded=True)
                data = checked.feed(chunk)
                if not data:
                    continue
                progress.record_event()
                if not is_settled and progress.has_settled():
                    is_settled = True
                    self._guard.record_answer(progress)
                if not has_started:
                    has_started = True
                    writer.start(response.status, response.headers)
                progress.body_bytes += len(data)
                writer.send(data)
            _check_stream_end(response, checked, progress)
        except _STREAM_ERRORS as exc:
            failure = _to_stream_failure(exc)
            self._outcomes.record_failure(progress, server, failure)
            return failure, has_started
        if not has_started:
            writer.start(response.status, response.headers)
            has_started = True
        writer.finish()
        self._guard.record_answer(progress)
        for name in progress.servers[-2:]:
            self._actor.tell(m.CallOutcome(name))
        progress.status = response.status
        progress.outcome = "served"
        return None, has_started

    def _forward_error_response(self, progress, server, response, writer):
        chunks = response.chunks()
        match read_response(response, chunks):
            case Err(failure):
                self._outcomes.record_failure(progress, server, failure)
                return failure
            case Ok((status, headers, body)):
                self._actor.tell(m.CallOutcome(server.name, failed=status >= 500))
                self._outcomes.send_response(
                    progress, writer, status, headers, body, chunks
                )
                return None

    def _may_retry(self, progress, failure) -> bool:
        sends = progress.sends - progress.lease_refusals
        if sends >= MAX_SENDS or progress.lease_refusals > MAX_LEASE_REFUSALS:
            return False
        if progress.time_left_s() <= 0:
            return False
        if failure.kind.has_not_run():
            return True
        progress.has_run = True
        return (
            progress.route.is_resumable
            and failure.kind == FailureKind.BROKEN
            and progress.runs < progress.route.max_attempts
        )

    def _release_source(self, progress) -> None:
        """Release the KV cache of a prompt if no decode server has fetched it."""
        if progress.source is None:
            return
        released = self._calls.free(progress.source)
        progress.source = None
        if released.is_err():
            request_id, error = progress.req.request_id, released.unwrap_err()
            log.info(
                "KV cache handle not released; it will expire",
                extra={"request_id": request_id, "error": error},
            )


_STREAM_ERRORS = (IncompleteResponse, TimeoutError, CallInterrupted)


def _to_stream_failure(exc: Exception) -> CallFailure:
    if isinstance(exc, CallInterrupted):
        return INTERRUPTED
    is_timeout = isinstance(exc, TimeoutError)
    kind = FailureKind.TIMEOUT if is_timeout else FailureKind.BROKEN
    return CallFailure(kind, str(exc))


def _check_stream_end(response, checked, progress) -> None:
    """Raise `IncompleteResponse` if a stream has broken off at its end.

    A stream that ends with its connection looks complete wherever it ends, also before
    its first event.
    """
    for name, value in response.headers:
        if name.lower() == "content-type" and not _is_event_stream(value):
            return
    checked.finish()
    if not response.is_delimited and not progress.run_events:
        raise IncompleteResponse("the connection ended before the first event")


def _is_event_stream(content_type: str) -> bool:
    return content_type.partition(";")[0].strip().lower() == EVENT_STREAM


def _caller_disconnects_at(req, route) -> float:
    """Return the monotonic time at which a caller without an event disconnects."""
    patience_s = max(MIN_CALLER_PATIENCE_S, CALLER_PATIENCE_TARGETS * route.target_s)
    return min(req.deadline, req.received_at + patience_s)
