"""Test fleet-wide rates while a workspace exceeds its rate many times over."""

import random

import pytest

from sesameport.admission import FleetQuota
from sesameport.entry.configuration import EntryWorkspace

WORKSPACE = EntryWorkspace("w", rate_per_s=1_000, burst=2_000)


def fleet(size, workspace=WORKSPACE):
    hosts = [FleetQuota() for _ in range(size)]
    for quota in hosts:
        quota.configure([workspace], 0.0)
    return hosts


def exchange_reports(hosts, now):
    for number, quota in enumerate(hosts):
        for other in hosts:
            if other is not quota:
                other.apply_report(f"h{number}", 1, quota.charged(), now)


def simulate(hosts, seconds, rate, lag_s=0.02, seed=1):
    rng = random.Random(seed)
    exchange_reports(hosts, 0.0)
    admitted, now, exchanged_at = [], 0.0, 0.0
    while now < seconds:
        now += rng.expovariate(rate)
        if now - exchanged_at >= lag_s:
            exchanged_at = now
            exchange_reports(hosts, now)
        if rng.choice(hosts).charge("w", 100, now).is_within:
            admitted.append(now)
    return admitted


@pytest.mark.parametrize("seed", range(5))
def test_nine_hosts_together_stay_within_the_fleet_rate(seed):
    # Guards against every host admitting the full rate on its own.
    admitted = simulate(fleet(9), 20, 80, seed=seed)
    window_s = 8.0
    for start in admitted:
        tokens = 100 * sum(start <= at < start + window_s for at in admitted)
        assert tokens <= (1_000 * window_s + 2_000) * 1.1


def test_demand_below_the_rate_is_almost_never_refused():
    admitted = simulate(fleet(9), 20, 7, seed=2)
    requested = simulate([FleetQuota()], 20, 7, seed=2)
    assert len(admitted) >= 0.97 * len(requested)


def test_lowered_rate_takes_effect_at_once():
    (quota,) = fleet(1)
    lower = EntryWorkspace("w", rate_per_s=10, burst=50)
    quota.configure([lower], 0.0)
    assert quota.charge("w", 50, 0.0).is_within
    verdict = quota.charge("w", 50, 0.0)
    assert not verdict.is_within
    assert verdict.retry_after_s == pytest.approx(5.0)


def test_charge_above_the_burst_is_admitted_and_makes_the_level_negative():
    (quota,) = fleet(1)
    assert quota.charge("w", 5_000, 0.0).is_within
    assert not quota.charge("w", 100, 1.0).is_within
    assert quota.charge("w", 100, 4.0).is_within


def test_first_report_of_a_restarted_host_is_not_charged():
    quota, _ = fleet(2)
    quota.apply_report("other", 1, {"w": 1_500.0}, 0.0)
    quota.apply_report("other", 2, {"w": 100.0}, 0.0)
    assert quota.charge("w", 2_000, 0.0).is_within


def test_refund_returns_the_tokens_of_a_refused_request():
    (quota,) = fleet(1)
    quota.charge("w", 2_000, 0.0)
    quota.refund("w", 2_000)
    assert quota.charge("w", 2_000, 0.0).is_within
