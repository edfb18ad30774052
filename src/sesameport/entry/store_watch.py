"""List and watch kinds of objects in the platform's store, each on its own thread.

Each call to the store costs money, also one that fails. Changes that arrive in quick
succession are therefore read together, and while the store is unreachable only one
thread of a host tries to reach it.
"""

import contextlib
import math
import random
import threading
import time
import traceback
from collections.abc import Callable, Iterable
from typing import Protocol

import attrs
from result import Err, Ok

from sesameport.entry.store_era import StoreEra
from sesameport.entry.store_health import StoreHealth
from sesameport.entry.watch_times import WatchTimes
from sesameport.interfaces import (
    Platform,
    PlatformErrorKind,
    StoredObject,
    WatchBatch,
)
from sesameport.telemetry.logs import get_logger

__all__ = [
    "ListWatcher",
    "ReadResult",
    "StoreHealth",
    "server_watch_interval_s",
]

RETRY_WATCH_TIMEOUT_S = 0.1
"""Timeout of a watch call after a failed one, seconds. Its response shows that the
store can be reached again. A long watch would respond only at the next change. The
first watch after `ListWatcher.restart` has it too: its response shows whether the store
has a change at all."""

CLOSE_WATCH_TIMEOUT_S = 0.8
CLOSE_ANSWER_S = 0.3
"""Timeout of a watch by a host that hears no other, and the time after it at which the
response counts as lost, seconds. With the ticks of the host, 0.5 s apart, a change is
asked for again within 1.6 s."""

CLOSELY_S = 2.0
"""Time for which `ListWatcher.watch_closely` applies, seconds."""

MIN_RESTART_INTERVAL_S = 0.4
"""Shortest time between two restarts, seconds. Several parts of a host may notice the
same missed change."""

WAITED_S = 0.5
"""Time without a response after which a watch has waited for a change, seconds. The
revision of its response is then that of the change."""

WATCH_INTERVAL_S = 0.4
"""Shortest time between two watch calls of one kind, seconds. A single change is read
immediately; those that follow within this time are read together. It is a fifth of the
shortest time in which a configuration must be in force."""

SERVER_INTERVAL_SHARE = 0.2
"""The same for the entries of servers, as a share of the time after which no request
may reach a server that leaves. While servers are replaced, their entries change every
0.4 s, and each change costs one call of every host."""

BACKOFF_BASE_S = 0.1
MAX_BACKOFF_S = 1.0
"""Bounds of the backoff after a failed call, seconds. The maximum keeps nine hosts
below 30 calls/s in an outage, and hosts still recover well within the time bound for
applying a configuration."""

RESTART_BASE_S = 0.1
MAX_RESTART_S = 10.0
"""Bounds of the delay after an unexpected exception, seconds. It doubles with each one,
and starts again after a time without one of `SETTLED_S`."""

SETTLED_S = 60.0
FAILURES_UNTIL_UNREADY = 3
"""Number of exceptions in a row after which the host is not ready."""

log = get_logger("store")


@attrs.frozen
class ReadResult:
    """Describe a response that was handled.

    Attributes
    ----------
    changed : int
        Revision of the newest change in it, 0 without one. The change exists, so
        another host that has read up to an earlier revision has missed it.
    revision : int
        Revision up to which the kind has been read. It advances also without changes,
        and differs between hosts that know the same objects.
    is_repeat : bool
        Whether it is the first response after `ListWatcher.restart`.
    removed : tuple of (str, int)
        Names of the removed objects and the revisions in their events, which may be
        those of their last writes.
    """

    changed: int
    revision: int
    is_repeat: bool
    removed: tuple[tuple[str, int], ...] = ()


class ObjectHandler(Protocol):
    """Handle the objects that a `ListWatcher` reads."""

    def handle_listing(self, objects: Iterable[StoredObject]) -> None:
        """Handle a complete listing."""
        ...

    def handle_changes(self, objects: Iterable[StoredObject]) -> None:
        """Handle changes in their order; removed objects are marked as deleted."""
        ...


