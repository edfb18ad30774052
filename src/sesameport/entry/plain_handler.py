"""Forward a request to a server of a plain service and return its response."""

import time

import pykka
from result import Err, Ok

from sesameport.entry import messages as m
from sesameport.entry.crash_guard import CrashGuard
from sesameport.entry.outcomes import MAX_SENDS, OutcomeReporter
from sesameport.entry.requests import (
    CallerDisconnected,
    FailureKind,
    ServerClient,
    read_response,
)
from sesameport.telemetry.logs import get_logger

__all__ = ["PlainHandler"]

PERMIT_TIMEOUT_S = 1.0
"""Time after which a request gives up a reply of the actor, seconds, which comes within
a fraction of it unless the actor has failed."""

log = get_logger("requests")

RETRY_AFTER_TARGETS = 3.0
"""Multiple of the route's latency target after which a retryable request is sent to
another server. A healthy server rarely takes that long, and the retry can still finish
before the deadline."""


class PlainHandler:
    """Forward plain requests, each on the thread of its caller's connection.

    Parameters
    ----------
    actor : pykka.ActorRef
        The entry actor.
    calls : ServerClient
        Client of the backend servers.
    outcomes : OutcomeReporter
        Sends responses and records outcomes.
    guard : CrashGuard
        Refuses requests that crash servers.
    """

    def __init__(
        self,
        actor,
        calls: ServerClient,
        outcomes: OutcomeReporter,
        guard: CrashGuard,
    ):
        self._actor = actor
        self._calls = calls
        self._outcomes = outcomes
        self._guard = guard

    def handle(self, progress, service, charge, writer, caller) -> None:
        """Send a request to servers until one answers, and respond to the caller."""
        fallback = None
        while True:
            admit = m.AdmitPlain(
                progress.req.request_id,
                service,
                progress.req.workspace,
                charge,
                frozenset(progress.excluded),
                is_first_attempt=progress.sends == 0,
                repeats=progress.repeats(has_prefill=False),
                allowed_regions=progress.req.allowed_regions,
            )
            reply = self._guard.refusal(progress) or self._actor.ask(admit)
            if isinstance(reply, pykka.Future):
                reply = self._wait_for_permit(reply)
            if isinstance(reply, m.Refused):
                if fallback is not None:
                    self._outcomes.send_response(progress, writer, *fallback)
                else:
                    self._outcomes.refuse(progress, writer, reply)
                return
            server = reply.plain
            progress.sends += 1
            progress.begin_run(server)
            progress.excluded.add(server.name)
            started, succeeded = time.monotonic(), False
            try:
                outcome = self._run_attempt(progress, server, caller)
                succeeded = outcome.is_ok() and outcome.unwrap()[0] < 500
            finally:
                seconds = time.monotonic() - started
                ended = m.RunEnded(plain=server, seconds=seconds, succeeded=succeeded)
                self._actor.tell(ended)
            match outcome:
                case Ok((status, headers, body, rest)) if not self._may_retry_status(
                    progress, status
                ):
                    self._outcomes.send_response(
                        progress, writer, status, headers, body, rest
                    )
                    return
                case Ok(response):
                    fallback = response
                    continue
                case Err(failure):
                    pass
            if failure.kind == FailureKind.CALLER_LEFT:
                raise CallerDisconnected
            if not self._may_retry(progress, failure):
                if fallback is not None:
                    self._outcomes.send_response(progress, writer, *fallback)
                else:
                    self._outcomes.fail(progress, writer, failure)
                return

    def _wait_for_permit(self, future: pykka.Future) -> m.Admitted | m.Refused:
        try:
            return future.get(timeout=PERMIT_TIMEOUT_S)
        except pykka.Timeout:
            # The actor may be late, and would then reserve a server for nobody.
            self._actor.tell(m.CancelPlainWait(future))
            log.error("no reply to a request that waits for a permit")
            return m.Refused("internal-error", PERMIT_TIMEOUT_S)

    def _run_attempt(self, progress, server, caller):
        result = self._calls.run(
            server.address,
            server.name,
            progress.req,
            caller,
            attempt_timeout_s=self._response_timeout_s(progress),
        )
        match result:
            case Err(failure):
                self._outcomes.record_failure(progress, server, failure)
                progress.has_arrived |= failure.kind.has_arrived()
                if not failure.kind.has_not_run():
                    progress.has_run = True
                    progress.runs += 1
                return result
            case Ok(response):
                pass
        progress.has_arrived = progress.has_run = True
        progress.runs += 1
        chunks = response.chunks()
        match read_response(response, chunks):
            case Err(failure):
                self._outcomes.record_failure(progress, server, failure)
                return Err(failure)
            case Ok((status, headers, body)):
                self._actor.tell(m.CallOutcome(server.name, failed=status >= 500))
                self._guard.record_answer(progress)
                # The rest of a large body is not replaced by that of another server.
                response.extend_deadline(progress.req.deadline)
                return Ok((status, headers, body, chunks))

    def _response_timeout_s(self, progress) -> float | None:
        """Return the timeout of an attempt that may be retried, else None."""
        route = progress.route
        if not route.may_retry() or progress.runs + 1 >= route.max_attempts:
            return None
        return RETRY_AFTER_TARGETS * route.target_s

    def _may_retry_status(self, progress, status: int) -> bool:
        """Return whether another server may succeed after this error status."""
        return (
            status in (500, 502, 503)
            and progress.route.may_retry()
            and progress.runs < progress.route.max_attempts
            and progress.time_left_s() > 0
        )

    def _may_retry(self, progress, failure) -> bool:
        """Return whether a failed request may be sent to another server."""
        if progress.sends >= MAX_SENDS or progress.time_left_s() <= 0:
            return False
        if failure.kind.has_not_run():
            return True
        return (
            progress.route.may_retry() and progress.runs < progress.route.max_attempts
        )
