"""Check that a lease never has two holders.

``SESAMEPORT_FUZZ=20 pytest .../test_leases.py`` runs 20 times as many examples with a
fresh seed, which hypothesis prints for a failure; pass it as ``--hypothesis-seed``.
"""

import random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from sesameport.bench.virtual_world import (
    Clock,
    EventQueue,
    PlatformCaller,
    SimPlatform,
)
from sesameport.fleet.leases import Lease, LeaseState, decode_lease
from sesameport.fleet.tests.simulation import DRIFT, fuzz_settings

TICK_S = 0.3
# Every rule runs on for a while, because a rule that only prepares a fault leaves most
# generated examples without any elapsed time.
RUNS = st.sampled_from((0.0, 0.4, 2.0, 5.0, 12.0, 12.0, 25.0))
HOSTS = st.sampled_from((3, 3, 0, 1, 2))


class LeaseHost:
    """One host that wants the lease; ``generation`` tells restarted processes apart."""

    def __init__(self, name, queue, platform, rng):
        self.name, self.queue, self.platform, self.rng = name, queue, platform, rng
        self.clock = Clock(rng, DRIFT)
        self.caller = PlatformCaller(queue, platform, rng)
        self.generation = 0
        self.start()

    def start(self):
        self.generation += 1
        self.alive, self.paused_until, self.wanted = True, 0.0, True
        self.lease = Lease(
            "lease", "a", self.name, f"{self.generation}", 10.0, DRIFT, self.rng
        )
        self._schedule(self.generation, self.rng.uniform(0, TICK_S))

    @property
    def now(self):
        return self.clock.local(self.queue.now)

    def holds(self):
        return self.alive and self.lease.is_held(self.now)

    def _schedule(self, generation, delay):
        self.queue.at(self.queue.now + delay, lambda: self._tick(generation))

    def _tick(self, generation):
        if generation != self.generation or not self.alive:
            return
        if self.queue.now < self.paused_until:
            self._schedule(generation, self.paused_until - self.queue.now)
            return
        self.on_tick()
        intent = self.lease.tick(self.now, self.wanted)
        if intent is not None:
            self.caller.call(intent, lambda i, a: self._deliver(generation, i, a))
        self._schedule(generation, TICK_S)

    def on_tick(self):
        pass

    def _deliver(self, generation, intent, answer):
        if generation != self.generation or not self.alive:
            return
        if self.queue.now < self.paused_until:
            self.queue.at(
                self.paused_until, lambda: self._deliver(generation, intent, answer)
            )
            return
        self.lease.answered(intent, answer, self.now)


class FaultMachine(RuleBasedStateMachine):
    """Rules that break hosts; subclasses add hosts and the oracle."""

    @initialize(seed=st.integers(0, 2**32))
    def build(self, seed):
        self.rng = random.Random(seed)
        self.queue, self.platform = EventQueue(), SimPlatform()
        self.hosts = self.make_hosts()

    def make_hosts(self):
        return [
            LeaseHost(f"h{i}", self.queue, self.platform, self.rng) for i in range(3)
        ]

    def holder_or(self, index):
        """Return the holder for index 3, so that faults often hit the holder."""
        if index < 3:
            return self.hosts[index]
        return next((host for host in self.hosts if host.holds()), self.hosts[0])

    @rule(seconds=RUNS)
    def run(self, seconds):
        self.queue.run_until(self.queue.now + seconds, self.check)

    @rule(index=HOSTS, seconds=st.sampled_from((3.0, 9.0, 15.0)), then=RUNS)
    def pause(self, index, seconds, then):
        self.holder_or(index).paused_until = self.queue.now + seconds
        self.run(then)

    @rule(index=HOSTS, seconds=st.sampled_from((0.5, 5.0, 14.0)), then=RUNS)
    def kill_and_restart(self, index, seconds, then):
        host = self.holder_or(index)
        host.alive = False
        generation = host.generation
        self.after(seconds, lambda: generation == host.generation and host.start())
        self.run(then)

    @rule(
        index=HOSTS,
        there=st.booleans(),
        seconds=st.sampled_from((3.0, 14.0, 25.0)),
        then=RUNS,
    )
    def partition(self, index, there, seconds, then):
        """Cut a host off from the platform, or only the answers to it."""
        caller = self.holder_or(index).caller
        caller.reachable, caller.answers_reach = there, False
        self.after(seconds, lambda: self.heal(caller))
        self.run(then)

    def heal(self, caller):
        caller.reachable = caller.answers_reach = True

    def after(self, seconds, callback):
        self.queue.at(self.queue.now + seconds, callback)

    @rule(index=HOSTS, lost=st.integers(0, 2), slow=st.integers(0, 2), then=RUNS)
    def disturb_calls(self, index, lost, slow, then):
        caller = self.holder_or(index).caller
        caller.lose_answers, caller.slow_calls = lost, slow
        self.run(then)

    @rule(index=HOSTS, then=RUNS)
    def release(self, index, then):
        host = self.holder_or(index)
        host.lease.release(host.now)
        self.run(then)

    def check(self):
        raise NotImplementedError


