"""Test which route, workspace and service a request gets."""

import collections

from sesameport.admission import RouteTable
from sesameport.entry.contracts import (
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
    return RouteTable.of(EntryConfiguration(1, routes, (), tuple(workspaces)))


def test_longest_prefix_of_the_host_wins():
    found = table(route("short", "/x/"), route("long", "/x/y/"))
    assert found.find_route("a.example", "/x/y/z").name == "long"
    assert found.find_route("A.example:80", "/x/z?q=/x/y/").name == "short"
    assert found.find_route("a.example", "/x") is None
    assert found.find_route("b.example", "/x/y/") is None


def test_weights_split_requests_and_repeat_for_one_request():
    found = table(route("r", "/x/", (("s", 90), ("t", 10))))
    split = found.find_route("a.example", "/x/")
    counts = collections.Counter(
        found.choose_service(split, f"id-{number}") for number in range(2_000)
    )
    assert 0.85 < counts["s"] / 2_000 < 0.95
    assert found.choose_service(split, "id-1") == found.choose_service(split, "id-1")


def test_service_with_weight_zero_gets_nothing():
    found = table(route("r", "/x/", (("s", 1), ("t", 0))))
    split = found.find_route("a.example", "/x/")
    chosen = {found.choose_service(split, f"id-{number}") for number in range(500)}
    assert chosen == {"s"}


def test_keys_name_workspaces_and_open_routes_need_none():
    workspace = EntryWorkspace("w", (key_digest("k"),))
    found = table(route("r", "/x/", is_open=True), workspaces=[workspace])
    assert found.find_workspace(key_digest("k")) == workspace
    assert found.find_workspace(key_digest("other")) is None
    assert not found.needs_key(found.find_route("a.example", "/x/"))
    assert found.needs_key(route("r", "/y/"))
