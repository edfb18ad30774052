"""Test the fleet's retry budget while every host wants to repeat all its requests."""

import random

import pytest

from sesameport.admission import RetryBudget


@pytest.mark.parametrize("seed", range(5))
def test_sum_over_all_hosts_stays_within_the_budget(seed):
    # Guards against nine hosts spending the fleet's slack nine times.
    rng = random.Random(seed)
    hosts = [RetryBudget(0.2, 10.0, 58.0, hosts=9) for _ in range(9)]
    requests, repeats, now = [], [], 0.0
    while now < 40.0:
        now += rng.expovariate(40.0)
        host = rng.choice(hosts)
        host.note_request("s", now)
        requests.append(now)
        for _ in range(2):
            if host.spend("s", now):
                repeats.append(now)
    for end in repeats:
        start = end - 10.0
        asked = sum(start < at <= end for at in requests)
        extra = sum(start < at <= end for at in repeats)
        assert extra <= 0.2 * asked + 58


def test_a_lone_failure_may_be_repeated():
    budget = RetryBudget(0.2, 10.0, 58.0, hosts=9)
    budget.note_request("s", 0.0)
    assert budget.spend("s", 0.1)


def test_services_have_budgets_of_their_own():
    budget = RetryBudget(0.0, 10.0, 2.0, hosts=1)
    assert budget.spend("a", 0.0)
    assert not budget.spend("a", 0.0)
    assert budget.spend("b", 0.0)
    assert budget.spend("a", 11.0)
