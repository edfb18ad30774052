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
"""

import random
from collections.abc import Iterable, Mapping

import attrs

__all__ = ["CrashSuspects", "Judgement", "SuspectReport"]

REFUSED_CRASHES = 2
"""Number of uncleared crashes from which a subject is refused. A single crash has
bystanders whose stream had just begun as well."""

CLEARED_REFUSED_CRASHES = 4
"""The same number for a subject that was cleared of earlier crashes."""

MAX_TRIED_CRASHES = 4
"""Number of crashes up to which single requests of a refused subject are tried. The
users allow few such requests after the fifth crash."""

FIRST_TRIAL_PAUSE_S = 30.0
"""Time from the second crash of a subject until a request is tried, seconds. A trial
that crashes a server breaks off all streams there."""

TRIAL_SPREAD_PER_HOST_S = 1.0
"""Upper limit per host of a random addition to that time, seconds. It lets the first
trial end before another host starts one."""

REFUSED_LIFETIME_S = 3_600.0
SUSPECT_LIFETIME_S = 600.0
"""Time after the last crash at which a refused subject and another suspect are
forgotten, seconds."""

REPORTED_S = 60.0
"""Time for which a suspect that is not refused is reported to other hosts after its
last change, seconds."""

MAX_SUSPECTS = 1_000
"""Largest number of suspects. Those that changed longest ago are removed first."""

MAX_CRASHES = 16
"""Largest number of crashes that are kept for one suspect."""


@attrs.frozen
class SuspectReport:
    """Report the crashes of one suspect to other hosts.

    Attributes
    ----------
    subject : str
        What the requests have in common.
    crashes : dict of str to bool
        Ids of the crashes, the same at each host, and whether the subject was cleared
        of each.
    stored : int
        Number of crashes in the record of the platform's store, 0 without one.
    """

    subject: str
    crashes: dict[str, bool]
    stored: int = 0


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


@attrs.define
class _Suspect:
    crashes: dict[str, bool] = attrs.field(factory=dict)
    stored: int = 0
    changed_at: float = 0.0
    crashed_at: float = 0.0
    trial_at: float = 0.0

    def uncleared(self) -> frozenset[str]:
        """Return the crashes that the suspect is not cleared of."""
        return frozenset(
            crash for crash, cleared in self.crashes.items() if not cleared
        )

    def is_refused(self) -> bool:
        """Return whether enough crashes count against the suspect."""
        count = len(self.uncleared())
        was_cleared = count < len(self.crashes)
        return count >= (CLEARED_REFUSED_CRASHES if was_cleared else REFUSED_CRASHES)

    def expires_at(self) -> float:
        """Return the monotonic time at which the suspect is forgotten."""
        lifetime_s = REFUSED_LIFETIME_S if self.is_refused() else SUSPECT_LIFETIME_S
        return self.crashed_at + lifetime_s


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
        self._suspects: dict[str, _Suspect] = {}
        self.hosts = 1

    def __len__(self) -> int:
        return len(self._suspects)

    def record_crash(self, crash: str, subjects: Iterable[str], now: float) -> None:
        """Record a server's crash on a request with these subjects."""
        for subject in subjects:
            self._add(subject, {crash: False}, now)
        self._evict()

    def is_suspect(self, subjects: Iterable[str]) -> bool:
        """Return whether any crash counts against one of the subjects."""
        for subject in subjects:
            suspect = self._suspects.get(subject)
            if suspect is not None and suspect.uncleared():
                return True
        return False

    def record_answer(self, subjects: Iterable[str], now: float) -> None:
        """Clear the subjects of a request that was answered."""
        for subject in subjects:
            suspect = self._suspects.get(subject)
            if suspect is None or not suspect.uncleared():
                continue
            suspect.crashes = dict.fromkeys(suspect.crashes, True)
            suspect.changed_at = now

    def judge(self, subjects: Iterable[str], now: float) -> Judgement:
        """Return whether a request with these subjects may be sent to a server.

        If it is a trial, no other request of its refused subjects is tried here until
        the pause has passed again.
        """
        subjects = frozenset(subjects)
        blamed = []
        for subject in subjects:
            suspect = self._suspects.get(subject)
            if suspect is None or not suspect.is_refused():
                continue
            if self._is_blamed(suspect.uncleared(), subjects):
                blamed.append(suspect)
        if not blamed:
            return Judgement()
        until = max(self._refused_until(suspect) for suspect in blamed)
        if now < until:
            return Judgement(until - now)
        for suspect in blamed:
            suspect.trial_at = now + self._trial_pause_s(suspect)
        return Judgement(is_trial=True)

    def merge(self, reports: Iterable[SuspectReport], now: float) -> bool:
        """Apply reports of a host; return whether it knows all that is known here."""
        received: dict[str, SuspectReport] = {}
        for report in reports:
            received[report.subject] = report
            self._add(report.subject, report.crashes, now, report.stored)
        self._evict()
        return all(received.get(own.subject) == own for own in self.reports(now))

    def reports(self, now: float) -> list[SuspectReport]:
        """Return the refused suspects and those that changed lately."""
        return [
            SuspectReport(subject, dict(suspect.crashes), suspect.stored)
            for subject, suspect in self._suspects.items()
            if suspect.is_refused() or now - suspect.changed_at < REPORTED_S
        ]

    def refused(self) -> set[str]:
        """Return the refused subjects."""
        return {
            subject
            for subject, suspect in self._suspects.items()
            if suspect.is_refused()
        }

    def cleared(self) -> set[str]:
        """Return the subjects that were cleared of all their crashes."""
        return {
            subject
            for subject, suspect in self._suspects.items()
            if not suspect.uncleared()
        }

    def crashes(self, subject: str) -> Mapping[str, bool]:
        """Return the crashes of a suspect and whether it is cleared of each."""
        suspect = self._suspects.get(subject)
        return suspect.crashes if suspect else {}

    def is_stored(self, subject: str) -> bool:
        """Return whether the store has a record of a suspect."""
        suspect = self._suspects.get(subject)
        return suspect is not None and suspect.stored > 0

    def to_store(self) -> list[SuspectReport]:
        """Return the refused suspects, of which the store should have a record."""
        return [
            SuspectReport(subject, dict(suspect.crashes), suspect.stored)
            for subject, suspect in self._suspects.items()
            if suspect.is_refused()
        ]

    def unstored(self) -> list[SuspectReport]:
        """Return the refused suspects with crashes that the store does not have."""
        return [
            report for report in self.to_store() if report.stored < len(report.crashes)
        ]

    def mark_stored(self, subject: str, count: int, now: float) -> None:
        """Record with how many crashes the store has a suspect."""
        suspect = self._suspects.get(subject)
        if suspect is not None and count > suspect.stored:
            suspect.stored = count
            suspect.changed_at = now

    def expire(self, now: float) -> None:
        """Remove the suspects whose last crash is long ago."""
        for subject, suspect in list(self._suspects.items()):
            if now >= suspect.expires_at():
                del self._suspects[subject]

    def _add(
        self, subject: str, crashes: Mapping[str, bool], now: float, stored: int = 0
    ) -> None:
        suspect = self._suspects.setdefault(subject, _Suspect())
        before = (dict(suspect.crashes), suspect.stored)
        for crash, cleared in crashes.items():
            if crash not in suspect.crashes:
                if len(suspect.crashes) >= MAX_CRASHES:
                    continue
                suspect.crashed_at = now
                suspect.crashes[crash] = cleared
            suspect.crashes[crash] = suspect.crashes[crash] or cleared
        suspect.stored = max(suspect.stored, stored)
        if (suspect.crashes, suspect.stored) != before:
            suspect.changed_at = now
        if suspect.crashed_at == now:
            suspect.trial_at = now + self._trial_pause_s(suspect)

    def _evict(self) -> None:
        while len(self._suspects) > MAX_SUSPECTS:
            oldest = min(
                self._suspects,
                key=lambda name: (
                    self._suspects[name].is_refused(),
                    self._suspects[name].changed_at,
                ),
            )
            del self._suspects[oldest]

    def _trial_pause_s(self, suspect: _Suspect) -> float:
        doublings = max(0, len(suspect.uncleared()) - REFUSED_CRASHES)
        spread_s = TRIAL_SPREAD_PER_HOST_S * self.hosts
        return FIRST_TRIAL_PAUSE_S * 2**doublings + self._rng.uniform(0.0, spread_s)

    def _refused_until(self, suspect: _Suspect) -> float:
        if len(suspect.uncleared()) > MAX_TRIED_CRASHES:
            return suspect.expires_at()
        return suspect.trial_at

    def _is_blamed(self, crashes: frozenset[str], subjects: frozenset[str]) -> bool:
        """Return whether a request must be refused for a suspect of these crashes."""
        for name, other in self._suspects.items():
            other_crashes = other.uncleared()
            if other_crashes > crashes:
                return False
            if other_crashes == crashes and name not in subjects:
                return False
        return True
