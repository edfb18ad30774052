"""Test the limits of a region and the checks on region shares."""

from sesameport.domain import Model, RegionShare, ServiceDocument, Workspace
from sesameport.fleet.share_limits import (
    RateLimit,
    check_region_bursts,
    check_region_change,
    region_limits,
)


def document(*shares, burst=8000.0):
    return ServiceDocument(
        "svc",
        models=(Model("m", max_prompt_tokens=3000, max_output_tokens=1000),),
        workspaces=(Workspace("w", (), 1000.0, burst),),
        regions=tuple(RegionShare(name, share) for name, share in shares),
    )


def test_region_share_is_moved_in_two_versions_only():
    old = document(("n", 0.5), ("s", 0.5))
    lowered = document(("n", 0.3), ("s", 0.5))
    moved = document(("n", 0.3), ("s", 0.7))
    assert [f.path for f in check_region_change(old, moved, "d")] == [
        "regions[1].share"
    ]
    assert check_region_change(old, lowered, "d") == []
    assert check_region_change(lowered, moved, "d") == []
    assert check_region_change(old, document(), "d")[0].path == "regions"


def test_region_limits_follow_shares_and_small_pools_are_found():
    doc = document(("n", 0.75), ("s", 0.25))
    assert region_limits(doc, "s", 2) == {"w": RateLimit(250.0, 2000.0)}
    assert region_limits(document(), "s", 2) == {"w": RateLimit(500.0, 4000.0)}
    assert check_region_bursts(doc, 0.25, "d")[0].path == "workspaces[0].burst_tokens"
    assert check_region_bursts(document(("n", 1.0)), 0.25, "d") == []
