"""Test membership under pauses, partitions, restarts and a lagging host list."""

import random

import attrs
import pytest

from sesameport.bench.fleet_loop import MessageLoop
from sesameport.domain import Host, ServerState
from sesameport.fleet.membership import MembersChanged, Membership, SteppedDown
from sesameport.fleet.peer_messages import MemberState, MemberUpdate, Probe, ProbeAck
from sesameport.interfaces import Sender

CENTRES = ("rajkot-a", "jamnagar-b", "bhuj-c")


def hosts_of(count, centres=CENTRES):
    return tuple(Host(f"h{i}", centres[i % len(centres)]) for i in range(count))


def start(loop, host, hosts, incarnation=""):
    incarnation = incarnation or f"inc-{host.name}"
    rng = random.Random(f"{host.name}{incarnation}")
    node = Membership(host, incarnation, rng)
    loop.add(Sender(host.name, incarnation, host.data_centre), node, 0.25)
    loop.apply_effects(host.name, node.merge_host_list(hosts, loop.now))
    return node


def fleet(count, seed=1, centres=CENTRES, settle_s=30):
    loop = MessageLoop(seed)
    hosts = hosts_of(count, centres)
    nodes = {host.name: start(loop, host, hosts) for host in hosts}
    loop.run(settle_s)
    return loop, hosts, nodes


def test_hosts_discover_each_other_and_reach_every_data_centre():
    loop, hosts, nodes = fleet(9)
    for node in nodes.values():
        for centre in CENTRES:
            expected = sorted(h.name for h in hosts if h.data_centre == centre)
            assert node.alive(centre) == expected
        assert node.reachable_data_centres(loop.now, 4.0) == set(CENTRES)
        assert node.ended_incarnations() == []


def test_dead_host_is_gone_on_all_hosts_but_not_ended_for_certain():
    loop, _, nodes = fleet(12)
    loop.kill("h0")
    loop.run(20)
    for name, node in nodes.items():
        if name == "h0":
            continue
        assert "h0" not in node.alive("rajkot-a")
        assert node.ended_incarnations() == []


def test_dead_host_in_a_lagging_list_does_not_become_alive():
    """Guards against the platform's list overriding the result of probes."""
    loop, hosts, nodes = fleet(9)
    loop.kill("h0")
    for _ in range(30):
        loop.run(1)
        for name, node in nodes.items():
            if name != "h0":
                loop.apply_effects(name, node.merge_host_list(hosts, loop.now))
    assert "h0" not in nodes["h3"].alive("rajkot-a")
    for name, node in nodes.items():
        if name != "h0":
            loop.apply_effects(name, node.merge_host_list(hosts[1:], loop.now))
    loop.run(35)
    departures = nodes["h4"].ended_incarnations()
    assert [(d.host, d.reason) for d in departures] == [("h0", "unlisted")]


def test_leaving_hosts_can_be_excluded():
    loop, hosts, nodes = fleet(9)
    listed = (attrs.evolve(hosts[0], state=ServerState.LEAVING), *hosts[1:])
    effects = nodes["h3"].merge_host_list(listed, loop.now)
    assert MembersChanged() in effects
    assert "h0" in nodes["h3"].alive("rajkot-a")
    assert "h0" not in nodes["h3"].alive("rajkot-a", include_leaving=False)


def test_paused_host_steps_down_first_and_suspects_no_other_host():
    """Guards against a paused host that keeps its roles or suspects the others.

    After a pause its leases may have expired and its probes are unanswered.
    """
    loop, _, nodes = fleet(9)
    loop.pause("h0", 40)
    loop.run(39)
    assert "h0" not in nodes["h3"].alive("rajkot-a")
    before = len(loop.events["h0"])
    loop.run(1.2)
    after = [event for _, event in loop.events["h0"][before:]]
    assert isinstance(after[0], SteppedDown) and after[0].paused_s > 39
    assert nodes["h0"].alive("rajkot-a") == ["h0", "h3", "h6"]
    loop.run(10)
    assert not nodes["h0"].is_self_suspect()
    assert all("h0" in node.alive("rajkot-a") for node in nodes.values())


