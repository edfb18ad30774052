"""Test that decode memory is leased from replicas before a prompt is prefilled."""

import time

import pytest

from sesameport.platform.memory_leases import lease_memory
from sesameport.platform.tests.conftest import make_configuration, wait_until
from sesameport.platform.tests.test_endless_bytes import FLOODS, FloodingServer


@pytest.fixture
def scarce(cluster):
    """Return a cluster whose decode replicas are nearly filled by one request."""
    services = make_configuration()["services"]
    services[1]["engine"].update(kvCapacityTokens=1_600, holdMs=2_000)
    cluster.configure(2, services=services)
    cluster.add_replica("d2", "llm", "decode")
    host = cluster.start_host()
    wait_until(lambda: host.configuration_version() == 2 and host.server_count() >= 4)
    return cluster


def requests_of(replica, header):
    return [item for item in replica.received_requests if header in item[2]]


def test_request_goes_to_the_replica_that_leases_memory(scarce):
    # Guards against a prompt that is prefilled for a replica without memory, which
    # refuses the request after the prefill.
    prefill, full, free = (scarce.replicas[name] for name in ("p1", "d1", "d2"))
    full.lease_room = 0
    assert scarce.send_generation().status == 200
    assert len(prefill.received_requests) == 1
    assert full.received_requests == []
    (request,) = requests_of(free, "x-kv-hold")
    assert request[2]["x-kv-hold"] in free.leases
    (lease,) = free.leases.values()
    assert lease["tokens"] == 1_064
    assert 0 < lease["ttlMs"] <= 2_000


def test_no_prompt_is_prefilled_while_no_replica_leases_memory(scarce):
    # Guards against prefills that are wasted while decode memory is full.
    for name in ("d1", "d2"):
        scarce.replicas[name].lease_room = 0
    response = scarce.send_generation()
    assert response.status == 503
    assert "retry-after" in response.headers
    assert scarce.replicas["p1"].received_requests == []


def test_lease_is_released_if_the_prefill_fails(scarce):
    # Guards against leased memory that serves no request until its lease expires.
    scarce.replicas["p1"].faults = ["refuse"] * 4
    scarce.send_generation()
    replicas = [scarce.replicas[name] for name in ("d1", "d2")]
    granted = sum(len(replica.leases) for replica in replicas)
    assert granted > 0
    wait_until(lambda: sum(len(item.released_leases) for item in replicas) == granted)


def test_callers_cannot_name_a_lease(scarce):
    # Guards against a caller that uses up the lease of another request.
    scarce.send_generation(headers={"X-Kv-Hold": "l7"})
    for name in ("p1", "d1", "d2"):
        values = [
            item[2]["x-kv-hold"]
            for item in requests_of(scarce.replicas[name], "x-kv-hold")
        ]
        assert "l7" not in values


def test_replica_that_knows_no_leases_is_used_without_one(scarce):
    # Guards against requests that fail at replicas of an older version.
    for name in ("d1", "d2"):
        scarce.replicas[name].lease_room = None
    assert scarce.send_generation().status == 200


@pytest.mark.parametrize("part", list(FLOODS))
def test_endless_answer_to_a_lease_ends_the_call(part):
    # Guards against a faulty replica that fills the memory of a host, or keeps a
    # request waiting, with an answer without an end.
    server = FloodingServer(*FLOODS[part])
    try:
        began_at = time.monotonic()
        result = lease_memory(server.address, "d1", 1_000, 1.0)
        assert result.is_err()
        assert time.monotonic() - began_at < 5.0
        wait_until(lambda: server.open == 0)
    finally:
        server.stop()
