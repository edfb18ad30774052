"""Check that the fleet's calls to the platform stay bounded."""

import random

import pytest

from sesameport.bench.fleet_pacing import run_outage
from sesameport.fleet.pacing import FLEET_TRIALS_PER_S, Backoff, CallPacer, WriteOrder


def test_full_jitter_stays_between_zero_and_the_doubling_bound():
    backoff = Backoff(random.Random(1), base_s=1.0, cap_s=8.0)
    for bound in (1, 2, 4, 8, 8, 8):
        assert 0 <= backoff.next_wait() <= bound
    backoff.reset()
    assert backoff.next_wait() <= 1


def test_only_one_trial_runs_during_an_outage():
    """Guards against every waiting call trying the platform for itself."""
    pacer = CallPacer(random.Random(1), 10.0)
    pacer.note_failure(0.0)
    assert pacer.admit(100.0)
    assert not pacer.admit(100.0)
    pacer.note_success(100.1)
    assert not pacer.admit(100.1)
    assert pacer.admit(100.3)


def test_one_write_at_a_time_per_object_in_order():
    order = WriteOrder(max_waiting=2)
    assert order.begin("a", 1) is True
    assert order.begin("a", 2) is False
    assert order.begin("b", 3) is True
    assert order.begin("a", 4) is False
    assert order.begin("a", 5) is None
    assert [order.end("a"), order.end("a"), order.end("a")] == [2, 4, None]
    assert order.begin("a", 6) is True


@pytest.mark.parametrize("hosts", [9, 90, 340])
def test_calls_around_an_outage_stay_within_the_platforms_rate(hosts):
    """Guards against a burst of all hosts at the start and the end of an outage.

    The bound is the platform's several hundred writes a second, taken as 300.
    """
    result = run_outage(hosts)
    assert max(result.before, result.during, result.after) <= 300
    assert result.trials_per_s <= 1.1 * FLEET_TRIALS_PER_S
