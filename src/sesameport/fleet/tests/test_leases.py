"""Test that a lease never has two holders.

``SESAMEPORT_FUZZ=20 pytest .../test_leases.py`` runs 20 times as many examples with a
fresh seed. For a failure hypothesis prints the seed; pass it as ``--hypothesis-seed``.
"""

import random

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from sesameport.bench.virtual_world import (
    DriftingClock,
    EventQueue,
    SimPlatform,
    SimPlatformClient,
)
from sesameport.fleet.leases import Lease, LeaseState, decode_lease
from sesameport.fleet.tests.fuzz_settings import DRIFT, fuzz_settings

TICK_S = 0.3
RUN_TIMES_S = st.sampled_from((0.0, 0.4, 2.0, 5.0, 12.0, 12.0, 25.0))
"""Times that the simulation runs after a rule, seconds. If rules only injected faults,
no time would pass in most generated examples."""

HOST_INDEXES = st.sampled_from((3, 3, 0, 1, 2))
"""Hosts by index; index 3 is the current holder."""


class LeaseHost:
    """Simulate a host that acquires the lease; ``generation`` counts its restarts."""

    def __init__(self, name, queue, platform, rng):
        self.name, self.queue, self.platform, self.rng = name, queue, platform, rng
        self.clock = DriftingClock(rng, DRIFT)
        self.caller = SimPlatformClient(queue, platform, rng)
        self.generation = 0
        self.start()

    def start(self):
        self.generation += 1
        self.alive, self.paused_until, self.should_acquire = True, 0.0, True
        self.lease = Lease(
            "lease", "a", self.name, f"{self.generation}", 10.0, DRIFT, self.rng
        )
        self._schedule(self.generation, self.rng.uniform(0, TICK_S))

    @property
    def now(self):
        return self.clock.local(self.queue.now)

    def is_holder(self):
        return self.alive and self.lease.is_held(self.now)

    def _schedule(self, generation, delay):
        self.queue.call_at(self.queue.now + delay, lambda: self._tick(generation))

    def _tick(self, generation):
        if generation != self.generation or not self.alive:
            return
        if self.queue.now < self.paused_until:
            self._schedule(generation, self.paused_until - self.queue.now)
            return
        self.on_tick()
        intent = self.lease.tick(self.now, self.should_acquire)
        if intent is not None:
            self.caller.call(intent, lambda i, a: self._deliver(generation, i, a))
        self._schedule(generation, TICK_S)

    def on_tick(self):
        pass

    def _deliver(self, generation, intent, answer):
        if generation != self.generation or not self.alive:
            return
        if self.queue.now < self.paused_until:
            self.queue.call_at(
                self.paused_until, lambda: self._deliver(generation, intent, answer)
            )
            return
        self.lease.handle_result(intent, answer, self.now)


class FaultMachine(RuleBasedStateMachine):
    """Inject faults into hosts; subclasses add hosts and the invariant."""

    @initialize(seed=st.integers(0, 2**32))
    def build(self, seed):
        self.rng = random.Random(seed)
        self.queue, self.platform = EventQueue(), SimPlatform()
        self.hosts = self.make_hosts()

    def make_hosts(self):
        return [
            LeaseHost(f"h{i}", self.queue, self.platform, self.rng) for i in range(3)
        ]

    def host_or_holder(self, index):
        """Return the host with an index, or the holder for index 3.

        The extra index makes faults hit the holder often.
        """
        if index < 3:
            return self.hosts[index]
        return next((host for host in self.hosts if host.is_holder()), self.hosts[0])

    @rule(seconds=RUN_TIMES_S)
    def run(self, seconds):
        self.queue.run_until(self.queue.now + seconds, self.check)

    @rule(
        index=HOST_INDEXES, seconds=st.sampled_from((3.0, 9.0, 15.0)), then=RUN_TIMES_S
    )
    def pause(self, index, seconds, then):
        self.host_or_holder(index).paused_until = self.queue.now + seconds
        self.run(then)

    @rule(
        index=HOST_INDEXES, seconds=st.sampled_from((0.5, 5.0, 14.0)), then=RUN_TIMES_S
    )
    def kill_and_restart(self, index, seconds, then):
        host = self.host_or_holder(index)
        host.alive = False
        generation = host.generation
        self.after(seconds, lambda: generation == host.generation and host.start())
        self.run(then)

    @rule(
        index=HOST_INDEXES,
        requests_arrive=st.booleans(),
        seconds=st.sampled_from((3.0, 14.0, 25.0)),
        then=RUN_TIMES_S,
    )
    def partition(self, index, requests_arrive, seconds, then):
        """Cut a host off from the platform, or drop only the answers to it."""
        caller = self.host_or_holder(index).caller
        caller.reachable, caller.delivers_responses = requests_arrive, False
        self.after(seconds, lambda: self.heal(caller))
        self.run(then)

    def heal(self, caller):
        caller.reachable = caller.delivers_responses = True

    def after(self, seconds, callback):
        self.queue.call_at(self.queue.now + seconds, callback)

    @rule(
        index=HOST_INDEXES,
        lost=st.integers(0, 2),
        slow=st.integers(0, 2),
        then=RUN_TIMES_S,
    )
    def disturb_calls(self, index, lost, slow, then):
        caller = self.host_or_holder(index).caller
        caller.responses_to_lose, caller.slow_calls_left = lost, slow
        self.run(then)

    @rule(index=HOST_INDEXES, then=RUN_TIMES_S)
    def release(self, index, then):
        host = self.host_or_holder(index)
        host.lease.release(host.now)
        self.run(then)

    def check(self):
        raise NotImplementedError


