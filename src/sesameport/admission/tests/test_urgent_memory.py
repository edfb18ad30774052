"""Test which requests may reserve memory beyond that of an engine."""

import attrs
import pytest

from sesameport.admission import (
    PlacementPolicy,
    UrgentMemory,
    UrgentMemoryPolicy,
    with_extra_share,
)
from sesameport.admission.tests.builders import PROFILE, generation
from sesameport.admission.tests.test_urgency import route
from sesameport.entry.configuration import EntryConfiguration

LEASED = attrs.evolve(PROFILE, max_lease_s=1.2)


def urgent_memory(*priorities, extra_share=0.1):
    """Return the memory of a service with routes of these priorities."""
    routes = tuple(route(priority, "llm") for priority in priorities)
    memory = UrgentMemory(UrgentMemoryPolicy(extra_share))
    memory.configure(EntryConfiguration(1, routes))
    return memory


@pytest.mark.parametrize(
    ("priorities", "priority", "extra_share"),
    [
        ((0, 2), 0, 0.1),
        ((0, 2), 2, 0.0),
        # Guards against a middle rank that takes what is left for the most urgent one.
        ((0, 1, 2), 1, 0.0),
        ((3, 5), 3, 0.1),
        ((2, 2), 2, 0.0),
        ((), 0, 0.0),
        # Values outside 0 to 9 count as the nearest.
        ((-1, 2), -1, 0.1),
    ],
)
def test_only_the_most_urgent_of_several_ranks_gets_a_share(
    priorities, priority, extra_share
):
    memory = urgent_memory(*priorities)
    assert memory.extra_share(generation(), priority, LEASED) == extra_share


def test_request_without_a_lease_gets_no_share():
    # Without a lease before the prefill, an engine without room refuses the request
    # after its prompt has been prefilled in vain.
    memory = urgent_memory(0, 2)
    prefilled = attrs.evolve(generation(), is_prefilled=True)
    assert memory.extra_share(generation(), 0, PROFILE) == 0.0
    assert memory.extra_share(prefilled, 0, LEASED) == 0.0


def test_policy_without_a_share_is_unchanged():
    base = PlacementPolicy()
    assert with_extra_share(base, 0.0) is base
    assert with_extra_share(base, 0.1).memory_share == pytest.approx(1.1)
