"""List and watch kinds of objects in the platform's store, each on its own thread."""

import random
import threading
import time
from collections.abc import Callable, Iterable
from typing import Protocol

from result import Err, Ok

from sesameport.interfaces import Platform, PlatformErrorKind, StoredObject
from sesameport.telemetry.logs import get_logger

__all__ = ["ListWatcher", "StoreHealth"]

WATCH_TIMEOUT_S = 25.0
"""Timeout of a watch call, seconds. Each call costs money, and TCP keep-alive detects a
dead connection sooner."""

BACKOFF_BASE_S = 0.1
MAX_BACKOFF_S = 1.0
"""Bounds of the backoff after a failed call, seconds. The maximum keeps nine hosts
below 30 calls/s in an outage, and hosts still recover well within the time bound for
applying a configuration."""

log = get_logger("store")


class StoreHealth:
    """Report each change between a reachable and an unreachable store once."""

    def __init__(self, on_change: Callable[[bool], None]):
        self._on_change = on_change
        self._lock = threading.Lock()
        self._is_reachable = False

    def record(self, is_reachable: bool) -> None:
        """Record the outcome of a call."""
        with self._lock:
            if self._is_reachable == is_reachable:
                return
            self._is_reachable = is_reachable
        self._on_change(is_reachable)


class ObjectHandler(Protocol):
    """Handle the objects that a `ListWatcher` reads."""

    def handle_listing(self, objects: Iterable[StoredObject]) -> None:
        """Handle a complete listing."""
        ...

    def handle_changes(self, objects: Iterable[StoredObject]) -> None:
        """Handle changes in their order; removed objects are marked as deleted."""
        ...


class ListWatcher:
    """List a kind, then watch it; list again when its history has expired.

    Parameters
    ----------
    platform : Platform
        The store.
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
    """

    def __init__(
        self,
        platform: Platform,
        kind: str,
        handler: ObjectHandler,
        health: StoreHealth,
        metrics,
        closing: threading.Event,
    ):
        self._platform = platform
        self._kind = kind
        self._handler = handler
        self._health = health
        self._metrics = metrics
        self._closing = closing
        self._rng = random.Random()
        self._thread = threading.Thread(
            target=self._run, name=f"follow-{kind}", daemon=True
        )

    def start(self) -> "ListWatcher":
        """Start the thread and return the watcher."""
        self._thread.start()
        return self

    def _run(self) -> None:
        version, failures = None, 0
        while not self._closing.is_set():
            if version is None:
                result = self._platform.list(self._kind)
            else:
                result = self._platform.watch(self._kind, version, WATCH_TIMEOUT_S)
            operation = "list" if version is None else "watch"
            match result:
                case Ok(batch):
                    self._count(operation, "ok")
                    self._health.record(True)
                    failures = 0
                    if version is None:
                        self._handler.handle_listing(batch.objects)
                    elif batch.changes:
                        self._handler.handle_changes(batch.changes)
                    version = batch.version
                case Err(error):
                    self._count(operation, str(error.kind))
                    if error.kind == PlatformErrorKind.GONE:
                        log.info("store history expired", extra={"kind": self._kind})
                        version = None
                        continue
                    # One failed watch does not show that the store is unreachable.
                    if failures:
                        self._health.record(False)
                    failures += 1
                    self._log_failure(operation, error, failures)
                    self._back_off(failures)

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
        time.sleep(max_s * (0.5 + 0.5 * self._rng.random()))

    def _count(self, operation: str, result: str) -> None:
        self._metrics.count(
            "sesameport_platform_calls_total", operation=operation, result=result
        )
