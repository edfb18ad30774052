"""Admit requests from a host's standing share and from borrowed lots.

Every host has a `HostShares` for each service. It borrows lots from the pool owner
(`pool_owner.PoolOwner`) or from peers, and lends standing tokens by the same rule.
"""

import random

import attrs

from sesameport.fleet.buckets import LendingBucket, Lot, spend_lots
from sesameport.fleet.clock_drift import safe_wait_s
from sesameport.fleet.lot_requests import LotRequests
from sesameport.fleet.pool_owner import GrantCache, lend_lots
from sesameport.fleet.share_limits import RateLimit, ShareSettings, workspaces_digest
from sesameport.fleet.share_messages import (
    LotAsk,
    LotGrant,
    LotReturn,
    LotWant,
    StandingAsk,
    StandingGrant,
)
from sesameport.fleet.standing_share import StandingShare
from sesameport.fleet.workspace_share import (
    ChargeAdmitted,
    LotsNeeded,
    RateRefused,
    Receipt,
    WorkspaceShare,
    pause_full_buckets,
    pop_unused_lots,
    settle_receipt,
)
from sesameport.interfaces import Sender

__all__ = ["ChargeAdmitted", "HostShares", "LotsNeeded", "RateRefused", "Receipt"]

_ROUNDING_TOKENS = 1e-6
"""A charge is covered if at most this many tokens are missing, a rounding error."""

_PAUSE_MARGIN_S = 0.1
"""Extra time by which a host's pause exceeds the transfer of its rate."""

_MAX_PEER_BACKOFF_S = 3.0
"""Longest time without a new request to peers that had too few tokens."""

_FIRST_STANDING_LOT_ID = 1 << 40
"""First number of standing lots. It keeps them distinct from pool lots of the same
process, so a returned lot reaches only the bucket that lent it."""


