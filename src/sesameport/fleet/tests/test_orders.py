"""Test that orders of two lease holders do not interleave and that servers converge.

``SESAMEPORT_FUZZ=20 pytest .../test_orders.py`` runs 20 times as many examples with a
random seed. Hypothesis prints the seed of a failure; pass it as ``--hypothesis-seed``.
"""

import random

import attrs
from hypothesis import strategies as st
from hypothesis.stateful import rule

from sesameport.bench.virtual_world import EventQueue, SimPlatform
from sesameport.domain import (
    BackendServer,
    Model,
    ServerClass,
    ServerRole,
    ServerState,
    ServiceDocument,
)
from sesameport.fleet.orders import OrderSettings, ServerReconciler, ServerReport
from sesameport.fleet.roles import RoleRebalancer, RoleSettings, ServerRoleLoad
from sesameport.fleet.tests.fuzz_settings import fuzz_settings
from sesameport.fleet.tests.test_leases import (
    HOST_INDEXES,
    RUN_TIMES_S,
    FaultMachine,
    LeaseHost,
)
from sesameport.interfaces import EngineError, EngineErrorKind, OrderKind

CALL_BOUND_S = 5.0
CLASSES = (
    ServerClass("old", checks_fencing=False),
    ServerClass("new", ServerRole.BOTH, True),
)
DOC = ServiceDocument(
    "svc", models=(Model("m", "1", ("a",)),), server_classes=CLASSES,
    weight_store_loads_at_once=2,
)  # fmt: skip


def server(name, server_class="old", role=ServerRole.BOTH, state=ServerState.LIVE):
    return BackendServer(name, "svc", server_class, "dc", "", role, state)


class SimEngine:
    """Simulate a server that executes orders; loads finish 2 s after acceptance."""

    def __init__(self, listed):
        self.listed, self.checks = listed, listed.server_class == "new"
        self.accepted, self.models, self.adapters = [], set(), set()
        self.role, self.draining = listed.role, False

    def execute(self, order, queue):
        highest = max((epoch for epoch, _ in self.accepted), default=0)
        if self.checks and order.fencing_number < highest:
            return EngineError(EngineErrorKind.FENCED)
        self.accepted.append((order.fencing_number, order))
        if order.kind == OrderKind.LOAD_MODEL:
            queue.call_at(queue.now + 2.0, lambda: self.models.add(order.argument))
        elif order.kind == OrderKind.LOAD_ADAPTER:
            queue.call_at(queue.now + 2.0, lambda: self.adapters.add(order.argument))
        elif order.kind == OrderKind.SET_ROLE:
            self.role = ServerRole(order.argument)
        else:
            self.draining = order.argument == "on"
        return None

    def report(self, now, **load):
        return ServerReport(
            self.listed.name, tuple(self.models), tuple(self.adapters), self.role,
            self.draining, measured_at=now, **load,
        )  # fmt: skip


class ControlHost(LeaseHost):
    """Run a reconciler whose calls may be delayed up to the call bound."""

    engines: dict
    slow = 0.0

    def start(self):
        self.task = None
        super().start()

    def on_tick(self):
        if self.task is None:
            cfg = OrderSettings(call_bound_s=CALL_BOUND_S)
            self.task = ServerReconciler("dc", self.lease, cfg)
            self.task.set_document(self.machine.doc)
        if self.task.doc is not self.machine.doc:
            self.task.set_document(self.machine.doc)
        engines = self.machine.engines
        self.task.set_servers(tuple(e.listed for e in engines.values()))
        for engine in engines.values():
            self.task.record_report(engine.report(self.now))
        for intent in self.task.next_orders(self.now):
            delay = self.rng.choice((0.0, 0.0, 3.0))
            self.queue.call_at(self.queue.now + delay, lambda i=intent: self.send(i))

    def send(self, intent):
        """Check the clock and send an order, as the worker thread does."""
        task = self.task
        if not self.alive or self.queue.now < self.paused_until or task is None:
            return
        if self.now >= intent.not_after:
            error = EngineError(EngineErrorKind.UNREACHABLE)
            task.handle_result(intent, error, self.now)
            return
        # A call may stay in a buffer while the caller times out or dies.
        is_buffered = self.rng.random() < self.slow
        delay = self.rng.uniform(0.01, CALL_BOUND_S * 0.9 if is_buffered else 0.2)

        def arrive():
            error = self.machine.engines[intent.server].execute(
                intent.order, self.queue
            )
            if is_buffered:
                error = EngineError(EngineErrorKind.SILENT)
            if self.alive and self.queue.now >= self.paused_until:
                task.handle_result(intent, error, self.now)

        self.queue.call_at(self.queue.now + delay, arrive)


