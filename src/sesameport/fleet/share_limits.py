"""Derive a region's limits from a service document and check changes of shares."""

import attrs

from sesameport.documents import largest_request_tokens
from sesameport.world import Finding, ServiceDocument

__all__ = [
    "Limit",
    "ShareSettings",
    "check_region_change",
    "check_region_bursts",
    "region_limits",
]

_ROUNDING = 1e-9


@attrs.frozen
class ShareSettings:
    """Give the settings of rate shares.

    Attributes
    ----------
    standing_share : float
        Part of rate and burst that hosts hold under the long lease.
    standing_lease_s, pool_lease_s : float
        Lease durations, seconds.
    lot_lifetime_s : float
        Longest lifetime of a lot, seconds. It is at most the pool lease, because a lot
        may not outlive the hold of its lender.
    drift : float
        Largest relative error of one clock's rate. Buckets count ``1 / (1 + drift)`` of
        the rate, so a large bound costs throughput.
    ask_timeout_s : float
        Time after which an ask counts as unanswered, seconds.
    spare_s : float
        Time of recent demand that an ask covers beyond the need, seconds.
    idle_return_s : float
        Time after which an unused lot is returned, seconds.
    standing_ask_s : float
        Period of standing asks once a share is held, seconds.
    retry_s : float
        Time during which a host does not ask again after a lender had too little.
    peers_at_once : int
        Peers that are asked at once when the pool has too little.
    """

    standing_share: float = 0.25
    standing_lease_s: float = 7_200.0
    pool_lease_s: float = 10.0
    lot_lifetime_s: float = 8.0
    drift: float = 0.01
    ask_timeout_s: float = 0.3
    spare_s: float = 0.5
    idle_return_s: float = 1.0
    standing_ask_s: float = 20.0
    retry_s: float = 0.1
    peers_at_once: int = 8


@attrs.frozen
class Limit:
    """Give a workspace's rate and burst in one region."""

    rate_tokens_per_s: float
    burst_tokens: float


def _share_of(doc: ServiceDocument, region: str, regions: int) -> float:
    if not doc.regions:
        return 1.0 / max(1, regions)
    return sum(item.share for item in doc.regions if item.name == region)


def region_limits(doc: ServiceDocument, region: str, regions: int) -> dict[str, Limit]:
    """Return the limit of each workspace in a region.

    Parameters
    ----------
    doc : ServiceDocument
        Document in force.
    region : str
        Name of the region.
    regions : int
        Number of regions of the deployment. A document without region shares is split
        equally over them.
    """
    share = _share_of(doc, region, regions)
    return {
        workspace.name: Limit(
            workspace.rate_tokens_per_s * share, workspace.burst_tokens * share
        )
        for workspace in doc.workspaces
    }


def check_region_change(
    old: ServiceDocument | None, new: ServiceDocument, file: str
) -> list[Finding]:
    """Check that a new version does not move a region share in one step.

    While a version spreads, some hosts use the old shares and some the new ones. The
    larger share of each region over both versions must therefore sum to at most 1; a
    move lowers one share in a first version and raises the other in a later one.
    """
    if old is None or not old.regions or not new.regions:
        if old is None or bool(old.regions) == bool(new.regions):
            return []
        message = "region shares may not be added or removed while the service runs"
        return [Finding(file, "regions", message)]
    before = {item.name: item.share for item in old.regions}
    total = sum(share for name, share in before.items())
    raised = []
    for i, item in enumerate(new.regions):
        excess = item.share - before.get(item.name, 0.0)
        if excess > _ROUNDING:
            total += excess
            raised.append((i, item))
    if total <= 1.0 + _ROUNDING:
        return []
    return [
        Finding(
            file,
            f"regions[{i}].share",
            f"raised to {item.share:g} while shares of the version in force still "
            f"count: together {total:g}, above 1; lower the other share first and "
            "raise this one in a later version",
        )
        for i, item in raised
    ]


def check_region_bursts(
    doc: ServiceDocument, standing_share: float, file: str
) -> list[Finding]:
    """Check that the pool of every region can hold the largest request.

    The pool holds ``1 - standing_share`` of a region's burst. A request above that can
    be admitted only with tokens that other hosts hold, so it would mostly be refused.
    """
    findings = []
    largest = largest_request_tokens(doc)
    shares = [item.share for item in doc.regions if item.share > 0] or [1.0]
    smallest = min(shares) * (1.0 - standing_share)
    for i, workspace in enumerate(doc.workspaces):
        pool = workspace.burst_tokens * smallest
        if pool + _ROUNDING < largest:
            message = (
                f"{workspace.burst_tokens:g} leaves {pool:g} in the smallest region's "
                f"pool, below the largest request, {largest} tokens"
            )
            findings.append(Finding(file, f"workspaces[{i}].burst_tokens", message))
    return findings