@attrs.define
class HostShares:
    """Manage the rate shares of one service on one host.

    Methods return the messages to send as ``(host, message)`` pairs. The caller must
    handle messages to ``host`` itself like messages from a peer.

    Parameters
    ----------
    service, host, incarnation : str
        Service document and this host process.
    cfg : ShareSettings
        Settings, equal on all hosts of the deployment.
    rng : random.Random
        Random source for the choice of peers.
    """

    service: str
    host: str
    incarnation: str
    cfg: ShareSettings
    rng: random.Random
    requests: LotRequests = attrs.field(init=False)
    standing: StandingShare = attrs.field(init=False)
    workspaces: dict[str, WorkspaceShare] = attrs.field(factory=dict)
    is_leaving: bool = False
    _next_lot_id: int = _FIRST_STANDING_LOT_ID
    _removed: dict[str, LendingBucket] = attrs.field(factory=dict)
    _sent_grants: GrantCache = attrs.field(init=False)
    _demand_at: float | None = None
    _workspaces_digest: int = 0
    _active: set[str] = attrs.field(factory=set)

    def __attrs_post_init__(self):
        self.requests = LotRequests(self.service, self.cfg, self.rng)
        self.standing = StandingShare(self.service, self.incarnation, self.cfg)
        self._sent_grants = GrantCache(self.cfg.lot_lifetime_s)

    def set_limits(self, limits: dict[str, RateLimit], now: float) -> None:
        """Apply the limits of a new document version."""
        self._workspaces_digest = workspaces_digest(limits)
        for workspace, limit in limits.items():
            share = self.workspaces.get(workspace)
            if share is None:
                # Reuses the bucket of a removed workspace, whose lots still count.
                bucket = self._removed.pop(workspace, None) or LendingBucket(
                    0.0, 0.0, now, self.cfg.drift
                )
                self.workspaces[workspace] = WorkspaceShare(limit, bucket)
            else:
                share.limit = limit
        for workspace in list(self.workspaces):
            if workspace in limits:
                continue
            self._active.discard(workspace)
            bucket = self.workspaces.pop(workspace).standing_bucket
            bucket.resize(0.0, 0.0, now)
            self._removed[workspace] = bucket
        self._resize(now)

    def set_peers(
        self,
        owner_candidates: tuple[str, ...],
        local_peers: tuple[str, ...],
        remote_peers: tuple[str, ...] = (),
    ) -> None:
        """Set the live hosts of the region.

        Parameters
        ----------
        owner_candidates : tuple of str
            Hosts that may own the pool, most likely first.
        local_peers, remote_peers : tuple of str
            Other hosts of this data centre, and of the region's other data centres.
        """
        self.requests.owner_candidates = owner_candidates
        self.requests.local_peers = tuple(x for x in local_peers if x != self.host)
        self.requests.remote_peers = tuple(x for x in remote_peers if x != self.host)

    def charge(
        self, workspace: str, tokens: float, now: float, may_wait: bool = True
    ) -> ChargeAdmitted | LotsNeeded | RateRefused:
        """Charge a request of ``tokens`` to a workspace.

        Parameters
        ----------
        workspace : str
            Workspace of the request's key.
        tokens : float
            Prompt tokens plus expected output tokens.
        now : float
            Monotonic time, seconds.
        may_wait : bool
            Whether the caller can wait for lots and charge again.
        """
        self._expire_standing(now)
        share = self.workspaces.get(workspace)
        if share is None or tokens > share.limit.burst_tokens or self.is_leaving:
            return RateRefused(None)
        self._active.add(workspace)
        if may_wait:
            share.charged_tokens += tokens
        missing = tokens + share.debt - share.available_tokens(now)
        if may_wait and self._prefers_pool(share, now):
            missing = tokens + share.debt - share.lot_tokens(now)
        if missing > _ROUNDING_TOKENS:
            if may_wait and self._may_request(share, now):
                share.missing = min(share.missing + missing, share.limit.burst_tokens)
                return LotsNeeded(missing)
            return RateRefused(share.estimate_retry_after_s(missing))
        if share.debt > 0.0:
            self._withdraw(share, share.debt, now)
            share.debt = 0.0
        standing, lots = self._withdraw(share, tokens, now)
        return ChargeAdmitted(Receipt(workspace, tokens, standing, lots, now))

    def settle(self, receipt: Receipt, used: float, now: float) -> float:
        """Correct a charge to the tokens used and return the number refunded.

        Excess tokens become debt, which the next charges pay first. Unused tokens go to
        their lots and bucket, and those that these cannot accept offset later debt.
        """
        share = self.workspaces.get(receipt.workspace)
        if share is None:
            return 0.0
        return settle_receipt(share, receipt, used, now)

    def request_lots(self, now: float) -> list[tuple[str, LotAsk]]:
        """Return lot requests for the tokens that waiting charges still need."""
        for name in self.requests.expire_requests(now):
            if name in self.workspaces:
                share = self.workspaces[name]
                share.peers_short_until = now + share.peers_backoff_s
        needing = [(n, share) for n, share in self._active_shares() if share.missing]
        out = []
        if not needing or self.is_leaving:
            return out
        if not self.requests.is_waiting(from_standing=False):
            out.extend(self._request_from_owner(needing, now))
        if not self.requests.is_waiting(from_standing=True):
            out.extend(self._request_from_peers(needing, now))
        return out

    def tick(self, now: float) -> list[tuple[str, LotReturn | LotAsk | StandingAsk]]:
        """Return unused lots, renew the standing share and retry lost requests."""
        self._expire_standing(now)
        self._estimate_demand(now)
        out = list(self._return_lots(now, self.cfg.unused_lot_timeout_s))
        out.extend(self.request_lots(now))
        if self.standing.is_request_due(now):
            out.extend(self._request_standing(now))
        return out

    def leave(self, now: float) -> list[tuple[str, LotReturn]]:
        """Return all lots; call `tick` until ``standing.has_left`` for the share."""
        self.is_leaving = True
        self.standing.stop()
        self._resize(now)
        return self._return_lots(now, 0.0)

    def handle_lot_grant(self, sender: Sender, grant: LotGrant, now: float) -> None:
        """Add a grant's lots unless it is late, a duplicate or for another process."""
        if grant.to_incarnation != self.incarnation:
            return
        request = self.requests.match_grant(sender.host, grant)
        if request is None:
            return
        for short in grant.short:
            share = self.workspaces.get(short.workspace)
            if share is None:
                continue
            if request.from_standing:
                share.peers_short_until = now + share.peers_backoff_s
                continue
            share.record_shortage(short.retry_after_s, self.cfg.backoff_s, now)
        for lot in grant.lots:
            share = self.workspaces.get(lot.workspace)
            expires_at = request.sent_at + lot.lifetime_s
            if share is None or expires_at <= now or self.is_leaving:
                continue
            if request.from_standing:
                share.peers_backoff_s = 0.0
            lender = (sender.host, sender.incarnation)
            held = Lot(*lender, lot.lot_id, lot.tokens, expires_at, now)
            share.lots.append(held)
            self._active.add(lot.workspace)

    def handle_standing_grant(
        self, sender: Sender, grant: StandingGrant, now: float
    ) -> None:
        """Adopt a standing share unless a newer grant is in force."""
        if grant.to_incarnation != self.incarnation:
            return
        self.requests.update_owner(sender.host, grant.is_owner, grant.owner)
        self.standing.is_request_answered = True
        if grant.is_owner and self.standing.adopt(grant, now):
            self._resize(now)

    def handle_lot_ask(self, sender: Sender, request: LotAsk, now: float) -> LotGrant:
        """Lend from the standing buckets, except the tokens that this host needs."""
        sent = self._sent_grants.get(sender.incarnation, request.ask_id)
        if sent is not None:
            return sent
        self._expire_standing(now)
        names = [want.workspace for want in request.wants]
        shares = {n: self.workspaces[n] for n in names if n in self.workspaces}
        buckets = {name: share.standing_bucket for name, share in shares.items()}
        reserves = {
            n: x.debt + x.demand_per_s * self.cfg.spare_s for n, x in shares.items()
        }
        lifetime_s = min(self.cfg.lot_lifetime_s, self.standing.remaining_s(now))
        lots, short = lend_lots(
            request, buckets, reserves, lifetime_s, self._next_lot_id, now
        )
        self._next_lot_id += len(request.wants)
        grant = LotGrant(
            self.service, request.ask_id, sender.incarnation, tuple(lots), tuple(short)
        )
        self._sent_grants.add(sender.incarnation, grant, now)
        return grant

    def handle_lot_return(self, message: LotReturn, now: float) -> None:
        """Credit returned lots to the standing buckets that lent them."""
        if message.to_incarnation != self.incarnation:
            return
        for lot in message.lots:
            share = self.workspaces.get(lot.workspace)
            if share is not None:
                share.standing_bucket.return_lot(lot.lot_id, lot.unused, now)

    def _resize(self, now: float) -> None:
        for share in self.workspaces.values():
            rate, capacity = self.standing.bucket_size(share.limit)
            bucket = share.standing_bucket
            if (bucket.rate_per_s, bucket.capacity) != (rate, capacity):
                bucket.resize(rate, capacity, now)

    def _active_shares(self) -> list[tuple[str, WorkspaceShare]]:
        # Limits the work of a tick to the workspaces in use.
        return [(name, self.workspaces[name]) for name in sorted(self._active)]

    def _request_standing(self, now: float) -> list[tuple[str, StandingAsk]]:
        if not self.standing.is_request_answered:
            self.requests.record_owner_failure()
        self._removed = {
            n: x for n, x in self._removed.items() if not x.is_within_capacity(now)
        }
        shares = self.workspaces.values()
        fits = not self._removed and all(
            x.standing_bucket.is_within_capacity(now) for x in shares
        )
        digest, busy = (0, ()) if self.is_leaving else self._pause_full_buckets(now)
        request = self.standing.tick(now, fits, self.is_leaving, digest, busy)
        return [] if request is None else [(self.requests.likely_owner(), request)]

    def _expire_standing(self, now: float) -> None:
        # Runs at every use: a paused process may resume long after the lease expired.
        if self.standing.expire(now):
            self._resize(now)

    def _withdraw(
        self, share: WorkspaceShare, tokens: float, now: float
    ) -> tuple[float, list[tuple[Lot, float]]]:
        lots = spend_lots(share.lots, tokens, now)
        rest = tokens - sum(amount for _, amount in lots)
        standing = share.standing_bucket.withdraw(rest, now) if rest > 0.0 else 0.0
        return standing, lots

    def _prefers_pool(self, share: WorkspaceShare, now: float) -> bool:
        # The standing bucket refills slowly and is reserved for owner outages.
        return (
            self.requests.is_owner_reachable()
            and now >= share.owner_short_until
            and bool(self.requests.likely_owner())
        )

    def _may_request(self, share: WorkspaceShare, now: float) -> bool:
        if now >= share.owner_short_until and self.requests.is_owner_reachable():
            return True
        peers = self.requests.local_peers or self.requests.remote_peers
        return bool(peers) and now >= share.peers_short_until

    def _pause_full_buckets(self, now: float) -> tuple[int, tuple[str, ...]]:
        # A full bucket wastes its rate. The pool earns the rate instead while this host
        # pauses its bucket. The pause is longer than the transfer on any clock.
        transfer_s = self.standing.rate_transfer_s()
        if transfer_s <= 0.0:
            return 0, ()
        until = now + safe_wait_s(transfer_s, self.cfg.drift, _PAUSE_MARGIN_S)
        return self._workspaces_digest, pause_full_buckets(self.workspaces, until, now)

    def _request_from_owner(
        self, needing: list[tuple[str, WorkspaceShare]], now: float
    ) -> list[tuple[str, LotAsk]]:
        wants = []
        for name, share in needing:
            if now < share.owner_short_until:
                continue
            spare = min(
                share.demand_per_s * self.cfg.spare_s, share.limit.burst_tokens / 16.0
            )
            wants.append(LotWant(name, share.missing, spare))
            if self.requests.is_owner_reachable():
                share.missing = 0.0
        owner = self.requests.likely_owner()
        if not wants or not owner:
            return []
        return [(owner, self.requests.open_request(owner, wants, False, now))]

    def _request_from_peers(
        self, needing: list[tuple[str, WorkspaceShare]], now: float
    ) -> list[tuple[str, LotAsk]]:
        wants = []
        for name, share in needing:
            if not share.missing or now < share.peers_short_until:
                continue
            if self.requests.is_owner_reachable() and now >= share.owner_short_until:
                continue
            wants.append(LotWant(name, share.missing))
            share.missing = 0.0
            # Backs off after rounds without a lot. Otherwise a workspace above its rate
            # would make every host send requests to its peers all the time.
            share.peers_backoff_s = min(
                _MAX_PEER_BACKOFF_S, max(self.cfg.backoff_s, 2 * share.peers_backoff_s)
            )
        if not wants:
            return []
        return [
            (peer, self.requests.open_request(peer, wants, True, now))
            for peer in self.requests.choose_peers()
        ]

    def _estimate_demand(self, now: float) -> None:
        if self._demand_at is None or now <= self._demand_at:
            self._demand_at = now
            return
        elapsed, self._demand_at = now - self._demand_at, now
        for name, share in self._active_shares():
            if share.update_demand(elapsed):
                self._active.discard(name)

    def _return_lots(self, now: float, unused_s: float) -> list[tuple[str, LotReturn]]:
        lots = {name: share.lots for name, share in self._active_shares()}
        return [
            (lender, LotReturn(self.service, process, tuple(batch)))
            for (lender, process), batch in pop_unused_lots(lots, now, unused_s).items()
        ]
