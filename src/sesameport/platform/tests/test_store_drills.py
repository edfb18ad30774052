"""Test what hosts do when the store comes back from an older copy of itself."""

import time

import pytest

from sesameport.domain import ServerRole
from sesameport.entry.role_controller import (
    LEASE_KIND,
    LEASE_NAME,
    RoleChange,
    RoleController,
)
from sesameport.entry.servers import EntryServer
from sesameport.entry.store_era import StoreEra
from sesameport.platform.store import ObjectStoreClient
from sesameport.platform.tests.conftest import wait_until
from sesameport.platform.tests.fakes import FakeStore
from sesameport.platform.tests.test_roles import FakeOrderClient, NullMetrics

LEASE_S = 0.3
"""Shortest time between the orders of two holders, seconds."""

CHANGE = RoleChange(
    EntryServer("e0", "llm", "", "a", ServerRole.PREFILL),
    ServerRole.DECODE,
    is_urgent=True,
)


@pytest.fixture
def store():
    store = FakeStore()
    store.says["Store-Era"] = "1"
    yield store
    store.stop()


class Holders:
    """Let hosts order the same change, and record the orders that were sent."""

    def __init__(self, store):
        self._store, self._orders = store, FakeOrderClient()
        self._controllers = {}

    def controller(self, host):
        if host not in self._controllers:
            era = StoreEra()
            self._controllers[host] = RoleController(
                host,
                LEASE_S,
                ObjectStoreClient(self._store.address, era=era),
                self._orders,
                lambda: CHANGE,
                lambda change: None,
                NullMetrics(),
                era,
            )
        return self._controllers[host]

    def tokens(self):
        """Return the fencing numbers of the orders, with their holders."""
        return [(epoch, holder) for _, holder, epoch, _ in self._orders.sent]

    def order(self, host):
        """Let a host order, and return the time that it took."""
        began_at, before = time.monotonic(), len(self.tokens())
        controller = self.controller(host)
        wait_until(lambda: controller.run_once() or len(self.tokens()) > before)
        assert self.tokens()[-1][1] == host
        return time.monotonic() - began_at


@pytest.mark.parametrize("copy_has", ["no record", "an older record"])
def test_fencing_number_is_not_given_out_again_after_a_drill(store, copy_has):
    # Two hosts ordered one engine with the fencing number 1, or 2 (review/11).
    holders, copy = Holders(store), store.copy()
    holders.order("h1")
    if copy_has == "an older record":
        copy = store.copy()
        holders.order("h2")
    store.come_back(copy, 2)
    holders.order("h3")
    numbers = [number for number, _ in holders.tokens()]
    assert numbers == sorted(set(numbers))


@pytest.mark.parametrize("host", ["h1", "h3"])
@pytest.mark.parametrize("copy_has", ["no record", "its record"])
def test_host_waits_for_orders_of_the_earlier_era(store, copy_has, host):
    # Another host may have ordered just before the drill, with a record that is lost.
    # The host whose record is in the copy does not hold the lease any more either.
    holders, copy = Holders(store), store.copy()
    holders.order("h1")
    if copy_has == "its record":
        copy = store.copy()
    holders.order("h2")
    holders.controller(host).run_once()
    store.come_back(copy, 2)
    assert holders.order(host) >= LEASE_S


def test_lease_that_was_read_before_a_drill_is_not_written_after_it(store):
    # The version that is the condition may be that of another record in the new era.
    holders, copy = Holders(store), store.copy()
    holders.order("h1")
    sent, handle = len(holders.tokens()), store.handle_request

    def come_back_before_the_write(handler, body):
        if handler.command == "PUT":
            store.handle_request = handle
            store.come_back(copy, 2)
            holders.order("h2")
            record = store.spec(LEASE_KIND, LEASE_NAME)
            assert record["holder"] == "h2"
        handle(handler, body)

    store.handle_request = come_back_before_the_write
    holders.controller("h1").run_once()
    numbers = [number for number, holder in holders.tokens()[sent:]]
    assert [holder for _, holder in holders.tokens()[sent:]] == ["h2"]
    holders.order("h3")
    assert holders.tokens()[-1][0] > max(numbers)


def test_late_answer_of_an_earlier_era_is_dropped(store):
    era = StoreEra()
    client = ObjectStoreClient(store.address, era=era)
    store.put("notes", "n", {"text": "new"})
    store.says["Store-Era"] = "2"
    assert client.get("notes", "n").unwrap().era == era.current == 2
    for stated in ("1", "", "-3", "0x7", "9" * 40):
        store.says["Store-Era"] = stated
        assert client.get("notes", "n").is_err()
        assert client.list("notes").is_err()
    assert era.current == 2
    store.says["Store-Era"] = "3"
    assert client.get("notes", "missing").unwrap_err().era == era.current == 3
