"""Fake engines for the virtual-time bench.

A decode engine holds a bounded number of requests, slows down with its batch and
answers busy when it is full. A prefill engine computes prompts in chunks, urgent ones
first, keeps its results for a bounded time and caches prefixes.
"""

import heapq
import itertools
from collections import OrderedDict, deque

import attrs

from sesameport.interfaces import CacheEvent, CacheEvents, LoadReport

__all__ = ["Clock", "EngineSpeed", "FakeDecode", "FakePlain", "FakePrefill"]

_CHUNK_TOKENS = 1_024
_HISTORY_S = 2.0


@attrs.define
class Clock:
    """Run events in virtual time."""

    now: float = 0.0
    events: list = attrs.field(factory=list)
    numbers: itertools.count = attrs.field(factory=itertools.count)

    def at(self, when: float, action, *args) -> None:
        """Run ``action(*args)`` at a time, seconds."""
        item = (max(when, self.now), next(self.numbers), action, args)
        heapq.heappush(self.events, item)

    def after(self, delay: float, action, *args) -> None:
        """Run ``action(*args)`` after a delay, seconds."""
        self.at(self.now + delay, action, *args)

    def run(self, until: float) -> None:
        """Run all events up to a time."""
        while self.events and self.events[0][0] <= until:
            self.now, _, action, args = heapq.heappop(self.events)
            action(*args)
        self.now = until


