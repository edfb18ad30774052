"""Find what the requests that crash backend servers have in common.

A server may crash whenever it begins to answer a request with a certain property, its
subject: the whole request, or a part of its prompt. The load that this module answers
is a stream of such requests, no two alike, that reach all hosts beside sound requests
with the same caller and the same other parts.

When a server crashes, all subjects of the requests that it had just begun to answer are
suspects of this crash. A request that is answered clears its subjects, because a
subject that crashes servers crashes each of them. The subject of two uncleared crashes
is refused, with two exceptions:

- Another suspect was in all of these crashes and in more, and explains them alone.
- Other suspects were in exactly the same crashes. Then only requests that have all of
  them are refused. A request without one of them shows which of them is to blame.

After a pause that doubles with each crash, one request of a refused subject is tried.
Five crashes end this, until no crash has been added for an hour.

The state of two hosts is merged by union: a crash stays known, and a cleared one stays
cleared. The order and the repetition of reports have no effect.

A prompt may have thousands of parts, nearly all of which are in the same crashes as
others. Suspects with the same crashes are therefore kept, judged, reported and stored
as one group.
"""

import math
import random
from collections.abc import Iterable, Mapping

import attrs

from sesameport.admission.suspect_groups import (
    REFUSED_CRASHES,
    CrashGroup,
    SuspectGroup,
    SuspectReport,
)

__all__ = ["CrashSuspects", "Judgement"]

MAX_TRIED_CRASHES = 4
"""Number of crashes up to which single requests of a refused subject are tried. The
users allow few such requests after the fifth crash."""

FIRST_TRIAL_PAUSE_S = 30.0
"""Time from the second crash of a subject until a request is tried, seconds. A trial
that crashes a server breaks off all streams there."""

TRIAL_SPREAD_PER_HOST_S = 1.0
"""Upper limit per host of a random addition to that time, seconds. It lets the first
trial end before another host starts one."""

REPORTED_S = 60.0
"""Time for which a suspect that is not refused is reported to other hosts after its
last change, seconds."""

MAX_SUSPECTS = 8_000
"""Largest number of suspects, those of several prompts with thousands of parts. Of
those that are not refused, the ones that changed longest ago are removed first."""

MAX_REPORTED = 4_000
"""Largest number of suspects in one report, the refused and the latest ones."""

MAX_CRASHES = 16
"""Largest number of crashes that are kept for one suspect."""


@attrs.frozen
class Judgement:
    """Represent whether a request is refused or a trial.

    Attributes
    ----------
    refused_s : float
        Time for which its subject is refused, seconds; 0 if it is not.
    is_trial : bool
        Whether the request shows if its refused subject still crashes servers.
    """

    refused_s: float = 0.0
    is_trial: bool = False


