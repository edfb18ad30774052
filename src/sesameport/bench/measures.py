"""Turn the records of a run into the measures of the design page, section 1.3."""

from collections import defaultdict

import attrs

from sesameport.bench.capacity import bound_share, fair_shares
from sesameport.bench.fakes import FakePlain, FakePrefill
from sesameport.world import Urgency

__all__ = ["Measures", "measure"]


@attrs.frozen
class Measures:
    """Hold the result of one run. Shares are parts of 1, times are in seconds.

    Attributes
    ----------
    goodput_share : float
        Output tokens of the window's requests that met both targets, as a share of
        those that capacity allows (see ``capacity``).
    allowed_share : float
        Share of the admitted work that capacity allows.
    wasted_prefill_share : float
        Prefill tokens whose result led to no complete answer, of all computed.
    worst_workspace : float
        Least ratio of a workspace's tokens served within targets to its fair share.
    wrongful_refusals : float
        Share of admitted requests that were refused or never answered.
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


def measure(sim, router: str, fault: str) -> Measures:
    """Compute the measures of a finished run."""
    plan = sim.plan
    records = [r for r in sim.tally.records if r.in_window and not r.lost_with_host]
    live = len(sim.deployment.data_centres) - len(sim.lost)
    live *= sim.deployment.pairs_per_data_centre
    bound = bound_share(
        [record.arrival for record in records],
        plan.window_s,
        live,
        live,
        sim.deployment.speed,
    )
    good = [record for record in records if _in_target(sim, record)]
    output = sum(record.arrival.output_tokens for record in records)
    good_output = sum(record.arrival.output_tokens for record in good)
    worst, name = _worst_workspace(sim, records, good, bound.share)
    refused = sum(1 for r in records if r.refused or not r.answers)
    urgent = [r for r in records if r.arrival.req.urgency == Urgency.URGENT]
    patient = [r for r in records if r.arrival.req.urgency == Urgency.PATIENT]
    return Measures(
        sim.deployment.name,
        router,
        plan.load,
        fault,
        plan.seed,
        good_output / max(1e-9, output * bound.share),
        bound.share,
        _wasted_share(sim),
        worst,
        name,
        refused / max(1, len(records)),
        sim.holds_left(),
        _run_twice(sim),
        _p95(_first_tokens(urgent)),
        _p95(_first_tokens(patient)),
        sum(_in_target(sim, r) for r in urgent) / max(1, len(urgent)),
        sum(_in_target(sim, r) for r in patient) / max(1, len(patient)),
        sim.tally.busy_answers / max(1, len(sim.tally.records)),
        _p95(sim.tally.plain_delays),
        len(records),
    )


def _in_target(sim, record) -> bool:
    if record.refused or not record.answers:
        return False
    targets = sim.deployment.targets
    bound = targets.first_token_s
    if record.arrival.req.urgency == Urgency.PATIENT:
        bound = sim.deployment.patient_first_token_s
    if record.first_token - record.arrival.req.arrived_at > bound:
        return False
    return record.interval_s <= targets.between_tokens_s


def _worst_workspace(sim, records, good, share) -> tuple[float, str]:
    demands: dict[str, float] = defaultdict(float)
    served: dict[str, float] = defaultdict(float)
    for record in records:
        demands[record.arrival.req.workspace] += record.arrival.tokens
    for record in good:
        served[record.arrival.req.workspace] += record.arrival.tokens
    capacity = share * sum(demands.values())
    fair = fair_shares(demands, sim.deployment.workspaces, capacity)
    ratios = [(served[name] / fair[name], name) for name in fair if fair[name] > 0]
    return min(ratios, default=(0.0, ""))


def _wasted_share(sim) -> float:
    computed = sim.tally.computed_before_crash
    for engine in sim.engines.values():
        if isinstance(engine, FakePrefill):
            computed += engine.computed_tokens
    return max(0.0, 1.0 - sim.tally.useful_tokens / max(1.0, computed))


def _run_twice(sim) -> int:
    runs: dict[str, int] = defaultdict(int)
    for engine in sim.engines.values():
        if isinstance(engine, FakePlain):
            for request_id, count in engine.runs.items():
                runs[request_id] += count
    twice = sum(1 for count in runs.values() if count > 1)
    return twice + sum(1 for record in sim.tally.records if record.answers > 1)


def _first_tokens(records) -> list[float]:
    return [
        record.first_token - record.arrival.req.arrived_at
        for record in records
        if record.first_token is not None
    ]


def _p95(values) -> float:
    if not values:
        return 0.0
    return sorted(values)[int(0.95 * (len(values) - 1))]
