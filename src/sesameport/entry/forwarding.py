"""Carry one request from the caller to backend servers and the answer back.

A request runs on the thread of its caller. Nothing is sent twice unless the earlier
server certainly did not run it, or its route allows a repeat.
"""

import itertools
import time
from typing import Protocol

import attrs
import pykka
from result import Err, Ok

from sesameport.admission import Generation, Placement, RouteTable
from sesameport.admission.placement import expected_output
from sesameport.entry import messages as m
from sesameport.entry.contracts import EntryRoute, RequestKind, key_digest
from sesameport.entry.events import EventCutter
from sesameport.entry.requests import (
    AnswerBroken,
    CallerGone,
    CallerWatch,
    CallFailure,
    EntryRequest,
    FailureKind,
    KvSource,
    OpenAnswer,
    ServerCalls,
)
from sesameport.telemetry.logs import get_logger

__all__ = ["Forwarder", "Reply"]

MAX_SENDS = 4
"""Servers that one request is sent to, whether or not they ran it. It bounds the time
spent on servers that refuse."""

LEFT_CHECK_S = 0.2
"""Interval at which a waiting request looks for its caller, seconds: below the half
second after which nothing may be sent for a caller that left."""

RETURNING_SHARE = 0.84
"""A caller that waits less than this part of the route's timeout came back after a
refusal: first attempts name 0.85 of it or more, and a refusal costs two seconds."""

log = get_logger("requests")


class Reply(Protocol):
    """Answer a caller."""

    def whole(self, status: int, headers, body: bytes) -> None:
        """Send a complete answer of a backend server."""
        ...

    def refuse(
        self, status: int, reason: str, retry_after_s: float | None = None
    ) -> None:
        """Send an answer of the router itself."""
        ...

    def start(self, status: int, headers) -> None:
        """Send the head of a stream."""
        ...

    def send(self, data: bytes) -> None:
        """Send a part of a stream; raises ``CallerGone`` if the caller left."""
        ...

    def finish(self) -> None:
        """End a stream as complete."""
        ...

    def abort(self) -> None:
        """Close the connection so that the stream does not look complete."""
        ...


@attrs.define
class _Progress:
    """Keep what happened to a request, for its log line."""

    req: EntryRequest
    route: EntryRoute
    version: int
    sends: int = 0
    runs: int = 0
    excluded: set[str] = attrs.field(factory=set)
    servers: list[str] = attrs.field(factory=list)
    waited_s: float = 0.0
    first_s: float | None = None
    status: int = 0
    outcome: str = ""
    reason: str = ""
    ran: bool = False

    def fail(self, outcome: str, reason: str) -> None:
        """Set the outcome and its reason."""
        self.outcome = outcome
        self.reason = reason


