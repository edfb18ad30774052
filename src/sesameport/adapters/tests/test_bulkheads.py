"""Check the bounds of concurrent calls."""

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
from sesameport.interfaces import EngineError, EngineErrorKind, PlatformErrorKind
from sesameport.world import Execution


class SlowService:
    def __init__(self, go=None):
        self.go = go
        self.entered = threading.Semaphore(0)

    def call(self, req, attempt_id, timeout_s):
        self.entered.release()
        if self.go is not None:
            assert self.go.wait(20.0)
        return Ok("answer")


def test_slow_data_centre_takes_no_thread_from_the_others():
    """Guard against threads that all wait for one slow data centre."""
    bulkheads = Bulkheads(BulkheadLimits(per_data_centre=4, per_class=4))
    go = threading.Event()
    slow = BulkheadPlainService(
        SlowService(go), bulkheads.of_server("a", "desk", "plain")
    )
    fast = BulkheadPlainService(
        SlowService(), bulkheads.of_server("b", "desk", "plain")
    )
    with concurrent.futures.ThreadPoolExecutor(8) as pool:
        waiting = [pool.submit(slow.call, None, "", 1.0) for _ in range(40)]
        answers = [pool.submit(fast.call, None, "", 1.0) for _ in range(40)]
        done, blocked = concurrent.futures.wait(answers, timeout=5.0)
        go.set()
        assert not blocked, "calls to the fast data centre found no thread"
        assert all(fut.result().is_ok() for fut in done)
        found = [fut.result(10.0) for fut in waiting]
    refused = [item.unwrap_err() for item in found if item.is_err()]
    assert refused and {e.execution() for e in refused} == {Execution.NOT_RUN}
    assert bulkheads.counts()["a"] == (0, len(refused))


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
        self.fails = False

    def decode(self, call):
        if self.fails:
            return Err(EngineError(EngineErrorKind.BUSY))
        return Ok(FakeStream())

    prefill = decode

    def resume(self, attempt_id, offset):
        raise RuntimeError("adapter fault")


def test_every_end_of_a_stream_gives_its_place_back():
    """Guard against a bulkhead that fills up with calls that ended."""
    bulkheads = Bulkheads(BulkheadLimits(per_data_centre=2, per_class=1))
    places = bulkheads.of_server("a", "llm", "decode")
    raw = FakeEngine()
    engine = BulkheadEngine(raw, places)
    first = engine.decode(None).unwrap()
    assert engine.decode(None).unwrap_err().kind == EngineErrorKind.BUSY
    assert [place.running for place in places] == [1, 1]
    first.close()
    first.close()
    assert list(engine.decode(None).unwrap()) == [Ok("token")]
    raw.fails = True
    assert engine.decode(None).is_err()
    with contextlib.suppress(RuntimeError):
        engine.resume("a", 0)
    raw.fails = False
    assert engine.prefill(None).is_ok()
    assert [place.running for place in places] == [0, 0]


def test_platform_calls_have_their_own_bound():
    """Guard against a slow platform that takes every thread."""
    bulkheads = Bulkheads(BulkheadLimits(platform=1))
    inner = []

    class SlowPlatform:
        def watch(self, *args):
            return Ok(None)

        def hosts(self):
            return Ok(None)

        list = create = update = delete = None

        def get(self, kind, name):
            inner.append(bounded.hosts())
            return Ok(name)

    bounded = BulkheadPlatform(SlowPlatform(), bulkheads.platform)
    assert bounded.get("k", "n") == Ok("n")
    assert inner[0].unwrap_err().kind == PlatformErrorKind.UNAVAILABLE
    assert bounded.hosts().is_ok()
