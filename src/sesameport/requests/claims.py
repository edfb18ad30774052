"""Claim Idempotency-Keys in the platform, so that a call runs at most once.

The claims are pure: callers' questions and the platform's answers go in, intents for
the platform and decisions for the callers come out. All claims that wait for one
shard object are written together, with one platform call in flight per shard.
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
    PendingClaim,
    PendingFinish,
    PendingRelease,
    Shard,
    refuse_unavailable,
)

__all__ = ["ClaimAsk", "Claims"]


@attrs.frozen
class ClaimAsk:
    """Ask to claim the key of one call.

    Attributes
    ----------
    call_id : str
        Id of the call, unique in the process.
    service, workspace, key : str
        Scope of the key.
    body_digest : bytes
        Digest of method, path and body. A repeat must have the same.
    deadline : float
        Monotonic time after which the caller no longer waits, seconds.
    """

    call_id: str
    service: str
    workspace: str
    key: str
    body_digest: bytes
    deadline: float


@attrs.define
class Claims:
    """Hold the claims of one host that wait for the platform.

    Parameters
    ----------
    owner : str
        ``<host>.<incarnation>`` of this process.
    rng : random.Random
        Source of nonces and jitter.
    is_gone : callable
        Tells whether an owner is gone for sure.
    cfg : ClaimConfig
        Bounds.
    """

    owner: str
    rng: random.Random
    is_gone: Callable[[str], bool]
    cfg: ClaimConfig = ClaimConfig()
    _shards: dict[str, Shard] = attrs.field(factory=dict)

    def ask(self, ask: ClaimAsk, now: float, wall: float) -> list[ClaimOutput]:
        """Queue a claim; ``wall`` is the wall-clock time in seconds."""
        digest = claim_digest(ask.workspace, ask.key)
        name = shard_name(ask.service, digest, self.cfg.shards)
        shard = self._shard(name)
        if len(shard.pending) >= self.cfg.max_pending:
            return [refuse_unavailable(ask.call_id, "too many operations wait")]
        nonce = f"{self.rng.getrandbits(96):024x}"
        entry = ClaimEntry(
            ask.body_digest, self.owner, nonce, wall + self.cfg.lifetime_s
        )
        give_up_at = min(ask.deadline, now + self.cfg.patience_s)
        claim = Claim(ask.call_id, name, digest, nonce)
        op = PendingClaim(claim, entry, give_up_at, ask.deadline)
        return self._run(shard, shard.add(op, now, wall))

    def finish(
        self, claim: Claim, outcome: ClaimOutcome, now: float, wall: float
    ) -> list[ClaimOutput]:
        """Store the outcome of a granted call; retried until it is stored."""
        if len(outcome.body) > self.cfg.max_body_bytes:
            outcome = ClaimOutcome(outcome.execution, outcome.status, truncated=True)
        shard = self._shard(claim.shard)
        return self._run(shard, shard.add(PendingFinish(claim, outcome), now, wall))

    def release(self, claim: Claim, now: float, wall: float) -> list[ClaimOutput]:
        """Remove the claim of a call that certainly did not run."""
        shard = self._shard(claim.shard)
        return self._run(shard, shard.add(PendingRelease(claim), now, wall))

    def shard_read(
        self,
        name: str,
        found: Result[StoredObject, PlatformError],
        now: float,
        wall: float,
    ) -> list[ClaimOutput]:
        """Take the platform's answer to ``ReadShard``."""
        shard = self._shard(name)
        return self._run(shard, shard.read(found, now, wall))

    def shard_written(
        self,
        name: str,
        found: Result[StoredObject, PlatformError],
        now: float,
        wall: float,
    ) -> list[ClaimOutput]:
        """Take the platform's answer to ``CreateShard`` or ``UpdateShard``."""
        shard = self._shard(name)
        return self._run(shard, shard.written(found, now, wall))

    def tick(self, now: float, wall: float) -> list[ClaimOutput]:
        """Retry what is due and give up claims whose time is over."""
        out: list[ClaimOutput] = []
        for shard in list(self._shards.values()):
            out += self._run(shard, shard.tick(now, wall))
        return out

    def waiting(self) -> int:
        """Return the number of operations that wait for the platform."""
        return sum(len(shard.pending) for shard in self._shards.values())

    def _shard(self, name: str) -> Shard:
        if name not in self._shards:
            self._shards[name] = Shard(name, self.cfg, self.rng, self.is_gone)
        return self._shards[name]

    def _run(self, shard: Shard, out: list[ClaimOutput]) -> list[ClaimOutput]:
        if shard.is_idle():
            # Nothing of an idle shard is kept: its object may be close to 1 MB.
            self._shards.pop(shard.name, None)
        return out
