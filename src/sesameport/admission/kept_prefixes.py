"""Estimate which prompt prefixes each engine still has in its cache.

An engine keeps the parts of the prompts that it prefilled or fetched until later
requests need the memory, and evicts the least recently used parts first. A host does
not see the evictions. It estimates them from the tokens that have passed through the
engine since the part was last used: while they fit twice into the memory that running
requests leave free, the part counts as cached, and once they fill that memory as
evicted.

A part is identified by its own id and those of all parts before it, because an engine
can use a cached part only after the same beginning.
"""

import hashlib
import math
from collections import OrderedDict
from collections.abc import Callable, Iterable

import attrs

from sesameport.entry.servers import EntryServer

__all__ = ["KeptPrefixes", "PrefixPart", "PrefixReport", "prefix_parts"]

MAX_PARTS = 16
"""Number of parts of a prompt that are considered; later ones count as not shared."""

MAX_KEPT = 10_000
"""Number of parts that are remembered of all engines, about 5 MB."""

MAX_SEEN = 5_000
"""Number of parts whose requests are counted, the most recently requested ones."""

SHARED_REQUESTS = 3
"""Number of requests of one host from which a part is reported to other hosts."""

REPORT_AGAIN_S = 30.0
"""Time for which hosts do not repeat that an engine has a part, seconds."""

AGE_HALF_LIFE_S = 300.0
"""Half-life of the probability that a part is kept, seconds. It stands for what is not
seen here, such as an engine that drops its cache."""

REPORTED_PROBABILITY = 0.9
"""Probability that an engine has a part when another host reports it."""

FAILED_PROBABILITY = 0.5
"""Probability that an engine has a part after a run that failed, before or after it
fetched the part."""


@attrs.frozen
class PrefixPart:
    """Identify a part of a prompt together with all parts before it.

    Attributes
    ----------
    digest : int
        Digest of the ids up to this part, 64 bits.
    tokens : int
        Tokens of this part.
    """

    digest: int
    tokens: int


@attrs.frozen
class PrefixReport:
    """Report to other hosts that an engine has parts in its cache.

    Attributes
    ----------
    server : str
        Id of the engine.
    started_at_ms : int
        Start time of its incarnation, Unix milliseconds; 0 if unknown.
    digests : tuple of int
        See `PrefixPart`.
    age_s : float
        Time since the parts were used, seconds.
    """

    server: str
    started_at_ms: int
    digests: tuple[int, ...]
    age_s: float


def prefix_parts(
    ids: Iterable[str], tokens: Iterable[int], prompt_tokens: float = math.inf
) -> tuple[PrefixPart, ...]:
    """Return the parts of a prompt from their ids and tokens, in order.

    Callers may state any number of tokens; parts together have at most those of the
    prompt.

    Examples
    --------
    >>> first, second = prefix_parts(["a1", "b2"], [1_000, 200])
    >>> first == prefix_parts(["a1"], [1_000])[0], second.tokens
    (True, 200)
    >>> second.digest == prefix_parts(["c3", "b2"], [1_000, 200])[1].digest
    False
    """
    parts, digest = [], b""
    for name, count in zip(ids, tokens, strict=False):
        if len(parts) == MAX_PARTS:
            break
        digest = hashlib.blake2b(digest + name.encode(), digest_size=8).digest()
        count = min(count, prompt_tokens)
        prompt_tokens -= count
        parts.append(PrefixPart(int.from_bytes(digest, "big"), count))
    return tuple(parts)


@attrs.define
class _Kept:
    """Hold when a part was last used, as a time and as tokens of its engine."""

    at: float
    clock: float
    probability: float = 1.0
    running: int = 0


@attrs.define
class _Engine:
    """Hold the parts of an engine, the least recently used one first."""

    started_at_ms: int
    clock: float = 0.0
    parts: OrderedDict[int, _Kept] = attrs.field(factory=OrderedDict)


