"""Test the lifecycle with events in random order against simple invariants."""

import random

import hypothesis
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from sesameport.domain import Execution, Refusal, RefusalType
from sesameport.interfaces import EngineError, EngineErrorKind, KvHandle, TokenEvent
from sesameport.requests import (
    CallerDisconnected,
    CancelHold,
    CloseHold,
    CompleteResponse,
    DecodeFailed,
    DeliverToken,
    Lifecycle,
    NotPlaced,
    OpenHold,
    Placed,
    PrefillDone,
    PrefillFailed,
    RefuseRequest,
    ReleaseDecodeSlot,
    ReleasePrefillShare,
    RequestDecodePlacement,
    RequestPlacement,
    ResumeDecode,
    ResumeFailed,
    ServerRemoved,
    StartDecode,
    StartPrefill,
    StopRequested,
    Tick,
    TokenArrived,
)
from sesameport.requests.tests.test_lifecycle import make_placement, make_request

OUTPUT_TOKENS = 8
NOT_RUN_KINDS = {
    kind
    for kind in EngineErrorKind
    if EngineError(kind).execution() == Execution.NOT_RUN
}
ATTEMPTS_BACK = st.sampled_from([0, 0, 0, 0, 1])
SERVERS = ["p1", "p2", "d1", "d2", "both"]


