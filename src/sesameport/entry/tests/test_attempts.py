"""Test how often a request runs and arrives, for each way in which attempts can end."""

import time
import types

import pytest
from result import Err, Ok

from sesameport.admission import Placement
from sesameport.domain import ServerRole
from sesameport.entry import messages as m
from sesameport.entry.configuration import EntryRoute, RequestKind, ServiceShare
from sesameport.entry.generation_handler import GenerationHandler
from sesameport.entry.outcomes import OutcomeReporter, RequestProgress
from sesameport.entry.plain_handler import PlainHandler
from sesameport.entry.requests import (
    CallFailure,
    EntryRequest,
    FailureKind,
    IncompleteResponse,
    PrefillResult,
    TokenCounts,
)
from sesameport.entry.servers import EntryServer

MAX_ATTEMPTS = 2
FAILURES = {
    "refused": FailureKind.REFUSED,
    "no connection": FailureKind.UNREACHABLE,
    "reset": FailureKind.BROKEN,
    "timed out": FailureKind.TIMEOUT,
}
ENDS = ["whole", "broken midway", "broken after the head"]


class ScriptedServers:
    """End each call as scripted, the last end again and again.

    ``arrivals`` has the calls that reached a server, ``runs`` those that may have run,
    and ``unsent`` counts those that could not be sent or whose decode was not.
    """

    def __init__(self, **scripts):
        self._scripts = {name: list(ends) for name, ends in scripts.items()}
        self.arrivals, self.runs = [], []
        self._has_prefilled = False
        self.unsent = 0

    def _next(self, call):
        script = self._scripts[call]
        return script.pop(0) if len(script) > 1 else script[0]

    def prefill(self, address, server, req, caller, attempt_timeout_s):
        end = self._next("prefill")
        # The first prefill that a server accepts is not an arrival.
        if end != "no connection" and (end != "whole" or self._has_prefilled):
            self.arrivals.append(server)
        if end in FAILURES:
            self.unsent += self._has_prefilled or end == "no connection"
            return Err(CallFailure(FAILURES[end]))
        self._has_prefilled = True
        return Ok(PrefillResult("a", "handle", 1))

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
        end = self._next("run")
        if end != "no connection":
            self.arrivals.append(server)
        if end not in ("no connection", "refused"):
            self.runs.append(server)
        self.unsent += end == "no connection"
        if end in FAILURES:
            return Err(CallFailure(FAILURES[end]))
        return Ok(ScriptedResponse(end))

    def free(self, source):
        return Ok(None)


class ScriptedResponse:
    status, headers, is_signed, is_delimited = 200, (), True, True

    def __init__(self, end):
        self._end = end

    def chunks(self):
        if self._end != "broken after the head":
            yield b"id: 1\ndata: x\n\n"
        if self._end != "whole":
            raise IncompleteResponse("reset")

    def extend_deadline(self, deadline):
        pass

    def close(self):
        pass


class GrantingActor:
    """Place each attempt on new servers, and count what the retry budget is charged."""

    def __init__(self):
        self.charged, self._number = 0, 0

    def tell(self, message):
        if isinstance(message, m.AdmitGeneration):
            message.future.set(self._admit(message))

    def ask(self, message):
        if isinstance(message, m.ConsumeRetry):
            self.charged += 1
            return True
        return self._admit(message)

    def _admit(self, message):
        self.charged += message.repeats
        self._number += 1
        prefill, decode, plain = (
            EntryServer(f"{role}{self._number}", "s", "a", "a", role)
            for role in (ServerRole.PREFILL, ServerRole.DECODE, ServerRole.PLAIN)
        )
        if isinstance(message, m.AdmitPlain):
            return m.Admitted(plain=plain)
        is_prefilled = message.generation.is_prefilled
        placement = Placement(
            decode, None if is_prefilled else prefill, 16, 1, 0.5, is_prefilled
        )
        return m.Admitted(placement)


class Ignore:
    """Accept any call."""

    def __getattr__(self, name):
        return lambda *args, **fields: None


def run_request(kind, servers):
    """Run one request; return its progress and the actor."""
    route = EntryRoute(
        "r",
        "h",
        "/",
        kind,
        (ServiceShare("s", 1.0),),
        14.0,
        0.9,
        MAX_ATTEMPTS,
        is_resumable=True,
    )
    now = time.monotonic()
    tokens = TokenCounts(3_000, 700)
    req = EntryRequest("r1", "POST", "/", (), b"", now, now + 14.0, 14.0, tokens)
    progress, actor = RequestProgress(req, route, 1), GrantingActor()
    outcomes = OutcomeReporter(actor, Ignore(), Ignore())
    caller = types.SimpleNamespace(is_disconnected=lambda: False)
    if kind == RequestKind.STREAM:
        handler = GenerationHandler(actor, servers, outcomes, Ignore(), "a")
        handler.handle(progress, "s", 1, 0.0, Ignore(), caller)
    else:
        handler = PlainHandler(actor, servers, outcomes, Ignore())
        handler.handle(progress, "s", 0.0, Ignore(), caller)
    return progress, actor


PLAIN = [
    (RequestKind.SAFE, {"run": [end, *then]})
    for end in [*FAILURES, *ENDS]
    for then in ([], ["whole"], ["refused", "reset"])
]
STREAMS = [
    (RequestKind.STREAM, {"prefill": [prefill, *then], "run": [end, *end_then]})
    for prefill in ("whole", *FAILURES)
    for then in ([], ["whole"], ["whole", "refused", "whole"])
    for end in [*FAILURES, *ENDS]
    for end_then in ([], ["whole"], ["broken midway"])
]


def describe(value):
    if isinstance(value, str):
        return value
    return ", ".join(f"{call}: {'/'.join(ends)}" for call, ends in value.items())


ATTEMPTS = pytest.mark.parametrize("kind, ends", PLAIN + STREAMS, ids=describe)


@ATTEMPTS
def test_request_runs_on_no_more_servers_than_its_route_allows(kind, ends):
    # Guards against runs that count only when their response has begun.
    servers = ScriptedServers(**ends)
    progress, _ = run_request(kind, servers)
    assert len(servers.runs) <= MAX_ATTEMPTS
    assert progress.runs == len(servers.runs)


@ATTEMPTS
def test_each_arrival_after_the_first_is_charged_to_the_budget(kind, ends):
    # Guards against a further attempt whose prefill and decode are charged as one.
    servers = ScriptedServers(**ends)
    _, actor = run_request(kind, servers)
    extra = max(0, len(servers.arrivals) - 1)
    # A further attempt is charged as a whole, also if it is sent only in part.
    assert extra <= actor.charged <= extra + servers.unsent


@pytest.mark.parametrize("kind", [RequestKind.SAFE, RequestKind.STREAM])
def test_attempts_before_the_first_arrival_are_free(kind):
    for prefill, run in (("whole", "no connection"), ("no connection", "whole")):
        servers = ScriptedServers(prefill=[prefill], run=[run])
        assert run_request(kind, servers)[1].charged == 0
