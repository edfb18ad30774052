"""Read and write one shard object of idempotency claims."""

import random
from collections.abc import Callable

import attrs
import msgspec
from result import Result

from sesameport.interfaces import PlatformError, PlatformErrorKind, StoredObject
from sesameport.requests.claim_entries import (
    ClaimConfig,
    ClaimEntry,
    ClaimOutcome,
    decode_entries,
    encode_entries,
    entry_size,
)
from sesameport.requests.retries import Backoff
from sesameport.world import Execution, Refusal, RefusalType

__all__ = [
    "Claim",
    "ClaimAnswered",
    "ClaimGranted",
    "ClaimOutput",
    "ClaimRefused",
    "CreateShard",
    "PendingClaim",
    "PendingFinish",
    "PendingRelease",
    "ReadShard",
    "Shard",
    "UpdateShard",
    "refuse_unavailable",
]


@attrs.frozen
class Claim:
    """Identify one claim of this host."""

    call_id: str
    shard: str
    digest: bytes
    nonce: str


@attrs.frozen
class ClaimGranted:
    """Say that the claim is stored and the call may be sent."""

    call_id: str
    claim: Claim


@attrs.frozen
class ClaimAnswered:
    """Say that the first call ended with this outcome."""

    call_id: str
    outcome: ClaimOutcome


@attrs.frozen
class ClaimRefused:
    """Say that the call must not be sent."""

    call_id: str
    refusal: Refusal


@attrs.frozen
class ReadShard:
    """Ask the platform for a shard object."""

    name: str


@attrs.frozen
class CreateShard:
    """Ask the platform to create a shard object if it is absent."""

    name: str
    value: bytes


@attrs.frozen
class UpdateShard:
    """Ask the platform to replace a shard object of a given version."""

    name: str
    value: bytes
    version: int


ClaimOutput = (
    ClaimGranted | ClaimAnswered | ClaimRefused | ReadShard | CreateShard | UpdateShard
)


@attrs.define(eq=False)
class PendingClaim:
    """Hold a claim that waits; ``maybe_written`` after a write of unknown effect."""

    claim: Claim
    entry: ClaimEntry
    give_up_at: float
    deadline: float
    maybe_written: bool = False


@attrs.define(eq=False)
class PendingFinish:
    """Hold an outcome that waits to be stored."""

    claim: Claim
    outcome: ClaimOutcome


@attrs.define(eq=False)
class PendingRelease:
    """Hold a claim that is to be removed.

    ``must_write`` forces a write even if the claim is not there: the new version
    makes a delayed write of the claim fail.
    """

    claim: Claim
    must_write: bool = False


_Pending = PendingClaim | PendingFinish | PendingRelease
# The repeat itself is not sent, but the order that it asks for may be taking effect.
_IN_PROGRESS = Refusal(
    RefusalType.IN_PROGRESS, Execution.MAY_HAVE_RUN, retry_after_s=1.0
)


def refuse_unavailable(call_id: str, detail: str) -> ClaimRefused:
    """Refuse a call whose claim cannot be stored; it did not run."""
    refusal = Refusal(RefusalType.CLAIM_UNAVAILABLE, Execution.NOT_RUN, detail, 1.0)
    return ClaimRefused(call_id, refusal)


