"""Place prompts with shared prefixes at nine hosts, without a network."""

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

HOSTS, SPEED, CACHE_TOKENS, SHARED_TOKENS = 9, 30_000, 28_000, 2_000
PREFILL = {f"p{n}": server(f"p{n}", ServerRole.PREFILL) for n in range(6)}
DECODE = [server(f"d{n}", slots=400) for n in range(6)]
ROOMY = attrs.evolve(PROFILE, kv_tokens=400_000)


def run_load(strategy, rate, ids_of, seconds=30.0, seed=1):
    """Run prompts at ``rate`` per second for their prefills.

    ``strategy`` returns the prefill engines and the cached tokens that placement gets,
    and ``ids_of`` the ids of a prompt. Return the sorted prefill latencies in seconds,
    the number of prompts of each engine, and the number that were not placed.
    """
    rng, latencies, prompts, refused = random.Random(seed), [], Counter(), 0
    hosts = [(FleetUse(), KeptPrefixes()) for _ in range(HOSTS)]
    free_at, caches = Counter(), {name: OrderedDict() for name in PREFILL}
    ends, now, exchange_at, number = [], 0.0, 0.0, 0
    while now < seconds:
        now += rng.expovariate(rate)
        while ends and ends[0][0] <= now:
            end, _, (use, kept), placed = heapq.heappop(ends)
            for name, change in placed.uses():
                use.add_local(name, ServerUse().minus(change))
            kept.record_held(placed.prefill, placed.prefix, end)
            kept.pass_tokens(placed.prefill.name, HOSTS * placed.prompt_tokens)
        if now >= exchange_at:
            exchange_at = now + 0.1
            _exchange(hosts, now)
        host, number = hosts[rng.randrange(HOSTS)], number + 1
        ids = ids_of(rng, number)
        parts = prefix_parts(ids, [SHARED_TOKENS] * len(ids))
        host[1].record_request(parts)
        cached = host[1].expected_tokens(parts, lambda name: CACHE_TOKENS, now)
        engines, cached = strategy(list(PREFILL.values()), cached, rng)
        placed = place_generation(
            attrs.evolve(generation(SHARED_TOKENS + 1_000), prefix=parts),
            ROOMY,
            [*engines, *DECODE],
            host[0],
            lambda name: 1.0,
            PlacementPolicy(),
            {},
            predictions=Predictions(cached_tokens=cached),
        ).ok()
        if placed is None or placed.prefill is None:
            refused += 1
            continue
        for name, change in placed.uses():
            host[0].add_local(name, change)
        name = placed.prefill.name
        tokens = placed.prompt_tokens - _hit(caches[name], parts)
        free_at[name] = end = max(now, free_at[name]) + tokens / SPEED
        latencies.append(end - now)
        prompts[name] += 1
        heapq.heappush(ends, (end, number, host, placed))
    return sorted(latencies), prompts, refused


def _hit(cache, parts) -> int:
    """Return the tokens that an engine has cached, and cache all parts there."""
    held = [part.tokens for part in parts if part.digest in cache]
    for part in parts:
        cache[part.digest] = part.tokens
        cache.move_to_end(part.digest)
    while sum(cache.values()) > CACHE_TOKENS:
        cache.popitem(last=False)
    return sum(held)


def _exchange(hosts, now):
    for n, (use, kept) in enumerate(hosts):
        reports = kept.take_reports(24, now)
        for other_use, other_kept in hosts:
            if other_use is use:
                continue
            other_use.apply_report(f"h{n}", use.local, now)
            for report in reports:
                other_kept.merge(report, PREFILL[report.server], now)
