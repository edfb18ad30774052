"""Lend the pool of one service and region while this host holds the pool lease."""

import attrs
from result import Result

from sesameport.fleet.buckets import Lender
from sesameport.fleet.clocks import fastest_rate, wait_out_s
from sesameport.fleet.leases import Lease
from sesameport.fleet.platform_intents import PlatformIntent
from sesameport.fleet.share_limits import Limit, ShareSettings
from sesameport.fleet.share_messages import (
    GrantedLot,
    LotAsk,
    LotGrant,
    LotReturn,
    ShortWorkspace,
    StandingAsk,
    StandingGrant,
)
from sesameport.fleet.standing_records import StandingRecords
from sesameport.interfaces import PlatformError, Sender, StoredObject

__all__ = ["LotBook", "PoolOwner"]

# Shortest time between two writes of changed standing shares, seconds.
_WRITE_PERIOD_S = 0.5
# Part of the tokens left that is lent beyond the need, so that the spare of one host
# does not empty the pool for the others.
_SPARE_PART = 0.25


@attrs.define
class LotBook:
    """Remember the grants of recent asks, so that a repeated ask lends nothing more."""

    keep_s: float
    _grants: dict[tuple[str, int], tuple[float, LotGrant]] = attrs.field(factory=dict)

    def find(self, incarnation: str, ask_id: int) -> LotGrant | None:
        """Return the grant that was sent for an ask."""
        entry = self._grants.get((incarnation, ask_id))
        return entry[1] if entry is not None else None

    def add(self, incarnation: str, grant: LotGrant, now: float) -> None:
        """Remember a grant and forget the ones that no borrower accepts any more."""
        self._grants[incarnation, grant.ask_id] = (now, grant)
        for key, (time, _) in list(self._grants.items()):
            if time > now - self.keep_s:
                break
            del self._grants[key]


def lend_lots(
    ask: LotAsk,
    lenders: dict[str, Lender],
    reserves: dict[str, float],
    lifetime_s: float,
    first_lot_id: int,
    now: float,
) -> tuple[list[GrantedLot], list[ShortWorkspace]]:
    """Lend what an ask wants from the buckets of several workspaces.

    ``reserves`` are tokens per workspace that the lender keeps for itself.
    """
    lots, short = [], []
    for want in ask.wants:
        lender = lenders.get(want.workspace)
        if lender is None:
            short.append(ShortWorkspace(want.workspace, 1.0))
            continue
        lender.advance(now)
        free = lender.level - reserves.get(want.workspace, 0.0)
        spare = min(want.spare, max(0.0, (free - want.tokens) * _SPARE_PART))
        lot_id = first_lot_id + len(lots)
        tokens = max(0.0, min(free, want.tokens + spare))
        lent = lender.lend(lot_id, tokens, lifetime_s, now)
        if lent > 0.0:
            lots.append(GrantedLot(want.workspace, lot_id, lent, lifetime_s))
        if lent < want.tokens:
            rate = max(lender.rate_per_s, 1e-9)
            wait = min(60.0, (want.tokens - lent) / rate)
            short.append(ShortWorkspace(want.workspace, wait))
    return lots, short


