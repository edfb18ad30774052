"""Drive the lifecycle with random event orders against simple oracles."""

import random

import hypothesis
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from sesameport.interfaces import EngineError, EngineErrorKind, KvHandle, TokenEvent
from sesameport.requests import (
    AskDecode,
    AskPlacement,
    CallerGone,
    CancelHold,
    CloseHold,
    DecodeEnded,
    DecodeFailed,
    Deliver,
    EndAnswer,
    Lifecycle,
    NotPlaced,
    OpenHold,
    Placed,
    PrefillDone,
    PrefillEnded,
    PrefillFailed,
    RefuseCall,
    ResumeDecode,
    ResumeFailed,
    ServerGone,
    StartDecode,
    StartPrefill,
    Stopped,
    Tick,
    TokenArrived,
)
from sesameport.requests.tests.test_lifecycle import placement, request
from sesameport.world import Execution, Refusal, RefusalType

LENGTH = 8
NOT_RUN = {
    kind
    for kind in EngineErrorKind
    if EngineError(kind).execution() == Execution.NOT_RUN
}
RECENT = st.sampled_from([0, 0, 0, 0, 1])
SERVERS = ["p1", "p2", "d1", "d2", "both"]


class LifecycleOrders(RuleBasedStateMachine):
    """Answer every action in any order, early, late, twice or not at all."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.life = Lifecycle(request(20.0), "h.i.1", rng=random.Random(7))
        self.open, self.cancelled = set(), set()
        self.shares = {"prefill": 0, "decode": 0}
        self.text, self.ends = [], []
        self.asked, self.attempts = AskPlacement, []
        # Prefills whose server has not proved that they did not run.
        self.uncertain, self.refused = set(), set()
        self.started = None
        self.answer_placement("p1", "d1")

    def send(self, event):
        actions = self.life.handle(event, self.now)
        for action in actions:
            self.observe(action)

    def observe(self, action):
        match action:
            case OpenHold(server, attempt_id):
                self.open.add((server, attempt_id))
            case CloseHold(server, attempt_id):
                self.open.remove((server, attempt_id))
            case CancelHold(server, attempt_id):
                self.open.discard((server, attempt_id))
                self.cancelled.add((server, attempt_id))
            case AskPlacement() | AskDecode():
                self.asked = type(action)
            case _:
                self.observe_work(action)

    def observe_work(self, action):
        match action:
            case PrefillEnded():
                self.shares["prefill"] -= 1
            case DecodeEnded():
                self.shares["decode"] -= 1
            case StartPrefill(server, call):
                assert (server, call.attempt_id) in self.open
                self.attempts.append(call.attempt_id)
                self.uncertain.add(call.attempt_id)
                self.started = action
            case StartDecode(server, call):
                assert (server, call.attempt_id) in self.open
                assert call.offset == len(self.text)
                if call.attempt_id not in self.attempts:
                    self.attempts.append(call.attempt_id)
                self.started = action
            case ResumeDecode(server, attempt_id, offset):
                assert (server, attempt_id) in self.open
                assert offset == len(self.text)
                self.started = action
            case Deliver(text):
                self.text.append(text)
            case EndAnswer() | RefuseCall():
                self.ends.append(action)

    @precondition(lambda self: self.asked is not None)
    @rule(
        prefill=st.sampled_from(["p1", "p2", "both"]),
        decode=st.sampled_from(SERVERS[2:]),
    )
    def place(self, prefill, decode):
        self.answer_placement(prefill, decode)

    def answer_placement(self, prefill, decode):
        found = placement(prefill, decode)
        if self.asked is AskDecode:
            found = placement(self.life.placement.prefill.name, decode)
        else:
            self.shares["prefill"] += 1
        self.shares["decode"] += 1
        self.asked = None
        self.send(Placed(found))

    @precondition(lambda self: self.asked is not None)
    @rule(final=st.booleans())
    def not_placed(self, final):
        self.asked = None
        self.send(NotPlaced(Refusal(RefusalType.NO_SERVER), final))

    def is_prefilling(self):
        return self.asked is None and isinstance(self.started, StartPrefill)

    def is_decoding(self):
        return self.asked is None and isinstance(
            self.started, (StartDecode, ResumeDecode)
        )

    def attempt(self, back):
        return self.attempts[max(0, len(self.attempts) - 1 - back)]

    @precondition(lambda self: self.is_prefilling())
    @rule()
    def prefill_in_time(self):
        self.answer_prefill(0)

    @rule(back=st.integers(0, 2))
    def prefill_done(self, back):
        self.answer_prefill(back)

    def answer_prefill(self, back):
        if self.attempt(back) in self.refused:
            return
        handle = KvHandle("p1", "127.0.0.1:1", "h", 0.9)
        self.send(PrefillDone(self.attempt(back), handle))

    @precondition(is_prefilling)
    @rule(back=RECENT, kind=st.sampled_from(list(EngineErrorKind)))
    def prefill_failed(self, back, kind):
        attempt_id = self.attempt(back)
        if kind in NOT_RUN and attempt_id == self.life.attempt_id:
            self.uncertain.discard(attempt_id)
            self.refused.add(attempt_id)
        self.send(PrefillFailed(attempt_id, EngineError(kind)))

    @precondition(is_decoding)
    @rule(back=RECENT, shift=st.sampled_from([0, 0, 0, -2, 1]), count=st.integers(1, 4))
    def tokens(self, back, shift, count):
        first = max(0, len(self.text) + shift)
        for offset in range(first, min(first + count, LENGTH)):
            end = "length" if offset == LENGTH - 1 else ""
            event = TokenEvent(self.attempt(back), offset, str(offset), end)
            self.send(TokenArrived(event))

    @precondition(is_decoding)
    @rule(back=RECENT, kind=st.sampled_from(list(EngineErrorKind)))
    def decode_failed(self, back, kind):
        failure = (
            ResumeFailed if isinstance(self.started, ResumeDecode) else DecodeFailed
        )
        self.send(failure(self.attempt(back), EngineError(kind)))

    @rule(step=st.sampled_from([0.01, 0.3, 1.0]))
    def pass_time(self, step):
        self.now += step
        if self.now >= self.life.wake_at():
            self.send(Tick())

    @rule(name=st.sampled_from(SERVERS))
    def server_gone(self, name):
        self.send(ServerGone(name))

    @precondition(lambda self: self.now > 1.0)
    @rule(event=st.sampled_from([CallerGone(), Stopped(Refusal(RefusalType.DEADLINE))]))
    def stop(self, event):
        self.send(event)

    @invariant()
    def tokens_are_in_order_and_once(self):
        assert self.text == [str(i) for i in range(len(self.text))]

    @invariant()
    def one_end_and_it_is_true(self):
        assert len(self.ends) <= 1
        for end in self.ends:
            if isinstance(end, EndAnswer):
                assert len(self.text) == LENGTH
                continue
            if end.refusal.execution == Execution.NOT_RUN:
                assert not self.uncertain and not self.text
            if self.text:
                assert end.refusal.execution == Execution.RAN

    @invariant()
    def shares_are_never_released_twice(self):
        assert min(self.shares.values()) >= 0

    def teardown(self):
        self.send(CallerGone())
        assert not self.open, "a hold outlives its request"
        if self.asked is None:
            assert self.shares == {"prefill": 0, "decode": 0}


TestLifecycleOrders = LifecycleOrders.TestCase
TestLifecycleOrders.settings = hypothesis.settings(
    derandomize=True, max_examples=150, stateful_step_count=30, deadline=None
)
