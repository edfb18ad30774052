"""Represent suspects that were in the same crashes; see `crash_suspects`."""

import attrs

__all__ = [
    "REFUSED_CRASHES",
    "REFUSED_LIFETIME_S",
    "CrashGroup",
    "SuspectGroup",
    "SuspectReport",
]

REFUSED_CRASHES = 2
"""Number of uncleared crashes from which a subject is refused. A single crash has
bystanders whose stream had just begun as well."""

CLEARED_REFUSED_CRASHES = 4
"""The same number for a subject that was cleared of earlier crashes."""

REFUSED_LIFETIME_S = 3_600.0
SUSPECT_LIFETIME_S = 600.0
"""Time after the last crash at which a refused subject and another suspect are
removed, seconds."""


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
class SuspectGroup:
    """Report suspects that have the same crashes; see `SuspectReport`."""

    subjects: tuple[str, ...]
    crashes: dict[str, bool]
    stored: int = 0


@attrs.define(eq=False)
class CrashGroup:
    """Hold the suspects with the same crashes, in the order in which they joined."""

    crashes: dict[str, bool]
    stored: int = 0
    members: dict[str, None] = attrs.field(factory=dict)
    changed_at: float = 0.0
    crashed_at: float = 0.0
    trial_at: float = 0.0
    uncleared: frozenset[str] = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.uncleared = frozenset(
            crash for crash, cleared in self.crashes.items() if not cleared
        )

    def key(self) -> tuple[frozenset[tuple[str, bool]], int]:
        """Return what all members have in common."""
        return frozenset(self.crashes.items()), self.stored

    def is_refused(self) -> bool:
        """Return whether enough crashes count against the suspects."""
        count = len(self.uncleared)
        was_cleared = count < len(self.crashes)
        return count >= (CLEARED_REFUSED_CRASHES if was_cleared else REFUSED_CRASHES)

    def expires_at(self) -> float:
        """Return the monotonic time at which the suspects are removed."""
        lifetime_s = REFUSED_LIFETIME_S if self.is_refused() else SUSPECT_LIFETIME_S
        return self.crashed_at + lifetime_s

    def report(self) -> SuspectGroup:
        """Return the report of the group."""
        return SuspectGroup(tuple(self.members), dict(self.crashes), self.stored)
