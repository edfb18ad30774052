"""Compute an upper bound of the work that the servers can do, whatever the schedule.

Let S be the number of decode slots and P the prefill speed of the available servers.
The requests admitted in a window of M seconds need

- D slot seconds: the sum of their output tokens times the token interval of a full
  batch. An engine has its highest token rate with a full batch. Imports are assumed to
  take no slot time, and slots are assumed to be always in use;
- T prefill tokens: the sum of their prompt tokens without the prefixes that they share
  with other requests. Shared prefixes are assumed to be always cached.

If the mix of requests stays the same, the servers can do at most the share
``min(1, S M / D, P M / T)`` of the work, and can return at most that share of the
output tokens.
"""

import attrs

from sesameport.bench.deployments import Deployment
from sesameport.bench.fakes import EngineSpeed

__all__ = [
    "CapacityBound",
    "compute_capacity_bound",
    "max_min_fair_shares",
    "request_rate_at_capacity",
]

_PREFIX_TOKENS = 1_024


@attrs.frozen
class CapacityBound:
    """Represent the share of the admitted work that capacity allows.

    ``share`` is at most 1. The other two are the bounds by decode slots and by prefill
    speed alone, which may exceed 1.
    """

    share: float
    slot_bound: float
    prefill_bound: float


def compute_capacity_bound(
    requests,
    window_s: float,
    decode_servers: int,
    prefill_servers: int,
    speed: EngineSpeed,
) -> CapacityBound:
    """Return the share of the admitted requests that capacity allows.

    ``requests`` have ``output_tokens``, ``prompt_tokens`` and ``shared_prefixes``.
    """
    full_batch_interval_s = speed.interval_s(speed.slots)
    slot_s = sum(req.output_tokens for req in requests) * full_batch_interval_s
    tokens = sum(
        req.prompt_tokens - _PREFIX_TOKENS * req.shared_prefixes for req in requests
    )
    slot_bound = decode_servers * speed.slots * window_s / max(slot_s, 1e-9)
    prefill_bound = (
        prefill_servers * speed.prefill_tokens_per_s * window_s / max(tokens, 1e-9)
    )
    return CapacityBound(min(1.0, slot_bound, prefill_bound), slot_bound, prefill_bound)


def request_rate_at_capacity(deployment: Deployment) -> float:
    """Return the requests per second at 100% load, computed from the mix means."""
    speed = deployment.speed
    slot_s = tokens = 0.0
    for mix in deployment.mixes:
        slot_s += mix.share * sum(mix.output) / 2 * speed.interval_s(speed.slots)
        shared = _PREFIX_TOKENS if mix.prefixes else 0
        tokens += mix.share * (sum(mix.prompt) / 2 - shared)
    count = len(deployment.data_centres) * deployment.pairs_per_data_centre
    slot_bound = count * speed.slots / slot_s
    prefill_bound = count * speed.prefill_tokens_per_s / tokens
    return min(slot_bound, prefill_bound)


def max_min_fair_shares(
    demands: dict[str, float], weights: dict[str, float], capacity: float
) -> dict[str, float]:
    """Divide capacity by weighted max-min fairness.

    No share exceeds its demand.
    """
    shares = dict.fromkeys(demands, 0.0)
    unmet = {name for name, demand in demands.items() if demand > 0}
    remaining = capacity
    while unmet and remaining > 1e-9:
        unit = remaining / sum(weights[name] for name in unmet)
        saturated = {
            name
            for name in unmet
            if demands[name] - shares[name] <= unit * weights[name]
        }
        if not saturated:
            for name in unmet:
                shares[name] += unit * weights[name]
            break
        for name in saturated:
            remaining -= demands[name] - shares[name]
            shares[name] = demands[name]
        unmet -= saturated
    return shares
