"""Run the bench over deployments, routers, loads and faults."""

import random

import attrs

from sesameport.bench.baselines import BaselineRouter, least_loaded, round_robin
from sesameport.bench.deployments import DEPLOYMENTS
from sesameport.bench.measures import Measures, measure
from sesameport.bench.simulation import Faults, RunPlan, Simulation
from sesameport.routing import PairingPolicy, Router, RouterConfig

__all__ = ["CASES", "ROUTERS", "run_bench", "run_case"]

CASES = {
    "70%": {"load": 0.7},
    "100%": {"load": 1.0},
    "130%": {"load": 1.3},
    "data-centre-lost": {"load": 0.7, "faults": Faults(lost_data_centre=True)},
}
FAULT_CASES = {
    "server-crash": {"load": 0.7, "faults": Faults(crash_server=True)},
    "stalled-transfers": {"load": 0.7, "faults": Faults(stall_transfers=0.01)},
    "uneven-hosts": {"load": 1.0, "uneven": 3.0},
    "twice-the-hosts-assumed": {"load": 1.0, "assumed_hosts": 2.0},
    "two-thirds-assumed": {"load": 1.0, "assumed_hosts": 0.67},
    "no-result-retry": {"load": 1.0, "retry_results": False},
}


def _sesameport(policy: PairingPolicy):
    def make(data_centre: str, hosts: int) -> Router:
        cfg = RouterConfig(data_centre, hosts=hosts, policy=policy)
        return Router(cfg, random.Random(0))

    return make


def _baseline(pick):
    def make(data_centre: str, hosts: int) -> BaselineRouter:
        cfg = RouterConfig(data_centre, hosts=hosts)
        return BaselineRouter(cfg, random.Random(0), pick)

    return make


_POLICY = PairingPolicy()
ROUTERS = {
    "sesameport": _sesameport(_POLICY),
    "least-loaded": _baseline(least_loaded),
    "round-robin": _baseline(round_robin),
    "no-sampling": _sesameport(attrs.evolve(_POLICY, candidates=1)),
    "no-near-equal": _sesameport(attrs.evolve(_POLICY, tie_margin_s=0.0)),
    "no-own-counting": _sesameport(attrs.evolve(_POLICY, count_own_dispatches=False)),
    "no-start-planning": _sesameport(attrs.evolve(_POLICY, plan_start_time=False)),
    "fixed-share": _sesameport(
        attrs.evolve(_POLICY, window_increase=0.0, window_decrease=0.0)
    ),
}


def run_case(
    deployment: str, router: str, case: str, seed: int = 1, **durations
) -> Measures:
    """Run one deployment, router and case; ``durations`` are those of RunPlan."""
    plan = RunPlan(seed=seed, **{**CASES, **FAULT_CASES}[case], **durations)
    sim = Simulation(DEPLOYMENTS[deployment], plan, ROUTERS[router])
    sim.run()
    return measure(sim, router, case)


def run_bench(
    deployments=tuple(DEPLOYMENTS),
    routers=("sesameport", "least-loaded", "round-robin"),
    cases=tuple(CASES),
    seed: int = 1,
    **durations,
) -> list[Measures]:
    """Run every combination and return the measures in order."""
    return [
        run_case(deployment, router, case, seed, **durations)
        for deployment in deployments
        for case in cases
        for router in routers
    ]
