"""Own the control tasks of this host's data centre and send their orders."""

import random
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import attrs
import pykka

from sesameport.daemon.views.lease_view import describe_lease
from sesameport.fleet.leases import Lease
from sesameport.fleet.orders import (
    OrderIntent,
    OrderSettings,
    ServerReconciler,
    ServerReport,
)
from sesameport.fleet.platform_intents import run_intent
from sesameport.fleet.rendezvous import rank_hosts
from sesameport.interfaces import (
    Engine,
    EngineError,
    EngineErrorKind,
    LoadReport,
    OrderKind,
    Platform,
    Sender,
    Timers,
)
from sesameport.world import BackendServer, Host, ServerRole, ServiceDocument

__all__ = [
    "CONTROL_KIND",
    "ControlActor",
    "ControlTick",
    "DescribeControl",
    "LeaveControl",
    "PutControlState",
    "StepDownControl",
    "start_control",
]

CONTROL_KIND = "control-lease"

_TICK_S = 1.0
_CANDIDATES = 2
_PLATFORM_THREADS = 2
# Orders and load reads of one data centre that run at once.
_ENGINE_THREADS = 4


@attrs.frozen
class PutControlState:
    """Replace documents, backend servers and the live hosts of this data centre."""

    documents: Mapping[str, ServiceDocument]
    servers: tuple[BackendServer, ...]
    hosts: tuple[Host, ...]


@attrs.frozen
class ControlTick:
    """Do the periodic work."""


@attrs.frozen
class StepDownControl:
    """Give up every lease at once, because this process was paused."""


@attrs.frozen
class LeaveControl:
    """Release every lease; the answer is True once no order is under way."""


@attrs.frozen
class DescribeControl:
    """Ask for the control leases; the answer is a tuple of `LeaseStatus`."""


@attrs.frozen
class _PlatformAnswered:
    service: str
    intent: Any
    answer: Any


@attrs.frozen
class _LoadRead:
    service: str
    server: str
    load: LoadReport
    received_at: float


@attrs.frozen
class _OrderAnswered:
    service: str
    intent: OrderIntent
    error: EngineError | None


@attrs.define
class _Accepted:
    """Hold the targets that a server accepted, if it does not report its state."""

    models: set[str] = attrs.field(factory=set)
    adapters: set[str] = attrs.field(factory=set)
    role: ServerRole | None = None
    draining: bool = False

    def note(self, kind: OrderKind, argument: str) -> None:
        if kind == OrderKind.LOAD_MODEL:
            name = argument.partition("@")[0]
            self.models = {m for m in self.models if m.partition("@")[0] != name}
            self.models.add(argument)
        elif kind == OrderKind.LOAD_ADAPTER:
            self.adapters.add(argument)
        elif kind == OrderKind.SET_ROLE:
            self.role = ServerRole(argument)
        else:
            self.draining = argument == "on"


