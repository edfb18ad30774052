"""Lend tokens of a region's pool while this host holds the pool lease."""

import attrs
from result import Result

from sesameport.fleet.buckets import LendingBucket
from sesameport.fleet.clock_drift import drift_adjusted_rate, safe_wait_s
from sesameport.fleet.leases import Lease
from sesameport.fleet.platform_intents import PlatformIntent
from sesameport.fleet.share_limits import RateLimit, ShareSettings, workspaces_digest
from sesameport.fleet.share_messages import (
    GrantedLot,
    LotAsk,
    LotGrant,
    LotReturn,
    ShortWorkspace,
    StandingAsk,
    StandingGrant,
)
from sesameport.fleet.standing_records import MILLION, StandingRecords
from sesameport.interfaces import PlatformError, Sender, StoredObject

__all__ = ["GrantCache", "PoolOwner"]

_MIN_WRITE_INTERVAL_S = 0.5
"""Minimum time between two writes of changed standing shares."""

_SPARE_FRACTION = 0.25
"""Fraction of the remaining tokens that may be lent beyond the need. The limit keeps
the spare tokens of one host from emptying the pool for the others."""


@attrs.define
class GrantCache:
    """Cache the grants of recent requests, so that a retry lends nothing more."""

    retention_s: float
    _grants: dict[tuple[str, int], tuple[float, LotGrant]] = attrs.field(factory=dict)

    def get(self, incarnation: str, ask_id: int) -> LotGrant | None:
        """Return the grant that was sent for a request."""
        entry = self._grants.get((incarnation, ask_id))
        return entry[1] if entry is not None else None

    def add(self, incarnation: str, grant: LotGrant, now: float) -> None:
        """Add a grant and evict grants that borrowers no longer accept."""
        self._grants[incarnation, grant.ask_id] = (now, grant)
        for key, (time, _) in list(self._grants.items()):
            if time > now - self.retention_s:
                break
            del self._grants[key]


def lend_lots(
    request: LotAsk,
    buckets: dict[str, LendingBucket],
    reserves: dict[str, float],
    lifetime_s: float,
    first_lot_id: int,
    now: float,
) -> tuple[list[GrantedLot], list[ShortWorkspace]]:
    """Lend the tokens that a request wants from the buckets of several workspaces.

    Parameters
    ----------
    request : LotAsk
        Request of the borrower.
    buckets : dict of str to LendingBucket
        Buckets of the lender by workspace.
    reserves : dict of str to float
        Tokens per workspace that the lender keeps for itself.
    lifetime_s : float
        Lifetime of the lots, seconds.
    first_lot_id : int
        Number of the first lot.
    now : float
        Monotonic time, seconds.

    Returns
    -------
    lots : list of GrantedLot
        Lots to send to the borrower.
    short : list of ShortWorkspace
        Workspaces that got less than requested.
    """
    lots, short = [], []
    for want in request.wants:
        bucket = buckets.get(want.workspace)
        if bucket is None:
            short.append(ShortWorkspace(want.workspace, 1.0))
            continue
        bucket.advance(now)
        free = bucket.level - reserves.get(want.workspace, 0.0)
        spare = min(want.spare, max(0.0, (free - want.tokens) * _SPARE_FRACTION))
        lot_id = first_lot_id + len(lots)
        tokens = max(0.0, min(free, want.tokens + spare))
        amount = bucket.lend(lot_id, tokens, lifetime_s, now)
        if amount > 0.0:
            lots.append(GrantedLot(want.workspace, lot_id, amount, lifetime_s))
        if amount < want.tokens:
            rate = max(bucket.rate_per_s, 1e-9)
            wait = min(60.0, (want.tokens - amount) / rate)
            short.append(ShortWorkspace(want.workspace, wait))
    return lots, short


