"""Test which servers a host uses while other hosts report them as unreachable."""

import random

import pytest

from sesameport.admission import ServerHealth, ServerNotices, ServerRegistry
from sesameport.domain import ServerRole
from sesameport.entry import messages as m
from sesameport.entry.server_monitor import ServerMonitor
from sesameport.entry.server_notices import ServerNotice
from sesameport.entry.servers import EntryServer


@pytest.fixture
def monitor():
    registry, health = ServerRegistry(), ServerHealth()
    for n in range(3):
        name = f"s{n}"
        registry.put(EntryServer(name, "desk", f"1.2.3.{n}:80", "a", ServerRole.PLAIN))
    monitor = ServerMonitor(
        registry, health, ServerNotices(), lambda now: None, random.Random(1)
    )
    return monitor, health


def report(health, hosts, servers):
    for n in range(hosts):
        health.apply_pauses(f"h{n}", dict.fromkeys(servers, 2.0), servers, 0.0)


def names(monitor, now):
    return {server.name for server in monitor.usable_servers("desk", now)}


def test_server_that_several_hosts_cannot_reach_is_not_used(monitor):
    monitor, health = monitor
    report(health, 2, ["s1"])
    assert names(monitor, 0.1) == {"s0", "s2"}


def test_reports_of_many_choked_hosts_leave_the_servers_in_use(monitor):
    # 35 of 61 hosts had saturated links and could not connect to any of three booking
    # servers. The other 26 hosts refused all bookings for seven seconds.
    monitor, health = monitor
    report(health, 35, ["s0", "s1", "s2"])
    assert names(monitor, 0.1) == {"s0", "s1", "s2"}


def test_own_failures_exclude_a_server_although_reports_are_ignored(monitor):
    monitor, health = monitor
    report(health, 35, ["s0", "s1", "s2"])
    monitor.record_outcome(m.CallOutcome("s0", unreachable=True), 0.0)
    assert names(monitor, 0.1) == {"s1", "s2"}


def test_full_queue_of_a_plain_server_is_not_reported(monitor):
    monitor, health = monitor
    monitor.record_outcome(m.CallOutcome("s0", refused=True), 0.0)
    assert names(monitor, 0.05) == {"s1", "s2"}
    assert health.pauses(0.05) == {}
    assert names(monitor, 0.2) == {"s0", "s1", "s2"}


@pytest.mark.parametrize("seed", range(5))
def test_usable_servers_match_the_checks_of_each_server(seed):
    # All servers are checked together. Guards against a server that is used although
    # one of the checks that `PlacementExplainer` reports excludes it, or the reverse.
    rng, registry, health = random.Random(seed), ServerRegistry(), ServerHealth()
    notices = ServerNotices()
    monitor = ServerMonitor(registry, health, notices, lambda now: None, rng)
    servers = [
        EntryServer(f"s{n}", "desk", f"1.2.3.{n}:80", "a", ServerRole.PLAIN)
        for n in range(8)
    ]
    registry.replace(servers, 0.0)
    for step in range(200):
        now, name = step / 10, rng.choice(servers).name
        match rng.randrange(6):
            case 0:
                health.record_unreachable(name, now)
            case 1:
                health.record_full_queue(name, now)
            case 2:
                named = [name] if rng.random() < 0.5 else []
                host = f"h{rng.randrange(3)}"
                health.apply_pauses(host, {name: rng.random()}, named, now)
            case 3:
                notice = ServerNotice(pause_s=rng.random(), limit_per_s=2.0)
                notices.record(name, 0, notice, now)
            case 4:
                registry.record_store_recovery(now)
                registry.remove(name, now)
            case 5:
                registry.replace(servers, now)
        registry.expire(now)
        usable = [
            server
            for server in registry.all()
            if not health.is_paused_here(server.name, now)
            and notices.takes_requests(server.name, now)
            and not registry.is_near_removal(server.name, now)
        ]
        reported = [
            server
            for server in usable
            if health.is_reported_unreachable(server.name, now)
        ]
        reachable = [server for server in usable if server not in reported]
        assert list(monitor.iter_reachable("desk", now)) == reachable
        kept = reported if len(reported) > len(reachable) else []
        assert monitor.usable_servers("desk", now) == [*reachable, *kept]
