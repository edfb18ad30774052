"""Follow kinds of objects of the platform's store, each on a thread of its own."""

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
"""Time that a watch waits for a change, seconds: each is a priced call, and keep-alive
probes find a dead connection sooner."""

BACKOFF_BASE_S = 0.1
MAX_BACKOFF_S = 1.0
"""Bounds of the pause after a failed call, seconds. The longest one keeps nine hosts
below 30 calls/s in an outage and still ends it well within a configuration's bound."""

log = get_logger("store")


class StoreHealth:
    """Tell once when the store is lost and once when it is regained."""

    def __init__(self, on_change: Callable[[bool], None]):
        self._on_change = on_change
        self._lock = threading.Lock()
        self._is_reachable = False

    def record(self, is_reachable: bool) -> None:
        """Take in the outcome of a call."""
        with self._lock:
            if self._is_reachable == is_reachable:
                return
            self._is_reachable = is_reachable
        self._on_change(is_reachable)


class ObjectHandler(Protocol):
    """Take what a follower reads."""

    def handle_listing(self, objects: Iterable[StoredObject]) -> None:
        """Take a whole listing."""
        ...

    def handle_changes(self, objects: Iterable[StoredObject]) -> None:
        """Take changes in their order; removed objects are marked deleted."""
        ...


class ListWatcher:
    """List a kind, then watch it; list again when its history is gone.

    Parameters
    ----------
    platform : Platform
        The store.
    kind : str
        Kind of objects.
    sink : ObjectHandler
        Takes listings and changes on the follower's thread.
    health : StoreHealth
        Takes the outcome of every call.
    metrics : Metrics
        Counts calls.
    closing : threading.Event
        Ends the follower after its present call.
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
        """Start following and return the follower."""
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
                case Ok(found):
                    self._count(operation, "ok")
                    self._health.record(True)
                    failures = 0
                    if version is None:
                        self._handler.handle_listing(found.objects)
                    elif found.changes:
                        self._handler.handle_changes(found.changes)
                    version = found.version
                case Err(error):
                    self._count(operation, str(error.kind))
                    if error.kind == PlatformErrorKind.GONE:
                        log.info("history gone", extra={"kind": self._kind})
                        version = None
                        continue
                    # A cut watch alone does not mean that the store is away.
                    if failures:
                        self._health.record(False)
                    failures += 1
                    self._log_failure(operation, error, failures)
                    self._back_off(failures)

    def _log_failure(self, operation: str, error, failures: int) -> None:
        if failures > 1 and failures & (failures - 1):
            return  # only the 1st, 2nd, 4th, 8th ... failure in a row is logged
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
