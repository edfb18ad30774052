"""Carry a generation through prefill and decode and stream its answer."""

import itertools
import time

import attrs
import pykka
from result import Err, Ok

from sesameport.admission import Generation, Placement, expected_output
from sesameport.entry import messages as m
from sesameport.entry.event_buffer import EventBuffer
from sesameport.entry.outcomes import MAX_SENDS, OutcomeReporter
from sesameport.entry.requests import (
    AnswerBroken,
    CallerGone,
    CallFailure,
    FailureKind,
    KvSource,
    ServerCalls,
    read_response,
)
from sesameport.telemetry.logs import get_logger

__all__ = ["GenerationHandler"]

DISCONNECT_CHECK_PERIOD_S = 0.2
"""Interval at which a waiting request looks for its caller, seconds: below the half
second after which nothing may be sent for a caller that left."""

RETRYING_CALLER_WAIT_SHARE = 0.84
"""A caller that waits less than this part of the route's timeout came back after a
refusal: first attempts name 0.85 of it or more, and a refusal costs two seconds."""

HANDLE_LIFETIME_SHARE = 0.7
"""Part of a handle's lifetime within which it is offered to another decode server; the
rest is for the call to reach that server."""

CALLER_PATIENCE_TARGETS = 4.0
MIN_CALLER_PATIENCE_S = 2.0
"""Callers leave a stream without an event after this many of their targets, or this
time in seconds if it is longer; the users state it."""

PREFILL_TIMEOUT_MARGIN_S = 0.35
PREFILL_TIMEOUT_FACTOR = 2.0
MAX_PREFILL_TIMEOUT_S = 1.0
"""A prefill is awaited for the expected time times the factor plus the margin, at most
for the longest time, seconds. An answer that is lost is noticed soon enough for a draft
in time; engines read 1.3 times as slowly as others."""

LOST_RESPONSE_KINDS = frozenset({FailureKind.BROKEN, FailureKind.TIMEOUT})

log = get_logger("requests")