class OrderMachine(FaultMachine):
    """Check that fencing numbers never decrease at a server.

    This must hold for servers that check fencing numbers and for servers that do not.
    """

    def make_hosts(self):
        names = ("s0", "old"), ("s1", "old"), ("s2", "new"), ("s3", "new")
        self.engines = {name: SimEngine(server(name, kind)) for name, kind in names}
        self.doc, self.version = DOC, 1
        ControlHost.machine = self
        return [
            ControlHost(f"h{i}", self.queue, self.platform, self.rng) for i in range(3)
        ]

    @rule(then=RUN_TIMES_S)
    def new_version(self, then):
        self.version += 1
        model = attrs.evolve(DOC.models[0], version=str(self.version))
        self.doc = attrs.evolve(DOC, models=(model,))
        self.run(then)

    @rule(index=HOST_INDEXES, slow=st.sampled_from((0.0, 0.5, 1.0)), then=RUN_TIMES_S)
    def slow_orders(self, index, slow, then):
        self.host_or_holder(index).slow = slow
        self.run(then)

    def check(self):
        for name, engine in self.engines.items():
            epochs = [epoch for epoch, _ in engine.accepted]
            assert epochs == sorted(epochs), (name, epochs)


TestOrders = OrderMachine.TestCase
TestOrders.settings = fuzz_settings(examples=80)


class HeldLease:
    """Replace a lease by one that is held until `step_down`."""

    epoch, stopped_at, held = 1, 0.0, True

    def is_held(self, now):
        return self.held

    def remaining_s(self, now):
        return 10.0

    def earlier_holders_stopped_at(self, bound):
        return self.stopped_at

    def step_down(self):
        self.held = False


class ControlHarness:
    """Run a reconciler against simulated engines without faults."""

    def __init__(self, listed, doc=DOC):
        self.queue, self.now = EventQueue(), 0.0
        self.engines = {item.name: SimEngine(item) for item in listed}
        self.task = ServerReconciler("dc", HeldLease())
        self.task.set_document(doc)
        self.loads = {}
        self.max_concurrent_loads = 0

    def step(self, seconds=1.0):
        self.now += seconds
        self.queue.run_until(self.now)
        self.task.set_servers(tuple(e.listed for e in self.engines.values()))
        for name, engine in self.engines.items():
            load = self.loads.get(name, {})
            self.task.record_report(engine.report(self.now, **load))
        intents = self.task.next_orders(self.now)
        for intent in intents:
            error = self.engines[intent.server].execute(intent.order, self.queue)
            self.task.handle_result(intent, error, self.now)
        loading = sum(
            open_order.order.kind in (OrderKind.LOAD_MODEL, OrderKind.LOAD_ADAPTER)
            for open_order in self.task._open_orders.values()
        )
        self.max_concurrent_loads = max(self.max_concurrent_loads, loading)
        return [(i.server, i.order.kind, i.order.argument) for i in intents]


def test_servers_converge_within_the_load_limit_and_get_no_further_orders():
    control = ControlHarness([server(f"s{i}") for i in range(6)])
    for _ in range(40):
        control.step()
    for engine in control.engines.values():
        assert engine.models == {"m@1"} and engine.adapters == {"m:a"}
    assert control.max_concurrent_loads == 2
    assert all(control.step() == [] for _ in range(10))


def test_leaving_server_is_drained_and_gets_no_load_orders():
    control = ControlHarness([server("s", state=ServerState.LEAVING)])
    assert control.step() == [("s", OrderKind.DRAIN, "on")]
    assert control.step() == []
    control.engines["s"].listed = server("s")
    assert control.step() == [("s", OrderKind.DRAIN, "off")]


