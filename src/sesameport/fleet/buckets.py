"""Count tokens of one workspace: a bucket that can lend lots, and borrowed lots.

The bound that all buckets keep together is the token bucket of the workspace: over any
window of ``t`` seconds at most ``rate * t + burst`` tokens are withdrawn. It holds
because the rates of all buckets sum to at most the rate, the capacities sum to at most
the burst, and a lent lot occupies its lender's capacity until it is returned or can no
longer be spent.
"""

import bisect
import heapq

import attrs

from sesameport.fleet.clocks import wait_out_s

__all__ = ["Lender", "Lot", "spend_lots"]

# Entries kept to judge refunds. Older entries are merged on the safe side, so a smaller
# number only loses some refunded tokens.
_HEADROOM_ENTRIES = 16
# Differences below this number of tokens are rounding.
_ROUNDING = 1e-6


@attrs.define(eq=False)
class Lot:
    """Hold tokens borrowed from another process.

    Attributes
    ----------
    lender, lender_incarnation : str
        Process that lent the lot.
    lot_id : int
        Number that the lender gave it.
    tokens : float
        Tokens left.
    expires_at : float
        Time of this host's clock after which the lot may not be spent.
    used_at : float
        Time of the last use, seconds.
    """

    lender: str
    lender_incarnation: str
    lot_id: int
    tokens: float
    expires_at: float
    used_at: float


def spend_lots(lots: list[Lot], tokens: float, now: float) -> list[tuple[Lot, float]]:
    """Spend up to ``tokens`` from lots, soonest expiry first.

    Returns
    -------
    list of (Lot, float)
        The tokens taken from each lot.
    """
    taken = []
    for lot in sorted(lots, key=lambda lot: lot.expires_at):
        if tokens <= 0.0:
            break
        if lot.expires_at <= now or lot.tokens <= 0.0:
            continue
        part = min(lot.tokens, tokens)
        lot.tokens -= part
        lot.used_at = now
        tokens -= part
        taken.append((lot, part))
    return taken


@attrs.define
class Lender:
    """Keep a token bucket that spends locally and lends lots.

    The bucket starts empty. Outstanding lots count against the capacity.

    Parameters
    ----------
    rate_per_s : float
        Tokens a second of the local clock; see `clocks.fastest_rate`.
    capacity : float
        Largest number of tokens in the bucket and in outstanding lots together.
    updated_at : float
        Time from which tokens accumulate, seconds.
    drift : float
        Largest relative error of one clock's rate.
    margin_s : float
        Time added to the lifetime of a lot before its tokens are counted as gone.
    """

    rate_per_s: float
    capacity: float
    updated_at: float
    drift: float
    margin_s: float = 0.1
    level: float = 0.0
    lent: float = 0.0
    _lots: dict[int, float] = attrs.field(factory=dict)
    _expiry: list[tuple[float, int]] = attrs.field(factory=list)
    _headrooms: list[tuple[float, float]] = attrs.field(factory=list)

    def advance(self, now: float) -> None:
        """Add the tokens earned until now and drop lots that have expired."""
        # Steps at each expiry: the room of a lot fills only after the lot is gone.
        while self._expiry and self._expiry[0][0] <= now:
            expires_at, lot_id = heapq.heappop(self._expiry)
            tokens = self._lots.pop(lot_id, None)
            if tokens is None:
                continue
            self._refill(expires_at)
            self._note_headroom(expires_at)
            self._reduce_lent(tokens)
        self._refill(now)

    def take(self, tokens: float, now: float) -> float:
        """Withdraw up to ``tokens`` and return the number withdrawn."""
        self.advance(now)
        taken = min(self.level, tokens)
        if taken <= 0.0:
            return 0.0
        self._note_headroom(now)
        self.level -= taken
        return taken

    def lend(self, lot_id: int, tokens: float, lifetime_s: float, now: float) -> float:
        """Lend up to ``tokens`` and return the number lent.

        The lot occupies capacity until it is returned or until ``lifetime_s`` has
        passed on the slowest clock.
        """
        self.advance(now)
        lent = min(self.level, tokens)
        if lent <= 0.0 or lifetime_s <= 0.0:
            return 0.0
        self.level -= lent
        self.lent += lent
        self._lots[lot_id] = lent
        expires_at = now + wait_out_s(lifetime_s, self.drift, self.margin_s)
        heapq.heappush(self._expiry, (expires_at, lot_id))
        return lent

    def take_back(self, lot_id: int, unused: float, now: float) -> None:
        """Take a lot back; an unknown, expired or already returned lot is ignored."""
        self.advance(now)
        tokens = self._lots.pop(lot_id, None)
        if tokens is None:
            return
        self._note_headroom(now)
        self._reduce_lent(tokens)
        self.level += min(max(unused, 0.0), tokens)

    def refund(self, tokens: float, taken_at: float, now: float) -> float:
        """Give back tokens of an earlier `take` and return the number given back.

        Only so much comes back as the bucket would hold now if the tokens had never
        been taken: a bucket that was full in between would have overflowed.
        """
        self.advance(now)
        index = bisect.bisect_left(self._headrooms, (taken_at, -1.0))
        # The entry that the withdrawal itself made is the state before it.
        while index < len(self._headrooms) and self._headrooms[index][0] <= taken_at:
            index += 1
        room = self._headroom()
        if index < len(self._headrooms):
            room = min(room, self._headrooms[index][1])
        given = min(tokens, room)
        if given <= 0.0:
            return 0.0
        self.level += given
        for i in range(index, len(self._headrooms)):
            time, headroom = self._headrooms[i]
            self._headrooms[i] = (time, headroom - given)
        return given

    def resize(self, rate_per_s: float, capacity: float, now: float) -> None:
        """Change rate and capacity; tokens above the new capacity are dropped."""
        self.advance(now)
        self.rate_per_s = rate_per_s
        self.capacity = capacity
        self.level = max(0.0, min(self.level, capacity - self.lent))
        self._headrooms.clear()
        self._headrooms.append((now, max(0.0, self._headroom())))

    def fits(self, now: float) -> bool:
        """Tell whether tokens and outstanding lots are within the capacity."""
        self.advance(now)
        return self.level + self.lent <= self.capacity + _ROUNDING

    def longest_lot_s(self, now: float) -> float:
        """Return the time until the last outstanding lot is gone, seconds."""
        return max(
            (time - now for time, lot_id in self._expiry if lot_id in self._lots),
            default=0.0,
        )

    def _refill(self, now: float) -> None:
        if now <= self.updated_at:
            return
        earned = self.rate_per_s * (now - self.updated_at)
        self.updated_at = now
        room = self.capacity - self.lent - self.level
        self.level += max(0.0, min(earned, room))

    def _headroom(self) -> float:
        return self.capacity - self.lent - self.level

    def _reduce_lent(self, tokens: float) -> None:
        self.lent = self.lent - tokens if self._lots else 0.0

    def _note_headroom(self, now: float) -> None:
        headroom = self._headroom()
        while self._headrooms and self._headrooms[-1][1] >= headroom:
            self._headrooms.pop()
        self._headrooms.append((now, headroom))
        if len(self._headrooms) > _HEADROOM_ENTRIES:
            # The lower headroom of the oldest two also counts for the later time.
            self._headrooms[1] = (self._headrooms[1][0], self._headrooms[0][1])
            del self._headrooms[0]
