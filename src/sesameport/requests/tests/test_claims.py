"""Test idempotency claims with a fake platform and a reference model."""

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

from sesameport.domain import Execution, RefusalType
from sesameport.interfaces import PlatformError, PlatformErrorKind, StoredObject
from sesameport.requests import (
    ClaimCompleted,
    ClaimConfig,
    ClaimGranted,
    ClaimManager,
    ClaimOutcome,
    ClaimRefused,
    ClaimRequest,
    CreateShard,
    ReadShard,
    decode_entries,
)

Kind = PlatformErrorKind
RAN = Execution.RAN.value


class FakePlatform:
    """Store versioned objects; tests choose when each operation is applied."""

    def __init__(self):
        self.objects = {}
        self.version = 0

    def apply(self, operation):
        current = self.objects.get(operation.name)
        if isinstance(operation, ReadShard):
            if current is None:
                return Err(PlatformError(Kind.NOT_FOUND))
            return Ok(current)
        if isinstance(operation, CreateShard):
            if current is not None:
                return Err(PlatformError(Kind.EXISTS))
        elif current is None or current.version != operation.version:
            return Err(PlatformError(Kind.CONFLICT))
        self.version += 1
        stored = StoredObject(
            "CallClaims", operation.name, self.version, operation.value
        )
        self.objects[operation.name] = stored
        return Ok(stored)


class FakeHost:
    """Run the claims of one host and collect their outputs."""

    def __init__(self, owner, ended_owners, cfg):
        self.owner = owner
        self.claims = ClaimManager(
            owner, random.Random(owner), ended_owners.__contains__, cfg
        )
        self.operations, self.granted, self.answers = [], [], {}

    def handle_outputs(self, outputs):
        for output in outputs:
            if isinstance(output, ClaimGranted):
                self.granted.append(output.claim)
            elif isinstance(output, (ClaimCompleted, ClaimRefused)):
                assert output.call_id not in self.answers
                self.answers[output.call_id] = output
            else:
                assert all(
                    operation.name != output.name for operation in self.operations
                )
                self.operations.append(output)

    def handle_result(self, operation, result, now, wall_time=0.0):
        self.operations.remove(operation)
        handle = self.claims.handle_shard_written
        if isinstance(operation, ReadShard):
            handle = self.claims.handle_shard_read
        self.handle_outputs(handle(operation.name, result, now, wall_time))

    def run_operations(self, platform, now=0.0, wall_time=0.0):
        while self.operations:
            self.handle_result(
                self.operations[0],
                platform.apply(self.operations[0]),
                now,
                wall_time,
            )


def claim_request(call_id, key="k", body=b"body", deadline=1_000.0):
    return ClaimRequest(call_id, "desk", "w", key, body, deadline)


def make_hosts(count=1, cfg=None):
    ended_owners = set()
    hosts = [
        FakeHost(f"h{i}.i", ended_owners, cfg or ClaimConfig()) for i in range(count)
    ]
    return (FakePlatform(), ended_owners, *hosts)


def test_repeated_call_gets_the_stored_outcome():
    """Guards against running a call twice when its caller repeats it (I7)."""
    platform, _, first, second = make_hosts(2)
    first.handle_outputs(first.claims.claim(claim_request("c1"), 0.0, 0.0))
    first.run_operations(platform)
    (claim,) = first.granted
    second.handle_outputs(second.claims.claim(claim_request("c2"), 0.0, 0.0))
    second.run_operations(platform)
    assert second.answers["c2"].refusal.type == RefusalType.IN_PROGRESS
    outcome = ClaimOutcome(RAN, 201, (("X", "y"),), b"booked")
    first.handle_outputs(first.claims.finish(claim, outcome, 0.0, 0.0))
    first.run_operations(platform)
    second.handle_outputs(second.claims.claim(claim_request("c3"), 0.0, 0.0))
    second.handle_outputs(
        second.claims.claim(claim_request("c4", body=b"other"), 0.0, 0.0)
    )
    second.run_operations(platform)
    assert second.answers["c3"].outcome == outcome
    assert second.answers["c4"].refusal.type == RefusalType.KEY_REUSED
    assert second.granted == []


def test_claims_of_a_shard_are_written_in_one_batch():
    """Guards against a separate platform write for each call under load."""
    platform, _, host = make_hosts(1, ClaimConfig(shards=1))
    for number in range(100):
        host.handle_outputs(
            host.claims.claim(claim_request(f"c{number}", f"k{number}"), 0.0, 0.0)
        )
    host.run_operations(platform)
    assert len(host.granted) == 100
    assert platform.version == 1


