"""Check idempotency claims against a small platform and a simple oracle."""

import random

import hypothesis
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)
from result import Err, Ok

from sesameport.interfaces import PlatformError, PlatformErrorKind, StoredObject
from sesameport.requests import (
    ClaimAnswered,
    ClaimAsk,
    ClaimConfig,
    ClaimGranted,
    ClaimOutcome,
    ClaimRefused,
    Claims,
    CreateShard,
    ReadShard,
    decode_entries,
)
from sesameport.world import Execution, RefusalType

Kind = PlatformErrorKind
RAN = Execution.RAN.value


class FakePlatform:
    """Keep objects with versions; an operation may be applied later or never."""

    def __init__(self):
        self.objects = {}
        self.version = 0

    def apply(self, intent):
        current = self.objects.get(intent.name)
        if isinstance(intent, ReadShard):
            if current is None:
                return Err(PlatformError(Kind.NOT_FOUND))
            return Ok(current)
        if isinstance(intent, CreateShard):
            if current is not None:
                return Err(PlatformError(Kind.EXISTS))
        elif current is None or current.version != intent.version:
            return Err(PlatformError(Kind.CONFLICT))
        self.version += 1
        stored = StoredObject("CallClaims", intent.name, self.version, intent.value)
        self.objects[intent.name] = stored
        return Ok(stored)


class FakeHost:
    """Run one host's claims and the calls that they grant."""

    def __init__(self, owner, gone, cfg):
        self.owner = owner
        self.claims = Claims(owner, random.Random(owner), gone.__contains__, cfg)
        self.intents, self.granted, self.answers = [], [], {}

    def take(self, outputs):
        for output in outputs:
            if isinstance(output, ClaimGranted):
                self.granted.append(output.claim)
            elif isinstance(output, (ClaimAnswered, ClaimRefused)):
                assert output.call_id not in self.answers
                self.answers[output.call_id] = output
            else:
                assert all(i.name != output.name for i in self.intents)
                self.intents.append(output)

    def answer(self, intent, found, now, wall=0.0):
        self.intents.remove(intent)
        take = self.claims.shard_written
        if isinstance(intent, ReadShard):
            take = self.claims.shard_read
        self.take(take(intent.name, found, now, wall))

    def serve(self, platform, now=0.0, wall=0.0):
        while self.intents:
            self.answer(self.intents[0], platform.apply(self.intents[0]), now, wall)


def ask(call_id, key="k", body=b"body", deadline=1_000.0):
    return ClaimAsk(call_id, "desk", "w", key, body, deadline)


def hosts(count=1, cfg=None):
    gone = set()
    made = [FakeHost(f"h{i}.i", gone, cfg or ClaimConfig()) for i in range(count)]
    return (FakePlatform(), gone, *made)


def test_repeat_gets_the_stored_outcome():
    """Guard against a second run of a call that a caller repeats (I7)."""
    platform, _, first, second = hosts(2)
    first.take(first.claims.ask(ask("c1"), 0.0, 0.0))
    first.serve(platform)
    (claim,) = first.granted
    second.take(second.claims.ask(ask("c2"), 0.0, 0.0))
    second.serve(platform)
    assert second.answers["c2"].refusal.type == RefusalType.IN_PROGRESS
    outcome = ClaimOutcome(RAN, 201, (("X", "y"),), b"booked")
    first.take(first.claims.finish(claim, outcome, 0.0, 0.0))
    first.serve(platform)
    second.take(second.claims.ask(ask("c3"), 0.0, 0.0))
    second.take(second.claims.ask(ask("c4", body=b"other"), 0.0, 0.0))
    second.serve(platform)
    assert second.answers["c3"].outcome == outcome
    assert second.answers["c4"].refusal.type == RefusalType.KEY_REUSED
    assert second.granted == []


def test_claims_of_a_shard_are_written_together():
    """Guard against one platform write for each call under load."""
    platform, _, host = hosts(1, ClaimConfig(shards=1))
    for number in range(100):
        host.take(host.claims.ask(ask(f"c{number}", f"k{number}"), 0.0, 0.0))
    host.serve(platform)
    assert len(host.granted) == 100
    assert platform.version == 1


