"""Count tokens of one workspace in a bucket that lends lots, and spend borrowed lots.

Together, the buckets of a workspace enforce the limit of one token bucket: over any
window of ``t`` seconds at most ``rate * t + burst`` tokens are withdrawn. This works
because the rates of all buckets sum to at most the rate, the capacities sum to at most
the burst, and a lent lot occupies its lender's capacity until it is returned or can no
longer be spent.
"""

import bisect
import heapq

import attrs

from sesameport.fleet.clock_drift import safe_wait_s

__all__ = ["LendingBucket", "Lot", "spend_lots"]

_MAX_HEADROOM_ENTRIES = 16
"""Headroom entries kept to limit refunds. Older entries are merged to the lower
headroom, so a smaller number only loses some refunded tokens."""

_NEVER = float("inf")

_ROUNDING_TOKENS = 1e-6
"""Smaller differences are rounding errors."""


@attrs.define(eq=False)
class Lot:
    """Hold tokens borrowed from another process.

    Attributes
    ----------
    lender, lender_incarnation : str
        Process that lent the lot.
    lot_id : int
        Number that the lender assigned to the lot.
    tokens : float
        Tokens left.
    expires_at : float
        Time of this host's clock after which the lot may not be spent.
    last_used_at : float
        Time of the last use, seconds.
    """

    lender: str
    lender_incarnation: str
    lot_id: int
    tokens: float
    expires_at: float
    last_used_at: float


def spend_lots(lots: list[Lot], tokens: float, now: float) -> list[tuple[Lot, float]]:
    """Spend up to ``tokens`` from lots, soonest expiry first.

    Returns
    -------
    list of (Lot, float)
        The tokens withdrawn from each lot.
    """
    spent = []
    for lot in sorted(lots, key=lambda lot: lot.expires_at):
        if tokens <= 0.0:
            break
        if lot.expires_at <= now or lot.tokens <= 0.0:
            continue
        amount = min(lot.tokens, tokens)
        lot.tokens -= amount
        lot.last_used_at = now
        tokens -= amount
        spent.append((lot, amount))
    return spent


