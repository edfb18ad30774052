"""Simulate bursts on full decode memory and check the outcome for callers."""

import random

import pytest

from sesameport.admission import (
    FleetUse,
    PlacementPolicy,
    RetryAfterPolicy,
    ServerUse,
    WaitingPolicy,
    WaitingQueue,
    WaitingRequest,
    WaitingTokens,
    place_generation,
    reserved_kv_tokens,
)
from sesameport.admission.tests.builders import PROFILE, generation, server
from sesameport.domain import ServerRole

TARGET_S = 0.9
PATIENCE_S = 3.6
HELD_S = 3.3


def make_request(key, at=0.0, is_returning=False, priority=1, tokens=4_000):
    disconnects_at = at + PATIENCE_S
    return WaitingRequest(
        key, at, at + TARGET_S, disconnects_at, is_returning, priority, tokens
    )


def test_request_is_late_once_its_target_cannot_be_met():
    queue = WaitingQueue(WaitingPolicy(first_event_s=0.4))
    assert not queue.is_late(make_request(1), 0.49)
    assert queue.is_late(make_request(1), 0.5)
    assert queue.is_late(make_request(2, is_returning=True), 0.0)


def test_request_is_refused_before_its_caller_disconnects():
    # Otherwise the caller may disconnect before its prefill completes.
    queue = WaitingQueue(WaitingPolicy(late_first_event_s=0.8))
    queue.try_add(make_request(1))
    assert queue.pop_expired(2.79) == []
    assert [request.key for request in queue.pop_expired(2.8)] == [1]
    assert len(queue) == 0


def test_request_whose_caller_is_about_to_leave_is_refused_at_once():
    queue = WaitingQueue()
    late = WaitingRequest(1, 5.0, 4.0, 5.2, False)
    queue.try_add(late)
    assert queue.refuse_at(late) == 5.0
    assert queue.pop_expired(5.0) == [late]


def test_late_requests_are_served_last_with_retries_before_first_attempts():
    queue = WaitingQueue()
    for request in (
        make_request(1),
        make_request(2, 0.6, is_returning=True),
        make_request(3, 0.6),
    ):
        queue.try_add(request)
    assert [request.key for request in queue.in_service_order(0.7)] == [3, 2, 1]
    assert queue.tokens(0.7) == WaitingTokens(4_000, 8_000)


def test_first_attempts_precede_retries_and_older_requests_precede_newer():
    queue = WaitingQueue()
    for request in (
        make_request(1, 0.0, is_returning=True),
        make_request(2, 0.2),
        make_request(3, 0.1),
        make_request(4, 0.3, priority=0),
    ):
        queue.try_add(request)
    assert [request.key for request in queue.in_service_order(0.3)] == [4, 3, 2, 1]


def test_full_queue_rejects_further_requests():
    queue = WaitingQueue(WaitingPolicy(max_waiting=2))
    assert [queue.try_add(make_request(key)) for key in range(3)] == [True, True, False]


def test_retry_after_is_randomized_within_the_delay_that_callers_accept():
    # A refused caller has 13.5 s left and accepts a delay of up to a third of it.
    rng = random.Random(1)
    times = [RetryAfterPolicy().choose_delay_s(rng) for _ in range(500)]
    assert max(times) <= 13.5 / 3
    assert min(times) >= 2.0
    assert max(times) - min(times) > 1.5


