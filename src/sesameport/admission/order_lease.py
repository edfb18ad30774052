"""Decide when this host may send orders to backend servers.

Several hosts may want to send an order, and a host may be suspended, partitioned or
killed before or after it does so. A host sends an order only immediately after it has
written the lease record with a conditional write. Another host takes over the lease
only when the record has been unchanged for longer than an order of the holder can be in
transit, and it increments the fencing number.

A store that is restored from an older copy lacks recent records, or has earlier
versions of them. Each restoration begins a new era of the store. The high bits of a
fencing number are therefore the era of its write, so that no number is used twice,
whatever records the copy has. A record of an earlier era proves nothing, and neither
does the absence of a record in a new one: the last order may just have been sent.
"""

import enum
import math

import attrs
import msgspec

__all__ = [
    "LeaseStep",
    "OrderLease",
    "OrderRecord",
    "decode_record",
    "encode_record",
    "next_epoch",
]

MAX_EPOCH = 2**53
"""Fencing number from which a stored record counts as invalid. Engines read it as JSON,
where larger numbers are not exact."""

ERA_BITS = 32
"""Bits of a fencing number below the era."""

MAX_SEND_DELAY_S = 1.0
"""Maximum delay between the start of the lease write and an order, seconds."""


class LeaseStep(enum.StrEnum):
    """Name the next action of a host on the lease."""

    CREATE = "create"
    RENEW = "renew"
    TAKE_OVER = "take-over"
    WAIT = "wait"


@attrs.frozen
class OrderRecord:
    """Represent the stored lease and the last order sent under it.

    Attributes
    ----------
    holder : str
        Host that may send orders.
    epoch : int
        Fencing number, increased with each new holder; see `next_epoch`.
    server, role : str
        Last order; empty before the first.
    ordered_at : float
        Wall-clock time of the last order, Unix seconds. It only spaces out orders, so
        a wrong clock causes a delay and no other harm.
    """

    holder: str
    epoch: int
    server: str = ""
    role: str = ""
    ordered_at: float = 0.0


def encode_record(record: OrderRecord) -> bytes:
    """Return the record as JSON."""
    return msgspec.json.encode(record)


def decode_record(value: bytes) -> OrderRecord | None:
    """Return the decoded record, or None if the value is not a valid record."""
    try:
        record = msgspec.json.decode(value, type=OrderRecord)
    except (ValueError, RecursionError, OverflowError):
        return None
    return record if 0 < record.epoch < MAX_EPOCH else None


def next_epoch(
    step: "LeaseStep", record: OrderRecord | None, version: int, era: int
) -> int | None:
    """Return the fencing number of a lease that is written now, None if there is none.

    Within an era each number is that of one holder, and they increase. The store loses
    no write of an era, so the next number after a record of the same era is a new one.
    A record of an earlier era, or an invalid one, may have replaced others. Each number
    before needed one write, so the object's version is greater than all of them.

    Parameters
    ----------
    step : LeaseStep
        What the host does.
    record : OrderRecord or None
        Record that was just read.
    version : int
        Version of the stored object, 0 without one.
    era : int
        Era of the store in which it was read.

    Examples
    --------
    >>> next_epoch(LeaseStep.TAKE_OVER, OrderRecord("h1", 3), 120, 0)
    4
    >>> next_epoch(LeaseStep.TAKE_OVER, OrderRecord("h1", 3), 120, 1) == 2**32 + 120
    True
    """
    if _is_of_era(record, era):
        epoch = record.epoch + (step == LeaseStep.TAKE_OVER)
    else:
        epoch = (era << ERA_BITS) + max(1, version)
    return epoch if epoch < MAX_EPOCH and epoch >> ERA_BITS == era else None


def _is_of_era(record: OrderRecord | None, era: int) -> bool:
    return record is not None and record.epoch >> ERA_BITS == era


@attrs.define
class OrderLease:
    """Choose lease actions by how long the stored record has been unchanged.

    Times must come from a clock that also advances while the machine is suspended.

    Parameters
    ----------
    host : str
        Name of this host.
    takeover_after_s : float
        Time for which the record of another holder must be unchanged before a takeover,
        seconds. It must exceed the time that an order can be in transit.
    """

    host: str
    takeover_after_s: float
    _last_state: tuple[int, int] = (-1, -1)
    _state_seen_at: float = 0.0

    def next_step(
        self,
        record: OrderRecord | None,
        version: int,
        now: float,
        era: int = 0,
        era_since: float = -math.inf,
    ) -> LeaseStep:
        """Return the next action, given the record that was just read.

        Parameters
        ----------
        record : OrderRecord or None
            The record, None without a valid one.
        version : int
            Version of the stored object, 0 without one.
        now : float
            Present time, seconds.
        era : int
            Era of the store in which the object was read.
        era_since : float
            When this host first saw this era, seconds. Nobody has written a record in
            an era that has none, so the last order is older than the era.
        """
        if version == 0:
            is_over = now - era_since >= self.takeover_after_s
            return LeaseStep.CREATE if is_over else LeaseStep.WAIT
        if (era, version) != self._last_state:
            self._last_state = (era, version)
            self._state_seen_at = now
        if _is_of_era(record, era) and record.holder == self.host:
            return LeaseStep.RENEW
        if now - self._state_seen_at >= self.takeover_after_s:
            return LeaseStep.TAKE_OVER
        return LeaseStep.WAIT

    def may_send(self, write_started_at: float, now: float) -> bool:
        """Return whether an order may still be sent after the lease write."""
        return now - write_started_at <= MAX_SEND_DELAY_S
