"""Claim Idempotency-Keys on the platform, so that each call runs at most once.

This module does no I/O. It takes claim requests and platform results, and returns
platform operations and decisions for the callers. All claims that wait for the same
shard object are written together, with at most one platform call in flight per shard.
"""

import random
from collections.abc import Callable

import attrs
from result import Result

from sesameport.interfaces import PlatformError, StoredObject
from sesameport.requests.claim_entries import (
    ClaimConfig,
    ClaimEntry,
    ClaimOutcome,
    claim_digest,
    shard_name,
)
from sesameport.requests.claim_shards import (
    Claim,
    ClaimOutput,
    ClaimShard,
    PendingClaim,
    PendingFinish,
    PendingRelease,
    refuse_unavailable,
)

__all__ = ["ClaimRequest", "ClaimManager"]


@attrs.frozen
class ClaimRequest:
    """Request a claim on the key of one call.

    Attributes
    ----------
    call_id : str
        Id of the call, unique in the process.
    service, workspace, key : str
        Scope of the key.
    body_digest : bytes
        Digest of method, path and body. A repeated call must have the same digest.
    deadline : float
        Monotonic time until which the caller waits, seconds.
    """

    call_id: str
    service: str
    workspace: str
    key: str
    body_digest: bytes
    deadline: float


@attrs.define
class ClaimManager:
    """Manage the claims of one host that wait for the platform.

    Parameters
    ----------
    owner : str
        ``<host>.<incarnation>`` of this process.
    rng : random.Random
        Source of nonces and jitter.
    has_owner_ended : callable
        Returns whether the process of an owner has certainly ended.
    cfg : ClaimConfig
        Limits.
    """

    owner: str
    rng: random.Random
    has_owner_ended: Callable[[str], bool]
    cfg: ClaimConfig = ClaimConfig()
    _shards: dict[str, ClaimShard] = attrs.field(factory=dict)

    def claim(
        self, request: ClaimRequest, now: float, wall_time: float
    ) -> list[ClaimOutput]:
        """Queue a claim; ``wall_time`` is the wall-clock time in seconds."""
        digest = claim_digest(request.workspace, request.key)
        name = shard_name(request.service, digest, self.cfg.shards)
        shard = self._shard(name)
        if len(shard.pending) >= self.cfg.max_pending:
            return [refuse_unavailable(request.call_id, "too many operations wait")]
        nonce = f"{self.rng.getrandbits(96):024x}"
        entry = ClaimEntry(
            request.body_digest, self.owner, nonce, wall_time + self.cfg.lifetime_s
        )
        refuse_at = min(request.deadline, now + self.cfg.max_wait_s)
        claim = Claim(request.call_id, name, digest, nonce)
        operation = PendingClaim(claim, entry, refuse_at, request.deadline)
        return self._remove_if_idle(shard, shard.add(operation, now, wall_time))

    def finish(
        self, claim: Claim, outcome: ClaimOutcome, now: float, wall_time: float
    ) -> list[ClaimOutput]:
        """Store the outcome of a granted call, with retries until it is stored."""
        if len(outcome.body) > self.cfg.max_body_bytes:
            outcome = ClaimOutcome(outcome.execution, outcome.status, truncated=True)
        shard = self._shard(claim.shard)
        return self._remove_if_idle(
            shard, shard.add(PendingFinish(claim, outcome), now, wall_time)
        )

    def release(self, claim: Claim, now: float, wall_time: float) -> list[ClaimOutput]:
        """Remove the claim of a call that certainly did not run."""
        shard = self._shard(claim.shard)
        return self._remove_if_idle(
            shard, shard.add(PendingRelease(claim), now, wall_time)
        )

    def handle_shard_read(
        self,
        name: str,
        result: Result[StoredObject, PlatformError],
        now: float,
        wall_time: float,
    ) -> list[ClaimOutput]:
        """Handle the platform's result of ``ReadShard``."""
        shard = self._shard(name)
        return self._remove_if_idle(shard, shard.handle_read(result, now, wall_time))

    def handle_shard_written(
        self,
        name: str,
        result: Result[StoredObject, PlatformError],
        now: float,
        wall_time: float,
    ) -> list[ClaimOutput]:
        """Handle the platform's result of ``CreateShard`` or ``UpdateShard``."""
        shard = self._shard(name)
        return self._remove_if_idle(shard, shard.handle_write(result, now, wall_time))

    def tick(self, now: float, wall_time: float) -> list[ClaimOutput]:
        """Retry platform calls that are due and refuse claims that waited too long."""
        outputs: list[ClaimOutput] = []
        for shard in list(self._shards.values()):
            outputs += self._remove_if_idle(shard, shard.tick(now, wall_time))
        return outputs

    def pending_count(self) -> int:
        """Return the number of operations that wait for the platform."""
        return sum(len(shard.pending) for shard in self._shards.values())

    def _shard(self, name: str) -> ClaimShard:
        if name not in self._shards:
            self._shards[name] = ClaimShard(
                name, self.cfg, self.rng, self.has_owner_ended
            )
        return self._shards[name]

    def _remove_if_idle(
        self, shard: ClaimShard, outputs: list[ClaimOutput]
    ) -> list[ClaimOutput]:
        if shard.is_idle():
            # An idle shard is not kept in memory, as its object may be close to 1 MB.
            self._shards.pop(shard.name, None)
        return outputs
