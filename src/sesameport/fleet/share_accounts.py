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
    "take_idle",
]

# Part of the burst up to which tokens paid in excess offset later debt.
_CREDIT_PART = 0.05
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

    def available(self, now: float) -> float:
        """Return the tokens that a charge may use now."""
        self.standing.advance(now)
        lots = sum(lot.tokens for lot in self.lots if lot.expires_at > now)
        return lots + max(0.0, self.standing.level)


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
    left = -excess
    offset = min(share.debt, left)
    share.debt -= offset
    left -= offset
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