class Forwarder:
    """Forward requests of callers.

    Parameters
    ----------
    actor : pykka.ActorRef
        The entry actor, which admits and places requests.
    view : TableView
        Route table in force.
    calls : ServerCalls
        Client of the backend servers.
    data_centre : str
        Data centre of this host.
    metrics : Metrics
        Counters and histograms.
    """

    def __init__(self, actor, view, calls: ServerCalls, data_centre: str, metrics):
        self._actor = actor
        self._view = view
        self._calls = calls
        self._data_centre = data_centre
        self._metrics = metrics
        self._keys = itertools.count(1)

    def forward(
        self, req: EntryRequest, host: str, key: str, reply: Reply, watch: CallerWatch
    ) -> None:
        """Answer one request."""
        table: RouteTable | None = self._view.table
        if table is None:
            self._turn_away(req, reply, 503, "no-configuration", 1.0)
            return
        route = table.find_route(host, req.target)
        if route is None:
            self._turn_away(req, reply, 404, "no-route")
            return
        workspace, priority, charge = "", route.priority, 0.0
        if table.needs_key(route):
            found = table.find_workspace(key_digest(key)) if key else None
            if found is None:
                self._turn_away(req, reply, 401, "unknown-key")
                return
            workspace = found.name
            if found.priority is not None:
                priority = found.priority
            charge = float(req.tokens.total() if req.tokens else found.plain_tokens)
        req = attrs.evolve(
            req,
            route=route,
            workspace=workspace,
            deadline=min(req.deadline, req.received_at + route.timeout_s),
        )
        progress = _Progress(req, route, table.configuration.version)
        service = table.choose_service(route, req.request_id)
        try:
            if route.kind == RequestKind.STREAM:
                self._generate(progress, service, priority, charge, reply, watch)
            else:
                self._call_plain(progress, service, charge, reply, watch)
        except CallerGone:
            progress.fail("caller-left", "caller closed its connection")
            reply.abort()
        finally:
            self._record(progress)

    # -- plain requests --------------------------------------------------------

    def _call_plain(self, progress, service, charge, reply, watch) -> None:
        spends_budget, fallback = False, None
        while True:
            ask = m.AdmitPlain(
                service,
                progress.req.workspace,
                charge,
                frozenset(progress.excluded),
                is_first=progress.sends == 0,
                spends_budget=spends_budget,
            )
            answer = self._actor.ask(ask)
            if isinstance(answer, m.Refused):
                if fallback is not None:
                    self._deliver(progress, reply, *fallback)
                else:
                    self._refuse(progress, reply, answer)
                return
            server = answer.plain
            progress.sends += 1
            progress.servers.append(server.name)
            progress.excluded.add(server.name)
            started = time.monotonic()
            try:
                outcome = self._try_plain(progress, server, watch)
            finally:
                ended = m.RunEnded(plain=server, seconds=time.monotonic() - started)
                self._actor.tell(ended)
            match outcome:
                case Ok((status, headers, body)) if not self._may_try_again(
                    progress, status
                ):
                    self._deliver(progress, reply, status, headers, body)
                    return
                case Ok(kept):
                    fallback, spends_budget = kept, True
                    continue
                case Err(failure):
                    pass
            if failure.kind == FailureKind.CALLER_LEFT:
                raise CallerGone
            if not self._goes_on(progress, failure):
                self._fail(progress, reply, failure)
                return
            spends_budget = spends_budget or failure.kind != FailureKind.UNREACHABLE

    def _try_plain(self, progress, server, watch):
        result = self._calls.run(server.address, server.name, progress.req, watch)
        match result:
            case Err(failure):
                self._note_failure(progress, server.name, failure)
                return result
            case Ok(answer):
                pass
        progress.ran = True
        progress.runs += 1
        read = self._read_whole(answer)
        match read:
            case Err(failure):
                self._note_failure(progress, server.name, failure)
            case Ok((status, _, _)):
                self._actor.tell(m.ServerOutcome(server.name, failed=status >= 500))
        return read

    def _read_whole(self, answer: OpenAnswer):
        try:
            body = b"".join(answer.chunks())
        except AnswerBroken as exc:
            return Err(CallFailure(FailureKind.BROKEN, str(exc)))
        except TimeoutError as exc:
            return Err(CallFailure(FailureKind.TIMEOUT, str(exc)))
        except CallerGone:
            return Err(CallFailure(FailureKind.CALLER_LEFT))
        finally:
            answer.close()
        if 200 <= answer.status < 300 and not answer.is_signed:
            return Err(CallFailure(FailureKind.BROKEN, "success without signature"))
        return Ok((answer.status, answer.headers, body))

    def _may_try_again(self, progress, status: int) -> bool:
        """Tell whether a server's own failure may be put right by another server."""
        return (
            status in (500, 502, 503)
            and progress.route.may_repeat()
            and progress.runs < progress.route.max_attempts
            and self._time_left(progress) > 0
        )

    def _goes_on(self, progress, failure) -> bool:
        """Tell whether a failed request may be sent to another server."""
        if progress.sends >= MAX_SENDS or self._time_left(progress) <= 0:
            return False
        if failure.kind.has_not_run():
            return True
        progress.ran = True
        return (
            progress.route.may_repeat() and progress.runs < progress.route.max_attempts
        )

    def _time_left(self, progress) -> float:
        return progress.req.deadline - time.monotonic()

    # -- generations -----------------------------------------------------------

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
                    self._refuse(progress, reply, admitted)
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
                    self._fail(progress, reply, failure)
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
                ),
                req.workspace,
                charge,
                req.received_at + route.target_s,
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
                    self._actor.tell(m.Withdraw(key, service))
                    raise CallerGone from None

    def _run_generation(self, progress, placement, cutter, started, reply, watch):
        source, failure = self._prefill(progress, placement, watch)
        if failure is not None:
            return failure, started
        decode = placement.decode
        progress.servers.append(decode.name)
        result = self._calls.run(
            decode.address, decode.name, progress.req, watch, source
        )
        match result:
            case Err(failure):
                self._note_failure(progress, decode.name, failure, "decode")
                progress.excluded.add(decode.name)
                if source is not None and failure.kind.has_not_run():
                    self._blame_prefill(progress, placement, failure)
                    self._free(progress, source)
                return failure, started
            case Ok(answer):
                pass
        progress.ran = True
        progress.runs += 1
        try:
            return self._relay(progress, decode.name, answer, cutter, started, reply)
        finally:
            answer.close()

    def _blame_prefill(self, progress, placement: Placement, failure) -> None:
        """Count a decode server's refusal against the source of the KV cache as well.

        A refusal does not tell whether memory is short or the handle has lapsed. Only
        a source whose handles lapse is part of nearly all refusals.
        """
        if failure.kind != FailureKind.REFUSED:
            return
        progress.excluded.add(placement.prefill.name)
        self._actor.tell(m.ServerOutcome(placement.prefill.name, failed=True))

    def _prefill(self, progress, placement: Placement, watch):
        """Have the prompt read; returns the source of its KV cache and a failure."""
        server = placement.prefill
        if server is None:
            return None, None
        since = time.monotonic()
        result = self._calls.prefill(server.address, server.name, progress.req, watch)
        seconds = time.monotonic() - since
        self._actor.tell(m.PrefillEnded(placement, seconds, isinstance(result, Ok)))
        match result:
            case Ok(found):
                progress.servers.append(server.name)
                return KvSource(found.address, found.handle), None
            case Err(failure):
                self._note_failure(progress, server.name, failure, "prefill")
                progress.excluded.add(server.name)
                if failure.kind == FailureKind.BROKEN:
                    # A prefill is no run: its loss leaves nothing behind.
                    failure = attrs.evolve(failure, kind=FailureKind.REFUSED)
                return None, failure

    def _relay(self, progress, server, answer, cutter, started, reply):
        if answer.status != 200 or not answer.is_signed:
            if started:
                detail = f"status {answer.status} on resuming"
                return CallFailure(FailureKind.BROKEN, detail), started
            return self._relay_failure(progress, server, answer, reply), started
        if cutter is not None:
            cutter.restart()
        try:
            for chunk in answer.chunks():
                data = cutter.feed(chunk) if cutter is not None else chunk
                if not data:
                    continue
                if not started:
                    started = True
                    progress.first_s = time.monotonic() - progress.req.received_at
                    reply.start(answer.status, answer.headers)
                reply.send(data)
        except AnswerBroken as exc:
            failure = CallFailure(FailureKind.BROKEN, str(exc))
            self._note_failure(progress, server, failure)
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
        match self._read_whole(answer):
            case Err(failure):
                self._note_failure(progress, server, failure)
                return failure
            case Ok((status, headers, body)):
                self._actor.tell(m.ServerOutcome(server, failed=status >= 500))
                self._deliver(progress, reply, status, headers, body)
                return None

    def _generation_goes_on(self, progress, failure) -> bool:
        if progress.sends >= MAX_SENDS or self._time_left(progress) <= 0:
            return False
        if failure.kind.has_not_run():
            return True
        progress.ran = True
        return (
            progress.route.is_resumable
            and failure.kind == FailureKind.BROKEN
            and max(progress.runs, 1) < progress.route.max_attempts
        )

    def _free(self, progress, source: KvSource) -> None:
        try:
            self._calls.free(source)
        except OSError as exc:
            log.info(
                "handle not freed, it lapses by itself",
                extra={"request_id": progress.req.request_id, "error": repr(exc)},
            )

    # -- ends ------------------------------------------------------------------

    def _deliver(self, progress, reply, status, headers, body) -> None:
        progress.status = status
        progress.outcome = "served" if status < 400 else "server-failed"
        reply.whole(status, headers, body)

    def _refuse(self, progress, reply, refused: m.Refused) -> None:
        if progress.ran:
            progress.fail("failed", refused.reason)
            progress.status = 502
            reply.refuse(502, refused.reason)
            return
        progress.fail("refused", refused.reason)
        progress.status = 429 if refused.over_quota else 503
        reply.refuse(progress.status, refused.reason, refused.retry_after_s)

    def _fail(self, progress, reply, failure) -> None:
        reason = f"{failure.kind}: {failure.detail}"
        if failure.kind == FailureKind.TIMEOUT:
            progress.fail("timed-out", reason)
            progress.status = 504
            reply.refuse(504, "timeout")
        elif failure.kind.has_not_run() and not progress.ran:
            progress.fail("refused", reason)
            progress.status = 503
            reply.refuse(503, str(failure.kind), 1.0)
        else:
            progress.fail("failed", reason)
            progress.status = 502
            reply.refuse(502, str(failure.kind))

    def _turn_away(self, req, reply, status, reason, retry_after_s=None) -> None:
        log.info(
            "request turned away",
            extra={"request_id": req.request_id, "status": status, "reason": reason},
        )
        self._metrics.count(
            "sesameport_entry_requests_total",
            kind="none",
            outcome="turned-away",
            reason=reason,
        )
        reply.refuse(status, reason, retry_after_s)

    def _note_failure(self, progress, server: str, failure, call: str = "run") -> None:
        if failure.kind == FailureKind.CALLER_LEFT:
            return
        unreachable = failure.kind == FailureKind.UNREACHABLE
        failed = failure.kind in (FailureKind.BROKEN, FailureKind.TIMEOUT)
        refused = failure.kind == FailureKind.REFUSED
        is_decode = call == "decode"
        self._actor.tell(
            m.ServerOutcome(
                server,
                failed,
                unreachable,
                refused and not is_decode,
                refused and is_decode,
            )
        )
        log.info(
            "attempt failed",
            extra={
                "request_id": progress.req.request_id,
                "server": server,
                "call": call,
                "failure": str(failure.kind),
                "detail": failure.detail,
                "send": progress.sends,
                "age_s": round(time.monotonic() - progress.req.received_at, 3),
            },
        )

    def _record(self, progress) -> None:
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
                "servers": ",".join(progress.servers),
                "sends": progress.sends,
                "waited_s": round(progress.waited_s, 3),
                "first_s": round(first_s, 3),
                "total_s": round(total_s, 3),
                "caller_wait_s": req.caller_wait_s,
                "tokens": attrs.astuple(req.tokens) if req.tokens else (),
                "version": progress.version,
            },
        )
