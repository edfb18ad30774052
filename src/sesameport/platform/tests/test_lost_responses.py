"""Test that hosts learn in time of changes whose response from the store is lost.

The response neither arrives nor ends its connection, so its watch runs for 25 s.
"""

import threading
import time

import pytest

from sesameport.entry.revision_exchange import RevisionExchange
from sesameport.platform.tests.conftest import make_configuration, wait_until

DRAIN_S = 2.0
"""Shortest time after which no request may reach a server that leaves, seconds. A
configuration must be in force within the same time."""

CONTACT_S = 3.0
"""Time without disruption after which the bounds hold, seconds."""


class Losses:
    """Withhold the next responses to watches of one kind that carry a change."""

    def __init__(self, store):
        self._kind, self._count = "", 0
        self._lock, self.end = threading.Lock(), threading.Event()
        self._watch = store._watch
        store._watch = self.watch

    def lose(self, kind, count):
        self._kind, self._count = kind, count

    def watch(self, kind, query):
        status, data = self._watch(kind, query)
        with self._lock:
            is_lost = kind == self._kind and data.get("events") and self._count > 0
            self._count -= bool(is_lost)
        if is_lost:
            self.end.wait(20.0)
        return status, data


@pytest.fixture
def losses(cluster):
    losses = Losses(cluster.store)
    yield losses
    losses.end.set()


def start_hosts(cluster, names):
    for name in names:
        cluster.start_host(name)
    wait_until(lambda: all(host.is_ready() for host in cluster.hosts))
    wait_until(lambda: all("s2" in host.usable_servers() for host in cluster.hosts))
    wait_until(lambda: all(h.peer_count() == len(names) - 1 for h in cluster.hosts))
    # Writes of other kinds advance the revisions of the watches differently.
    cluster.store.put("notes", "n", {})


def leave(cluster, way):
    if way == "removed":
        cluster.store.remove("servers", "s2")
        return
    registration = cluster.store.spec("servers", "s2")
    cluster.store.put("servers", "s2", {**registration, "state": "draining"})


@pytest.mark.parametrize("way", ["draining", "removed"])
@pytest.mark.parametrize("lost", [1, 2])
def test_server_that_leaves_is_not_used_after_a_lost_response(
    cluster, losses, way, lost
):
    # A host sent requests to it until its watch ended, up to 25 s later. With two lost
    # responses of three, all but one host miss it, or one host loses the next one too.
    cluster.add_replica("s2", "desk")
    start_hosts(cluster, ["h1", "h2", "h3"])
    time.sleep(0.5)  # the watches of the last registration are pending
    losses.lose("servers", lost)
    leave(cluster, way)
    wait_until(
        lambda: not any("s2" in host.usable_servers() for host in cluster.hosts),
        DRAIN_S,
    )


def test_versions_in_quick_succession_are_in_force_in_time(cluster, losses):
    # A host that had lost a response read nothing until the versions came less often.
    cluster.add_replica("s2", "desk")
    start_hosts(cluster, ["h1", "h2", "h3"])
    time.sleep(0.5)
    losses.lose("config", 1)
    for version in range(2, 12):
        cluster.store.put("config", "main", make_configuration(version))
        time.sleep(0.5)
        # Each version must be in force 2 s after its publication.
        for host in cluster.hosts:
            assert host.configuration_version() >= version - 3


@pytest.mark.parametrize("kind", ["servers", "config"])
@pytest.mark.parametrize("lost", [1, 2, 3])
def test_host_learns_of_changes_by_itself(cluster, losses, monkeypatch, kind, lost):
    # Guards against a host that hears the reports of others, but not what they have
    # read, and follows an old version for up to 27 s (review/4).
    for name in ("record", "apply_report"):
        monkeypatch.setattr(RevisionExchange, name, hear_nothing_of_the_store)
    cluster.add_replica("s2", "desk")
    start_hosts(cluster, ["h1", "h2", "h3"])
    time.sleep(0.5)  # the watches of the last registration are pending
    losses.lose(kind, lost)
    change(cluster, kind)
    wait_until(
        lambda: all(knows_change(host, kind) for host in cluster.hosts), CONTACT_S
    )


def hear_nothing_of_the_store(exchange, message, now):
    exchange._heard_at = now


def change(cluster, kind):
    if kind == "servers":
        leave(cluster, "draining")
        return
    cluster.store.put("config", "main", make_configuration(2))


def knows_change(host, kind):
    if kind == "servers":
        return "s2" not in host.usable_servers()
    return host.configuration_version() == 2


@pytest.mark.parametrize("kind", ["servers", "config"])
def test_change_is_known_soon_after_the_store_was_silent(cluster, kind):
    # Guards against hosts that all wait for answers on connections that went silent,
    # so that none can tell the others of a change (review/10: 21 s).
    silence = Silence(cluster.store)
    cluster.add_replica("s2", "desk")
    start_hosts(cluster, ["h1", "h2", "h3"])
    time.sleep(0.5)
    silence.begin()
    change(cluster, kind)
    time.sleep(4.5)
    silence.end()
    try:
        wait_until(
            lambda: all(knows_change(host, kind) for host in cluster.hosts), CONTACT_S
        )
    finally:
        silence.test_ended.set()


class Silence:
    """Withhold all answers of a store between ``begin`` and ``end``.

    The connections of these answers stay open, and nothing follows on them.
    """

    def __init__(self, store):
        self._is_silent = False
        self.test_ended = threading.Event()
        self._handle = store.handle_request
        store.handle_request = self._handle_request

    def begin(self):
        self._is_silent = True

    def end(self):
        self._is_silent = False

    def _handle_request(self, handler, body):
        send_reply = type(handler).send_reply

        def reply(*args):
            if self._is_silent:
                self.test_ended.wait(20.0)
                handler.drop_connection()
                return
            send_reply(handler, *args)

        handler.send_reply = reply
        self._handle(handler, body)


@pytest.mark.parametrize("kind", ["servers", "config"])
def test_host_that_hears_no_other_learns_of_changes(cluster, losses, kind):
    cluster.add_replica("s2", "desk")
    start_hosts(cluster, ["h1"])
    host = cluster.hosts[0]
    time.sleep(4.5)  # the silence of all hosts is noticed
    losses.lose(kind, 1)
    if kind == "servers":
        leave(cluster, "draining")
        wait_until(lambda: "s2" not in host.usable_servers(), DRAIN_S)
    else:
        cluster.store.put("config", "main", make_configuration(2))
        wait_until(lambda: host.configuration_version() == 2, DRAIN_S)
    before = len(cluster.store.calls)
    time.sleep(3.0)
    # Two kinds, each at most once in 0.8 s.
    assert len(cluster.store.calls) - before <= 2 * 4 + 2
