"""Keep the standing shares of host incarnations that the share object records.

A share is recorded in the platform before it is granted. A recorded share is lowered
only after its host confirmed that a lower grant is in force, or when its long lease has
passed on the slowest clock.
"""

import attrs
import msgspec

from sesameport.fleet.clocks import wait_out_s
from sesameport.fleet.share_messages import StandingAsk, StandingGrant

__all__ = ["MILLION", "StandingRecords"]

MILLION = 1_000_000
# A share is changed only if it is off by more than this part, so that a host that
# joins or leaves does not change every record twice.
_TOLERANCE = 0.1


@attrs.frozen
class _StoredShare:
    host: str
    incarnation: str
    millionths: int


@attrs.frozen
class _Stored:
    standing: tuple[_StoredShare, ...] = ()
    lots_left_s: float = 0.0


@attrs.define
class _Share:
    host: str
    incarnation: str
    recorded: int
    confirmed: int
    expires_at: float
    granted: int = 0
    grant_number: int = 0
    open_ask: int | None = None


@attrs.define
class StandingRecords:
    """Decide the standing shares of one service and region while owning its pool.

    Parameters
    ----------
    service : str
        Name of the service.
    lease_s : float
        Duration of a standing share, seconds.
    drift, margin_s : float
        Bounds for waiting out another host's clock.
    """

    service: str
    lease_s: float
    drift: float
    margin_s: float = 1.0
    epoch: int = 0
    is_dirty: bool = False
    _shares: dict[str, _Share] = attrs.field(factory=dict)
    _left: dict[str, float] = attrs.field(factory=dict)
    _number: int = 0
    _confirmed_body: str = ""

    def start(self, body: str, epoch: int, now: float) -> float:
        """Load the recorded shares at the start of an epoch.

        Returns
        -------
        float
            Time that lots of the previous owner may still be spent, seconds.
        """
        stored = _decode(body)
        self.epoch = epoch
        self.is_dirty = False
        self._left.clear()
        self._number = 0
        self._confirmed_body = body
        expires_at = now + self._wait_s()
        self._shares = {
            share.incarnation: _Share(
                share.host,
                share.incarnation,
                recorded=share.millionths,
                confirmed=share.millionths,
                expires_at=expires_at,
            )
            for share in stored.standing
        }
        return stored.lots_left_s

    def body(self, lots_left_s: float = 0.0) -> str:
        """Return the text to store with the lease."""
        standing = tuple(
            _StoredShare(share.host, share.incarnation, share.recorded)
            for share in sorted(self._shares.values(), key=lambda s: s.incarnation)
        )
        return msgspec.json.encode(_to_plain(standing, lots_left_s)).decode()

    def confirm(self, body: str) -> list[tuple[str, StandingGrant]]:
        """Take the body that the platform now stores and return the grants due."""
        if body == self._confirmed_body:
            return []
        self._confirmed_body = body
        confirmed = {
            share.incarnation: share.millionths for share in _decode(body).standing
        }
        self.is_dirty = confirmed.keys() != self._shares.keys()
        grants = []
        for share in self._shares.values():
            share.confirmed = confirmed.get(share.incarnation, 0)
            if share.confirmed != share.recorded:
                self.is_dirty = True
            if share.open_ask is None or share.confirmed < share.recorded:
                continue
            ask_id, share.open_ask = share.open_ask, None
            grants.append((share.host, self._grant(share, ask_id, share.recorded)))
        return grants

    def handle(
        self, host: str, incarnation: str, ask: StandingAsk, now: float
    ) -> StandingGrant | None:
        """Decide on an ask; None when the platform must record the share first."""
        self.expire(now)
        if ask.is_leaving:
            self._remove(incarnation, now)
            return None
        if incarnation in self._left:
            return None
        share = self._shares.get(incarnation)
        if share is None:
            share = _Share(host, incarnation, 0, 0, expires_at=0.0)
            self._shares[incarnation] = share
        share.expires_at = now + self._wait_s()
        if (
            share.grant_number
            and ask.adopted_epoch == self.epoch
            and ask.adopted_number == share.grant_number
            and share.granted < share.recorded
        ):
            share.recorded = share.granted
            self.is_dirty = True
        target = MILLION // len(self._shares)
        if share.recorded > target * (1 + _TOLERANCE):
            return self._grant(share, ask.ask_id, min(target, share.confirmed))
        if share.recorded < target * (1 - _TOLERANCE):
            free = MILLION - sum(item.recorded for item in self._shares.values())
            raised = share.recorded + max(0, min(target - share.recorded, free))
            if raised != share.recorded:
                share.recorded = raised
                self.is_dirty = True
        if share.confirmed < share.recorded:
            share.open_ask = ask.ask_id
            return None
        return self._grant(share, ask.ask_id, share.recorded)

    def expire(self, now: float) -> None:
        """Remove shares whose long lease has passed on the slowest clock."""
        for incarnation in [
            item.incarnation for item in self._shares.values() if item.expires_at <= now
        ]:
            del self._shares[incarnation]
            self.is_dirty = True
        for incarnation in [key for key, until in self._left.items() if until <= now]:
            del self._left[incarnation]

    def shares(self) -> dict[str, tuple[str, int]]:
        """Return host and recorded millionths by incarnation, for the status page."""
        return {
            key: (share.host, share.recorded) for key, share in self._shares.items()
        }

    def _remove(self, incarnation: str, now: float) -> None:
        # An ask sent before the return may arrive after it and must not record a
        # share that nobody uses.
        self._left[incarnation] = now + 60.0
        if self._shares.pop(incarnation, None) is not None:
            self.is_dirty = True

    def _grant(self, share: _Share, ask_id: int, millionths: int) -> StandingGrant:
        self._number += 1
        share.grant_number = self._number
        share.granted = millionths
        return StandingGrant(
            service=self.service,
            ask_id=ask_id,
            to_incarnation=share.incarnation,
            epoch=self.epoch,
            number=self._number,
            millionths=millionths,
            lease_s=self.lease_s,
        )

    def _wait_s(self) -> float:
        return wait_out_s(self.lease_s, self.drift, self.margin_s)


def _to_plain(standing: tuple[_StoredShare, ...], lots_left_s: float) -> dict:
    return {
        "standing": [[s.host, s.incarnation, s.millionths] for s in standing],
        "lots_left_s": lots_left_s,
    }


def _decode(body: str) -> _Stored:
    if not body:
        return _Stored()
    plain = msgspec.json.decode(body)
    standing = tuple(_StoredShare(*item) for item in plain["standing"])
    return _Stored(standing, plain["lots_left_s"])
