"""Track the age of the configuration and each data centre's way to the platform.

Clocks of two hosts cannot be compared, and a message may be late by any time. A host
therefore places a reading of another host's clock by a question of its own: the other
clock showed ``clock_s`` when the question arrived, which was after it was sent. That
gives a lower bound of the local time for every later reading of the same clock, so
pushed ages stay true however late a push arrives.
"""

import enum
import math

import attrs

from sesameport.fleet.peer_messages import EvidenceAge, Knowledge

__all__ = ["ClockMap", "EvidenceState", "Freshness", "PlatformEvidence"]

MAX_CLOCKS = 64
"""Clocks of other hosts kept; relays of the own data centre need two."""

EVIDENCE_LIFETIME_S = 12.0
"""Evidence older than this counts as not heard: six rounds of relays."""

REACH_GRACE_S = 5.0
"""A failure overrules a success only when the success is this much older, so one
relay without a way to the platform does not speak for its data centre. It is above
two watch periods and below the staleness bound of keys."""


class EvidenceState(enum.StrEnum):
    """Name what is known of a data centre's way to the platform."""

    REACHABLE = "reachable"
    UNREACHABLE = "unreachable"
    NOT_HEARD = "not-heard"


@attrs.frozen
class PlatformEvidence:
    """Tell whether the hosts of a data centre reach the platform.

    ``age_s`` counts from before the question to the platform, in seconds; it is
    infinite when nothing was ever heard.
    """

    data_centre: str
    state: EvidenceState
    age_s: float


@attrs.frozen
class _Reading:
    asked_at: float
    clock_s: float

    def place(self, clock_s: float, drift: float) -> float:
        passed = clock_s - self.clock_s
        return self.asked_at + passed - 2 * drift * abs(passed)


class ClockMap:
    """Place readings of other hosts' clocks on the local clock, never too late.

    ``drift`` is the largest relative error of either clock's rate.
    """

    def __init__(self, drift: float):
        self._drift = drift
        self._readings: dict[tuple[str, str], _Reading] = {}

    def note(self, origin: str, incarnation: str, asked_at: float, clock_s: float):
        """Record that a question sent at ``asked_at`` arrived at ``clock_s``."""
        key = (origin, incarnation)
        known = self._readings.pop(key, None)
        reading = _Reading(asked_at, clock_s)
        if known and known.place(clock_s, self._drift) > asked_at:
            reading = known
        self._readings[key] = reading
        while len(self._readings) > MAX_CLOCKS:
            del self._readings[next(iter(self._readings))]

    def place(self, origin: str, incarnation: str, clock_s: float) -> float | None:
        """Return a lower bound of the local time of a reading, or None."""
        reading = self._readings.get((origin, incarnation))
        return reading.place(clock_s, self._drift) if reading else None

    def measured_at(self, origin: str, incarnation: str) -> float:
        """Return the local time of the last useful question; minus infinity if none."""
        reading = self._readings.get((origin, incarnation))
        return reading.asked_at if reading else -math.inf


@attrs.define
class _Way:
    reachable_at: float = -math.inf
    unreachable_at: float = -math.inf


class Freshness:
    """Hold the moment of freshness and the evidence per data centre, on local time."""

    def __init__(self, data_centres: tuple[str, ...]):
        self.fresh_at = -math.inf
        self._ways: dict[str, _Way] = {name: _Way() for name in data_centres}

    def age(self, now: float) -> float:
        """Return the age of the configuration, seconds; infinite before the first."""
        return now - self.fresh_at

    def note_fresh(self, at: float) -> None:
        """Record that the platform had nothing newer at a local time."""
        self.fresh_at = max(self.fresh_at, at)

    def note_way(self, data_centre: str, at: float, reached: bool) -> None:
        """Record the outcome of a question that was sent at a local time."""
        way = self._ways.setdefault(data_centre, _Way())
        if reached:
            way.reachable_at = max(way.reachable_at, at)
        else:
            way.unreachable_at = max(way.unreachable_at, at)

    def merge(self, knowledge: Knowledge, clock_at: float) -> None:
        """Merge evidence whose ages refer to the local time ``clock_at``."""
        for item in knowledge.evidence:
            if item.data_centre not in self._ways:
                continue
            if item.reachable_age_s is not None:
                at = clock_at - item.reachable_age_s
                self.note_way(item.data_centre, at, reached=True)
            if item.unreachable_age_s is not None:
                at = clock_at - item.unreachable_age_s
                self.note_way(item.data_centre, at, reached=False)

    def ages(self, now: float) -> tuple[EvidenceAge, ...]:
        """Return the evidence as ages, to pass it on."""
        return tuple(
            EvidenceAge(
                name, _age(now, way.reachable_at), _age(now, way.unreachable_at)
            )
            for name, way in self._ways.items()
            if max(way.reachable_at, way.unreachable_at) > now - EVIDENCE_LIFETIME_S
        )

    def evidence(self, now: float) -> dict[str, PlatformEvidence]:
        """Return the evidence of every data centre by name."""
        return {
            name: self._evidence_of(name, way, now) for name, way in self._ways.items()
        }

    def _evidence_of(self, name: str, way: _Way, now: float) -> PlatformEvidence:
        failed = way.unreachable_at > way.reachable_at + REACH_GRACE_S
        if failed and now - way.unreachable_at <= EVIDENCE_LIFETIME_S:
            age_s = now - way.unreachable_at
            return PlatformEvidence(name, EvidenceState.UNREACHABLE, age_s)
        if not failed and now - way.reachable_at <= EVIDENCE_LIFETIME_S:
            age_s = now - way.reachable_at
            return PlatformEvidence(name, EvidenceState.REACHABLE, age_s)
        age_s = now - max(way.reachable_at, way.unreachable_at)
        return PlatformEvidence(name, EvidenceState.NOT_HEARD, age_s)


def _age(now: float, at: float) -> float | None:
    return now - at if at > -math.inf else None
