"""Count request outcomes for service-level objectives and error budgets.

Each host counts its own outcomes in `BurnCounters` and serves a `BurnSnapshot` of them.
Monotonic clocks of different hosts have different origins, so a snapshot holds no
times. It holds sums over windows that end now, and `merge_snapshots` adds these field
by field.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

import attrs

from sesameport.domain import LatencyTargets
from sesameport.telemetry.buckets import TimeBuckets
from sesameport.telemetry.outcomes import Outcome, OutcomeKind

__all__ = [
    "BUDGET_PERIOD_S",
    "WINDOW_LENGTHS_S",
    "BurnCounters",
    "BurnSnapshot",
    "ServiceCounts",
    "ServiceSnapshot",
    "WorkspaceCounts",
    "merge_snapshots",
]

BUDGET_PERIOD_S = 30 * 86_400
"""Period of an error budget, seconds."""

WINDOW_LENGTHS_S = {
    "5m": 300,
    "30m": 1_800,
    "1h": 3_600,
    "6h": 21_600,
    "3d": 259_200,
    "30d": BUDGET_PERIOD_S,
}
"""Window lengths in seconds by window name."""

SERIES_WINDOW_S = 21_600
"""Length of a service's time series, seconds: 36 buckets of 10 minutes."""

MAX_WORKSPACES = 2_200
"""Maximum number of workspaces counted at once: twice the design size."""

_WORKSPACE_FIELD_COUNT = 5
_SERVICE_FIELD_COUNT = 8


# msgspec encodes named tuples as JSON arrays. A snapshot of 1,100 workspaces is a third
# of the size that it would have with field names.
class WorkspaceCounts(NamedTuple):
    """Hold the counts of one workspace over one window.

    Attributes
    ----------
    eligible, good : int
        Requests that the objective counts, and how many of them were answered within
        the targets.
    wrongful : int
        Eligible requests that were refused.
    demand_tokens, served_tokens : int
        Tokens charged for eligible requests, and for the answered ones among them.
    """

    eligible: int = 0
    good: int = 0
    wrongful: int = 0
    demand_tokens: int = 0
    served_tokens: int = 0


class ServiceCounts(NamedTuple):
    """Hold the counts of one service over one window.

    ``requests`` counts all ended requests and ``refused`` all refusals.
    ``good_output_tokens`` sums the output tokens of good requests. The other fields are
    described in `WorkspaceCounts` and `Outcome`.
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
        Target share of good requests among the eligible ones: ``targets.share``.
    windows : dict of str to ServiceCounts
        Counts by window name.
    series : list of ServiceCounts
        Buckets of 10 minutes, newest first.
    workspaces : dict of str to dict of str to WorkspaceCounts
        Counts by workspace and window name. Windows without requests are omitted.
    weights : dict of str to float
        Weights by workspace; a weight of 1 is omitted.
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
        Hosts whose counts are included.
    covered_s : list of float
        How long each of these hosts has counted, seconds.
    services : dict of str to ServiceSnapshot
        Counts by service.
    """

    hosts: list[str]
    covered_s: list[float]
    services: dict[str, ServiceSnapshot]

    def coverage(self, window_s: float) -> float:
        """Return the mean fraction of a window that the hosts have counted, 0 to 1.

        A process loses its counters when it ends, so a replaced host covers less.
        """
        if not self.covered_s:
            return 0.0
        fractions = [min(1.0, covered / window_s) for covered in self.covered_s]
        return sum(fractions) / len(fractions)


