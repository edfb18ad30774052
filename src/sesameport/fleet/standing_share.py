"""Track the standing share that one host process holds for one service."""

import attrs

from sesameport.fleet.clock_drift import drift_adjusted_rate
from sesameport.fleet.share_limits import RateLimit, ShareSettings
from sesameport.fleet.share_messages import StandingAsk, StandingGrant
from sesameport.fleet.standing_records import MILLION

__all__ = ["StandingShare"]

_FAST_REQUEST_PERIOD_S = 1.0
"""Period of requests while no share is held, or while tokens and lots exceed it."""

_MAX_OPEN_REQUESTS = 64
"""Requests whose grant is still accepted. A grant may wait for a platform write, so
several requests can be open."""

_MAX_RETURN_ATTEMPTS = 8
"""Attempts to return a share, after which a host that shuts down stops waiting for an
unreachable owner."""

_RETURN_RETRY_PERIOD_S = 0.25


@attrs.define
class StandingShare:
    """Adopt grants of the pool owner and track their lease on this host's clock.

    A grant that is not newer, by epoch and number, than the adopted one is ignored, so
    a late message cannot restore a share that was lowered in the meantime.
    """

    service: str
    incarnation: str
    cfg: ShareSettings
    millionths: int = 0
    has_left: bool = False
    is_request_answered: bool = True
    _epoch: int = 0
    _number: int = 0
    _reported_grant: tuple[int, int] = (0, 0)
    _valid_until: float = float("-inf")
    _requests: dict[int, float] = attrs.field(factory=dict)
    _next_request_id: int = 1
    _next_request_at: float = float("-inf")
    _rate_transfer_s: float = 0.0
    _stopped: bool = False
    _return_request_ids: set[int] = attrs.field(factory=set)

    def bucket_size(self, limit: RateLimit) -> tuple[float, float]:
        """Return rate and capacity of a workspace's standing bucket."""
        fraction = self.cfg.standing_share * self.millionths / MILLION
        rate = drift_adjusted_rate(limit.rate_tokens_per_s * fraction, self.cfg.drift)
        return rate, limit.burst_tokens * fraction

    def remaining_s(self, now: float) -> float:
        """Return the time until the share expires unless it is renewed, seconds."""
        return max(0.0, self._valid_until - now) if self.millionths else 0.0

    def adopt(self, grant: StandingGrant, now: float) -> bool:
        """Apply a grant and return whether the share changed."""
        sent_at = self._requests.pop(grant.ask_id, None)
        if grant.ask_id in self._return_request_ids:
            self.has_left = True
        if sent_at is None or self._stopped:
            return False
        if (grant.epoch, grant.number) <= (self._epoch, self._number):
            return False
        until = sent_at + grant.lease_s
        if until <= now:
            return False
        changed = grant.millionths != self.millionths
        self._epoch, self._number = grant.epoch, grant.number
        self.millionths = grant.millionths
        self._rate_transfer_s = grant.idle_s
        self._valid_until = max(self._valid_until, until)
        return changed

    def is_request_due(self, now: float) -> bool:
        """Return whether the next `tick` may return a request."""
        return now >= self._next_request_at and not self.has_left

    def rate_transfer_s(self) -> float:
        """Return the time for which the rate may be transferred, seconds."""
        return self._rate_transfer_s if self.millionths else 0.0

    def expire(self, now: float) -> bool:
        """Remove the share if its lease has expired and return whether it has."""
        if not self.millionths or now < self._valid_until:
            return False
        self.millionths = 0
        return True

    def stop(self) -> None:
        """Stop using the share, so that it can be returned."""
        self._stopped = True
        self.millionths = 0
        self._next_request_at = float("-inf")

    def tick(
        self,
        now: float,
        is_within_share: bool,
        is_leaving: bool,
        paused_digest: int = 0,
        busy: tuple[str, ...] = (),
    ) -> StandingAsk | None:
        """Return the request that is due, if any.

        Parameters
        ----------
        now : float
            Monotonic time, seconds.
        is_within_share : bool
            Whether all tokens and lent lots are within the share in force. Only then
            is the grant reported as adopted, because the owner grants the rest to
            other hosts.
        is_leaving : bool
            Whether to return the share, once its lent lots are returned or expired.
        paused_digest : int
            Digest of the workspaces if their full buckets are paused; 0 if none is.
        busy : tuple of str
            Workspaces of the digest that are not paused.
        """
        if is_within_share:
            self._reported_grant = (self._epoch, self._number)
        if not self.is_request_due(now) or (is_leaving and not is_within_share):
            return None
        self._next_request_at = now + _FAST_REQUEST_PERIOD_S
        request_id = self._next_request_id
        if is_leaving:
            self._next_request_at = now + _RETURN_RETRY_PERIOD_S
            self._return_request_ids.add(request_id)
            self.has_left = len(self._return_request_ids) >= _MAX_RETURN_ATTEMPTS
        elif self.millionths and is_within_share:
            self._next_request_at = now + self.cfg.standing_renewal_period_s
        self._next_request_id += 1
        self._requests[request_id] = now
        self.is_request_answered = False
        if len(self._requests) > _MAX_OPEN_REQUESTS:
            del self._requests[next(iter(self._requests))]
        return StandingAsk(
            self.service,
            request_id,
            adopted_epoch=self._reported_grant[0],
            adopted_number=self._reported_grant[1],
            is_leaving=is_leaving,
            idle_epoch=self._epoch,
            idle_number=self._number if paused_digest else 0,
            workspaces_digest=paused_digest,
            busy=busy,
        )
