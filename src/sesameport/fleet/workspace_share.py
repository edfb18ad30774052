"""Track a host's tokens of one workspace and represent the results of a charge."""

import attrs

from sesameport.fleet.buckets import LendingBucket, Lot
from sesameport.fleet.share_limits import RateLimit
from sesameport.fleet.share_messages import ReturnedLot

__all__ = [
    "ChargeAdmitted",
    "LotsNeeded",
    "RateRefused",
    "Receipt",
    "WorkspaceShare",
    "pause_full_buckets",
    "pop_unused_lots",
    "settle_receipt",
]

_MAX_OWNER_BACKOFF_S = 0.5
"""Longest time without a new request to an owner that had too few tokens."""

_DEMAND_SMOOTHING = 0.3
"""Weight of the newest period in the moving average of demand."""

_CREDIT_FRACTION = 0.05
"""Fraction of the burst up to which overpaid tokens offset later debt."""

_FULL_FRACTION = 0.95
"""A standing bucket filled to this fraction transfers its rate to the pool."""

_EMPTY_LOT_TOKENS = 1e-6
"""A lot with at most this many tokens counts as empty; the rest is a rounding error."""


@attrs.define
class Receipt:
    """Record from which bucket and lots an admitted request withdrew its tokens."""

    workspace: str
    tokens: float
    standing_tokens: float
    lots: list[tuple[Lot, float]]
    charged_at: float


@attrs.frozen
class ChargeAdmitted:
    """Admit a request; pass the receipt to `HostShares.settle` when it has ended."""

    receipt: Receipt


@attrs.frozen
class LotsNeeded:
    """Require the caller to wait for lots and charge again; ``tokens`` are missing."""

    tokens: float


@attrs.frozen
class RateRefused:
    """Refuse a request; ``retry_after_s`` is None if no retry can succeed."""

    retry_after_s: float | None


@attrs.define
class WorkspaceShare:
    """Track one workspace's standing bucket, lots, debt and unmet need on a host.

    ``missing`` is the number of tokens that waiting charges still need.
    ``owner_short_until`` and ``peers_short_until`` delay new lot requests after a
    lender had too few tokens.
    """

    limit: RateLimit
    standing_bucket: LendingBucket
    lots: list[Lot] = attrs.field(factory=list)
    debt: float = 0.0
    credit: float = 0.0
    charged_tokens: float = 0.0
    demand_per_s: float = 0.0
    missing: float = 0.0
    owner_short_until: float = 0.0
    peers_short_until: float = 0.0
    peers_backoff_s: float = 0.0
    retry_after_s: float = 1.0

    def lot_tokens(self, now: float) -> float:
        """Return the tokens left in unexpired lots."""
        return sum(lot.tokens for lot in self.lots if lot.expires_at > now)

    def available_tokens(self, now: float) -> float:
        """Return the tokens that a charge may use now."""
        self.standing_bucket.advance(now)
        return self.lot_tokens(now) + self.standing_bucket.level

    def record_shortage(self, retry_after_s: float, min_backoff_s: float, now: float):
        """Record that the owner had too few tokens, and when to request again."""
        wait = min(_MAX_OWNER_BACKOFF_S, retry_after_s)
        self.owner_short_until = now + max(min_backoff_s, wait)
        self.retry_after_s = retry_after_s

    def update_demand(self, elapsed_s: float) -> bool:
        """Update the demand estimate and return whether the workspace is idle."""
        newest = self.charged_tokens / elapsed_s
        self.demand_per_s += _DEMAND_SMOOTHING * (newest - self.demand_per_s)
        self.charged_tokens = 0.0
        if self.demand_per_s >= 1.0 or self.lots or self.missing:
            return False
        self.demand_per_s = 0.0
        return True

    def estimate_retry_after_s(self, missing: float) -> float:
        """Return the time until the missing tokens are likely available, seconds."""
        rate = max(self.limit.rate_tokens_per_s, 1e-9)
        return min(60.0, max(self.retry_after_s, missing / rate))


def pause_full_buckets(
    workspaces: dict[str, WorkspaceShare], until: float, now: float
) -> tuple[str, ...]:
    """Pause the full standing buckets until a time; return the other workspaces."""
    busy = []
    for name, share in workspaces.items():
        bucket = share.standing_bucket
        bucket.advance(now)
        if bucket.level < _FULL_FRACTION * bucket.capacity:
            busy.append(name)
            continue
        bucket.pause_refill(until, now)
    return tuple(busy)


def pop_unused_lots(
    lots_by_workspace: dict[str, list[Lot]], now: float, unused_s: float
) -> dict[tuple[str, str], list[ReturnedLot]]:
    """Remove empty, unused and expired lots and return those to send back.

    Parameters
    ----------
    lots_by_workspace : dict of str to list of Lot
        Lots held; changed in place.
    now : float
        Monotonic time, seconds.
    unused_s : float
        Lots not used for this long are sent back, seconds; 0 for all lots.

    Returns
    -------
    dict
        Lots by lender and its incarnation. Expired lots are left out, because their
        lender expires them itself.
    """
    returned: dict[tuple[str, str], list[ReturnedLot]] = {}
    for name, lots in lots_by_workspace.items():
        kept = []
        for lot in lots:
            if lot.expires_at <= now:
                continue
            if (
                lot.tokens > _EMPTY_LOT_TOKENS
                and unused_s
                and now - lot.last_used_at <= unused_s
            ):
                kept.append(lot)
                continue
            unused, lot.tokens = max(0.0, lot.tokens), 0.0
            lender = (lot.lender, lot.lender_incarnation)
            returned.setdefault(lender, []).append(
                ReturnedLot(name, lot.lot_id, unused)
            )
        lots[:] = kept
    return returned


def settle_receipt(
    share: WorkspaceShare, receipt: Receipt, used: float, now: float
) -> float:
    """Correct a charge to the tokens used and return the number refunded."""
    excess = used - receipt.tokens
    if excess >= 0.0:
        offset = min(share.credit, excess)
        share.credit -= offset
        share.debt += excess - offset
        return 0.0
    offset = min(share.debt, -excess)
    share.debt -= offset
    surplus = -excess - offset
    refunded = 0.0
    for lot, spent in receipt.lots:
        if lot not in share.lots or lot.expires_at <= now:
            continue
        amount = min(spent, surplus - refunded)
        lot.tokens += amount
        refunded += amount
    amount = min(receipt.standing_tokens, surplus - refunded)
    if amount > 0.0:
        refunded += share.standing_bucket.refund(amount, receipt.charged_at, now)
    max_credit = share.limit.burst_tokens * _CREDIT_FRACTION
    share.credit = min(max_credit, share.credit + surplus - refunded)
    return refunded
