"""Check fleet costs in virtual time against their targets."""

import pytest

from sesameport.bench.fleet_costs import CENTRES, measure_spread, measure_traffic

MAX_SPREAD_S = 12.0
MAX_CONTROL_KILOBYTES_PER_S = 5.0


@pytest.mark.parametrize(("hosts", "centres"), [(9, 3), (340, 7), (340, 1)])
def test_write_spreads_to_all_hosts_in_time(hosts, centres):
    """Guards against a spread that takes too long with 340 hosts.

    That is the size expected in two years.
    """
    spread = measure_spread(hosts, CENTRES[:centres], 0.1, seed=1)
    assert spread.all_s <= MAX_SPREAD_S


def test_control_traffic_of_the_busiest_host_stays_within_its_budget():
    """Guards against requests and pushes of relays that grow with the fleet."""
    members = measure_traffic(60, "membership", seconds=5.0)
    configuration = measure_traffic(340, "configuration", seconds=5.0)
    total = members.highest_kilobytes + configuration.highest_kilobytes
    assert total <= MAX_CONTROL_KILOBYTES_PER_S
