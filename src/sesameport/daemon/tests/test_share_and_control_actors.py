"""Test the shares and control actors with threads and an in-memory platform."""

import threading
import time
from collections import defaultdict

import pytest
from result import Err, Ok

from sesameport.adapters import TimerService
from sesameport.bench.virtual_world import SimPlatform
from sesameport.daemon.fleet.control_actor import (
    ReleaseControlLeases,
    SetControlState,
    start_control,
)
from sesameport.daemon.fleet.shares_actor import (
    ReleaseShares,
    SetDocuments,
    SetRegionHosts,
    start_shares,
)
from sesameport.domain import (
    BackendServer,
    Host,
    Model,
    RefusalType,
    ServerClass,
    ServerRole,
    ServiceDocument,
    Workspace,
)
from sesameport.fleet.orders import OrderSettings
from sesameport.fleet.platform_intents import CreateObject, ReadObject, UpdateObject
from sesameport.fleet.share_limits import ShareSettings
from sesameport.fleet.shares import Receipt
from sesameport.interfaces import EngineError, EngineErrorKind, LoadReport, Sender

DOC = ServiceDocument(
    "svc",
    models=(Model("m", "2", ("a",)),),
    workspaces=(Workspace("w", (), 2000.0, 3000.0),),
    server_classes=(ServerClass("c", checks_fencing=True),),
)
HOSTS = (Host("h0", "dc"), Host("h1", "dc"))


class MemoryPlatform:
    """Make `SimPlatform` usable from several threads."""

    def __init__(self):
        self._sim, self._lock = SimPlatform(), threading.Lock()

    def _run(self, intent):
        with self._lock:
            return self._sim.run(intent)

    def get(self, kind, name):
        return self._run(ReadObject(0, kind, name))

    def create(self, kind, name, value):
        return self._run(CreateObject(0, kind, name, value))

    def update(self, kind, name, value, version):
        return self._run(UpdateObject(0, kind, name, value, version))


class MemoryLink:
    """Deliver messages between hosts of one process by direct calls."""

    links: dict = {}

    def __init__(self, sender):
        self.sender, self.callbacks = sender, defaultdict(list)
        MemoryLink.links[sender.host] = self

    def send(self, host, message):
        for callback in MemoryLink.links[host].callbacks[type(message)]:
            callback(self.sender, message)

    def subscribe(self, message_type, callback):
        self.callbacks[message_type].append(callback)


class MemoryEngine:
    """Accept every order whose fencing number is not too low."""

    def __init__(self):
        self.orders = []

    def load(self):
        return Ok(LoadReport("s", 0, 0, 20))

    def order(self, order):
        highest_number = max((o.fencing_number for o in self.orders), default=0)
        if order.fencing_number < highest_number:
            return Err(EngineError(EngineErrorKind.FENCED))
        self.orders.append(order)
        return Ok(None)


@pytest.fixture
def timers():
    service = TimerService().start()
    yield service
    service.stop()


def wait_for(condition, seconds=15.0):
    deadline = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < deadline, "condition not reached"
        time.sleep(0.05)


@pytest.fixture
def share_hosts(timers):
    platform, hosts = MemoryPlatform(), []
    for host in HOSTS:
        sender = Sender(host.name, f"{host.name}-1", host.data_centre)
        cfg = ShareSettings(standing_renewal_period_s=1.0)
        link = MemoryLink(sender)
        hosts.append(start_shares(sender, "r", cfg, platform, link, timers))
    for actor, _ in hosts:
        actor.tell(SetDocuments({"svc": DOC}, 1))
        actor.tell(SetRegionHosts(HOSTS))
    yield hosts
    for actor, _ in hosts:
        actor.stop()


def test_threads_of_two_hosts_stay_within_the_rate(share_hosts):
    """Guard against hosts that exceed the rate together or use too little of it."""
    clients = [client for _, client in share_hosts]
    wait_for(lambda: isinstance(clients[0].charge("svc", "w", 10.0), Receipt))
    start, admitted, lock = time.monotonic(), [], threading.Lock()

    def charge(client):
        while time.monotonic() < start + 2.0:
            answer = client.charge("svc", "w", 20.0)
            if isinstance(answer, Receipt):
                client.settle("svc", answer, 20.0)
                with lock:
                    admitted.append(answer.tokens)
            else:
                assert answer.type == RefusalType.RATE_LIMITED
                time.sleep(0.01)

    threads = [threading.Thread(target=charge, args=(c,)) for c in clients * 3]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    elapsed_s = time.monotonic() - start
    assert sum(admitted) <= 2000.0 * elapsed_s + 3000.0
    assert sum(admitted) >= 1000.0


def test_unknown_names_and_charges_after_release_are_refused(share_hosts):
    """Guard against charges of unknown names and charges after a release.

    The release itself must complete.
    """
    actor, client = share_hosts[0]
    assert client.charge("svc", "x", 1.0).retry_after_s is None
    assert client.charge("other", "w", 1.0).retry_after_s is None
    wait_for(lambda: actor.ask(ReleaseShares()))
    assert client.charge("svc", "w", 1.0).type == RefusalType.RATE_LIMITED


def test_control_lease_moves_to_a_new_host_before_it_expires(timers):
    """Guard against a takeover that must wait for a released lease to expire."""
    platform, engine, actors = MemoryPlatform(), MemoryEngine(), []
    server = BackendServer("s", "svc", "c", "dc", "", ServerRole.BOTH)
    for host in HOSTS:
        sender = Sender(host.name, f"{host.name}-1", "dc")
        cfg = OrderSettings(call_bound_s=1.0)
        actor = start_control(
            sender, 10.0, 0.01, platform, lambda name: engine, timers, cfg=cfg
        )
        actor.tell(SetControlState({"svc": DOC}, (server,), HOSTS))
        actors.append(actor)
    try:
        wait_for(lambda: len(engine.orders) == 2)
        assert [order.argument for order in engine.orders] == ["m@2", "m:a"]
        wait_for(lambda: all([actor.ask(ReleaseControlLeases()) for actor in actors]))
        late = start_control(
            Sender("h2", "h2-1", "dc"), 10.0, 0.01, platform, lambda n: engine, timers
        )
        actors.append(late)
        late.tell(SetControlState({"svc": DOC}, (server,), (Host("h2", "dc"),)))
        wait_for(lambda: engine.orders[-1].fencing_number == 2, 8.0)
    finally:
        for actor in actors:
            actor.stop()
