"""Test that one host orders role changes and that their rate is limited."""

import time

import attrs
from result import Err, Ok

from sesameport.admission.order_lease import OrderRecord, encode_record
from sesameport.domain import ServerRole, ServerState
from sesameport.entry.admission_controller import AdmissionController
from sesameport.entry.configuration import (
    EngineProfile,
    EntryConfiguration,
    EntryService,
)
from sesameport.entry.role_change_selector import RoleChangeSelector
from sesameport.entry.role_controller import (
    LEASE_KIND,
    LEASE_NAME,
    EngineState,
    RoleController,
)
from sesameport.entry.servers import EntryServer
from sesameport.entry.settings import EntrySettings
from sesameport.platform.store import ObjectStoreClient
from sesameport.platform.tests.conftest import wait_until
from sesameport.platform.tests.fakes import FakeStore


def make_selector(host="h1", prefill=14, decode=14):
    settings = EntrySettings(host, "a", "127.0.0.1", "", "", 0, "")
    admission = AdmissionController(settings, lambda now: None, lambda at: None)
    profile = EngineProfile(12, 29_216)
    service = EntryService("llm", engine=profile)
    admission.configuration = EntryConfiguration(1, services=(service,))
    for number in range(prefill + decode):
        role = ServerRole.PREFILL if number < prefill else ServerRole.DECODE
        admission.registry.put(EntryServer(f"e{number}", "llm", "", "a", role))
    return RoleChangeSelector(host, admission), admission


def test_engines_with_an_order_count_under_their_new_role():
    # Guards against ordering every prefill engine to change while the registrations
    # still show the old roles.
    selector, _ = make_selector()
    ordered = []
    for now in range(40):
        change = selector.next_change(float(now))
        if change is None:
            break
        assert change.engines == 28
        selector.record_order(change.server.name, change.role, 1_000.0)
        ordered.append(change.server.name)
    # For the assumed workload mix six prefill engines are best.
    assert 4 <= len(ordered) <= 8
    assert len(set(ordered)) == len(ordered)


def changes_without_prefill(state):
    """Return the planned changes by time after the only prefill engine was removed.

    ``state`` is the state in its registration before the removal.
    """
    selector, admission = make_selector(prefill=1, decode=5)
    assert selector.next_change(0.0) is None
    admission.registry.put(attrs.evolve(admission.registry.get("e0"), state=state))
    changes = {}
    for now in range(1, 13):
        if now == 2:
            admission.registry.remove("e0", 2.0)
            selector.record_loss("llm", 2.0)
        selector.record_registration("llm", float(now))
        changes[now] = selector.next_change(float(now))
    return {now: change for now, change in changes.items() if change is not None}


def test_role_without_engines_after_a_drain_gets_an_urgent_order():
    # Guards against 17 s without a prefill engine. A release replaced the only one, and
    # the next order waited for the usual time between two orders.
    changes = changes_without_prefill(ServerState.LEAVING)
    assert all(change.role == ServerRole.PREFILL for change in changes.values())
    urgent = [now for now, change in changes.items() if change.is_urgent]
    assert urgent[0] == 4


def test_role_without_engines_after_a_failure_waits_for_their_return():
    # The data centre of the only prefill engine is unreachable for 6 s. Guards against
    # an order that changes a decode engine just as the data centre recovers.
    changes = changes_without_prefill(ServerState.LIVE)
    assert min(changes) == 9  # 8 s after the engine was last seen, at 1 s
    assert changes[9].is_urgent


def test_host_that_has_never_seen_an_engine_of_a_role_waits_for_one():
    # Guards against an order from a host that starts, or plans for the first time,
    # while the data centre of the prefill engines is unreachable.
    selector, _ = make_selector(prefill=0, decode=5)
    planned = [now for now in range(12) if selector.next_change(float(now)) is not None]
    assert planned[0] == 8


def test_only_the_host_with_the_lowest_name_plans():
    selector, admission = make_selector("h2")
    assert selector.next_change(0.0) is not None
    admission.use.apply_report("h1", {}, 0.0)
    assert selector.next_change(0.0) is None


class FakeOrderClient:
    """Accept and record orders in place of engines."""

    def __init__(self, orders_taken=0):
        self.sent = []
        self.orders_taken = orders_taken

    def read_state(self, server):
        return Ok(EngineState(server.role, False, self.orders_taken))

    def change_role(self, change, holder, epoch, orders_taken):
        self.sent.append((change.server.name, holder, epoch, orders_taken))
        return Ok("accepted")


