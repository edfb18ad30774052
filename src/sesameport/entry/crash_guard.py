"""Refuse requests that crash backend servers, at all hosts of the fleet.

Hosts send each other what `CrashSuspects` knows: at once after a crash, to hosts that
start, and again at the times of `Trickle`. Without suspects they send nothing. A
refused subject is also written to the platform's store, for the case that all hosts
stop.
"""

import hashlib
import random
import threading
import time
from collections.abc import Callable, Iterable

from sesameport.admission import CrashSuspects, Judgement, SuspectReport, Trickle
from sesameport.entry import messages as m
from sesameport.entry.outcomes import RequestProgress
from sesameport.entry.requests import EntryRequest
from sesameport.entry.servers import EntryServer
from sesameport.entry.suspect_store import SuspectStore
from sesameport.telemetry.logs import get_logger

__all__ = ["CrashGuard", "request_subjects"]

STORE_DELAY_S = 1.0
STORE_DELAY_PER_HOST_S = 0.05
"""The host that sees a crash stores it at once. The others do so after the delay and a
random time up to the product with the number of hosts, seconds, unless a report says
that it is stored by then."""

STORE_RETRY_S = 10.0
"""Longest time until a record that was not stored is sent again, seconds."""

DIGEST_BYTES = 8
MAX_PART_CHARS = 64
"""Length of an id above which its digest takes its place."""

log = get_logger("requests")


