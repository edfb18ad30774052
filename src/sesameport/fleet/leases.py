"""Decide when this host holds a lease that is stored in the platform.

A lease object holds the holder, the epoch (the fencing number), the duration and the
nonce of the last write. Only durations of one monotonic clock are compared. The module
does no I/O: `Lease.tick` returns a platform intent and `Lease.answered` takes its
answer.
"""

import enum
import random

import attrs
import msgspec
from result import Result

from sesameport.fleet.clocks import wait_out_s
from sesameport.fleet.platform_intents import (
    CreateObject,
    PlatformIntent,
    ReadObject,
    UpdateObject,
)
from sesameport.interfaces import PlatformError, PlatformErrorKind, StoredObject

__all__ = ["Lease", "LeaseRecord", "LeaseState", "decode_lease", "encode_lease"]

# Renewing at a third of the duration leaves two further tries before the lease lapses.
_RENEW_PART = 1.0 / 3.0
# A failed call is repeated after a random part of this period, so that hosts spread
# their calls after an outage.
_RETRY_S = 1.0


class LeaseState(enum.StrEnum):
    """Name what this host knows about its hold on a lease."""

    NOT_HELD = "not-held"
    WAITING = "waiting"
    ACQUIRING = "acquiring"
    HELD = "held"
    LOST = "lost"


@attrs.frozen
class LeaseRecord:
    """Hold the stored value of a lease object.

    Attributes
    ----------
    holder, incarnation : str
        Host process that wrote the record.
    epoch : int
        Fencing number; every acquisition raises it by 1.
    duration_s : float
        Duration that the holder counts from before its write was sent, seconds.
    nonce : str
        Random text by which the writer recognises its own write.
    released : bool
        Whether the holder gave the lease up.
    body : str
        Text that the holder keeps with the lease.
    """

    holder: str
    incarnation: str
    epoch: int
    duration_s: float
    nonce: str
    released: bool = False
    body: str = ""


def encode_lease(record: LeaseRecord) -> bytes:
    """Return the record as JSON."""
    return msgspec.json.encode(record)


def decode_lease(value: bytes) -> LeaseRecord | None:
    """Read a record from JSON; None when the value is not a lease record."""
    try:
        return msgspec.json.decode(value, type=LeaseRecord)
    except msgspec.DecodeError:
        return None


