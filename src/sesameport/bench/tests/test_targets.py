"""Check the targets in section 1.3 of the design page at 100% load."""

import json

import pytest

from sesameport.bench import format_json, format_table, run_case
from sesameport.bench.capacity import compute_capacity_bound, max_min_fair_shares
from sesameport.bench.deployments import DEPLOYMENTS
from sesameport.bench.fakes import EngineSpeed

DURATIONS = {"warm_up_s": 8.0, "window_s": 25.0, "cool_down_s": 15.0, "drain_s": 45.0}
SEED = 1


@pytest.fixture(scope="module", params=list(DEPLOYMENTS))
def measures(request):
    return run_case(request.param, "sesameport", "100%", SEED, **DURATIONS)


def test_goodput_is_near_capacity(measures):
    assert measures.goodput_share >= 0.95


def test_little_prefill_work_is_wasted(measures):
    assert measures.wasted_prefill_share < 0.01


def test_every_workspace_gets_most_of_its_fair_share(measures):
    assert measures.worst_workspace >= 0.9


def test_few_admitted_requests_are_refused(measures):
    assert measures.wrongful_refusals < 0.005


def test_no_holds_remain_and_no_request_runs_twice(measures):
    assert (measures.holds_left, measures.run_twice) == (0, 0)


@pytest.mark.parametrize("case", ["server-crash", "data-centre-lost"])
def test_no_holds_remain_and_no_request_runs_twice_after_faults(case):
    # Checks invariants I1, I2 and I7: a crash must not leak holds or run a request
    # twice.
    durations = {
        "warm_up_s": 4.0,
        "window_s": 12.0,
        "cool_down_s": 4.0,
        "drain_s": 30.0,
    }
    result = run_case("norrgrepp", "sesameport", case, SEED, **durations)
    assert (result.holds_left, result.run_twice) == (0, 0)


def test_same_seed_gives_same_measures():
    # Fails if any random choice is not derived from the seed.
    durations = {"warm_up_s": 1.0, "window_s": 4.0, "cool_down_s": 1.0, "drain_s": 20.0}
    runs = [
        run_case("norrgrepp", "sesameport", "70%", 5, **durations) for _ in range(2)
    ]
    assert runs[0] == runs[1]
    assert json.loads(format_json(runs))[0]["seed"] == 5
    assert format_table(runs).count("\n") == 2


def test_capacity_bound_covers_slots_and_prefill_speed():
    class Request:
        prompt_tokens, output_tokens, shared_prefixes = 16_000, 100, 0

    speed = EngineSpeed()
    bound = compute_capacity_bound([Request()] * 10, 10.0, 1, 1, speed)
    assert bound.prefill_bound == 1.0
    assert round(bound.slot_bound, 3) == 5.0
    assert bound.share == 1.0


def test_fair_shares_use_all_capacity():
    shares = max_min_fair_shares({"a": 10, "b": 100}, {"a": 1, "b": 1}, 60)
    assert shares == {"a": 10, "b": 50}
