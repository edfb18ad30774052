"""Bound the concurrent calls to each data centre, server class and the platform.

A slow data centre then takes no thread from the calls to the others. A call beyond a
bound is refused at once as ``BUSY`` or ``UNAVAILABLE``, which prove that it did not
run, so that it can go to another server.
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

__all__ = [
    "Bulkhead",
    "BulkheadEngine",
    "BulkheadLimits",
    "BulkheadPlainService",
    "BulkheadPlatform",
    "Bulkheads",
]

_FULL = EngineError(EngineErrorKind.BUSY, "too many concurrent calls")
_PLATFORM_FULL = PlatformError(
    PlatformErrorKind.UNAVAILABLE, "too many concurrent platform calls"
)


@attrs.frozen
class BulkheadLimits:
    """Give the largest numbers of concurrent calls.

    The bounds of one data centre and of one class have to stay below the number of
    request threads, or a slow one can take them all.
    """

    per_data_centre: int = 256
    per_class: int = 192
    platform: int = 8


@attrs.define
class Bulkhead:
    """Count the calls that run and refuse those above the limit."""

    limit: int
    running: int = 0
    refused: int = 0
    _lock: threading.Lock = attrs.field(factory=threading.Lock)

    def enter(self) -> bool:
        """Take a place; False if none is free. It never waits."""
        with self._lock:
            if self.running >= self.limit:
                self.refused += 1
                return False
            self.running += 1
            return True

    def leave(self) -> None:
        """Give a place back."""
        with self._lock:
            self.running -= 1


class Bulkheads:
    """Keep one bulkhead per data centre and per class of servers in it."""

    def __init__(self, limits: BulkheadLimits | None = None):
        self.limits = limits or BulkheadLimits()
        self.platform = Bulkhead(self.limits.platform)
        self._lock = threading.Lock()
        self._places: dict[tuple[str, ...], Bulkhead] = {}

    def of_server(
        self, data_centre: str, service: str, server_class: str
    ) -> tuple[Bulkhead, Bulkhead]:
        """Return the bulkheads that a call to a server passes."""
        limits = self.limits
        return (
            self._find((data_centre,), limits.per_data_centre),
            self._find((data_centre, service, server_class), limits.per_class),
        )

    def counts(self) -> dict[str, tuple[int, int]]:
        """Return running and refused calls by bulkhead, for the status page."""
        with self._lock:
            found = {"/".join(key): item for key, item in self._places.items()}
        found["platform"] = self.platform
        return {name: (item.running, item.refused) for name, item in found.items()}

    def _find(self, key: tuple[str, ...], limit: int) -> Bulkhead:
        with self._lock:
            if key not in self._places:
                self._places[key] = Bulkhead(limit)
            return self._places[key]


class _Pass:
    """Hold the places of one call; ``leave`` gives them back once."""

    def __init__(self, bulkheads: tuple[Bulkhead, ...]):
        self._taken: list[Bulkhead] = []
        self._lock = threading.Lock()
        self.admitted = True
        for bulkhead in bulkheads:
            if not bulkhead.enter():
                self.admitted = False
                self.leave()
                return
            self._taken.append(bulkhead)

    def leave(self) -> None:
        with self._lock:
            taken, self._taken = self._taken, []
        for bulkhead in taken:
            bulkhead.leave()


class _BoundStream:
    """Keep the places of a decode until its stream ends or is closed."""

    def __init__(self, stream: TokenStream, places: _Pass):
        self._stream = stream
        self._places = places

    def __iter__(self) -> Iterator[Result[TokenEvent, EngineError]]:
        try:
            yield from self._stream
        finally:
            self._places.leave()

    def close(self) -> None:
        """Close the connection and give the places back."""
        try:
            self._stream.close()
        finally:
            self._places.leave()


class BulkheadEngine:
    """Bound the prefills, decodes and resumes of one engine; an ``Engine``.

    Cancels, lists, loads and orders pass freely: they are short, run on bounded
    threads of their own and release what a full bulkhead waits for.
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
        """Compute and keep the KV cache of a prompt."""
        places = _Pass(self._bulkheads)
        if not places.admitted:
            return Err(_FULL)
        try:
            return self._engine.prefill(call)
        finally:
            places.leave()

    def decode(self, call):
        """Import a KV cache and stream tokens."""
        return self._open(lambda: self._engine.decode(call))

    def resume(self, attempt_id: str, offset: int):
        """Attach again to a running stream from an offset."""
        return self._open(lambda: self._engine.resume(attempt_id, offset))

    def _open(self, call) -> Result[TokenStream, EngineError]:
        places = _Pass(self._bulkheads)
        if not places.admitted:
            return Err(_FULL)
        found = None
        try:
            found = call()
        finally:
            if found is None or found.is_err():
                places.leave()
        if found.is_err():
            return found
        return Ok(_BoundStream(found.unwrap(), places))


class BulkheadPlainService:
    """Bound the calls to one server of a plain service; a ``PlainService``."""

    def __init__(self, service, bulkheads: tuple[Bulkhead, ...]):
        self._service = service
        self._bulkheads = bulkheads

    def call(self, req, attempt_id: str, timeout_s: float):
        """Send a call, or refuse it as ``BUSY``."""
        places = _Pass(self._bulkheads)
        if not places.admitted:
            return Err(_FULL)
        try:
            return self._service.call(req, attempt_id, timeout_s)
        finally:
            places.leave()


class BulkheadPlatform:
    """Bound the concurrent platform calls of one host; a ``Platform``.

    Watches pass freely, because a pending watch would keep its place for seconds.
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
        """Create an object if none of this name exists."""
        return self._call(self._platform.create, args)

    def update(self, *args):
        """Replace an object if it still has the given version."""
        return self._call(self._platform.update, args)

    def delete(self, *args):
        """Turn an object into a tombstone if it still has the given version."""
        return self._call(self._platform.delete, args)

    def hosts(self):
        """Read the lagging list of hosts and backend servers."""
        return self._call(self._platform.hosts, ())

    def _call(self, method, args):
        if not self._bulkhead.enter():
            return Err(_PLATFORM_FULL)
        try:
            return method(*args)
        finally:
            self._bulkhead.leave()
