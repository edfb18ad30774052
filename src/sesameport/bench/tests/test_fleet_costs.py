"""Check fleet costs, counted in virtual time, against the stated targets."""

import pytest

from sesameport.bench.fleet_costs import CENTRES, measure_spread, measure_traffic

IN_FORCE_S = 12.0
CONTROL_KILOBYTES_PER_S = 5.0


@pytest.mark.parametrize(("hosts", "centres"), [(9, 3), (340, 7), (340, 1)])
def test_a_write_is_in_force_everywhere_in_time(hosts, centres):
    """Guards the spread against a fleet of two years from now."""
    spread = measure_spread(hosts, CENTRES[:centres], 0.1, seed=1)
    assert spread.all_s <= IN_FORCE_S


def test_control_traffic_of_the_busiest_host_stays_within_its_budget():
    """Guards against relays whose questions and pushes grow with the fleet."""
    members = measure_traffic(60, "membership", seconds=5.0)
    configuration = measure_traffic(340, "configuration", seconds=5.0)
    total = members.highest_kilobytes + configuration.highest_kilobytes
    assert total <= CONTROL_KILOBYTES_PER_S