class CrashGuard:
    """Judge the requests of one host by the crashes that all hosts saw; thread-safe.

    Parameters
    ----------
    timers : TimerService
        Wakes the guard to repeat reports.
    publish : callable
        Sends ``SuspectReports`` to the other hosts.
    store : SuspectStore
        Records of refused subjects.
    metrics : Metrics
        Gauge of the refused subjects.
    """

    def __init__(
        self,
        timers,
        publish: Callable[[m.SuspectReports], None],
        store: SuspectStore,
        metrics,
    ):
        self._timers = timers
        self._publish = publish
        self._store = store
        self._metrics = metrics
        self._rng = random.Random()
        self._lock = threading.Lock()
        self._suspects = CrashSuspects(self._rng)
        self._trickle = Trickle(self._rng)
        self._wakes_at = float("inf")
        self._store_at: dict[str, float] = {}

    def start(self) -> None:
        """Load the stored records in the background, until the store answers."""
        self._store.start_loading(self.apply_reports)

    def refusal(self, progress: RequestProgress) -> m.Refused | None:
        """Return the refusal of a request that would crash a server, or None."""
        if not self._suspects or progress.is_trial:
            return None
        subjects = request_subjects(progress.req, progress.service)
        with self._lock:
            judgement = self._suspects.judge(subjects, time.monotonic())
        if judgement == Judgement():
            return None
        progress.is_trial = judgement.is_trial
        log.info(
            "refused subject tried" if judgement.is_trial else "request would crash",
            extra={
                "request_id": progress.req.request_id,
                "subjects": ",".join(subjects),
                "retry_after_s": round(judgement.refused_s, 1),
            },
        )
        if judgement.is_trial:
            return None
        return m.Refused("crashes-servers", judgement.refused_s)

    def record_crash(self, progress: RequestProgress, server: EntryServer) -> None:
        """Record that a server crashed as it began to answer a request."""
        progress.is_trial = False
        crash = f"{server.name}@{server.started_at_ms}"
        subjects = request_subjects(progress.req, progress.service)
        now = time.monotonic()
        with self._lock:
            before = self._suspects.refused()
            self._suspects.record_crash(crash, subjects, now)
            self._handle_changes(before, now)
            for report in self._suspects.unstored():
                if report.subject in subjects:
                    self._store_at[report.subject] = now
            self._store_due(now)
            self._send(now)
            self._trickle.reset(now)
            self._schedule(now)

    def record_answer(self, progress: RequestProgress) -> None:
        """Clear the subjects of a request that a server answers without a crash."""
        if not self._suspects:
            return
        subjects = request_subjects(progress.req, progress.service)
        now = time.monotonic()
        with self._lock:
            if not self._suspects.is_suspect(subjects):
                return
            before = self._suspects.refused()
            self._suspects.record_answer(subjects, now)
            if self._handle_changes(before, now):
                self._send(now)
            for subject in before - self._suspects.refused():
                if self._suspects.is_stored(subject):
                    self._store.start_deleting(subject)
            self._trickle.reset(now)
            self._schedule(now)

    def apply_reports(self, reports: Iterable[SuspectReport]) -> None:
        """Merge the reports of another host or of the store."""
        now = time.monotonic()
        with self._lock:
            before = self._suspects.refused()
            if self._suspects.merge(reports, now):
                self._trickle.record_equal()
            else:
                self._trickle.reset(now)
            spread_s = STORE_DELAY_PER_HOST_S * self._suspects.hosts
            store_at = now + STORE_DELAY_S + self._rng.uniform(0.0, spread_s)
            self._handle_changes(before, now)
            for report in self._suspects.unstored():
                self._store_at.setdefault(report.subject, store_at)
            self._schedule(now)

    def record_hosts(self, count: int, are_new: bool) -> None:
        """Set the number of hosts; repeat the reports soon for new ones."""
        now = time.monotonic()
        with self._lock:
            self._suspects.hosts = self._trickle.hosts = max(1, count)
            if are_new and self._suspects:
                self._trickle.reset(now)
                self._schedule(now)

    def begin_era(self) -> None:
        """Restore the records soon, because the store came back from an older copy."""
        now = time.monotonic()
        with self._lock:
            if not self._suspects:
                return
            spread_s = STORE_DELAY_PER_HOST_S * self._suspects.hosts
            restore_at = now + STORE_DELAY_S + self._rng.uniform(0.0, spread_s)
        self._timers.call_at("suspects", restore_at, self._restore)

    def refused_subjects(self) -> list[str]:
        """Return the refused subjects."""
        with self._lock:
            return sorted(self._suspects.refused())

    def _restore(self, now: float) -> None:
        with self._lock:
            refused, cleared = self._suspects.to_store(), self._suspects.cleared()
        if refused or cleared:
            self._store.start_restoring(refused, cleared)

    def _wake(self, now: float) -> None:
        with self._lock:
            if now < self._wakes_at:
                return  # a later call has replaced this one
            self._wakes_at = float("inf")
            before = self._suspects.refused()
            self._suspects.expire(now)
            self._handle_changes(before, now)
            if self._trickle.take_send(now):
                self._send(now)
            self._store_due(now)
            self._schedule(now)

    def _handle_changes(self, before: set[str], now: float) -> bool:
        """Log changes of the refused subjects; return whether there are any."""
        refused = self._suspects.refused()
        if refused == before:
            return False
        for subject in sorted(refused - before):
            crashes = ",".join(self._suspects.crashes(subject))
            log.warning(
                "subject refused", extra={"subject": subject, "crashes": crashes}
            )
        for subject in sorted(before - refused):
            log.info("subject accepted again", extra={"subject": subject})
        self._metrics.set("sesameport_entry_refused_subjects", len(refused))
        return True

    def _store_due(self, now: float) -> None:
        unstored = {report.subject: report for report in self._suspects.unstored()}
        for subject, at in list(self._store_at.items()):
            if subject not in unstored:
                del self._store_at[subject]
                continue
            if at > now:
                continue
            self._store_at[subject] = now + self._rng.uniform(0.5, 1.0) * STORE_RETRY_S
            self._store.start_saving(unstored[subject], self._record_stored)

    def _record_stored(self, subject: str, count: int) -> None:
        """Report that crashes are stored, which saves the other hosts the call."""
        now = time.monotonic()
        with self._lock:
            self._suspects.mark_stored(subject, count, now)
            self._send(now)

    def _send(self, now: float) -> None:
        reports = self._suspects.reports(now)
        if reports:
            self._publish(m.SuspectReports(tuple(reports)))

    def _schedule(self, now: float) -> None:
        """Schedule the next call of `_wake`, unless there is nothing to repeat."""
        if not self._suspects:
            return
        if not self._trickle.is_running():
            self._trickle.reset(now)
        wakes_at = min([self._trickle.next_at(now), *self._store_at.values()])
        if wakes_at < self._wakes_at:
            self._wakes_at = wakes_at
            self._timers.call_at("suspects", wakes_at, self._wake)


def request_subjects(req: EntryRequest, service: str) -> tuple[str, ...]:
    """Return what a request may have in common with others that crash servers.

    These are the parts of its prompt that others may have too, and the request itself:
    its method, target, caller and body.
    """
    whole = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for field in (req.method, req.target, req.workspace):
        whole.update(field.encode() + b"\0")
    whole.update(req.body)
    parts = [
        part if len(part) <= MAX_PART_CHARS else _digest(part)
        for part in req.prompt_parts
    ]
    return (
        f"{service}/request/{whole.hexdigest()}",
        *(f"{service}/part/{part}" for part in parts),
    )


def _digest(text: str) -> str:
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()