def test_full_shard_refuses_claims_until_entries_expire():
    """Guards against objects over the platform's limit and objects that stay full."""
    cfg = ClaimConfig(shards=1, max_claim_bytes=2_000, max_object_bytes=3_000)
    platform, _, host = make_hosts(1, cfg)
    for number in range(40):
        host.handle_outputs(
            host.claims.claim(claim_request(f"c{number}", f"k{number}"), 0.0, 0.0)
        )
    host.run_operations(platform)
    refused = [a.refusal for a in host.answers.values()]
    assert refused and {r.execution for r in refused} == {Execution.NOT_RUN}
    large_outcome = ClaimOutcome(RAN, 200, (), b"x" * 1_000)
    for claim in host.granted:
        host.handle_outputs(host.claims.finish(claim, large_outcome, 0.0, 0.0))
    host.run_operations(platform)
    (stored,) = platform.objects.values()
    assert len(stored.value) <= 3_000 + 40 * len(host.granted)
    assert all(e.outcome for e in decode_entries(stored.value).values())
    expiry = cfg.lifetime_s + cfg.expiry_margin_s
    for wall_time, granted in ((expiry - 1.0, 0), (expiry + 1.0, 1)):
        previously_granted = len(host.granted)
        host.handle_outputs(
            host.claims.claim(claim_request(f"n{wall_time}", "new"), 0.0, wall_time)
        )
        host.run_operations(platform, 0.0, wall_time)
        assert len(host.granted) == previously_granted + granted


def test_claim_is_refused_as_not_run_while_the_platform_is_unavailable():
    """Guards against sending a call whose claim could not be stored."""
    _, _, host = make_hosts()
    host.handle_outputs(host.claims.claim(claim_request("c1"), 0.0, 0.0))
    now = 0.0
    while "c1" not in host.answers:
        for operation in list(host.operations):
            host.handle_result(operation, Err(PlatformError(Kind.UNAVAILABLE)), now)
        now += 0.1
        host.handle_outputs(host.claims.tick(now, 0.0))
    assert now < 3.0
    assert host.answers["c1"].refusal.type == RefusalType.CLAIM_UNAVAILABLE
    assert host.answers["c1"].refusal.execution == Execution.NOT_RUN


def test_own_claim_is_recognised_after_a_lost_write_result():
    """Guards against a host that treats its own claim as another host's claim.

    The platform applies the write, but its result is lost, so the host reads its own
    claim.
    """
    platform, _, host = make_hosts()
    host.handle_outputs(host.claims.claim(claim_request("c1"), 0.0, 0.0))
    host.handle_result(host.operations[0], platform.apply(host.operations[0]), 0.0)
    platform.apply(host.operations[0])
    host.handle_result(host.operations[0], Err(PlatformError(Kind.UNKNOWN)), 0.1)
    host.handle_outputs(host.claims.tick(1.0, 0.0))
    host.run_operations(platform, 1.0)
    assert [claim.call_id for claim in host.granted] == ["c1"]


def test_refused_claim_that_may_be_written_is_removed():
    """Guards against a key that stays claimed by a call that was never sent.

    The write of the claim may have taken effect, or may do so after the refusal.
    """
    platform, _, host = make_hosts()
    host.handle_outputs(host.claims.claim(claim_request("c1", deadline=5.0), 0.0, 0.0))
    host.handle_result(host.operations[0], platform.apply(host.operations[0]), 0.0)
    (delayed_write,) = host.operations
    host.handle_result(delayed_write, Err(PlatformError(Kind.UNKNOWN)), 0.1)
    host.handle_outputs(host.claims.tick(4.0, 0.0))
    assert "c1" not in host.answers
    host.handle_result(host.operations[0], Err(PlatformError(Kind.UNAVAILABLE)), 4.1)
    host.handle_outputs(host.claims.tick(9.0, 0.0))
    assert host.answers["c1"].refusal.execution == Execution.NOT_RUN
    host.run_operations(platform, 9.0)
    assert platform.apply(delayed_write).is_err()
    assert all(decode_entries(o.value) == {} for o in platform.objects.values())
    assert host.claims.pending_count() == 0


def test_refused_claim_does_not_remove_the_claim_of_another_host():
    """Guards against releasing a key while another host runs its call."""
    platform, _, first, second = make_hosts(2)
    first.handle_outputs(
        first.claims.claim(claim_request("c1", deadline=5.0), 0.0, 0.0)
    )
    first.handle_result(first.operations[0], platform.apply(first.operations[0]), 0.0)
    first.handle_result(first.operations[0], Err(PlatformError(Kind.UNKNOWN)), 0.1)
    second.handle_outputs(second.claims.claim(claim_request("c2"), 0.2, 0.0))
    second.run_operations(platform, 0.2)
    first.handle_outputs(first.claims.tick(9.0, 0.0))
    first.run_operations(platform, 9.0)
    assert "c1" in first.answers and first.granted == []
    second.handle_outputs(second.claims.claim(claim_request("c3"), 9.0, 0.0))
    second.run_operations(platform, 9.0)
    assert [claim.call_id for claim in second.granted] == ["c2"]


