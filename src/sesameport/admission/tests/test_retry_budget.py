"""Test the fleet's retry budget while every host retries all its requests."""

import random

import pytest

from sesameport.admission import WindowedRetryBudget


@pytest.mark.parametrize("seed", range(5))
def test_retries_of_all_hosts_stay_within_the_fleet_budget(seed):
    # Guards against each of nine hosts spending the fleet's whole slack.
    rng = random.Random(seed)
    hosts = [WindowedRetryBudget(0.2, 10.0, 58.0, hosts=9) for _ in range(9)]
    requests, retries, now = [], [], 0.0
    while now < 40.0:
        now += rng.expovariate(40.0)
        host = rng.choice(hosts)
        host.record_request("s", now)
        requests.append(now)
        for _ in range(2):
            if host.spend("s", now):
                retries.append(now)
    for end in retries:
        start = end - 10.0
        request_count = sum(start < at <= end for at in requests)
        retry_count = sum(start < at <= end for at in retries)
        assert retry_count <= 0.2 * request_count + 58


def test_single_failure_may_be_retried():
    budget = WindowedRetryBudget(0.2, 10.0, 58.0, hosts=9)
    budget.record_request("s", 0.0)
    assert budget.spend("s", 0.1)


def test_services_have_separate_budgets():
    budget = WindowedRetryBudget(0.0, 10.0, 2.0, hosts=1)
    assert budget.spend("a", 0.0)
    assert not budget.spend("a", 0.0)
    assert budget.spend("b", 0.0)
    assert budget.spend("a", 11.0)
