"""Check outcome counts, burn rates, error budgets and fair shares."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sesameport.telemetry.buckets import Tier, TimeBuckets
from sesameport.telemetry.burn import BUDGET_PERIOD_S, BurnCounters, merge_snapshots
from sesameport.telemetry.objectives import (
    Severity,
    evaluate_objectives,
    max_min_shares,
)
from sesameport.telemetry.outcomes import OutcomeKind
from sesameport.telemetry.tests.samples import (
    NOW,
    make_fleet_snapshots,
    make_outcome,
    make_refusal,
)

LATE_FIRST_TOKEN = {"first_token_s": 1.31}


def _evaluate(outcomes, started_at=NOW - 3 * 86_400, now=NOW, **options):
    counters = BurnCounters("h1", started_at)
    for outcome in outcomes:
        counters.record(outcome)
    return evaluate_objectives(counters.snapshot(now), **options)[0]


@pytest.mark.parametrize(
    ("changes", "good"),
    [
        ({}, True),
        (LATE_FIRST_TOKEN, False),
        ({"between_tokens_p95_s": 0.043}, False),
        ({"between_tokens_p95_s": None}, True),
        ({"kind": OutcomeKind.FAILED}, False),
    ],
)
def test_good_response_is_complete_and_within_both_targets(changes, good):
    report = _evaluate([make_outcome(NOW, **changes)])
    assert (report.counts.eligible, report.counts.good) == (1, int(good))


def test_only_refusals_of_valid_requests_within_rate_are_wrongful():
    """Guard against an error budget that callers can spend with invalid requests."""
    report = _evaluate(
        [
            make_refusal(NOW),
            make_refusal(NOW, within_rate=False, refusal_type="rate-limited"),
            make_refusal(NOW, refusal_type="unknown-key"),
            make_outcome(NOW),
        ]
    )
    assert report.counts.requests == 4
    assert report.counts.eligible == 2
    assert report.wrongful_refusals == 0.5


def test_page_requires_the_long_and_the_short_window():
    """Guard against a page that keeps firing for an hour after the fault ended."""
    ongoing_fault = [make_outcome(NOW - 30 * i, **LATE_FIRST_TOKEN) for i in range(100)]
    report = _evaluate(ongoing_fault)
    assert Severity.PAGE in {alert.rule.severity for alert in report.alerts}
    ended_fault = [
        make_outcome(NOW - 600 - 20 * i, **LATE_FIRST_TOKEN) for i in range(100)
    ]
    ended_fault += [make_outcome(NOW - i) for i in range(200)]
    report = _evaluate(ended_fault)
    assert report.rates["1h"] > 6 and report.rates["5m"] == 0
    assert [alert for alert in report.alerts if alert.rule.long == "1h"] == []


def test_small_workspace_raises_no_alert():
    """Guard against a page for one late response to a workspace with few requests."""
    many = [make_outcome(NOW - i % 200) for i in range(2_000)]
    few = [make_outcome(NOW - i, "small", **LATE_FIRST_TOKEN) for i in range(5)]
    report = _evaluate(many + few)
    assert report.alerts == []
    small = next(
        workspace for workspace in report.workspaces if workspace.name == "small"
    )
    assert small.rates["1h"] is None


def test_hour_at_rate_14_4_spends_two_percent_of_the_budget():
    """Check the budget arithmetic against the example in the SRE workbook."""
    outcomes = [
        # With an objective of 95%, 72% bad requests are a burn rate of 14.4.
        make_outcome(
            NOW - 3_540 + i * 3.5, **(LATE_FIRST_TOKEN if i % 100 < 72 else {})
        )
        for i in range(1_000)
    ]
    report = _evaluate(outcomes, started_at=NOW - 3_600)
    assert report.budget.left == pytest.approx(0.98, abs=0.0005)
    assert report.budget.spent_in_s == pytest.approx(
        0.98 * BUDGET_PERIOD_S / 14.4, rel=0.01
    )


def test_budget_lasts_at_a_rate_of_one_or_lower():
    """Guard against a predicted end of a budget that lasts for its whole period."""
    outcomes = [
        make_outcome(NOW - i, **(LATE_FIRST_TOKEN if i % 25 == 0 else {}))
        for i in range(1_000)
    ]
    assert _evaluate(outcomes).budget.spent_in_s is None


def test_worst_workspace_has_the_lowest_max_min_share():
    """Guard against a low rating of a workspace for its own excess demand."""
    outcomes = [make_outcome(NOW, "small") for _ in range(10)]
    for i in range(100):
        outcomes.append(
            make_outcome(NOW, "large") if i < 40 else make_refusal(NOW, "large")
        )
        outcomes.append(
            make_outcome(NOW, "starved") if i < 20 else make_refusal(NOW, "starved")
        )
    report = _evaluate(outcomes)
    shares = {workspace.name: workspace.fair_share for workspace in report.workspaces}
    assert report.worst_workspace().name == "starved"
    assert shares["small"] == pytest.approx(1.0)
    assert shares["starved"] == pytest.approx(20 / 30)


@given(
    st.dictionaries(st.sampled_from("abcdef"), st.integers(1, 1_000), min_size=1),
    st.floats(0, 1),
)
@settings(derandomize=True, max_examples=60)
def test_fair_shares_use_the_total_and_exceed_no_demand(demands, part):
    total = sum(demands.values()) * part
    shares = max_min_shares(total, demands, {"a": 3.0})
    assert sum(shares.values()) == pytest.approx(total)
    assert all(shares[name] <= demands[name] for name in demands)


@given(
    st.lists(
        st.tuples(
            st.integers(0, 3_599), st.integers(0, 2), st.booleans(), st.booleans()
        ),
        max_size=60,
    )
)
@settings(derandomize=True, max_examples=60)
def test_merged_hosts_count_like_one_host(events):
    """Guard against a merge that loses requests or counts them twice."""
    reference = BurnCounters("all", 0.0)
    per_host = [BurnCounters(f"h{i}", 0.0) for i in range(3)]
    for second, host, late, is_refused in events:
        make = make_refusal if is_refused else make_outcome
        outcome = make(
            NOW - 3_599 + second, f"w{second % 4}", **(LATE_FIRST_TOKEN if late else {})
        )
        reference.record(outcome)
        per_host[host].record(outcome)
    merged = merge_snapshots(counters.snapshot(NOW) for counters in per_host)
    assert merged.services == reference.snapshot(NOW).services


def test_host_that_responds_twice_counts_once():
    """Guard against double counts when two addresses reach the same host."""
    snapshots = make_fleet_snapshots(1) * 2
    assert merge_snapshots(snapshots) == snapshots[0]


def test_old_buckets_are_not_counted_again_when_the_ring_wraps():
    """Guard against cells that keep old sums when their bucket is reused."""
    buckets = TimeBuckets(1, use_64_bit_cells=False, tiers=(Tier(60, 30),))
    buckets.add(0.0, [5])
    buckets.add(60.0 * 31, [1])
    assert buckets.total(60.0 * 31, 1_800) == [1]
    assert buckets.total(60.0 * 200, 1_800) == [0]
    buckets.add(1.0, [7])  # its bucket has been reused
    assert buckets.total(60.0 * 31, 1_800) == [1]


@given(
    st.lists(st.tuples(st.integers(0, 700), st.integers(1, 9)), max_size=40),
    st.integers(0, 900),
    st.sampled_from([1, 4, 7, 10]),
)
@settings(derandomize=True, max_examples=200)
def test_window_sums_equal_a_direct_count(events, now, window):
    """Guard against a bucket that is skipped or counted twice where the ring wraps."""
    buckets = TimeBuckets(2, use_64_bit_cells=False, tiers=(Tier(1, 10),))
    latest = -1
    expected = 0
    for at, amount in events:
        buckets.add(float(at), [amount, 1])
    # A late event counts if its bucket had not been reused when the event arrived.
    for at, amount in events:
        is_bucket_kept = at > latest - 10
        latest = max(latest, at)
        if (
            is_bucket_kept
            and now - window < at <= now
            and at > max(event[0] for event in events) - 10
        ):
            expected += amount
    assert buckets.total(float(now), float(window))[0] == expected
    newest_first = buckets.series(float(now), float(window))
    assert sum(sums[0] for sums in newest_first) == expected


def test_cells_saturate_at_their_largest_value():
    """Guard against an OverflowError in the request path after 2^32 tokens."""
    buckets = TimeBuckets(1, use_64_bit_cells=False)
    buckets.add(0.0, [2**32 - 2])
    buckets.add(0.0, [10])
    assert buckets.total(0.0, 300) == [2**32 - 1]


def test_memory_is_bounded_by_the_number_of_workspaces():
    """Guard against counters of more than 4 MB for 1,100 workspaces.

    A new workspace evicts the one that has been idle longest.
    """
    counters = BurnCounters("h1", 0.0, max_workspaces=1_100)
    for i in range(1_500):
        counters.record(make_outcome(NOW + i * 60, f"w{i}"))
    assert counters.size_bytes() < 4_000_000
    names = counters.snapshot(NOW + 1_500 * 60).services["assessor-llm"].workspaces
    assert len(names) == 1_100
    assert "w0" not in names and "w1499" in names
