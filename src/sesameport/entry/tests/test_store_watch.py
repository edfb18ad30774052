"""Test how often a host calls the store, and what it learns from it."""

import threading
import time

import attrs
import pytest
from result import Err, Ok

from sesameport.entry.store_watch import WATCH_INTERVAL_S, ListWatcher, StoreHealth
from sesameport.interfaces import (
    ObjectList,
    PlatformError,
    PlatformErrorKind,
    StoredObject,
    WatchBatch,
)

KINDS = ("config", "servers")


class Store:
    """Hold numbered changes of each kind; a watch blocks until there is one."""

    def __init__(self):
        self.is_down = False
        self.calls = []
        self._changed = threading.Condition()
        self._changes = {kind: [] for kind in KINDS}

    def change(self, kind, name):
        with self._changed:
            version = len(self._changes[kind]) + 1
            self._changes[kind].append(StoredObject(kind, name, version, b""))
            self._changed.notify_all()

    def set_down(self, is_down):
        with self._changed:
            self.is_down = is_down
            self._changed.notify_all()

    def list(self, kind):
        return self._answer(kind, 0, 0.0).map(
            lambda batch: ObjectList(batch.changes, batch.version)
        )

    def watch(self, kind, version, timeout_s):
        return self._answer(kind, version, timeout_s)

    def _answer(self, kind, version, timeout_s):
        with self._changed:
            self.calls.append((time.monotonic(), kind))
            self._changed.wait_for(
                lambda: self.is_down or len(self._changes[kind]) > version, timeout_s
            )
            if self.is_down:
                return Err(PlatformError(PlatformErrorKind.UNAVAILABLE, "down"))
            changes = self._changes[kind]
            return Ok(WatchBatch(tuple(changes[version:]), len(changes)))


class Metrics:
    def count(self, name, **labels):
        """Ignore a count."""


@attrs.define
class Handler:
    seen: list = attrs.field(factory=list)

    def handle_listing(self, objects):
        self.handle_changes(objects)

    def handle_changes(self, objects):
        now = time.monotonic()
        self.seen.extend((now, stored.name) for stored in objects)


@pytest.fixture
def watched():
    store, closing, states = Store(), threading.Event(), []
    health = StoreHealth(states.append)
    handlers = {kind: Handler() for kind in KINDS}
    for kind, handler in handlers.items():
        ListWatcher(store, kind, handler, health, Metrics(), closing).start()
    wait_until(lambda: len(store.calls) == 4)
    yield store, handlers, states
    closing.set()
    store.set_down(True)


def wait_until(condition, timeout_s=6.0):
    until = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < until, "condition not met in time"
        time.sleep(0.005)


def test_single_change_is_read_immediately(watched):
    store, handlers, _ = watched
    changed_at = time.monotonic()
    store.change("servers", "s1")
    wait_until(lambda: handlers["servers"].seen)
    assert handlers["servers"].seen[0][0] - changed_at < WATCH_INTERVAL_S / 2


def test_changes_in_quick_succession_are_read_together(watched):
    # Servers that register one after the other cost every host one call each.
    store, handlers, _ = watched
    before = len(store.calls)
    began_at = time.monotonic()
    for number in range(20):
        store.change("servers", f"s{number}")
        time.sleep(0.05)
    wait_until(lambda: len(handlers["servers"].seen) == 20)
    seconds = time.monotonic() - began_at
    assert len(store.calls) - before <= seconds / WATCH_INTERVAL_S + 2
    assert [name for _, name in handlers["servers"].seen] == [
        f"s{number}" for number in range(20)
    ]


def test_only_one_thread_of_a_host_calls_a_store_that_is_down(watched):
    store, _, states = watched
    store.set_down(True)
    wait_until(lambda: states[-1:] == [False])
    time.sleep(0.2)
    before = len(store.calls)
    time.sleep(3.0)
    kinds = {kind for _, kind in store.calls[before:]}
    assert len(kinds) == 1
    assert 2 <= len(store.calls) - before <= 8


def test_changes_of_every_kind_are_read_soon_after_an_outage(watched):
    # A watch that waits for a change does not show that the store is back, and the
    # threads of the other kinds wait for that.
    store, handlers, states = watched
    store.set_down(True)
    wait_until(lambda: states[-1:] == [False])
    time.sleep(1.5)
    store.set_down(False)
    wait_until(lambda: states[-1:] == [True], 1.5)
    store.change("servers", "s1")
    store.change("config", "c1")
    wait_until(lambda: handlers["servers"].seen and handlers["config"].seen, 1.5)
