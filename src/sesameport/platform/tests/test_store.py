"""Test the client of the users' object store against a fake store."""

import threading
import time

import msgspec
import pytest
from result import Ok

from sesameport.interfaces import PlatformErrorKind
from sesameport.platform.store import ObjectStoreClient
from sesameport.platform.tests.fakes import FakeStore


@pytest.fixture
def fake_store():
    fake_store = FakeStore()
    yield fake_store
    fake_store.stop()


@pytest.fixture
def store(fake_store):
    return ObjectStoreClient(fake_store.address, timeout_s=1.0)


def encode_value(**fields):
    return msgspec.json.encode(fields)


def test_writes_are_conditional_on_name_and_version(store):
    created = store.create("k", "n", encode_value(a=1)).unwrap()
    duplicate = store.create("k", "n", encode_value(a=2))
    assert duplicate.unwrap_err().kind == PlatformErrorKind.EXISTS
    updated = store.update("k", "n", encode_value(a=2), created.version).unwrap()
    stale = store.update("k", "n", encode_value(a=3), created.version).unwrap_err()
    assert (stale.kind, stale.current_version) == (
        PlatformErrorKind.CONFLICT,
        updated.version,
    )
    assert store.get("k", "n").unwrap().value == encode_value(a=2)
    assert store.delete("k", "n", updated.version).is_ok()
    assert store.get("k", "n").unwrap_err().kind == PlatformErrorKind.NOT_FOUND


def test_list_reads_all_pages(fake_store, store):
    fake_store.page_size = 2
    for number in range(5):
        fake_store.put("k", f"n{number}", {"number": number})
    listing = store.list("k").unwrap()
    assert [item.name for item in listing.objects] == [f"n{n}" for n in range(5)]
    assert listing.version == fake_store.revision


def test_watch_returns_changes_and_deletions_in_order(fake_store, store):
    start = fake_store.revision
    threading.Timer(0.1, fake_store.put, ("k", "n", {"a": 1})).start()
    batch = store.watch("k", start, 5.0).unwrap()
    assert [(item.name, item.deleted) for item in batch.changes] == [("n", False)]
    fake_store.remove("k", "n")
    batch = store.watch("k", batch.version, 5.0).unwrap()
    assert [(item.name, item.deleted) for item in batch.changes] == [("n", True)]


def test_watch_from_a_compacted_revision_returns_gone(fake_store, store):
    start = fake_store.revision
    fake_store.put("k", "n", {})
    fake_store.compact_history()
    error = store.watch("k", start, 1.0).unwrap_err()
    assert error.kind == PlatformErrorKind.GONE


def test_lost_response_to_a_write_is_reported_as_unknown(fake_store, store):
    # Guards against treating a write whose response is lost as a write without effect.
    fake_store.fault = "lost"
    error = store.create("k", "n", encode_value()).unwrap_err()
    assert error.kind == PlatformErrorKind.UNKNOWN
    fake_store.fault = ""
    assert store.get("k", "n").is_ok()


@pytest.mark.parametrize("fault", ["down", "reset"])
def test_unreachable_store_returns_errors_within_the_timeout(fake_store, store, fault):
    fake_store.fault = fault
    started = time.monotonic()
    assert store.get("k", "n").unwrap_err().kind == PlatformErrorKind.UNAVAILABLE
    assert store.list("k").is_err()
    assert time.monotonic() - started < 2.5


def test_list_returns_an_object_whose_spec_is_a_string(store, fake_store):
    fake_store.put("k", "n", "a text")
    match store.list("k"):
        case Ok(listing):
            assert listing.objects[0].value == b'"a text"'
