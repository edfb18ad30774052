"""Hold a host's tokens of one workspace and the outcome of a charge."""

import attrs

from sesameport.fleet.buckets import Lender, Lot
from sesameport.fleet.share_limits import Limit
from sesameport.fleet.share_messages import ReturnedLot

__all__ = [
    "Admitted",
    "LotsNeeded",
    "RateRefused",
    "Receipt",
    "WorkspaceShare",
    "pause_full",
    "settle_receipt",
    "take_idle",
]

# Longest time without a new ask after the owner had too little, seconds.
_LONGEST_OWNER_WAIT_S = 0.5
# Weight of the newest charge period in the estimate of demand.
_DEMAND_WEIGHT = 0.3
# Part of the burst up to which tokens paid in excess offset later debt.
_CREDIT_PART = 0.05
# A standing bucket filled to this part passes its rate to the pool.
_FULL_PART = 0.95
# A lot with at most this many tokens is spent; the rest is rounding.
_SPENT = 1e-6


@attrs.define
class Receipt:
    """Record where the tokens of one admitted request came from."""

    workspace: str
    tokens: float
    standing: float
    lots: list[tuple[Lot, float]]
    at: float


@attrs.frozen
class Admitted:
    """Admit a request; pass the receipt to `HostShares.settle` when it has ended."""

    receipt: Receipt


@attrs.frozen
class LotsNeeded:
    """Ask the caller to wait for lots and charge again; `tokens` are missing."""

    tokens: float


@attrs.frozen
class RateRefused:
    """Refuse a request; None means that no later time would help."""

    retry_after_s: float | None


@attrs.define
class WorkspaceShare:
    """Hold one workspace's standing bucket, lots, debt and open need on a host.

    ``missing`` are the tokens that waiting charges still need. The two
    ``short_until`` times bound new asks after a lender had too little.
    """

    limit: Limit
    standing: Lender
    lots: list[Lot] = attrs.field(factory=list)
    debt: float = 0.0
    credit: float = 0.0
    charged: float = 0.0
    demand_per_s: float = 0.0
    missing: float = 0.0
    owner_short_until: float = 0.0
    peers_short_until: float = 0.0
    peers_backoff_s: float = 0.0
    retry_after_s: float = 1.0

    def lot_tokens(self, now: float) -> float:
        """Return the tokens left in lots."""
        return sum(lot.tokens for lot in self.lots if lot.expires_at > now)

    def available(self, now: float) -> float:
        """Return the tokens that a charge may use now."""
        self.standing.advance(now)
        return self.lot_tokens(now) + self.standing.level

    def note_owner_short(self, retry_after_s: float, least_s: float, now: float):
        """Note that the owner had too little, and when to ask it again."""
        wait = min(_LONGEST_OWNER_WAIT_S, retry_after_s)
        self.owner_short_until = now + max(least_s, wait)
        self.retry_after_s = retry_after_s

    def end_period(self, elapsed_s: float) -> bool:
        """Update the estimate of demand and tell whether the workspace is idle."""
        newest = self.charged / elapsed_s
        self.demand_per_s += _DEMAND_WEIGHT * (newest - self.demand_per_s)
        self.charged = 0.0
        if self.demand_per_s >= 1.0 or self.lots or self.missing:
            return False
        self.demand_per_s = 0.0
        return True

    def retry_after(self, missing: float) -> float:
        """Return when the missing tokens are likely to be there, seconds."""
        rate = max(self.limit.rate_tokens_per_s, 1e-9)
        return min(60.0, max(self.retry_after_s, missing / rate))


def pause_full(
    workspaces: dict[str, WorkspaceShare], until: float, now: float
) -> tuple[str, ...]:
    """Pause the full standing buckets until a time and name the other workspaces."""
    busy = []
    for name, share in workspaces.items():
        lender = share.standing
        lender.advance(now)
        if lender.level < _FULL_PART * lender.capacity:
            busy.append(name)
            continue
        lender.pause(until, now)
    return tuple(busy)


def take_idle(
    lots_by_workspace: dict[str, list[Lot]], now: float, idle_s: float
) -> dict[tuple[str, str], list[ReturnedLot]]:
    """Remove spent, idle and expired lots and return what to give back.

    Parameters
    ----------
    lots_by_workspace : dict of str to list of Lot
        Lots held; changed in place.
    now : float
        Monotonic time, seconds.
    idle_s : float
        Lots not used for this long are given back, seconds; 0 for all lots.

    Returns
    -------
    dict
        Lots by lender and its incarnation. Expired lots are left out, because their
        lender counts them as gone by itself.
    """
    returned: dict[tuple[str, str], list[ReturnedLot]] = {}
    for name, lots in lots_by_workspace.items():
        kept = []
        for lot in lots:
            if lot.expires_at <= now:
                continue
            if lot.tokens > _SPENT and idle_s and now - lot.used_at <= idle_s:
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
    """Correct a charge to the tokens used and return the tokens given back."""
    excess = used - receipt.tokens
    if excess >= 0.0:
        offset = min(share.credit, excess)
        share.credit -= offset
        share.debt += excess - offset
        return 0.0
    offset = min(share.debt, -excess)
    share.debt -= offset
    left = -excess - offset
    given = 0.0
    for lot, part in receipt.lots:
        if lot not in share.lots or lot.expires_at <= now:
            continue
        back = min(part, left - given)
        lot.tokens += back
        given += back
    back = min(receipt.standing, left - given)
    if back > 0.0:
        given += share.standing.refund(back, receipt.at, now)
    bound = share.limit.burst_tokens * _CREDIT_PART
    share.credit = min(bound, share.credit + left - given)
    return given
