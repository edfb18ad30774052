"""Test the lookup of routes, workspaces and services."""

import collections

from sesameport.admission import RouteTable
from sesameport.entry.configuration import (
    EntryConfiguration,
    EntryRoute,
    EntryWorkspace,
    RequestKind,
    ServiceShare,
    key_digest,
)


def route(name, prefix, shares=(("s", 1.0),), host="a.example", **fields):
    return EntryRoute(
        name,
        host,
        prefix,
        RequestKind.SAFE,
        tuple(ServiceShare(*share) for share in shares),
        1.0,
        0.1,
        **fields,
    )


def table(*routes, workspaces=()):
    return RouteTable.from_configuration(
        EntryConfiguration(1, routes, (), tuple(workspaces))
    )


def test_longest_matching_prefix_of_the_host_is_chosen():
    routes = table(route("short", "/x/"), route("long", "/x/y/"))
    assert routes.find_route("a.example", "/x/y/z").name == "long"
    assert routes.find_route("A.example:80", "/x/z?q=/x/y/").name == "short"
    assert routes.find_route("a.example", "/x") is None
    assert routes.find_route("b.example", "/x/y/") is None


def test_weights_split_requests_and_the_choice_for_a_request_is_stable():
    routes = table(route("r", "/x/", (("s", 90), ("t", 10))))
    weighted = routes.find_route("a.example", "/x/")
    counts = collections.Counter(
        routes.choose_service(weighted, f"id-{number}") for number in range(2_000)
    )
    assert 0.85 < counts["s"] / 2_000 < 0.95
    assert routes.choose_service(weighted, "id-1") == routes.choose_service(
        weighted, "id-1"
    )


def test_service_with_weight_zero_gets_no_requests():
    routes = table(route("r", "/x/", (("s", 1), ("t", 0))))
    weighted = routes.find_route("a.example", "/x/")
    chosen = {routes.choose_service(weighted, f"id-{number}") for number in range(500)}
    assert chosen == {"s"}


def test_keys_identify_workspaces_and_open_routes_need_no_key():
    workspace = EntryWorkspace("w", (key_digest("k"),))
    routes = table(route("r", "/x/", is_open=True), workspaces=[workspace])
    assert routes.find_workspace(key_digest("k")) == workspace
    assert routes.find_workspace(key_digest("other")) is None
    assert not routes.needs_key(routes.find_route("a.example", "/x/"))
    assert routes.needs_key(route("r", "/y/"))
