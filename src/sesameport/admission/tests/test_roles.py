"""Test role planning for workloads that shift between prompts and answers."""

import random

import pytest

from sesameport.admission import RolePlanner, WorkloadMix

KV_TOKENS = 37_563


def make_planner(prefill_s=0.1, kv_token_s=13_600, since_loss_s=100.0):
    mix = WorkloadMix(3_200, 3_200 / prefill_s, kv_token_s)
    return RolePlanner(mix, since_loss_s)


def test_excess_prefill_engine_of_the_initial_split_is_switched_to_decode():
    assert make_planner().next_change(3, 3, KV_TOKENS) == 1
    assert make_planner().next_change(2, 4, KV_TOKENS) == 0


def test_long_prompts_switch_an_engine_to_prefill():
    assert make_planner(prefill_s=0.8).next_change(1, 5, KV_TOKENS) == -1


@pytest.mark.parametrize(("prefill", "decode"), [(3, 3), (2, 4), (1, 5), (4, 2)])
@pytest.mark.parametrize("prefill_s", [0.05, 0.1, 0.2, 0.4])
def test_role_changes_converge_without_oscillation(prefill, decode, prefill_s):
    # Guards against engines that change their role back and forth.
    planner = make_planner(prefill_s)
    steps = []
    for _ in range(12):
        step = planner.next_change(prefill, decode, KV_TOKENS)
        if step == 0:
            break
        steps.append(step)
        prefill, decode = prefill - step, decode + step
    assert len(set(steps)) <= 1
    assert planner.next_change(prefill, decode, KV_TOKENS) == 0


def test_no_change_until_lost_engines_may_have_recovered():
    assert make_planner(since_loss_s=1.0).next_change(3, 3, KV_TOKENS) == 0


def test_empty_role_is_filled_regardless_of_the_throughput():
    assert make_planner(since_loss_s=0.0).next_change(0, 4, KV_TOKENS) == -1
    assert make_planner(since_loss_s=0.0).next_change(4, 0, KV_TOKENS) == 1
    assert make_planner().next_change(0, 1, KV_TOKENS) == 0


def test_queueing_time_barely_affects_the_prefill_speed():
    mix = WorkloadMix()
    for _ in range(30):
        mix.record_prefill(3_200, 0.5)
    assert mix.prefill_s < 0.25
    mix.record_prefill(3_200, 0.08)
    assert mix.prefill_s < 0.2


def test_short_prompts_do_not_bias_the_mean_prefill_time():
    # Guards against plans with too few prefill engines, which result if the prefill
    # time is derived from the shortest prompts.
    rng, mix = random.Random(1), WorkloadMix()
    lengths = [int(rng.lognormvariate(8.0, 0.5)) for _ in range(400)]
    for length in lengths:
        mix.record_prefill(length, length / 33_333 + 0.003)
    mean_s = sum(lengths) / len(lengths) / 33_333
    assert 0.8 * mean_s <= mix.prefill_s <= 1.25 * mean_s


@pytest.mark.parametrize(("prefill", "decode"), [(2, 3), (2, 2)])
def test_small_fleet_switches_its_idle_prefill_engine_to_decode(prefill, decode):
    # The load is 6.5 requests/s after one of six engines was removed. Three decode
    # engines serve at most 8.3/s, so bursts are refused while two prefill engines idle.
    assert make_planner().next_change(prefill, decode, KV_TOKENS) == 1
    assert make_planner().next_change(prefill - 1, decode + 1, KV_TOKENS) == 0


@pytest.mark.parametrize("kv_token_s", [13_600, 16_400])
def test_six_engines_keep_two_for_prefill(kv_token_s):
    # With the typical workload of both sites, one prefill engine has a sixth more
    # nominal throughput but cannot absorb bursts, and its loss leaves no other.
    assert make_planner(kv_token_s=kv_token_s).next_change(2, 4, 36_778) == 0


def test_role_that_stays_empty_while_engines_register_is_filled():
    # Engines are replaced one by one at intervals of a second, including the only
    # prefill engine.
    planner = RolePlanner(WorkloadMix(), since_join_s=0.5, since_empty_s=3.0)
    assert planner.next_change(0, 5, KV_TOKENS) == -1
    assert planner.next_change(2, 4, KV_TOKENS) == 0


def test_no_change_while_engines_of_a_starting_fleet_register():
    # Otherwise a decode engine is switched to prefill because the prefill engines have
    # not registered yet.
    assert RolePlanner(WorkloadMix(), since_join_s=1.0).next_change(0, 2, 37_563) == 0
    assert RolePlanner(WorkloadMix(), since_join_s=3.0).next_change(0, 2, 37_563) == -1
