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


@pytest.mark.parametrize("seed", range(5))
def test_reports_that_repeat_earlier_parts_match_a_fresh_aggregation(seed):
    # Unchanged parts of a report are skipped. Guards against parts that are then
    # counted twice, or that stay when a host no longer names them.
    rng, use, reports = random.Random(seed), FleetUse(), {}
    servers = [f"s{n}" for n in range(6)]
    for now in range(300):
        host = f"h{rng.randint(0, 4)}"
        uses, waiting = reports.get(host, ({}, {}))
        uses = {name: part for name, part in uses.items() if rng.random() < 0.8}
        if rng.random() < 0.6:
            part = ServerUse(rng.randint(0, 9_000), rng.randint(0, 3), 10, 0)
            uses[rng.choice(servers)] = part
        if rng.random() < 0.3:
            tokens = WaitingTokens(rng.randint(1, 5_000), rng.randint(0, 100))
            waiting = {"llm": tokens} if rng.random() < 0.6 else {}
        reports[host] = uses, waiting
        use.apply_report(host, uses, now, waiting)
        fresh = FleetUse()
        for name, (reported, tokens) in reports.items():
            fresh.apply_report(name, reported, now, tokens)
        assert [use.total_for(name) for name in servers] == [
            fresh.total_for(name) for name in servers
        ]
        assert use.remote_waiting("llm") == fresh.remote_waiting("llm")
        assert sorted(use.hosts()) == sorted(fresh.hosts())
