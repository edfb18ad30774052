"""Fake engines for the virtual-time simulation.

A decode engine has a fixed number of slots, slows down as its batch grows and answers
busy when all slots are taken. A prefill engine computes prompts in chunks by priority,
keeps each result for a limited time and caches prefixes.
"""

import heapq
import itertools
from collections import OrderedDict, deque

import attrs

from sesameport.interfaces import CacheEvent, CacheEvents, LoadReport

__all__ = ["EngineSpeed", "FakeDecode", "FakePlain", "FakePrefill", "VirtualClock"]

_CHUNK_TOKENS = 1_024
_MIN_HISTORY_S = 2.0
"""Age up to which load values are kept; it must exceed the lag of load reports."""


@attrs.define
class VirtualClock:
    """Schedule and run events in virtual time."""

    now: float = 0.0
    events: list = attrs.field(factory=list)
    numbers: itertools.count = attrs.field(factory=itertools.count)

    def schedule_at(self, when: float, action, *args) -> None:
        """Schedule ``action(*args)`` for a time, seconds, or now if it has passed."""
        item = (max(when, self.now), next(self.numbers), action, args)
        heapq.heappush(self.events, item)

    def schedule_after(self, delay: float, action, *args) -> None:
        """Schedule ``action(*args)`` after a delay, seconds."""
        self.schedule_at(self.now + delay, action, *args)

    def run(self, until: float) -> None:
        """Run all events up to a time, seconds, in order."""
        while self.events and self.events[0][0] <= until:
            self.now, _, action, args = heapq.heappop(self.events)
            action(*args)
        self.now = until


@attrs.frozen
class EngineSpeed:
    """Configure the size and speed of the fake engines.

    The token interval of a batch of n requests is ``base + slope * n`` seconds.
    """

    slots: int = 20
    interval_base_s: float = 0.018
    interval_slope_s: float = 0.0011
    prefill_tokens_per_s: float = 16_000.0
    result_lifetime_s: float = 0.9
    report_lag_s: float = 0.2
    report_period_s: float = 0.25
    cached_prefixes: int = 200

    def interval_s(self, batch: int) -> float:
        """Return the time between tokens at a batch size, seconds."""
        return self.interval_base_s + self.interval_slope_s * batch


@attrs.define(eq=False)
class _ValueHistory:
    """Keep recent values of a load so that reports can lag behind."""

    history: deque = attrs.field(factory=deque)

    def set(self, now: float, value: int) -> None:
        self.history.append((now, value))
        while len(self.history) > 1 and self.history[1][0] < now - _MIN_HISTORY_S:
            self.history.popleft()

    def get(self, moment: float) -> int:
        for at, value in reversed(self.history):
            if at <= moment:
                return value
        return 0


@attrs.define(eq=False)
class _DecodeRun:
    attempt: object
    end: float
    on_done: object


