"""Learn how fast each server is in relation to the other servers of its service.

Servers of one service differ in two ways. Some are slower or faster for as long as they
run, for example on other hardware. Others are slow for a while. The samples of a server
are collected in windows of time. The median of the windows is the inherent speed, which
a slow phase changes only if it lasts for half of the remembered time. The deviation of
the newest samples from it is the temporary part, which decays between samples, so that
a server that is avoided for its slowness gets requests again.

All estimates are logarithms of times. They count only if they differ from the typical
server of the service by more than their own noise. Otherwise a server has no factor,
and placement is as it would be without this module.
"""

import math
import statistics
from collections.abc import Iterable

import attrs

from sesameport.admission.speed_estimates import (
    WINDOW_WEIGHT,
    Estimate,
    Samples,
    SpeedMeasure,
    SpeedReport,
)
from sesameport.entry.servers import EntryServer

__all__ = ["ServerSpeeds"]

MIN_SAMPLES = 8
"""Number of samples from which a server has an estimate."""

MIN_DIFFERENCE = 0.15
MIN_PHASE_DIFFERENCE = 0.4
NOISE_DEVIATIONS = 4.0
"""A difference counts if it exceeds the minimum (as a logarithm: 16 % and 49 %) and
this multiple of its standard error. With hundreds of servers that are checked every
second, a smaller multiple would report differences between equal servers."""

MAX_SAMPLE_DEVIATION = 1.5
"""Deviation from the estimate at which a sample is clipped, as a logarithm (4.5 times).
A caller that reads slowly or a lost packet says little about a server."""

PRIOR_VARIANCE = 0.12
VARIANCE_WEIGHT = 0.02
"""Assumed variance of the logarithms of one server's samples (a standard deviation of
about 35 %), and weight of each sample in its moving average."""

PHASE_HALF_LIFE_S = 5.0
"""Half-life of the temporary part of a difference after the last sample, seconds."""

MIN_PHASE_SAMPLES = 3.0

TRUST_HALF_LIFE_S = 120.0
SILENCE_S = 600.0
"""Half-life of a server's difference after its last sample, and the time after which
its samples are dropped, seconds."""

TABLE_LIFETIME_S = 0.25
TABLE_LIFETIME_PER_SERVER_S = 0.005
"""Time for which the factors of a service are not computed again, seconds: the greater
of the minimum and the product with the number of servers. A server takes 5 us, so this
is at most a thousandth of the time."""

ENOUGH_SAMPLES = 24
"""Number of remembered samples from which other hosts need only changes."""

REFRESH_S = 30.0
"""Time after which a server with a factor is reported again if it has new samples,
seconds. Hosts that avoid the server would forget it otherwise."""


@attrs.define
class _Table:
    """Hold what was computed for a measure of a service at a time."""

    at: float
    factors: dict[str, float]
    typical_s: float


