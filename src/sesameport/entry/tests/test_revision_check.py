"""Test when the revision of the store shows that a kind has missed nothing."""

import threading

import attrs
import pytest
from result import Ok

from sesameport.entry.revision_check import RevisionCheck
from sesameport.interfaces import StoredObject, WatchBatch


@attrs.define
class Watcher:
    version: int = 100
    has_watch: bool = True
    missed: list = attrs.field(factory=list)
    restarts: int = 0

    def is_watching(self):
        return self.has_watch

    def apply_missed(self, since, batch):
        self.missed += [stored.name for stored in batch.changes]
        self.version = batch.version

    def read_anew(self):
        self.restarts += 1


@attrs.define
class Store:
    changes: tuple = ()
    version: int = 110
    calls: int = 0

    def watch(self, kind, since, timeout_s):
        self.calls += 1
        return Ok(WatchBatch(self.changes, self.version))


class Timers:
    """Call what is due when asked to."""

    def __init__(self):
        self.due = []

    def call_at(self, name, when, callback):
        self.due.append(callback)

    def run(self):
        due, self.due = self.due, []
        for callback in due:
            callback(0.0)
        for thread in threading.enumerate():
            if thread.name.startswith("check-"):
                thread.join()


@pytest.fixture
def parts():
    watcher, store, timers = Watcher(), Store(), Timers()
    check = RevisionCheck(
        "config",
        watcher,
        lambda: store,
        timers.call_at,
        0.3,
        threading.Event(),
        lambda operation, result: None,
    )
    return check, watcher, store, timers


def test_known_revision_costs_no_call(parts):
    check, _, store, timers = parts
    check.record(100)
    timers.run()
    assert store.calls == 0


def test_changes_of_another_kind_cost_no_call_if_all_are_known(parts):
    check, _, store, timers = parts
    check.record(102, [101, 102])
    check.record(103, [103])
    timers.run()
    assert store.calls == 0


@pytest.mark.parametrize("known", [[], [101], [102], [101, 101], [99, 100, 101]])
def test_unknown_change_costs_one_call(parts, known):
    # Revision 102, 101 or both may be a change of the configuration.
    check, watcher, store, timers = parts
    check.record(102, known)
    check.record(102, known)
    timers.run()
    assert (store.calls, watcher.version, watcher.restarts) == (1, 110, 0)
    check.record(110)
    timers.run()
    assert store.calls == 1


def test_missed_change_is_applied_and_watched_anew(parts):
    check, watcher, store, timers = parts
    store.changes = (StoredObject("config", "main", 101, b""),)
    check.record(103, [102, 103])
    timers.run()
    assert (watcher.missed, watcher.restarts) == (["main"], 1)


def test_change_that_the_watch_brings_meanwhile_costs_no_call(parts):
    check, watcher, store, timers = parts
    check.record(101)
    watcher.version = 101
    timers.run()
    assert store.calls == 0


def test_kind_that_is_read_at_the_moment_is_not_checked(parts):
    # Its listing ends within its own timeout, and a watch starts from what it brings.
    check, watcher, store, timers = parts
    watcher.has_watch = False
    check.record(105)
    timers.run()
    assert store.calls == 0


def test_revisions_of_an_earlier_era_confirm_nothing(parts):
    check, watcher, store, timers = parts
    check.record(500, range(101, 501), era=1)
    watcher.version = 90
    check.record(95, era=2)
    timers.run()
    assert store.calls == 1
