"""Test what is estimated of the caches of engines, and placement by it under load."""

import pytest

from sesameport.admission import KeptPrefixes, prefix_parts
from sesameport.admission.tests.builders import server
from sesameport.admission.tests.prefix_load import run_load

ENGINE = server("e1")
PARTS = prefix_parts(["a1", "b2", "c3"], [1_000, 600, 400])


def expected(kept, parts=PARTS, free=10_000.0, now=0.0):
    return kept.expected_tokens(parts, lambda name: free, now).get("e1", 0.0)


def least_wait(engines, cached, rng):
    return engines, {}


def weighed(engines, cached, rng):
    return engines, cached


def mostly_popular(rng, number):
    return ["aa"] if rng.random() < 0.7 else [f"{number:x}"]


@pytest.mark.parametrize("rate", [30, 65])
def test_popular_prefix_under_a_burst_makes_no_hot_spot(rate):
    # With a bonus for the engines that have it, one engine would get most prompts.
    before, _, refused_before = run_load(least_wait, rate, mostly_popular)
    after, prompts, refused = run_load(weighed, rate, mostly_popular)
    assert max(prompts.values()) < 0.3 * len(after)
    assert after[len(after) // 2] < 0.7 * before[len(before) // 2]
    assert after[int(0.95 * len(after))] < before[int(0.95 * len(before))]
    assert refused == refused_before == 0


@pytest.mark.parametrize("rate", [30, 65])
def test_parts_used_once_change_nothing(rate):
    before, after = (
        run_load(item, rate, lambda rng, number: [f"{number:x}"])
        for item in (least_wait, weighed)
    )
    assert before == after


def test_later_use_evicts_parts_and_a_running_request_keeps_them():
    kept = KeptPrefixes()
    kept.record_held(ENGINE, PARTS, 0.0)
    assert expected(kept) == 2_000
    # Only a common beginning counts.
    assert expected(kept, prefix_parts(["a1", "ff"], [1_000, 600])) == 1_000
    assert expected(kept, prefix_parts(["b2"], [600])) == 0
    kept.pass_tokens("e1", 7_500)
    assert expected(kept) == 1_000
    assert expected(kept, free=4_000.0) == expected(kept, free=-1.0) == 0
    kept.record_held(ENGINE, PARTS[:1], 1.0)
    assert expected(kept, now=1.0) == pytest.approx(1_500, rel=0.01)
    kept.begin_run(ENGINE, PARTS, 1.0)
    kept.pass_tokens("e1", 50_000)
    assert expected(kept, now=1.0) == 2_000
    kept.end_run(ENGINE, PARTS, True, 1.0)
    assert expected(kept, now=1.0) == 2_000
    assert expected(kept, now=1_501.0) < 100
    kept.pass_tokens("e1", 50_000)
    assert expected(kept, now=1.0) == 0


def test_parts_have_no_more_tokens_than_the_prompt():
    # A caller that states too many would make the prefill time of its prompt negative.
    parts = prefix_parts(["a1", "b2", "c3"], [900, 10**9, 5], 1_000)
    assert [part.tokens for part in parts] == [900, 100, 0]


def test_failed_run_leaves_doubt_and_a_new_start_leaves_nothing():
    kept = KeptPrefixes()
    kept.begin_run(ENGINE, PARTS, 0.0)
    kept.end_run(ENGINE, PARTS, False, 0.0)
    assert expected(kept) == 1_000
    kept.record_held(ENGINE, PARTS, 0.0)
    kept.record_held(server("e1", started_at_ms=5), PARTS[:1], 0.0)
    assert expected(kept) == 1_000
    kept.begin_incarnation("e1", 6)
    assert expected(kept) == 0


def test_memory_and_reports_are_bounded_and_tell_of_shared_parts_only():
    # Callers choose the ids, so their number has no limit.
    kept = KeptPrefixes(max_kept=400)
    for number in range(3_000):
        parts = prefix_parts([f"{number:x}", "aa"], [500, 500])
        engine = server(f"e{number % 7}")
        kept.record_request(parts)
        kept.record_held(engine, parts, number)
    assert kept.count() <= 400
    assert kept.take_reports(24, 3_000.0) == []
    for _ in range(3):
        kept.record_request(PARTS)
    kept.record_held(ENGINE, PARTS, 3_000.0)
    (report,) = kept.take_reports(2, 3_000.0)
    assert report.digests == tuple(part.digest for part in PARTS[:2])
    kept.record_held(ENGINE, PARTS[:2], 3_001.0)
    assert kept.take_reports(24, 3_001.0) == []
