"""Check that accepted documents spread, stay and carry a true age."""

import pytest

from sesameport.bench.fleet_platform import (
    KIND,
    VirtualFleet,
    check_text,
)
from sesameport.fleet.document_store import DocumentStore
from sesameport.fleet.freshness import ClockMap, EvidenceState
from sesameport.interfaces import ObjectList, StoredObject

CENTRES = ("svealand-a", "svealand-b", "svealand-c")


def stored(version, text="x", name="a", deleted=False):
    return StoredObject(KIND, name, version, text.encode(), deleted)


def test_duplicate_and_older_objects_never_revert():
    """Guards against late pushes and lagging reads that restore an old document."""
    store = DocumentStore(KIND, check_text)
    assert store.offer(stored(5, "five"))
    assert not store.offer(stored(5, "other"))
    assert not store.offer(stored(4, "four"))
    assert store.offer_list(ObjectList((stored(3, "three"),), 4)) == []
    assert store.records["a"].document == "five"


def test_tombstone_is_not_resurrected():
    store = DocumentStore(KIND, check_text)
    store.offer(stored(5))
    store.offer(stored(6, deleted=True))
    assert not store.offer(stored(5))
    assert store.records["a"].document is None
    assert store.offer(stored(7, "new"))


def test_list_without_a_document_deletes_it_only_if_it_is_newer():
    store = DocumentStore(KIND, check_text)
    store.offer(stored(5))
    assert store.offer_list(ObjectList((), 4)) == []
    assert store.offer_list(ObjectList((), 9)) == ["a"]
    assert store.records["a"].accepted_version() == 9


def test_rejected_document_keeps_the_last_valid_one_in_any_order():
    """Guards against findings that remove a document or hide a valid version."""
    late = DocumentStore(KIND, check_text)
    for item in (stored(3), stored(5, "bad"), stored(4, "four")):
        late.offer(item)
    record = late.records["a"]
    assert (record.document, record.seen_version()) == ("four", 5)
    assert record.findings[0].message == "starts with bad"
    in_order = DocumentStore(KIND, check_text)
    for item in (stored(3), stored(4, "four"), stored(5, "bad")):
        in_order.offer(item)
    assert in_order.digest() == late.digest()
    late.offer(stored(6, "six"))
    assert (record.document, record.findings) == ("six", [])


def test_write_reaches_every_host_and_age_stays_below_the_key_bound():
    fleet = VirtualFleet(18, CENTRES)
    fleet.loop.run(20)
    version = fleet.platform.write("a", "one")
    fleet.loop.run(1)
    assert fleet.texts() == {("one", version)}
    oldest = 0.0
    for _ in range(240):
        fleet.loop.run(0.25)
        ages = [fleet.node(h.name).freshness_age(fleet.loop.now) for h in fleet.hosts]
        oldest = max(oldest, *ages)
    assert oldest < 8.0


def test_last_valid_document_reaches_a_host_that_starts_after_the_rejection():
    fleet = VirtualFleet(9, CENTRES)
    fleet.loop.run(10)
    version = fleet.platform.write("a", "one")
    fleet.loop.run(5)
    fleet.platform.write("a", "bad")
    fleet.loop.run(5)
    fleet.loop.kill("h0")
    fleet.start(fleet.hosts[0])
    fleet.update_members()
    fleet.loop.run(20)
    assert fleet.texts() == {("one", version)}
    assert fleet.node("h0").store.records["a"].findings


def test_host_that_restarts_while_the_platform_is_down_learns_from_peers():
    fleet = VirtualFleet(9, CENTRES)
    fleet.loop.run(10)
    version = fleet.platform.write("a", "one")
    fleet.loop.run(5)
    fleet.platform.unreachable_for.add(None)
    fleet.loop.kill("h0")
    fleet.start(fleet.hosts[0])
    fleet.update_members()
    fleet.loop.run(10)
    assert fleet.texts() == {("one", version)}
    assert fleet.node("h0").hosts().hosts == fleet.hosts
    # The age is that of the last answer of the platform, not of the peer's answer.
    assert 10 <= fleet.node("h0").freshness_age(fleet.loop.now) < 17


def test_watch_restart_with_a_lagging_read_neither_reverts_nor_counts_as_fresh():
    fleet = VirtualFleet(3, ("one",))
    fleet.loop.run(10)
    for text in ("one", "two", "three"):
        fleet.platform.write("a", text)
    fleet.loop.run(5)
    fleet.platform.lag = 2
    stopped = fleet.loop.now
    for host in fleet.hosts:
        # A new process that learns from peers and then reads a lagging replica.
        fleet.loop.kill(host.name)
        fleet.start(host)
        fleet.update_members()
        fleet.loop.run(5)
    assert fleet.texts() == {("three", 3)}
    for host in fleet.hosts:
        age_s = fleet.node(host.name).freshness_age(fleet.loop.now)
        assert age_s >= fleet.loop.now - stopped


def test_outage_of_the_platform_is_evident_in_every_data_centre():
    fleet = VirtualFleet(9, CENTRES)
    fleet.loop.run(20)
    fleet.platform.unreachable_for.add(None)
    fleet.loop.run(14)
    for host in fleet.hosts:
        evidence = fleet.node(host.name).platform_evidence(fleet.loop.now)
        assert set(evidence) == set(CENTRES)
        for item in evidence.values():
            assert item.state == EvidenceState.UNREACHABLE
            assert item.age_s < 8


def test_cut_off_data_centre_hears_nothing_and_others_stay_fresh():
    """Guards against evidence that a cut-off data centre takes for an outage."""
    fleet = VirtualFleet(9, CENTRES)
    fleet.loop.run(20)
    fleet.cut("svealand-c")
    fleet.loop.run(20)
    for host in fleet.hosts:
        node = fleet.node(host.name)
        evidence = node.platform_evidence(fleet.loop.now)
        states = [evidence[name].state for name in CENTRES]
        if host.data_centre == "svealand-c":
            assert states == ["not-heard", "not-heard", "unreachable"]
            assert node.freshness_age(fleet.loop.now) >= 20
        else:
            assert states == ["reachable", "reachable", "not-heard"]
            assert node.freshness_age(fleet.loop.now) < 8


def test_data_centre_without_the_platform_gets_documents_from_another():
    fleet = VirtualFleet(9, CENTRES)
    fleet.loop.run(20)
    inside = {h.name for h in fleet.hosts if h.data_centre == "svealand-b"}
    fleet.platform.unreachable_for |= inside
    version = fleet.platform.write("a", "one")
    fleet.loop.run(12)
    assert fleet.texts() == {("one", version)}
    for name in inside:
        assert fleet.node(name).freshness_age(fleet.loop.now) < 8


@pytest.mark.parametrize("drift", [-0.01, 0.01])
def test_late_push_never_looks_fresher_than_it_is(drift):
    """Guards against counting a push's age from its arrival."""
    clocks = ClockMap(drift=0.01)
    # The question took 0.5 s to arrive when the other clock showed 1000.
    clocks.note("h1", "i", asked_at=10.0, clock_s=1000.0)
    for passed in (0.0, 1.0, 100.0, -50.0):
        placed = clocks.place("h1", "i", 1000.0 + passed * (1 + drift))
        assert placed <= 10.5 + passed
    assert clocks.place("h1", "other", 1000.0) is None
