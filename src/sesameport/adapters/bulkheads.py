"""Limit the concurrent calls to each data centre, server class and the platform.

The limits keep a slow data centre from occupying every request thread. A call above a
limit fails immediately with ``BUSY`` or ``UNAVAILABLE``. Both kinds mean that the call
did not run, so the caller can safely retry it on another server.
"""

import threading
from collections.abc import Iterator

import attrs
from result import Err, Ok, Result

from sesameport.interfaces import (
    Engine,
    EngineError,
    EngineErrorKind,
    Platform,
    PlatformError,
    PlatformErrorKind,
    TokenEvent,
    TokenStream,
)
from sesameport.telemetry.logs import get_logger

__all__ = [
    "Bulkhead",
    "BulkheadEngine",
    "BulkheadLimits",
    "BulkheadPlainService",
    "BulkheadPlatform",
    "Bulkheads",
]

log = get_logger("requests")

_LIMIT_REACHED = EngineError(EngineErrorKind.BUSY, "too many concurrent calls")
_PLATFORM_LIMIT_REACHED = PlatformError(
    PlatformErrorKind.UNAVAILABLE, "too many concurrent platform calls"
)


@attrs.frozen
class BulkheadLimits:
    """Set the maximum numbers of concurrent calls.

    The limits per data centre and per class must be lower than the number of request
    threads. Otherwise one slow data centre or class can occupy every thread.
    """

    per_data_centre: int = 256
    per_class: int = 192
    platform: int = 8


@attrs.define
class Bulkhead:
    """Count the running calls and refuse calls above the limit."""

    limit: int
    running: int = 0
    refused: int = 0
    _lock: threading.Lock = attrs.field(factory=threading.Lock)

    def try_acquire(self) -> bool:
        """Return whether a slot was free, and take it. The call does not block."""
        with self._lock:
            if self.running >= self.limit:
                self.refused += 1
                return False
            self.running += 1
            return True

    def release(self) -> None:
        """Return a slot."""
        with self._lock:
            self.running -= 1


class Bulkheads:
    """Keep a bulkhead for each data centre and for each server class in it."""

    def __init__(self, limits: BulkheadLimits | None = None):
        self.limits = limits or BulkheadLimits()
        self.platform = Bulkhead(self.limits.platform)
        self._lock = threading.Lock()
        self._bulkheads: dict[tuple[str, ...], Bulkhead] = {}

    def for_server(
        self, data_centre: str, service: str, server_class: str
    ) -> tuple[Bulkhead, Bulkhead]:
        """Return the bulkheads that limit the calls to a server."""
        limits = self.limits
        return (
            self._find((data_centre,), limits.per_data_centre),
            self._find((data_centre, service, server_class), limits.per_class),
        )

    def counts(self) -> dict[str, tuple[int, int]]:
        """Return the numbers of running and refused calls by bulkhead name."""
        with self._lock:
            by_name = {
                "/".join(key): bulkhead for key, bulkhead in self._bulkheads.items()
            }
        by_name["platform"] = self.platform
        return {
            name: (bulkhead.running, bulkhead.refused)
            for name, bulkhead in by_name.items()
        }

    def _find(self, key: tuple[str, ...], limit: int) -> Bulkhead:
        with self._lock:
            if key not in self._bulkheads:
                self._bulkheads[key] = Bulkhead(limit)
            return self._bulkheads[key]


class _CallPermit:
    """Hold the bulkhead slots of one call until the first ``release``."""

    def __init__(self, bulkheads: tuple[Bulkhead, ...]):
        self._acquired: list[Bulkhead] = []
        self._lock = threading.Lock()
        self.is_admitted = True
        for bulkhead in bulkheads:
            if not bulkhead.try_acquire():
                self.is_admitted = False
                self.release()
                return
            self._acquired.append(bulkhead)

    def release(self) -> None:
        with self._lock:
            acquired, self._acquired = self._acquired, []
        for bulkhead in acquired:
            bulkhead.release()


class _LimitedStream:
    """Hold the slots of a decode until its stream ends or is closed."""

    def __init__(self, stream: TokenStream, permit: _CallPermit):
        self._stream = stream
        self._permit = permit

    def __iter__(self) -> Iterator[Result[TokenEvent, EngineError]]:
        try:
            yield from self._stream
        except Exception as exc:
            yield Err(_record_unexpected("stream", exc))
        finally:
            self._permit.release()

    def close(self) -> None:
        """Close the connection and release the slots."""
        try:
            self._stream.close()
        finally:
            self._permit.release()


