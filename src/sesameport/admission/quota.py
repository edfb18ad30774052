"""Enforce fleet-wide rates and bursts of workspaces over a sliding window.

A workspace may send many times its rate over all hosts at once, in requests whose
charges differ a hundredfold. A workspace may spend ``rate * window + burst`` in every
span of the window. Every host therefore keeps a replica of the fleet's charges within
the window for each workspace. It adds its own charges immediately and charges of other
hosts when they report them, several milliseconds later. A host that receives no reports
admits by its own charges only. The overshoot that the users tolerate covers such
periods.

A bucket of one burst would admit the same amount in the long run, but it refuses
requests of a workspace that used little of its window, if they arrive within a second.
"""

import collections
import math
from collections.abc import Iterable, Mapping

import attrs

from sesameport.entry.configuration import EntryWorkspace

__all__ = ["FleetQuota", "QuotaDecision"]

SMALL_CHARGE_SHARE = 0.01
"""Fraction of a workspace's window up to which a charge counts as small."""

SMALL_CHARGE_RESERVE = 0.04
"""Fraction of a workspace's window that only small charges may use. Large charges
cannot refuse the small requests of their own workspace."""

INTERVALS_PER_WINDOW = 64
"""Number of intervals of a window by which charges are kept. Each charge expires up to
one interval late."""


@attrs.frozen
class QuotaDecision:
    """Represent the decision on a charge.

    ``retry_after_s`` is the time after which a refused charge would be admitted, in
    seconds. ``level`` is the remaining part of the window at the time of a refusal, in
    tokens.
    """

    is_within: bool
    retry_after_s: float = 0.0
    level: float = 0.0


@attrs.define
class _Charges:
    """Hold the charges within a window, oldest first, in intervals of equal length."""

    window_s: float
    total: float = 0.0
    _entries: collections.deque = attrs.field(factory=collections.deque)

    def add(self, tokens: float, now: float) -> None:
        """Add a charge; a negative one withdraws tokens from the newest charges."""
        if tokens < 0:
            self._withdraw(-tokens)
            return
        self.total += tokens
        interval = math.floor(now * INTERVALS_PER_WINDOW / self.window_s)
        if self._entries and self._entries[-1][0] >= interval:
            self._entries[-1][1] += tokens
            return
        self._entries.append([interval, tokens])

    def _withdraw(self, tokens: float) -> None:
        while tokens > 0 and self._entries:
            newest = self._entries[-1]
            taken = min(tokens, newest[1])
            newest[1] -= taken
            self.total -= taken
            tokens -= taken
            if newest[1] > 0:
                return
            self._entries.pop()

    def expire(self, now: float) -> None:
        """Remove the charges that are older than the window."""
        while self._entries and self._expires_at(self._entries[0]) <= now:
            self.total -= self._entries.popleft()[1]
        if not self._entries:
            self.total = 0.0

    def change_window(self, window_s: float, now: float) -> None:
        """Change the length of the window; known charges count from now."""
        self.expire(now)
        total, self.total = self.total, 0.0
        self._entries.clear()
        self.window_s = window_s
        if total > 0:
            self.add(total, now)

    def since(self, start: float) -> float:
        """Return the charges of the intervals that end after a time."""
        return sum(
            entry[1]
            for entry in self._entries
            if self._expires_at(entry) - self.window_s > start
        )

    def expiry_of(self, tokens: float) -> float:
        """Return the time by which at least this much of the charges has expired."""
        for entry in self._entries:
            tokens -= entry[1]
            if tokens <= 0:
                return self._expires_at(entry)
        return math.inf

    def _expires_at(self, entry) -> float:
        return (entry[0] + 1) * self.window_s / INTERVALS_PER_WINDOW + self.window_s


@attrs.define
class _WorkspaceWindow:
    """Hold the limit of one workspace and the charges against it.

    Attributes
    ----------
    rate_per_s, burst : float
        Configured rate and burst, tokens.
    counts_from : float
        Time from which the charges are known, seconds. Only the rate since then may be
        spent until the charges of a whole window are known.
    lowered_at, earlier_limit : float
        Time of the last reduction of the limit, seconds, and the limit before it.
    """

    rate_per_s: float
    burst: float
    charges: _Charges
    counts_from: float
    lowered_at: float = -math.inf
    earlier_limit: float = 0.0

    @property
    def limit(self) -> float:
        """Return the tokens that may be charged within a window."""
        return self.rate_per_s * self.charges.window_s + self.burst

    def change_limit(self, rate_per_s: float, burst: float, now: float) -> None:
        """Apply a configured limit.

        Charges from before a reduction were within the earlier limit. They count
        against the lower one only together with the part of the earlier limit that
        they left.
        """
        before = self.limit
        self.rate_per_s, self.burst = rate_per_s, burst
        if self.limit < before:
            is_recent = now < self.lowered_at + self.charges.window_s
            self.earlier_limit = (
                max(before, self.earlier_limit) if is_recent else before
            )
            self.lowered_at = now

    def remaining(self, now: float) -> float:
        """Return the tokens that may be charged now."""
        self.charges.expire(now)
        limit = self.limit
        known_s = now - self.counts_from
        if known_s < self.charges.window_s:
            limit = min(limit, self.rate_per_s * max(0.0, known_s))
        if now < self.lowered_at + self.charges.window_s:
            since_lowered = self.charges.since(self.lowered_at)
            return min(limit - since_lowered, self.earlier_limit - self.charges.total)
        return limit - self.charges.total

    def is_unused(self, now: float) -> bool:
        """Return whether nothing was charged in a whole window."""
        is_known = now >= self.counts_from + self.charges.window_s
        return is_known and self.charges.total <= 0

    def needed(self, tokens: float) -> float:
        """Return the tokens that must remain for a charge to be admitted."""
        if tokens > SMALL_CHARGE_SHARE * self.limit:
            tokens += SMALL_CHARGE_RESERVE * self.limit
        return tokens

    def wait_s(self, missing: float, now: float) -> float:
        """Return the time after which the missing tokens remain, seconds."""
        wait_s = self.charges.expiry_of(missing) - now
        if now < self.counts_from + self.charges.window_s:
            wait_s = min(wait_s, missing / self.rate_per_s)
        return min(max(0.0, wait_s), self.charges.window_s)


