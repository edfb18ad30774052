"""Test that the fleet's platform calls stay within the rate limits."""

import random

import pytest

from sesameport.bench.fleet_pacing import run_outage
from sesameport.fleet.pacing import (
    FLEET_TRIALS_PER_S,
    CallBackoff,
    CallPacer,
    KeyedWriteQueue,
)


def test_backoff_stays_between_zero_and_the_doubling_bound():
    backoff = CallBackoff(random.Random(1), base_s=1.0, cap_s=8.0)
    for bound in (1, 2, 4, 8, 8, 8):
        assert 0 <= backoff.next_wait() <= bound
    backoff.reset()
    assert backoff.next_wait() <= 1


def test_only_one_trial_runs_during_an_outage():
    """Guards against every waiting call acting as a trial of its own."""
    pacer = CallPacer(random.Random(1), 10.0)
    pacer.record_failure(0.0)
    assert pacer.admit(100.0)
    assert not pacer.admit(100.0)
    pacer.record_success(100.1)
    assert not pacer.admit(100.1)
    assert pacer.admit(100.3)


def test_writes_of_one_object_run_one_at_a_time_in_fifo_order():
    queue = KeyedWriteQueue(max_waiting=2)
    assert queue.begin("a", 1) is True
    assert queue.begin("a", 2) is False
    assert queue.begin("b", 3) is True
    assert queue.begin("a", 4) is False
    assert queue.begin("a", 5) is None
    assert [queue.end("a"), queue.end("a"), queue.end("a")] == [2, 4, None]
    assert queue.begin("a", 6) is True


@pytest.mark.parametrize("hosts", [9, 90, 340])
def test_calls_around_an_outage_stay_within_the_platforms_rate(hosts):
    """Guards against bursts of all hosts at the start and the end of an outage.

    The limit is the platform's several hundred writes per second, taken as 300.
    """
    result = run_outage(hosts)
    assert max(result.before, result.during, result.after) <= 300
    assert result.trials_per_s <= 1.1 * FLEET_TRIALS_PER_S
