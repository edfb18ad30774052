"""Test the aggregation of server use over hosts."""

import random

import pytest

from sesameport.admission import FleetUse, ServerUse, WaitingTokens


def test_total_is_local_use_plus_the_last_report_of_each_host():
    use = FleetUse()
    use.add_local("d", ServerUse(100, 1, 10))
    use.apply_report("h1", {"d": ServerUse(200, 2, 0)}, 0.0)
    use.apply_report("h1", {"d": ServerUse(50, 1, 0)}, 1.0)
    assert use.total_for("d") == ServerUse(150, 2, 10)
    use.add_local("d", ServerUse(-100, -1, -10))
    assert use.local == {}


def test_use_of_a_host_without_reports_is_removed():
    # Otherwise memory stays reserved for the requests of a dead host.
    use = FleetUse()
    use.apply_report(
        "h1", {"d": ServerUse(200, 2, 0)}, 0.0, {"llm": WaitingTokens(4_000, 500)}
    )
    assert use.remote_waiting("llm") == WaitingTokens(4_000, 500)
    assert use.expire(2.9, 3.0) == []
    assert use.expire(3.1, 3.0) == ["h1"]
    assert use.total_for("d") == ServerUse()
    assert use.remote_waiting("llm") == WaitingTokens()


def sum_of_reports(reports, server):
    total = ServerUse()
    for uses in reports:
        total = total.plus(uses.get(server, ServerUse()))
    return total


@pytest.mark.parametrize("seed", range(5))
def test_incremental_totals_match_a_full_sum_over_the_last_reports(seed):
    # Guards against totals that drift while hosts join, report and expire.
    rng, use = random.Random(seed), FleetUse()
    servers = [f"s{n}" for n in range(5)]
    reports, waiting, reported_at = {}, {}, {}

    def random_uses():
        chosen = rng.sample(servers, rng.randint(0, 5))
        return {
            name: ServerUse(rng.randint(1, 9_000), rng.randint(1, 9), 0, 500)
            for name in chosen
        }

    for now in range(300):
        host = f"h{rng.randint(0, 9)}"
        reports[host], reported_at[host] = random_uses(), now / 2
        waiting[host] = {"llm": WaitingTokens(rng.randint(0, 5_000), 100)}
        use.apply_report(host, reports[host], now / 2, waiting[host])
        use.add_local(rng.choice(servers), ServerUse(rng.randint(-900, 900), 1, 3))
        for expired in use.expire(now / 2, 3.0):
            assert now / 2 - reported_at[expired] > 3.0
            del reports[expired], waiting[expired]
        for name in servers:
            assert use.total_for(name) == sum_of_reports(
                [use.local, *reports.values()], name
            )
        waiting_sum = WaitingTokens()
        for tokens in waiting.values():
            waiting_sum = waiting_sum.plus(tokens["llm"])
        assert use.remote_waiting("llm") == waiting_sum
