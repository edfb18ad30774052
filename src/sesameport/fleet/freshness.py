"""Track the age of the configuration and which data centres reach the platform.

Monotonic clocks of two hosts are not comparable, and messages may be delayed without
bound. A host therefore samples another host's clock with a request: the remote clock
read ``clock_s`` when the request arrived, which is after the local time of sending.
From this sample, any other reading of the remote clock converts to a lower bound of the
local time. Ages in pushed messages therefore stay correct however late a push arrives.
"""

import enum
import math

import attrs

from sesameport.fleet.peer_messages import EvidenceAge, Knowledge

__all__ = ["ClockMap", "EvidenceState", "Freshness", "PlatformEvidence"]

MAX_CLOCK_SAMPLES = 64
"""Remote clocks with a stored sample. The relays of the own data centre need two."""

EVIDENCE_LIFETIME_S = 12.0
"""Evidence older than this is ignored. The value is six push periods of a relay."""

REACHABLE_GRACE_S = 5.0
"""A failed read overrides a successful one only if the success is older by this much.
One disconnected relay then does not mark its whole data centre as unreachable. The
value is above two watch periods and below the staleness bound of keys."""


class EvidenceState(enum.StrEnum):
    """Enumerate what is known about a data centre's access to the platform."""

    REACHABLE = "reachable"
    UNREACHABLE = "unreachable"
    UNKNOWN = "not-heard"


@attrs.frozen
class PlatformEvidence:
    """Represent whether the hosts of a data centre reach the platform.

    ``age_s`` is the time in seconds since the platform read was sent; it is infinite
    when no read was ever reported.
    """

    data_centre: str
    state: EvidenceState
    age_s: float


@attrs.frozen
class _ClockSample:
    requested_at: float
    clock_s: float

    def to_local_time(self, clock_s: float, drift: float) -> float:
        # Both clocks may be wrong by ``drift``, hence the factor of 2.
        elapsed_s = clock_s - self.clock_s
        return self.requested_at + elapsed_s - 2 * drift * abs(elapsed_s)


class ClockMap:
    """Convert readings of other hosts' clocks to lower bounds of the local time.

    ``drift`` is the largest relative error of either clock's rate.
    """

    def __init__(self, drift: float):
        self._drift = drift
        self._samples: dict[tuple[str, str], _ClockSample] = {}

    def record_sample(
        self, origin: str, incarnation: str, requested_at: float, clock_s: float
    ):
        """Record that a request sent at ``requested_at`` arrived at ``clock_s``."""
        key = (origin, incarnation)
        previous = self._samples.pop(key, None)
        sample = _ClockSample(requested_at, clock_s)
        if previous and previous.to_local_time(clock_s, self._drift) > requested_at:
            sample = previous
        self._samples[key] = sample
        while len(self._samples) > MAX_CLOCK_SAMPLES:
            del self._samples[next(iter(self._samples))]

    def to_local_time(
        self, origin: str, incarnation: str, clock_s: float
    ) -> float | None:
        """Return a lower bound of a reading's local time; None without a sample."""
        sample = self._samples.get((origin, incarnation))
        return sample.to_local_time(clock_s, self._drift) if sample else None

    def sampled_at(self, origin: str, incarnation: str) -> float:
        """Return the local time of the stored sample; minus infinity if none."""
        sample = self._samples.get((origin, incarnation))
        return sample.requested_at if sample else -math.inf


@attrs.define
class _Reachability:
    reachable_at: float = -math.inf
    unreachable_at: float = -math.inf


class Freshness:
    """Track when the configuration was last current and the evidence per data centre.

    All times are local monotonic times in seconds.
    """

    def __init__(self, data_centres: tuple[str, ...]):
        self.fresh_at = -math.inf
        self._by_data_centre: dict[str, _Reachability] = {
            name: _Reachability() for name in data_centres
        }

    def age(self, now: float) -> float:
        """Return the age of the configuration, seconds; infinite if unknown."""
        return now - self.fresh_at

    def record_freshness(self, at: float) -> None:
        """Record that the platform had nothing newer at the local time ``at``."""
        self.fresh_at = max(self.fresh_at, at)

    def record_reachability(self, data_centre: str, at: float, reached: bool) -> None:
        """Record whether a platform read sent at the local time ``at`` succeeded."""
        reachability = self._by_data_centre.setdefault(data_centre, _Reachability())
        if reached:
            reachability.reachable_at = max(reachability.reachable_at, at)
        else:
            reachability.unreachable_at = max(reachability.unreachable_at, at)

    def merge(self, knowledge: Knowledge, known_at: float) -> None:
        """Merge evidence whose ages are relative to the local time ``known_at``."""
        for entry in knowledge.evidence:
            if entry.data_centre not in self._by_data_centre:
                continue
            if entry.reachable_age_s is not None:
                at = known_at - entry.reachable_age_s
                self.record_reachability(entry.data_centre, at, reached=True)
            if entry.unreachable_age_s is not None:
                at = known_at - entry.unreachable_age_s
                self.record_reachability(entry.data_centre, at, reached=False)

    def evidence_ages(self, now: float) -> tuple[EvidenceAge, ...]:
        """Return the unexpired evidence as ages, for a message to another host."""
        return tuple(
            EvidenceAge(
                name,
                _age_or_none(now, reachability.reachable_at),
                _age_or_none(now, reachability.unreachable_at),
            )
            for name, reachability in self._by_data_centre.items()
            if max(reachability.reachable_at, reachability.unreachable_at)
            > now - EVIDENCE_LIFETIME_S
        )

    def evidence(self, now: float) -> dict[str, PlatformEvidence]:
        """Return the evidence for every data centre, by name."""
        return {
            name: self._evidence_of(name, reachability, now)
            for name, reachability in self._by_data_centre.items()
        }

    def _evidence_of(
        self, name: str, reachability: _Reachability, now: float
    ) -> PlatformEvidence:
        is_unreachable = (
            reachability.unreachable_at > reachability.reachable_at + REACHABLE_GRACE_S
        )
        if is_unreachable and now - reachability.unreachable_at <= EVIDENCE_LIFETIME_S:
            age_s = now - reachability.unreachable_at
            return PlatformEvidence(name, EvidenceState.UNREACHABLE, age_s)
        if (
            not is_unreachable
            and now - reachability.reachable_at <= EVIDENCE_LIFETIME_S
        ):
            age_s = now - reachability.reachable_at
            return PlatformEvidence(name, EvidenceState.REACHABLE, age_s)
        age_s = now - max(reachability.reachable_at, reachability.unreachable_at)
        return PlatformEvidence(name, EvidenceState.UNKNOWN, age_s)


def _age_or_none(now: float, at: float) -> float | None:
    return now - at if at > -math.inf else None
