"""Test that all hosts together stay within rate and burst under faults.

``SESAMEPORT_FUZZ=20 pytest .../test_shares.py`` runs 20 times as many examples with a
fresh seed. For a failure hypothesis prints the seed; pass it as ``--hypothesis-seed``.
"""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from sesameport.bench.share_fleet import ShareFleet
from sesameport.fleet.share_limits import RateLimit, ShareSettings
from sesameport.fleet.tests.fuzz_settings import DRIFT, fuzz_settings

RATE, BURST = 1000.0, 5000.0
CFG = ShareSettings(drift=DRIFT, standing_lease_s=40.0, standing_renewal_period_s=4.0)
"""The standing lease is short, so that it expires within an example."""
RUN_TIMES_S = st.sampled_from((0.0, 0.3, 2.0, 5.0, 12.0, 30.0))
"""Times that the simulation runs after a rule, seconds."""
HOST_INDEXES = st.sampled_from((3, 3, 0, 1, 2))
"""Hosts by index; index 3 is the current pool owner."""


class ShareMachine(RuleBasedStateMachine):
    """Check that one bucket of the whole rate and burst is never overdrawn.

    A second reference bucket starts empty and bounds the tokens that all hosts hold. It
    detects a surplus token before a request spends it.
    """

    @initialize(seed=st.integers(0, 2**32))
    def build(self, seed):
        self.fleet = ShareFleet({"w": RateLimit(RATE, BURST)}, CFG, 3, 2, seed, True)
        self.queue, self.rng = self.fleet.queue, self.fleet.rng
        self.load, self.busy_host, self.changes = 1.0, 0, 0
        self.arrive()
        self.check_held_tokens()

    def arrive(self):
        """Send requests without end, most of them to one host."""
        self.after(self.rng.expovariate(2.0 * RATE / 480.0), self.arrive)
        # Every bucket fills up in idle times. Otherwise a lost token could hide one
        # that was counted twice.
        if self.rng.random() > self.load:
            return
        index = self.busy_host if self.rng.random() < 0.7 else self.rng.randrange(3)
        size = self.rng.choice((20.0, 200.0, 200.0, 1500.0))
        host = self.fleet.hosts[index]
        host.charge("w", size, 0.05, lambda receipt: self.admitted(host, receipt))

    def check_held_tokens(self):
        self.after(0.2, self.check_held_tokens)
        reference = self.fleet.reference["w"]
        reference.advance(self.queue.now)
        held = self.fleet.spendable_tokens("w")
        assert held <= reference.level + 1e-3, (
            f"{held - reference.level:g} surplus tokens"
        )

    def admitted(self, host, receipt):
        if receipt is None:
            return
        used = receipt.tokens * self.rng.uniform(0.3, 1.5)
        generation, entry = host.generation, self.fleet.last_withdrawal

        def settle():
            if generation == host.generation and host.alive:
                host.settle(receipt, used, entry)

        self.after(self.rng.choice((0.1, 0.1, 3.0, 9.0)), settle)

    def after(self, seconds, callback):
        self.queue.call_at(self.queue.now + seconds, callback)

    def host_at(self, index):
        if index < 3:
            return self.fleet.hosts[index]
        owners = (h for h in self.fleet.hosts if h.node.owner.is_owner(h.now))
        return next(owners, self.fleet.hosts[0])

    @rule(
        seconds=RUN_TIMES_S,
        busy_host=st.integers(0, 2),
        load=st.sampled_from((0.0, 0.3, 1.0)),
    )
    def run(self, seconds, busy_host, load):
        self.busy_host, self.load = busy_host, load
        self.run_for(seconds)

    def run_for(self, seconds):
        self.queue.run_until(self.queue.now + seconds)
        over = self.fleet.overdraft("w", RATE, BURST)
        assert over <= 1e-3, f"{over:g} tokens above rate * t + burst"
        recorded = [
            sum(millionths for _, millionths in h.node.owner.records.shares().values())
            for h in self.fleet.hosts
            if h.node.owner.is_owner(h.now)
        ]
        assert all(total <= 1_000_000 for total in recorded)

    @rule(
        index=HOST_INDEXES,
        seconds=st.sampled_from((3.0, 9.0, 15.0, 45.0)),
        then=RUN_TIMES_S,
    )
    def pause(self, index, seconds, then):
        self.host_at(index).paused_until = self.queue.now + seconds
        self.run_for(then)

    @rule(
        index=HOST_INDEXES,
        seconds=st.sampled_from((0.1, 3.0, 14.0, 50.0)),
        then=RUN_TIMES_S,
    )
    def kill_and_restart(self, index, seconds, then):
        host = self.host_at(index)
        host.alive = False
        generation = host.generation
        self.after(seconds, lambda: generation == host.generation and host.start())
        self.run_for(then)

    @rule(index=HOST_INDEXES, seconds=st.sampled_from((3.0, 14.0)), then=RUN_TIMES_S)
    def leave_and_restart(self, index, seconds, then):
        host = self.host_at(index)
        for target, message in host.node.leave(host.now):
            self.fleet.network.send(host.node.sender, target, message)
        generation = host.generation
        self.after(seconds, lambda: generation == host.generation and host.start())
        self.run_for(then)

    @rule(
        index=HOST_INDEXES,
        outbound=st.booleans(),
        inbound=st.booleans(),
        then=RUN_TIMES_S,
    )
    def partition(self, index, outbound, inbound, then):
        """Cut one host off from the others, in one or both directions."""
        name = self.host_at(index).name
        for other in self.fleet.hosts:
            if outbound:
                self.fleet.network.blocked_pairs.add((name, other.name))
            if inbound:
                self.fleet.network.blocked_pairs.add((other.name, name))
        self.run_for(then)

    @rule(index=HOST_INDEXES, requests_arrive=st.booleans(), then=RUN_TIMES_S)
    def platform_outage(self, index, requests_arrive, then):
        platform_caller = self.host_at(index).platform_caller
        platform_caller.reachable, platform_caller.delivers_responses = (
            requests_arrive,
            False,
        )
        self.run_for(then)

    @rule(then=RUN_TIMES_S)
    def heal(self, then):
        self.fleet.network.blocked_pairs.clear()
        for host in self.fleet.hosts:
            host.platform_caller.reachable = host.platform_caller.delivers_responses = (
                True
            )
        self.run_for(then)

    @rule(
        loss_probability=st.sampled_from((0.0, 0.3)),
        duplicate_probability=st.sampled_from((0.0, 0.5)),
        late_probability=st.sampled_from((0.0, 0.3)),
        then=RUN_TIMES_S,
    )
    def disturb_messages(
        self, loss_probability, duplicate_probability, late_probability, then
    ):
        network = self.fleet.network
        (
            network.loss_probability,
            network.duplicate_probability,
            network.late_probability,
        ) = loss_probability, duplicate_probability, late_probability
        self.run_for(then)

    @rule(fraction=st.sampled_from((0.5, 1.0)), then=RUN_TIMES_S)
    def new_limits(self, fraction, then):
        """Apply a document version on one host after the other, within 3 s."""
        self.changes += 1
        change, reference = self.changes, self.fleet.reference["w"]
        limits = {"w": RateLimit(RATE * fraction, BURST * fraction)}

        def apply_limits(host):
            # A host skips a version that was replaced by a newer one.
            if change == self.changes:
                host.set_limits(limits)

        for host in self.fleet.hosts:
            delay = self.rng.uniform(0.0, 3.0)
            self.after(delay, lambda host=host: apply_limits(host))
        if fraction == 1.0:
            reference.rate_per_s, reference.burst = RATE, BURST
            return self.run_for(then)

        def lower():
            # Lots that were lent under the old version may be spent until they expire.
            if change == self.changes:
                reference.advance(self.queue.now)
                reference.rate_per_s, reference.burst = (
                    RATE * fraction,
                    BURST * fraction,
                )

        self.after(3.0 + 12.0, lower)
        return self.run_for(then)

    @rule(
        index=HOST_INDEXES,
        lost=st.integers(0, 2),
        slow=st.integers(0, 2),
        then=RUN_TIMES_S,
    )
    def disturb_calls(self, index, lost, slow, then):
        platform_caller = self.host_at(index).platform_caller
        platform_caller.responses_to_lose, platform_caller.slow_calls_left = lost, slow
        self.run_for(then)


TestShares = ShareMachine.TestCase
TestShares.settings = fuzz_settings(examples=80)