@attrs.frozen
class EngineSpeed:
    """Give the size and speed of the fake engines.

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
class _Lagging:
    """Report a value as it was some time ago."""

    history: deque = attrs.field(factory=deque)

    def set(self, now: float, value: int) -> None:
        self.history.append((now, value))
        while len(self.history) > 1 and self.history[1][0] < now - _HISTORY_S:
            self.history.popleft()

    def get(self, moment: float) -> int:
        for at, value in reversed(self.history):
            if at <= moment:
                return value
        return 0


@attrs.define(eq=False)
class _Run:
    attempt: object
    end: float
    done: object


@attrs.define(eq=False)
class FakeDecode:
    """Decode with up to ``slots`` requests; all of a batch progress at one rate."""

    name: str
    clock: Clock
    speed: EngineSpeed
    alive: bool = True
    importing: set = attrs.field(factory=set)
    running: dict = attrs.field(factory=dict)
    _ends: list = attrs.field(factory=list)
    _progress: float = 0.0
    _progress_at: float = 0.0
    _version: int = 0
    _numbers: itertools.count = attrs.field(factory=itertools.count)
    _load: _Lagging = attrs.field(factory=_Lagging)

    def held(self) -> int:
        """Return the number of requests that hold a slot."""
        return len(self.importing) + len(self.running)

    def reserve(self, attempt) -> bool:
        """Take a slot for an import; False is the busy answer."""
        if self.held() >= self.speed.slots:
            return False
        self.importing.add(attempt)
        self._load.set(self.clock.now, self.held())
        return True

    def generate(self, attempt, tokens: int, done) -> None:
        """Generate tokens after the import; ``done()`` runs at the end."""
        self.importing.discard(attempt)
        self._advance()
        run = _Run(attempt, self._progress + tokens, done)
        self.running[attempt] = run
        heapq.heappush(self._ends, (run.end, next(self._numbers), run))
        self._schedule()

    def cancel(self, attempt) -> None:
        """Release the slot of an attempt."""
        self.importing.discard(attempt)
        self._advance()
        self.running.pop(attempt, None)
        self._load.set(self.clock.now, self.held())
        self._schedule()

    def crash(self) -> list:
        """Lose all requests and return their attempts."""
        lost = list(self.importing) + list(self.running)
        self.importing.clear()
        self.running.clear()
        self._ends.clear()
        self._version += 1
        self.alive = False
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
            passed = now - self._progress_at
            self._progress += passed / self.speed.interval_s(len(self.running))
        self._progress_at = now

    def _schedule(self) -> None:
        self._version += 1
        while self._ends:
            run = self._ends[0][2]
            if self.running.get(run.attempt) is run:
                break
            heapq.heappop(self._ends)
        if not self._ends:
            return
        left = max(0.0, self._ends[0][0] - self._progress)
        delay = left * self.speed.interval_s(len(self.running))
        self.clock.after(delay, self._finish, self._version)

    def _finish(self, version: int) -> None:
        if version != self._version or not self._ends:
            return
        self._advance()
        run = heapq.heappop(self._ends)[2]
        del self.running[run.attempt]
        self._load.set(self.clock.now, self.held())
        self._schedule()
        run.done()


@attrs.define(eq=False)
class FakePrefill:
    """Compute prompts in chunks, in order of priority, then arrival."""

    name: str
    clock: Clock
    speed: EngineSpeed
    alive: bool = True
    computed_tokens: float = 0.0
    handles: dict = attrs.field(factory=dict)
    _queue: list = attrs.field(factory=list)
    _jobs: dict = attrs.field(factory=dict)
    _working: bool = False
    _backlog: float = 0.0
    _numbers: itertools.count = attrs.field(factory=itertools.count)
    _load: _Lagging = attrs.field(factory=_Lagging)
    _cache: OrderedDict = attrs.field(factory=OrderedDict)
    _events: list = attrs.field(factory=list)
    _sequence: int = 0

    def held(self) -> int:
        """Return the number of queued prompts and kept results."""
        return len(self._jobs) + len(self.handles)

    def submit(self, attempt, prompt_tokens, digests, priority, done) -> None:
        """Queue a prompt; ``done(work_tokens)`` runs when its result is kept."""
        cached = 0
        for digest in digests:
            if digest not in self._cache:
                break
            cached += _CHUNK_TOKENS
        work = max(1, prompt_tokens - cached)
        job = [work, work, attempt, digests, done]
        self._jobs[attempt] = job
        heapq.heappush(self._queue, (priority, next(self._numbers), job))
        self._change(work)
        if not self._working:
            self._next()

    def cancel(self, attempt) -> None:
        """Drop the work and the result of an attempt."""
        self.handles.pop(attempt, None)
        job = self._jobs.pop(attempt, None)
        if job is not None:
            self._change(-job[0])
            job[0] = 0

    def crash(self) -> list:
        """Lose all work and results and return the attempts."""
        lost = list(self._jobs) + list(self.handles)
        self._jobs.clear()
        self.handles.clear()
        self._queue.clear()
        self._cache.clear()
        self._change(-self._backlog)
        self.alive = False
        return lost

    def take(self, attempt) -> bool:
        """Export a result; False when it has expired."""
        until = self.handles.pop(attempt, None)
        return self.alive and until is not None and until >= self.clock.now

    def report(self, sequence: int) -> LoadReport:
        """Return the load of ``report_lag_s`` ago."""
        lag = self.speed.report_lag_s
        tokens = int(self._load.get(self.clock.now - lag))
        return LoadReport(self.name, 0, 0, self.speed.slots, tokens, 0, lag, sequence)

    def cache_events(self, after: int) -> CacheEvents:
        """Return the events after a sequence number; old ones are dropped."""
        events = tuple(event for event in self._events if event.sequence > after)
        return CacheEvents(self.name, events, self._sequence)

    def _change(self, tokens: float) -> None:
        self._backlog = max(0.0, self._backlog + tokens)
        self._load.set(self.clock.now, self._backlog)

    def _next(self) -> None:
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
        self.clock.after(delay, self._chunk_done, job, chunk)

    def _chunk_done(self, job, chunk) -> None:
        self.computed_tokens += chunk
        _, work, attempt, digests, done = job
        if self._jobs.get(attempt) is job:
            job[0] -= chunk
            self._change(-chunk)
            if job[0] <= 0:
                del self._jobs[attempt]
                until = self.clock.now + self.speed.result_lifetime_s
                self.handles[attempt] = until
                self.clock.at(until + 1e-6, self._expire, attempt, until)
                self._store(digests)
                done(work)
        if self.alive:
            self._next()

    def _expire(self, attempt, until) -> None:
        if self.handles.get(attempt) == until:
            del self.handles[attempt]

    def _store(self, digests) -> None:
        for digest in digests:
            if digest not in self._cache:
                self._event(digest, True)
            self._cache[digest] = None
            self._cache.move_to_end(digest)
        while len(self._cache) > self.speed.cached_prefixes:
            old, _ = self._cache.popitem(last=False)
            self._event(old, False)
        self._events = self._events[-100:]

    def _event(self, digest: str, stored: bool) -> None:
        self._sequence += 1
        # Every twentieth event is lost, which shows as a gap.
        if self._sequence % 20:
            self._events.append(CacheEvent(self._sequence, digest, stored))


@attrs.define(eq=False)
class FakePlain:
    """Run plain calls, a few at once, and count the runs of each."""

    name: str
    clock: Clock
    service_s: float = 0.03
    at_once: int = 8
    alive: bool = True
    runs: dict = attrs.field(factory=dict)
    _busy: int = 0
    _queue: deque = attrs.field(factory=deque)
    _epoch: int = 0

    def submit(self, request_id: str, done) -> None:
        """Run a call; ``done()`` runs at its end, never after a crash."""
        self._queue.append((request_id, done))
        self._next()

    def crash(self) -> None:
        """Lose all calls."""
        self._epoch += 1
        self.alive = False
        self._busy = 0
        self._queue.clear()

    def _next(self) -> None:
        while self._queue and self._busy < self.at_once:
            request_id, done = self._queue.popleft()
            self._busy += 1
            self.runs[request_id] = self.runs.get(request_id, 0) + 1
            self.clock.after(self.service_s, self._end, done, self._epoch)

    def _end(self, done, epoch: int) -> None:
        if epoch != self._epoch:
            return
        self._busy -= 1
        done()
        self._next()
