"""Check the rate shares against the stated targets in virtual time."""

import pytest

from sesameport.bench.share_costs import count_refusals
from sesameport.fleet.share_limits import ShareSettings

TARGET = 0.005
CFG = ShareSettings(drift=0.001)


@pytest.mark.parametrize("seed", [1, 2])
def test_wrongful_refusals_at_70_percent_load(seed):
    """Guards against shares that strand tokens on hosts without demand."""
    count = count_refusals(CFG, 0.7, seed, 240.0)
    assert count.requests > 1000
    assert count.wrongful_part() < TARGET
    assert count.overdraft <= 1e-3


def test_cut_data_centre_stays_within_the_bound_and_beats_an_equal_split():
    count = count_refusals(CFG, 1.3, 1, 180.0, cut=True)
    split = count_refusals(CFG, 1.3, 1, 180.0, cut=True, baseline=True)
    assert count.overdraft <= 1e-3
    assert count.cut_wrongful < split.cut_wrongful


def test_platform_calls_do_not_grow_with_the_hosts():
    few, many = (
        count_refusals(CFG, 0.7, 1, 60.0, hosts=hosts).platform_calls
        for hosts in (9, 36)
    )
    assert many <= few * 1.2
