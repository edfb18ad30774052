"""Test which services have callers of different ranks."""

import pytest

from sesameport.admission import ranked_services
from sesameport.entry.configuration import (
    EntryConfiguration,
    EntryRoute,
    EntryWorkspace,
    RequestKind,
    ServiceShare,
)


def route(priority, *services, is_open=False, weight=1.0):
    shares = tuple(ServiceShare(name, weight) for name in services)
    kind = RequestKind.STREAM
    return EntryRoute(
        "r", "a", "/", kind, shares, 9.0, 1.0, priority=priority, is_open=is_open
    )


@pytest.mark.parametrize(
    ("routes", "priorities", "ranked"),
    [
        ([route(0, "x"), route(0, "x")], [], set()),
        ([route(0, "x"), route(2, "x", "y"), route(2, "y")], [], {"x"}),
        ([route(3, "x")], [None, None], set()),
        ([route(3, "x")], [None, 1], {"x"}),
        ([route(3, "x"), route(0, "x")], [1, 1], set()),
        ([route(3, "x", is_open=True), route(0, "x")], [1], {"x"}),
        ([route(9, "x"), route(12, "x")], [], set()),
        ([route(0, "x"), route(2, "y", "x", weight=0.0)], [], set()),
    ],
)
def test_service_is_ranked_where_its_callers_have_different_ranks(
    routes, priorities, ranked
):
    workspaces = tuple(EntryWorkspace("w", priority=item) for item in priorities)
    configuration = EntryConfiguration(1, tuple(routes), workspaces=workspaces)
    assert ranked_services(configuration) == ranked
