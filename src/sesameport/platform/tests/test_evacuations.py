"""Test that evacuated data centres get nothing, with real connections on loopback."""

import itertools
import time

import attrs
import pytest

from sesameport.entry.settings import FleetBounds
from sesameport.entry.store_watch import WATCH_INTERVAL_S
from sesameport.platform.tests.conftest import wait_until

BOUNDS = FleetBounds(evacuate_s=5.0)


@pytest.fixture
def send(cluster):
    """Return a function that sends requests before servers in the centres a and b."""
    for name, service, stage in (
        ("s2", "desk", ""),
        ("p2", "llm", "prefill"),
        ("d2", "llm", "decode"),
    ):
        replica = cluster.add_replica(name, service, stage)
        cluster.store.put("servers", name, replica.registration(service, zone="b"))
    numbers = itertools.count()

    def send_one(target, host=None):
        fields = {"request_id": f"q{next(numbers)}", "host": host}
        if target == "draft":
            return cluster.send_generation(target, **fields)
        return cluster.send_request(f"/{target}/x", "POST", b"b", **fields)

    return send_one


def start_host(cluster, name="h1", **fields):
    host = cluster.start_host(name, bounds=BOUNDS, **fields)
    wait_until(lambda: host.is_ready() and host.server_count() >= 6, 8.0)
    return host


def uses(host, centre_servers):
    return set(centre_servers) <= set(host.usable_servers())


def count_received(cluster, names):
    return sum(len(cluster.replicas[name].received_requests) for name in names)


@pytest.mark.parametrize("value", [{}, None, [1], "\ud800"])
def test_evacuated_data_centre_gets_no_request_until_the_end(cluster, send, value):
    # The value of the object has no meaning, also if it cannot be read.
    host = start_host(cluster)
    cluster.store.put("evacuations", "a", value)
    wait_until(lambda: not uses(host, ["s1"]), 1.0)
    before = count_received(cluster, ["s1", "p1", "d1"])
    targets = ["book", "draft", "look"] * 4
    assert [send(target).status for target in targets] == [200] * 12
    assert count_received(cluster, ["s1", "p1", "d1"]) == before
    assert cluster.replicas["p1"].freed_handles == []
    cluster.store.remove("evacuations", "a")
    wait_until(lambda: uses(host, ["s1", "p1", "d1"]), 1.0)


def test_host_that_starts_during_an_evacuation_sends_nothing_there(cluster, send):
    cluster.store.put("evacuations", "a", {})
    start_host(cluster)
    assert {send("book").status for _ in range(6)} == {200}
    assert count_received(cluster, ["s1"]) == 0


def test_request_that_no_other_data_centre_can_run_is_refused(cluster, send):
    host = start_host(cluster)
    for name in ("a", "b"):
        cluster.store.put("evacuations", name, {})
    wait_until(lambda: not host.usable_servers(), 2.0)
    for target in ("book", "draft"):
        response = send(target)
        assert response.status == 503
        assert b"data-centre-evacuated" in response.body
    assert count_received(cluster, cluster.replicas) == 0


def test_host_without_the_store_learns_of_evacuations_from_other_hosts(cluster, send):
    first = start_host(cluster)
    seeds = (first.peer_address,)
    cluster.store.put("evacuations", "a", {})
    wait_until(lambda: not uses(first, ["s1"]), 1.0)
    other = start_host(cluster, "h2", seed_addresses=seeds, store_address="127.0.0.1:9")
    assert not uses(other, ["s1"])
    cluster.store.remove("evacuations", "a")
    wait_until(lambda: uses(other, ["s1"]), 4.0)
    cluster.store.put("evacuations", "b", {})
    wait_until(lambda: not uses(other, ["s2"]), 4.0)


def test_evacuation_stays_in_force_until_a_store_outage_ends(cluster, send):
    host = start_host(cluster)
    cluster.store.put("evacuations", "a", {})
    wait_until(lambda: not uses(host, ["s1"]), 1.0)
    cluster.store.fault = "down"
    cluster.store.remove("evacuations", "a")
    assert {send("book").status for _ in range(6)} == {200}
    assert not uses(host, ["s1"])
    cluster.store.fault = ""
    wait_until(lambda: uses(host, ["s1"]))


def test_store_is_not_asked_for_evacuations_without_the_bound(cluster, send):
    # Each watch costs money, and an earlier deployment has no evacuations.
    host = cluster.start_host()
    wait_until(lambda: host.is_ready() and host.server_count() >= 6)
    assert not [path for _, path in cluster.store.calls if "evacuations" in path]


def test_host_whose_answer_was_lost_reads_the_evacuation_again(
    cluster, send, monkeypatch
):
    # Its pending watch would end after 27 s, and the bound is 5 s.
    hosts = [start_host(cluster, name) for name in ("h1", "h2")]
    wait_until(lambda: all(host.peer_count() == 1 for host in hosts))
    watch, lost = cluster.store._watch, []

    def lose_one(kind, query):
        status, answer = watch(kind, query)
        if kind == "evacuations" and answer.get("events") and not lost:
            lost.append(kind)
            time.sleep(8.0)
        return status, answer

    monkeypatch.setattr(cluster.store, "_watch", lose_one)
    # The pending watches end with this change; the next ones can be lost.
    cluster.store.put("evacuations", "nowhere", {})
    wait_until(lambda: all(host._evacuations.names() for host in hosts))
    time.sleep(2 * WATCH_INTERVAL_S)
    cluster.store.put("evacuations", "a", {})
    wait_until(lambda: not any(uses(host, ["s1"]) for host in hosts), 4.0)
    assert lost


def test_bound_that_is_added_to_the_settings_takes_effect_at_once(cluster, send):
    # The host serves meanwhile: it may have no store to read the evacuations from.
    host = cluster.start_host()
    wait_until(lambda: host.is_ready() and host.server_count() >= 6)
    cluster.store.put("evacuations", "a", {})
    host.reload(attrs.evolve(host.settings, bounds=BOUNDS))
    assert host.is_ready()
    wait_until(lambda: not uses(host, ["s1"]), 1.0)
