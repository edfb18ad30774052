"""Test that a generation releases its reservations when its caller disconnects."""

import pytest

from sesameport.admission import Placement
from sesameport.domain import ServerRole
from sesameport.entry import messages as m
from sesameport.entry.configuration import EntryRoute, RequestKind, ServiceShare
from sesameport.entry.crash_guard import CrashGuard
from sesameport.entry.generation_handler import GenerationHandler
from sesameport.entry.outcomes import OutcomeReporter, RequestProgress
from sesameport.entry.requests import CallerDisconnected, EntryRequest, TokenCounts
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
