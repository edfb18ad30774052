"""Admit requests from a host's standing share and from borrowed lots.

`HostShares` is the part that every host has for each service: it charges requests,
borrows lots from the pool owner or from peers, and lends its own standing tokens to
peers by the same rule. `pool_owner.PoolOwner` is the other end.
"""

import random

import attrs

from sesameport.fleet.buckets import Lender, Lot, spend_lots
from sesameport.fleet.pool_owner import LotBook, lend_lots
from sesameport.fleet.share_accounts import (
    Admitted,
    LotsNeeded,
    RateRefused,
    Receipt,
    WorkspaceShare,
    settle_receipt,
    take_idle,
)
from sesameport.fleet.share_asks import LotAsks, OpenAsk
from sesameport.fleet.share_limits import Limit, ShareSettings
from sesameport.fleet.share_messages import (
    LotAsk,
    LotGrant,
    LotReturn,
    LotWant,
    StandingAsk,
    StandingGrant,
)
from sesameport.fleet.standing_share import StandingShare
from sesameport.interfaces import Sender

__all__ = ["Admitted", "HostShares", "LotsNeeded", "RateRefused", "Receipt"]

# A charge is covered when at most this many tokens are missing; it absorbs rounding.
_ROUNDING = 1e-6
# Longest times without a new ask after a lender had too little, seconds.
_LONGEST_OWNER_WAIT_S = 0.5
_LONGEST_PEER_WAIT_S = 3.0
# Numbers of standing lots start here, so that they differ from the numbers of pool lots
# of the same process and a return reaches only the bucket that lent the lot.
_FIRST_STANDING_LOT = 1 << 40
# Weight of the newest charge period in the estimate of demand.
_DEMAND_WEIGHT = 0.3


