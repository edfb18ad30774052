"""Test the client of the users' store against a stand-in."""

import threading
import time

import msgspec
import pytest
from result import Ok

from sesameport.interfaces import PlatformErrorKind
from sesameport.platform.store import ObjectStoreClient
from sesameport.platform.tests.standins import StoreStandin


@pytest.fixture
def standin():
    found = StoreStandin()
    yield found
    found.stop()


@pytest.fixture
def store(standin):
    return ObjectStoreClient(standin.address, timeout_s=1.0)


def value(**fields):
    return msgspec.json.encode(fields)


def test_create_update_and_delete_under_conditions(store):
    created = store.create("k", "n", value(a=1)).unwrap()
    again = store.create("k", "n", value(a=2))
    assert again.unwrap_err().kind == PlatformErrorKind.EXISTS
    updated = store.update("k", "n", value(a=2), created.version).unwrap()
    stale = store.update("k", "n", value(a=3), created.version).unwrap_err()
    assert (stale.kind, stale.current_version) == (
        PlatformErrorKind.CONFLICT,
        updated.version,
    )
    assert store.get("k", "n").unwrap().value == value(a=2)
    assert store.delete("k", "n", updated.version).is_ok()
    assert store.get("k", "n").unwrap_err().kind == PlatformErrorKind.NOT_FOUND


def test_list_reads_all_pages(standin, store):
    standin.page = 2
    for number in range(5):
        standin.put("k", f"n{number}", {"number": number})
    found = store.list("k").unwrap()
    assert [item.name for item in found.objects] == [f"n{n}" for n in range(5)]
    assert found.version == standin.revision


def test_watch_returns_changes_and_removals_in_order(standin, store):
    start = standin.revision
    threading.Timer(0.1, standin.put, ("k", "n", {"a": 1})).start()
    batch = store.watch("k", start, 5.0).unwrap()
    assert [(item.name, item.deleted) for item in batch.changes] == [("n", False)]
    standin.remove("k", "n")
    batch = store.watch("k", batch.version, 5.0).unwrap()
    assert [(item.name, item.deleted) for item in batch.changes] == [("n", True)]


def test_watch_after_dropped_history_tells_to_list_again(standin, store):
    start = standin.revision
    standin.put("k", "n", {})
    standin.forget_history()
    error = store.watch("k", start, 1.0).unwrap_err()
    assert error.kind == PlatformErrorKind.GONE


def test_lost_answer_of_a_write_leaves_its_effect_unknown(standin, store):
    # Guards against taking a lost answer for "nothing was done".
    standin.fault = "lost"
    error = store.create("k", "n", value()).unwrap_err()
    assert error.kind == PlatformErrorKind.UNKNOWN
    standin.fault = ""
    assert store.get("k", "n").is_ok()


@pytest.mark.parametrize("fault", ["down", "reset"])
def test_store_that_is_away_gives_errors_within_the_timeout(standin, store, fault):
    standin.fault = fault
    started = time.monotonic()
    assert store.get("k", "n").unwrap_err().kind == PlatformErrorKind.UNAVAILABLE
    assert store.list("k").is_err()
    assert time.monotonic() - started < 2.5


def test_status_of_a_listing_that_is_no_object_is_an_error(store, standin):
    standin.put("k", "n", "a text")
    match store.list("k"):
        case Ok(found):
            assert found.objects[0].value == b'"a text"'
