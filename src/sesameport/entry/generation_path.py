"""Carry a generation through prefill and decode and stream its answer."""

import itertools
import time

import attrs
import pykka
from result import Err, Ok

from sesameport.admission import GenerationRequest, Placement, expected_output_tokens
from sesameport.entry import messages as m
from sesameport.entry.events import EventCutter
from sesameport.entry.outcomes import MAX_SENDS, Outcomes
from sesameport.entry.requests import (
    AnswerBroken,
    CallerGone,
    CallFailure,
    FailureKind,
    KvSource,
    ServerCalls,
    read_whole,
)
from sesameport.telemetry.logs import get_logger

__all__ = ["GenerationPath"]

LEFT_CHECK_S = 0.2
"""Interval at which a waiting request looks for its caller, seconds: below the half
second after which nothing may be sent for a caller that left."""

RETURNING_SHARE = 0.84
"""A caller that waits less than this part of the route's timeout came back after a
refusal: first attempts name 0.85 of it or more, and a refusal costs two seconds."""

HANDLE_USE = 0.7
"""Part of a handle's lifetime within which it is offered to another decode server; the
rest is for the call to reach that server."""

PATIENCE_TARGETS = 4.0
SHORTEST_PATIENCE_S = 2.0
"""Callers leave a stream without an event after this many of their targets, or this
time in seconds if it is longer; the users state it."""

READING_MARGIN_S = 0.35
READING_FACTOR = 2.0
LONGEST_READING_S = 1.0
"""A prefill is awaited for the expected time times the factor plus the margin, at most
for the longest time, seconds. An answer that is lost is noticed soon enough for a draft
in time; engines read 1.3 times as slowly as others."""

ANSWER_LOST = frozenset({FailureKind.BROKEN, FailureKind.TIMEOUT})

log = get_logger("requests")


