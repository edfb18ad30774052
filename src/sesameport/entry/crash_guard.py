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

from sesameport.admission import CrashSuspects, Judgement, SuspectGroup, Trickle
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

MAX_LOGGED = 16
"""Number of subjects that are named in log lines about one event."""

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
        self._store_at: dict[tuple[str, int, int], float] = {}

    def start(self) -> None:
        """Load the stored records in the background, until the store answers."""
        self._store.start_loading(self.apply_reports)

    def refusal(self, progress: RequestProgress) -> m.Refused | None:
        """Return the refusal of a request that would crash a server, or None."""
        if not self._suspects or progress.is_trial:
            return None
        subjects = _subjects_of(progress)
        with self._lock:
            judgement = self._suspects.judge(subjects, time.monotonic())
        if judgement == Judgement():
            return None
        progress.is_trial = judgement.is_trial
        log.info(
            "refused subject tried" if judgement.is_trial else "request would crash",
            extra={
                "request_id": progress.req.request_id,
                "subjects": _name_some(subjects),
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
        subjects = _subjects_of(progress)
        now = time.monotonic()
        with self._lock:
            before = self._suspects.refused()
            self._suspects.record_crash(crash, subjects, now)
            self._handle_changes(before, now)
            for group in self._suspects.unstored():
                if not frozenset(subjects).isdisjoint(group.subjects):
                    self._store_at[_key(group)] = now
            self._store_due(now)
            self._send_change(now)
            self._trickle.reset(now)
            self._schedule(now)

    def record_answer(self, progress: RequestProgress) -> None:
        """Clear the subjects of a request that a server answers without a crash."""
        if not self._suspects:
            return
        subjects = _subjects_of(progress)
        now = time.monotonic()
        with self._lock:
            if not self._suspects.is_suspect(subjects):
                return
            before = self._suspects.refused()
            self._suspects.record_answer(subjects, now)
            if self._handle_changes(before, now):
                self._send_change(now)
            accepted = before - self._suspects.refused()
            stored = {name for name in accepted if self._suspects.is_stored(name)}
            if stored:
                self._store.start_deleting(stored)
            self._plan_stores(now)
            self._trickle.reset(now)
            self._schedule(now)

    def apply_reports(
        self, groups: Iterable[SuspectGroup], is_partial: bool = False
    ) -> None:
        """Merge the reports of another host or of the store.

        A partial one reaches all hosts, which then know the same.
        """
        now = time.monotonic()
        with self._lock:
            before = self._suspects.refused()
            knows_all = self._suspects.merge_groups(groups, now)
            if not is_partial:
                if knows_all:
                    self._trickle.record_equal()
                else:
                    self._trickle.reset(now)
            self._handle_changes(before, now)
            self._plan_stores(now)
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
        for subject in sorted(refused - before)[:MAX_LOGGED]:
            crashes = ",".join(self._suspects.crashes(subject))
            log.warning(
                "subject refused", extra={"subject": subject, "crashes": crashes}
            )
        for subject in sorted(before - refused)[:MAX_LOGGED]:
            log.info("subject accepted again", extra={"subject": subject})
        self._metrics.set("sesameport_entry_refused_subjects", len(refused))
        return True

    def _plan_stores(self, now: float) -> None:
        """Store what is not stored after the delay, unless a host has done so."""
        spread_s = STORE_DELAY_PER_HOST_S * self._suspects.hosts
        store_at = now + STORE_DELAY_S + self._rng.uniform(0.0, spread_s)
        for group in self._suspects.unstored():
            self._store_at.setdefault(_key(group), store_at)

    def _store_due(self, now: float) -> None:
        unstored = {_key(group): group for group in self._suspects.unstored()}
        for key, at in list(self._store_at.items()):
            if key not in unstored:
                del self._store_at[key]
                continue
            if at > now:
                continue
            self._store_at[key] = now + self._rng.uniform(0.5, 1.0) * STORE_RETRY_S
            self._store.start_saving(unstored[key], self._record_stored)

    def _record_stored(self, group: SuspectGroup) -> None:
        """Report that crashes are stored, which saves the other hosts the call."""
        now = time.monotonic()
        with self._lock:
            self._suspects.mark_stored(group.subjects, len(group.crashes), now)
            self._send_change(now)

    def _send(self, now: float) -> None:
        groups = self._suspects.report_groups(now)
        if groups:
            self._publish(m.SuspectReports(tuple(groups)))

    def _send_change(self, now: float) -> None:
        """Send what has changed now, or all that is known if it is short."""
        report = m.SuspectReports(tuple(self._suspects.report_groups(now)))
        if not report.is_short():
            changed = tuple(self._suspects.report_groups(now, changed_since=now))
            report = m.SuspectReports(changed, is_partial=True)
        if report.groups:
            self._publish(report)

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


def _subjects_of(progress: RequestProgress) -> tuple[str, ...]:
    """Return the subjects of a request, which are found once."""
    if not progress.crash_subjects:
        progress.crash_subjects = request_subjects(progress.req, progress.service)
    return progress.crash_subjects


def _key(group: SuspectGroup) -> tuple[str, int, int]:
    """Return what tells groups apart that are not stored yet."""
    return group.subjects[0], len(group.subjects), len(group.crashes)


def _name_some(subjects: tuple[str, ...]) -> str:
    more = len(subjects) - MAX_LOGGED
    names = ",".join(subjects[:MAX_LOGGED])
    return f"{names} and {more} more" if more > 0 else names


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
