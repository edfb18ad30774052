"""Test the bound on the bytes in flight to one server."""

import pytest

from sesameport.adapters.caller_limits.bounds import CallerBounds
from sesameport.entry.server_bytes import ServerBytes
from sesameport.platform.tests.conftest import wait_until


def test_each_host_uses_its_share_and_no_more():
    # Guards against a server that all hosts fill up beyond its memory at the same time.
    hosts = [ServerBytes(1_000, lambda: 4) for _ in range(4)]
    taken = sum(100 for host in hosts for _ in range(20) if host.take("s1", 100))
    assert taken == 800
    assert hosts[0].take("s2", 250)
    assert not hosts[0].take("s2", 1)
    hosts[0].release("s1", 100)
    assert hosts[0].take("s1", 100)


def test_share_follows_the_number_of_hosts():
    count = 1
    server_bytes = ServerBytes(1_000, lambda: count)
    assert server_bytes.take("s1", 400)
    count = 3
    assert not server_bytes.take("s1", 1)
    assert server_bytes.take("s2", 333)


@pytest.mark.parametrize("target", ["/book/x", "/draft/x"])
def test_request_beyond_the_share_is_refused_and_does_not_run(cluster, target):
    host = cluster.start_host(limits=CallerBounds.for_machine(max_server_bytes=1_000))
    wait_until(lambda: host.is_ready() and host.server_count() >= 3)
    tokens = {"X-Token-Count": "1000,400"}
    for size, expected in ((1_001, 503), (600, 200), (600, 200), (1_000, 200)):
        # Each request releases what it took, or the next one is refused.
        response = cluster.send_request(
            target, "POST", b"x" * size, headers=tokens, request_id=f"r{size}"
        )
        assert (response.status, response.is_complete) == (expected, True)
    received = [
        body
        for replica in cluster.replicas.values()
        for _, _, _, body in replica.received_requests
    ]
    assert 1_001 not in map(len, received)
