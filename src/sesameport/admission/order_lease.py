"""Decide when this host may give orders to backend servers.

Load: hosts that are paused, cut off or killed around an order, and several hosts that
want to give one. An order is sent only right after this host has written the lease
record under a condition. Another host takes the lease over only after the record has
stood unchanged for so long that no order of the holder can still be on its way, and
raises the fencing number.
"""

import enum

import attrs
import msgspec

__all__ = ["LeaseStep", "OrderLease", "OrderRecord", "decode_record", "encode_record"]

SEND_WITHIN_S = 1.0
"""Time after the start of the write within which an order may be sent, seconds."""


class LeaseStep(enum.StrEnum):
    """Name what a host does next about the lease."""

    CREATE = "create"
    RENEW = "renew"
    TAKE_OVER = "take-over"
    WAIT = "wait"


@attrs.frozen
class OrderRecord:
    """Hold the stored lease and the last order that was given under it.

    Attributes
    ----------
    holder : str
        Host that may give orders.
    epoch : int
        Fencing number; rises with each new holder.
    server, role : str
        Last order; empty before the first.
    ordered_at : float
        Time of day of the last order, Unix seconds. It only spaces orders, so that a
        wrong clock does no harm beyond a delay.
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
    """Read a record; None when the value is none."""
    try:
        return msgspec.json.decode(value, type=OrderRecord)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None


@attrs.define
class OrderLease:
    """Judge the stored record by how long it has stood unchanged.

    Times are of a clock that goes on while the machine is suspended.

    Parameters
    ----------
    host : str
        This host.
    quiet_s : float
        Time for which another holder's record must not change before it is taken over,
        seconds. It exceeds the time that an order may be on its way.
    """

    host: str
    quiet_s: float
    _version: int = -1
    _seen_at: float = 0.0

    def next_step(
        self, record: OrderRecord | None, version: int, now: float
    ) -> LeaseStep:
        """Return what to do about the record that was just read."""
        if record is None:
            return LeaseStep.CREATE
        if version != self._version:
            self._version = version
            self._seen_at = now
        if record.holder == self.host:
            return LeaseStep.RENEW
        if now - self._seen_at >= self.quiet_s:
            return LeaseStep.TAKE_OVER
        return LeaseStep.WAIT

    def may_send(self, write_started_at: float, now: float) -> bool:
        """Tell whether an order may still be sent after the record was written."""
        return now - write_started_at <= SEND_WITHIN_S