@attrs.define
class KeptPrefixes:
    """Hold the estimates of one host; not thread-safe.

    Examples
    --------
    >>> parts = prefix_parts(["a1"], [1_000])
    >>> KeptPrefixes().expected_tokens(parts, lambda engine: 20_000, now=0.0)
    {}
    """

    max_kept: int = MAX_KEPT
    _engines: dict[str, _Engine] = attrs.field(factory=dict)
    _seen: OrderedDict[int, int] = attrs.field(factory=OrderedDict)
    _pending: dict[str, dict[int, float]] = attrs.field(factory=dict)
    _told: OrderedDict[tuple[str, int], float] = attrs.field(factory=OrderedDict)

    def record_request(self, parts: Iterable[PrefixPart]) -> None:
        """Count a request of this host for its parts."""
        for part in parts:
            self._seen[part.digest] = self._seen.pop(part.digest, 0) + 1
        while len(self._seen) > MAX_SEEN:
            self._seen.popitem(last=False)

    def record_held(
        self, server: EntryServer, parts: Iterable[PrefixPart], now: float
    ) -> None:
        """Record that an engine has prefilled, fetched or just used parts."""
        engine = self._engine(server)
        for part in parts:
            kept = self._touch(engine, part.digest, now)
            kept.probability = 1.0
            if self._seen.get(part.digest, 0) >= SHARED_REQUESTS:
                self._pending.setdefault(server.name, {})[part.digest] = now
        self._trim(engine)

    def begin_run(
        self, server: EntryServer, parts: Iterable[PrefixPart], now: float
    ) -> None:
        """Record that a decode engine fetches parts; it keeps them during the run."""
        self.record_held(server, parts, now)
        engine = self._engine(server)
        for part in parts:
            if part.digest in engine.parts:
                engine.parts[part.digest].running += 1

    def end_run(
        self,
        server: EntryServer,
        parts: Iterable[PrefixPart],
        succeeded: bool,
        now: float,
    ) -> None:
        """Record the end of a run on a decode engine."""
        engine = self._engine(server)
        for part in parts:
            kept = engine.parts.get(part.digest)
            if kept is None:
                continue
            kept.running = max(0, kept.running - 1)
            if not succeeded:
                kept.probability = min(kept.probability, FAILED_PROBABILITY)
        if succeeded:
            self.record_held(server, parts, now)

    def pass_tokens(self, server: str, tokens: float) -> None:
        """Record tokens of later requests, which need memory of an engine."""
        engine = self._engines.get(server)
        if engine is not None:
            engine.clock += tokens

    def begin_incarnation(self, server: str, started_at_ms: int) -> None:
        """Forget the parts of an earlier incarnation of an engine."""
        engine = self._engines.get(server)
        if engine is not None and engine.started_at_ms != started_at_ms:
            self._forget(server)

    def remove_unknown(self, names: Iterable[str]) -> None:
        """Forget engines that are not among the registered ones."""
        for name in self._engines.keys() - set(names):
            self._forget(name)

    def _forget(self, server: str) -> None:
        self._engines.pop(server, None)
        self._pending.pop(server, None)
        for key in [key for key in self._told if key[0] == server]:
            del self._told[key]

    def engines(self) -> list[str]:
        """Return the engines of which parts are known."""
        return list(self._engines)

    def count(self) -> int:
        """Return the number of remembered parts of all engines."""
        return sum(len(engine.parts) for engine in self._engines.values())

    def expected_tokens(
        self,
        parts: tuple[PrefixPart, ...],
        free_tokens: Callable[[str], float],
        now: float,
    ) -> dict[str, float]:
        """Return the tokens of a prompt that engines are expected to have cached.

        Engines without any are missing. ``free_tokens`` returns the memory of an engine
        that its running requests leave for cached parts, tokens.
        """
        found: dict[str, float] = {}
        if not parts:
            return found
        pairs = [(part.digest, part.tokens) for part in parts]
        first = pairs[0][0]
        for name, engine in self._engines.items():
            if first not in engine.parts:
                continue
            free = free_tokens(name)
            expected, probability = 0.0, 1.0
            for digest, tokens in pairs:
                kept = engine.parts.get(digest)
                if kept is None:
                    break
                # A part can be used only if all parts before it are there.
                own = _probability(engine.clock, kept, free, now)
                if own < probability:
                    probability = own
                expected += probability * tokens
            if expected > 0:
                found[name] = expected
        return found

    def merge(self, report: PrefixReport, server: EntryServer, now: float) -> bool:
        """Apply another host's report; return whether it is about ``server``."""
        if server.started_at_ms and report.started_at_ms != server.started_at_ms:
            return False
        engine = self._engine(server)
        at = now - report.age_s
        for digest in report.digests:
            self._mark_told(server.name, digest, at)
            known = engine.parts.get(digest)
            if known is not None and known.at >= at:
                continue
            kept = self._touch(engine, digest, at)
            kept.probability = max(kept.probability, REPORTED_PROBABILITY)
        self._trim(engine)
        return True

    def take_reports(self, limit: int, now: float) -> list[PrefixReport]:
        """Return reports of at most ``limit`` parts that other hosts lack."""
        reports = []
        for name, digests in self._pending.items():
            engine = self._engines.get(name)
            if engine is None or limit <= 0:
                continue
            news = [
                digest
                for digest in digests
                if now - self._told.get((name, digest), -math.inf) >= REPORT_AGAIN_S
            ][:limit]
            if not news:
                continue
            limit -= len(news)
            for digest in news:
                self._mark_told(name, digest, now)
            age_s = now - max(digests[digest] for digest in news)
            reports.append(PrefixReport(name, engine.started_at_ms, tuple(news), age_s))
        self._pending.clear()
        return reports

    def _mark_told(self, server: str, digest: int, at: float) -> None:
        key = server, digest
        self._told[key] = max(at, self._told.pop(key, -math.inf))
        while len(self._told) > self.max_kept:
            self._told.popitem(last=False)

    def _engine(self, server: EntryServer) -> _Engine:
        engine = self._engines.get(server.name)
        if engine is None or engine.started_at_ms != server.started_at_ms:
            self._forget(server.name)
            engine = self._engines[server.name] = _Engine(server.started_at_ms)
        return engine

    def _touch(self, engine: _Engine, digest: int, at: float) -> _Kept:
        kept = engine.parts.get(digest)
        if kept is None:
            kept = engine.parts[digest] = _Kept(at, engine.clock, 0.0)
        kept.at, kept.clock = at, engine.clock
        engine.parts.move_to_end(digest)
        return kept

    def _trim(self, engine: _Engine) -> None:
        """Forget the least recently used parts beyond this engine's share."""
        most = max(MAX_PARTS, self.max_kept // len(self._engines))
        while len(engine.parts) > most:
            engine.parts.popitem(last=False)


def _probability(clock: float, kept: _Kept, free: float, now: float) -> float:
    """Return the probability that an engine still has a part.

    ``clock`` counts the tokens that have passed through the engine.
    """
    if kept.running:
        return kept.probability
    if clock - kept.clock >= free:
        return 0.0
    fits = 2.0 - 2.0 * (clock - kept.clock) / free
    probability = kept.probability if fits >= 1.0 else kept.probability * fits
    return probability * 0.5 ** (max(0.0, now - kept.at) / AGE_HALF_LIFE_S)
