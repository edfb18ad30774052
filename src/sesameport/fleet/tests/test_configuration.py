"""Test that documents replicate, never revert and report a correct age."""

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


def test_duplicate_and_older_objects_do_not_revert_a_document():
    """Guards against late pushes and lagging reads that restore an old document."""
    store = DocumentStore(KIND, check_text)
    assert store.merge_object(stored(5, "five"))
    assert not store.merge_object(stored(5, "other"))
    assert not store.merge_object(stored(4, "four"))
    assert store.merge_object_list(ObjectList((stored(3, "three"),), 4)) == []
    assert store.records["a"].document == "five"


def test_older_object_does_not_undo_a_deletion():
    store = DocumentStore(KIND, check_text)
    store.merge_object(stored(5))
    store.merge_object(stored(6, deleted=True))
    assert not store.merge_object(stored(5))
    assert store.records["a"].document is None
    assert store.merge_object(stored(7, "new"))


def test_document_missing_from_a_list_is_deleted_only_if_the_list_is_newer():
    store = DocumentStore(KIND, check_text)
    store.merge_object(stored(5))
    assert store.merge_object_list(ObjectList((), 4)) == []
    assert store.merge_object_list(ObjectList((), 9)) == ["a"]
    assert store.records["a"].accepted_version() == 9


def test_rejected_version_keeps_the_last_valid_one_in_any_order():
    """Guards against a rejected version that removes or hides a valid one.

    The versions may arrive out of order, with the rejected one before the valid one.
    """
    late = DocumentStore(KIND, check_text)
    for item in (stored(3), stored(5, "bad"), stored(4, "four")):
        late.merge_object(item)
    record = late.records["a"]
    assert (record.document, record.seen_version()) == ("four", 5)
    assert record.findings[0].message == "starts with bad"
    in_order = DocumentStore(KIND, check_text)
    for item in (stored(3), stored(4, "four"), stored(5, "bad")):
        in_order.merge_object(item)
    assert in_order.digest() == late.digest()
    late.merge_object(stored(6, "six"))
    assert (record.document, record.findings) == ("six", [])


def test_write_reaches_every_host_and_age_stays_below_the_key_bound():
    fleet = VirtualFleet(18, CENTRES)
    fleet.loop.run(20)
    version = fleet.platform.write("a", "one")
    fleet.loop.run(1)
    assert fleet.applied_documents() == {("one", version)}
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
    assert fleet.applied_documents() == {("one", version)}
    assert fleet.node("h0").store.records["a"].findings


def test_host_that_restarts_while_the_platform_is_down_gets_documents_from_peers():
    fleet = VirtualFleet(9, CENTRES)
    fleet.loop.run(10)
    version = fleet.platform.write("a", "one")
    fleet.loop.run(5)
    fleet.platform.unreachable_for.add(None)
    fleet.loop.kill("h0")
    fleet.start(fleet.hosts[0])
    fleet.update_members()
    fleet.loop.run(10)
    assert fleet.applied_documents() == {("one", version)}
    assert fleet.node("h0").hosts().hosts == fleet.hosts
    # The age counts from the platform's last answer, not from the peer's answer.
    assert 10 <= fleet.node("h0").freshness_age(fleet.loop.now) < 17


def test_watch_restart_with_a_lagging_read_neither_reverts_nor_counts_as_fresh():
    fleet = VirtualFleet(3, ("one",))
    fleet.loop.run(10)
    for text in ("one", "two", "three"):
        fleet.platform.write("a", text)
    fleet.loop.run(5)
    fleet.platform.lag_versions = 2
    lagging_since = fleet.loop.now
    for host in fleet.hosts:
        # The new process gets the documents from peers, then reads a lagging replica.
        fleet.loop.kill(host.name)
        fleet.start(host)
        fleet.update_members()
        fleet.loop.run(5)
    assert fleet.applied_documents() == {("three", 3)}
    for host in fleet.hosts:
        age_s = fleet.node(host.name).freshness_age(fleet.loop.now)
        assert age_s >= fleet.loop.now - lagging_since


def test_every_data_centre_has_evidence_of_a_platform_outage():
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


def test_isolated_data_centre_has_no_evidence_on_others_and_others_stay_fresh():
    """Guards against an isolated data centre that concludes a platform outage.

    The data centre reaches neither the platform nor the other data centres, which still
    reach the platform.
    """
    fleet = VirtualFleet(9, CENTRES)
    fleet.loop.run(20)
    fleet.isolate_data_centre("svealand-c")
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


def test_data_centre_without_platform_access_gets_documents_from_another():
    fleet = VirtualFleet(9, CENTRES)
    fleet.loop.run(20)
    disconnected = {h.name for h in fleet.hosts if h.data_centre == "svealand-b"}
    fleet.platform.unreachable_for |= disconnected
    version = fleet.platform.write("a", "one")
    fleet.loop.run(12)
    assert fleet.applied_documents() == {("one", version)}
    for name in disconnected:
        assert fleet.node(name).freshness_age(fleet.loop.now) < 8


@pytest.mark.parametrize("count", [9, 42])
def test_failure_of_all_relays_is_not_taken_for_an_outage(count):
    """Guards against keys that stay valid while operators can still withdraw them.

    Only the relays cannot reach the platform; the other hosts can.
    """
    fleet = VirtualFleet(count, CENTRES)
    fleet.loop.run(20)
    for host in fleet.hosts:
        if fleet.node(host.name).is_relay():
            fleet.platform.unreachable_for.add(host.name)
    version = fleet.platform.write("a", "one")
    fleet.loop.run(12)
    assert fleet.applied_documents() == {("one", version)}
    for _ in range(80):
        fleet.loop.run(0.5)
        for host in fleet.hosts:
            evidence = fleet.node(host.name).platform_evidence(fleet.loop.now)
            states = {item.state for item in evidence.values()}
            assert states != {EvidenceState.UNREACHABLE}


@pytest.mark.parametrize("drift", [-0.01, 0.01])
def test_local_time_of_a_remote_clock_is_a_lower_bound(drift):
    """Guards against a delayed push that is considered fresher than it is.

    This happens if the age of a push counts from its arrival.
    """
    clocks = ClockMap(drift=0.01)
    # The request took 0.5 s and arrived when the remote clock read 1000.
    clocks.record_sample("h1", "i", requested_at=10.0, clock_s=1000.0)
    for elapsed_s in (0.0, 1.0, 100.0, -50.0):
        local_time = clocks.to_local_time("h1", "i", 1000.0 + elapsed_s * (1 + drift))
        assert local_time <= 10.5 + elapsed_s
    assert clocks.to_local_time("h1", "other", 1000.0) is None
