"""Collect the samples of one server in windows of time."""

import enum
import math

import attrs

__all__ = ["Estimate", "Samples", "SpeedMeasure", "SpeedReport", "WINDOW_WEIGHT"]

WINDOW_S = 10.0
WINDOWS = 12
"""Length of a window in seconds, and number of windows with samples that are kept. A
slow phase counts as inherent slowness if it fills half of them, one minute."""

WINDOW_WEIGHT = 8
"""Number of samples from which a window has its full weight in the median."""

PHASE_SAMPLE_HALF_LIFE_S = 3.0
"""Half-life of a sample in the mean of the newest samples, seconds."""


class SpeedMeasure(enum.StrEnum):
    """Name a measured time: of a prompt token, of an event or of a plain request."""

    PREFILL = "prefill-token"
    EVENT = "event"
    PLAIN = "plain-request"


@attrs.frozen
class SpeedReport:
    """Report samples of a server to other hosts.

    Attributes
    ----------
    server : str
        Id of the server.
    started_at_ms : int
        Start time of its incarnation, Unix milliseconds; 0 if unknown.
    measure : SpeedMeasure
        What was measured.
    log_seconds : float
        Mean of the logarithms of the samples, which are in seconds.
    count : int
        Number of samples.
    age_s : float
        Time since the last sample, seconds.
    is_summary : bool
        Whether the samples may be known. A summary is only for hosts that know less.
    """

    server: str
    started_at_ms: int
    measure: SpeedMeasure
    log_seconds: float
    count: int
    age_s: float
    is_summary: bool = False


@attrs.define
class Samples:
    """Sum the logarithms of samples."""

    total: float = 0.0
    count: int = 0
    at: float = -math.inf

    def add(self, value: float, count: int, at: float) -> None:
        """Add samples with this mean; the last of them was taken at ``at``."""
        self.total += value * count
        self.count += count
        self.at = max(self.at, at)

    def mean(self) -> float:
        """Return the mean of the samples."""
        return self.total / self.count


@attrs.define
class Estimate:
    """Hold the samples of one measure of one server."""

    service: str
    started_at_ms: int
    windows: dict[int, Samples] = attrs.field(factory=dict)
    last_at: float = -math.inf
    recent_total: float = 0.0
    recent_weight: float = 0.0
    reported_at: float = -math.inf

    def add(self, value: float, count: int, at: float) -> None:
        """Add samples with this mean; samples that are too old have no effect."""
        index = math.floor(at / WINDOW_S)
        if len(self.windows) >= WINDOWS and index < min(self.windows):
            return
        self.windows.setdefault(index, Samples()).add(value, count, at)
        if len(self.windows) > WINDOWS:
            del self.windows[min(self.windows)]
        # Samples of other hosts may be older than the last one here.
        decay = 0.5 ** (abs(at - self.last_at) / PHASE_SAMPLE_HALF_LIFE_S)
        if at >= self.last_at:
            self.recent_total *= decay
            self.recent_weight *= decay
            self.last_at, decay = at, 1.0
        self.recent_total += value * count * decay
        self.recent_weight += count * decay

    def count(self) -> int:
        """Return the number of remembered samples."""
        return sum(window.count for window in self.windows.values())

    def level(self) -> float:
        """Return the median of the windows, weighted by their samples."""
        means = sorted(
            (window.mean(), min(WINDOW_WEIGHT, window.count))
            for window in self.windows.values()
        )
        half = sum(weight for _, weight in means) / 2.0
        below = 0.0
        for position, (mean, weight) in enumerate(means):
            below += weight
            if below == half and position + 1 < len(means):
                return (mean + means[position + 1][0]) / 2.0
            if below > half:
                return mean
        return means[-1][0]

    def recent(self) -> float:
        """Return the mean of the newest samples, weighted by their age."""
        return self.recent_total / self.recent_weight
