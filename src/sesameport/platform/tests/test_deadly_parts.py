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
        self._numbers = itertools.count()

    def send(self, *parts, **fields):
        """Send a generation whose last part no other request has."""
        number = next(self._numbers)
        hosts = self._cluster.hosts
        return self._cluster.send_generation(
            request_id=f"q{number}",
            headers=prefix(*parts, f"ff{number}"),
            host=hosts[number % len(hosts)],
            **fields,
        )

    def count_received(self):
        """Return how many requests with the deadly part have reached servers."""
        ids = {
            headers["x-request-id"]
            for replica in self._cluster.replicas.values()
            for _, _, headers, body in replica.received_requests
            if has_deadly_part(headers, body)
        }
        return len(ids)


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
