"""Check the targets of the design page, section 1.3, at 100% load."""

import json

import pytest

from sesameport.bench import format_json, format_table, run_case
from sesameport.bench.capacity import bound_share, fair_shares
from sesameport.bench.deployments import DEPLOYMENTS
from sesameport.bench.fakes import EngineSpeed

SHORT = {"warm_up_s": 8.0, "window_s": 25.0, "cool_down_s": 15.0, "drain_s": 45.0}
SEED = 1


@pytest.fixture(scope="module", params=list(DEPLOYMENTS))
def measures(request):
    return run_case(request.param, "sesameport", "100%", SEED, **SHORT)


def test_goodput(measures):
    assert measures.goodput_share >= 0.95


def test_wasted_prefill(measures):
    assert measures.wasted_prefill_share < 0.01


def test_worst_workspace(measures):
    assert measures.worst_workspace >= 0.9


def test_wrongful_refusals(measures):
    assert measures.wrongful_refusals < 0.005


def test_no_holds_left_and_nothing_run_twice(measures):
    assert (measures.holds_left, measures.run_twice) == (0, 0)


@pytest.mark.parametrize("case", ["server-crash", "data-centre-lost"])
def test_nothing_is_left_or_run_twice_after_faults(case):
    # Guards invariants I1, I2 and I7 in the routing code.
    short = {"warm_up_s": 4.0, "window_s": 12.0, "cool_down_s": 4.0, "drain_s": 30.0}
    result = run_case("norrgrepp", "sesameport", case, SEED, **short)
    assert (result.holds_left, result.run_twice) == (0, 0)


def test_a_run_repeats_exactly():
    # Guards against randomness that does not come from the seed.
    short = {"warm_up_s": 1.0, "window_s": 4.0, "cool_down_s": 1.0, "drain_s": 20.0}
    runs = [run_case("norrgrepp", "sesameport", "70%", 5, **short) for _ in range(2)]
    assert runs[0] == runs[1]
    assert json.loads(format_json(runs))[0]["seed"] == 5
    assert format_table(runs).count("\n") == 2


def test_the_bound_counts_slots_and_prefill():
    class Item:
        prompt_tokens, output_tokens, shared_prefixes = 16_000, 100, 0

    speed = EngineSpeed()
    bound = bound_share([Item()] * 10, 10.0, 1, 1, speed)
    assert bound.by_prefill == 1.0
    assert round(bound.by_slots, 3) == 5.0
    assert bound.share == 1.0


def test_fair_shares_leave_nothing_unused():
    shares = fair_shares({"a": 10, "b": 100}, {"a": 1, "b": 1}, 60)
    assert shares == {"a": 10, "b": 50}
