"""Hold workspaces to their fleet-wide rate and burst.

Load: one workspace asks for many times its rate over all hosts at once. Every host
keeps the bucket of the whole fleet. It withdraws its own charges at once and those of
other hosts as they report them, some milliseconds later. A host that hears nothing from
the others admits by its own charges only; the users' slack covers that time.
"""

from collections.abc import Iterable, Mapping

import attrs

from sesameport.entry.contracts import EntryWorkspace

__all__ = ["FleetQuota", "QuotaVerdict"]


@attrs.frozen
class QuotaVerdict:
    """Say whether a charge fits, and after how many seconds it would.

    ``level`` is what the bucket held, tokens.
    """

    is_within: bool
    retry_after_s: float = 0.0
    level: float = 0.0


@attrs.define
class _Bucket:
    rate_per_s: float
    burst: float
    level: float
    updated_at: float

    def refill(self, now: float) -> None:
        """Add what the time since the last update gives."""
        passed_s = max(0.0, now - self.updated_at)
        self.level = min(self.burst, self.level + passed_s * self.rate_per_s)
        self.updated_at = now


@attrs.define
class FleetQuota:
    """Charge requests against the rates of their workspaces.

    Examples
    --------
    >>> quota = FleetQuota()
    >>> quota.configure([EntryWorkspace("w", rate_per_s=10, burst=20)], 0.0)
    >>> quota.charge("w", 20, 0.0).is_within
    True
    >>> quota.charge("w", 5, 0.0)
    QuotaVerdict(is_within=False, retry_after_s=0.5, level=0.0)
    """

    _buckets: dict[str, _Bucket] = attrs.field(factory=dict)
    _charged: dict[str, float] = attrs.field(factory=dict)
    _reported: dict[str, tuple[int, dict[str, float]]] = attrs.field(factory=dict)

    def configure(self, workspaces: Iterable[EntryWorkspace], now: float) -> None:
        """Take over rates; a bucket keeps its level as far as its new burst allows."""
        buckets = {}
        for workspace in workspaces:
            if workspace.rate_per_s <= 0:
                continue
            burst = max(workspace.burst, 1.0)
            bucket = self._buckets.get(workspace.name)
            level = burst
            if bucket is not None:
                bucket.refill(now)
                level = min(burst, bucket.level)
                if bucket.level >= bucket.burst:
                    level = burst
            buckets[workspace.name] = _Bucket(workspace.rate_per_s, burst, level, now)
        self._buckets = buckets

    def charge(self, workspace: str, tokens: float, now: float) -> QuotaVerdict:
        """Withdraw tokens if the bucket of the fleet holds them.

        A charge above the whole burst is admitted from a full bucket, which then owes
        the rest.
        """
        bucket = self._buckets.get(workspace)
        if bucket is None:
            return QuotaVerdict(True)
        bucket.refill(now)
        needed = min(tokens, bucket.burst)
        if bucket.level < needed:
            missing = needed - bucket.level
            return QuotaVerdict(False, missing / bucket.rate_per_s, bucket.level)
        bucket.level -= tokens
        self._charged[workspace] = self._charged.get(workspace, 0.0) + tokens
        return QuotaVerdict(True)

    def refund(self, workspace: str, tokens: float) -> None:
        """Give back the charge of a request that has not run."""
        bucket = self._buckets.get(workspace)
        if bucket is not None:
            bucket.level = min(bucket.burst, bucket.level + tokens)
        if workspace in self._charged:
            self._charged[workspace] -= tokens

    def charged(self) -> dict[str, float]:
        """Return what this process charged since its start, tokens by workspace."""
        return dict(self._charged)

    def take_report(
        self, host: str, incarnation: int, charged: Mapping[str, float], now: float
    ) -> None:
        """Withdraw what another host charged since its last report.

        The first report of a process only sets the base: what it charged before is
        older than this host's view of the bucket.
        """
        known, before = self._reported.get(host, (0, {}))
        if known == incarnation:
            for workspace, total in charged.items():
                bucket = self._buckets.get(workspace)
                if bucket is None:
                    continue
                bucket.refill(now)
                change = total - before.get(workspace, 0.0)
                bucket.level = min(bucket.burst, bucket.level - change)
        self._reported[host] = (incarnation, dict(charged))

    def forget_host(self, host: str) -> None:
        """Drop the base of a host that is gone."""
        self._reported.pop(host, None)