@attrs.define
class LendingBucket:
    """Represent a token bucket that spends locally and lends lots.

    The bucket starts empty. Outstanding lots count against the capacity.

    Parameters
    ----------
    rate_per_s : float
        Tokens per second of the local clock; see `clock_drift.drift_adjusted_rate`.
    capacity : float
        Largest number of tokens in the bucket and in outstanding lots together.
    updated_at : float
        Time from which tokens accumulate, seconds.
    drift : float
        Largest relative error of one clock's rate.
    margin_s : float
        Time added to the lifetime of a lot before the lot counts as expired, seconds.
    """

    rate_per_s: float
    capacity: float
    updated_at: float
    drift: float
    margin_s: float = 0.1
    level: float = 0.0
    lent_tokens: float = 0.0
    paused_until: float = float("-inf")
    _lots: dict[int, float] = attrs.field(factory=dict)
    _lot_expiries: list[tuple[float, int]] = attrs.field(factory=list)
    _headrooms: list[tuple[float, float]] = attrs.field(factory=list)
    _transferred: dict[str, tuple[float, float]] = attrs.field(factory=dict)
    _transfer_ends: list[tuple[float, str]] = attrs.field(factory=list)
    _transferred_rate: float = 0.0

    def advance(self, now: float) -> None:
        """Add the tokens earned until now and remove expired lots."""
        # Refills in steps, because an expired lot frees capacity only from its expiry
        # and a transferred rate is earned only until its end.
        while True:
            lot_at = self._lot_expiries[0][0] if self._lot_expiries else _NEVER
            end_at = self._transfer_ends[0][0] if self._transfer_ends else _NEVER
            if min(lot_at, end_at) > now:
                break
            if lot_at <= end_at:
                self._expire_lot()
            else:
                self._end_transfer()
        self._refill(now)

    def pause_refill(self, until: float, now: float) -> None:
        """Earn nothing until a time, so that another bucket may earn the rate."""
        self.advance(now)
        self.paused_until = max(self.paused_until, until)

    def set_transferred_rate(
        self, source: str, rate_per_s: float, until: float, now: float
    ):
        """Earn the rate of another, paused bucket until a time.

        A later call for the same source replaces the earlier one; a rate of 0 ends the
        transfer.
        """
        self.advance(now)
        rate, _ = self._transferred.pop(source, (0.0, 0.0))
        self._transferred_rate -= rate
        if rate_per_s > 0.0 and until > now:
            self._transferred[source] = (rate_per_s, until)
            self._transferred_rate += rate_per_s
            heapq.heappush(self._transfer_ends, (until, source))
        if not self._transferred:
            self._transferred_rate = 0.0

    def withdraw(self, tokens: float, now: float) -> float:
        """Withdraw up to ``tokens`` and return the number withdrawn."""
        self.advance(now)
        withdrawn = min(self.level, tokens)
        if withdrawn <= 0.0:
            return 0.0
        self._record_headroom(now)
        self.level -= withdrawn
        return withdrawn

    def lend(self, lot_id: int, tokens: float, lifetime_s: float, now: float) -> float:
        """Lend up to ``tokens`` and return the number lent.

        The lot occupies capacity until it is returned or until ``lifetime_s`` has
        passed on the slowest clock.
        """
        self.advance(now)
        amount = min(self.level, tokens)
        if amount <= 0.0 or lifetime_s <= 0.0:
            return 0.0
        self.level -= amount
        self.lent_tokens += amount
        self._lots[lot_id] = amount
        expires_at = now + safe_wait_s(lifetime_s, self.drift, self.margin_s)
        heapq.heappush(self._lot_expiries, (expires_at, lot_id))
        return amount

    def return_lot(self, lot_id: int, unused: float, now: float) -> None:
        """Return a lot to the bucket; unknown and expired lots are ignored.

        A lot that was returned before is unknown.
        """
        self.advance(now)
        tokens = self._lots.pop(lot_id, None)
        if tokens is None:
            return
        self._record_headroom(now)
        self._reduce_lent(tokens)
        self.level += min(max(unused, 0.0), tokens)

    def refund(self, tokens: float, withdrawn_at: float, now: float) -> float:
        """Refund tokens of an earlier `withdraw` and return the number accepted.

        The bucket accepts only as many tokens as it would hold now if they had never
        been withdrawn: a bucket that was full in between would have overflowed.
        """
        self.advance(now)
        index = bisect.bisect_left(self._headrooms, (withdrawn_at, -1.0))
        # Skips the entry that the withdrawal itself recorded, which is the state
        # before it.
        while (
            index < len(self._headrooms) and self._headrooms[index][0] <= withdrawn_at
        ):
            index += 1
        room = self._headroom()
        if index < len(self._headrooms):
            room = min(room, self._headrooms[index][1])
        accepted = min(tokens, room)
        if accepted <= 0.0:
            return 0.0
        self.level += accepted
        for i in range(index, len(self._headrooms)):
            time, headroom = self._headrooms[i]
            self._headrooms[i] = (time, headroom - accepted)
        return accepted

    def cap_transferred_rate(self, source: str, rate_per_s: float, now: float) -> None:
        """Lower the rate that a source has transferred, and keep its end time."""
        rate, until = self._transferred.get(source, (0.0, 0.0))
        if rate > rate_per_s:
            self.set_transferred_rate(source, rate_per_s, until, now)

    def resize(self, rate_per_s: float, capacity: float, now: float) -> None:
        """Change rate and capacity; tokens above the new capacity are discarded."""
        self.advance(now)
        self.rate_per_s = rate_per_s
        self.capacity = capacity
        # Transferred rates were computed from the old limits. Their sources transfer
        # the new rates later.
        self._transferred.clear()
        self._transferred_rate = 0.0
        self.level = max(0.0, min(self.level, capacity - self.lent_tokens))
        self._headrooms.clear()
        self._headrooms.append((now, max(0.0, self._headroom())))

    def is_within_capacity(self, now: float) -> bool:
        """Return whether tokens and outstanding lots are within the capacity."""
        self.advance(now)
        return self.level + self.lent_tokens <= self.capacity + _ROUNDING_TOKENS

    def longest_lot_remaining_s(self, now: float) -> float:
        """Return the time until the last outstanding lot expires, seconds."""
        return max(
            (time - now for time, lot_id in self._lot_expiries if lot_id in self._lots),
            default=0.0,
        )

    def _refill(self, now: float) -> None:
        if now <= self.updated_at:
            return
        since = max(self.updated_at, self.paused_until)
        earned = self.rate_per_s * max(0.0, now - since)
        earned += self._transferred_rate * (now - self.updated_at)
        self.updated_at = now
        room = self.capacity - self.lent_tokens - self.level
        self.level += max(0.0, min(earned, room))

    def _expire_lot(self) -> None:
        expires_at, lot_id = heapq.heappop(self._lot_expiries)
        tokens = self._lots.pop(lot_id, None)
        if tokens is None:
            return
        self._refill(expires_at)
        self._record_headroom(expires_at)
        self._reduce_lent(tokens)

    def _end_transfer(self) -> None:
        end_at, source = heapq.heappop(self._transfer_ends)
        rate, until = self._transferred.get(source, (0.0, 0.0))
        if until != end_at:
            return
        self._refill(end_at)
        del self._transferred[source]
        self._transferred_rate = (
            self._transferred_rate - rate if self._transferred else 0.0
        )

    def _headroom(self) -> float:
        return self.capacity - self.lent_tokens - self.level

    def _reduce_lent(self, tokens: float) -> None:
        self.lent_tokens = self.lent_tokens - tokens if self._lots else 0.0

    def _record_headroom(self, now: float) -> None:
        headroom = self._headroom()
        while self._headrooms and self._headrooms[-1][1] >= headroom:
            self._headrooms.pop()
        self._headrooms.append((now, headroom))
        if len(self._headrooms) > _MAX_HEADROOM_ENTRIES:
            # The lower headroom of the two oldest entries then also holds for the
            # later time.
            self._headrooms[1] = (self._headrooms[1][0], self._headrooms[0][1])
            del self._headrooms[0]
