"""Enforce fleet-wide rates and bursts of workspaces with replicated token buckets.

A workspace may send many times its rate over all hosts at once. Every host therefore
keeps a replica of the fleet's token bucket for each workspace. It withdraws its own
charges immediately and charges of other hosts when they report them, several
milliseconds later. A host that receives no reports admits by its own charges only. The
overshoot that the users tolerate covers such periods.
"""

from collections.abc import Iterable, Mapping

import attrs

from sesameport.entry.configuration import EntryWorkspace

__all__ = ["FleetQuota", "QuotaDecision"]


@attrs.frozen
class QuotaDecision:
    """Represent the decision on a charge.

    ``retry_after_s`` is the time after which a refused charge would be admitted, in
    seconds. ``level`` is the bucket level at the time of a refusal, in tokens.
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
        """Add the tokens accrued since the last update."""
        elapsed_s = max(0.0, now - self.updated_at)
        self.level = min(self.burst, self.level + elapsed_s * self.rate_per_s)
        self.updated_at = now


@attrs.define
class FleetQuota:
    """Charge requests against the token buckets of their workspaces.

    Examples
    --------
    >>> quota = FleetQuota()
    >>> quota.configure([EntryWorkspace("w", rate_per_s=10, burst=20)], 0.0)
    >>> quota.charge("w", 20, 0.0).is_within
    True
    >>> quota.charge("w", 5, 0.0)
    QuotaDecision(is_within=False, retry_after_s=0.5, level=0.0)
    """

    _buckets: dict[str, _Bucket] = attrs.field(factory=dict)
    _charged: dict[str, float] = attrs.field(factory=dict)
    _reported: dict[str, tuple[int, dict[str, float]]] = attrs.field(factory=dict)

    def configure(self, workspaces: Iterable[EntryWorkspace], now: float) -> None:
        """Apply configured rates; a bucket keeps its level up to the new burst."""
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

    def charge(self, workspace: str, tokens: float, now: float) -> QuotaDecision:
        """Withdraw tokens if the bucket holds enough of them.

        A charge larger than the burst is admitted only from a full bucket, whose level
        then becomes negative.
        """
        bucket = self._buckets.get(workspace)
        if bucket is None:
            return QuotaDecision(True)
        bucket.refill(now)
        needed = min(tokens, bucket.burst)
        if bucket.level < needed:
            missing = needed - bucket.level
            return QuotaDecision(False, missing / bucket.rate_per_s, bucket.level)
        bucket.level -= tokens
        self._charged[workspace] = self._charged.get(workspace, 0.0) + tokens
        return QuotaDecision(True)

    def refund(self, workspace: str, tokens: float) -> None:
        """Return the charge of a request that was not run to the bucket."""
        bucket = self._buckets.get(workspace)
        if bucket is not None:
            bucket.level = min(bucket.burst, bucket.level + tokens)
        if workspace in self._charged:
            self._charged[workspace] -= tokens

    def charged(self) -> dict[str, float]:
        """Return the tokens charged since the start of this process, by workspace."""
        return dict(self._charged)

    def apply_report(
        self, host: str, incarnation: int, charged: Mapping[str, float], now: float
    ) -> None:
        """Withdraw the tokens that another host charged since its last report.

        The first report of a process only sets the baseline, because its charges are
        older than the bucket level on this host.
        """
        last_incarnation, last_charged = self._reported.get(host, (0, {}))
        if last_incarnation == incarnation:
            for workspace, total in charged.items():
                bucket = self._buckets.get(workspace)
                if bucket is None:
                    continue
                bucket.refill(now)
                change = total - last_charged.get(workspace, 0.0)
                bucket.level = min(bucket.burst, bucket.level - change)
        self._reported[host] = (incarnation, dict(charged))

    def remove_host(self, host: str) -> None:
        """Remove the last reported charges of a host."""
        self._reported.pop(host, None)
