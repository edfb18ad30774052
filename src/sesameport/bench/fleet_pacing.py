"""Count the platform calls of a fleet around an outage, in virtual time."""

import random

import attrs

from sesameport.fleet.pacing import CallPacer

__all__ = ["OutageResult", "run_outage"]

STEP_S = 0.05


@attrs.frozen
class OutageResult:
    """Hold calls per second of all hosts together.

    ``before``, ``during`` and ``after`` are the highest number in any second.
    ``trials_per_s`` is the mean over the second half of the outage.
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
    waiting_calls: int = 20,
) -> OutageResult:
    """Run hosts that call as often as they may, through one outage.

    Every host has ``waiting_calls`` calls to make when the outage ends, and one call
    a second from its normal work.
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
    calls: list[int] = []
    steps = int((end_s + after_s) / STEP_S)
    for step in range(steps):
        now = step * STEP_S
        down = start_s <= now < end_s
        count = 0
        for i, pacer in enumerate(pacers):
            if rng.random() < STEP_S:
                queued[i] = min(queued[i] + 1, waiting_calls)
            while queued[i] and pacer.admit(now):
                count += 1
                if down:
                    pacer.record_failure(now)
                    continue
                pacer.record_success(now)
                queued[i] -= 1
        calls.append(count)
    per_s = int(1 / STEP_S)
    windows = [sum(calls[i : i + per_s]) for i in range(len(calls))]
    first, last = int(start_s / STEP_S), int(end_s / STEP_S)
    half = (first + last) // 2
    return OutageResult(
        hosts,
        max(windows[: first - per_s]),
        max(windows[first : last - per_s]),
        max(windows[last:]),
        sum(calls[half:last]) / (outage_s / 2),
    )
