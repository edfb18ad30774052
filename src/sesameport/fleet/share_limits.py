"""Compute a region's rate limits from a service document and check share changes."""

import zlib

import attrs

from sesameport.documents import largest_request_tokens
from sesameport.domain import Finding, ServiceDocument

__all__ = [
    "RateLimit",
    "ShareSettings",
    "check_region_change",
    "check_region_bursts",
    "region_limits",
    "workspaces_digest",
]

_ROUNDING = 1e-9
"""Smaller excesses are rounding errors."""


@attrs.frozen
class ShareSettings:
    """Store the settings of rate shares.

    Attributes
    ----------
    standing_share : float
        Fraction of rate and burst that hosts hold as standing shares.
    standing_lease_s, pool_lease_s : float
        Lease durations, seconds.
    lot_lifetime_s : float
        Longest lifetime of a lot, seconds. It is at most the pool lease, because a lot
        must not outlive the lease of its lender.
    drift : float
        Largest relative error of one clock's rate. Buckets earn ``1 / (1 + drift)`` of
        the rate, so a larger value reduces throughput.
    request_timeout_s : float
        Time after which a lot request counts as unanswered, seconds.
    spare_s : float
        Time of recent demand that a lot request covers beyond the need, seconds.
    unused_lot_timeout_s : float
        Time after which an unused lot is returned, seconds.
    standing_renewal_period_s : float
        Period of requests that renew a standing share, seconds.
    rate_transfer_s : float
        Time for which a host transfers the rate of its full standing buckets to the
        pool owner, seconds; 0 to keep it. After a partition a host may wait this long
        until it earns its rate again.
    backoff_s : float
        Minimum time between requests to a lender that had too few tokens, seconds.
    peers_per_round : int
        Peers that get a request at once when the pool has too few tokens.
    """

    standing_share: float = 0.25
    standing_lease_s: float = 7_200.0
    pool_lease_s: float = 10.0
    lot_lifetime_s: float = 8.0
    drift: float = 0.01
    request_timeout_s: float = 0.3
    spare_s: float = 0.1
    unused_lot_timeout_s: float = 0.25
    standing_renewal_period_s: float = 5.0
    rate_transfer_s: float = 12.0
    backoff_s: float = 0.1
    peers_per_round: int = 8


@attrs.frozen
class RateLimit:
    """Store a workspace's rate and burst in one region."""

    rate_tokens_per_s: float
    burst_tokens: float


def _region_share(doc: ServiceDocument, region: str, regions: int) -> float:
    if not doc.regions:
        return 1.0 / max(1, regions)
    return sum(entry.share for entry in doc.regions if entry.name == region)


def region_limits(
    doc: ServiceDocument, region: str, regions: int
) -> dict[str, RateLimit]:
    """Return the limit of each workspace in a region.

    Parameters
    ----------
    doc : ServiceDocument
        Document in force.
    region : str
        Name of the region.
    regions : int
        Number of regions of the deployment. They share the rates equally if the
        document has no region shares.
    """
    share = _region_share(doc, region, regions)
    return {
        workspace.name: RateLimit(
            workspace.rate_tokens_per_s * share, workspace.burst_tokens * share
        )
        for workspace in doc.workspaces
    }


def workspaces_digest(limits: dict[str, RateLimit]) -> int:
    """Return a checksum of the workspace names."""
    return zlib.crc32("\0".join(sorted(limits)).encode())


def check_region_change(
    old: ServiceDocument | None, new: ServiceDocument, file: str
) -> list[Finding]:
    """Return findings if a new version moves a region share in one step.

    During a rollout some hosts use the old shares and some the new ones. Therefore the
    larger share of each region in either version, summed over the regions, must be at
    most 1. To move a share, lower one region in a first version and raise the other in
    a later one.
    """
    if old is None or not old.regions or not new.regions:
        if old is None or bool(old.regions) == bool(new.regions):
            return []
        message = "region shares may not be added or removed while the service runs"
        return [Finding(file, "regions", message)]
    old_shares = {region.name: region.share for region in old.regions}
    total = sum(share for name, share in old_shares.items())
    raised = []
    for i, region in enumerate(new.regions):
        excess = region.share - old_shares.get(region.name, 0.0)
        if excess > _ROUNDING:
            total += excess
            raised.append((i, region))
    if total <= 1.0 + _ROUNDING:
        return []
    return [
        Finding(
            file,
            f"regions[{i}].share",
            f"raised to {region.share:g} while shares of the version in force still "
            f"count: together {total:g}, above 1; lower the other share first and "
            "raise this one in a later version",
        )
        for i, region in raised
    ]


def check_region_bursts(
    doc: ServiceDocument, standing_share: float, file: str
) -> list[Finding]:
    """Return findings if the pool of a region cannot hold the largest request.

    The pool holds ``1 - standing_share`` of a region's burst. A larger request needs
    tokens that other hosts hold, so it would mostly be refused.
    """
    findings = []
    largest = largest_request_tokens(doc)
    shares = [region.share for region in doc.regions if region.share > 0] or [1.0]
    pool_fraction = min(shares) * (1.0 - standing_share)
    for i, workspace in enumerate(doc.workspaces):
        pool = workspace.burst_tokens * pool_fraction
        if pool + _ROUNDING < largest:
            message = (
                f"{workspace.burst_tokens:g} leaves {pool:g} in the smallest region's "
                f"pool, below the largest request, {largest} tokens"
            )
            findings.append(Finding(file, f"workspaces[{i}].burst_tokens", message))
    return findings