@attrs.define
class Lease:
    """Acquire, renew and release one lease.

    Call `tick` every second or more often, run the intent that it returns and pass the
    answer to `answered`. At most one intent is open at a time.

    Parameters
    ----------
    kind, name : str
        Object of the platform that stores the lease.
    holder, incarnation : str
        This host process.
    duration_s : float
        Lease duration, seconds.
    drift : float
        Largest relative error of one clock's rate.
    rng : random.Random
        Source of nonces and jitter.
    margin_s : float
        Time that a taker waits in addition, seconds.
    call_bound_s : float
        Time after which the answer to an intent is no longer awaited, seconds.
    poll_s : float
        Period at which a host that does not hold the lease reads it, seconds.
    """

    kind: str
    name: str
    holder: str
    incarnation: str
    duration_s: float
    drift: float
    rng: random.Random
    margin_s: float = 0.5
    call_bound_s: float = 5.0
    poll_s: float = 2.5
    state: LeaseState = LeaseState.NOT_HELD
    epoch: int = 0
    body: str = ""
    record: LeaseRecord | None = None
    _version: int = 0
    _seen_at: float = 0.0
    _held_until: float = 0.0
    _acquired_at: float = 0.0
    _renew_at: float = 0.0
    _next_call_at: float = 0.0
    _pending: PlatformIntent | None = None
    _pending_since: float = 0.0
    _call_id: int = 0
    _sent: dict[str, tuple[float, int]] = attrs.field(factory=dict)
    _must_read: bool = True
    _release: bool = False
    _release_body: str = ""

    def is_held(self, now: float) -> bool:
        """Tell whether this host holds the lease now."""
        return self.state == LeaseState.HELD and now < self._held_until

    def remaining_s(self, now: float) -> float:
        """Return how long the hold lasts without a renewal, seconds."""
        return self._held_until - now if self.is_held(now) else 0.0

    def current_holder(self) -> str:
        """Return the host that the last record names, or an empty string."""
        if self.record is None or self.record.released:
            return ""
        return self.record.holder

    def earlier_holders_stopped_at(self, call_bound_s: float) -> float | None:
        """Return when no call of an earlier holder can still take effect.

        Needed for servers that ignore fencing numbers. An earlier holder started its
        last call before its hold ended, and its hold ended before the write with which
        this host acquired the lease was sent.

        Parameters
        ----------
        call_bound_s : float
            Longest time from the check of the lease to the effect of a call, seconds.

        Returns
        -------
        float or None
            Time of this host's clock; None while the lease is not held.
        """
        if self.state != LeaseState.HELD:
            return None
        return self._acquired_at + wait_out_s(call_bound_s, self.drift, self.margin_s)

    def step_down(self) -> None:
        """Give up the hold at once without a write, for example after a pause."""
        if self.state in (LeaseState.HELD, LeaseState.ACQUIRING):
            self._lose()

    def release(self, now: float) -> None:
        """Give up the hold; the next `tick` writes that, with the present `body`."""
        if not self.is_held(now):
            return
        self._release = True
        self._release_body = self.body
        self.state = LeaseState.NOT_HELD
        self._held_until = 0.0
        # An open renewal must not bring the hold back.
        self._sent.clear()

    def tick(
        self, now: float, wanted: bool = True, urgent: bool = False
    ) -> PlatformIntent | None:
        """Return the platform call to make now, if any.

        Parameters
        ----------
        now : float
            Monotonic time, seconds.
        wanted : bool
            Whether this host is to acquire the lease if it does not hold it.
        urgent : bool
            Whether a holder is to write now, for example because `body` changed.
        """
        self._expire(now)
        if self._pending is not None:
            if now - self._pending_since < self.call_bound_s:
                return None
            self._pending = None
            self._must_read = True
        if self._release:
            return self._tick_release(now)
        if now < self._next_call_at:
            return None
        if self.state == LeaseState.HELD:
            return self._tick_held(now, urgent)
        if not wanted:
            return None
        if not self._must_read and self._can_take(now):
            self.state = LeaseState.ACQUIRING
            epoch = self.record.epoch + 1 if self.record is not None else 1
            return self._write(now, epoch, released=False)
        self._next_call_at = now + self.poll_s * self.rng.uniform(0.9, 1.1)
        return self._read(now)

    def answered(
        self,
        intent: PlatformIntent,
        answer: Result[StoredObject, PlatformError],
        now: float,
    ) -> None:
        """Take the answer to an intent; late answers to older intents are dropped."""
        if self._pending is None or intent.call_id != self._pending.call_id:
            return
        self._pending = None
        self._expire(now)
        if answer.is_ok():
            self._must_read = False
            self._observe(answer.unwrap(), now)
            return
        kind = answer.unwrap_err().kind
        if kind == PlatformErrorKind.NOT_FOUND:
            self._observe_missing(now)
            return
        if kind != PlatformErrorKind.UNAVAILABLE:
            self._must_read = True
        if self.state == LeaseState.ACQUIRING:
            self.state = LeaseState.WAITING
        if kind in (PlatformErrorKind.CONFLICT, PlatformErrorKind.EXISTS):
            self._next_call_at = now
        else:
            self._next_call_at = now + self.rng.uniform(0.0, _RETRY_S)

    def _expire(self, now: float) -> None:
        if self.state == LeaseState.HELD and now >= self._held_until:
            self._lose()

    def _lose(self) -> None:
        self.state = LeaseState.LOST
        self._held_until = 0.0
        self._must_read = True
        # A write that is still open must not bring back a hold that was given up.
        self._sent.clear()

    def _tick_release(self, now: float) -> PlatformIntent | None:
        self._release = False
        if self.record is None or self.record.incarnation != self.incarnation:
            return None
        self._must_read = True
        self.body = self._release_body
        return self._write(now, self.epoch, released=True)

    def _tick_held(self, now: float, urgent: bool) -> PlatformIntent | None:
        if self._must_read:
            return self._read(now)
        if now >= self._renew_at or urgent:
            return self._write(now, self.epoch, released=False)
        return None

    def _can_take(self, now: float) -> bool:
        if self.record is None or self.record.released:
            return True
        wait = wait_out_s(self.record.duration_s, self.drift, self.margin_s)
        return now >= self._seen_at + wait

    def _read(self, now: float) -> PlatformIntent:
        return self._start(ReadObject(self._next_id(), self.kind, self.name), now)

    def _write(self, now: float, epoch: int, released: bool) -> PlatformIntent:
        nonce = f"{self.rng.getrandbits(64):016x}"
        if not released:
            self._sent[nonce] = (now, epoch)
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
        if self._version == 0:
            return self._start(
                CreateObject(self._next_id(), self.kind, self.name, value), now
            )
        return self._start(
            UpdateObject(self._next_id(), self.kind, self.name, value, self._version),
            now,
        )

    def _start(self, intent: PlatformIntent, now: float) -> PlatformIntent:
        self._pending = intent
        self._pending_since = now
        return intent

    def _next_id(self) -> int:
        self._call_id += 1
        return self._call_id

    def _observe(self, stored: StoredObject, now: float) -> None:
        if stored.deleted:
            self._observe_missing(now)
            return
        if stored.version < self._version:
            return
        if stored.version != self._version:
            self._version = stored.version
            self._seen_at = now
            self.record = decode_lease(stored.value)
        if self.record is None:
            # A value that is no lease record is waited out like a record.
            self.record = LeaseRecord("", "", self.epoch, self.duration_s, "")
        if self.record.nonce in self._sent:
            self._confirm(now)
            return
        self._held_until = 0.0
        self._sent.clear()
        self.state = LeaseState.WAITING
        self.body = self.record.body
        if self._can_take(now):
            self._next_call_at = now

    def _confirm(self, now: float) -> None:
        sent_at, epoch = self._sent[self.record.nonce]
        self._sent = {self.record.nonce: (sent_at, epoch)}
        if now >= sent_at + self.duration_s:
            self._lose()
            return
        if self.state != LeaseState.HELD:
            self._acquired_at = sent_at
        self.state = LeaseState.HELD
        self.epoch = epoch
        self._held_until = sent_at + self.duration_s
        self._renew_at = sent_at + self.duration_s * _RENEW_PART

    def _observe_missing(self, now: float) -> None:
        self._must_read = False
        self._held_until = 0.0
        self._sent.clear()
        self.state = LeaseState.WAITING
        if self._version != 0:
            # The object was removed: wait as for a new record and keep the epoch.
            self._version = 0
            self._seen_at = now
        if self._can_take(now):
            self._next_call_at = now
