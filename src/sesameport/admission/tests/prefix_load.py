"""Place prompts with shared prefixes at several hosts, without a network."""

import heapq
import random
from collections import Counter, OrderedDict

import attrs

from sesameport.admission import (
    FleetUse,
    KeptPrefixes,
    PlacementPolicy,
    Predictions,
    ServerUse,
    place_generation,
    prefix_parts,
)
from sesameport.admission.tests.builders import PROFILE, generation, server
from sesameport.domain import ServerRole

HOSTS, SPEED, CACHE_TOKENS = 9, 30_000, 28_000
PREFILL = [server(f"p{n}", ServerRole.PREFILL) for n in range(6)]
DECODE = [server(f"d{n}", slots=400) for n in range(6)]


def least_wait(prefill, cached, rng):
    """Place without predictions."""
    return prefill, {}


def weighed(prefill, cached, rng):
    """Place by the expected queue and prefill time with the part cached."""
    return prefill, cached


@attrs.define
class Result:
    """Hold prefill latencies in seconds, and tokens and prompts by engine."""

    latencies: list[float] = attrs.field(factory=list)
    tokens: Counter = attrs.field(factory=Counter)
    prompts: Counter = attrs.field(factory=Counter)
    refused: int = 0

    def percentile(self, share: float) -> float:
        """Return a percentile of the prefill latency, seconds."""
        return sorted(self.latencies)[int(share * len(self.latencies))]


def run_load(strategy, rate, ids_of, seconds=30.0, seed=1, shared_tokens=2_000):
    """Run arrivals at ``rate`` per second; ``ids_of`` returns the ids of a prompt."""
    rng, result = random.Random(seed), Result()
    uses = [FleetUse() for _ in range(HOSTS)]
    kept = [KeptPrefixes() for _ in range(HOSTS)]
    free_at, caches = Counter(), {item.name: OrderedDict() for item in PREFILL}
    ends, now, exchange_at, number = [], 0.0, 0.0, 0
    profile = attrs.evolve(PROFILE, kv_tokens=400_000)
    while now < seconds:
        now += rng.expovariate(rate)
        while ends and ends[0][0] <= now:
            _, _, host, release, arguments = heapq.heappop(ends)
            release(host, *arguments)
        if now >= exchange_at:
            exchange_at = now + 0.1
            _exchange(uses, kept, now)
        host, number = rng.randrange(HOSTS), number + 1
        ids = ids_of(rng, number)
        parts = prefix_parts(ids, [shared_tokens] * len(ids))
        kept[host].record_request(parts)
        cached = kept[host].expected_tokens(parts, lambda name: CACHE_TOKENS, now)
        prefill, cached = strategy(PREFILL, cached, rng)
        placed = place_generation(
            attrs.evolve(generation(shared_tokens + 1_000), prefix=parts),
            profile,
            [*prefill, *DECODE],
            uses[host],
            lambda name: 1.0,
            PlacementPolicy(),
            {},
            predictions=Predictions(cached_tokens=cached),
        ).ok()
        if placed is None or placed.prefill is None:
            result.refused += 1
            continue
        for name, change in placed.uses():
            uses[host].add_local(name, change)
        engine = placed.prefill.name
        tokens = placed.prompt_tokens - _hit(caches[engine], parts)
        end = max(now, free_at[engine]) + tokens / SPEED
        free_at[engine] = end
        result.latencies.append(end - now)
        result.tokens[engine] += tokens
        result.prompts[engine] += 1

        def release(host, placed, at):
            uses[host].add_local(placed.prefill.name, _minus(placed.prefill_use()))
            uses[host].add_local(placed.decode.name, _minus(placed.uses()[0][1]))
            kept[host].record_held(placed.prefill, placed.prefix, at)
            kept[host].pass_tokens(placed.prefill.name, HOSTS * placed.prompt_tokens)

        heapq.heappush(ends, (end, number, host, release, (placed, end)))
    return result


def _minus(use):
    return ServerUse().minus(use)


def _hit(cache, parts) -> int:
    """Return the tokens that an engine has cached, and cache all parts there."""
    hit, is_hit = 0, True
    for part in parts:
        is_hit = is_hit and part.digest in cache
        hit += part.tokens if is_hit else 0
    for part in parts:
        cache[part.digest] = part.tokens
        cache.move_to_end(part.digest)
    while sum(cache.values()) > CACHE_TOKENS:
        cache.popitem(last=False)
    return hit


def _exchange(uses, kept, now):
    by_name = {item.name: item for item in PREFILL}
    for n, use in enumerate(uses):
        reports = kept[n].take_reports(24, now)
        for other, item in enumerate(uses):
            if other == n:
                continue
            item.apply_report(f"h{n}", use.local, now)
            for report in reports:
                kept[other].merge(report, by_name[report.server], now)