class ControlActor(pykka.ThreadingActor):
    """Serialise all use of the control tasks.

    Parameters
    ----------
    sender : Sender
        This host process.
    lease_s, drift : float
        Lease duration in seconds and largest relative error of a clock's rate.
    platform : Platform
        Called on worker threads only.
    find_engine : callable
        Returns the engine of a server name, or None.
    timers : Timers
        Clock.
    rng : random.Random
        Source of nonces and jitter.
    cfg : OrderSettings
        Bounds of orders.
    """

    use_daemon_thread = True

    def __init__(
        self,
        sender: Sender,
        lease_s: float,
        drift: float,
        platform: Platform,
        find_engine: Callable[[str], Engine | None],
        timers: Timers,
        rng: random.Random,
        cfg: OrderSettings,
    ):
        super().__init__()
        self._sender = sender
        self._lease_s = lease_s
        self._drift = drift
        self._platform = platform
        self._find_engine = find_engine
        self._timers = timers
        self._rng = rng
        self._cfg = cfg
        self._reconcilers: dict[str, ServerReconciler] = {}
        self._state = PutControlState({}, (), ())
        self._accepted: dict[str, _Accepted] = {}
        self._epochs: dict[str, int] = {}
        self._reading: set[str] = set()
        self._is_leaving = False
        self._platform_workers = ThreadPoolExecutor(_PLATFORM_THREADS, "control")
        self._engine_workers = ThreadPoolExecutor(_ENGINE_THREADS, "orders")

    def on_stop(self):
        """Stop the worker threads."""
        self._platform_workers.shutdown(wait=False, cancel_futures=True)
        self._engine_workers.shutdown(wait=False, cancel_futures=True)

    def on_receive(self, message):
        """Handle one message and return its answer."""
        now = self._timers.now()
        match message:
            case ControlTick():
                self._tick(now)
            case _LoadRead(service, server, load, received_at):
                self._take_load(service, server, load, received_at)
            case _OrderAnswered(service, intent, error):
                self._take_answer(service, intent, error, now)
            case _PlatformAnswered(service, intent, answer):
                if service in self._reconcilers:
                    self._reconcilers[service].lease.handle_result(intent, answer, now)
            case PutControlState():
                self._put_state(message)
            case StepDownControl():
                for reconciler in self._reconcilers.values():
                    reconciler.lease.step_down()
            case DescribeControl():
                return tuple(
                    describe_lease(reconciler.lease, now)
                    for reconciler in self._reconcilers.values()
                    if reconciler.lease.record is not None
                )
            case LeaveControl():
                return self._leave(now)
        return None

    def _put_state(self, state: PutControlState) -> None:
        self._state = state
        for service, doc in state.documents.items():
            reconciler = self._reconcilers.get(service)
            if reconciler is None:
                reconciler = self._reconcilers[service] = self._new_reconciler(service)
            if reconciler.doc != doc:
                reconciler.set_document(doc)
            reconciler.set_servers(state.servers)
        for service in list(self._reconcilers):
            if service not in state.documents:
                self._reconcilers[service].set_document(None)

    def _new_reconciler(self, service: str) -> ServerReconciler:
        centre = self._sender.data_centre
        lease = Lease(
            CONTROL_KIND,
            f"{service}.{centre}",
            self._sender.host,
            self._sender.incarnation,
            self._lease_s,
            self._drift,
            self._rng,
        )
        return ServerReconciler(centre, lease, self._cfg)

    def _tick(self, now: float) -> None:
        names = [host.name for host in self._state.hosts]
        for service, reconciler in self._reconcilers.items():
            if reconciler.doc is None and reconciler.is_idle(now):
                reconciler.lease.release(now)
            ranked = rank_hosts(f"control {service}", names)[:_CANDIDATES]
            wanted = (
                reconciler.doc is not None
                and self._sender.host in ranked
                and not self._is_leaving
                and reconciler.has_servers()
            )
            intent = reconciler.lease.tick(now, wanted)
            if intent is not None:
                self._platform_workers.submit(self._call_platform, service, intent)
            if not reconciler.lease.is_held(now) or self._is_leaving:
                continue
            if self._epochs.get(service) != reconciler.lease.epoch:
                self._epochs[service] = reconciler.lease.epoch
                for server in reconciler.server_names():
                    self._accepted.pop(server, None)
            self._read_loads(service, reconciler)
            for order in reconciler.next_orders(now):
                self._engine_workers.submit(self._send_order, service, order)

    def _read_loads(self, service: str, reconciler: ServerReconciler) -> None:
        for server in reconciler.server_names():
            if server in self._reading:
                continue
            self._reading.add(server)
            self._engine_workers.submit(self._read_load, service, server)

    def _read_load(self, service: str, server: str) -> None:
        engine = self._find_engine(server)
        load = None
        if engine is not None:
            load = engine.load().ok()
        message = _LoadRead(service, server, load, self._timers.now())
        self.actor_ref.tell(message)

    def _call_platform(self, service: str, intent) -> None:
        answer = run_intent(self._platform, intent)
        self.actor_ref.tell(_PlatformAnswered(service, intent, answer))

    def _send_order(self, service: str, intent: OrderIntent) -> None:
        engine = self._find_engine(intent.server)
        if engine is None:
            error = EngineError(EngineErrorKind.UNREACHABLE, "server not known")
        elif self._timers.now() >= intent.not_after:
            # The thread waited for so long that the lease may have lapsed.
            error = EngineError(EngineErrorKind.UNREACHABLE, "lease may have lapsed")
        else:
            error = engine.order(intent.order).err()
        self.actor_ref.tell(_OrderAnswered(service, intent, error))

    def _take_load(self, service, server, load, received_at) -> None:
        self._reading.discard(server)
        reconciler = self._reconcilers.get(service)
        if reconciler is None or load is None:
            return
        reconciler.record_report(self._to_report(server, load, received_at))

    def _to_report(self, server: str, load: LoadReport, received_at: float):
        accepted = self._accepted.setdefault(server, _Accepted())
        listed = next((s for s in self._state.servers if s.name == server), None)
        role = ServerRole(load.role) if load.role else accepted.role
        if role is None:
            role = listed.role if listed is not None else ServerRole.BOTH
        models = accepted.models if load.models is None else load.models
        adapters = accepted.adapters if load.adapters is None else load.adapters
        draining = accepted.draining if load.draining is None else load.draining
        return ServerReport(
            server,
            tuple(models),
            tuple(adapters),
            role,
            draining,
            load.running,
            load.waiting,
            load.slots,
            load.prefill_queue_tokens,
            measured_at=received_at - load.age_s,
        )

    def _take_answer(self, service, intent, error, now: float) -> None:
        reconciler = self._reconcilers.get(service)
        if reconciler is None:
            return
        if error is None:
            accepted = self._accepted.setdefault(intent.server, _Accepted())
            accepted.note(intent.order.kind, intent.order.argument)
        reconciler.handle_result(intent, error, now)

    def _leave(self, now: float) -> bool:
        self._is_leaving = True
        quiet = True
        for reconciler in self._reconcilers.values():
            if not reconciler.lease.is_held(now):
                continue
            if reconciler.is_idle(now):
                reconciler.lease.release(now)
            else:
                quiet = False
        return quiet


def start_control(
    sender: Sender,
    lease_s: float,
    drift: float,
    platform: Platform,
    find_engine: Callable[[str], Engine | None],
    timers: Timers,
    rng: random.Random | None = None,
    cfg: OrderSettings | None = None,
) -> pykka.ActorRef:
    """Start the actor and subscribe it to ticks."""
    actor = ControlActor.start(
        sender,
        lease_s,
        drift,
        platform,
        find_engine,
        timers,
        rng or random.Random(),
        cfg or OrderSettings(),
    )
    timers.subscribe("control", _TICK_S, lambda now: actor.tell(ControlTick()))
    return actor