def test_full_shard_refuses_and_expired_entries_make_room():
    """Guard against an object above the platform's bound, and one full for ever."""
    cfg = ClaimConfig(shards=1, max_claim_bytes=2_000, max_object_bytes=3_000)
    platform, _, host = hosts(1, cfg)
    for number in range(40):
        host.take(host.claims.ask(ask(f"c{number}", f"k{number}"), 0.0, 0.0))
    host.serve(platform)
    refused = [a.refusal for a in host.answers.values()]
    assert refused and {r.execution for r in refused} == {Execution.NOT_RUN}
    big = ClaimOutcome(RAN, 200, (), b"x" * 1_000)
    for claim in host.granted:
        host.take(host.claims.finish(claim, big, 0.0, 0.0))
    host.serve(platform)
    (stored,) = platform.objects.values()
    assert len(stored.value) <= 3_000 + 40 * len(host.granted)
    assert all(e.outcome for e in decode_entries(stored.value).values())
    late = cfg.lifetime_s + cfg.expiry_margin_s
    for wall, granted in ((late - 1.0, 0), (late + 1.0, 1)):
        before = len(host.granted)
        host.take(host.claims.ask(ask(f"n{wall}", "new"), 0.0, wall))
        host.serve(platform, 0.0, wall)
        assert len(host.granted) == before + granted


def test_unavailable_platform_refuses_not_run():
    """Guard against a call without a claim while the platform is down."""
    _, _, host = hosts()
    host.take(host.claims.ask(ask("c1"), 0.0, 0.0))
    now = 0.0
    while "c1" not in host.answers:
        for intent in list(host.intents):
            host.answer(intent, Err(PlatformError(Kind.UNAVAILABLE)), now)
        now += 0.1
        host.take(host.claims.tick(now, 0.0))
    assert now < 3.0
    assert host.answers["c1"].refusal.type == RefusalType.CLAIM_UNAVAILABLE
    assert host.answers["c1"].refusal.execution == Execution.NOT_RUN


def test_write_with_a_lost_answer_is_recognised():
    """Guard against a host that takes its own claim for another host's."""
    platform, _, host = hosts()
    host.take(host.claims.ask(ask("c1"), 0.0, 0.0))
    host.answer(host.intents[0], platform.apply(host.intents[0]), 0.0)
    platform.apply(host.intents[0])
    host.answer(host.intents[0], Err(PlatformError(Kind.UNKNOWN)), 0.1)
    host.take(host.claims.tick(1.0, 0.0))
    host.serve(platform, 1.0)
    assert [claim.call_id for claim in host.granted] == ["c1"]


def test_given_up_claim_of_unknown_fate_is_removed():
    """Guard against a key that stays blocked, and a delayed write that lands late."""
    platform, _, host = hosts()
    host.take(host.claims.ask(ask("c1", deadline=5.0), 0.0, 0.0))
    host.answer(host.intents[0], platform.apply(host.intents[0]), 0.0)
    (delayed,) = host.intents
    host.answer(delayed, Err(PlatformError(Kind.UNKNOWN)), 0.1)
    host.take(host.claims.tick(4.0, 0.0))
    assert "c1" not in host.answers
    host.answer(host.intents[0], Err(PlatformError(Kind.UNAVAILABLE)), 4.1)
    host.take(host.claims.tick(9.0, 0.0))
    assert host.answers["c1"].refusal.execution == Execution.NOT_RUN
    host.serve(platform, 9.0)
    assert platform.apply(delayed).is_err()
    assert all(decode_entries(o.value) == {} for o in platform.objects.values())
    assert host.claims.waiting() == 0


def test_given_up_claim_leaves_the_claim_of_another_host():
    """Guard against a release that frees a key while another host runs its call."""
    platform, _, first, second = hosts(2)
    first.take(first.claims.ask(ask("c1", deadline=5.0), 0.0, 0.0))
    first.answer(first.intents[0], platform.apply(first.intents[0]), 0.0)
    first.answer(first.intents[0], Err(PlatformError(Kind.UNKNOWN)), 0.1)
    second.take(second.claims.ask(ask("c2"), 0.2, 0.0))
    second.serve(platform, 0.2)
    first.take(first.claims.tick(9.0, 0.0))
    first.serve(platform, 9.0)
    assert "c1" in first.answers and first.granted == []
    second.take(second.claims.ask(ask("c3"), 9.0, 0.0))
    second.serve(platform, 9.0)
    assert [claim.call_id for claim in second.granted] == ["c2"]


