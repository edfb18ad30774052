"""Count outcomes against the service-level objectives and burn error budgets.

A host counts its own outcomes (`BurnCounters`) and serves them as a `BurnSnapshot`.
Monotonic clocks of different hosts have no common zero, so a snapshot holds sums over
windows that end now, never times; `merge_snapshots` adds them field by field.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

import attrs

from sesameport.telemetry.buckets import TimeBuckets
from sesameport.telemetry.outcomes import Outcome, OutcomeKind
from sesameport.world import LatencyTargets

__all__ = [
    "PERIOD_S",
    "WINDOWS",
    "BurnCounters",
    "BurnSnapshot",
    "ServiceCounts",
    "ServiceSnapshot",
    "WorkspaceCounts",
    "merge_snapshots",
]

PERIOD_S = 30 * 86_400
"""Length of the period that an error budget is for, seconds."""

WINDOWS = {
    "5m": 300,
    "30m": 1_800,
    "1h": 3_600,
    "6h": 21_600,
    "3d": 259_200,
    "30d": PERIOD_S,
}
"""Names of the windows and their lengths, seconds."""

SERIES_WINDOW_S = 21_600
"""Window of the series of a service, seconds: 36 buckets of 10 minutes."""

MAX_WORKSPACES = 2_200
"""Most workspaces counted at once, twice the size that the design is for."""

_WORKSPACE_FIELDS = 5
_SERVICE_FIELDS = 8


# Named tuples are JSON arrays for msgspec, which keeps a snapshot of 1,100 workspaces
# to a third of the size that objects with field names have.
class WorkspaceCounts(NamedTuple):
    """Count one workspace over one window.

    Attributes
    ----------
    eligible, good : int
        Requests that the objective counts, and those answered within the targets.
    wrongful : int
        Requests refused although within the rate.
    demand_tokens, served_tokens : int
        Tokens of the eligible requests, and of the answered ones among them.
    """

    eligible: int = 0
    good: int = 0
    wrongful: int = 0
    demand_tokens: int = 0
    served_tokens: int = 0


class ServiceCounts(NamedTuple):
    """Count one service over one window.

    ``requests`` counts all ended requests, ``refused`` all refusals. The other fields
    are those of `WorkspaceCounts` and of `Outcome`.
    """

    eligible: int = 0
    good: int = 0
    wrongful: int = 0
    requests: int = 0
    refused: int = 0
    prefill_tokens: int = 0
    wasted_prefill_tokens: int = 0
    good_output_tokens: int = 0


@attrs.frozen
class ServiceSnapshot:
    """Hold the counts of one service and its workspaces.

    Attributes
    ----------
    objective : float
        Share of eligible requests that is to be good, from ``targets.share``.
    windows : dict of str to ServiceCounts
        Counts by window name.
    series : list of ServiceCounts
        Buckets of 10 minutes, newest first.
    workspaces : dict of str to dict of str to WorkspaceCounts
        Counts by workspace and window name; windows without a request are left out.
    weights : dict of str to float
        Weights of workspaces that are not 1.
    """

    objective: float
    windows: dict[str, ServiceCounts]
    series: list[ServiceCounts]
    workspaces: dict[str, dict[str, WorkspaceCounts]]
    weights: dict[str, float] = attrs.field(factory=dict)


@attrs.frozen
class BurnSnapshot:
    """Hold the counts of one host, or of several after a merge.

    Attributes
    ----------
    hosts : list of str
        Hosts whose counts are in it.
    covered_s : list of float
        For each of them, how long it has counted, seconds.
    services : dict of str to ServiceSnapshot
        Counts by service.
    """

    hosts: list[str]
    covered_s: list[float]
    services: dict[str, ServiceSnapshot]

    def coverage(self, window_s: float) -> float:
        """Return the mean part of a window that the hosts have counted, 0 to 1.

        Counters end with their process, so a replaced host covers less.
        """
        if not self.covered_s:
            return 0.0
        parts = [min(1.0, covered / window_s) for covered in self.covered_s]
        return sum(parts) / len(parts)


class BurnCounters:
    """Count the outcomes of one host in constant memory per workspace.

    It is not thread-safe; its owner guards it with a lock.

    Parameters
    ----------
    host : str
        Name of this host.
    started : float
        Monotonic time at which counting starts, seconds.
    max_workspaces : int
        Bound of workspaces over all services. Above it the workspace that was idle
        longest is dropped.
    """

    def __init__(self, host: str, started: float, max_workspaces: int = MAX_WORKSPACES):
        self._host = host
        self._started = started
        self._max_workspaces = max_workspaces
        self._targets: dict[str, LatencyTargets] = {}
        self._weights: dict[str, dict[str, float]] = {}
        self._services: dict[str, TimeBuckets] = {}
        self._workspaces: dict[tuple[str, str], TimeBuckets] = {}

    def set_targets(
        self,
        service: str,
        targets: LatencyTargets,
        weights: Mapping[str, float] | None = None,
    ) -> None:
        """Set the targets and weights that the document in force states."""
        self._targets[service] = targets
        self._weights[service] = {
            name: weight for name, weight in (weights or {}).items() if weight != 1.0
        }

    def record(self, outcome: Outcome) -> bool:
        """Count an outcome and tell whether it was good."""
        targets = self._targets.get(outcome.service, LatencyTargets())
        eligible = outcome.is_eligible()
        good = outcome.is_good(targets)
        wrongful = outcome.is_wrongful()
        buckets = self._services.get(outcome.service)
        if buckets is None:
            buckets = TimeBuckets(_SERVICE_FIELDS, wide=True)
            self._services[outcome.service] = buckets
        buckets.add(
            outcome.ended,
            (
                eligible,
                good,
                wrongful,
                1,
                outcome.kind == OutcomeKind.REFUSED,
                outcome.prefill_tokens,
                outcome.wasted_prefill_tokens,
                outcome.output_tokens if good else 0,
            ),
        )
        if eligible:
            demand = outcome.demand()
            served = demand if outcome.kind == OutcomeKind.ANSWERED else 0
            self._of_workspace(outcome).add(
                outcome.ended, (1, good, wrongful, demand, served)
            )
        return good

    def snapshot(self, now: float) -> BurnSnapshot:
        """Return the counts as they are at a monotonic time in seconds."""
        services = {}
        for name, buckets in self._services.items():
            services[name] = ServiceSnapshot(
                self._targets.get(name, LatencyTargets()).share,
                {
                    window: ServiceCounts(*buckets.total(now, length))
                    for window, length in WINDOWS.items()
                },
                [
                    ServiceCounts(*amounts)
                    for amounts in buckets.series(now, SERIES_WINDOW_S)
                ],
                {},
                dict(self._weights.get(name, {})),
            )
        for (service, workspace), buckets in self._workspaces.items():
            windows = {}
            for window, length in WINDOWS.items():
                amounts = buckets.total(now, length)
                if any(amounts):
                    windows[window] = WorkspaceCounts(*amounts)
            if windows:
                services[service].workspaces[workspace] = windows
        return BurnSnapshot([self._host], [now - self._started], services)

    def copy(self) -> "BurnCounters":
        """Return a copy that later outcomes do not change."""
        other = BurnCounters(self._host, self._started, self._max_workspaces)
        other._targets = dict(self._targets)
        other._weights = dict(self._weights)
        other._services = {k: item.copy() for k, item in self._services.items()}
        other._workspaces = {k: item.copy() for k, item in self._workspaces.items()}
        return other

    def size_bytes(self) -> int:
        """Return the memory of all counters without Python's own overhead, bytes."""
        rings = (*self._services.values(), *self._workspaces.values())
        return sum(ring.size_bytes() for ring in rings)

    def _of_workspace(self, outcome: Outcome) -> TimeBuckets:
        key = (outcome.service, outcome.workspace)
        buckets = self._workspaces.get(key)
        if buckets is None:
            if len(self._workspaces) >= self._max_workspaces:
                idle = min(self._workspaces, key=self._last_use)
                del self._workspaces[idle]
            buckets = TimeBuckets(_WORKSPACE_FIELDS, wide=False)
            self._workspaces[key] = buckets
        return buckets

    def _last_use(self, key: tuple[str, str]) -> float:
        return self._workspaces[key].last_use()