class CrashSuspects:
    """Hold the suspects of one host; not thread-safe.

    Parameters
    ----------
    rng : random.Random
        Spreads the trials of several hosts.

    Examples
    --------
    >>> suspects = CrashSuspects(random.Random(1))
    >>> suspects.record_crash("d1@1", ["part a", "part b"], 0.0)
    >>> suspects.record_crash("d2@1", ["part a", "part c"], 1.0)
    >>> 29.0 < suspects.judge(["part a"], 2.0).refused_s < 30.0
    True
    >>> suspects.judge(["part b"], 2.0)
    Judgement(refused_s=0.0, is_trial=False)
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._groups: dict[tuple, CrashGroup] = {}
        self._group_of: dict[str, CrashGroup] = {}
        self.hosts = 1

    def __len__(self) -> int:
        return len(self._group_of)

    def record_crash(self, crash: str, subjects: Iterable[str], now: float) -> None:
        """Record a server's crash on a request with these subjects."""
        self._add(subjects, {crash: False}, 0, now)
        self._evict()

    def is_suspect(self, subjects: Iterable[str]) -> bool:
        """Return whether any crash counts against one of the subjects."""
        return any(group.uncleared for group in self._groups_of(subjects))

    def record_answer(self, subjects: Iterable[str], now: float) -> None:
        """Clear the subjects of a request that was answered."""
        for group, names in self._groups_of(subjects).items():
            if group.uncleared:
                cleared = dict.fromkeys(group.crashes, True)
                self._move(names, group, cleared, group.stored, now, False)

    def judge(self, subjects: Iterable[str], now: float) -> Judgement:
        """Return whether a request with these subjects may be sent to a server.

        If it is a trial, no other request of its refused subjects is tried here until
        the pause has passed again.
        """
        subjects = frozenset(subjects)
        blamed = [
            group
            for group in self._groups_of(subjects)
            if group.is_refused() and self._is_blamed(group, subjects)
        ]
        if not blamed:
            return Judgement()
        until = max(self._refused_until(group) for group in blamed)
        if now < until:
            return Judgement(until - now)
        for group in blamed:
            group.trial_at = now + self._trial_pause_s(group)
        return Judgement(is_trial=True)

    def merge(self, reports: Iterable[SuspectReport], now: float) -> bool:
        """Apply reports of a host; return whether it knows all that is known here."""
        groups = [
            SuspectGroup((report.subject,), report.crashes, report.stored)
            for report in reports
        ]
        return self.merge_groups(groups, now)

    def merge_groups(self, groups: Iterable[SuspectGroup], now: float) -> bool:
        """Apply reports of groups; return whether their host knows all that is known.

        Where more is known here than fits into a report, nobody can tell.
        """
        received: dict[tuple, set[str]] = {}
        for group in groups:
            crashes = {crash: bool(cleared) for crash, cleared in group.crashes.items()}
            key = (frozenset(crashes.items()), group.stored)
            received.setdefault(key, set()).update(group.subjects)
        for (crashes, stored), subjects in received.items():
            self._add(subjects, dict(crashes), stored, now)
        self._evict()
        own = self._reported(now)
        if sum(len(group.members) for group in own) > MAX_REPORTED:
            return True
        return all(
            group.members.keys() <= received.get(group.key(), set()) for group in own
        )

    def reports(self, now: float) -> list[SuspectReport]:
        """Return the refused suspects and those that changed lately."""
        return [
            SuspectReport(subject, dict(group.crashes), group.stored)
            for group in self._reported(now)
            for subject in group.members
        ]

    def report_groups(
        self, now: float, changed_since: float = -math.inf
    ) -> list[SuspectGroup]:
        """Return the same in groups, at most `MAX_REPORTED` suspects.

        ``changed_since`` leaves out what has not changed since a monotonic time.
        """
        reports, left = [], MAX_REPORTED
        for group in self._reported(now):
            if group.changed_at < changed_since or left <= 0:
                continue
            report = group.report()
            reports.append(attrs.evolve(report, subjects=report.subjects[:left]))
            left -= len(report.subjects)
        return reports

    def refused(self) -> set[str]:
        """Return the refused subjects."""
        return {
            subject
            for group in self._groups.values()
            if group.is_refused()
            for subject in group.members
        }

    def cleared(self) -> set[str]:
        """Return the subjects that were cleared of all their crashes."""
        return {
            subject
            for group in self._groups.values()
            if not group.uncleared
            for subject in group.members
        }

    def crashes(self, subject: str) -> Mapping[str, bool]:
        """Return the crashes of a suspect and whether it is cleared of each."""
        group = self._group_of.get(subject)
        return group.crashes if group else {}

    def is_stored(self, subject: str) -> bool:
        """Return whether the store has a record of a suspect."""
        group = self._group_of.get(subject)
        return group is not None and group.stored > 0

    def to_store(self) -> list[SuspectGroup]:
        """Return the refused suspects, of which the store should have a record."""
        return [group.report() for group in self._groups.values() if group.is_refused()]

    def unstored(self) -> list[SuspectGroup]:
        """Return the refused suspects with crashes that the store does not have."""
        return [
            report for report in self.to_store() if report.stored < len(report.crashes)
        ]

    def mark_stored(self, subjects: Iterable[str], count: int, now: float) -> None:
        """Record with how many crashes the store has some suspects."""
        known = [subject for subject in subjects if subject in self._group_of]
        self._add(known, {}, count, now)

    def expire(self, now: float) -> None:
        """Remove the suspects whose last crash is long ago."""
        for group in list(self._groups.values()):
            if now >= group.expires_at():
                self._remove(group, list(group.members))

    def _groups_of(self, subjects: Iterable[str]) -> dict[CrashGroup, list[str]]:
        """Return the groups of the suspects among some subjects, with these."""
        groups: dict[CrashGroup, list[str]] = {}
        for subject in subjects:
            group = self._group_of.get(subject)
            if group is not None:
                groups.setdefault(group, []).append(subject)
        return groups

    def _reported(self, now: float) -> list[CrashGroup]:
        """Return the groups that other hosts should know, the refused and latest first.

        Others know those that changed long ago, or will not need them.
        """
        groups = [
            group
            for group in self._groups.values()
            if group.is_refused() or now - group.changed_at < REPORTED_S
        ]
        return sorted(
            groups, key=lambda item: (not item.is_refused(), -item.changed_at)
        )

    def _add(
        self,
        subjects: Iterable[str],
        crashes: Mapping[str, bool],
        stored: int,
        now: float,
    ) -> None:
        """Add crashes to some subjects, which become suspects by that."""
        by_group: dict[CrashGroup | None, list[str]] = {}
        for subject in subjects:
            by_group.setdefault(self._group_of.get(subject), []).append(subject)
        for group, names in by_group.items():
            merged = dict(group.crashes) if group else {}
            for crash, cleared in crashes.items():
                if crash in merged:
                    merged[crash] = merged[crash] or cleared
                elif len(merged) < MAX_CRASHES:
                    merged[crash] = cleared
            has_new = len(merged) > (len(group.crashes) if group else 0)
            most_stored = max(stored, group.stored if group else 0)
            if group and (merged, most_stored) == (group.crashes, group.stored):
                continue
            self._move(names, group, merged, most_stored, now, has_new)

    def _move(
        self,
        subjects: list[str],
        source: CrashGroup | None,
        crashes: dict[str, bool],
        stored: int,
        now: float,
        has_new: bool,
    ) -> None:
        """Move subjects to the group with the given crashes."""
        target = CrashGroup(crashes, stored)
        target = self._groups.setdefault(target.key(), target)
        if source is not None:
            target.crashed_at = max(target.crashed_at, source.crashed_at)
            target.trial_at = max(target.trial_at, source.trial_at)
        target.changed_at = now
        if has_new:
            target.crashed_at = now
            target.trial_at = now + self._trial_pause_s(target)
        if source is not None:
            self._remove(source, subjects)
        for subject in subjects:
            target.members[subject] = None
            self._group_of[subject] = target

    def _remove(self, group: CrashGroup, subjects: list[str]) -> None:
        for subject in subjects:
            del group.members[subject]
            del self._group_of[subject]
        if not group.members:
            del self._groups[group.key()]

    def _evict(self) -> None:
        while len(self) > MAX_SUSPECTS:
            oldest = min(
                self._groups.values(),
                key=lambda group: (group.is_refused(), group.changed_at),
            )
            excess = len(self) - MAX_SUSPECTS
            self._remove(oldest, list(oldest.members)[:excess])

    def _trial_pause_s(self, group: CrashGroup) -> float:
        doublings = max(0, len(group.uncleared) - REFUSED_CRASHES)
        spread_s = TRIAL_SPREAD_PER_HOST_S * self.hosts
        return FIRST_TRIAL_PAUSE_S * 2**doublings + self._rng.uniform(0.0, spread_s)

    def _refused_until(self, group: CrashGroup) -> float:
        if len(group.uncleared) > MAX_TRIED_CRASHES:
            return group.expires_at()
        return group.trial_at

    def _is_blamed(self, blamed: CrashGroup, subjects: frozenset[str]) -> bool:
        """Return whether a request must be refused for suspects of these crashes."""
        for group in self._groups.values():
            if group.uncleared > blamed.uncleared:
                return False
            is_alike = group.uncleared == blamed.uncleared
            if is_alike and not group.members.keys() <= subjects:
                return False
        return True