class ClaimsMachine(RuleBasedStateMachine):
    """Let two hosts claim few keys while hosts die and the platform fails."""

    def __init__(self):
        super().__init__()
        self.platform, self.gone, self.now, self.number = FakePlatform(), set(), 0.0, 0
        cfg = ClaimConfig(shards=2)
        self.cfg = cfg
        self.hosts = [self.fresh(0), self.fresh(1)]
        self.delayed = []
        self.asked, self.runs, self.ended = {}, {}, {}
        self.sent = set()

    def fresh(self, index):
        self.number += 1
        return FakeHost(f"h{index}.{self.number}", self.gone, self.cfg)

    def settle(self, host):
        """Send granted calls; the oracle counts every run of a key."""
        while host.granted:
            claim = host.granted.pop()
            _, key, body = self.asked[claim.call_id]
            self.runs.setdefault(key, []).append(claim.call_id)
            assert len(self.runs[key]) == 1, "a key ran twice"
            assert claim.call_id not in host.answers
            self.sent.add(claim.call_id)
            host.running = [*getattr(host, "running", []), claim]
        for call_id, answer in host.answers.items():
            self.check_answer(host, call_id, answer)
        host.answers = {}

    def check_answer(self, host, call_id, answer):
        _, key, body = self.asked[call_id]
        assert call_id not in self.sent
        if isinstance(answer, ClaimAnswered):
            assert answer.outcome == self.ended[key]
            assert self.asked[self.runs[key][0]][2] == body
            return
        refusal = answer.refusal
        if refusal.type == RefusalType.KEY_REUSED:
            others = {b for _, k, b in self.asked.values() if k == key}
            assert others - {body}
            return
        if refusal.type == RefusalType.CLAIM_UNAVAILABLE:
            assert refusal.execution == Execution.NOT_RUN
            return
        assert refusal.execution == Execution.MAY_HAVE_RUN

    @rule(
        index=st.sampled_from([0, 1]),
        key=st.sampled_from(["a", "b", "c"]),
        body=st.sampled_from([b"1", b"1", b"1", b"2"]),
    )
    def ask(self, index, key, body):
        call_id = f"c{len(self.asked)}"
        self.asked[call_id] = (index, key, body)
        host = self.hosts[index]
        claim = ask(call_id, key, body, self.now + 10.0)
        host.take(host.claims.ask(claim, self.now, 0.0))
        self.settle(host)

    def has_intent(self):
        return any(host.intents for host in self.hosts)

    @precondition(has_intent)
    @rule(
        index=st.sampled_from([0, 1]),
        how=st.sampled_from(["ok", "ok", "ok", "lost", "late", "down", "unknown"]),
    )
    def platform_answers(self, index, how):
        host = self.hosts[index] if self.hosts[index].intents else self.hosts[1 - index]
        intent = host.intents[0]
        is_read = isinstance(intent, ReadShard)
        unknown = Err(PlatformError(Kind.UNAVAILABLE if is_read else Kind.UNKNOWN))
        if how == "ok":
            found = self.platform.apply(intent)
        elif how == "lost":
            self.platform.apply(intent)
            found = unknown
        elif how == "down":
            found = Err(PlatformError(Kind.UNAVAILABLE))
        else:
            if how == "late" and not is_read:
                self.delayed.append(intent)
            found = unknown
        host.answer(intent, found, self.now)
        self.settle(host)

    @precondition(lambda self: self.delayed)
    @rule()
    def delayed_write_lands(self):
        self.platform.apply(self.delayed.pop(0))

    @rule(step=st.sampled_from([0.05, 1.0, 12.0]))
    def pass_time(self, step):
        self.now += step
        for host in self.hosts:
            host.take(host.claims.tick(self.now, 0.0))
            self.settle(host)

    @rule(index=st.sampled_from([0, 1]), how=st.sampled_from(["ran", "not-run"]))
    def call_ends(self, index, how):
        host = self.hosts[index]
        if not getattr(host, "running", []):
            return
        claim = host.running.pop(0)
        _, key, _ = self.asked[claim.call_id]
        if how == "not-run":
            self.runs[key].remove(claim.call_id)
            host.take(host.claims.release(claim, self.now, 0.0))
        else:
            self.ended[key] = ClaimOutcome(RAN, 201, (), claim.call_id.encode())
            host.take(host.claims.finish(claim, self.ended[key], self.now, 0.0))
        self.settle(host)

    @rule(index=st.sampled_from([0, 1]), seen=st.booleans())
    def kill(self, index, seen):
        old = self.hosts[index]
        if old.intents and seen:
            self.delayed.extend(i for i in old.intents if not isinstance(i, ReadShard))
        self.gone.add(old.owner)
        self.hosts[index] = self.fresh(index)

    @invariant()
    def nothing_is_granted_unseen(self):
        assert not any(host.granted for host in self.hosts)

    def teardown(self):
        for _ in range(40):
            self.now += 15.0
            for host in self.hosts:
                host.take(host.claims.tick(self.now, 0.0))
                host.serve(self.platform, self.now)
                self.settle(host)
        assert all(host.claims.waiting() == 0 for host in self.hosts)


TestClaimsMachine = ClaimsMachine.TestCase
TestClaimsMachine.settings = hypothesis.settings(
    derandomize=True, max_examples=250, stateful_step_count=40, deadline=None
)