class BurstSimulation:
    """Simulate arrivals on several engines in virtual time."""

    def __init__(self, engines, uses_forecast=True):
        self.servers = [server(f"d{number}") for number in range(engines)]
        self.servers.append(server("p1", ServerRole.PREFILL))
        self.use = FleetUse()
        self.queue = WaitingQueue()
        self.ends = []
        self.served, self.refused, self.waits = [], [], []
        self.served_at = []
        self.sizes = {}
        self.uses_forecast = uses_forecast

    def step(self, now, arrivals):
        for end in [end for end in self.ends if end[0] <= now]:
            self.ends.remove(end)
            self.use.add_local(end[1], ServerUse(-end[2], -1, 0))
        for key, prompt in arrivals:
            self.sizes[key] = prompt
            request = make_request(key, now, tokens=reserved_kv_tokens(prompt, 700))
            self.queue.try_add(request)
            self._place(now)
            if key in self.queue._requests and self.uses_forecast:
                self._refuse_if_too_late(request, now)
        self._place(now)
        for request in self.queue.pop_expired(now):
            self.refused.append((request.key, now - request.arrived_at))

    def _refuse_if_too_late(self, request, now):
        reserved = sum(
            self.use.total_for(engine.name).kv_tokens for engine in self.servers
        )
        wait_s = self.queue.excessive_wait_s(
            request, self.queue.tokens(now), reserved, HELD_S, now
        )
        if wait_s is not None:
            self.queue.discard(request.key)
            self.refused.append((request.key, 0.0))

    def _place(self, now):
        for request in self.queue.in_service_order(now):
            placement = place_generation(
                generation(prompt=self.sizes[request.key]),
                PROFILE,
                self.servers,
                self.use,
                lambda name: 1.0,
                PlacementPolicy(),
                {},
            ).ok()
            if placement is None:
                return
            self.queue.discard(request.key)
            self.use.add_local(placement.decode.name, placement.decode_use())
            self.ends.append((now + HELD_S, placement.decode.name, placement.kv_tokens))
            self.served.append(request.key)
            self.served_at.append(now)
            self.waits.append(now - request.arrived_at)


def simulate(rate_per_s, seconds=20, engines=4, uses_forecast=True, seed=3):
    rng = random.Random(seed)
    burst = BurstSimulation(engines, uses_forecast)
    key, due = 0, 0.0
    for tick in range(int((seconds + 2) * 100)):
        now, arrivals = tick / 100, []
        while due <= now and now < seconds:
            key += 1
            arrivals.append((key, int(rng.lognormvariate(8.0, 0.5))))
            due += rng.expovariate(rate_per_s)
        burst.step(now, arrivals)
    return burst


@pytest.mark.parametrize("seed", range(4))
def test_typical_load_causes_almost_no_refusals(seed):
    burst = simulate(7.0, seed=seed)
    assert len(burst.refused) <= 0.03 * len(burst.served)


@pytest.mark.parametrize("seed", range(4))
def test_overload_uses_the_full_capacity_and_refuses_the_rest_early(seed):
    burst = simulate(24.0, seed=seed)
    capacity = 4 * PROFILE.kv_tokens / reserved_kv_tokens(3_300, 700) / HELD_S
    in_time = [wait for wait in burst.waits if wait <= TARGET_S - 0.4]
    # Late requests must not delay requests that can still meet their target.
    assert len(in_time) >= 0.85 * capacity * 20
    assert max(burst.waits) <= PATIENCE_S - 0.8 + 0.01
    refusal_waits = sorted(wait for _, wait in burst.refused)
    # Half of the refusals are sent within an eighth of the target.
    assert refusal_waits[len(refusal_waits) // 2] <= TARGET_S / 8


def test_forecast_refuses_earlier_without_reducing_throughput():
    with_forecast, without = simulate(24.0), simulate(24.0, uses_forecast=False)
    mean = [
        sum(wait for _, wait in burst.refused) / len(burst.refused)
        for burst in (with_forecast, without)
    ]
    assert mean[0] < 0.5 * mean[1]
    # The forecast cannot foresee that the load ends at 20 s, so requests served later
    # are not counted.
    during = [
        sum(at < 20.0 for at in burst.served_at) for burst in (with_forecast, without)
    ]
    assert during[0] >= 0.95 * during[1]


def test_large_prompts_are_not_starved_by_small_ones():
    burst = simulate(14.0)
    sizes = sorted(burst.sizes.values())
    large = sizes[int(len(sizes) * 0.9)]
    large_keys = [key for key, prompt in burst.sizes.items() if prompt >= large]
    served = set(burst.served)
    share = sum(key in served for key in large_keys) / len(large_keys)
    assert share >= 0.5 * len(served) / len(burst.sizes)
