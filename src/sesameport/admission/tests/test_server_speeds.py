"""Test what is learned of the speeds of servers."""

import math
import random

import attrs
import pytest

from sesameport.admission.server_speeds import ServerSpeeds
from sesameport.admission.speed_estimates import SpeedMeasure
from sesameport.admission.tests.builders import server

EVENT, PLAIN = SpeedMeasure.EVENT, SpeedMeasure.PLAIN


def run(speeds, factor_of, measure=EVENT, seconds=120, sigma=0.3, rate=4, began=0.0):
    """Record ``rate`` samples a second of 8 servers; return the factors at each second.

    ``factor_of`` returns the true factor of a server at a time.
    """
    rng = random.Random(1)
    servers = [server(f"s{n}") for n in range(8)]
    found = []
    for step in range(seconds * rate):
        now = began + step / rate
        for item in servers:
            sample = rng.lognormvariate(0.0, sigma) * factor_of(item.name, now)
            speeds.record(item, measure, 0.05 * sample, now)
        if step % rate == 0:
            found.append(speeds.factors("llm", measure, now))
    return found


@pytest.mark.parametrize("sigma", [0.1, 0.4, 0.8])
def test_equal_servers_have_no_factor(sigma):
    # Otherwise noise would change where requests go in fleets of equal servers. In a
    # burst all servers are slower at the same time.
    def factor_of(name, now):
        return 2.0 if 40 <= now < 55 else 1.0

    assert run(ServerSpeeds(), factor_of, sigma=sigma) == [{}] * 120


@pytest.mark.parametrize(("few", "many"), [(0.55, 1.2), (1.2, 0.55)])
def test_inherent_differences_are_found_and_stay_while_a_server_is_idle(few, many):
    speeds = ServerSpeeds()

    def factor_of(name, now):
        return few if name in ("s0", "s1") else many

    found = run(speeds, factor_of)
    assert sorted(found[10]) == sorted(found[-1]) == ["s0", "s1"]
    assert found[-1]["s0"] == pytest.approx(few / many, rel=0.15)
    after_a_pause = speeds.factors("llm", EVENT, 140.0)
    assert abs(math.log(after_a_pause["s0"])) > 0.8 * abs(math.log(few / many))
    # A server that was silent for long has the speed of its service again.
    assert speeds.factors("llm", EVENT, 1_500.0) == {}


def test_temporary_slowness_is_found_and_decays_without_samples():
    # A server that gets no requests for its slowness gives no samples that end it.
    speeds = ServerSpeeds()

    def factor_of(name, now):
        return 2.5 if name == "s3" and now >= 100 else 1.0

    found = run(speeds, factor_of, PLAIN, seconds=110)
    assert all("s3" not in factors for factors in found[:100])
    assert found[104]["s3"] > 1.8
    speeds.record(server("s0"), PLAIN, 0.05, 130.0)
    assert speeds.factors("llm", PLAIN, 130.0) == {}


def test_new_start_forgets_what_the_earlier_incarnation_did():
    speeds = ServerSpeeds()
    run(speeds, lambda name, now: 3.0 if name == "s2" else 1.0)
    assert "s2" in speeds.factors("llm", EVENT, 120.0)
    speeds.begin_incarnation("s2", 7)
    assert speeds.factors("llm", EVENT, 120.0) == {}
    speeds.record(server("s2", started_at_ms=7), EVENT, 0.2, 121.0)
    assert speeds.factors("llm", EVENT, 122.0) == {}


def test_another_host_learns_from_reports_and_a_late_one_from_summaries():
    speeds, other, late = ServerSpeeds(), ServerSpeeds(), ServerSpeeds()
    rng, sent = random.Random(2), 0
    servers = {f"s{n}": server(f"s{n}") for n in range(8)}
    for step in range(1_200):
        now = step / 10
        for item in servers.values():
            slow = 2.0 if item.name == "s5" else 1.0
            speeds.record(item, EVENT, slow * rng.lognormvariate(-3.0, 0.2), now)
        if step % 10:
            continue
        for report in speeds.take_reports(20, now):
            other.merge(report, servers[report.server], now)
            sent += report.count
    assert other.factors("llm", EVENT, 120.0)["s5"] == pytest.approx(2.0, rel=0.2)
    # Samples that agree with what is known are not sent.
    assert sent < 0.15 * 8 * 1_200
    speeds.queue_summaries((rng.random() for _ in range(99)), 120.0)
    (report,) = speeds.take_reports(20, 120.0)
    for name in ("s0", "s1", "s2"):
        for _ in range(20):
            late.record(servers[name], EVENT, 0.05, 119.0)
    assert late.merge(report, servers["s5"], 120.0)
    assert late.factors("llm", EVENT, 120.0)["s5"] > 1.6
    # A report of an earlier incarnation has no effect.
    newer = attrs.evolve(servers["s5"], started_at_ms=9)
    assert not late.merge(report, newer, 120.0)
