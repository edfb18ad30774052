"""Decide when this host may send orders to backend servers.

Several hosts may want to send an order, and a host may be suspended, partitioned or
killed before or after it does so. A host sends an order only immediately after it has
written the lease record with a conditional write. Another host takes over the lease
only when the record has been unchanged for longer than an order of the holder can be in
transit, and it increments the fencing number.
"""

import enum

import attrs
import msgspec

__all__ = ["LeaseStep", "OrderLease", "OrderRecord", "decode_record", "encode_record"]

MAX_EPOCH = 2**53
"""Fencing number from which a stored record counts as invalid. Engines read it as JSON,
where larger numbers are not exact."""

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
        Fencing number, increased with each new holder.
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
    _last_version: int = -1
    _version_seen_at: float = 0.0

    def next_step(
        self, record: OrderRecord | None, version: int, now: float
    ) -> LeaseStep:
        """Return the next action, given the record that was just read."""
        if record is None:
            return LeaseStep.CREATE
        if version != self._last_version:
            self._last_version = version
            self._version_seen_at = now
        if record.holder == self.host:
            return LeaseStep.RENEW
        if now - self._version_seen_at >= self.takeover_after_s:
            return LeaseStep.TAKE_OVER
        return LeaseStep.WAIT

    def may_send(self, write_started_at: float, now: float) -> bool:
        """Return whether an order may still be sent after the lease write."""
        return now - write_started_at <= MAX_SEND_DELAY_S
