"""Build sample outcomes and snapshots for the tests."""

import random

from sesameport.domain import LatencyTargets, Urgency
from sesameport.telemetry.burn import BurnCounters
from sesameport.telemetry.outcomes import Outcome, OutcomeKind

NOW = 1_000_000.0


def make_outcome(ended_at: float, workspace: str = "tannery", **changes) -> Outcome:
    fields = {
        "service": "assessor-llm",
        "workspace": workspace,
        "urgency": Urgency.PATIENT,
        "ended_at": ended_at,
        "first_token_s": 0.8,
        "between_tokens_p95_s": 0.03,
        "prefill_tokens": 1_000,
        "output_tokens": 100,
    }
    return Outcome(**{**fields, **changes})


def make_refusal(ended_at: float, workspace: str = "tannery", **changes) -> Outcome:
    fields = {
        "kind": OutcomeKind.REFUSED,
        "refusal_type": "queue-full",
        "first_token_s": None,
        "between_tokens_p95_s": None,
        "prefill_tokens": 0,
        "output_tokens": 0,
        "demand_tokens": 1_100,
    }
    return make_outcome(ended_at, workspace, **{**fields, **changes})


def make_fleet_snapshots(hosts: int = 3) -> list:
    """Return 6 h of two services; one workspace is mostly refused in the last hour."""
    rng = random.Random(7)
    snapshots = []
    for i in range(hosts):
        counters = BurnCounters(f"h{i + 1}", NOW - 6 * 3_600)
        counters.set_targets("assessor-llm", LatencyTargets(), {"drum-makers": 2.0})
        for step in range(720):
            ended_at = NOW - 6 * 3_600 + step * 30.0
            is_last_hour = ended_at > NOW - 3_600
            for workspace in ("tannery", "drum-makers", "repair-shop"):
                interval_s = 0.06 if rng.random() < 0.03 else 0.03
                wasted = 1_000 if rng.random() < 0.005 else 0
                outcome = make_outcome(
                    ended_at,
                    workspace,
                    between_tokens_p95_s=interval_s,
                    wasted_prefill_tokens=wasted,
                )
                if workspace == "repair-shop" and is_last_hour and rng.random() < 0.8:
                    outcome = make_refusal(ended_at, workspace)
                counters.record(outcome)
            counters.record(
                make_outcome(
                    ended_at,
                    "order-clerks",
                    service="order-desk",
                    between_tokens_p95_s=None,
                )
            )
        snapshots.append(counters.snapshot(NOW))
    return snapshots