def merge_snapshots(snapshots: Iterable[BurnSnapshot]) -> BurnSnapshot:
    """Add the counts of several hosts.

    Each host appears once: of two snapshots of one host the first is kept. The
    objective and weights of a service come from the first host that has it.
    """
    hosts: list[str] = []
    covered: list[float] = []
    services: dict[str, ServiceSnapshot] = {}
    for snapshot in snapshots:
        if any(host in hosts for host in snapshot.hosts):
            continue
        hosts.extend(snapshot.hosts)
        covered.extend(snapshot.covered_s)
        for name, counts in snapshot.services.items():
            known = services.get(name)
            services[name] = _merge_service(known, counts) if known else counts
    return BurnSnapshot(hosts, covered, services)


def _merge_service(a: ServiceSnapshot, b: ServiceSnapshot) -> ServiceSnapshot:
    workspaces = dict(a.workspaces)
    for name, windows in b.workspaces.items():
        known = workspaces.get(name)
        workspaces[name] = _merge_windows(known, windows) if known else windows
    series = [_add(x, y) for x, y in zip(a.series, b.series, strict=False)]
    return ServiceSnapshot(
        a.objective,
        _merge_windows(a.windows, b.windows),
        series or a.series or b.series,
        workspaces,
        a.weights or b.weights,
    )


def _merge_windows(a: dict, b: dict) -> dict:
    merged = dict(a)
    for window, counts in b.items():
        merged[window] = _add(merged[window], counts) if window in merged else counts
    return merged


def _add(a, b):
    return a._make([x + y for x, y in zip(a, b, strict=True)])
