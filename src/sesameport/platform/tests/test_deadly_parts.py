"""Test that hosts stop requests that crash backend servers."""

import itertools
import time

import pytest

from sesameport.platform.tests.conftest import wait_until
from sesameport.platform.tests.test_server_crashes import (
    DEADLY,
    has_deadly_part,
    prefix,
)

MAX_AFTER_FIFTH_CRASH = 3
"""Requests with a deadly part that may reach servers later than the contact time after
the fifth crash, as the users state."""


class Fleet:
    """Send requests to several hosts in turn."""

    def __init__(self, cluster):
        self._cluster = cluster
        self.hosts = list(cluster.hosts)
        self._numbers = itertools.count()

    def send(self, *parts, hosts=None, **fields):
        """Send a generation whose last part no other request has."""
        number = next(self._numbers)
        hosts = hosts or self._cluster.hosts
        return self._cluster.send_generation(
            request_id=f"q{number}",
            body=b"prompt %d" % number,
            headers=prefix(*parts, f"ff{number}"),
            host=hosts[number % len(hosts)],
            **fields,
        )

    def crash_two_servers(self):
        """Send two requests with the deadly part."""
        for _ in range(2):
            assert self.send("aa", DEADLY).status == 502

    def send_until_refused(self, hosts):
        """Send requests with the deadly part until all hosts refuse them."""
        for host in hosts:
            wait_until(lambda: host.refused_subjects())  # noqa: B023
        before = self.count_received()
        for _ in range(2 * len(hosts)):
            assert self.send("aa", DEADLY, hosts=hosts).status == 503
        assert self.count_received() == before

    def count_received(self):
        """Return how many requests with the deadly part have reached servers."""
        ids = {
            headers["x-request-id"]
            for replica in self._cluster.replicas.values()
            for _, _, headers, body in replica.received_requests
            if has_deadly_part(headers, body)
        }
        return len(ids)


def count_stored_crashes(store, subject):
    """Return the largest number of crashes in the stored records of a subject."""
    records = [
        store.spec("crash-suspects", name) for name in store.names("crash-suspects")
    ]
    counts = [
        len(item["crashes"])
        for item in records
        if subject in (item["subject"], *item["subjects"])
    ]
    return max(counts, default=0)


@pytest.fixture
def fleet(cluster):
    """Return three hosts before ten decode engines that crash on the deadly part."""
    for number in range(2, 13):
        cluster.add_replica(f"d{number}", "llm", "decode")
    for replica in cluster.replicas.values():
        if replica.stage == "decode":
            replica.crashes_on = has_deadly_part
    for name in ("h1", "h2", "h3"):
        cluster.start_host(name)
    wait_until(lambda: all(host.peer_count() == 2 for host in cluster.hosts))
    wait_until(lambda: all(host.server_count() >= 14 for host in cluster.hosts))
    return Fleet(cluster)


def test_part_that_crashed_five_servers_reaches_no_more_at_any_host(fleet):
    for _ in range(5):
        fleet.send("aa", DEADLY)
    time.sleep(1.0)
    before = fleet.count_received()
    for _ in range(6):
        assert fleet.send("aa", DEADLY).status != 200
    assert fleet.count_received() - before <= MAX_AFTER_FIFTH_CRASH
    answers = [fleet.send("aa", "bb").status for _ in range(6)]
    assert answers == [200] * 6


def test_refusal_is_true_and_says_when_to_return(fleet):
    fleet.crash_two_servers()
    wait_until(lambda: all(host.refused_subjects() for host in fleet.hosts))
    before = fleet.count_received()
    response = fleet.send("aa", DEADLY)
    assert response.status == 503
    assert 20.0 < float(response.headers["retry-after"]) < 40.0
    assert fleet.count_received() == before


def test_host_that_starts_after_the_crashes_refuses_the_part(fleet, cluster):
    cluster.store.fault = "down"
    fleet.crash_two_servers()
    wait_until(lambda: all(host.refused_subjects() for host in fleet.hosts))
    cluster.store.fault = ""
    new = cluster.start_host("h4")
    wait_until(lambda: new.is_ready() and new.server_count() >= 10)
    fleet.send_until_refused([new])


def test_part_stays_refused_after_all_hosts_stopped(fleet, cluster):
    fleet.crash_two_servers()
    wait_until(lambda: cluster.store.names("crash-suspects"))
    for host in cluster.hosts:
        host.close()
        cluster.store.remove("entry-hosts", host.settings.name)
    new = [cluster.start_host(name) for name in ("n1", "n2")]
    wait_until(lambda: all(host.is_ready() for host in new))
    fleet.send_until_refused(new)


def test_part_found_by_a_third_crash_stays_refused_after_all_hosts_stopped(
    fleet, cluster
):
    # A resumable request crashes two servers by itself, so that it is as suspect as its
    # part. The request that tells them apart must be in the store as well.
    part = f"llm/part/{DEADLY}"
    for count in (2, 3):
        assert fleet.send("aa", DEADLY, route="grade").status != 200
        wait_until(lambda: count_stored_crashes(cluster.store, part) == count)  # noqa: B023
        time.sleep(0.3)  # the other hosts hear that it is stored
    for host in cluster.hosts:
        host.close()
        cluster.store.remove("entry-hosts", host.settings.name)
    new = [cluster.start_host(name) for name in ("n1", "n2")]
    wait_until(lambda: all(host.is_ready() for host in new))
    fleet.send_until_refused(new)


@pytest.mark.parametrize("fault", ["down", "reset", "lost"])
def test_part_is_refused_at_all_hosts_without_the_store(fleet, cluster, fault):
    cluster.store.fault = fault
    fleet.crash_two_servers()
    fleet.send_until_refused(fleet.hosts)


def test_record_is_written_about_once_for_all_hosts(fleet, cluster):
    fleet.crash_two_servers()
    wait_until(lambda: all(host.refused_subjects() for host in fleet.hosts))
    time.sleep(2.0)
    writes = [
        path
        for method, path in cluster.store.calls
        if method == "POST" and "crash-suspects" in path
    ]
    # Two subjects with the same crashes, stored by the host that saw the second crash.
    assert 1 <= len(writes) <= 2
    for part in ("aa", DEADLY):
        assert count_stored_crashes(cluster.store, f"llm/part/{part}") == 2


def test_whole_request_that_crashes_plain_servers_is_refused(fleet, cluster):
    def is_deadly(headers, body):
        return body == b"deadly"

    cluster.add_replica("s2", "desk")
    cluster.add_replica("s3", "desk")
    for name in ("s1", "s2", "s3"):
        cluster.replicas[name].crashes_on = is_deadly
    wait_until(lambda: all(host.server_count() >= 16 for host in fleet.hosts))

    def book(number, body):
        host = fleet.hosts[number % 3]
        return cluster.send_request(
            "/book/x", "POST", body, request_id=f"b{number}", host=host
        ).status

    statuses = [book(number, b"deadly") for number in range(2)]
    assert statuses == [502, 502]
    wait_until(lambda: all(host.refused_subjects() for host in fleet.hosts))
    assert [book(number, b"deadly") for number in range(2, 8)] == [503] * 6
    assert [book(number, b"sound") for number in range(8, 14)] == [200] * 6