class LifecycleMachine(RuleBasedStateMachine):
    """Send the results of actions in any order, early, late, twice or never."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.lifecycle = Lifecycle(make_request(20.0), "h.i.1", rng=random.Random(7))
        self.open_holds, self.cancelled_holds = set(), set()
        self.reservations = {"prefill": 0, "decode": 0}
        self.delivered, self.end_actions = [], []
        self.placement_request, self.attempts = RequestPlacement, []
        # Prefills that may have run, and prefills that certainly did not run.
        self.maybe_run, self.not_run = set(), set()
        self.last_start = None
        self.send_placement("p1", "d1")

    def send(self, event):
        actions = self.lifecycle.handle(event, self.now)
        for action in actions:
            self.check_action(action)

    def check_action(self, action):
        match action:
            case OpenHold(server, attempt_id):
                self.open_holds.add((server, attempt_id))
            case CloseHold(server, attempt_id):
                self.open_holds.remove((server, attempt_id))
            case CancelHold(server, attempt_id):
                self.open_holds.discard((server, attempt_id))
                self.cancelled_holds.add((server, attempt_id))
            case RequestPlacement() | RequestDecodePlacement():
                self.placement_request = type(action)
            case _:
                self.check_work(action)

    def check_work(self, action):
        match action:
            case ReleasePrefillShare():
                self.reservations["prefill"] -= 1
            case ReleaseDecodeSlot():
                self.reservations["decode"] -= 1
            case StartPrefill(server, call):
                assert (server, call.attempt_id) in self.open_holds
                self.attempts.append(call.attempt_id)
                self.maybe_run.add(call.attempt_id)
                self.last_start = action
            case StartDecode(server, call):
                assert (server, call.attempt_id) in self.open_holds
                assert call.offset == len(self.delivered)
                if call.attempt_id not in self.attempts:
                    self.attempts.append(call.attempt_id)
                self.last_start = action
            case ResumeDecode(server, attempt_id, offset):
                assert (server, attempt_id) in self.open_holds
                assert offset == len(self.delivered)
                self.last_start = action
            case DeliverToken(text):
                self.delivered.append(text)
            case CompleteResponse() | RefuseRequest():
                self.end_actions.append(action)

    @precondition(lambda self: self.placement_request is not None)
    @rule(
        prefill=st.sampled_from(["p1", "p2", "both"]),
        decode=st.sampled_from(SERVERS[2:]),
    )
    def place(self, prefill, decode):
        self.send_placement(prefill, decode)

    def send_placement(self, prefill, decode):
        placement = make_placement(prefill, decode)
        if self.placement_request is RequestDecodePlacement:
            placement = make_placement(self.lifecycle.placement.prefill.name, decode)
        else:
            self.reservations["prefill"] += 1
        self.reservations["decode"] += 1
        self.placement_request = None
        self.send(Placed(placement))

    @precondition(lambda self: self.placement_request is not None)
    @rule(final=st.booleans())
    def not_placed(self, final):
        self.placement_request = None
        self.send(NotPlaced(Refusal(RefusalType.NO_SERVER), final))

    def is_prefilling(self):
        return self.placement_request is None and isinstance(
            self.last_start, StartPrefill
        )

    def is_decoding(self):
        return self.placement_request is None and isinstance(
            self.last_start, (StartDecode, ResumeDecode)
        )

    def attempt_at(self, back):
        return self.attempts[max(0, len(self.attempts) - 1 - back)]

    @precondition(lambda self: self.is_prefilling())
    @rule()
    def prefill_in_time(self):
        self.send_prefill_done(0)

    @rule(back=st.integers(0, 2))
    def prefill_done(self, back):
        self.send_prefill_done(back)

    def send_prefill_done(self, back):
        if self.attempt_at(back) in self.not_run:
            return
        handle = KvHandle("p1", "127.0.0.1:1", "h", 0.9)
        self.send(PrefillDone(self.attempt_at(back), handle))

    @precondition(is_prefilling)
    @rule(back=ATTEMPTS_BACK, kind=st.sampled_from(list(EngineErrorKind)))
    def prefill_failed(self, back, kind):
        attempt_id = self.attempt_at(back)
        if kind in NOT_RUN_KINDS and attempt_id == self.lifecycle.attempt_id:
            self.maybe_run.discard(attempt_id)
            self.not_run.add(attempt_id)
        self.send(PrefillFailed(attempt_id, EngineError(kind)))

    @precondition(is_decoding)
    @rule(
        back=ATTEMPTS_BACK,
        shift=st.sampled_from([0, 0, 0, -2, 1]),
        count=st.integers(1, 4),
    )
    def tokens(self, back, shift, count):
        first = max(0, len(self.delivered) + shift)
        for offset in range(first, min(first + count, OUTPUT_TOKENS)):
            finish_reason = "length" if offset == OUTPUT_TOKENS - 1 else ""
            event = TokenEvent(
                self.attempt_at(back), offset, str(offset), finish_reason
            )
            self.send(TokenArrived(event))

    @precondition(is_decoding)
    @rule(back=ATTEMPTS_BACK, kind=st.sampled_from(list(EngineErrorKind)))
    def decode_failed(self, back, kind):
        failure_event = (
            ResumeFailed if isinstance(self.last_start, ResumeDecode) else DecodeFailed
        )
        self.send(failure_event(self.attempt_at(back), EngineError(kind)))

    @rule(step=st.sampled_from([0.01, 0.3, 1.0]))
    def pass_time(self, step):
        self.now += step
        if self.now >= self.lifecycle.wake_at():
            self.send(Tick())

    @rule(name=st.sampled_from(SERVERS))
    def server_removed(self, name):
        self.send(ServerRemoved(name))

    @precondition(lambda self: self.now > 1.0)
    @rule(
        event=st.sampled_from(
            [CallerDisconnected(), StopRequested(Refusal(RefusalType.DEADLINE))]
        )
    )
    def stop(self, event):
        self.send(event)

    @invariant()
    def tokens_are_delivered_in_order_and_once(self):
        assert self.delivered == [str(i) for i in range(len(self.delivered))]

    @invariant()
    def request_ends_once_with_the_correct_execution(self):
        assert len(self.end_actions) <= 1
        for end in self.end_actions:
            if isinstance(end, CompleteResponse):
                assert len(self.delivered) == OUTPUT_TOKENS
                continue
            if end.refusal.execution == Execution.NOT_RUN:
                assert not self.maybe_run and not self.delivered
            if self.delivered:
                assert end.refusal.execution == Execution.RAN

    @invariant()
    def reservations_are_never_released_twice(self):
        assert min(self.reservations.values()) >= 0

    def teardown(self):
        self.send(CallerDisconnected())
        assert not self.open_holds, "a hold outlives its request"
        if self.placement_request is None:
            assert self.reservations == {"prefill": 0, "decode": 0}


TestLifecycleMachine = LifecycleMachine.TestCase
TestLifecycleMachine.settings = hypothesis.settings(
    derandomize=True, max_examples=150, stateful_step_count=30, deadline=None
)
