"""Find changes of one kind that were missed, from the revision of the store.

The revision grows with each change of any kind. A response about one kind that states
the revision up to which another kind has been read therefore shows, at no cost, that
nothing of the other one was missed. So does a higher revision if each one between is
that of a known change of the first kind. Otherwise one call tells.
"""

import threading
import time
from collections.abc import Callable, Iterable
from typing import Protocol

from result import Err, Ok

from sesameport.interfaces import Platform, PlatformErrorKind, WatchBatch
from sesameport.telemetry.logs import get_logger

__all__ = ["RevisionCheck"]

CHECK_TIMEOUT_S = 0.1
"""Timeout of the watch call of a check, seconds. It returns at once if there is a
change."""

LOST_AFTER_S = 1.0
"""Time since a check at which its response counts as lost, seconds. The host then reads
the kind anew, which costs more than a check, so a slow store gets time to answer."""

log = get_logger("store")


class CheckedWatcher(Protocol):
    """Follow one kind; see ``store_watch.ListWatcher``."""

    @property
    def version(self) -> int | None:
        """Return the revision up to which the kind has been read, if any."""
        ...

    def is_watching(self) -> bool:
        """Return whether a watch is pending, so that its response can be lost."""
        ...

    def apply_missed(self, since: int, batch: WatchBatch) -> None:
        """Handle the changes since a revision that a check has found."""
        ...

    def read_anew(self) -> None:
        """Watch on a new connection at once."""
        ...


class RevisionCheck:
    """Check one watched kind; thread-safe.

    Parameters
    ----------
    kind : str
        Kind of objects.
    watcher : CheckedWatcher
        Follows the kind.
    connect : callable
        Returns a client of the store with connections of its own.
    call_at : callable
        Calls a function at a monotonic time, see `TimerService.call_at`.
    settle_s : float
        Time in which a change reaches the watcher itself, seconds.
    closing : threading.Event
        Ends the checks.
    count : callable
        Counts the calls of a kind of operation by their result.
    """

    def __init__(
        self,
        kind: str,
        watcher: CheckedWatcher,
        connect: Callable[[], Platform],
        call_at: Callable[[str, float, Callable[[float], None]], None],
        settle_s: float,
        closing: threading.Event,
        count: Callable[[str, str], None],
    ):
        self._kind = kind
        self._watcher = watcher
        self._connect = connect
        self._call_at = call_at
        self._settle_s = settle_s
        self._closing = closing
        self._count = count
        self._lock = threading.Lock()
        self._store: Platform | None = None
        self._call: object | None = None
        self._era = 0
        self._confirmed = 0
        self._other_changes: set[int] = set()

    def record(
        self, revision: int, other_changes: Iterable[int] = (), era: int = 0
    ) -> None:
        """Record a revision of the store, and check what was missed up to it.

        ``other_changes`` are revisions of changes of another kind. The store gives out
        revisions again in a new era.
        """
        with self._lock:
            if era != self._era:
                self._era, self._confirmed = era, 0
                self._other_changes.clear()
            is_confirmed = self._confirm(revision, other_changes)
            if is_confirmed or self._call is not None or not self._is_behind(revision):
                return
            self._call = call = object()
        due = time.monotonic() + self._settle_s
        self._call_at(
            f"check-{self._kind}",
            due,
            lambda now: self._start_if_behind(call, revision),
        )

    def _confirm(self, revision: int, other_changes: Iterable[int]) -> bool:
        """Return whether the kind is known not to have changed up to a revision."""
        known = max(self._confirmed, self._watcher.version or 0)
        self._other_changes.update(other_changes)
        self._other_changes = {item for item in self._other_changes if item > known}
        between = sum(item <= revision for item in self._other_changes)
        if between < revision - known:
            return False
        self._confirmed = max(known, revision)
        return True

    def check_now(self) -> None:
        """Check the kind at once, because responses about others were lost."""
        with self._lock:
            self._call = call = object()
        self._start(call)

    def _is_behind(self, revision: int) -> bool:
        version = self._watcher.version
        is_watching = self._watcher.is_watching()
        return version is not None and version < revision and is_watching

    def _start_if_behind(self, call: object, revision: int) -> None:
        if self._is_behind(revision):
            self._start(call)
            return
        self._end(call)

    def _start(self, call: object) -> None:
        if not self._watcher.is_watching() or self._closing.is_set():
            self._end(call)
            return
        threading.Thread(
            target=self._run, args=(call,), name=f"check-{self._kind}", daemon=True
        ).start()
        lost_at = time.monotonic() + LOST_AFTER_S
        self._call_at(f"check-{self._kind}", lost_at, lambda now: self._give_up(call))

    def _end(self, call: object) -> bool:
        """End a check; return False if it was given up."""
        with self._lock:
            is_current = self._call is call
            if is_current:
                self._call = None
        return is_current

    def _give_up(self, call: object) -> None:
        """Let the watcher ask on a new connection if a check got no response."""
        if self._end(call):
            self._store = None
            self._count("check", "no-response")
            self._watcher.read_anew()

    def _run(self, call: object) -> None:
        store = self._store or self._connect()
        since = self._watcher.version
        result = store.watch(self._kind, since, CHECK_TIMEOUT_S)
        if not self._end(call) or self._closing.is_set():
            return
        self._store = store if result.is_ok() else None
        match result:
            case Ok(batch):
                self._count("check", "ok")
                self._watcher.apply_missed(since, batch)
                if batch.changes:
                    fields = {"kind": self._kind, "since": since}
                    log.warning("store changes missed; found by revision", extra=fields)
                    self._watcher.read_anew()
            case Err(error):
                self._count("check", str(error.kind))
                if error.kind == PlatformErrorKind.GONE:
                    self._watcher.read_anew()
