"""Check the counting of outcomes and the burn of error budgets."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sesameport.telemetry.buckets import Tier, TimeBuckets
from sesameport.telemetry.burn import PERIOD_S, BurnCounters, merge_snapshots
from sesameport.telemetry.objectives import Severity, judge, share_fairly
from sesameport.telemetry.outcomes import OutcomeKind
from sesameport.telemetry.tests.samples import NOW, fleet, outcome, refused

LATE = {"first_token_s": 1.31}


def _judge(outcomes, started=NOW - 3 * 86_400, now=NOW, **options):
    counters = BurnCounters("h1", started)
    for item in outcomes:
        counters.record(item)
    return judge(counters.snapshot(now), **options)[0]


@pytest.mark.parametrize(
    ("changes", "good"),
    [
        ({}, True),
        (LATE, False),
        ({"between_tokens_p95_s": 0.043}, False),
        ({"between_tokens_p95_s": None}, True),
        ({"kind": OutcomeKind.FAILED}, False),
    ],
)
def test_good_means_whole_and_within_both_targets(changes, good):
    report = _judge([outcome(NOW, **changes)])
    assert (report.counts.eligible, report.counts.good) == (1, int(good))


def test_only_refusals_within_rate_and_without_callers_fault_are_wrongful():
    """Guards against a budget that callers can spend with bad requests."""
    report = _judge(
        [
            refused(NOW),
            refused(NOW, within_rate=False, refusal_type="rate-limited"),
            refused(NOW, refusal_type="unknown-key"),
            outcome(NOW),
        ]
    )
    assert report.counts.requests == 4
    assert report.counts.eligible == 2
    assert report.wrongful_refusals == 0.5


def test_page_needs_the_long_and_the_short_window():
    """Guards against a page that stays on for an hour after the fault ended."""
    burning = [outcome(NOW - 30 * i, **LATE) for i in range(100)]
    report = _judge(burning)
    assert Severity.PAGE in {item.rule.severity for item in report.alerts}
    ended = [outcome(NOW - 600 - 20 * i, **LATE) for i in range(100)]
    ended += [outcome(NOW - i) for i in range(200)]
    report = _judge(ended)
    assert report.rates["1h"] > 6 and report.rates["5m"] == 0
    assert [item for item in report.alerts if item.rule.long == "1h"] == []


def test_small_workspace_raises_no_alert():
    """Guards against pages for one late answer of a workspace with two requests."""
    many = [outcome(NOW - i % 200) for i in range(2_000)]
    few = [outcome(NOW - i, "small", **LATE) for i in range(5)]
    report = _judge(many + few)
    assert report.alerts == []
    small = next(item for item in report.workspaces if item.name == "small")
    assert small.rates["1h"] is None


def test_hour_at_rate_14_4_spends_two_percent_of_the_budget():
    """Checks the arithmetic against the SRE workbook's own figure."""
    items = [
        # 72% bad with an objective of 95% is a rate of 14.4.
        outcome(NOW - 3_540 + i * 3.5, **(LATE if i % 100 < 72 else {}))
        for i in range(1_000)
    ]
    report = _judge(items, started=NOW - 3_600)
    assert report.budget.left == pytest.approx(0.98, abs=0.0005)
    assert report.budget.spent_in_s == pytest.approx(0.98 * PERIOD_S / 14.4, rel=0.01)


def test_budget_lasts_at_a_rate_of_one_or_lower():
    items = [outcome(NOW - i, **(LATE if i % 25 == 0 else {})) for i in range(1_000)]
    assert _judge(items).budget.spent_in_s is None


def test_worst_served_workspace_is_rated_by_max_min_share():
    """Guards against calling a workspace badly served for its own excess demand."""
    items = [outcome(NOW, "small") for _ in range(10)]
    for i in range(100):
        items.append(outcome(NOW, "large") if i < 40 else refused(NOW, "large"))
        items.append(outcome(NOW, "starved") if i < 20 else refused(NOW, "starved"))
    report = _judge(items)
    shares = {item.name: item.fair_share for item in report.workspaces}
    assert report.worst().name == "starved"
    assert shares["small"] == pytest.approx(1.0)
    assert shares["starved"] == pytest.approx(20 / 30)


@given(
    st.dictionaries(st.sampled_from("abcdef"), st.integers(1, 1_000), min_size=1),
    st.floats(0, 1),
)
@settings(derandomize=True, max_examples=60)
def test_fair_shares_use_the_total_and_exceed_no_demand(demands, part):
    total = sum(demands.values()) * part
    shares = share_fairly(total, demands, {"a": 3.0})
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
    """Guards against requests that a merge loses or counts twice."""
    one = BurnCounters("all", 0.0)
    many = [BurnCounters(f"h{i}", 0.0) for i in range(3)]
    for second, host, late, is_refused in events:
        make = refused if is_refused else outcome
        item = make(NOW - 3_599 + second, f"w{second % 4}", **(LATE if late else {}))
        one.record(item)
        many[host].record(item)
    merged = merge_snapshots(item.snapshot(NOW) for item in many)
    assert merged.services == one.snapshot(NOW).services


def test_host_that_answers_twice_counts_once():
    snapshots = fleet(1) * 2
    assert merge_snapshots(snapshots) == snapshots[0]


def test_old_buckets_are_not_counted_again_when_the_ring_wraps():
    buckets = TimeBuckets(1, wide=False, tiers=(Tier(60, 30),))
    buckets.add(0.0, [5])
    buckets.add(60.0 * 31, [1])
    assert buckets.total(60.0 * 31, 1_800) == [1]
    assert buckets.total(60.0 * 200, 1_800) == [0]
    buckets.add(1.0, [7])  # far too late
    assert buckets.total(60.0 * 31, 1_800) == [1]


@given(
    st.lists(st.tuples(st.integers(0, 700), st.integers(1, 9)), max_size=40),
    st.integers(0, 900),
    st.sampled_from([1, 4, 7, 10]),
)
@settings(derandomize=True, max_examples=200)
def test_window_sums_equal_a_plain_count(events, now, window):
    """Guards against a bucket that is left out or counted twice where the ring ends."""
    buckets = TimeBuckets(2, wide=False, tiers=(Tier(1, 10),))
    latest = -1
    expected = 0
    for at, amount in events:
        buckets.add(float(at), [amount, 1])
    # A late event counts if its bucket was still kept when it came.
    for at, amount in events:
        kept = at > latest - 10
        latest = max(latest, at)
        if kept and now - window < at <= now and at > max(e[0] for e in events) - 10:
            expected += amount
    assert buckets.total(float(now), float(window))[0] == expected
    newest_first = buckets.series(float(now), float(window))
    assert sum(item[0] for item in newest_first) == expected


def test_cells_stop_at_their_largest_value():
    """Guards against an OverflowError in the request path after 2^32 tokens."""
    buckets = TimeBuckets(1, wide=False)
    buckets.add(0.0, [2**32 - 2])
    buckets.add(0.0, [10])
    assert buckets.total(0.0, 300) == [2**32 - 1]


def test_memory_is_bounded_by_the_number_of_workspaces():
    """1,100 workspaces in a few MB; a new name replaces the longest idle one."""
    counters = BurnCounters("h1", 0.0, max_workspaces=1_100)
    for i in range(1_500):
        counters.record(outcome(NOW + i * 60, f"w{i}"))
    assert counters.size_bytes() < 4_000_000
    names = counters.snapshot(NOW + 1_500 * 60).services["assessor-llm"].workspaces
    assert len(names) == 1_100
    assert "w0" not in names and "w1499" in names