@attrs.define(eq=False)
class FakeDecode:
    """Simulate a decode engine whose batch generates tokens in lockstep.

    ``_tokens_per_slot`` counts the tokens generated per slot since the start. A
    request ends when the count reaches its end, so a change of the batch size needs
    only one new event, for the request that ends first.
    """

    name: str
    clock: VirtualClock
    speed: EngineSpeed
    is_alive: bool = True
    importing: set = attrs.field(factory=set)
    running: dict = attrs.field(factory=dict)
    _end_heap: list = attrs.field(factory=list)
    _tokens_per_slot: float = 0.0
    _updated_at: float = 0.0
    _schedule_version: int = 0
    _numbers: itertools.count = attrs.field(factory=itertools.count)
    _load: _ValueHistory = attrs.field(factory=_ValueHistory)

    def count_holds(self) -> int:
        """Return the number of occupied slots."""
        return len(self.importing) + len(self.running)

    def reserve(self, attempt) -> bool:
        """Reserve a slot for an import and return whether one was free.

        False stands for the busy answer.
        """
        if self.count_holds() >= self.speed.slots:
            return False
        self.importing.add(attempt)
        self._load.set(self.clock.now, self.count_holds())
        return True

    def generate(self, attempt, tokens: int, on_done) -> None:
        """Start to generate tokens after the import; call ``on_done()`` at the end."""
        self.importing.discard(attempt)
        self._advance()
        run = _DecodeRun(attempt, self._tokens_per_slot + tokens, on_done)
        self.running[attempt] = run
        heapq.heappush(self._end_heap, (run.end, next(self._numbers), run))
        self._schedule()

    def cancel(self, attempt) -> None:
        """Release the slot of an attempt."""
        self.importing.discard(attempt)
        self._advance()
        self.running.pop(attempt, None)
        self._load.set(self.clock.now, self.count_holds())
        self._schedule()

    def crash(self) -> list:
        """Stop the engine and return the attempts of all its requests."""
        lost = list(self.importing) + list(self.running)
        self.importing.clear()
        self.running.clear()
        self._end_heap.clear()
        self._schedule_version += 1
        self.is_alive = False
        self._load.set(self.clock.now, 0)
        return lost

    def report(self, sequence: int) -> LoadReport:
        """Return the load of ``report_lag_s`` ago."""
        lag = self.speed.report_lag_s
        running = self._load.get(self.clock.now - lag)
        slots = self.speed.slots
        return LoadReport(self.name, running, 0, slots, age_s=lag, sequence=sequence)

    def _advance(self) -> None:
        now = self.clock.now
        if self.running:
            passed = now - self._updated_at
            self._tokens_per_slot += passed / self.speed.interval_s(len(self.running))
        self._updated_at = now

    def _schedule(self) -> None:
        self._schedule_version += 1
        while self._end_heap:
            run = self._end_heap[0][2]
            if self.running.get(run.attempt) is run:
                break
            heapq.heappop(self._end_heap)
        if not self._end_heap:
            return
        left = max(0.0, self._end_heap[0][0] - self._tokens_per_slot)
        delay = left * self.speed.interval_s(len(self.running))
        self.clock.schedule_after(delay, self._finish, self._schedule_version)

    def _finish(self, version: int) -> None:
        if version != self._schedule_version or not self._end_heap:
            return
        self._advance()
        run = heapq.heappop(self._end_heap)[2]
        del self.running[run.attempt]
        self._load.set(self.clock.now, self.count_holds())
        self._schedule()
        run.on_done()