@attrs.define
class PoolOwner:
    """Contend for the pool lease, lend lots and record standing shares.

    Every method that answers a peer does nothing but name the owner while the lease is
    not held at ``now``.
    """

    service: str
    lease: Lease
    cfg: ShareSettings
    limits: dict[str, Limit] = attrs.field(factory=dict)
    records: StandingRecords = attrs.field(init=False)
    lenders: dict[str, Lender] = attrs.field(factory=dict)
    _book: LotBook = attrs.field(init=False)
    _epoch: int = 0
    _open_at: float = 0.0
    _next_lot_id: int = 1
    _last_write: float = float("-inf")

    def __attrs_post_init__(self):
        self.records = StandingRecords(
            self.service, self.cfg.standing_lease_s, self.cfg.drift
        )
        self._book = LotBook(self.cfg.lot_lifetime_s)

    def is_owner(self, now: float) -> bool:
        """Tell whether this host owns the pool now."""
        return self.lease.is_held(now) and self._epoch == self.lease.epoch

    def set_limits(self, limits: dict[str, Limit], now: float) -> None:
        """Put the limits of a new document version in force."""
        self.limits = dict(limits)
        for workspace, lender in list(self.lenders.items()):
            if workspace in limits:
                continue
            # Lots of a removed workspace still count if it is added again.
            lender.resize(0.0, 0.0, now)
            if lender.lent <= 0.0:
                del self.lenders[workspace]
        for workspace, limit in limits.items():
            rate, capacity = self._size(limit)
            lender = self.lenders.get(workspace)
            if lender is None:
                self.lenders[workspace] = self._new_lender(limit, now)
            elif (lender.rate_per_s, lender.capacity) != (rate, capacity):
                lender.resize(rate, capacity, now)

    def tick(
        self, now: float, wanted: bool
    ) -> tuple[PlatformIntent | None, list[tuple[str, StandingGrant]]]:
        """Return the platform call and the messages that are due.

        Parameters
        ----------
        now : float
            Monotonic time, seconds.
        wanted : bool
            Whether this host is a candidate for the pool.
        """
        grants = self._follow_lease(now)
        urgent = False
        if self.is_owner(now):
            self.records.expire(now)
            self.lease.body = self.records.body()
            due = now >= self._last_write + _WRITE_PERIOD_S
            urgent = self.records.is_dirty and due
        intent = self.lease.tick(now, wanted, urgent)
        if intent is not None:
            self._last_write = now
        return intent, grants

    def answered(
        self,
        intent: PlatformIntent,
        answer: Result[StoredObject, PlatformError],
        now: float,
    ) -> list[tuple[str, StandingGrant]]:
        """Take the answer of the platform and return the messages due."""
        self.lease.answered(intent, answer, now)
        return self._follow_lease(now)

    def release(self, now: float) -> None:
        """Give up the pool; lots that are still out delay the next owner's refill."""
        if not self.is_owner(now):
            return
        left = max((x.longest_lot_s(now) for x in self.lenders.values()), default=0.0)
        self.lease.body = self.records.body(lots_left_s=max(0.0, left))
        self.lease.release(now)
        self._epoch = 0

    def handle_lot_ask(self, sender: Sender, ask: LotAsk, now: float) -> LotGrant:
        """Lend lots, or name the owner."""
        if not self.is_owner(now):
            return LotGrant(
                self.service,
                ask.ask_id,
                sender.incarnation,
                is_owner=False,
                owner=self.lease.current_holder(),
            )
        sent = self._book.find(sender.incarnation, ask.ask_id)
        if sent is not None:
            return sent
        # A lot that ends before this hold does cannot be spent under the next owner.
        lifetime = min(self.cfg.lot_lifetime_s, self.lease.remaining_s(now))
        lots, short = lend_lots(ask, self.lenders, {}, lifetime, self._next_lot_id, now)
        self._next_lot_id += len(ask.wants)
        grant = LotGrant(
            self.service,
            ask.ask_id,
            sender.incarnation,
            tuple(lots),
            tuple(short),
            owner=self.lease.holder,
        )
        self._book.add(sender.incarnation, grant, now)
        return grant

    def handle_lot_return(self, message: LotReturn, now: float) -> None:
        """Take lots back that this process lent."""
        if message.to_incarnation != self.lease.incarnation or not self.is_owner(now):
            return
        for lot in message.lots:
            lender = self.lenders.get(lot.workspace)
            if lender is not None:
                lender.take_back(lot.lot_id, lot.unused, now)

    def handle_standing_ask(
        self, sender: Sender, ask: StandingAsk, now: float
    ) -> StandingGrant | None:
        """Grant a standing share; None when the platform must record it first."""
        if not self.is_owner(now):
            return StandingGrant(
                self.service,
                ask.ask_id,
                sender.incarnation,
                is_owner=False,
                owner=self.lease.current_holder(),
            )
        return self.records.handle(sender.host, sender.incarnation, ask, now)

    def _follow_lease(self, now: float) -> list[tuple[str, StandingGrant]]:
        if not self.lease.is_held(now):
            self._epoch = 0
            return []
        if self._epoch != self.lease.epoch:
            self._start_epoch(now)
        return self.records.confirm(self.lease.record.body)

    def _start_epoch(self, now: float) -> None:
        self._epoch = self.lease.epoch
        left = self.records.start(self.lease.record.body, self._epoch, now)
        self._open_at = now
        if left > 0.0:
            self._open_at += wait_out_s(left, self.cfg.drift, 0.1)
        self.lenders = {
            workspace: self._new_lender(limit, now)
            for workspace, limit in self.limits.items()
        }

    def _new_lender(self, limit: Limit, now: float) -> Lender:
        rate, capacity = self._size(limit)
        return Lender(rate, capacity, max(now, self._open_at), self.cfg.drift)

    def _size(self, limit: Limit) -> tuple[float, float]:
        part = 1.0 - self.cfg.standing_share
        rate = fastest_rate(limit.rate_tokens_per_s * part, self.cfg.drift)
        return rate, limit.burst_tokens * part