class GenerationHandler:
    """Run generations, each on the thread of its caller.

    Parameters
    ----------
    actor : pykka.ActorRef
        The entry actor.
    calls : ServerCalls
        Client of the engines.
    outcomes : Outcomes
        Answers callers.
    data_centre : str
        Data centre of this host.
    """

    def __init__(
        self, actor, calls: ServerCalls, outcomes: OutcomeReporter, data_centre: str
    ):
        self._actor = actor
        self._calls = calls
        self._outcomes = outcomes
        self._data_centre = data_centre
        self._keys = itertools.count(1)

    def handle(self, progress, service, priority, charge, writer, caller) -> None:
        """Stream a generation to its caller, at another engine if the first fails."""
        try:
            self._run_attempts(progress, service, priority, charge, writer, caller)
        finally:
            self._release_source(progress)

    def _run_attempts(
        self, progress, service, priority, charge, writer, caller
    ) -> None:
        event_buffer = EventBuffer() if progress.route.is_resumable else None
        uses_retry_budget, started = False, False
        while True:
            admitted = self._admit(
                progress, service, priority, charge, uses_retry_budget, caller
            )
            if isinstance(admitted, m.Refused):
                if started:
                    progress.set_outcome("broken-off", admitted.reason)
                    writer.abort()
                else:
                    self._outcomes.refuse(progress, writer, admitted)
                return
            progress.sends += 1
            progress.waited_s += admitted.waited_s
            since = time.monotonic()
            succeeded = False
            try:
                failure, started = self._run_attempt(
                    progress, admitted.placement, event_buffer, started, writer, caller
                )
                succeeded = failure is None
            finally:
                ended = m.RunEnded(
                    placement=admitted.placement,
                    seconds=time.monotonic() - since,
                    succeeded=succeeded,
                )
                self._actor.tell(ended)
            if failure is None:
                return
            if failure.kind == FailureKind.CALLER_LEFT:
                raise CallerGone
            if not self._may_retry(progress, failure):
                if started:
                    progress.set_outcome("broken-off", failure.detail)
                    writer.abort()
                else:
                    self._outcomes.fail(progress, writer, failure)
                return
            uses_retry_budget = (
                uses_retry_budget or failure.kind != FailureKind.UNREACHABLE
            )
            if event_buffer is not None and event_buffer.last_id:
                progress.req = attrs.evolve(
                    progress.req, resume_after=event_buffer.last_id
                )

    def _admit(self, progress, service, priority, charge, uses_retry_budget, caller):
        req, route = progress.req, progress.route
        tokens = req.tokens
        prompt, output = 0, 0
        if tokens is not None:
            prompt = tokens.prompt
            output = expected_output(tokens.max_output, tokens.expected_output)
        key = next(self._keys)
        future = pykka.ThreadingFuture()
        self._actor.tell(
            m.AdmitGeneration(
                key,
                req.request_id,
                Generation(
                    service,
                    self._data_centre,
                    prompt,
                    output,
                    frozenset(progress.excluded),
                    progress.has_source(),
                ),
                req.workspace,
                # What has run stays charged, so there is nothing to give back.
                0.0 if progress.has_run else charge,
                req.received_at + route.target_s,
                _caller_leaves_at(req, route),
                req.caller_wait_s < RETRYING_CALLER_WAIT_SHARE * route.timeout_s,
                priority,
                future,
                is_first_attempt=progress.sends == 0,
                uses_retry_budget=uses_retry_budget,
            )
        )
        while True:
            try:
                return future.get(timeout=DISCONNECT_CHECK_PERIOD_S)
            except pykka.Timeout:
                if caller.has_left():
                    self._actor.ask(m.CancelWait(key, service))
                    self._release_late_admission(future)
                    raise CallerGone from None

    def _release_late_admission(self, future: pykka.Future) -> None:
        """Free what a withdrawn request got just before its withdrawal."""
        try:
            admitted = future.get(timeout=0)
        except pykka.Timeout:
            return
        if isinstance(admitted, m.Admitted):
            self._actor.tell(m.PrefillEnded(admitted.placement, 0.0, False))
            self._actor.tell(m.RunEnded(admitted.placement))

    def _run_attempt(self, progress, placement, event_buffer, started, writer, caller):
        failure = self._prefill(progress, placement, caller)
        if failure is not None:
            return failure, started
        local_prefill = _LocalPrefill(self._actor, placement)
        try:
            return self._decode(
                progress,
                placement.decode,
                local_prefill,
                event_buffer,
                started,
                writer,
                caller,
            )
        finally:
            local_prefill.report_end(False)

    def _decode(
        self, progress, decode, local_prefill, event_buffer, started, writer, caller
    ):
        source = progress.source
        progress.servers.append(decode.name)
        result = self._calls.run(
            decode.address, decode.name, progress.req, caller, source
        )
        match result:
            case Err(failure):
                self._outcomes.record_failure(progress, decode.name, failure, "decode")
                progress.excluded.add(decode.name)
                if failure.kind == FailureKind.REFUSED and source is not None:
                    self._record_source_failure(progress)
                    self._release_source(progress)
                elif not failure.kind.has_not_run():
                    progress.source = None
                return failure, started
            case Ok(answer):
                pass
        progress.source = None
        progress.has_run = True
        progress.runs += 1
        try:
            return self._stream_response(
                progress,
                decode.name,
                answer,
                local_prefill,
                event_buffer,
                started,
                writer,
            )
        finally:
            answer.close()

    def _record_source_failure(self, progress) -> None:
        """Count a decode server's refusal against the source of the KV cache as well.

        A refusal does not tell whether memory is short or the handle has lapsed. Only
        a source whose handles lapse is part of nearly all refusals.
        """
        server = progress.source.server
        progress.excluded.add(server)
        self._actor.tell(m.CallOutcome(server, failed=True))

    def _prefill(self, progress, placement: Placement, caller) -> CallFailure | None:
        """Have the prompt read, unless it is; returns the failure."""
        server = placement.prefill
        if server is None:
            return None
        progress.source = None  # what was kept has lapsed
        since = time.monotonic()
        result = self._call_prefill(progress, placement, caller)
        now = time.monotonic()
        self._actor.tell(m.PrefillEnded(placement, now - since, isinstance(result, Ok)))
        match result:
            case Ok(found):
                progress.servers.append(server.name)
                progress.source = KvSource(found.address, found.handle, server.name)
                progress.source_expires_at = (
                    now + HANDLE_LIFETIME_SHARE * placement.handle_s
                )
                return None
            case Err(failure):
                progress.excluded.add(server.name)
                if failure.kind in LOST_RESPONSE_KINDS:
                    # A prefill is no run: its loss leaves nothing behind.
                    failure = attrs.evolve(failure, kind=FailureKind.REFUSED)
                return failure

    def _call_prefill(self, progress, placement: Placement, caller):
        """Call the prefill server, once more if its answer was lost.

        It keeps what it has read, so that the repeat costs it no second reading, which
        another server would have to do.
        """
        server = placement.prefill
        within_s = (
            PREFILL_TIMEOUT_MARGIN_S + PREFILL_TIMEOUT_FACTOR * placement.reading_s
        )
        within_s = min(MAX_PREFILL_TIMEOUT_S, within_s)
        retries = 1
        while True:
            result = self._calls.prefill(
                server.address, server.name, progress.req, caller, within_s
            )
            if result.is_ok():
                return result
            failure = result.unwrap_err()
            will_retry = failure.kind in LOST_RESPONSE_KINDS and retries > 0
            if will_retry:
                will_retry = self._actor.ask(m.ConsumeRetry(server.service))
            self._outcomes.record_failure(
                progress, server.name, failure, "prefill", will_retry
            )
            if not will_retry:
                return result
            retries -= 1

    def _stream_response(
        self, progress, server, answer, local_prefill, event_buffer, started, writer
    ):
        if answer.status != 200 or not answer.is_signed:
            if started:
                detail = f"status {answer.status} on resuming"
                return CallFailure(FailureKind.BROKEN, detail), started
            return self._forward_error_response(
                progress, server, answer, writer
            ), started
        if event_buffer is not None:
            event_buffer.discard_incomplete()
        try:
            for chunk in answer.chunks():
                local_prefill.report_end(True)
                data = event_buffer.feed(chunk) if event_buffer is not None else chunk
                if not data:
                    continue
                progress.record_event()
                if not started:
                    started = True
                    writer.start(answer.status, answer.headers)
                writer.send(data)
        except AnswerBroken as exc:
            failure = CallFailure(FailureKind.BROKEN, str(exc))
            self._outcomes.record_failure(progress, server, failure)
            return failure, started
        except TimeoutError as exc:
            return CallFailure(FailureKind.TIMEOUT, str(exc)), started
        if not started:
            writer.start(answer.status, answer.headers)
            started = True
        writer.finish()
        for name in progress.servers[-2:]:
            self._actor.tell(m.CallOutcome(name))
        progress.status = answer.status
        progress.outcome = "served"
        return None, started

    def _forward_error_response(self, progress, server, answer, writer):
        match read_response(answer):
            case Err(failure):
                self._outcomes.record_failure(progress, server, failure)
                return failure
            case Ok((status, headers, body)):
                self._actor.tell(m.CallOutcome(server, failed=status >= 500))
                self._outcomes.send_response(progress, writer, status, headers, body)
                return None

    def _may_retry(self, progress, failure) -> bool:
        if progress.sends >= MAX_SENDS or progress.time_left_s() <= 0:
            return False
        if failure.kind.has_not_run():
            return True
        progress.has_run = True
        return (
            progress.route.is_resumable
            and failure.kind == FailureKind.BROKEN
            and max(progress.runs, 1) < progress.route.max_attempts
        )

    def _release_source(self, progress) -> None:
        """Free the KV cache of a prompt that no decode server has taken."""
        if progress.source is None:
            return
        freed = self._calls.free(progress.source)
        progress.source = None
        if freed.is_err():
            request_id, error = progress.req.request_id, freed.unwrap_err()
            log.info(
                "handle not freed, it lapses by itself",
                extra={"request_id": request_id, "error": error},
            )


class _LocalPrefill:
    """Tell the actor once that a decode server has read a prompt itself.

    Its first event shows that the prompt is read.
    """

    def __init__(self, actor, placement: Placement):
        self._actor = actor
        self._placement = placement
        self._is_open = placement.prefill is None and not placement.is_read

    def report_end(self, succeeded: bool) -> None:
        """Free the decode server for the next prompt."""
        if self._is_open:
            self._is_open = False
            self._actor.tell(m.PrefillEnded(self._placement, 0.0, succeeded))


def _caller_leaves_at(req, route) -> float:
    """Return when a caller without an event leaves, monotonic seconds."""
    patience_s = max(MIN_CALLER_PATIENCE_S, CALLER_PATIENCE_TARGETS * route.target_s)
    return min(req.deadline, req.received_at + patience_s)