class GenerationPath:
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

    def __init__(self, actor, calls: ServerCalls, outcomes: Outcomes, data_centre: str):
        self._actor = actor
        self._calls = calls
        self._outcomes = outcomes
        self._data_centre = data_centre
        self._keys = itertools.count(1)

    def generate(self, progress, service, priority, charge, reply, watch) -> None:
        """Stream a generation to its caller, at another engine if the first fails."""
        try:
            self._generate(progress, service, priority, charge, reply, watch)
        finally:
            self._free_source(progress)

    def _generate(self, progress, service, priority, charge, reply, watch) -> None:
        cutter = EventCutter() if progress.route.is_resumable else None
        spends_budget, started = False, False
        while True:
            admitted = self._admit(
                progress, service, priority, charge, spends_budget, watch
            )
            if isinstance(admitted, m.Refused):
                if started:
                    progress.fail("broken-off", admitted.reason)
                    reply.abort()
                else:
                    self._outcomes.refuse(progress, reply, admitted)
                return
            progress.sends += 1
            progress.waited_s += admitted.waited_s
            since = time.monotonic()
            succeeded = False
            try:
                failure, started = self._run_generation(
                    progress, admitted.placement, cutter, started, reply, watch
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
            if not self._generation_goes_on(progress, failure):
                if started:
                    progress.fail("broken-off", failure.detail)
                    reply.abort()
                else:
                    self._outcomes.fail(progress, reply, failure)
                return
            spends_budget = spends_budget or failure.kind != FailureKind.UNREACHABLE
            if cutter is not None and cutter.last_id:
                progress.req = attrs.evolve(progress.req, resume_after=cutter.last_id)

    def _admit(self, progress, service, priority, charge, spends_budget, watch):
        req, route = progress.req, progress.route
        tokens = req.tokens
        prompt, output = 0, 0
        if tokens is not None:
            prompt = tokens.prompt
            output = expected_output_tokens(tokens.max_output, tokens.expected_output)
        key = next(self._keys)
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
                    progress.has_source(),
                ),
                req.workspace,
                # What has run stays charged, so there is nothing to give back.
                0.0 if progress.ran else charge,
                req.received_at + route.target_s,
                _leaves_at(req, route),
                req.caller_wait_s < RETURNING_SHARE * route.timeout_s,
                priority,
                future,
                is_first=progress.sends == 0,
                spends_budget=spends_budget,
            )
        )
        while True:
            try:
                return future.get(timeout=LEFT_CHECK_S)
            except pykka.Timeout:
                if watch.has_left():
                    self._actor.ask(m.Withdraw(key, service))
                    self._give_back(future)
                    raise CallerGone from None

    def _give_back(self, future: pykka.Future) -> None:
        """Free what a withdrawn request got just before its withdrawal."""
        try:
            admitted = future.get(timeout=0)
        except pykka.Timeout:
            return
        if isinstance(admitted, m.Admitted):
            self._actor.tell(m.PrefillEnded(admitted.placement, 0.0, False))
            self._actor.tell(m.RunEnded(admitted.placement))

    def _run_generation(self, progress, placement, cutter, started, reply, watch):
        failure = self._prefill(progress, placement, watch)
        if failure is not None:
            return failure, started
        reading = _OwnReading(self._actor, placement)
        try:
            return self._decode(
                progress, placement.decode, reading, cutter, started, reply, watch
            )
        finally:
            reading.end(False)

    def _decode(self, progress, decode, reading, cutter, started, reply, watch):
        source = progress.source
        progress.servers.append(decode.name)
        result = self._calls.run(
            decode.address, decode.name, progress.req, watch, source
        )
        match result:
            case Err(failure):
                self._outcomes.note_failure(progress, decode.name, failure, "decode")
                progress.excluded.add(decode.name)
                if failure.kind == FailureKind.REFUSED and source is not None:
                    self._blame_prefill(progress)
                    self._free_source(progress)
                elif not failure.kind.has_not_run():
                    progress.source = None
                return failure, started
            case Ok(answer):
                pass
        progress.source = None
        progress.ran = True
        progress.runs += 1
        try:
            return self._relay(
                progress, decode.name, answer, reading, cutter, started, reply
            )
        finally:
            answer.close()

    def _blame_prefill(self, progress) -> None:
        """Count a decode server's refusal against the source of the KV cache as well.

        A refusal does not tell whether memory is short or the handle has lapsed. Only
        a source whose handles lapse is part of nearly all refusals.
        """
        server = progress.source.server
        progress.excluded.add(server)
        self._actor.tell(m.ServerOutcome(server, failed=True))

    def _prefill(self, progress, placement: Placement, watch) -> CallFailure | None:
        """Have the prompt read, unless it is; returns the failure."""
        server = placement.prefill
        if server is None:
            return None
        progress.source = None  # what was kept has lapsed
        since = time.monotonic()
        result = self._read_prompt(progress, placement, watch)
        now = time.monotonic()
        self._actor.tell(m.PrefillEnded(placement, now - since, isinstance(result, Ok)))
        match result:
            case Ok(found):
                progress.servers.append(server.name)
                progress.source = KvSource(found.address, found.handle, server.name)
                progress.source_until = now + HANDLE_USE * placement.handle_s
                return None
            case Err(failure):
                progress.excluded.add(server.name)
                if failure.kind in ANSWER_LOST:
                    # A prefill is no run: its loss leaves nothing behind.
                    failure = attrs.evolve(failure, kind=FailureKind.REFUSED)
                return failure

    def _read_prompt(self, progress, placement: Placement, watch):
        """Call the prefill server, once more if its answer was lost.

        It keeps what it has read, so that the repeat costs it no second reading, which
        another server would have to do.
        """
        server = placement.prefill
        within_s = READING_MARGIN_S + READING_FACTOR * placement.expected_prefill_s
        within_s = min(LONGEST_READING_S, within_s)
        repeats = 1
        while True:
            result = self._calls.prefill(
                server.address, server.name, progress.req, watch, within_s
            )
            if result.is_ok():
                return result
            failure = result.unwrap_err()
            is_repeated = failure.kind in ANSWER_LOST and repeats > 0
            if is_repeated:
                is_repeated = self._actor.ask(m.SpendRepeat(server.service))
            self._outcomes.note_failure(
                progress, server.name, failure, "prefill", is_repeated
            )
            if not is_repeated:
                return result
            repeats -= 1

    def _relay(self, progress, server, answer, reading, cutter, started, reply):
        if answer.status != 200 or not answer.is_signed:
            if started:
                detail = f"status {answer.status} on resuming"
                return CallFailure(FailureKind.BROKEN, detail), started
            return self._relay_failure(progress, server, answer, reply), started
        if cutter is not None:
            cutter.restart()
        try:
            for chunk in answer.chunks():
                reading.end(True)
                data = cutter.feed(chunk) if cutter is not None else chunk
                if not data:
                    continue
                progress.note_event()
                if not started:
                    started = True
                    reply.start(answer.status, answer.headers)
                reply.send(data)
        except AnswerBroken as exc:
            failure = CallFailure(FailureKind.BROKEN, str(exc))
            self._outcomes.note_failure(progress, server, failure)
            return failure, started
        except TimeoutError as exc:
            return CallFailure(FailureKind.TIMEOUT, str(exc)), started
        if not started:
            reply.start(answer.status, answer.headers)
            started = True
        reply.finish()
        for name in progress.servers[-2:]:
            self._actor.tell(m.ServerOutcome(name))
        progress.status = answer.status
        progress.outcome = "served"
        return None, started

    def _relay_failure(self, progress, server, answer, reply):
        match read_whole(answer):
            case Err(failure):
                self._outcomes.note_failure(progress, server, failure)
                return failure
            case Ok((status, headers, body)):
                self._actor.tell(m.ServerOutcome(server, failed=status >= 500))
                self._outcomes.deliver(progress, reply, status, headers, body)
                return None

    def _generation_goes_on(self, progress, failure) -> bool:
        if progress.sends >= MAX_SENDS or progress.time_left() <= 0:
            return False
        if failure.kind.has_not_run():
            return True
        progress.ran = True
        return (
            progress.route.is_resumable
            and failure.kind == FailureKind.BROKEN
            and max(progress.runs, 1) < progress.route.max_attempts
        )

    def _free_source(self, progress) -> None:
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


class _OwnReading:
    """Tell the actor once that a decode server has read a prompt itself.

    Its first event shows that the prompt is read.
    """

    def __init__(self, actor, placement: Placement):
        self._actor = actor
        self._placement = placement
        self._is_open = placement.prefill is None and not placement.is_prefilled

    def end(self, succeeded: bool) -> None:
        """Free the decode server for the next prompt."""
        if self._is_open:
            self._is_open = False
            self._actor.tell(m.PrefillEnded(self._placement, 0.0, succeeded))


def _leaves_at(req, route) -> float:
    """Return when a caller without an event leaves, monotonic seconds."""
    patience_s = max(SHORTEST_PATIENCE_S, PATIENCE_TARGETS * route.target_s)
    return min(req.deadline, req.received_at + patience_s)
