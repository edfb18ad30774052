"""Count the platform calls of all hosts before, during and after an outage.

Time is virtual.
"""

import random

import attrs

from sesameport.fleet.pacing import CallPacer

__all__ = ["OutageResult", "run_outage"]

STEP_S = 0.05


@attrs.frozen
class OutageResult:
    """Represent the platform calls per second of all hosts together.

    ``before``, ``during`` and ``after`` are the highest counts in any second of these
    phases. ``trials_per_s`` is the mean over the second half of the outage, in which
    every call is a trial that fails.
    """

    hosts: int
    before: int
    during: int
    after: int
    trials_per_s: float


def run_outage(
    hosts: int,
    seed: int = 1,
    outage_s: float = 60.0,
    after_s: float = 60.0,
    max_queued_calls: int = 20,
) -> OutageResult:
    """Simulate one platform outage and return the call rates.

    Each host queues one call per second on average, up to ``max_queued_calls``, and
    makes queued calls as soon as its pacer admits them. A call stays queued until it
    succeeds, so the queues are full when a long outage ends.
    """
    rng = random.Random(seed)
    pacers = []
    for _ in range(hosts):
        pacer = CallPacer(random.Random(rng.random()), 10.0)
        pacer.set_host_count(hosts)
        pacers.append(pacer)
    queued = [0] * hosts
    start_s = 20.0
    end_s = start_s + outage_s
    calls_per_step: list[int] = []
    steps = int((end_s + after_s) / STEP_S)
    for step in range(steps):
        now = step * STEP_S
        is_outage = start_s <= now < end_s
        count = 0
        for i, pacer in enumerate(pacers):
            if rng.random() < STEP_S:
                queued[i] = min(queued[i] + 1, max_queued_calls)
            while queued[i] and pacer.admit(now):
                count += 1
                if is_outage:
                    pacer.record_failure(now)
                    continue
                pacer.record_success(now)
                queued[i] -= 1
        calls_per_step.append(count)
    steps_per_s = int(1 / STEP_S)
    windows = [
        sum(calls_per_step[i : i + steps_per_s]) for i in range(len(calls_per_step))
    ]
    start_step, end_step = int(start_s / STEP_S), int(end_s / STEP_S)
    middle_step = (start_step + end_step) // 2
    return OutageResult(
        hosts,
        max(windows[: start_step - steps_per_s]),
        max(windows[start_step : end_step - steps_per_s]),
        max(windows[end_step:]),
        sum(calls_per_step[middle_step:end_step]) / (outage_s / 2),
    )
