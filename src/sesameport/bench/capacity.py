"""Compute what capacity allows: an upper bound that no schedule can exceed for long.

Let S be the decode slots and P the prefill speed of the live servers, and let the
requests admitted in the window of M seconds need

- D slot seconds: the sum of their output tokens times the token interval of a full
  batch. A full batch gives the highest token rate of an engine, imports are taken to
  need no slot time, and no slot is ever empty;
- T prefill tokens: the sum of their prompts without any prefix that another request
  shares, as if each shared prefix were always cached.

Then at most the share ``min(1, S M / D, P M / T)`` of the work can be done while the
mix of requests is kept, and that share of the output tokens is what capacity allows.
"""

import attrs

from sesameport.bench.deployments import Deployment
from sesameport.bench.fakes import EngineSpeed

__all__ = ["CapacityBound", "bound_share", "fair_shares", "request_rate_at_capacity"]

_PREFIX_TOKENS = 1_024


@attrs.frozen
class CapacityBound:
    """Hold the servable share of the admitted work, and its two parts."""

    share: float
    by_slots: float
    by_prefill: float


def bound_share(
    requests, window_s: float, decodes: int, prefills: int, speed: EngineSpeed
) -> CapacityBound:
    """Return the share of the admitted requests that capacity allows.

    ``requests`` have ``output_tokens``, ``prompt_tokens`` and ``shared_prefixes``.
    """
    full = speed.interval_s(speed.slots)
    slot_s = sum(req.output_tokens for req in requests) * full
    tokens = sum(
        req.prompt_tokens - _PREFIX_TOKENS * req.shared_prefixes for req in requests
    )
    by_slots = decodes * speed.slots * window_s / max(slot_s, 1e-9)
    by_prefill = prefills * speed.prefill_tokens_per_s * window_s / max(tokens, 1e-9)
    return CapacityBound(min(1.0, by_slots, by_prefill), by_slots, by_prefill)


def request_rate_at_capacity(deployment: Deployment) -> float:
    """Return the requests per second at 100% load, from the means of the mix."""
    speed = deployment.speed
    slot_s = tokens = 0.0
    for mix in deployment.mixes:
        slot_s += mix.share * sum(mix.output) / 2 * speed.interval_s(speed.slots)
        shared = _PREFIX_TOKENS if mix.prefixes else 0
        tokens += mix.share * (sum(mix.prompt) / 2 - shared)
    count = len(deployment.data_centres) * deployment.pairs_per_data_centre
    by_slots = count * speed.slots / slot_s
    by_prefill = count * speed.prefill_tokens_per_s / tokens
    return min(by_slots, by_prefill)


def fair_shares(
    demands: dict[str, float], weights: dict[str, float], capacity: float
) -> dict[str, float]:
    """Divide capacity by weight; nobody gets more than its demand (max-min)."""
    shares = dict.fromkeys(demands, 0.0)
    unmet = {name for name, demand in demands.items() if demand > 0}
    left = capacity
    while unmet and left > 1e-9:
        unit = left / sum(weights[name] for name in unmet)
        full = {
            name
            for name in unmet
            if demands[name] - shares[name] <= unit * weights[name]
        }
        if not full:
            for name in unmet:
                shares[name] += unit * weights[name]
            break
        for name in full:
            left -= demands[name] - shares[name]
            shares[name] = demands[name]
        unmet -= full
    return shares
