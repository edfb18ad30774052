"""Test that requests reach only servers in their home regions."""

import json

import pytest

from sesameport.platform.configuration import decode_configuration
from sesameport.platform.settings import load_platform_settings
from sesameport.platform.tests.conftest import API_KEY, make_configuration, wait_until
from sesameport.platform.tests.test_decoding import SETTINGS

REGIONS = {"a": "north", "b": "south"}


def configure(cluster, version, route_regions=None, workspace_regions=None):
    """Write a configuration whose routes and workspace have home regions."""
    configuration = make_configuration(version)
    for route in configuration["routes"]:
        if route_regions is not None:
            route["allowedRegions"] = route_regions
    if workspace_regions is not None:
        configuration["tenants"][0]["allowedRegions"] = workspace_regions
    cluster.store.put("config", "main", configuration)
    host = cluster.hosts[0]
    wait_until(lambda: host.configuration_version() == version)


def add_server(cluster, name, service, stage="", **fields):
    replica = cluster.add_replica(name, service, stage, **fields)
    cluster.store.put("servers", name, replica.registration(service, zone="b"))
    return replica


@pytest.fixture
def two_regions(cluster):
    """Return a host in the north, with servers there and in the south."""
    for name, stage in (("p2", "prefill"), ("d2", "decode")):
        add_server(cluster, name, "llm", stage)
    add_server(cluster, "s2", "desk")
    host = cluster.start_host(regions=REGIONS)
    wait_until(lambda: host.is_ready() and host.server_count() == 6)
    return cluster


def received(cluster):
    return {name for name, item in cluster.replicas.items() if item.received_requests}


def ended_reasons(stream):
    found = [json.loads(line) for line in stream.getvalue().splitlines()]
    return [line["reason"] for line in found if line["event"] == "request ended"]


@pytest.mark.parametrize("by", ["route", "workspace", "both"])
def test_requests_reach_only_servers_of_the_region(two_regions, by):
    route = None if by == "workspace" else ["south", "west"]
    workspace = None if by == "route" else ["east", "south"]
    configure(two_regions, 2, route, workspace)
    for number in range(4):
        name = f"r{number}"
        assert two_regions.send_request("/look/x", request_id=name).status == 200
        assert two_regions.send_generation("draft", request_id=name).status == 200
    assert received(two_regions) == {"p2", "d2", "s2"}


def test_resumed_stream_stays_in_the_region(two_regions):
    configure(two_regions, 2, ["south"])
    two_regions.replicas["d2"].faults = ["break"]
    response = two_regions.send_generation("grade")
    assert response.is_complete and response.body.count(b"data:") == 6
    assert received(two_regions) == {"p2", "d2"}
    assert len(two_regions.replicas["d2"].received_requests) == 2


@pytest.mark.parametrize(
    "route, workspace", [(["south"], ["north"]), (["west"], None), (None, ["west"])]
)
def test_request_without_a_server_in_its_region_is_refused(
    two_regions, log_lines, route, workspace
):
    configure(two_regions, 2, route, workspace)
    for send in (
        lambda: two_regions.send_request("/book/x", "POST", b"b"),
        lambda: two_regions.send_generation("grade"),
    ):
        response = send()
        assert response.status == 503
        assert float(response.headers["retry-after"]) > 0
    assert received(two_regions) == set()
    wait_until(lambda: ended_reasons(log_lines) == ["no-home-region"] * 2)


def test_data_centre_without_a_region_is_in_no_home_region(cluster):
    host = cluster.start_host(regions={"b": "south"})
    wait_until(lambda: host.is_ready() and host.server_count() == 3)
    configure(cluster, 2, ["north"])
    assert cluster.send_request("/look/x").status == 503
    assert received(cluster) == set()


def test_restriction_that_cannot_be_read_is_not_ignored():
    # Guards against a restricted request that is served anywhere.
    for regions in ("south", [1], {"south": True}):
        tenant = {"name": "w", "apiKeys": [API_KEY], "allowedRegions": regions}
        data = json.dumps(make_configuration(tenants=[tenant])).encode()
        assert decode_configuration(data).is_err()


def test_regions_are_read_from_the_settings():
    assert load_platform_settings(SETTINGS, "x.toml")[0].regions == {}
    text = SETTINGS + '\n[zones]\na = "north"\nb = "south"\n'
    assert load_platform_settings(text, "x.toml")[0].regions == REGIONS
    _, findings = load_platform_settings(SETTINGS + "\n[zones]\na = 1\n", "x.toml")
    assert [finding.path for finding in findings] == ["zones"]
