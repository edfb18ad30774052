"""Decide when this host holds a lease that the platform stores.

A lease object stores the holder, the epoch (the fencing number), the duration and the
nonce of the last write. Hosts compare durations on their own monotonic clock and never
compare clock readings of different hosts.
The module does no I/O: `Lease.tick` returns a platform intent and
`Lease.handle_result` handles its result.
"""

import enum
import random

import attrs
import msgspec
from result import Result

from sesameport.fleet.clock_drift import safe_wait_s
from sesameport.fleet.platform_intents import (
    CreateObject,
    PlatformIntent,
    ReadObject,
    UpdateObject,
)
from sesameport.interfaces import PlatformError, PlatformErrorKind, StoredObject

__all__ = ["Lease", "LeaseRecord", "LeaseState", "decode_lease", "encode_lease"]

_RENEW_FRACTION = 1.0 / 3.0
"""A renewal at a third of the duration leaves time for two retries before the lease
expires."""

_MAX_RETRY_DELAY_S = 1.0
"""Upper bound of the random delay before a failed call is retried. The jitter spreads
the calls of all hosts after an outage."""


class LeaseState(enum.StrEnum):
    """Enumerate the states of a lease as this host sees it."""

    NOT_HELD = "not-held"
    WAITING = "waiting"
    ACQUIRING = "acquiring"
    HELD = "held"
    LOST = "lost"


@attrs.frozen
class LeaseRecord:
    """Represent the stored value of a lease object.

    Attributes
    ----------
    holder, incarnation : str
        Host process that wrote the record.
    epoch : int
        Fencing number; every acquisition increments it.
    duration_s : float
        Duration that the holder counts from before its write was sent, seconds.
    nonce : str
        Random text by which the writer recognises its own write after a lost answer.
    released : bool
        Whether the holder released the lease.
    body : str
        Text that the holder stores with the lease.
    """

    holder: str
    incarnation: str
    epoch: int
    duration_s: float
    nonce: str
    released: bool = False
    body: str = ""


def encode_lease(record: LeaseRecord) -> bytes:
    """Return the record encoded as JSON."""
    return msgspec.json.encode(record)


def decode_lease(value: bytes) -> LeaseRecord | None:
    """Return the record decoded from JSON, or None if it is not a lease record."""
    try:
        return msgspec.json.decode(value, type=LeaseRecord)
    except msgspec.DecodeError:
        return None