def server_watch_interval_s(drain_s: float | None) -> float:
    """Return the shortest time between two watch calls for the entries of servers.

    Examples
    --------
    >>> server_watch_interval_s(None), server_watch_interval_s(3.0)
    (0.4, 0.6)
    """
    return max(WATCH_INTERVAL_S, SERVER_INTERVAL_SHARE * (drain_s or 0.0))


class ListWatcher:
    """List a kind, then watch it; list again when its history has expired.

    Parameters
    ----------
    connect : callable
        Returns a client of the store with connections of its own.
    kind : str
        Kind of objects.
    handler : ObjectHandler
        Handles listings and changes on the thread of the watcher.
    health : StoreHealth
        Records the outcome of every call.
    metrics : Metrics
        Counts calls.
    closing : threading.Event
        Stops the watcher after its current call.
    on_read : callable
        Called with a `ReadResult` after each listing, each change and each first
        response after a restart has been handled.
    interval_s : float
        Shortest time between two watch calls, seconds.
    lists_again : bool
        Whether to list and not to watch after a failure or a restart. The changes of a
        large object that is written often take many times as long as its last state.
    times : WatchTimes
        When the response to a watch counts as lost.
    call_at : callable
        Calls a function at a monotonic time, see `TimerService.call_at`.
    on_revision : callable
        Called with the revision of the store in each response, with those of the
        changes in it, and with the era of the store.
    on_lost : callable
        Called when a response counts as lost.
    era : StoreEra or None
        Era of the store, None if it states none.

    Attributes
    ----------
    failure : str
        Why objects of this kind cannot be handled, if that keeps failing, else empty.
    times : WatchTimes
        Times of the next watch calls.
    """

    def __init__(
        self,
        connect: Callable[[], Platform],
        kind: str,
        handler: ObjectHandler,
        health: StoreHealth,
        metrics,
        closing: threading.Event,
        on_read: Callable[[ReadResult], None] = lambda result: None,
        interval_s: float = WATCH_INTERVAL_S,
        lists_again: bool = False,
        times: WatchTimes = WatchTimes(),
        call_at: Callable[
            [str, float, Callable[[float], None]], None
        ] = lambda name, when, callback: None,
        on_revision: Callable[[int, Iterable[int], int], None] = (
            lambda revision, changes, era: None
        ),
        on_lost: Callable[[], None] = lambda: None,
        era: StoreEra | None = None,
    ):
        self._era = era or StoreEra()
        self._on_lost = on_lost
        self._on_revision = on_revision
        self.times = times
        self._call_at = call_at
        self._interval_s = interval_s
        self._lists_again = lists_again
        self._on_read = on_read
        self._connect = connect
        self._kind = kind
        self._handler = handler
        self._health = health
        self._metrics = metrics
        self._closing = closing
        self._rng = random.Random()
        self._lock = threading.Lock()
        self._generation = 0
        self._version: int | None = None
        self._unchanged_since = 0
        self._restarts = 0
        self._restarted_at = -math.inf
        self._closely_until = -math.inf
        self._watching_since: float | None = None
        self._pending_call: object | None = None
        self._lost_responses = 0
        self._failed_at = -math.inf
        self.failure = ""

    def start(self) -> "ListWatcher":
        """Start the thread and return the watcher."""
        threading.Thread(
            target=self._run,
            args=(self._generation,),
            name=f"follow-{self._kind}",
            daemon=True,
        ).start()
        return self

    def restart(self) -> None:
        """Watch again on a new connection, because the answer to a watch may be lost.

        The thread of the pending call ends when the call does. Its response is handled
        unless another one was handled meanwhile: if the store is slow, it is the first
        to arrive.
        """
        now = time.monotonic()
        if now < self._restarted_at + MIN_RESTART_INTERVAL_S:
            return
        self._start_again(now)

    def watch_closely(self) -> None:
        """Use short watches for `CLOSELY_S`, and restart one without a response."""
        now = time.monotonic()
        self._closely_until = now + CLOSELY_S
        since = self._watching_since
        if since is not None and now > since + CLOSE_WATCH_TIMEOUT_S + CLOSE_ANSWER_S:
            self.restart()

    def begin_era(self) -> None:
        """List the kind anew, because the store states a new era.

        Nothing that was read in another era says what the store has now: revisions are
        given out again, so a watch from an earlier one may miss changes.
        """
        with self._lock:
            if self._version is None:
                return  # the kind is being listed
            self._version = None
        self._start_again(time.monotonic())

    @property
    def version(self) -> int | None:
        """Return the revision up to which the kind has been read, None without one."""
        return self._version

    def is_watching(self) -> bool:
        """Return whether a watch is pending, so that its response can be lost."""
        return self._pending_call is not None

    def apply_missed(self, since: int, batch: WatchBatch) -> None:
        """Handle the changes since a revision, if no response was handled meanwhile."""
        changed = _newest_change(batch, since, False, False)
        self._handle(since, batch, changed, False, False)

    def read_anew(self) -> None:
        """Watch again on a new connection at once, even after a recent restart."""
        self._start_again(time.monotonic())

    def _start_again(self, now: float) -> None:
        self._restarted_at = now
        with self._lock:
            self._generation += 1
            self._pending_call = self._watching_since = None
        self.start()

    def _expect_response(self, generation: int, timeout_s: float) -> None:
        """Restart if the watch that begins now gets no response in time."""
        call = object()
        with self._lock:
            if generation != self._generation:
                return
            self._pending_call, self._watching_since = call, time.monotonic()
        lost_after_s = self.times.lost_after_s(timeout_s, self._lost_responses)
        if lost_after_s == math.inf:
            return
        self._call_at(
            f"watch-{self._kind}",
            time.monotonic() + lost_after_s,
            lambda now: self._restart_without_response(call, lost_after_s, now),
        )

    def _restart_without_response(
        self, call: object, waited_s: float, now: float
    ) -> None:
        with self._lock:
            if self._pending_call is not call or self._closing.is_set():
                return
            self._lost_responses += 1
        self._count("watch", "no-response")
        log.warning(
            "no response to a watch; watching on a new connection",
            extra={
                "kind": self._kind,
                "waited_s": round(waited_s, 2),
                "in_row": self._lost_responses,
            },
        )
        self._start_again(now)
        self._on_lost()

    def _record_response(self, generation: int) -> None:
        """Record that a call ended, unless it ended too late."""
        with self._lock:
            if generation == self._generation:
                self._pending_call = self._watching_since = None
                self._lost_responses = 0

    def _run(self, generation: int) -> None:
        """Follow the kind until the host closes, from a new listing after a fault."""
        while self._is_current(generation):
            try:
                self._follow(generation, self._connect())
            except Exception as exc:
                if not self._is_current(generation):
                    return
                self._version = None
                self._health.release_turn(self._kind)
                delay_s = MAX_RESTART_S
                with contextlib.suppress(Exception):
                    delay_s = self._record_failure(exc)
                self._closing.wait(delay_s)

    def _is_current(self, generation: int) -> bool:
        return generation == self._generation and not self._closing.is_set()

    def _record_failure(self, exc: Exception) -> float:
        """Log an unexpected exception; return the delay until the next listing."""
        now = time.monotonic()
        if now - self._failed_at > SETTLED_S:
            self._restarts = 0
        self._failed_at = now
        delay_s = min(MAX_RESTART_S, RESTART_BASE_S * 2**self._restarts)
        self._restarts += 1
        if self._restarts >= FAILURES_UNTIL_UNREADY:
            self.failure = f"{self._kind} not followed: {exc!r}"
        log.error(
            "store thread failed",
            extra={
                "kind": self._kind,
                "error": "".join(traceback.format_exception(exc)),
                "failures": self._restarts,
                "wait_s": delay_s,
            },
        )
        self._metrics.count("sesameport_thread_failures_total", thread="follow")
        return delay_s

    def _follow(self, generation: int, store: Platform) -> None:
        failures, is_repeat = 0, generation > 0
        while self._is_current(generation):
            self._health.wait_for_turn(self._kind, self._closing)
            called_at = time.monotonic()
            version = self._version
            is_retry = bool(failures or is_repeat)
            is_listing = version is None or (is_retry and self._lists_again)
            if is_listing:
                result = store.list(self._kind)
            else:
                timeout_s = self._watch_timeout_s(is_retry)
                self._expect_response(generation, timeout_s)
                result = store.watch(self._kind, version, timeout_s)
                self._record_response(generation)
            operation = "list" if is_listing else "watch"
            match result:
                case Ok(batch):
                    self._count(operation, "ok")
                    self._health.record(self._kind, True)
                    failures = 0
                    has_waited = time.monotonic() - called_at >= WAITED_S
                    changed = _newest_change(batch, version, has_waited, is_listing)
                    is_handled = self._handle(
                        version, batch, changed, is_listing, is_repeat
                    )
                    changes = () if is_listing else batch.changes
                    revisions = [stored.version for stored in changes]
                    self._on_revision(batch.version, revisions, batch.era)
                    if not is_handled:
                        continue
                    is_repeat = False
                    if not self._is_current(generation):
                        return
                    self._closing.wait(called_at + self._interval_s - time.monotonic())
                case Err(error):
                    self._count(operation, str(error.kind))
                    if not self._is_current(generation):
                        return
                    if error.kind == PlatformErrorKind.GONE:
                        log.info("store history expired", extra={"kind": self._kind})
                        self._version = None
                        continue
                    # One failed watch does not show that the store is unreachable.
                    if failures:
                        self._health.record(self._kind, False)
                    failures += 1
                    self._log_failure(operation, error, failures)
                    self._back_off(failures)

    def _watch_timeout_s(self, is_retry: bool) -> float:
        if is_retry:
            return RETRY_WATCH_TIMEOUT_S
        if time.monotonic() < self._closely_until:
            return min(CLOSE_WATCH_TIMEOUT_S, self.times.timeout_s)
        return self.times.timeout_s

    def _handle(
        self, since: int | None, batch, changed: int, is_listing: bool, is_repeat: bool
    ) -> bool:
        """Handle a response; return False if another one was handled meanwhile."""
        with self._lock:
            if batch.era != self._era.current:
                return False
            is_from_here = since == self._version
            if not is_from_here and not self._is_unchanged_since(since):
                return False
            if is_listing:
                self._handler.handle_listing(batch.objects)
            elif batch.changes:
                self._handler.handle_changes(batch.changes)
            if is_listing or batch.changes:
                self._unchanged_since = batch.version
            is_newer = is_listing or batch.version >= (self._version or 0)
            self._version = batch.version if is_newer else self._version
            self.failure = ""
            if is_listing or batch.changes or is_repeat:
                removed = () if is_listing else _removals(batch)
                result = ReadResult(changed, batch.version, is_repeat, removed)
                self._on_read(result)
            return True

    def _is_unchanged_since(self, since: int | None) -> bool:
        """Return whether there was no change between a revision and the version."""
        if since is None or self._version is None:
            return False
        return self._unchanged_since <= since < self._version

    def _log_failure(self, operation: str, error, failures: int) -> None:
        if failures > 1 and failures & (failures - 1):
            return  # log only the 1st, 2nd, 4th, 8th ... consecutive failure
        log.info(
            "store call failed",
            extra={
                "kind": self._kind,
                "operation": operation,
                "failure": str(error.kind),
                "detail": error.detail,
                "failures": failures,
            },
        )

    def _back_off(self, failures: int) -> None:
        max_s = min(MAX_BACKOFF_S, BACKOFF_BASE_S * 2**failures)
        self._closing.wait(max_s * (0.5 + 0.5 * self._rng.random()))

    def _count(self, operation: str, result: str) -> None:
        self._metrics.count(
            "sesameport_platform_calls_total", operation=operation, result=result
        )


def _removals(batch: WatchBatch) -> tuple[tuple[str, int], ...]:
    return tuple(
        (stored.name, stored.version) for stored in batch.changes if stored.deleted
    )


def _newest_change(batch, since: int | None, has_waited: bool, is_listing: bool) -> int:
    """Return the revision of the newest change of a response, or 0 without one."""
    if is_listing:
        return max((stored.version for stored in batch.objects), default=0)
    newest = max((stored.version for stored in batch.changes), default=0)
    # The event of a deletion may name the revision of the object's last write.
    if any(stored.deleted and stored.version <= since for stored in batch.changes):
        newest = max(newest, batch.version if has_waited else since + 1)
    return newest