@attrs.define
class HostShares:
    """Hold the rate shares of one service on one host.

    Methods return the messages to send as ``(host, message)`` pairs. Messages to
    ``host`` itself are to be handled like messages from a peer.

    Parameters
    ----------
    service, host, incarnation : str
        Service document and this host process.
    cfg : ShareSettings
        Settings, the same on all hosts of the deployment.
    rng : random.Random
        Source of the choice of peers.
    """

    service: str
    host: str
    incarnation: str
    cfg: ShareSettings
    rng: random.Random
    asks: LotAsks = attrs.field(init=False)
    standing: StandingShare = attrs.field(init=False)
    workspaces: dict[str, WorkspaceShare] = attrs.field(factory=dict)
    is_leaving: bool = False
    _next_lot_id: int = _FIRST_STANDING_LOT
    _retired: dict[str, Lender] = attrs.field(factory=dict)
    _book: LotBook = attrs.field(init=False)
    _demand_at: float | None = None

    def __attrs_post_init__(self):
        self.asks = LotAsks(self.service, self.cfg, self.rng)
        self.standing = StandingShare(self.service, self.incarnation, self.cfg)
        self._book = LotBook(self.cfg.lot_lifetime_s)

    def set_limits(self, limits: dict[str, Limit], now: float) -> None:
        """Put the limits of a new document version in force."""
        for workspace, limit in limits.items():
            share = self.workspaces.get(workspace)
            if share is None:
                # Lots of a removed workspace still count if it is added again.
                lender = self._retired.pop(workspace, None) or Lender(
                    0.0, 0.0, now, self.cfg.drift
                )
                self.workspaces[workspace] = WorkspaceShare(limit, lender)
            else:
                share.limit = limit
        for workspace in list(self.workspaces):
            if workspace in limits:
                continue
            lender = self.workspaces.pop(workspace).standing
            lender.resize(0.0, 0.0, now)
            self._retired[workspace] = lender
        self._resize(now)

    def set_peers(
        self,
        owner_candidates: tuple[str, ...],
        near_peers: tuple[str, ...],
        far_peers: tuple[str, ...] = (),
    ) -> None:
        """Name the live hosts of the region.

        Parameters
        ----------
        owner_candidates : tuple of str
            Hosts that may own the pool, likeliest first.
        near_peers, far_peers : tuple of str
            Other hosts of this data centre, and of the region's other data centres.
        """
        self.asks.owner_candidates = owner_candidates
        self.asks.near_peers = tuple(name for name in near_peers if name != self.host)
        self.asks.far_peers = tuple(name for name in far_peers if name != self.host)

    def charge(
        self, workspace: str, tokens: float, now: float, may_wait: bool = True
    ) -> Admitted | LotsNeeded | RateRefused:
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
        self._check_standing(now)
        share = self.workspaces.get(workspace)
        if share is None or tokens > share.limit.burst_tokens or self.is_leaving:
            return RateRefused(None)
        if may_wait:
            share.charged += tokens
        missing = tokens + share.debt - share.available(now)
        if missing > _ROUNDING:
            if may_wait and self._may_ask(share, now):
                share.missing = min(share.missing + missing, share.limit.burst_tokens)
                return LotsNeeded(missing)
            return RateRefused(self._retry_after(share, missing))
        if share.debt > 0.0:
            self._withdraw(share, share.debt, now)
            share.debt = 0.0
        standing, lots = self._withdraw(share, tokens, now)
        return Admitted(Receipt(workspace, tokens, standing, lots, now))

    def settle(self, receipt: Receipt, used: float, now: float) -> float:
        """Correct a charge to the tokens used and return the tokens given back.

        Tokens used in excess become debt, which the next charges pay first. Unused
        tokens go back where they came from, as far as those buckets allow; the rest
        offsets later debt.
        """
        share = self.workspaces.get(receipt.workspace)
        if share is None:
            return 0.0
        return settle_receipt(share, receipt, used, now)

    def flush(self, now: float) -> list[tuple[str, LotAsk]]:
        """Return the asks for the tokens that waiting charges are missing."""
        for ask in self.asks.drop_old(now):
            self._note_unanswered(ask, now)
        wanting = [
            (name, share) for name, share in self.workspaces.items() if share.missing
        ]
        if not wanting or self.is_leaving:
            return []
        out = []
        if not self.asks.is_asking(from_standing=False):
            out.extend(self._ask_owner(wanting, now))
        if not self.asks.is_asking(from_standing=True):
            out.extend(self._ask_peers(wanting, now))
        return out

    def tick(self, now: float) -> list[tuple[str, LotReturn | LotAsk | StandingAsk]]:
        """Return unused lots, renew the standing share and repeat lost asks."""
        self._check_standing(now)
        self._estimate_demand(now)
        out = list(self._return_lots(now, self.cfg.idle_return_s))
        out.extend(self.flush(now))
        lenders = [share.standing for share in self.workspaces.values()]
        for workspace, lender in list(self._retired.items()):
            lenders.append(lender)
            if lender.fits(now):
                del self._retired[workspace]
        fits = all(lender.fits(now) for lender in lenders)
        ask = self.standing.tick(now, fits, self.is_leaving)
        if ask is not None:
            out.append((self.asks.owner_guess(), ask))
        return out

    def leave(self, now: float) -> list[tuple[str, LotReturn]]:
        """Give back all lots; later ticks give back the standing share.

        The standing share is given back once no lot of it is out; call `tick` until
        ``standing.has_left``.
        """
        self.is_leaving = True
        self.standing.stop()
        self._resize(now)
        return self._return_lots(now, 0.0)

    def handle_grant(self, sender: Sender, grant: LotGrant, now: float) -> None:
        """Take lots; a late, repeated or foreign grant is ignored."""
        if grant.to_incarnation != self.incarnation:
            return
        ask = self.asks.take(sender.host, grant)
        if ask is None:
            return
        for short in grant.short:
            share = self.workspaces.get(short.workspace)
            if share is None:
                continue
            if ask.from_standing:
                share.peers_short_until = now + share.peers_backoff_s
                continue
            wait = min(_LONGEST_OWNER_WAIT_S, short.retry_after_s)
            share.owner_short_until = now + max(self.cfg.retry_s, wait)
            share.retry_after_s = short.retry_after_s
        for lot in grant.lots:
            share = self.workspaces.get(lot.workspace)
            expires_at = ask.sent_at + lot.lifetime_s
            if share is None or expires_at <= now or self.is_leaving:
                continue
            if ask.from_standing:
                share.peers_backoff_s = 0.0
            share.lots.append(
                Lot(
                    sender.host,
                    sender.incarnation,
                    lot.lot_id,
                    lot.tokens,
                    expires_at,
                    now,
                )
            )

    def handle_standing_grant(
        self, sender: Sender, grant: StandingGrant, now: float
    ) -> None:
        """Adopt a standing share unless a newer one is in force."""
        if grant.to_incarnation != self.incarnation:
            return
        if not grant.is_owner:
            self.asks.owner = grant.owner
            return
        self.asks.owner = sender.host
        if self.standing.adopt(grant, now):
            self._resize(now)

    def handle_lot_ask(self, sender: Sender, ask: LotAsk, now: float) -> LotGrant:
        """Lend from the standing buckets, keeping what this host needs itself."""
        sent = self._book.find(sender.incarnation, ask.ask_id)
        if sent is not None:
            return sent
        self._check_standing(now)
        lenders = {name: share.standing for name, share in self.workspaces.items()}
        reserves = {
            name: share.debt + share.demand_per_s * self.cfg.spare_s
            for name, share in self.workspaces.items()
        }
        lifetime = min(self.cfg.lot_lifetime_s, self.standing.remaining_s(now))
        lots, short = lend_lots(
            ask, lenders, reserves, lifetime, self._next_lot_id, now
        )
        self._next_lot_id += len(ask.wants)
        grant = LotGrant(
            self.service, ask.ask_id, sender.incarnation, tuple(lots), tuple(short)
        )
        self._book.add(sender.incarnation, grant, now)
        return grant

    def handle_lot_return(self, message: LotReturn, now: float) -> None:
        """Take back lots lent from the standing buckets."""
        if message.to_incarnation != self.incarnation:
            return
        for lot in message.lots:
            share = self.workspaces.get(lot.workspace)
            if share is not None:
                share.standing.take_back(lot.lot_id, lot.unused, now)

    def _resize(self, now: float) -> None:
        for share in self.workspaces.values():
            rate, capacity = self.standing.size(share.limit)
            lender = share.standing
            if (lender.rate_per_s, lender.capacity) != (rate, capacity):
                lender.resize(rate, capacity, now)

    def _check_standing(self, now: float) -> None:
        # Checked at every use, because a pause may end long after the lease.
        if self.standing.expire(now):
            self._resize(now)

    def _withdraw(
        self, share: WorkspaceShare, tokens: float, now: float
    ) -> tuple[float, list[tuple[Lot, float]]]:
        lots = spend_lots(share.lots, tokens, now)
        left = tokens - sum(part for _, part in lots)
        standing = share.standing.take(left, now) if left > 0.0 else 0.0
        return standing, lots

    def _may_ask(self, share: WorkspaceShare, now: float) -> bool:
        if now >= share.owner_short_until and self.asks.is_owner_reachable():
            return True
        peers = self.asks.near_peers or self.asks.far_peers
        return bool(peers) and now >= share.peers_short_until

    def _retry_after(self, share: WorkspaceShare, missing: float) -> float:
        rate = max(share.limit.rate_tokens_per_s, 1e-9)
        return min(60.0, max(share.retry_after_s, missing / rate))

    def _note_unanswered(self, ask: OpenAsk, now: float) -> None:
        if not ask.from_standing:
            return
        for name in ask.workspaces:
            if name in self.workspaces:
                share = self.workspaces[name]
                share.peers_short_until = now + share.peers_backoff_s

    def _ask_owner(
        self, wanting: list[tuple[str, WorkspaceShare]], now: float
    ) -> list[tuple[str, LotAsk]]:
        wants = []
        for name, share in wanting:
            if now < share.owner_short_until:
                continue
            spare = min(
                share.demand_per_s * self.cfg.spare_s, share.limit.burst_tokens / 16.0
            )
            wants.append(LotWant(name, share.missing, spare))
            if self.asks.is_owner_reachable():
                share.missing = 0.0
        owner = self.asks.owner_guess()
        if not wants or not owner:
            return []
        return [(owner, self.asks.open(owner, wants, False, now))]

    def _ask_peers(
        self, wanting: list[tuple[str, WorkspaceShare]], now: float
    ) -> list[tuple[str, LotAsk]]:
        wants = []
        for name, share in wanting:
            if not share.missing or now < share.peers_short_until:
                continue
            if self.asks.is_owner_reachable() and now >= share.owner_short_until:
                continue
            wants.append(LotWant(name, share.missing))
            share.missing = 0.0
            # Rounds without a lot are spaced further apart, so that a workspace above
            # its rate does not make every host ask all its peers all the time.
            share.peers_backoff_s = min(
                _LONGEST_PEER_WAIT_S, max(self.cfg.retry_s, 2 * share.peers_backoff_s)
            )
        if not wants:
            return []
        return [
            (peer, self.asks.open(peer, wants, True, now))
            for peer in self.asks.choose_peers()
        ]

    def _estimate_demand(self, now: float) -> None:
        if self._demand_at is None or now <= self._demand_at:
            self._demand_at = now
            return
        elapsed, self._demand_at = now - self._demand_at, now
        for share in self.workspaces.values():
            newest = share.charged / elapsed
            share.demand_per_s += _DEMAND_WEIGHT * (newest - share.demand_per_s)
            share.charged = 0.0

    def _return_lots(self, now: float, idle_s: float) -> list[tuple[str, LotReturn]]:
        lots = {name: share.lots for name, share in self.workspaces.items()}
        return [
            (lender, LotReturn(self.service, incarnation, tuple(returned)))
            for (lender, incarnation), returned in take_idle(lots, now, idle_s).items()
        ]