@attrs.define
class ServerSpeeds:
    """Hold the learned speeds of all servers; not thread-safe.

    Examples
    --------
    >>> speeds = ServerSpeeds()
    >>> speeds.factors("svc", SpeedMeasure.PLAIN, now=1.0)
    {}
    """

    _estimates: dict[SpeedMeasure, dict[str, Estimate]] = attrs.field(
        factory=lambda: {measure: {} for measure in SpeedMeasure}
    )
    _variances: dict[tuple[str, SpeedMeasure], float] = attrs.field(factory=dict)
    _tables: dict[tuple[str, SpeedMeasure], _Table] = attrs.field(factory=dict)
    _pending: dict[tuple[SpeedMeasure, str], Samples] = attrs.field(factory=dict)
    _summaries: list[tuple[SpeedMeasure, str]] = attrs.field(factory=list)

    def record(
        self, server: EntryServer, measure: SpeedMeasure, seconds: float, now: float
    ) -> None:
        """Record a sample of this host, seconds for the unit of the measure."""
        if seconds <= 0:
            return
        estimate = self._estimate_of(server, measure)
        value = math.log(seconds)
        if estimate.windows:
            level = estimate.level()
            limit = MAX_SAMPLE_DEVIATION
            value = min(level + limit, max(level - limit, value))
            newest = estimate.windows[max(estimate.windows)].mean()
            self._record_deviation(server.service, measure, value - newest)
        estimate.add(value, 1, now)
        key = measure, server.name
        self._pending.setdefault(key, Samples()).add(value, 1, now)

    def _record_deviation(
        self, service: str, measure: SpeedMeasure, deviation: float
    ) -> None:
        key = service, measure
        variance = self._variances.get(key, PRIOR_VARIANCE)
        variance += VARIANCE_WEIGHT * (deviation**2 - variance)
        self._variances[key] = variance

    def _estimate_of(self, server: EntryServer, measure: SpeedMeasure) -> Estimate:
        estimates = self._estimates[measure]
        estimate = estimates.get(server.name)
        if estimate is None or estimate.started_at_ms != server.started_at_ms:
            estimate = Estimate(server.service, server.started_at_ms)
            estimates[server.name] = estimate
        return estimate

    def begin_incarnation(self, server: str, started_at_ms: int) -> None:
        """Forget what an earlier incarnation of a server did."""
        for measure, estimates in self._estimates.items():
            estimate = estimates.get(server)
            if estimate is not None and estimate.started_at_ms != started_at_ms:
                del estimates[server]
                self._pending.pop((measure, server), None)
                self._tables.pop((estimate.service, measure), None)

    def factors(
        self, service: str, measure: SpeedMeasure, now: float
    ) -> dict[str, float]:
        """Return the time of servers as a multiple of the service's typical time.

        It has only servers that differ by more than the noise, and is empty if there
        are none.
        """
        return self._table(service, measure, now).factors

    def unequal(self, now: float) -> dict[str, float]:
        """Return the servers that have a factor in a measure that placement uses."""
        found: dict[str, float] = {}
        for service, measure in list(self._tables):
            found.update(self.factors(service, measure, now))
        return found

    def typical_s(self, service: str, measure: SpeedMeasure, now: float) -> float:
        """Return the typical time of a service's servers, seconds; 0 if unknown."""
        return self._table(service, measure, now).typical_s

    def _table(self, service: str, measure: SpeedMeasure, now: float) -> _Table:
        key = service, measure
        table = self._tables.get(key)
        lifetime_s = TABLE_LIFETIME_PER_SERVER_S * len(self._estimates[measure])
        if table is None or now - table.at >= max(TABLE_LIFETIME_S, lifetime_s):
            table = self._tables[key] = self._compute(service, measure, now)
        return table

    def _compute(self, service: str, measure: SpeedMeasure, now: float) -> _Table:
        levels: dict[str, tuple[Estimate, float, int]] = {}
        for name, estimate in self._estimates[measure].items():
            if estimate.service != service:
                continue
            count = estimate.count()
            if count >= MIN_SAMPLES:
                levels[name] = estimate, estimate.level(), count
        if not levels:
            return _Table(now, {}, 0.0)
        typical = statistics.median(level for _, level, _ in levels.values())
        variance = self._variances.get((service, measure), PRIOR_VARIANCE)
        # All servers of a service are slower at the same time in a burst.
        phases = {
            name: estimate.recent() - level
            for name, (estimate, level, _) in levels.items()
            if estimate.recent_weight >= MIN_PHASE_SAMPLES
        }
        usual_phase = statistics.median(phases.values()) if len(phases) > 1 else 0.0
        factors = {}
        for name, (estimate, level, count) in levels.items():
            age_s = max(0.0, now - estimate.last_at)
            # The windows of a server differ by more than their samples do.
            limit = NOISE_DEVIATIONS * math.sqrt(
                variance / count + variance / (WINDOW_WEIGHT * len(estimate.windows))
            )
            difference = level - typical
            if abs(difference) <= max(MIN_DIFFERENCE, limit):
                difference = 0.0
            difference *= 0.5 ** (age_s / TRUST_HALF_LIFE_S)
            difference += _temporary_part(
                phases.get(name), usual_phase, estimate.recent_weight, variance, age_s
            )
            if abs(difference) > MIN_DIFFERENCE:
                factors[name] = math.exp(difference)
        return _Table(now, factors, math.exp(typical))

    def merge(self, report: SpeedReport, server: EntryServer, now: float) -> bool:
        """Add the samples of another host; return whether they belong to ``server``.

        A summary has an effect only if it has more samples than are known here.
        """
        if server.started_at_ms and report.started_at_ms != server.started_at_ms:
            return False
        estimate = self._estimate_of(server, report.measure)
        at = now - report.age_s
        estimate.reported_at = max(estimate.reported_at, at)
        key = report.measure, report.server
        if report.is_summary:
            if key in self._summaries:
                self._summaries.remove(key)
            if 2 * estimate.count() >= report.count:
                return True
            estimate.windows.clear()
        estimate.add(report.log_seconds, report.count, at)
        return True

    def queue_summaries(self, keys_first: Iterable[float], now: float) -> None:
        """Queue summaries of servers with a factor for hosts that started.

        ``keys_first`` orders the servers, differently on each host, because a summary
        that another host sends first is not sent here.
        """
        names = [
            (measure, name)
            for service, measure in list(self._tables)
            for name in self.factors(service, measure, now)
            if name in self._estimates[measure]
        ]
        ordered = sorted(zip(keys_first, names, strict=False))
        self._summaries = [key for _, key in ordered]

    def take_reports(self, limit: int, now: float) -> list[SpeedReport]:
        """Return at most ``limit`` reports that other hosts lack, and forget the rest.

        Samples that agree with what is known of a server are not reported.
        """
        found = []
        for key, samples in self._pending.items():
            measure, name = key
            estimate = self._estimates[measure].get(name)
            if estimate is None:
                continue
            urgency = self._urgency(measure, name, estimate, samples, now)
            if urgency > 0:
                found.append((urgency, key, estimate, samples))
        self._pending.clear()
        found.sort(key=lambda item: -item[0])
        reports = []
        for _, (measure, name), estimate, samples in found[:limit]:
            estimate.reported_at = now
            reports.append(_report(measure, name, estimate, samples, now))
        while self._summaries and len(reports) < limit:
            measure, name = self._summaries.pop()
            estimate = self._estimates[measure].get(name)
            if estimate is None or not estimate.windows:
                continue
            summary = Samples(0.0, 0, estimate.last_at)
            summary.add(estimate.level(), estimate.count(), estimate.last_at)
            report = _report(measure, name, estimate, summary, now)
            reports.append(attrs.evolve(report, is_summary=True))
        return reports

    def _urgency(self, measure, name, estimate, samples, now: float) -> float:
        """Return by how much samples differ from what is known, 0 if not enough."""
        table = self._table(estimate.service, measure, now)
        variance = self._variances.get((estimate.service, measure), PRIOR_VARIANCE)
        if table.typical_s > 0:
            expected = math.log(table.typical_s * table.factors.get(name, 1.0))
            difference = abs(samples.mean() - expected)
            noise = NOISE_DEVIATIONS * math.sqrt(variance / samples.count)
            if difference > max(MIN_PHASE_DIFFERENCE, noise):
                return 1.0 + difference
            is_due = now - estimate.reported_at >= REFRESH_S
            if name in table.factors and is_due:
                return 1.0
        return 0.5 if estimate.count() < ENOUGH_SAMPLES else 0.0

    def expire(self, now: float) -> None:
        """Forget servers that have had no sample for a long time."""
        for estimates in self._estimates.values():
            for name, estimate in list(estimates.items()):
                if now - estimate.last_at > SILENCE_S:
                    del estimates[name]


def _temporary_part(
    phase: float | None, usual: float, weight: float, variance: float, age_s: float
) -> float:
    """Return the temporary difference of a server, 0 if it is within the noise."""
    if phase is None:
        return 0.0
    difference = phase - usual
    limit = NOISE_DEVIATIONS * math.sqrt(variance / weight)
    if abs(difference) <= max(MIN_PHASE_DIFFERENCE, limit):
        return 0.0
    return difference * 0.5 ** (age_s / PHASE_HALF_LIFE_S)


def _report(measure, name, estimate, samples, now: float) -> SpeedReport:
    age_s = max(0.0, now - samples.at)
    return SpeedReport(
        name, estimate.started_at_ms, measure, samples.mean(), samples.count, age_s
    )