@attrs.define
class Shard:
    """Hold the operations that wait for one shard object."""

    name: str
    cfg: ClaimConfig
    rng: random.Random
    is_gone: Callable[[str], bool]
    pending: list[_Pending] = attrs.field(factory=list)
    _entries: dict[bytes, ClaimEntry] | None = None
    _version: int = 0
    _size: int = 0
    _in_flight: str = ""
    _batch: list[tuple[_Pending, ClaimOutput | None]] = attrs.field(factory=list)
    _written: dict[bytes, ClaimEntry] = attrs.field(factory=dict)
    _releases: list[PendingRelease] = attrs.field(factory=list)
    _failures: int = 0
    _conflicts: int = 0
    _retry_at: float = 0.0

    def is_idle(self) -> bool:
        """Tell whether nothing waits and no platform call is in flight."""
        return not self.pending and not self._in_flight

    def add(self, op: _Pending, now: float, wall: float) -> list[ClaimOutput]:
        """Queue an operation."""
        self.pending.append(op)
        return self._next(now, wall)

    def read(
        self, found: Result[StoredObject, PlatformError], now: float, wall: float
    ) -> list[ClaimOutput]:
        """Take the object, its absence, or an error."""
        self._in_flight = ""
        if found.is_ok():
            stored = found.unwrap()
            try:
                self._entries = decode_entries(stored.value)
            except msgspec.DecodeError:
                return self._failed(now)
            self._version, self._size = stored.version, len(stored.value)
        elif found.unwrap_err().kind == PlatformErrorKind.NOT_FOUND:
            self._entries, self._version, self._size = {}, 0, 0
        else:
            return self._failed(now)
        self._failures = 0
        return self._next(now, wall)

    def written(
        self, found: Result[StoredObject, PlatformError], now: float, wall: float
    ) -> list[ClaimOutput]:
        """Take the outcome of the write in flight."""
        self._in_flight = ""
        batch, self._batch = self._batch, []
        if found.is_ok():
            stored = found.unwrap()
            self._entries, self._written = self._written, {}
            self._version, self._size = stored.version, len(stored.value)
            self._failures = self._conflicts = 0
            done = {id(op) for op, _ in batch}
            self.pending = [op for op in self.pending if id(op) not in done]
            out = [output for _, output in batch if output is not None]
            return out + self._next(now, wall)
        self._entries, self._written = None, {}
        kind = found.unwrap_err().kind
        if kind in (PlatformErrorKind.CONFLICT, PlatformErrorKind.EXISTS):
            # Read again: another host wrote, or an own write landed unseen.
            self._conflicts += 1
            if self._conflicts > 1:
                self._wait(self._conflicts - 2, now)
            return self._next(now, wall)
        if kind != PlatformErrorKind.UNAVAILABLE:
            for op, _ in batch:
                if isinstance(op, PendingClaim):
                    op.maybe_written = True
        return self._failed(now)

    def tick(self, now: float, wall: float) -> list[ClaimOutput]:
        """Give up claims whose time is over and retry what is due."""
        out: list[ClaimOutput] = []
        in_write = {id(op) for op, _ in self._batch}
        for op in list(self.pending):
            if not isinstance(op, PendingClaim) or id(op) in in_write:
                continue
            limit = op.deadline if op.maybe_written else op.give_up_at
            if now < limit:
                continue
            self.pending.remove(op)
            detail = "the platform did not store the claim in time"
            out.append(refuse_unavailable(op.claim.call_id, detail))
            if op.maybe_written:
                # The call was never sent, so its claim must not block a repeat.
                self.pending.append(PendingRelease(op.claim, must_write=True))
        return out + self._next(now, wall)

    def _failed(self, now: float) -> list[ClaimOutput]:
        self._entries = None
        self._wait(self._failures, now)
        self._failures += 1
        return []

    def _wait(self, tries: int, now: float) -> None:
        backoff = Backoff(self.cfg.retry_base_s, self.cfg.retry_cap_s)
        self._retry_at = now + backoff.delay(tries, self.rng)

    def _next(self, now: float, wall: float) -> list[ClaimOutput]:
        if self._in_flight or not self.pending or now < self._retry_at:
            return []
        if self._entries is None:
            self._in_flight = "read"
            return [ReadShard(self.name)]
        return self._apply(wall)

    def _apply(self, wall: float) -> list[ClaimOutput]:
        """Decide every waiting operation and write the changes together."""
        limit = wall - self.cfg.expiry_margin_s
        entries, size = {}, self._size
        for digest, entry in self._entries.items():
            if entry.expires_at > limit:
                entries[digest] = entry
            else:
                size -= entry_size(entry)
        out, kept, batch = [], [], []
        for op in self.pending:
            changed, output, grown = self._decide(op, entries, size)
            size += grown
            if changed:
                batch.append((op, output))
                kept.append(op)
            elif output is not None:
                out.append(output)
        self.pending, self._releases = kept + self._releases, []
        if not batch:
            # A later operation reads again, because others may write meanwhile.
            self._entries = None
            if self.pending:
                self._in_flight = "read"
                out.append(ReadShard(self.name))
            return out
        self._batch, self._written, self._in_flight = batch, entries, "write"
        value = encode_entries(entries)
        if self._version == 0:
            return [*out, CreateShard(self.name, value)]
        return [*out, UpdateShard(self.name, value, self._version)]

    def _decide(self, op: _Pending, entries: dict[bytes, ClaimEntry], size: int):
        """Return whether a write is needed, the output, and the growth in bytes."""
        match op:
            case PendingClaim():
                return self._decide_claim(op, entries, size)
            case PendingFinish(claim, outcome):
                return self._decide_finish(claim, outcome, entries, size)
            case PendingRelease(claim, must_write):
                entry = entries.get(claim.digest)
                if entry is None or entry.nonce != claim.nonce:
                    return must_write, None, 0
                del entries[claim.digest]
                return True, None, -entry_size(entry)

    def _decide_finish(self, claim: Claim, outcome: ClaimOutcome, entries, size: int):
        entry = entries.get(claim.digest)
        if entry is None or entry.nonce != claim.nonce or entry.outcome:
            return False, None, 0
        done = msgspec.structs.replace(entry, outcome=outcome)
        grown = entry_size(done) - entry_size(entry)
        if size + grown > self.cfg.max_object_bytes:
            small = ClaimOutcome(outcome.execution, outcome.status, truncated=True)
            done = msgspec.structs.replace(entry, outcome=small)
            grown = entry_size(done) - entry_size(entry)
        entries[claim.digest] = done
        return True, None, grown

    def _decide_claim(self, op: PendingClaim, entries, size: int):
        claim = op.claim
        entry = entries.get(claim.digest)
        if entry is None:
            grown = entry_size(op.entry)
            if size + grown > self.cfg.max_claim_bytes:
                return self._refuse_full(op)
            entries[claim.digest] = op.entry
            return True, ClaimGranted(claim.call_id, claim), grown
        if entry.nonce == claim.nonce:
            return False, ClaimGranted(claim.call_id, claim), 0
        if entry.body_digest != op.entry.body_digest:
            refusal = Refusal(RefusalType.KEY_REUSED)
            return False, ClaimRefused(claim.call_id, refusal), 0
        if entry.outcome is not None:
            return False, ClaimAnswered(claim.call_id, entry.outcome), 0
        if not self.is_gone(entry.owner):
            return False, ClaimRefused(claim.call_id, _IN_PROGRESS), 0
        detail = "the host of the first call is gone"
        refusal = Refusal(RefusalType.UPSTREAM_FAILED, Execution.MAY_HAVE_RUN, detail)
        return False, ClaimRefused(claim.call_id, refusal), 0

    def _refuse_full(self, op: PendingClaim):
        refused = refuse_unavailable(op.claim.call_id, "the claim store is full")
        if op.maybe_written:
            self._releases.append(PendingRelease(op.claim, must_write=True))
        return False, refused, 0