@attrs.define
class FleetQuota:
    """Charge requests against the windows of their workspaces.

    Parameters
    ----------
    window_s : float
        Length of the window, seconds.

    Examples
    --------
    >>> quota = FleetQuota(window_s=2.0)
    >>> quota.configure([EntryWorkspace("w", rate_per_s=10, burst=20)], -2.0)
    >>> quota.charge("w", 35, 0.0).is_within
    True
    >>> quota.charge("w", 5, 0.0).is_within
    False
    >>> quota.charge("w", 15, 2.1).is_within
    True
    """

    window_s: float = 8.0
    _windows: dict[str, _WorkspaceWindow] = attrs.field(factory=dict)
    _charged: dict[str, float] = attrs.field(factory=dict)
    _reported: dict[str, tuple[int, dict[str, float]]] = attrs.field(factory=dict)
    _counts_from: float | None = None

    def configure(self, workspaces: Iterable[EntryWorkspace], now: float) -> None:
        """Apply configured rates; known charges remain.

        The charges before the first configuration are unknown, because this host may
        have restarted.
        """
        if self._counts_from is None:
            self._counts_from = now
        windows = {}
        for workspace in workspaces:
            if workspace.rate_per_s <= 0:
                continue
            rate_per_s, burst = workspace.rate_per_s, max(workspace.burst, 1.0)
            window = self._windows.get(workspace.name)
            if window is None:
                window = _WorkspaceWindow(
                    rate_per_s, burst, _Charges(self.window_s), self._counts_from
                )
            else:
                window.change_limit(rate_per_s, burst, now)
            windows[workspace.name] = window
        self._windows = windows

    def change_window(self, window_s: float, now: float) -> None:
        """Change the length of the window, seconds."""
        if window_s == self.window_s:
            return
        self.window_s = window_s
        for window in self._windows.values():
            window.charges.change_window(window_s, now)

    def charge(self, workspace: str, tokens: float, now: float) -> QuotaDecision:
        """Charge tokens if enough of the window remains.

        A charge larger than the limit is admitted only if the window is empty.
        """
        decision = self.check(workspace, tokens, now)
        window = self._windows.get(workspace)
        if decision.is_within and window is not None:
            window.charges.add(tokens, now)
            self._charged[workspace] = self._charged.get(workspace, 0.0) + tokens
        return decision

    def check(self, workspace: str, tokens: float, now: float) -> QuotaDecision:
        """Return the decision on a charge without charging it."""
        window = self._windows.get(workspace)
        if window is None:
            return QuotaDecision(True)
        remaining = window.remaining(now)
        needed = window.needed(tokens)
        if remaining < needed and not window.is_unused(now):
            wait_s = window.wait_s(needed - remaining, now)
            return QuotaDecision(False, wait_s, remaining)
        return QuotaDecision(True)

    def refund(self, workspace: str, tokens: float) -> None:
        """Withdraw the charge of a request that was not run."""
        window = self._windows.get(workspace)
        if window is not None:
            window.charges.add(-tokens, 0.0)
        if workspace in self._charged:
            self._charged[workspace] -= tokens

    def charged(self) -> dict[str, float]:
        """Return the tokens charged since the start of this process, by workspace."""
        return dict(self._charged)

    def apply_report(
        self,
        host: str,
        incarnation: int,
        charged: Mapping[str, float],
        now: float,
        is_complete: bool = True,
    ) -> None:
        """Add the tokens that another host charged since its last report.

        The first complete report of a process only sets the baseline, because the time
        of its charges is unknown. Reports that are not complete name the workspaces
        with charges since the last complete one.
        """
        last_incarnation, last_charged = self._reported.get(host, (0, {}))
        if last_incarnation != incarnation:
            if is_complete:
                self._reported[host] = (incarnation, dict(charged))
            return
        for workspace, total in charged.items():
            change = total - last_charged.get(workspace, 0.0)
            if not change:
                continue
            last_charged[workspace] = total
            window = self._windows.get(workspace)
            if window is not None:
                window.charges.add(change, now)

    def remove_host(self, host: str) -> None:
        """Remove the last reported charges of a host."""
        self._reported.pop(host, None)
