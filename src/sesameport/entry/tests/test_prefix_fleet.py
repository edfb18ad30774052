"""Test how often shared parts of prompts are found in caches, without a network."""

import pytest

from sesameport.admission import placement
from sesameport.entry.tests.prefix_fleet import PrefixFleet, popular


def before_and_after(monkeypatch, ids_of, seconds=16.0, **load):
    """Return fleets that place prompts by predicted time alone and as now."""
    after = PrefixFleet(ids_of).run(seconds=seconds, **load)
    monkeypatch.setattr(placement, "shared_parts", lambda prefix: ())
    return PrefixFleet(ids_of).run(seconds=seconds, **load), after


def share(fleet, name, of="shared"):
    return fleet.counts[name] / fleet.counts[of]


def late_s(fleet):
    return fleet.latencies[int(0.95 * len(fleet.latencies))]


def test_parts_are_found_although_hosts_know_of_few(monkeypatch):
    # Cached parts last for seconds, and reports of 80 hosts are 4 s apart. Without a
    # common order of the engines, half of the parts were prefilled again.
    before, after = before_and_after(monkeypatch, popular(), seconds=24.0)
    for fleet in before, after:
        ages = sorted(fleet.unknown_ages)
        print(dict(fleet.counts), f"unknown for {ages[len(ages) // 2]:.1f} s")
        assert share(fleet, "held by an engine", "prompts") > 0.9
        assert share(fleet, "pairs known", "pairs") < 0.3
    assert share(before, "found") < 0.55
    assert share(after, "found") > 0.65
    assert share(after, "wasted") < 0.7 * share(before, "wasted")
    assert late_s(after) < 1.05 * late_s(before)


def test_one_popular_part_in_a_burst_makes_no_hot_spot(monkeypatch):
    # All prompts prefer the same engine, which must be left while it has a queue.
    before, after = before_and_after(monkeypatch, lambda rng: ["aa"], rate=90.0)
    assert max(after.prompts.values()) < 0.1 * after.counts["prompts"]
    assert late_s(after) < 1.05 * late_s(before)
    assert after.counts["not placed"] < 1.1 * before.counts["not placed"]


@pytest.mark.parametrize("rate", [48.0, 90.0])
def test_parts_that_are_used_once_do_no_harm(monkeypatch, rate):
    # A host cannot tell such a part from one that others ask for too.
    before, after = before_and_after(
        monkeypatch, lambda rng: [f"{rng.getrandbits(60):x}"], rate=rate
    )
    assert late_s(after) <= late_s(before)
    assert sum(after.latencies) / len(after.latencies) <= sum(before.latencies) / len(
        before.latencies
    )
    assert after.counts["not placed"] <= 1.1 * before.counts["not placed"]
