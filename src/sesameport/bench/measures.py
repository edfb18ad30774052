"""Compute the measures that section 1.3 of the design page defines."""

from collections import defaultdict

import attrs

from sesameport.bench.capacity import compute_capacity_bound, max_min_fair_shares
from sesameport.bench.fakes import FakePlain, FakePrefill
from sesameport.domain import Urgency

__all__ = ["Measures", "compute_measures"]


@attrs.frozen
class Measures:
    """Represent the result of one run.

    Shares are fractions of 1 and times are in seconds.

    Attributes
    ----------
    goodput_share : float
        Output tokens of the requests in the window that met both latency targets,
        divided by the output tokens that capacity allows (see ``capacity``).
    allowed_share : float
        Upper bound on the share of the admitted work that the servers can do.
    wasted_prefill_share : float
        Share of the computed prefill tokens that led to no complete answer.
    worst_workspace : float
        Lowest ratio, over all workspaces, of tokens served within the targets to the
        workspace's fair share.
    wrongful_refusals : float
        Share of the admitted requests that were refused or never answered.
    holds_left : int
        Slots, prompts, results, open placements and queued requests that remain at the
        end of the run.
    run_twice : int
        Plain calls that ran more than once and requests answered more than once.
    """

    deployment: str
    router: str
    load: float
    fault: str
    seed: int
    goodput_share: float
    allowed_share: float
    wasted_prefill_share: float
    worst_workspace: float
    worst_workspace_name: str
    wrongful_refusals: float
    holds_left: int
    run_twice: int
    urgent_p95_first_token_s: float
    patient_p95_first_token_s: float
    urgent_in_target: float
    patient_in_target: float
    busy_answers_per_request: float
    plain_p95_s: float
    requests: int


def compute_measures(sim, router: str, fault: str) -> Measures:
    """Return the measures of a finished run."""
    plan = sim.plan
    records = [r for r in sim.stats.records if r.in_window and not r.is_host_lost]
    pairs = len(sim.deployment.data_centres) - len(sim.lost_data_centres)
    pairs *= sim.deployment.pairs_per_data_centre
    bound = compute_capacity_bound(
        [record.arrival for record in records],
        plan.window_s,
        pairs,
        pairs,
        sim.deployment.speed,
    )
    served_in_time = [record for record in records if _has_met_targets(sim, record)]
    output_tokens_total = sum(record.arrival.output_tokens for record in records)
    goodput_tokens = sum(record.arrival.output_tokens for record in served_in_time)
    worst, name = _find_worst_workspace(sim, records, served_in_time, bound.share)
    refused = sum(1 for r in records if r.refusal_reason or not r.answer_count)
    urgent = [r for r in records if r.arrival.req.urgency == Urgency.URGENT]
    patient = [r for r in records if r.arrival.req.urgency == Urgency.PATIENT]
    return Measures(
        sim.deployment.name,
        router,
        plan.load,
        fault,
        plan.seed,
        goodput_tokens / max(1e-9, output_tokens_total * bound.share),
        bound.share,
        _compute_wasted_share(sim),
        worst,
        name,
        refused / max(1, len(records)),
        sim.count_remaining_holds(),
        _count_run_twice(sim),
        _compute_p95(_compute_first_token_latencies(urgent)),
        _compute_p95(_compute_first_token_latencies(patient)),
        sum(_has_met_targets(sim, r) for r in urgent) / max(1, len(urgent)),
        sum(_has_met_targets(sim, r) for r in patient) / max(1, len(patient)),
        sim.stats.busy_answers / max(1, len(sim.stats.records)),
        _compute_p95(sim.stats.plain_latencies_s),
        len(records),
    )


def _has_met_targets(sim, record) -> bool:
    if record.refusal_reason or not record.answer_count:
        return False
    targets = sim.deployment.targets
    bound = targets.first_token_s
    if record.arrival.req.urgency == Urgency.PATIENT:
        bound = sim.deployment.patient_first_token_s
    if record.first_token_at - record.arrival.req.arrived_at > bound:
        return False
    return record.interval_s <= targets.between_tokens_s


def _find_worst_workspace(sim, records, served_in_time, share) -> tuple[float, str]:
    demands: dict[str, float] = defaultdict(float)
    served: dict[str, float] = defaultdict(float)
    for record in records:
        demands[record.arrival.req.workspace] += record.arrival.tokens
    for record in served_in_time:
        served[record.arrival.req.workspace] += record.arrival.tokens
    capacity = share * sum(demands.values())
    fair_tokens = max_min_fair_shares(demands, sim.deployment.workspaces, capacity)
    served_ratios = [
        (served[name] / fair_tokens[name], name)
        for name in fair_tokens
        if fair_tokens[name] > 0
    ]
    return min(served_ratios, default=(0.0, ""))


def _compute_wasted_share(sim) -> float:
    computed = sim.stats.crashed_prefill_tokens
    for engine in sim.engines.values():
        if isinstance(engine, FakePrefill):
            computed += engine.computed_tokens
    return max(0.0, 1.0 - sim.stats.useful_tokens / max(1.0, computed))


def _count_run_twice(sim) -> int:
    runs: dict[str, int] = defaultdict(int)
    for engine in sim.engines.values():
        if isinstance(engine, FakePlain):
            for request_id, count in engine.runs.items():
                runs[request_id] += count
    twice = sum(1 for count in runs.values() if count > 1)
    return twice + sum(1 for record in sim.stats.records if record.answer_count > 1)


def _compute_first_token_latencies(records) -> list[float]:
    return [
        record.first_token_at - record.arrival.req.arrived_at
        for record in records
        if record.first_token_at is not None
    ]


def _compute_p95(values) -> float:
    if not values:
        return 0.0
    return sorted(values)[int(0.95 * (len(values) - 1))]