@attrs.define
class Lease:
    """Acquire, renew and release one lease.

    Call `tick` at least once per second, run the intent that it returns and pass the
    result to `handle_result`. At most one intent is pending at a time.

    Parameters
    ----------
    kind, name : str
        Platform object that stores the lease.
    holder, incarnation : str
        This host process.
    duration_s : float
        Lease duration, seconds.
    drift : float
        Largest relative error of one clock's rate.
    rng : random.Random
        Source of nonces and jitter.
    margin_s : float
        Extra time that a host waits before it acquires an expired lease, seconds.
    call_timeout_s : float
        Time after which the result of an intent is no longer awaited, seconds.
    poll_s : float
        Period at which a host without the lease reads it, seconds.
    """

    kind: str
    name: str
    holder: str
    incarnation: str
    duration_s: float
    drift: float
    rng: random.Random
    margin_s: float = 0.5
    call_timeout_s: float = 5.0
    poll_s: float = 2.5
    state: LeaseState = LeaseState.NOT_HELD
    epoch: int = 0
    body: str = ""
    record: LeaseRecord | None = None
    _stored_version: int = 0
    _version_seen_at: float = 0.0
    _held_until: float = 0.0
    _acquired_at: float = 0.0
    _renew_at: float = 0.0
    _next_call_at: float = 0.0
    _pending: PlatformIntent | None = None
    _pending_since: float = 0.0
    _last_call_id: int = 0
    _unconfirmed_writes: dict[str, tuple[float, int]] = attrs.field(factory=dict)
    _needs_read: bool = True
    _release_pending: bool = False
    _release_body: str = ""

    def held_for_s(self, now: float) -> float:
        """Return the time until the lease expires unless it is renewed, seconds.

        Does not check the state; see `is_held`.
        """
        return max(0.0, self._held_until - now)

    def is_held(self, now: float) -> bool:
        """Return whether this host holds the lease now."""
        return self.state == LeaseState.HELD and now < self._held_until

    def remaining_s(self, now: float) -> float:
        """Return the time until a held lease expires, seconds; 0 if it is not held."""
        return self._held_until - now if self.is_held(now) else 0.0

    def current_holder(self) -> str:
        """Return the host that the last record names, or an empty string."""
        if self.record is None or self.record.released:
            return ""
        return self.record.holder

    def earlier_holders_stopped_at(self, max_call_s: float) -> float | None:
        """Return when no call of an earlier holder can still take effect.

        Servers that ignore fencing numbers need this wait. An earlier holder started
        its last call before its lease expired, and that lease had expired before this
        host sent the write that acquired it.

        Parameters
        ----------
        max_call_s : float
            Longest time from the check of the lease to the effect of a call, seconds.

        Returns
        -------
        float or None
            Time of this host's clock; None while the lease is not held.
        """
        if self.state != LeaseState.HELD:
            return None
        return self._acquired_at + safe_wait_s(max_call_s, self.drift, self.margin_s)

    def step_down(self) -> None:
        """Give up the lease at once without a write, for example after a pause."""
        if self.state in (LeaseState.HELD, LeaseState.ACQUIRING):
            self._mark_lost()

    def release(self, now: float) -> None:
        """Give up the lease; the next `tick` writes the release and the latest body."""
        if not self.is_held(now):
            return
        self._release_pending = True
        self._release_body = self.body
        self.state = LeaseState.NOT_HELD
        self._held_until = 0.0
        # The result of a pending renewal must not make this host the holder again.
        self._unconfirmed_writes.clear()

    def tick(
        self, now: float, should_acquire: bool = True, write_now: bool = False
    ) -> PlatformIntent | None:
        """Return the platform call to make now, if any.

        Parameters
        ----------
        now : float
            Monotonic time, seconds.
        should_acquire : bool
            Whether this host should acquire the lease if it does not hold it.
        write_now : bool
            Whether a holder should write at once, for example because `body` changed.
        """
        self._expire(now)
        if self._pending is not None:
            if now - self._pending_since < self.call_timeout_s:
                return None
            self._pending = None
            self._needs_read = True
        if self._release_pending:
            return self._write_release(now)
        if now < self._next_call_at:
            return None
        if self.state == LeaseState.HELD:
            return self._renew_if_due(now, write_now)
        if not should_acquire:
            return None
        if not self._needs_read and self._may_acquire(now):
            self.state = LeaseState.ACQUIRING
            epoch = self.record.epoch + 1 if self.record is not None else 1
            return self._write(now, epoch, released=False)
        self._next_call_at = now + self.poll_s * self.rng.uniform(0.9, 1.1)
        return self._read(now)

    def handle_result(
        self,
        intent: PlatformIntent,
        result: Result[StoredObject, PlatformError],
        now: float,
    ) -> None:
        """Handle the result of an intent; results of older intents are ignored."""
        if self._pending is None or intent.call_id != self._pending.call_id:
            return
        self._pending = None
        self._expire(now)
        if result.is_ok():
            self._needs_read = False
            self._handle_object(result.unwrap(), now)
            return
        kind = result.unwrap_err().kind
        if kind == PlatformErrorKind.NOT_FOUND:
            self._handle_missing(now)
            return
        if kind != PlatformErrorKind.UNAVAILABLE:
            self._needs_read = True
        if self.state == LeaseState.ACQUIRING:
            self.state = LeaseState.WAITING
        if kind in (PlatformErrorKind.CONFLICT, PlatformErrorKind.EXISTS):
            self._next_call_at = now
        else:
            self._next_call_at = now + self.rng.uniform(0.0, _MAX_RETRY_DELAY_S)

    def _expire(self, now: float) -> None:
        if self.state == LeaseState.HELD and now >= self._held_until:
            self._mark_lost()

    def _mark_lost(self) -> None:
        self.state = LeaseState.LOST
        self._held_until = 0.0
        self._needs_read = True
        # The result of a pending write must not make this host the holder again.
        self._unconfirmed_writes.clear()

    def _write_release(self, now: float) -> PlatformIntent | None:
        self._release_pending = False
        if self.record is None or self.record.incarnation != self.incarnation:
            return None
        self._needs_read = True
        self.body = self._release_body
        return self._write(now, self.epoch, released=True)

    def _renew_if_due(self, now: float, write_now: bool) -> PlatformIntent | None:
        if self._needs_read:
            return self._read(now)
        if now >= self._renew_at or write_now:
            return self._write(now, self.epoch, released=False)
        return None

    def _may_acquire(self, now: float) -> bool:
        if self.record is None or self.record.released:
            return True
        wait = safe_wait_s(self.record.duration_s, self.drift, self.margin_s)
        return now >= self._version_seen_at + wait

    def _read(self, now: float) -> PlatformIntent:
        return self._set_pending(
            ReadObject(self._new_call_id(), self.kind, self.name), now
        )

    def _write(self, now: float, epoch: int, released: bool) -> PlatformIntent:
        nonce = f"{self.rng.getrandbits(64):016x}"
        if not released:
            self._unconfirmed_writes[nonce] = (now, epoch)
        record = LeaseRecord(
            holder=self.holder,
            incarnation=self.incarnation,
            epoch=epoch,
            duration_s=self.duration_s,
            nonce=nonce,
            released=released,
            body=self.body,
        )
        value = encode_lease(record)
        if self._stored_version == 0:
            return self._set_pending(
                CreateObject(self._new_call_id(), self.kind, self.name, value), now
            )
        return self._set_pending(
            UpdateObject(
                self._new_call_id(), self.kind, self.name, value, self._stored_version
            ),
            now,
        )

    def _set_pending(self, intent: PlatformIntent, now: float) -> PlatformIntent:
        self._pending = intent
        self._pending_since = now
        return intent

    def _new_call_id(self) -> int:
        self._last_call_id += 1
        return self._last_call_id

    def _handle_object(self, stored: StoredObject, now: float) -> None:
        if stored.deleted:
            self._handle_missing(now)
            return
        if stored.version < self._stored_version:
            return
        if stored.version != self._stored_version:
            self._stored_version = stored.version
            self._version_seen_at = now
            self.record = decode_lease(stored.value)
        if self.record is None:
            # An unreadable value counts as the record of an unknown holder. It blocks
            # the lease for `duration_s`.
            self.record = LeaseRecord("", "", self.epoch, self.duration_s, "")
        if self.record.nonce in self._unconfirmed_writes:
            self._confirm_write(now)
            return
        self._held_until = 0.0
        self._unconfirmed_writes.clear()
        self.state = LeaseState.WAITING
        self.body = self.record.body
        if self._may_acquire(now):
            self._next_call_at = now

    def _confirm_write(self, now: float) -> None:
        sent_at, epoch = self._unconfirmed_writes[self.record.nonce]
        self._unconfirmed_writes = {self.record.nonce: (sent_at, epoch)}
        if now >= sent_at + self.duration_s:
            self._mark_lost()
            return
        if self.state != LeaseState.HELD:
            self._acquired_at = sent_at
        self.state = LeaseState.HELD
        self.epoch = epoch
        self._held_until = sent_at + self.duration_s
        self._renew_at = sent_at + self.duration_s * _RENEW_FRACTION

    def _handle_missing(self, now: float) -> None:
        self._needs_read = False
        self._held_until = 0.0
        self._unconfirmed_writes.clear()
        self.state = LeaseState.WAITING
        if self._stored_version != 0:
            # The object was deleted. This host waits as for a new record and keeps
            # the epoch of the last one.
            self._stored_version = 0
            self._version_seen_at = now
        if self._may_acquire(now):
            self._next_call_at = now
