"""Check the rate shares in virtual time against their targets."""

import pytest

from sesameport.bench.share_costs import count_refusals
from sesameport.fleet.share_limits import ShareSettings

MAX_WRONGFUL_FRACTION = 0.005
CFG = ShareSettings(drift=0.001)


@pytest.mark.parametrize("seed", [1, 2])
def test_wrongful_refusals_at_70_percent_load(seed):
    """Guards against shares that leave tokens on hosts without demand."""
    count = count_refusals(CFG, 0.7, seed, 240.0)
    assert count.requests > 1000
    assert count.wrongful_fraction() < MAX_WRONGFUL_FRACTION
    assert count.overdraft <= 1e-3


def test_partition_keeps_the_bound_and_refuses_less_than_an_equal_split():
    """Guards against shares that exceed the rate in a partition or waste it.

    One data centre loses its connection to the others and to the platform.
    """
    count = count_refusals(CFG, 1.3, 1, 180.0, has_partition=True)
    split = count_refusals(CFG, 1.3, 1, 180.0, has_partition=True, baseline=True)
    assert count.overdraft <= 1e-3
    assert count.partition_wrongful < split.partition_wrongful


def test_platform_calls_do_not_grow_with_the_number_of_hosts():
    """Guards against platform calls by every host instead of by the pool owner."""
    few, many = (
        count_refusals(CFG, 0.7, 1, 60.0, hosts=hosts).platform_calls
        for hosts in (9, 36)
    )
    assert many <= few * 1.2