class BulkheadEngine:
    """Limit the prefills, decodes and resumes of one engine; satisfies ``Engine``.

    Cancels, hold lists, load reports, cache events and orders are not limited. They are
    short and run on separate, bounded threads. Cancels also free the slots of a full
    bulkhead.
    """

    def __init__(self, engine: Engine, bulkheads: tuple[Bulkhead, ...]):
        self._engine = engine
        self._bulkheads = bulkheads
        self.cancel = engine.cancel
        self.holds = engine.holds
        self.load = engine.load
        self.cache_events = engine.cache_events
        self.order = engine.order

    def prefill(self, call):
        """Compute the KV cache of a prompt and keep it for a decode server."""
        permit = _CallPermit(self._bulkheads)
        if not permit.is_admitted:
            return Err(_LIMIT_REACHED)
        try:
            return self._engine.prefill(call)
        except Exception as exc:
            return Err(_record_unexpected("prefill", exc))
        finally:
            permit.release()

    def decode(self, call):
        """Import a KV cache and stream the generated tokens."""
        return self._open(lambda: self._engine.decode(call))

    def resume(self, attempt_id: str, offset: int):
        """Reconnect to a running stream at an offset."""
        return self._open(lambda: self._engine.resume(attempt_id, offset))

    def _open(self, call) -> Result[TokenStream, EngineError]:
        permit = _CallPermit(self._bulkheads)
        if not permit.is_admitted:
            return Err(_LIMIT_REACHED)
        result = None
        try:
            result = call()
        except Exception as exc:
            return Err(_record_unexpected("decode", exc))
        finally:
            if result is None or result.is_err():
                permit.release()
        if result.is_err():
            return result
        return Ok(_LimitedStream(result.unwrap(), permit))


class BulkheadPlainService:
    """Limit the calls to one server of a plain service; satisfies ``PlainService``."""

    def __init__(self, service, bulkheads: tuple[Bulkhead, ...]):
        self._service = service
        self._bulkheads = bulkheads

    def call(self, req, attempt_id: str, timeout_s: float):
        """Send a call, or fail with ``BUSY`` above the limit."""
        permit = _CallPermit(self._bulkheads)
        if not permit.is_admitted:
            return Err(_LIMIT_REACHED)
        try:
            return self._service.call(req, attempt_id, timeout_s)
        except Exception as exc:
            return Err(_record_unexpected("call", exc))
        finally:
            permit.release()


class BulkheadPlatform:
    """Limit the concurrent platform calls of one host; satisfies ``Platform``.

    Watches are not limited, because a pending watch would hold a slot for seconds.
    """

    def __init__(self, platform: Platform, bulkhead: Bulkhead):
        self._platform = platform
        self._bulkhead = bulkhead
        self.watch = platform.watch

    def get(self, *args):
        """Read one object."""
        return self._call(self._platform.get, args)

    def list(self, *args):
        """Read all objects of one kind."""
        return self._call(self._platform.list, args)

    def create(self, *args):
        """Create an object unless one with this name exists."""
        return self._call(self._platform.create, args)

    def update(self, *args):
        """Replace an object if its current version equals the given one."""
        return self._call(self._platform.update, args)

    def delete(self, *args):
        """Replace an object by a tombstone if its version equals the given one."""
        return self._call(self._platform.delete, args)

    def hosts(self):
        """Read the list of hosts and backend servers, which may be out of date."""
        return self._call(self._platform.hosts, ())

    def _call(self, method, args):
        if not self._bulkhead.try_acquire():
            return Err(_PLATFORM_LIMIT_REACHED)
        try:
            return method(*args)
        finally:
            self._bulkhead.release()


def _record_unexpected(call: str, exc: Exception) -> EngineError:
    """Return the failure of a call that ended by an exception of its client.

    The server has caused it, or a fault of this program, and the call may have run.
    """
    log.error("call failed unexpectedly", extra={"call": call, "error": repr(exc)})
    return EngineError(EngineErrorKind.BROKEN, f"unexpected: {exc!r}")
