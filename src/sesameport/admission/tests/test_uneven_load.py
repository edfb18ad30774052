"""Test the response times of unequal plain servers, without a network."""

import heapq
import random

import pytest

from sesameport.admission import FleetUse, ServerSpeeds, ServerUse, SpeedMeasure
from sesameport.admission import choose_plain_server as choose
from sesameport.admission.tests.builders import server
from sesameport.domain import ServerRole

SERVERS = [server(f"s{n}", ServerRole.PLAIN, slots=4) for n in range(4)]


def run_load(factor_of, learns, rate, seed=1):
    """Return the response times of plain requests that take 0.1 s, in order."""
    rng, use, speeds = random.Random(seed), FleetUse(), ServerSpeeds()
    free_at = {item.name: [0.0] * item.slots for item in SERVERS}
    ends, now, times = [], 0.0, []
    while now < 120.0:
        now += rng.expovariate(rate)
        while ends and ends[0][0] <= now:
            end, seconds, chosen = heapq.heappop(ends)
            use.add_local(chosen.name, ServerUse(0, -1, 0))
            speeds.record(chosen, SpeedMeasure.PLAIN, seconds, end)
        factors = speeds.factors("llm", SpeedMeasure.PLAIN, now) if learns else None
        chosen = choose("a", SERVERS, use, lambda name: 1.0, time_factors=factors)
        use.add_local(chosen.name, ServerUse(0, 1, 0))
        slots = free_at[chosen.name]
        slot = slots.index(min(slots))
        service_s = rng.lognormvariate(-2.3, 0.3) * factor_of(chosen.name, now)
        slots[slot] = end = max(now, slots[slot]) + service_s
        load = use.total_for(chosen.name).active_requests / chosen.slots
        heapq.heappush(ends, (end, (end - now) / max(1.0, load), chosen))
        times.append(end - now)
    return times


def in_phase(name, now):
    """Return 2.5 for one server after another, for 15 s each."""
    return 2.5 if int(now / 15) % 8 == 2 * int(name[1:]) else 1.0


def inherent(name, now):
    return 1.2 / 0.55 if name == "s1" else 1.0


@pytest.mark.parametrize("factor_of", [inherent, in_phase])
@pytest.mark.parametrize("rate", [60, 100])
def test_slow_servers_delay_fewer_requests(factor_of, rate):
    # Guards against a factor that is found too late, kept too long or ignored.
    before, after = (
        sorted(
            sum((run_load(factor_of, learns, rate, seed) for seed in range(1, 4)), [])
        )
        for learns in (False, True)
    )
    assert sum(after) < sum(before)
    assert after[int(0.95 * len(after))] < 0.9 * before[int(0.95 * len(before))]


@pytest.mark.parametrize("rate", [60, 130])
def test_equal_servers_are_served_as_before(rate):
    equal = [run_load(lambda name, now: 1.0, learns, rate) for learns in (False, True)]
    assert equal[0] == equal[1]
