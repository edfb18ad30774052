"""Read and write one shard object of idempotency claims."""

import random
from collections.abc import Callable

import attrs
import msgspec
from result import Result

from sesameport.domain import Execution, Refusal, RefusalType
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

__all__ = [
    "Claim",
    "ClaimCompleted",
    "ClaimGranted",
    "ClaimOutput",
    "ClaimRefused",
    "ClaimShard",
    "CreateShard",
    "PendingClaim",
    "PendingFinish",
    "PendingRelease",
    "ReadShard",
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
    """Report that the claim is stored, so the call may be sent."""

    call_id: str
    claim: Claim


@attrs.frozen
class ClaimCompleted:
    """Report the outcome of an earlier call with the same key."""

    call_id: str
    outcome: ClaimOutcome


@attrs.frozen
class ClaimRefused:
    """Report that the call must not be sent."""

    call_id: str
    refusal: Refusal


@attrs.frozen
class ReadShard:
    """Read a shard object from the platform."""

    name: str


@attrs.frozen
class CreateShard:
    """Create a shard object on the platform if it does not exist."""

    name: str
    value: bytes


@attrs.frozen
class UpdateShard:
    """Replace a shard object on the platform if it has the given version."""

    name: str
    value: bytes
    version: int


ClaimOutput = (
    ClaimGranted | ClaimCompleted | ClaimRefused | ReadShard | CreateShard | UpdateShard
)


@attrs.define(eq=False)
class PendingClaim:
    """Represent a claim that waits to be stored.

    ``may_be_written`` is True after a write whose result is unknown.
    """

    claim: Claim
    entry: ClaimEntry
    refuse_at: float
    deadline: float
    may_be_written: bool = False


@attrs.define(eq=False)
class PendingFinish:
    """Represent an outcome that waits to be stored."""

    claim: Claim
    outcome: ClaimOutcome


@attrs.define(eq=False)
class PendingRelease:
    """Represent a claim that waits to be removed.

    ``must_write`` forces a write even if the object does not contain the claim. The new
    version makes a delayed write of the claim fail.
    """

    claim: Claim
    must_write: bool = False


_Operation = PendingClaim | PendingFinish | PendingRelease
_IN_PROGRESS = Refusal(
    RefusalType.IN_PROGRESS, Execution.MAY_HAVE_RUN, retry_after_s=1.0
)
"""The repeated call is not sent, but the first call with its key may be running."""


def refuse_unavailable(call_id: str, detail: str) -> ClaimRefused:
    """Return the refusal of a call that was not sent, as its claim is not stored."""
    refusal = Refusal(RefusalType.CLAIM_UNAVAILABLE, Execution.NOT_RUN, detail, 1.0)
    return ClaimRefused(call_id, refusal)


@attrs.define
class ClaimShard:
    """Queue the operations on one shard object and write them in batches."""

    name: str
    cfg: ClaimConfig
    rng: random.Random
    has_owner_ended: Callable[[str], bool]
    pending: list[_Operation] = attrs.field(factory=list)
    _entries: dict[bytes, ClaimEntry] | None = None
    _version: int = 0
    _size_bytes: int = 0
    _call_in_flight: str = ""
    _batch: list[tuple[_Operation, ClaimOutput | None]] = attrs.field(factory=list)
    _written_entries: dict[bytes, ClaimEntry] = attrs.field(factory=dict)
    _new_releases: list[PendingRelease] = attrs.field(factory=list)
    _failures: int = 0
    _conflicts: int = 0
    _retry_at: float = 0.0

    def is_idle(self) -> bool:
        """Return whether no operation waits and no platform call is in flight."""
        return not self.pending and not self._call_in_flight

    def add(
        self, operation: _Operation, now: float, wall_time: float
    ) -> list[ClaimOutput]:
        """Queue an operation."""
        self.pending.append(operation)
        return self._next_outputs(now, wall_time)

    def handle_read(
        self, result: Result[StoredObject, PlatformError], now: float, wall_time: float
    ) -> list[ClaimOutput]:
        """Handle the result of a read: the object, its absence, or an error."""
        self._call_in_flight = ""
        if result.is_ok():
            stored = result.unwrap()
            try:
                self._entries = decode_entries(stored.value)
            except msgspec.DecodeError:
                return self._schedule_retry(now)
            self._version, self._size_bytes = stored.version, len(stored.value)
        elif result.unwrap_err().kind == PlatformErrorKind.NOT_FOUND:
            self._entries, self._version, self._size_bytes = {}, 0, 0
        else:
            return self._schedule_retry(now)
        self._failures = 0
        return self._next_outputs(now, wall_time)

    def handle_write(
        self, result: Result[StoredObject, PlatformError], now: float, wall_time: float
    ) -> list[ClaimOutput]:
        """Handle the result of the write in flight."""
        self._call_in_flight = ""
        batch, self._batch = self._batch, []
        if result.is_ok():
            stored = result.unwrap()
            self._entries, self._written_entries = self._written_entries, {}
            self._version, self._size_bytes = stored.version, len(stored.value)
            self._failures = self._conflicts = 0
            done = {id(operation) for operation, _ in batch}
            self.pending = [
                operation for operation in self.pending if id(operation) not in done
            ]
            outputs = [output for _, output in batch if output is not None]
            return outputs + self._next_outputs(now, wall_time)
        self._entries, self._written_entries = None, {}
        kind = result.unwrap_err().kind
        if kind in (PlatformErrorKind.CONFLICT, PlatformErrorKind.EXISTS):
            # Read the object again: another host changed it, or an earlier write of
            # this host took effect although its result was lost.
            self._conflicts += 1
            if self._conflicts > 1:
                self._back_off(self._conflicts - 2, now)
            return self._next_outputs(now, wall_time)
        if kind != PlatformErrorKind.UNAVAILABLE:
            for operation, _ in batch:
                if isinstance(operation, PendingClaim):
                    operation.may_be_written = True
        return self._schedule_retry(now)

    def tick(self, now: float, wall_time: float) -> list[ClaimOutput]:
        """Refuse claims that waited too long and retry platform calls that are due."""
        outputs: list[ClaimOutput] = []
        in_write = {id(operation) for operation, _ in self._batch}
        for operation in list(self.pending):
            if not isinstance(operation, PendingClaim) or id(operation) in in_write:
                continue
            limit = (
                operation.deadline if operation.may_be_written else operation.refuse_at
            )
            if now < limit:
                continue
            self.pending.remove(operation)
            detail = "the platform did not store the claim in time"
            outputs.append(refuse_unavailable(operation.claim.call_id, detail))
            if operation.may_be_written:
                # The call was never sent, so its claim must not block a repeated call.
                self.pending.append(PendingRelease(operation.claim, must_write=True))
        return outputs + self._next_outputs(now, wall_time)

    def _schedule_retry(self, now: float) -> list[ClaimOutput]:
        self._entries = None
        self._back_off(self._failures, now)
        self._failures += 1
        return []

    def _back_off(self, retries: int, now: float) -> None:
        backoff = Backoff(self.cfg.retry_base_s, self.cfg.retry_cap_s)
        self._retry_at = now + backoff.delay(retries, self.rng)

    def _next_outputs(self, now: float, wall_time: float) -> list[ClaimOutput]:
        if self._call_in_flight or not self.pending or now < self._retry_at:
            return []
        if self._entries is None:
            self._call_in_flight = "read"
            return [ReadShard(self.name)]
        return self._apply_pending(wall_time)

    def _apply_pending(self, wall_time: float) -> list[ClaimOutput]:
        """Decide all waiting operations and write their changes in one call."""
        limit = wall_time - self.cfg.expiry_margin_s
        entries, size_bytes = {}, self._size_bytes
        for digest, entry in self._entries.items():
            if entry.expires_at > limit:
                entries[digest] = entry
            else:
                size_bytes -= entry_size(entry)
        outputs, remaining, batch = [], [], []
        for operation in self.pending:
            needs_write, output, growth_bytes = self._decide(
                operation, entries, size_bytes
            )
            size_bytes += growth_bytes
            if needs_write:
                batch.append((operation, output))
                remaining.append(operation)
            elif output is not None:
                outputs.append(output)
        self.pending, self._new_releases = remaining + self._new_releases, []
        if not batch:
            # The next operation reads the object again, because other hosts may write
            # it in the meantime.
            self._entries = None
            if self.pending:
                self._call_in_flight = "read"
                outputs.append(ReadShard(self.name))
            return outputs
        self._batch, self._written_entries, self._call_in_flight = (
            batch,
            entries,
            "write",
        )
        value = encode_entries(entries)
        if self._version == 0:
            return [*outputs, CreateShard(self.name, value)]
        return [*outputs, UpdateShard(self.name, value, self._version)]

    def _decide(
        self,
        operation: _Operation,
        entries: dict[bytes, ClaimEntry],
        size_bytes: int,
    ):
        """Apply an operation to the entries.

        Return whether a write is needed, the output or None, and the growth in bytes.
        """
        match operation:
            case PendingClaim():
                return self._decide_claim(operation, entries, size_bytes)
            case PendingFinish(claim, outcome):
                return self._decide_finish(claim, outcome, entries, size_bytes)
            case PendingRelease(claim, must_write):
                entry = entries.get(claim.digest)
                if entry is None or entry.nonce != claim.nonce:
                    return must_write, None, 0
                del entries[claim.digest]
                return True, None, -entry_size(entry)

    def _decide_finish(
        self, claim: Claim, outcome: ClaimOutcome, entries, size_bytes: int
    ):
        entry = entries.get(claim.digest)
        if entry is None or entry.nonce != claim.nonce or entry.outcome:
            return False, None, 0
        finished = msgspec.structs.replace(entry, outcome=outcome)
        growth_bytes = entry_size(finished) - entry_size(entry)
        if size_bytes + growth_bytes > self.cfg.max_object_bytes:
            truncated = ClaimOutcome(outcome.execution, outcome.status, truncated=True)
            finished = msgspec.structs.replace(entry, outcome=truncated)
            growth_bytes = entry_size(finished) - entry_size(entry)
        entries[claim.digest] = finished
        return True, None, growth_bytes

    def _decide_claim(self, operation: PendingClaim, entries, size_bytes: int):
        claim = operation.claim
        entry = entries.get(claim.digest)
        if entry is None:
            growth_bytes = entry_size(operation.entry)
            if size_bytes + growth_bytes > self.cfg.max_claim_bytes:
                return self._refuse_full(operation)
            entries[claim.digest] = operation.entry
            return True, ClaimGranted(claim.call_id, claim), growth_bytes
        if entry.nonce == claim.nonce:
            return False, ClaimGranted(claim.call_id, claim), 0
        if entry.body_digest != operation.entry.body_digest:
            refusal = Refusal(RefusalType.KEY_REUSED)
            return False, ClaimRefused(claim.call_id, refusal), 0
        if entry.outcome is not None:
            return False, ClaimCompleted(claim.call_id, entry.outcome), 0
        if not self.has_owner_ended(entry.owner):
            return False, ClaimRefused(claim.call_id, _IN_PROGRESS), 0
        detail = "the host of the first call is gone"
        refusal = Refusal(RefusalType.UPSTREAM_FAILED, Execution.MAY_HAVE_RUN, detail)
        return False, ClaimRefused(claim.call_id, refusal), 0

    def _refuse_full(self, operation: PendingClaim):
        claim_refused = refuse_unavailable(
            operation.claim.call_id, "the claim store is full"
        )
        if operation.may_be_written:
            self._new_releases.append(PendingRelease(operation.claim, must_write=True))
        return False, claim_refused, 0
