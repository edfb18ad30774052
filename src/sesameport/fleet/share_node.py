"""Combine a host's rate shares of one service with its role as possible pool owner."""

import random
from collections import deque
from typing import Any

import attrs
from result import Result

from sesameport.fleet.leases import Lease
from sesameport.fleet.platform_intents import PlatformIntent
from sesameport.fleet.pool_owner import PoolOwner
from sesameport.fleet.share_limits import RateLimit, ShareSettings
from sesameport.fleet.share_messages import (
    LotAsk,
    LotGrant,
    LotReturn,
    StandingAsk,
    StandingGrant,
)
from sesameport.fleet.shares import HostShares
from sesameport.interfaces import PlatformError, Sender, StoredObject

__all__ = ["SHARE_OBJECT_KIND", "ShareNode", "share_object_name"]

SHARE_OBJECT_KIND = "rate-share"


def share_object_name(service: str, region: str) -> str:
    """Return the name of the share object of a service and region."""
    return f"{service}.{region}"


@attrs.define
class ShareNode:
    """Handle every message of one service's rate shares on one host.

    Methods return messages for other hosts as ``(host, message)`` pairs. Messages of
    this host to itself are handled at once and not returned.

    Parameters
    ----------
    service, region : str
        Service document and region.
    sender : Sender
        This host process.
    cfg : ShareSettings
        Settings.
    rng : random.Random
        Random source for nonces, jitter and the choice of peers.
    """

    service: str
    region: str
    sender: Sender
    cfg: ShareSettings
    rng: random.Random
    shares: HostShares = attrs.field(init=False)
    owner: PoolOwner = attrs.field(init=False)

    def __attrs_post_init__(self):
        host, incarnation = self.sender.host, self.sender.incarnation
        self.shares = HostShares(self.service, host, incarnation, self.cfg, self.rng)
        lease = Lease(
            SHARE_OBJECT_KIND,
            share_object_name(self.service, self.region),
            host,
            incarnation,
            self.cfg.pool_lease_s,
            self.cfg.drift,
            self.rng,
        )
        self.owner = PoolOwner(self.service, lease, self.cfg)

    def set_limits(self, limits: dict[str, RateLimit], now: float) -> None:
        """Apply the limits of a new document version."""
        self.shares.set_limits(limits, now)
        self.owner.set_limits(limits, now)

    def tick(
        self, now: float, is_candidate: bool
    ) -> tuple[PlatformIntent | None, list[tuple[str, Any]]]:
        """Return the platform call and the messages that are due."""
        may_acquire = is_candidate and not self.shares.is_leaving
        intent, out = self.owner.tick(now, may_acquire)
        out = [*out, *self.shares.tick(now)]
        return intent, self._deliver_local(out, now)

    def handle_result(
        self,
        intent: PlatformIntent,
        result: Result[StoredObject, PlatformError],
        now: float,
    ) -> list[tuple[str, Any]]:
        """Handle the result of a platform call and return the messages due."""
        return self._deliver_local(self.owner.handle_result(intent, result, now), now)

    def request_lots(self, now: float) -> list[tuple[str, Any]]:
        """Return lot requests for the tokens that waiting charges still need."""
        return self._deliver_local(self.shares.request_lots(now), now)

    def leave(self, now: float) -> list[tuple[str, Any]]:
        """Return lots and release the pool; later ticks return the standing share."""
        out = self._deliver_local(self.shares.leave(now), now)
        if self.owner.is_owner(now):
            # While this host is still the owner, the tick returns its standing share
            # to itself, unless lots of that share are outstanding.
            out.extend(self._deliver_local(self.shares.tick(now), now))
        self.owner.release(now)
        return out

    def step_down(self) -> None:
        """Give up the pool at once, for example after the process was paused."""
        self.owner.lease.step_down()

    def receive(
        self, sender: Sender, message: Any, now: float
    ) -> list[tuple[str, Any]]:
        """Handle a message from a peer and return the messages due."""
        return self._deliver_local(self._handle(sender, message, now), now)

    def _deliver_local(
        self, out: list[tuple[str, Any]], now: float
    ) -> list[tuple[str, Any]]:
        queue, remote = deque(out), []
        while queue:
            host, message = queue.popleft()
            if host != self.sender.host:
                remote.append((host, message))
                continue
            queue.extend(self._handle(self.sender, message, now))
        return remote

    def _handle(
        self, sender: Sender, message: Any, now: float
    ) -> list[tuple[str, Any]]:
        answer = None
        if isinstance(message, LotAsk):
            lender = self.shares if message.from_standing else self.owner
            answer = lender.handle_lot_ask(sender, message, now)
        elif isinstance(message, LotGrant):
            self.shares.handle_lot_grant(sender, message, now)
        elif isinstance(message, LotReturn):
            self.owner.handle_lot_return(message, now)
            self.shares.handle_lot_return(message, now)
        elif isinstance(message, StandingAsk):
            answer = self.owner.handle_standing_ask(sender, message, now)
        elif isinstance(message, StandingGrant):
            self.shares.handle_standing_grant(sender, message, now)
        return [] if answer is None else [(sender.host, answer)]