def test_server_without_fencing_gets_orders_only_after_earlier_holders_stopped():
    control = ControlHarness([server("s", "old"), server("t", "new")])
    control.task.lease.stopped_at = 10.0
    assert [name for name, *_ in control.step()] == ["t"]
    assert "s" in [name for name, *_ in control.step(9.5)]


def test_holder_steps_down_after_a_fenced_answer():
    control = ControlHarness([server("t", "new")])
    control.engines["t"].accepted.append((9, None))
    control.step()
    assert control.step() == []
    assert not control.task.lease.held


def test_orders_require_a_held_lease_and_expire_with_it():
    control = ControlHarness([server("t", "new")])
    control.task.set_servers((control.engines["t"].listed,))
    control.task.record_report(control.engines["t"].report(0.0))
    control.task.lease.held = False
    assert control.task.next_orders(0.0) == []
    control.task.lease.held = True
    [intent] = control.task.next_orders(0.0)
    assert intent.not_after == 10.0
    assert intent.order.fencing_number == 1


def test_order_with_unknown_outcome_blocks_its_server_until_the_call_bound():
    control = ControlHarness([server("s")])
    control.task.set_servers((control.engines["s"].listed,))
    control.task.record_report(control.engines["s"].report(0.0))
    [intent] = control.task.next_orders(0.0)
    control.task.handle_result(intent, EngineError(EngineErrorKind.SILENT), 1.0)
    assert not control.task.is_idle(4.9)
    assert control.task.next_orders(4.9) == []
    assert control.task.is_idle(5.0)
    assert len(control.task.next_orders(5.1)) == 1


def loads(prefills, decodes, queue_s, running):
    return [
        ServerRoleLoad(f"p{i}", ServerRole.PREFILL, 0, 0, 1, queue_s)
        for i in range(prefills)
    ] + [
        ServerRoleLoad(f"d{i}", ServerRole.DECODE, running, 0, 20, 0.0)
        for i in range(decodes)
    ]


def test_role_changes_after_a_sustained_need_followed_by_a_cooldown():
    planner = RoleRebalancer(1.0, RoleSettings(stabilization_s=30.0, cooldown_s=120.0))
    assert planner.decide(loads(2, 3, 2.0, 5), 0.0) is None
    assert planner.decide(loads(2, 3, 0.2, 5), 20.0) is None
    assert planner.decide(loads(2, 3, 2.0, 5), 25.0) is None
    assert planner.decide(loads(2, 3, 2.0, 5), 50.0) is None
    change = planner.decide(loads(2, 3, 2.0, 5), 55.0)
    assert (change.server, change.role) == ("d0", ServerRole.PREFILL)
    results = [planner.decide(loads(3, 2, 2.0, 5), 60.0 + t) for t in range(110)]
    assert results == [None] * 110


def test_last_server_of_a_role_keeps_it():
    planner = RoleRebalancer(1.0, RoleSettings(stabilization_s=0.0))
    assert planner.decide(loads(3, 1, 9.0, 1), 0.0) is None
    assert planner.decide(loads(1, 3, 0.0, 20), 1.0) is None


def test_role_change_results_in_one_order():
    listed = [server(f"p{i}", role=ServerRole.PREFILL) for i in range(2)]
    listed += [server(f"d{i}", role=ServerRole.DECODE) for i in range(2)]
    control = ControlHarness(listed)
    for _ in range(30):
        control.step()
    for name in ("p0", "p1"):
        control.loads[name] = {"prefill_queue_tokens": 80_000}
    orders = [order for _ in range(60) for order in control.step()]
    assert orders == [("d0", OrderKind.SET_ROLE, "prefill")]


def test_simulated_hosts_acquire_the_lease_and_send_orders():
    """Guards against a fuzz test that passes because no order is ever sent."""
    machine = OrderMachine()
    machine.rng, machine.queue = random.Random(1), EventQueue()
    machine.platform = SimPlatform()
    machine.hosts = machine.make_hosts()
    machine.run(60.0)
    assert all(e.models == {"m@1"} for e in machine.engines.values())
