"""Follow the standing share that one host process holds for one service."""

import attrs

from sesameport.fleet.clocks import fastest_rate
from sesameport.fleet.share_limits import Limit, ShareSettings
from sesameport.fleet.share_messages import StandingAsk, StandingGrant
from sesameport.fleet.standing_records import MILLION

__all__ = ["StandingShare"]

# Period of asks while no share is held or a return is under way, seconds.
_EAGER_ASK_S = 1.0
# Asks whose grant is still accepted. A grant may wait for a platform write.
_OPEN_ASKS = 64
# The return of a share is sent this often, because it has no answer.
_LEAVING_SENDS = 3


@attrs.define
class StandingShare:
    """Adopt grants of the pool owner and count their lease on this host's clock.

    A grant with a lower epoch or number than the adopted one is ignored, so that a
    late message cannot bring back a share that was lowered since.
    """

    service: str
    incarnation: str
    cfg: ShareSettings
    millionths: int = 0
    has_left: bool = False
    _epoch: int = 0
    _number: int = 0
    _reported: tuple[int, int] = (0, 0)
    _until: float = float("-inf")
    _asks: dict[int, float] = attrs.field(factory=dict)
    _next_ask_id: int = 1
    _next_ask_at: float = float("-inf")
    _stopped: bool = False
    _leaving_sends: int = 0

    def size(self, limit: Limit) -> tuple[float, float]:
        """Return rate and capacity of the standing bucket of a workspace."""
        part = self.cfg.standing_share * self.millionths / MILLION
        rate = fastest_rate(limit.rate_tokens_per_s * part, self.cfg.drift)
        return rate, limit.burst_tokens * part

    def remaining_s(self, now: float) -> float:
        """Return how long the share stays valid without a renewal, seconds."""
        return max(0.0, self._until - now) if self.millionths else 0.0

    def adopt(self, grant: StandingGrant, now: float) -> bool:
        """Put a grant in force; True when the share changed."""
        sent_at = self._asks.pop(grant.ask_id, None)
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
        self._until = max(self._until, until)
        return changed

    def expire(self, now: float) -> bool:
        """Drop the share when its lease has passed; True when it did."""
        if not self.millionths or now < self._until:
            return False
        self.millionths = 0
        return True

    def stop(self) -> None:
        """Stop using the share, so that it can be given back."""
        self._stopped = True
        self.millionths = 0
        self._next_ask_at = float("-inf")

    def tick(self, now: float, fits: bool, is_leaving: bool) -> StandingAsk | None:
        """Return the ask that is due, if any.

        Parameters
        ----------
        now : float
            Monotonic time, seconds.
        fits : bool
            Whether all tokens and lent lots fit into the share in force. Only then is
            the grant reported as adopted, because the owner gives away the rest.
        is_leaving : bool
            Whether the share is to be given back.
        """
        if fits:
            self._reported = (self._epoch, self._number)
        if now < self._next_ask_at or self.has_left or (is_leaving and not fits):
            return None
        self._next_ask_at = now + _EAGER_ASK_S
        if is_leaving:
            self._leaving_sends += 1
            self.has_left = self._leaving_sends >= _LEAVING_SENDS
        elif self.millionths and fits:
            self._next_ask_at = now + self.cfg.standing_ask_s
        ask_id = self._next_ask_id
        self._next_ask_id += 1
        self._asks[ask_id] = now
        if len(self._asks) > _OPEN_ASKS:
            del self._asks[next(iter(self._asks))]
        return StandingAsk(
            self.service,
            ask_id,
            adopted_epoch=self._reported[0],
            adopted_number=self._reported[1],
            is_leaving=is_leaving,
        )