class LeaseMachine(FaultMachine):
    """Check that at most one host holds the lease and that epochs never decrease."""

    highest = 0

    def check(self):
        holders = [host for host in self.hosts if host.is_holder()]
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


def test_failed_holder_is_replaced_after_the_lease_expires_with_a_higher_epoch():
    queue, hosts = hosts_of(3)
    queue.run_until(3.0)
    first = next(host for host in hosts if host.is_holder())
    first.alive = False
    queue.run_until(11.0)
    assert not any(host.is_holder() for host in hosts)
    queue.run_until(20.0)
    second = next(host for host in hosts if host.is_holder())
    assert second.lease.epoch == first.lease.epoch + 1


def test_calls_of_earlier_holders_end_within_the_bound_after_the_acquiring_write():
    queue, hosts = hosts_of(1)
    lease, platform, now = hosts[0].lease, hosts[0].platform, 100.0
    assert lease.earlier_holders_stopped_at(5.0) is None
    while not lease.is_held(now):
        now += 0.5
        intent = lease.tick(now)
        if intent is not None:
            lease.handle_result(intent, platform.run(intent), now + 0.4)
    longest = 5.0 * (1 + DRIFT) / (1 - DRIFT) + lease.margin_s
    assert lease.earlier_holders_stopped_at(5.0) == now + longest


def test_released_lease_is_acquired_without_waiting_for_expiry():
    queue, hosts = hosts_of(2)
    queue.run_until(3.0)
    first = next(host for host in hosts if host.is_holder())
    first.should_acquire = False
    first.lease.release(first.now)
    assert not first.is_holder()
    queue.run_until(7.0)
    assert any(host.is_holder() for host in hosts if host is not first)


def test_write_with_a_lost_answer_is_recognised_by_its_nonce():
    queue, hosts = hosts_of(1)
    hosts[0].caller.delivers_responses = False
    queue.run_until(3.0)
    assert not hosts[0].is_holder()
    hosts[0].caller.delivers_responses = True
    queue.run_until(6.0)
    assert hosts[0].is_holder()
    assert hosts[0].lease.epoch == 1


def test_late_result_does_not_undo_a_step_down():
    queue, hosts = hosts_of(1)
    queue.run_until(3.0)
    lease, now = hosts[0].lease, hosts[0].now
    intent = lease.tick(now + 4.0)
    lease.step_down()
    lease.handle_result(intent, hosts[0].platform.run(intent), now + 4.1)
    assert lease.state != LeaseState.HELD


def test_partitioned_holder_with_a_slow_clock_stops_before_a_fast_host_acquires():
    """Guards against a wait that does not cover the drift of both clocks."""
    for seed in range(30):
        queue, hosts = hosts_of(2, seed)
        holder, other = hosts
        holder.clock.rate, other.clock.rate = 1 - DRIFT, 1 + DRIFT
        other.should_acquire, other.lease.poll_s, other.lease.margin_s = False, 0.1, 0.0
        queue.run_until(5.0 + seed / 7)
        other.should_acquire = True
        queue.run_until(9.0 + seed / 7)
        holder.caller.reachable = False

        def check(holder=holder, other=other):
            assert not (holder.is_holder() and other.is_holder())

        queue.run_until(30.0, check)
        assert other.is_holder()


def test_pending_renewal_does_not_undo_a_release():
    queue, hosts = hosts_of(1)
    queue.run_until(3.0)
    lease, now = hosts[0].lease, hosts[0].now
    intent = lease.tick(now + 4.0)
    lease.release(now + 4.0)
    lease.handle_result(intent, hosts[0].platform.run(intent), now + 4.1)
    assert not lease.is_held(now + 4.2)
    hosts[0].platform.run(lease.tick(now + 4.3, should_acquire=False))
    stored = hosts[0].platform.objects["lease", "a"]
    assert decode_lease(stored.value).released
