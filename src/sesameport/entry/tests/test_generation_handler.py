"""Test that a generation releases its reservations, however it ends."""

import contextlib

import pytest
from result import Err, Ok

from sesameport.admission import Placement
from sesameport.domain import ServerRole
from sesameport.entry import messages as m
from sesameport.entry.configuration import EntryRoute, RequestKind, ServiceShare
from sesameport.entry.crash_guard import CrashGuard
from sesameport.entry.generation_handler import GenerationHandler
from sesameport.entry.outcomes import OutcomeReporter, RequestProgress
from sesameport.entry.requests import (
    CallerDisconnected,
    CallFailure,
    EntryRequest,
    FailureKind,
    MemoryLease,
    PrefillResult,
    TokenCounts,
)
from sesameport.entry.servers import EntryServer

ROUTE = EntryRoute(
    "r", "h", "/r/", RequestKind.STREAM, (ServiceShare("llm", 1.0),), 14.0, 0.9, 1, 1
)


class PlacingActor:
    """Place a request just before its cancellation is handled."""

    def __init__(self, placement):
        self.messages = []
        self._placement = placement
        self._future = None

    def tell(self, message):
        self.messages.append(message)
        if isinstance(message, m.AdmitGeneration):
            self._future = message.future
        if isinstance(message, m.CancelWait):
            self._future.set(m.Admitted(self._placement))

    def ask(self, message):
        self.tell(message)


class DisconnectedCaller:
    def is_disconnected(self):
        return True


def test_memory_is_released_if_the_caller_disconnects_during_placement():
    # The caller disconnects just as its request is placed. Guards against decode memory
    # that stays reserved until the host restarts.
    engines = [
        EntryServer(name, "llm", "", "a", role)
        for name, role in (("d", ServerRole.DECODE), ("p", ServerRole.PREFILL))
    ]
    placement = Placement(*engines, kv_tokens=4_000, prompt_tokens=3_000)
    actor = PlacingActor(placement)
    handler = GenerationHandler(
        actor,
        None,
        OutcomeReporter(actor, None, None),
        CrashGuard(None, None, None, None),
        "a",
    )
    req = EntryRequest(
        "r1", "POST", "/r/x", (), b"", 0.0, 14.0, 14.0, TokenCounts(3_000, 700)
    )
    progress = RequestProgress(req, ROUTE, 1)
    with pytest.raises(CallerDisconnected):
        handler.handle(progress, "llm", 1, 0.0, None, DisconnectedCaller())
    release_messages = [type(message) for message in actor.messages[2:]]
    assert release_messages == [m.PrefillEnded, m.RunEnded]


class Fault(Exception):
    """An exception that nobody expects."""


class AdmittingActor:
    """Admit each generation at once."""

    def __init__(self, placement):
        self.messages = []
        self._placement = placement

    def tell(self, message):
        self.messages.append(message)
        if isinstance(message, m.AdmitGeneration):
            message.future.set(m.Admitted(self._placement))

    def ask(self, message):
        self.tell(message)


class Calls:
    """Fail in one of the calls with an exception."""

    def __init__(self, fails_in):
        self._fails_in = fails_in

    def __getattr__(self, name):
        def call(*args, **fields):
            if name == self._fails_in:
                raise Fault
            if name == "prefill":
                return Ok(PrefillResult("127.0.0.1:9", "a1", 3_000))
            if name == "lease_memory":
                return Ok(MemoryLease("127.0.0.1:9", "d", "l1"))
            return Err(CallFailure(FailureKind.BROKEN, name))

        return call


class Metrics:
    def __getattr__(self, name):
        return lambda *args, **labels: None


class WaitingCaller:
    def __init__(self, fails):
        self._fails = fails

    def is_disconnected(self):
        if self._fails:
            raise Fault
        return False


def make_handler(actor, calls):
    outcomes = OutcomeReporter(actor, Metrics(), None)
    guard = CrashGuard(None, None, None, None)
    return GenerationHandler(actor, calls, outcomes, guard, "a")


@pytest.mark.parametrize("call", ["lease_memory", "prefill", "run", "release_memory"])
@pytest.mark.parametrize("has_prefill", [True, False])
def test_reservations_end_once_whatever_a_call_raises(call, has_prefill):
    # A call of a prefill that raised left the reservation of its prompt behind, and all
    # hosts added these up until no prefill went to the engine any more (review/13).
    engines = [
        EntryServer(name, "llm", "", "a", role)
        for name, role in (("d", ServerRole.DECODE), ("p", ServerRole.PREFILL))
    ]
    if not has_prefill:
        engines[1] = None
    placement = Placement(
        *engines, kv_tokens=4_000, prompt_tokens=3_000, lease_tokens=4_000, lease_s=1.0
    )
    actor = AdmittingActor(placement)
    req = EntryRequest(
        "r1", "POST", "/r/x", (), b"", 0.0, 1e9, 14.0, TokenCounts(3_000, 700)
    )
    handler = make_handler(actor, Calls(call))
    progress = RequestProgress(req, ROUTE, 1)
    with contextlib.suppress(Fault, AttributeError):
        handler.handle(progress, "llm", 1, 0.0, None, WaitingCaller(False))
    types = [type(message) for message in actor.messages]
    admitted = types.count(m.AdmitGeneration)
    assert admitted >= 1
    assert types.count(m.PrefillEnded) == types.count(m.RunEnded) == admitted


def test_request_whose_wait_fails_is_taken_out_of_the_queue():
    decode = EntryServer("d", "llm", "", "a", ServerRole.DECODE)
    placement = Placement(decode, None, kv_tokens=4_000, prompt_tokens=3_000)
    actor = PlacingActor(placement)
    handler = make_handler(actor, None)
    req = EntryRequest("r1", "POST", "/r/x", (), b"", 0.0, 14.0, 14.0)
    progress = RequestProgress(req, ROUTE, 1)
    with pytest.raises(Fault):
        handler.handle(progress, "llm", 1, 0.0, None, WaitingCaller(True))
    types = [type(message) for message in actor.messages[1:]]
    assert types == [m.CancelWait, m.PrefillEnded, m.RunEnded]