class NullMetrics:
    """Discard all metrics."""

    def count(self, *args, **labels):
        return None


def make_controller(host, fake_store, order_client, selector):
    store = ObjectStoreClient(fake_store.address)
    return RoleController(
        host,
        0.1,
        store,
        order_client,
        lambda: selector.next_change(0.0),
        lambda change: None,
        NullMetrics(),
    )


def test_fencing_number_of_orders_increases_with_each_holder():
    fake_store, order_client = FakeStore(), FakeOrderClient(orders_taken=3)
    selector, _ = make_selector()
    make_controller("h1", fake_store, order_client, selector).run_once()
    assert order_client.sent == [("e0", "h1", 1, 3)]
    record = fake_store.spec(LEASE_KIND, LEASE_NAME)
    assert (record["holder"], record["epoch"]) == ("h1", 1)
    expired_record = encode_record(
        OrderRecord("h1", 1, "e0", "decode", time.time() - 60.0)
    )
    store = ObjectStoreClient(fake_store.address)
    version = store.get(LEASE_KIND, LEASE_NAME).unwrap().version
    assert store.update(LEASE_KIND, LEASE_NAME, expired_record, version).is_ok()
    second_controller = make_controller("h2", fake_store, order_client, selector)
    second_controller.run_once()
    assert len(order_client.sent) == 1
    wait_until(lambda: second_controller.run_once() or len(order_client.sent) == 2, 3.0)
    assert order_client.sent[1] == ("e0", "h2", 2, 3)
    fake_store.stop()


def test_time_between_orders_depends_on_the_number_of_engines():
    fake_store, order_client = FakeStore(), FakeOrderClient()
    selector, _ = make_selector()
    controller = make_controller("h1", fake_store, order_client, selector)
    controller.run_once()
    controller.run_once()
    assert len(order_client.sent) == 1
    fake_store.stop()


def test_small_fleet_sends_its_second_order_after_the_first_role_change():
    # A role change takes an engine out of service for six seconds. An engine fails
    # some seconds after the start and a burst of requests follows. Guards against a
    # second order that is sent only during that burst.
    fake_store, order_client = FakeStore(), FakeOrderClient()
    selector, _ = make_selector(prefill=4, decode=2)
    controller = make_controller("h1", fake_store, order_client, selector)
    controller.run_once()
    store = ObjectStoreClient(fake_store.address)
    for age_s, order_count in ((5.0, 1), (7.0, 2)):
        version = store.get(LEASE_KIND, LEASE_NAME).unwrap().version
        record = OrderRecord("h1", 1, "e0", "decode", time.time() - age_s)
        value = encode_record(record)
        assert store.update(LEASE_KIND, LEASE_NAME, value, version).is_ok()
        controller.run_once()
        assert len(order_client.sent) == order_count
    fake_store.stop()


def test_urgent_order_skips_the_time_between_orders():
    fake_store, order_client = FakeStore(), FakeOrderClient()
    selector, admission = make_selector(prefill=4, decode=4)
    make_controller("h1", fake_store, order_client, selector).run_once()
    assert len(order_client.sent) == 1
    for number in range(4):
        admission.registry.remove(f"e{number}", 1.0)
    store = ObjectStoreClient(fake_store.address)
    selector.next_change(2.0)
    second_controller = RoleController(
        "h1",
        0.1,
        store,
        order_client,
        lambda: selector.next_change(11.0),
        lambda change: None,
        NullMetrics(),
    )
    second_controller.run_once()
    assert len(order_client.sent) == 2
    fake_store.stop()


def test_no_order_is_sent_if_the_response_to_the_lease_write_is_lost():
    fake_store, order_client = FakeStore(), FakeOrderClient()
    selector, _ = make_selector()
    controller = make_controller("h1", fake_store, order_client, selector)
    fake_store.fault = "lost"
    controller.run_once()
    assert order_client.sent == []
    fake_store.stop()


def test_unreachable_engine_gets_no_order():
    fake_store, order_client = FakeStore(), FakeOrderClient()
    order_client.read_state = lambda server: Err("away")
    selector, _ = make_selector()
    make_controller("h1", fake_store, order_client, selector).run_once()
    assert order_client.sent == []
    assert fake_store.spec(LEASE_KIND, LEASE_NAME) is None
    fake_store.stop()
