"""Test that no host sends new requests to servers that say they are leaving."""

import itertools
import threading

import pytest

from sesameport.platform.tests.conftest import wait_until


@pytest.fixture
def send(cluster):
    """Return a function that sends requests to three hosts in turn."""
    cluster.add_replica("s2", "desk")
    cluster.add_replica("p2", "llm", "prefill")
    cluster.add_replica("d2", "llm", "decode")
    for name in ("h1", "h2", "h3"):
        cluster.start_host(name)
    wait_until(lambda: all(host.peer_count() == 2 for host in cluster.hosts))
    wait_until(lambda: all(host.server_count() >= 6 for host in cluster.hosts))
    numbers = itertools.count()

    def send_one(target):
        number = next(numbers)
        fields = {"request_id": f"q{number}", "host": cluster.hosts[number % 3]}
        if target in ("draft", "grade"):
            return cluster.send_generation(target, **fields)
        return cluster.send_request(f"/{target}/x", "POST", b"b", **fields)

    return send_one


CASES = [("book", "s1", "s2"), ("draft", "p1", "p2"), ("draft", "d1", "d2")]


def let_leave(cluster, send, target, name):
    """Let a server say that it leaves, and wait until an answer has said so."""
    leaving = cluster.replicas[name]
    leaving.says["Server-Leaving"] = "1"
    before = len(leaving.received_requests)
    while len(leaving.received_requests) == before:
        assert send(target).status == 200
    return leaving


@pytest.mark.parametrize("target, name, other", CASES)
@pytest.mark.parametrize("store_fault", ["", "down"])
def test_server_that_says_it_leaves_gets_no_request_from_any_host(
    cluster, send, target, name, other, store_fault
):
    cluster.store.fault = store_fault
    leaving = let_leave(cluster, send, target, name)
    wait_until(lambda: not any(uses(host, name) for host in cluster.hosts), 1.0)
    before = len(leaving.received_requests)
    assert [send(target).status for _ in range(12)] == [200] * 12
    assert len(leaving.received_requests) == before
    assert cluster.replicas[other].received_requests


def uses(host, name):
    return name in host.usable_servers()


def test_next_start_of_a_server_that_left_gets_requests(cluster, send):
    leaving = let_leave(cluster, send, "book", "s1")
    wait_until(lambda: not any(uses(host, "s1") for host in cluster.hosts))
    leaving.says.clear()
    cluster.store.put("servers", "s1", leaving.registration("desk", born=1_700))
    wait_until(lambda: all(uses(host, "s1") for host in cluster.hosts))
    before = len(leaving.received_requests)
    assert [send("book").status for _ in range(12)] == [200] * 12
    assert len(leaving.received_requests) > before


def test_host_that_starts_learns_of_a_leaving_server_without_an_answer(cluster, send):
    leaving = let_leave(cluster, send, "book", "s1")
    before = len(leaving.received_requests)
    new = cluster.start_host("h4")
    wait_until(lambda: new.is_ready() and new.server_count() >= 6)
    wait_until(lambda: not uses(new, "s1"), 3.0)
    for number in range(6):
        response = cluster.send_request(
            "/book/x", "POST", b"b", request_id=f"n{number}", host=new
        )
        assert response.status == 200
    assert len(leaving.received_requests) == before


def test_server_that_said_it_leaves_without_entry_is_not_used_after_a_drill(
    cluster, send
):
    # Its entry was removed before its last answers came. The copy of the store had the
    # entry, and the host that had passed on these answers used it again (review/12).
    leaving = cluster.replicas["s1"]
    cluster.store.put("servers", "s1", leaving.registration("desk", born=1_700))
    wait_until(lambda: all(uses(host, "s1") for host in cluster.hosts))
    copy, leaving.pause_s = cluster.store.copy(), 1.2
    threads = [threading.Thread(target=send, args=("book",)) for _ in range(12)]
    for thread in threads:
        thread.start()
    wait_until(lambda: leaving.executed_ids)
    leaving.says["Server-Leaving"] = "1"
    cluster.store.remove("servers", "s1")
    wait_until(lambda: not any(uses(host, "s1") for host in cluster.hosts))
    for thread in threads:
        thread.join()
    before = len(leaving.received_requests)
    cluster.store.come_back(copy, 2)
    wait_until(lambda: all(host.server_count() >= 6 for host in cluster.hosts))
    assert not any(uses(host, "s1") for host in cluster.hosts)
    assert [send("book").status for _ in range(12)] == [200] * 12
    assert len(leaving.received_requests) == before
