"""Test when decode memory is leased, and the memory of refusals."""

import attrs
import pytest

from sesameport.admission import (
    FleetUse,
    LeasePolicy,
    Placement,
    PrefillTimeouts,
    RefusedMemory,
    ServerUse,
    plan_lease,
)
from sesameport.admission.tests.builders import PROFILE, server
from sesameport.domain import ServerRole

ENGINE = attrs.evolve(PROFILE, max_lease_s=2.0)
PLACEMENT = Placement(
    server("d"),
    server("p", ServerRole.PREFILL),
    kv_tokens=3_700,
    prompt_tokens=3_000,
    expected_prefill_s=0.2,
)


@pytest.mark.parametrize(("reserved_share", "tokens"), [(0.5, 0), (0.7, 3_064)])
def test_memory_is_leased_only_while_it_is_scarce(reserved_share, tokens):
    # Guards against memory that is set aside, and calls, while no engine is full.
    use = FleetUse()
    use.add_local("d", ServerUse(reserved_share * ENGINE.kv_tokens, 4, 0.0))
    planned = plan_lease(PLACEMENT, ENGINE, use, LeasePolicy())
    assert planned.lease_tokens == tokens


def test_lease_outlasts_the_prefill_within_the_longest_lease():
    # Guards against a lease that expires before its request is sent.
    use = FleetUse()
    use.add_local("d", ServerUse(ENGINE.kv_tokens, 8, 0.0))
    planned = plan_lease(PLACEMENT, ENGINE, use, LeasePolicy())
    assert planned.lease_s == pytest.approx(1.0)
    queued = attrs.evolve(PLACEMENT, queued_tokens=3_000)
    lease_s = plan_lease(queued, ENGINE, use, LeasePolicy()).lease_s
    assert lease_s > PrefillTimeouts().timeout_s(queued)
    slow = attrs.evolve(PLACEMENT, expected_prefill_s=5.0)
    assert plan_lease(slow, ENGINE, use, LeasePolicy()).lease_s == 2.0


def test_engines_without_leases_get_no_call():
    # Guards against calls to engines of a service that grants no leases.
    use = FleetUse()
    use.add_local("d", ServerUse(ENGINE.kv_tokens, 8, 0.0))
    assert plan_lease(PLACEMENT, PROFILE, use, LeasePolicy()) == PLACEMENT


def test_smaller_request_may_use_an_engine_that_refused_a_large_one():
    # Guards against idle memory after the refusal of a large request.
    refused = RefusedMemory()
    refused.record("d", 9_000, now=0.0)
    refused.record("d", 12_000, now=0.1)
    assert refused.fits("d", 3_000, now=0.15)
    assert not refused.fits("d", 9_000, now=0.15)
    assert refused.fits("d", 9_000, now=0.4)
