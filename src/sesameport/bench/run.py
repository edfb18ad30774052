"""Run the benchmark for combinations of deployment, router, load and fault."""

import random

import attrs

from sesameport.bench.baselines import BaselineRouter, least_loaded, round_robin
from sesameport.bench.deployments import DEPLOYMENTS
from sesameport.bench.measures import Measures, compute_measures
from sesameport.bench.simulation import Faults, RunPlan, Simulation
from sesameport.routing import PairingPolicy, Router, RouterConfig

__all__ = ["CASES", "ROUTERS", "run_bench", "run_case"]

CASES = {
    "70%": {"load": 0.7},
    "100%": {"load": 1.0},
    "130%": {"load": 1.3},
    "data-centre-lost": {"load": 0.7, "faults": Faults(lose_data_centre=True)},
}
"""Arguments of ``RunPlan`` for the cases that run by default."""

FAULT_CASES = {
    "server-crash": {"load": 0.7, "faults": Faults(crash_server=True)},
    "stalled-transfers": {"load": 0.7, "faults": Faults(stalled_transfer_share=0.01)},
    "uneven-hosts": {"load": 1.0, "skew_factor": 3.0},
    "twice-the-hosts-assumed": {"load": 1.0, "assumed_host_ratio": 2.0},
    "two-thirds-assumed": {"load": 1.0, "assumed_host_ratio": 0.67},
    "no-result-retry": {"load": 1.0, "retry_results": False},
}
"""Arguments of ``RunPlan`` for the cases that run only when named."""


def _sesameport_factory(policy: PairingPolicy):
    def make(data_centre: str, hosts: int) -> Router:
        cfg = RouterConfig(data_centre, hosts=hosts, policy=policy)
        return Router(cfg, random.Random(0))

    return make


def _baseline_factory(select_server):
    def make(data_centre: str, hosts: int) -> BaselineRouter:
        cfg = RouterConfig(data_centre, hosts=hosts)
        return BaselineRouter(cfg, random.Random(0), select_server)

    return make


_POLICY = PairingPolicy()
ROUTERS = {
    "sesameport": _sesameport_factory(_POLICY),
    "least-loaded": _baseline_factory(least_loaded),
    "round-robin": _baseline_factory(round_robin),
    "no-sampling": _sesameport_factory(attrs.evolve(_POLICY, candidates=1)),
    "no-near-equal": _sesameport_factory(attrs.evolve(_POLICY, tie_margin_s=0.0)),
    "no-own-counting": _sesameport_factory(
        attrs.evolve(_POLICY, count_own_dispatches=False)
    ),
    "no-start-planning": _sesameport_factory(
        attrs.evolve(_POLICY, plan_start_time=False)
    ),
    "fixed-share": _sesameport_factory(
        attrs.evolve(_POLICY, window_increase=0.0, window_decrease=0.0)
    ),
}
"""Router factories by name. ``no-*`` and ``fixed-share`` disable one mechanism each."""


def run_case(
    deployment: str, router: str, case: str, seed: int = 1, **durations
) -> Measures:
    """Run one deployment, router and case and return its measures.

    ``durations`` are passed to ``RunPlan``, for example ``window_s``.
    """
    plan = RunPlan(seed=seed, **{**CASES, **FAULT_CASES}[case], **durations)
    sim = Simulation(DEPLOYMENTS[deployment], plan, ROUTERS[router])
    sim.run()
    return compute_measures(sim, router, case)


def run_bench(
    deployments=tuple(DEPLOYMENTS),
    routers=("sesameport", "least-loaded", "round-robin"),
    cases=tuple(CASES),
    seed: int = 1,
    **durations,
) -> list[Measures]:
    """Run every combination and return the measures.

    They are ordered by deployment, then case, then router.
    """
    return [
        run_case(deployment, router, case, seed, **durations)
        for deployment in deployments
        for case in cases
        for router in routers
    ]
