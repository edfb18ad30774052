"""Test the limits of concurrent calls."""

import concurrent.futures
import contextlib
import threading

from result import Err, Ok

from sesameport.adapters import (
    BulkheadEngine,
    BulkheadLimits,
    BulkheadPlainService,
    BulkheadPlatform,
    Bulkheads,
)
from sesameport.domain import Execution
from sesameport.interfaces import EngineError, EngineErrorKind, PlatformErrorKind


class BlockingService:
    """Return from calls only after the event ``unblock``, if one is given, is set."""

    def __init__(self, unblock=None):
        self.unblock = unblock
        self.entered = threading.Semaphore(0)

    def call(self, req, attempt_id, timeout_s):
        self.entered.release()
        if self.unblock is not None:
            assert self.unblock.wait(20.0)
        return Ok("answer")


def test_slow_data_centre_does_not_block_calls_to_others():
    """Guard against a slow data centre whose calls occupy every request thread."""
    bulkheads = Bulkheads(BulkheadLimits(per_data_centre=4, per_class=4))
    unblock = threading.Event()
    slow = BulkheadPlainService(
        BlockingService(unblock), bulkheads.for_server("a", "desk", "plain")
    )
    fast = BulkheadPlainService(
        BlockingService(), bulkheads.for_server("b", "desk", "plain")
    )
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        slow_calls = [pool.submit(slow.call, None, "", 1.0) for _ in range(40)]
        fast_calls = [pool.submit(fast.call, None, "", 1.0) for _ in range(40)]
        done, blocked = concurrent.futures.wait(fast_calls, timeout=5.0)
        unblock.set()
        assert not blocked, "calls to the fast data centre got no thread"
        assert all(fut.result().is_ok() for fut in done)
        results = [fut.result(10.0) for fut in slow_calls]
    errors = [result.unwrap_err() for result in results if result.is_err()]
    assert errors and {error.execution() for error in errors} == {Execution.NOT_RUN}
    assert bulkheads.counts()["a"] == (0, len(errors))


class FakeStream:
    def __init__(self):
        self.closed = False

    def __iter__(self):
        yield Ok("token")

    def close(self):
        self.closed = True


class FakeEngine:
    cancel = holds = load = cache_events = order = None

    def __init__(self):
        self.is_busy = False

    def decode(self, call):
        if self.is_busy:
            return Err(EngineError(EngineErrorKind.BUSY))
        return Ok(FakeStream())

    prefill = decode

    def resume(self, attempt_id, offset):
        raise RuntimeError("adapter fault")


def test_stream_releases_its_slots_however_it_ends():
    """Guard against slots that stay taken after a stream has ended.

    A stream ends when it is closed or read to its end, when the engine refuses it, or
    when the adapter raises an exception.
    """
    bulkheads = Bulkheads(BulkheadLimits(per_data_centre=2, per_class=1))
    engine_bulkheads = bulkheads.for_server("a", "llm", "decode")
    raw_engine = FakeEngine()
    engine = BulkheadEngine(raw_engine, engine_bulkheads)
    stream = engine.decode(None).unwrap()
    assert engine.decode(None).unwrap_err().kind == EngineErrorKind.BUSY
    assert [bulkhead.running for bulkhead in engine_bulkheads] == [1, 1]
    stream.close()
    stream.close()
    assert list(engine.decode(None).unwrap()) == [Ok("token")]
    raw_engine.is_busy = True
    assert engine.decode(None).is_err()
    with contextlib.suppress(RuntimeError):
        engine.resume("a", 0)
    raw_engine.is_busy = False
    assert engine.prefill(None).is_ok()
    assert [bulkhead.running for bulkhead in engine_bulkheads] == [0, 0]


def test_platform_calls_have_their_own_limit():
    """Guard against a slow platform whose calls occupy every thread."""
    bulkheads = Bulkheads(BulkheadLimits(platform=1))
    nested_results = []

    class SlowPlatform:
        def watch(self, *args):
            return Ok(None)

        def hosts(self):
            return Ok(None)

        list = create = update = delete = None

        def get(self, kind, name):
            nested_results.append(limited.hosts())
            return Ok(name)

    limited = BulkheadPlatform(SlowPlatform(), bulkheads.platform)
    assert limited.get("k", "n") == Ok("n")
    assert nested_results[0].unwrap_err().kind == PlatformErrorKind.UNAVAILABLE
    assert limited.hosts().is_ok()