@attrs.define
class PoolOwner:
    """Contend for the pool lease, lend lots and record standing shares.

    While the lease is not held, the methods that answer a peer only name the owner.
    """

    service: str
    lease: Lease
    cfg: ShareSettings
    limits: dict[str, RateLimit] = attrs.field(factory=dict)
    records: StandingRecords = attrs.field(init=False)
    pool_buckets: dict[str, LendingBucket] = attrs.field(factory=dict)
    _sent_grants: GrantCache = attrs.field(init=False)
    _epoch: int = 0
    _refill_from: float = 0.0
    _next_lot_id: int = 1
    _workspaces_digest: int = 0
    _last_write_at: float = float("-inf")

    def __attrs_post_init__(self):
        self.records = StandingRecords(
            self.service,
            self.cfg.standing_lease_s,
            self.cfg.drift,
            self.cfg.rate_transfer_s,
        )
        self._sent_grants = GrantCache(self.cfg.lot_lifetime_s)

    def is_owner(self, now: float) -> bool:
        """Return whether this host owns the pool now."""
        return self.lease.is_held(now) and self._epoch == self.lease.epoch

    def set_limits(self, limits: dict[str, RateLimit], now: float) -> None:
        """Apply the limits of a new document version."""
        self.limits = dict(limits)
        self._workspaces_digest = workspaces_digest(limits)
        for workspace, bucket in list(self.pool_buckets.items()):
            if workspace in limits:
                continue
            # Outstanding lots still count if the workspace is added again, so its
            # bucket is kept while there are any.
            bucket.resize(0.0, 0.0, now)
            if bucket.lent_tokens <= 0.0:
                del self.pool_buckets[workspace]
        for workspace, limit in limits.items():
            rate, capacity = self._bucket_size(limit)
            bucket = self.pool_buckets.get(workspace)
            if bucket is None:
                self.pool_buckets[workspace] = self._new_bucket(limit, now)
            elif (bucket.rate_per_s, bucket.capacity) != (rate, capacity):
                bucket.resize(rate, capacity, now)

    def tick(
        self, now: float, is_candidate: bool
    ) -> tuple[PlatformIntent | None, list[tuple[str, StandingGrant]]]:
        """Return the platform call and the messages that are due.

        Parameters
        ----------
        now : float
            Monotonic time, seconds.
        is_candidate : bool
            Whether this host may acquire the pool.
        """
        grants = self._sync_with_lease(now)
        write_now = False
        if self.is_owner(now):
            self.records.expire(now)
            self.lease.body = self.records.encode_body()
            due = now >= self._last_write_at + _MIN_WRITE_INTERVAL_S
            write_now = self.records.is_dirty and due
        intent = self.lease.tick(now, is_candidate, write_now)
        if intent is not None:
            self._last_write_at = now
        return intent, grants

    def handle_result(
        self,
        intent: PlatformIntent,
        result: Result[StoredObject, PlatformError],
        now: float,
    ) -> list[tuple[str, StandingGrant]]:
        """Handle the result of a platform call and return the messages due."""
        self.lease.handle_result(intent, result, now)
        return self._sync_with_lease(now)

    def release(self, now: float) -> None:
        """Give up the pool.

        The stored record delays the next owner's refill until all lots have expired.
        """
        if not self.is_owner(now):
            return
        lots_left_s = max(
            (
                bucket.longest_lot_remaining_s(now)
                for bucket in self.pool_buckets.values()
            ),
            default=0.0,
        )
        self.lease.body = self.records.encode_body(lots_left_s=max(0.0, lots_left_s))
        self.lease.release(now)
        self._epoch = 0

    def handle_lot_ask(self, sender: Sender, request: LotAsk, now: float) -> LotGrant:
        """Lend lots, or name the owner if this host does not own the pool."""
        if not self.is_owner(now):
            return LotGrant(
                self.service,
                request.ask_id,
                sender.incarnation,
                is_owner=False,
                owner=self.lease.current_holder(),
            )
        sent = self._sent_grants.get(sender.incarnation, request.ask_id)
        if sent is not None:
            return sent
        # A lot that expires before the lease cannot be spent under the next owner.
        lifetime_s = min(self.cfg.lot_lifetime_s, self.lease.remaining_s(now))
        lots, short = lend_lots(
            request, self.pool_buckets, {}, lifetime_s, self._next_lot_id, now
        )
        self._next_lot_id += len(request.wants)
        grant = LotGrant(
            self.service,
            request.ask_id,
            sender.incarnation,
            tuple(lots),
            tuple(short),
            owner=self.lease.holder,
        )
        self._sent_grants.add(sender.incarnation, grant, now)
        return grant

    def handle_lot_return(self, message: LotReturn, now: float) -> None:
        """Credit returned lots to the buckets that lent them."""
        if message.to_incarnation != self.lease.incarnation or not self.is_owner(now):
            return
        for lot in message.lots:
            bucket = self.pool_buckets.get(lot.workspace)
            if bucket is not None:
                bucket.return_lot(lot.lot_id, lot.unused, now)

    def handle_standing_ask(
        self, sender: Sender, request: StandingAsk, now: float
    ) -> StandingGrant | None:
        """Return a standing grant, or None if the platform must record it first."""
        if not self.is_owner(now):
            return StandingGrant(
                self.service,
                request.ask_id,
                sender.incarnation,
                is_owner=False,
                owner=self.lease.current_holder(),
            )
        until = self.records.transfer_until(sender.incarnation, request)
        if request.workspaces_digest != self._workspaces_digest:
            until = float("-inf")
        grant = self.records.handle_request(
            sender.host, sender.incarnation, request, now
        )
        self._update_transferred_rates(sender.incarnation, request.busy, until, now)
        return grant

    def _update_transferred_rates(
        self, incarnation: str, busy: tuple[str, ...], until: float, now: float
    ) -> None:
        millionths = self.records.usable_millionths(incarnation)
        fraction = self.cfg.standing_share * millionths / MILLION
        for workspace, limit in self.limits.items():
            rate = drift_adjusted_rate(
                limit.rate_tokens_per_s * fraction, self.cfg.drift
            )
            bucket = self.pool_buckets[workspace]
            if workspace in busy or until <= now:
                # An earlier pause of the host still lasts, so its transfer continues
                # at no more than the host's current rate.
                bucket.cap_transferred_rate(incarnation, rate, now)
                continue
            bucket.set_transferred_rate(incarnation, rate, until, now)

    def _sync_with_lease(self, now: float) -> list[tuple[str, StandingGrant]]:
        if not self.lease.is_held(now):
            self._epoch = 0
            return []
        if self._epoch != self.lease.epoch:
            self._start_epoch(now)
        return self.records.confirm_stored(self.lease.record.body, now)

    def _start_epoch(self, now: float) -> None:
        self._epoch = self.lease.epoch
        lots_left_s = self.records.load(self.lease.record.body, self._epoch, now)
        self._refill_from = now
        if lots_left_s > 0.0:
            self._refill_from += safe_wait_s(lots_left_s, self.cfg.drift, 0.1)
        self.pool_buckets = {
            workspace: self._new_bucket(limit, now)
            for workspace, limit in self.limits.items()
        }

    def _new_bucket(self, limit: RateLimit, now: float) -> LendingBucket:
        rate, capacity = self._bucket_size(limit)
        return LendingBucket(
            rate, capacity, max(now, self._refill_from), self.cfg.drift
        )

    def _bucket_size(self, limit: RateLimit) -> tuple[float, float]:
        fraction = 1.0 - self.cfg.standing_share
        rate = drift_adjusted_rate(limit.rate_tokens_per_s * fraction, self.cfg.drift)
        return rate, limit.burst_tokens * fraction