class BurnCounters:
    """Count the outcomes of one host in constant memory per workspace.

    This class is not thread-safe; the caller must hold a lock.

    Parameters
    ----------
    host : str
        Name of this host.
    started_at : float
        Monotonic time at which counting starts, seconds.
    max_workspaces : int
        Maximum number of workspaces over all services. Adding another one evicts the
        workspace that has been idle longest.
    """

    def __init__(
        self, host: str, started_at: float, max_workspaces: int = MAX_WORKSPACES
    ):
        self._host = host
        self._started_at = started_at
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
        """Set the targets and weights from the active service document."""
        self._targets[service] = targets
        self._weights[service] = {
            name: weight for name, weight in (weights or {}).items() if weight != 1.0
        }

    def record(self, outcome: Outcome) -> bool:
        """Count an outcome and return whether it was good."""
        targets = self._targets.get(outcome.service, LatencyTargets())
        eligible = outcome.is_eligible()
        good = outcome.is_good(targets)
        wrongful = outcome.is_wrongful()
        buckets = self._services.get(outcome.service)
        if buckets is None:
            buckets = TimeBuckets(_SERVICE_FIELD_COUNT, use_64_bit_cells=True)
            self._services[outcome.service] = buckets
        buckets.add(
            outcome.ended_at,
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
            charged_tokens = outcome.charged_tokens()
            served_tokens = (
                charged_tokens if outcome.kind == OutcomeKind.ANSWERED else 0
            )
            self._workspace_buckets(outcome).add(
                outcome.ended_at, (1, good, wrongful, charged_tokens, served_tokens)
            )
        return good

    def snapshot(self, now: float) -> BurnSnapshot:
        """Return the counts at a monotonic time in seconds."""
        services = {}
        for name, buckets in self._services.items():
            services[name] = ServiceSnapshot(
                self._targets.get(name, LatencyTargets()).share,
                {
                    window: ServiceCounts(*buckets.total(now, length))
                    for window, length in WINDOW_LENGTHS_S.items()
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
            for window, length in WINDOW_LENGTHS_S.items():
                amounts = buckets.total(now, length)
                if any(amounts):
                    windows[window] = WorkspaceCounts(*amounts)
            if windows:
                services[service].workspaces[workspace] = windows
        return BurnSnapshot([self._host], [now - self._started_at], services)

    def copy(self) -> "BurnCounters":
        """Return an independent copy."""
        copied = BurnCounters(self._host, self._started_at, self._max_workspaces)
        copied._targets = dict(self._targets)
        copied._weights = dict(self._weights)
        copied._services = {
            key: buckets.copy() for key, buckets in self._services.items()
        }
        copied._workspaces = {
            key: buckets.copy() for key, buckets in self._workspaces.items()
        }
        return copied

    def size_bytes(self) -> int:
        """Return the memory used by all counters without Python overhead, bytes."""
        all_buckets = (*self._services.values(), *self._workspaces.values())
        return sum(time_buckets.size_bytes() for time_buckets in all_buckets)

    def _workspace_buckets(self, outcome: Outcome) -> TimeBuckets:
        key = (outcome.service, outcome.workspace)
        buckets = self._workspaces.get(key)
        if buckets is None:
            if len(self._workspaces) >= self._max_workspaces:
                longest_idle = min(self._workspaces, key=self._last_written_at)
                del self._workspaces[longest_idle]
            buckets = TimeBuckets(_WORKSPACE_FIELD_COUNT, use_64_bit_cells=False)
            self._workspaces[key] = buckets
        return buckets

    def _last_written_at(self, key: tuple[str, str]) -> float:
        return self._workspaces[key].last_written_at()


def merge_snapshots(snapshots: Iterable[BurnSnapshot]) -> BurnSnapshot:
    """Return the summed counts of several hosts.

    A snapshot is ignored if an earlier snapshot includes one of its hosts, so no host
    counts twice. The objective and weights of a service come from the first host that
    reports them.
    """
    hosts: list[str] = []
    covered_s: list[float] = []
    services: dict[str, ServiceSnapshot] = {}
    for snapshot in snapshots:
        if any(host in hosts for host in snapshot.hosts):
            continue
        hosts.extend(snapshot.hosts)
        covered_s.extend(snapshot.covered_s)
        for name, counts in snapshot.services.items():
            merged = services.get(name)
            services[name] = _merge_service(merged, counts) if merged else counts
    return BurnSnapshot(hosts, covered_s, services)


def _merge_service(a: ServiceSnapshot, b: ServiceSnapshot) -> ServiceSnapshot:
    workspaces = dict(a.workspaces)
    for name, windows in b.workspaces.items():
        merged = workspaces.get(name)
        workspaces[name] = _merge_windows(merged, windows) if merged else windows
    series = [_add_counts(x, y) for x, y in zip(a.series, b.series, strict=False)]
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
        merged[window] = (
            _add_counts(merged[window], counts) if window in merged else counts
        )
    return merged


def _add_counts(a, b):
    return a._make([x + y for x, y in zip(a, b, strict=True)])
