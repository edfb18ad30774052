"""Test fleet-wide rates while one workspace asks for many times its own."""

import random

import pytest

from sesameport.admission import FleetQuota
from sesameport.entry.contracts import EntryWorkspace

WORKSPACE = EntryWorkspace("w", rate_per_s=1_000, burst=2_000)


def fleet(size, workspace=WORKSPACE):
    hosts = [FleetQuota() for _ in range(size)]
    for quota in hosts:
        quota.configure([workspace], 0.0)
    return hosts


def exchange(hosts, now):
    for number, quota in enumerate(hosts):
        for other in hosts:
            if other is not quota:
                other.take_report(f"h{number}", 1, quota.charged(), now)


def play(hosts, seconds, rate, lag_s=0.02, seed=1):
    rng = random.Random(seed)
    exchange(hosts, 0.0)
    admitted, now, exchanged = [], 0.0, 0.0
    while now < seconds:
        now += rng.expovariate(rate)
        if now - exchanged >= lag_s:
            exchanged = now
            exchange(hosts, now)
        if rng.choice(hosts).charge("w", 100, now).is_within:
            admitted.append(now)
    return admitted


@pytest.mark.parametrize("seed", range(5))
def test_nine_hosts_keep_the_rate_of_the_fleet(seed):
    # Guards against each host granting the whole rate.
    admitted = play(fleet(9), 20, 80, seed=seed)
    window_s = 8.0
    for start in admitted:
        tokens = 100 * sum(start <= at < start + window_s for at in admitted)
        assert tokens <= (1_000 * window_s + 2_000) * 1.1


def test_demand_below_the_rate_is_never_refused():
    admitted = play(fleet(9), 20, 7, seed=2)
    asked = play([FleetQuota()], 20, 7, seed=2)
    assert len(admitted) >= 0.97 * len(asked)


def test_lowered_rate_takes_effect_at_once():
    (quota,) = fleet(1)
    lower = EntryWorkspace("w", rate_per_s=10, burst=50)
    quota.configure([lower], 0.0)
    assert quota.charge("w", 50, 0.0).is_within
    verdict = quota.charge("w", 50, 0.0)
    assert not verdict.is_within
    assert verdict.retry_after_s == pytest.approx(5.0)


def test_charge_above_the_burst_is_admitted_from_a_full_bucket_and_owed():
    (quota,) = fleet(1)
    assert quota.charge("w", 5_000, 0.0).is_within
    assert not quota.charge("w", 100, 1.0).is_within
    assert quota.charge("w", 100, 4.0).is_within


def test_restarted_host_is_not_charged_for_what_it_reported_before():
    quota, _ = fleet(2)
    quota.take_report("other", 1, {"w": 1_500.0}, 0.0)
    quota.take_report("other", 2, {"w": 100.0}, 0.0)
    assert quota.charge("w", 2_000, 0.0).is_within


def test_refund_of_a_refused_request_gives_the_tokens_back():
    (quota,) = fleet(1)
    quota.charge("w", 2_000, 0.0)
    quota.refund("w", 2_000)
    assert quota.charge("w", 2_000, 0.0).is_within
