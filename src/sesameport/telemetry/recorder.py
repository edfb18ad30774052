"""Record outcomes and decisions of one daemon."""

import threading
from collections.abc import Mapping

from sesameport.domain import LatencyTargets
from sesameport.telemetry.burn import BurnCounters, BurnSnapshot
from sesameport.telemetry.decisions import DecisionKind, DecisionRing
from sesameport.telemetry.metrics import Metrics
from sesameport.telemetry.outcomes import Outcome

__all__ = ["Recorder"]


class Recorder:
    """Record outcomes and decisions in metrics, burn counters and decision records.

    This class is thread-safe.

    Parameters
    ----------
    host, data_centre : str
        Identity of this host.
    started_at : float
        Monotonic time of the process start, seconds.
    """

    def __init__(self, host: str, data_centre: str, started_at: float):
        self.metrics = Metrics(host, data_centre)
        self.decisions = DecisionRing()
        self._lock = threading.Lock()
        self._counters = BurnCounters(host, started_at)

    def set_targets(
        self,
        service: str,
        targets: LatencyTargets,
        weights: Mapping[str, float] | None = None,
    ) -> None:
        """Set the targets and weights from the active service document."""
        with self._lock:
            self._counters.set_targets(service, targets, weights)

    def record_outcome(self, outcome: Outcome) -> bool:
        """Count an ended request and return whether it was good."""
        with self._lock:
            good = self._counters.record(outcome)
        self.metrics.record(outcome, good)
        return good

    def record_decision(
        self,
        kind: DecisionKind,
        reason: str,
        now: float,
        request_id: str = "",
        inputs: Mapping | None = None,
    ) -> None:
        """Record a decision and count it by kind and reason."""
        self.decisions.add(kind, reason, now, request_id, inputs)
        self.metrics.count("sesameport_decisions_total", kind=str(kind), reason=reason)

    def snapshot(self, now: float) -> BurnSnapshot:
        """Return the burn counts at a monotonic time in seconds."""
        # Request threads wait for the lock, and summing 1,100 workspaces takes about
        # 100 ms. The lock is therefore held only while the counters are copied.
        with self._lock:
            counters = self._counters.copy()
        return counters.snapshot(now)
