"""Provide the hypothesis settings of the stateful tests of this package."""

import os

from hypothesis import HealthCheck, settings

DRIFT = 0.02


def fuzz_settings(steps: int = 25, examples: int = 150) -> settings:
    """Return settings with fixed seeds.

    With the environment variable ``SESAMEPORT_FUZZ=N`` they run ``N`` times as many
    examples with a fresh seed.
    """
    factor = int(os.environ.get("SESAMEPORT_FUZZ", "0"))
    return settings(
        derandomize=factor == 0,
        max_examples=examples * max(1, factor),
        stateful_step_count=steps,
        deadline=None,
        database=None,
        print_blob=True,
        suppress_health_check=list(HealthCheck),
    )