def test_message_before_the_late_tick_detects_a_pause():
    """Guards against acting on a message between a pause and the next tick."""
    loop, hosts, nodes = fleet(9)
    node = nodes["h0"]
    sender = Sender("h3", "inc-h3", "rajkot-a")
    effects = node.receive(sender, Probe(1, 0), loop.now + 60)
    assert isinstance(effects[0], SteppedDown)
    assert node.is_self_suspect()


def test_one_way_partition_between_two_hosts_makes_no_host_gone():
    """Guards against declaring a host gone although indirect probes reach it."""
    loop, _, nodes = fleet(12)
    loop.faults.blocked_pairs.add(("h0", "h3"))
    hosts_with_missing_members = set()
    for _ in range(120):
        loop.run(0.5)
        for name, node in nodes.items():
            centre = node.table.own.data_centre
            if len(node.alive(centre)) < 4:
                hosts_with_missing_members.add(name)
    assert hosts_with_missing_members == set()


def test_isolated_data_centre_is_unreachable_but_its_hosts_are_not_gone():
    loop, hosts, nodes = fleet(9)
    inside = {h.name for h in hosts if h.data_centre == "bhuj-c"}
    for a in nodes:
        for b in nodes:
            if (a in inside) != (b in inside):
                loop.faults.blocked_pairs.add((a, b))
    loop.run(30)
    assert nodes["h0"].reachable_data_centres(loop.now, 8.0) == {
        "rajkot-a",
        "jamnagar-b",
    }
    assert nodes["h2"].reachable_data_centres(loop.now, 8.0) == {"bhuj-c"}
    assert len(nodes["h0"].alive("bhuj-c")) == 3


def test_restart_ends_the_old_incarnation_for_certain():
    loop, hosts, nodes = fleet(9)
    loop.kill("h0")
    loop.run(1)
    nodes["h0"] = start(loop, hosts[0], hosts, "second")
    loop.run(20)
    for name, node in nodes.items():
        assert node.incarnation_of("h0") == "second"
        if name != "h0":
            ended = [(d.incarnation, d.reason) for d in node.ended_incarnations()]
            assert ended[0][0] == "inc-h0" and len(ended) == 1


def test_late_messages_of_an_old_incarnation_change_nothing():
    """Guards against late messages that end the incarnation that is alive."""
    loop, hosts, nodes = fleet(9)
    late = Sender("h0", "older", "rajkot-a")
    node = nodes["h3"]
    outdated = MemberUpdate("h0", "rajkot-a", "older", 5, MemberState.ALIVE)
    for _ in range(5):
        loop.apply_effects("h3", node.receive(late, Probe(1, 7), loop.now))
        other = Sender("h6", "inc-h6", "rajkot-a")
        loop.apply_effects(
            "h3", node.receive(other, Probe(2, 0, (outdated,)), loop.now)
        )
        stale = ProbeAck(1, "h0", "rajkot-a", "older", 7)
        loop.apply_effects("h3", node.receive(late, stale, loop.now))
        loop.run(2)
    assert node.incarnation_of("h0") == "inc-h0"
    assert node.ended_incarnations() == []


def test_graceful_leave_ends_the_incarnation_for_certain_within_seconds():
    loop, _, nodes = fleet(9)
    loop.apply_effects("h0", nodes["h0"].leave(loop.now))
    loop.run(10)
    for name, node in nodes.items():
        if name != "h0":
            assert [d.reason for d in node.ended_incarnations()] == ["left"]


@pytest.mark.parametrize("count", [9, 60, 340])
def test_messages_per_host_and_period_do_not_grow_with_the_fleet(count):
    """Guards against a probing cost per host that grows with the fleet."""
    loop, _, nodes = fleet(count, centres=("dc0", "dc1", "dc2"), settle_s=8)
    loop.messages_sent.clear()
    loop.run(8)
    # 3 probes and 3 answers per period, with a margin for uneven answers.
    assert sum(loop.messages_sent.values()) / count / 8 <= 6.5
    assert max(loop.messages_sent.values()) / 8 <= 13