class LeaseMachine(FaultMachine):
    """Oracle: at no real time do two hosts hold the lease, and epochs rise."""

    highest = 0

    def check(self):
        holders = [host for host in self.hosts if host.holds()]
        assert len(holders) <= 1, [host.name for host in holders]
        if holders:
            assert holders[0].lease.epoch >= self.highest
            self.highest = holders[0].lease.epoch


TestLeases = LeaseMachine.TestCase
TestLeases.settings = fuzz_settings()


def hosts_of(count, seed=1):
    queue, platform = EventQueue(), SimPlatform()
    rng = random.Random(seed)
    hosts = [LeaseHost(f"h{i}", queue, platform, rng) for i in range(count)]
    return queue, hosts


def test_dead_holder_is_replaced_after_the_wait_and_epoch_rises():
    queue, hosts = hosts_of(3)
    queue.run_until(3.0)
    first = next(host for host in hosts if host.holds())
    first.alive = False
    queue.run_until(11.0)
    assert not any(host.holds() for host in hosts)
    queue.run_until(20.0)
    second = next(host for host in hosts if host.holds())
    assert second.lease.epoch == first.lease.epoch + 1


def test_earlier_holders_have_stopped_a_call_bound_after_the_acquiring_write():
    queue, hosts = hosts_of(1)
    lease, platform, now = hosts[0].lease, hosts[0].platform, 100.0
    assert lease.earlier_holders_stopped_at(5.0) is None
    while not lease.is_held(now):
        now += 0.5
        intent = lease.tick(now)
        if intent is not None:
            lease.answered(intent, platform.run(intent), now + 0.4)
    longest = 5.0 * (1 + DRIFT) / (1 - DRIFT) + lease.margin_s
    assert lease.earlier_holders_stopped_at(5.0) == now + longest


def test_release_hands_over_without_the_wait():
    queue, hosts = hosts_of(2)
    queue.run_until(3.0)
    first = next(host for host in hosts if host.holds())
    first.wanted = False
    first.lease.release(first.now)
    assert not first.holds()
    queue.run_until(7.0)
    assert any(host.holds() for host in hosts if host is not first)


def test_lost_answer_is_recognised_by_its_nonce():
    queue, hosts = hosts_of(1)
    hosts[0].caller.answers_reach = False
    queue.run_until(3.0)
    assert not hosts[0].holds()
    hosts[0].caller.answers_reach = True
    queue.run_until(6.0)
    assert hosts[0].holds()
    assert hosts[0].lease.epoch == 1


def test_step_down_is_not_undone_by_a_late_answer():
    queue, hosts = hosts_of(1)
    queue.run_until(3.0)
    lease, now = hosts[0].lease, hosts[0].now
    intent = lease.tick(now + 4.0)
    lease.step_down()
    lease.answered(intent, hosts[0].platform.run(intent), now + 4.1)
    assert lease.state != LeaseState.HELD


def test_slow_holder_that_is_cut_off_stops_before_a_fast_taker_starts():
    """Guards against a wait that leaves out the drift of either clock."""
    for seed in range(30):
        queue, hosts = hosts_of(2, seed)
        holder, taker = hosts
        holder.clock.rate, taker.clock.rate = 1 - DRIFT, 1 + DRIFT
        taker.wanted, taker.lease.poll_s, taker.lease.margin_s = False, 0.1, 0.0
        queue.run_until(5.0 + seed / 7)
        taker.wanted = True
        queue.run_until(9.0 + seed / 7)
        holder.caller.reachable = False

        def check(holder=holder, taker=taker):
            assert not (holder.holds() and taker.holds())

        queue.run_until(30.0, check)
        assert taker.holds()


def test_release_is_not_undone_by_an_open_renewal():
    queue, hosts = hosts_of(1)
    queue.run_until(3.0)
    lease, now = hosts[0].lease, hosts[0].now
    intent = lease.tick(now + 4.0)
    lease.release(now + 4.0)
    lease.answered(intent, hosts[0].platform.run(intent), now + 4.1)
    assert not lease.is_held(now + 4.2)
    hosts[0].platform.run(lease.tick(now + 4.3, wanted=False))
    stored = hosts[0].platform.objects["lease", "a"]
    assert decode_lease(stored.value).released