class ClaimsMachine(RuleBasedStateMachine):
    """Let two hosts claim the same few keys while hosts and the platform fail."""

    def __init__(self):
        super().__init__()
        self.platform, self.ended_owners, self.now, self.last_incarnation = (
            FakePlatform(),
            set(),
            0.0,
            0,
        )
        cfg = ClaimConfig(shards=2)
        self.cfg = cfg
        self.hosts = [self.start_host(0), self.start_host(1)]
        self.delayed_writes = []
        self.requested, self.runs, self.outcomes = {}, {}, {}
        self.sent = set()

    def start_host(self, index):
        self.last_incarnation += 1
        return FakeHost(
            f"h{index}.{self.last_incarnation}", self.ended_owners, self.cfg
        )

    def check_outputs(self, host):
        """Send the granted calls and check that each key runs only once."""
        while host.granted:
            claim = host.granted.pop()
            _, key, body = self.requested[claim.call_id]
            self.runs.setdefault(key, []).append(claim.call_id)
            assert len(self.runs[key]) == 1, "a key ran twice"
            assert claim.call_id not in host.answers
            self.sent.add(claim.call_id)
            host.running = [*getattr(host, "running", []), claim]
        for call_id, answer in host.answers.items():
            self.check_answer(host, call_id, answer)
        host.answers = {}

    def check_answer(self, host, call_id, answer):
        _, key, body = self.requested[call_id]
        assert call_id not in self.sent
        if isinstance(answer, ClaimCompleted):
            assert answer.outcome == self.outcomes[key]
            assert self.requested[self.runs[key][0]][2] == body
            return
        refusal = answer.refusal
        if refusal.type == RefusalType.KEY_REUSED:
            bodies = {b for _, k, b in self.requested.values() if k == key}
            assert bodies - {body}
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
    def add_claim(self, index, key, body):
        call_id = f"c{len(self.requested)}"
        self.requested[call_id] = (index, key, body)
        host = self.hosts[index]
        request = claim_request(call_id, key, body, self.now + 10.0)
        host.handle_outputs(host.claims.claim(request, self.now, 0.0))
        self.check_outputs(host)

    def has_operation(self):
        return any(host.operations for host in self.hosts)

    @precondition(has_operation)
    @rule(
        index=st.sampled_from([0, 1]),
        outcome=st.sampled_from(["ok", "ok", "ok", "lost", "late", "down", "unknown"]),
    )
    def platform_responds(self, index, outcome):
        host = (
            self.hosts[index] if self.hosts[index].operations else self.hosts[1 - index]
        )
        operation = host.operations[0]
        is_read = isinstance(operation, ReadShard)
        unknown = Err(PlatformError(Kind.UNAVAILABLE if is_read else Kind.UNKNOWN))
        if outcome == "ok":
            result = self.platform.apply(operation)
        elif outcome == "lost":
            self.platform.apply(operation)
            result = unknown
        elif outcome == "down":
            result = Err(PlatformError(Kind.UNAVAILABLE))
        else:
            if outcome == "late" and not is_read:
                self.delayed_writes.append(operation)
            result = unknown
        host.handle_result(operation, result, self.now)
        self.check_outputs(host)

    @precondition(lambda self: self.delayed_writes)
    @rule()
    def delayed_write_is_applied(self):
        self.platform.apply(self.delayed_writes.pop(0))

    @rule(step=st.sampled_from([0.05, 1.0, 12.0]))
    def pass_time(self, step):
        self.now += step
        for host in self.hosts:
            host.handle_outputs(host.claims.tick(self.now, 0.0))
            self.check_outputs(host)

    @rule(index=st.sampled_from([0, 1]), execution=st.sampled_from(["ran", "not-run"]))
    def call_ends(self, index, execution):
        host = self.hosts[index]
        if not getattr(host, "running", []):
            return
        claim = host.running.pop(0)
        _, key, _ = self.requested[claim.call_id]
        if execution == "not-run":
            self.runs[key].remove(claim.call_id)
            host.handle_outputs(host.claims.release(claim, self.now, 0.0))
        else:
            self.outcomes[key] = ClaimOutcome(RAN, 201, (), claim.call_id.encode())
            host.handle_outputs(
                host.claims.finish(claim, self.outcomes[key], self.now, 0.0)
            )
        self.check_outputs(host)

    @rule(index=st.sampled_from([0, 1]), has_sent_writes=st.booleans())
    def kill_host(self, index, has_sent_writes):
        killed = self.hosts[index]
        if killed.operations and has_sent_writes:
            self.delayed_writes.extend(
                operation
                for operation in killed.operations
                if not isinstance(operation, ReadShard)
            )
        self.ended_owners.add(killed.owner)
        self.hosts[index] = self.start_host(index)

    @invariant()
    def all_granted_calls_were_checked(self):
        assert not any(host.granted for host in self.hosts)

    def teardown(self):
        for _ in range(40):
            self.now += 15.0
            for host in self.hosts:
                host.handle_outputs(host.claims.tick(self.now, 0.0))
                host.run_operations(self.platform, self.now)
                self.check_outputs(host)
        assert all(host.claims.pending_count() == 0 for host in self.hosts)


TestClaimsMachine = ClaimsMachine.TestCase
TestClaimsMachine.settings = hypothesis.settings(
    derandomize=True, max_examples=250, stateful_step_count=40, deadline=None
)