@attrs.define(eq=False)
class FakePrefill:
    """Simulate a prefill engine that computes prompts in chunks.

    Chunks are scheduled by priority, then by arrival of the prompt.
    """

    name: str
    clock: VirtualClock
    speed: EngineSpeed
    is_alive: bool = True
    computed_tokens: float = 0.0
    result_expiry: dict = attrs.field(factory=dict)
    _queue: list = attrs.field(factory=list)
    _jobs: dict = attrs.field(factory=dict)
    _working: bool = False
    _backlog: float = 0.0
    _numbers: itertools.count = attrs.field(factory=itertools.count)
    _load: _ValueHistory = attrs.field(factory=_ValueHistory)
    _cache: OrderedDict = attrs.field(factory=OrderedDict)
    _events: list = attrs.field(factory=list)
    _sequence: int = 0

    def count_holds(self) -> int:
        """Return the number of unfinished prompts and kept results."""
        return len(self._jobs) + len(self.result_expiry)

    def submit(self, attempt, prompt_tokens, digests, priority, on_done) -> None:
        """Queue a prompt; call ``on_done(work_tokens)`` when it is computed.

        ``work_tokens`` excludes the prefix that was cached when the prompt was queued.
        """
        cached = 0
        for digest in digests:
            if digest not in self._cache:
                break
            cached += _CHUNK_TOKENS
        work = max(1, prompt_tokens - cached)
        # The first item is the remaining work, which is updated after each chunk.
        job = [work, work, attempt, digests, on_done]
        self._jobs[attempt] = job
        heapq.heappush(self._queue, (priority, next(self._numbers), job))
        self._change_backlog(work)
        if not self._working:
            self._start_next()

    def cancel(self, attempt) -> None:
        """Remove the prompt and the result of an attempt."""
        self.result_expiry.pop(attempt, None)
        job = self._jobs.pop(attempt, None)
        if job is not None:
            self._change_backlog(-job[0])
            job[0] = 0

    def crash(self) -> list:
        """Stop the engine and return the attempts with a prompt or result."""
        lost = list(self._jobs) + list(self.result_expiry)
        self._jobs.clear()
        self.result_expiry.clear()
        self._queue.clear()
        self._cache.clear()
        self._change_backlog(-self._backlog)
        self.is_alive = False
        return lost

    def export_result(self, attempt) -> bool:
        """Remove a result and return whether it was still available."""
        until = self.result_expiry.pop(attempt, None)
        return self.is_alive and until is not None and until >= self.clock.now

    def report(self, sequence: int) -> LoadReport:
        """Return the load of ``report_lag_s`` ago."""
        lag = self.speed.report_lag_s
        tokens = int(self._load.get(self.clock.now - lag))
        return LoadReport(self.name, 0, 0, self.speed.slots, tokens, 0, lag, sequence)

    def cache_events(self, after: int) -> CacheEvents:
        """Return the cache events after a sequence number, of the last 100."""
        events = tuple(event for event in self._events if event.sequence > after)
        return CacheEvents(self.name, events, self._sequence)

    def _change_backlog(self, tokens: float) -> None:
        self._backlog = max(0.0, self._backlog + tokens)
        self._load.set(self.clock.now, self._backlog)

    def _start_next(self) -> None:
        while (
            self._queue
            and self._jobs.get(self._queue[0][2][2]) is not (self._queue[0][2])
        ):
            heapq.heappop(self._queue)
        if not self._queue:
            self._working = False
            return
        self._working = True
        job = self._queue[0][2]
        chunk = min(job[0], _CHUNK_TOKENS)
        delay = chunk / self.speed.prefill_tokens_per_s
        self.clock.schedule_after(delay, self._finish_chunk, job, chunk)

    def _finish_chunk(self, job, chunk) -> None:
        self.computed_tokens += chunk
        _, work, attempt, digests, on_done = job
        if self._jobs.get(attempt) is job:
            job[0] -= chunk
            self._change_backlog(-chunk)
            if job[0] <= 0:
                del self._jobs[attempt]
                until = self.clock.now + self.speed.result_lifetime_s
                self.result_expiry[attempt] = until
                self.clock.schedule_at(
                    until + 1e-6, self._expire_result, attempt, until
                )
                self._cache_prefixes(digests)
                on_done(work)
        if self.is_alive:
            self._start_next()

    def _expire_result(self, attempt, until) -> None:
        if self.result_expiry.get(attempt) == until:
            del self.result_expiry[attempt]

    def _cache_prefixes(self, digests) -> None:
        for digest in digests:
            if digest not in self._cache:
                self._append_cache_event(digest, True)
            self._cache[digest] = None
            self._cache.move_to_end(digest)
        while len(self._cache) > self.speed.cached_prefixes:
            old, _ = self._cache.popitem(last=False)
            self._append_cache_event(old, False)
        self._events = self._events[-100:]

    def _append_cache_event(self, digest: str, stored: bool) -> None:
        self._sequence += 1
        # Omits every twentieth event, so receivers see a gap in the sequence.
        if self._sequence % 20:
            self._events.append(CacheEvent(self._sequence, digest, stored))


@attrs.define(eq=False)
class FakePlain:
    """Simulate a plain server with a constant service time.

    ``runs`` counts how often each request was run, to detect calls that run twice.
    """

    name: str
    clock: VirtualClock
    service_time_s: float = 0.03
    max_concurrency: int = 8
    is_alive: bool = True
    runs: dict = attrs.field(factory=dict)
    _busy: int = 0
    _queue: deque = attrs.field(factory=deque)
    _epoch: int = 0

    def submit(self, request_id: str, on_done) -> None:
        """Queue a call; call ``on_done()`` at its end.

        A call that is open when the server crashes never ends.
        """
        self._queue.append((request_id, on_done))
        self._start_next()

    def crash(self) -> None:
        """Stop the server and remove all calls."""
        self._epoch += 1
        self.is_alive = False
        self._busy = 0
        self._queue.clear()

    def _start_next(self) -> None:
        while self._queue and self._busy < self.max_concurrency:
            request_id, on_done = self._queue.popleft()
            self._busy += 1
            self.runs[request_id] = self.runs.get(request_id, 0) + 1
            self.clock.schedule_after(
                self.service_time_s, self._finish_call, on_done, self._epoch
            )

    def _finish_call(self, on_done, epoch: int) -> None:
        if epoch != self._epoch:
            return
        self._busy -= 1
        on_done()
        self._start_next()
