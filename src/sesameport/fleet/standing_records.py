"""Decide the standing shares of host processes and record them in the share object.

A share is stored in the platform before it is granted. A recorded share is lowered only
after its host has confirmed that it adopted a lower grant. It is removed when its host
returns it or when its standing lease has expired on the slowest clock.
"""

import attrs
import msgspec

from sesameport.fleet.clock_drift import safe_wait_s
from sesameport.fleet.share_messages import StandingAsk, StandingGrant

__all__ = ["MILLION", "StandingRecords"]

MILLION = 1_000_000

_CHANGE_TOLERANCE = 0.1
"""A share is changed only if it differs from its target by more than this fraction.
Otherwise a host that joins or leaves would change every record twice."""


@attrs.frozen
class _StoredShare:
    host: str
    incarnation: str
    millionths: int


@attrs.frozen
class _StoredBody:
    standing: tuple[_StoredShare, ...] = ()
    lots_left_s: float = 0.0


@attrs.define
class _RecordedShare:
    host: str
    incarnation: str
    recorded: int
    confirmed: int
    expires_at: float
    granted: int = 0
    grant_number: int = 0
    granted_at: float = 0.0
    open_request_id: int | None = None


@attrs.define
class StandingRecords:
    """Decide the standing shares of one service and region for the pool owner.

    Parameters
    ----------
    service : str
        Name of the service.
    lease_s : float
        Duration of a standing share, seconds.
    rate_transfer_s : float
        Time for which a host may transfer its standing rate to the owner, seconds.
    drift, margin_s : float
        Bounds for the wait until a lease has expired on another host's clock; see
        `clock_drift.safe_wait_s`.
    """

    service: str
    lease_s: float
    drift: float
    rate_transfer_s: float = 0.0
    margin_s: float = 1.0
    epoch: int = 0
    is_dirty: bool = False
    _shares: dict[str, _RecordedShare] = attrs.field(factory=dict)
    _departed: dict[str, float] = attrs.field(factory=dict)
    _last_number: int = 0
    _confirmed_body: str = ""

    def load(self, body: str, epoch: int, now: float) -> float:
        """Load the recorded shares at the start of an epoch.

        Returns
        -------
        float
            Time for which lots of the previous owner may still be spent, seconds.
        """
        stored = _decode_body(body)
        self.epoch = epoch
        self.is_dirty = False
        self._departed.clear()
        self._last_number = 0
        self._confirmed_body = body
        expires_at = now + self._lease_wait_s()
        self._shares = {
            share.incarnation: _RecordedShare(
                share.host,
                share.incarnation,
                recorded=share.millionths,
                confirmed=share.millionths,
                expires_at=expires_at,
            )
            for share in stored.standing
        }
        return stored.lots_left_s

    def encode_body(self, lots_left_s: float = 0.0) -> str:
        """Return the text to store with the lease."""
        standing = tuple(
            _StoredShare(share.host, share.incarnation, share.recorded)
            for share in sorted(
                self._shares.values(), key=lambda share: share.incarnation
            )
        )
        return msgspec.json.encode(_to_plain(standing, lots_left_s)).decode()

    def confirm_stored(self, body: str, now: float) -> list[tuple[str, StandingGrant]]:
        """Apply the body that the platform now stores and return the grants due."""
        if body == self._confirmed_body:
            return []
        self._confirmed_body = body
        confirmed = {
            share.incarnation: share.millionths for share in _decode_body(body).standing
        }
        self.is_dirty = confirmed.keys() != self._shares.keys()
        grants = []
        for share in self._shares.values():
            share.confirmed = confirmed.get(share.incarnation, 0)
            if share.confirmed != share.recorded:
                self.is_dirty = True
            if share.open_request_id is None or share.confirmed < share.recorded:
                continue
            ask_id, share.open_request_id = share.open_request_id, None
            grants.append((share.host, self._grant(share, ask_id, share.recorded, now)))
        return grants

    def handle_request(
        self, host: str, incarnation: str, request: StandingAsk, now: float
    ) -> StandingGrant | None:
        """Return a grant, or None if the platform must record the share first."""
        self.expire(now)
        if request.is_leaving:
            self._remove_leaving(incarnation, now)
            self._last_number += 1
            return StandingGrant(
                self.service, request.ask_id, incarnation, self.epoch, self._last_number
            )
        if incarnation in self._departed:
            return None
        share = self._shares.get(incarnation)
        if share is None:
            share = _RecordedShare(host, incarnation, 0, 0, expires_at=0.0)
            self._shares[incarnation] = share
        share.expires_at = now + self._lease_wait_s()
        if (
            share.grant_number
            and request.adopted_epoch == self.epoch
            and request.adopted_number == share.grant_number
            and share.granted < share.recorded
        ):
            share.recorded = share.granted
            self.is_dirty = True
        target = MILLION // len(self._shares)
        if share.recorded > target * (1 + _CHANGE_TOLERANCE):
            return self._grant(share, request.ask_id, min(target, share.confirmed), now)
        if share.recorded < target * (1 - _CHANGE_TOLERANCE):
            free = MILLION - sum(other.recorded for other in self._shares.values())
            raised = share.recorded + max(0, min(target - share.recorded, free))
            if raised != share.recorded:
                share.recorded = raised
                self.is_dirty = True
        if share.confirmed < share.recorded:
            share.open_request_id = request.ask_id
            return None
        return self._grant(share, request.ask_id, share.recorded, now)

    def transfer_until(self, incarnation: str, request: StandingAsk) -> float:
        """Return the time until which the owner may earn the rate of a host.

        The transfer lasts `rate_transfer_s` from when the grant that the request names
        was sent, which is before the host paused its buckets. Call this before
        `handle_request`, which updates the time of the grant.
        """
        share = self._shares.get(incarnation)
        if share is None or not request.idle_number or request.is_leaving:
            return float("-inf")
        if (request.idle_epoch, request.idle_number) != (
            self.epoch,
            share.grant_number,
        ):
            return float("-inf")
        return share.granted_at + self.rate_transfer_s

    def usable_millionths(self, incarnation: str) -> int:
        """Return the share of a process that is both recorded and confirmed."""
        share = self._shares.get(incarnation)
        return 0 if share is None else min(share.recorded, share.confirmed)

    def expire(self, now: float) -> None:
        """Remove shares whose lease has expired on the slowest clock."""
        for incarnation in [
            share.incarnation
            for share in self._shares.values()
            if share.expires_at <= now
        ]:
            del self._shares[incarnation]
            self.is_dirty = True
        for incarnation in [
            key for key, until in self._departed.items() if until <= now
        ]:
            del self._departed[incarnation]

    def shares(self) -> dict[str, tuple[str, int]]:
        """Return host and recorded millionths by incarnation."""
        return {
            key: (share.host, share.recorded) for key, share in self._shares.items()
        }

    def _remove_leaving(self, incarnation: str, now: float) -> None:
        # A request that was sent before the return may arrive after it. It must not
        # record a share that nobody uses.
        self._departed[incarnation] = now + 60.0
        if self._shares.pop(incarnation, None) is not None:
            self.is_dirty = True

    def _grant(
        self, share: _RecordedShare, ask_id: int, millionths: int, now: float
    ) -> StandingGrant:
        self._last_number += 1
        share.grant_number = self._last_number
        share.granted = millionths
        share.granted_at = now
        return StandingGrant(
            service=self.service,
            ask_id=ask_id,
            to_incarnation=share.incarnation,
            epoch=self.epoch,
            number=self._last_number,
            millionths=millionths,
            lease_s=self.lease_s,
            idle_s=self.rate_transfer_s,
        )

    def _lease_wait_s(self) -> float:
        return safe_wait_s(self.lease_s, self.drift, self.margin_s)


def _to_plain(standing: tuple[_StoredShare, ...], lots_left_s: float) -> dict:
    return {
        "standing": [[s.host, s.incarnation, s.millionths] for s in standing],
        "lots_left_s": lots_left_s,
    }


def _decode_body(body: str) -> _StoredBody:
    if not body:
        return _StoredBody()
    plain = msgspec.json.decode(body)
    standing = tuple(_StoredShare(*fields) for fields in plain["standing"])
    return _StoredBody(standing, plain["lots_left_s"])
