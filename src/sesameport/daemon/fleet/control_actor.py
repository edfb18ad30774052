"""Run the server reconcilers of this host's data centre and send their orders."""

import random
from collections.abc import Callable, Mapping
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import attrs
import pykka

from sesameport.daemon.views.lease_view import describe_lease
from sesameport.domain import BackendServer, Host, ServerRole, ServiceDocument
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

__all__ = [
    "CONTROL_KIND",
    "ControlActor",
    "ControlTick",
    "DescribeControl",
    "ReleaseControlLeases",
    "SetControlState",
    "StepDownControl",
    "start_control",
]

CONTROL_KIND = "control-lease"

_TICK_S = 1.0

_CANDIDATE_COUNT = 2
"""Hosts of the data centre that may acquire the control lease of a service."""

_PLATFORM_THREADS = 2

_ENGINE_THREADS = 4
"""Maximum number of concurrent orders and load reads."""


@attrs.frozen
class SetControlState:
    """Replace the documents, backend servers and live hosts of this data centre."""

    documents: Mapping[str, ServiceDocument]
    servers: tuple[BackendServer, ...]
    hosts: tuple[Host, ...]


@attrs.frozen
class ControlTick:
    """Renew leases, read loads and send the orders that are due."""


@attrs.frozen
class StepDownControl:
    """Give up every lease immediately, because this process was paused."""


@attrs.frozen
class ReleaseControlLeases:
    """Release every lease whose service has no order in flight.

    The answer is whether all leases are released.
    """


@attrs.frozen
class DescribeControl:
    """Request the status of the control leases, a tuple of `LeaseStatus`."""


@attrs.frozen
class _PlatformResult:
    service: str
    intent: Any
    result: Any


@attrs.frozen
class _LoadResult:
    service: str
    server: str
    load: LoadReport
    received_at: float


@attrs.frozen
class _OrderResult:
    service: str
    intent: OrderIntent
    error: EngineError | None


@attrs.define
class _AcceptedTargets:
    """Record the orders that a server accepted.

    They stand in for the state of servers that do not report it.
    """

    models: set[str] = attrs.field(factory=set)
    adapters: set[str] = attrs.field(factory=set)
    role: ServerRole | None = None
    draining: bool = False

    def record(self, kind: OrderKind, argument: str) -> None:
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
    """Serialise all access to the server reconcilers.

    Parameters
    ----------
    sender : Sender
        This host process.
    lease_s, drift : float
        Lease duration, seconds, and maximum relative error of a clock's rate.
    platform : Platform
        Stores the leases. It is called on worker threads only.
    find_engine : callable
        Returns the engine of a server by its name, or None.
    timers : Timers
        Source of the time.
    rng : random.Random
        Random source for nonces and jitter.
    cfg : OrderSettings
        Timeouts and retries of orders.
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
        self._state = SetControlState({}, (), ())
        self._accepted_targets: dict[str, _AcceptedTargets] = {}
        self._epochs: dict[str, int] = {}
        self._pending_load_reads: set[str] = set()
        self._is_leaving = False
        self._platform_workers = ThreadPoolExecutor(_PLATFORM_THREADS, "control")
        self._engine_workers = ThreadPoolExecutor(_ENGINE_THREADS, "orders")

    def on_stop(self):
        """Cancel the queued calls of the worker threads."""
        self._platform_workers.shutdown(wait=False, cancel_futures=True)
        self._engine_workers.shutdown(wait=False, cancel_futures=True)

    def on_receive(self, message):
        """Handle one message and return its answer."""
        now = self._timers.now()
        match message:
            case ControlTick():
                self._tick(now)
            case _LoadResult(service, server, load, received_at):
                self._handle_load(service, server, load, received_at)
            case _OrderResult(service, intent, error):
                self._handle_order_result(service, intent, error, now)
            case _PlatformResult(service, intent, result):
                if service in self._reconcilers:
                    self._reconcilers[service].lease.handle_result(intent, result, now)
            case SetControlState():
                self._apply_state(message)
            case StepDownControl():
                for reconciler in self._reconcilers.values():
                    reconciler.lease.step_down()
            case DescribeControl():
                return tuple(
                    describe_lease(reconciler.lease, now)
                    for reconciler in self._reconcilers.values()
                    if reconciler.lease.record is not None
                )
            case ReleaseControlLeases():
                return self._release_leases(now)
        return None

    def _apply_state(self, state: SetControlState) -> None:
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
        data_centre = self._sender.data_centre
        lease = Lease(
            CONTROL_KIND,
            f"{service}.{data_centre}",
            self._sender.host,
            self._sender.incarnation,
            self._lease_s,
            self._drift,
            self._rng,
        )
        return ServerReconciler(data_centre, lease, self._cfg)

    def _tick(self, now: float) -> None:
        names = [host.name for host in self._state.hosts]
        for service, reconciler in self._reconcilers.items():
            if reconciler.doc is None and reconciler.is_idle(now):
                reconciler.lease.release(now)
            ranked = rank_hosts(f"control {service}", names)[:_CANDIDATE_COUNT]
            is_candidate = (
                reconciler.doc is not None
                and self._sender.host in ranked
                and not self._is_leaving
                and reconciler.has_servers()
            )
            intent = reconciler.lease.tick(now, is_candidate)
            if intent is not None:
                self._platform_workers.submit(self._call_platform, service, intent)
            if not reconciler.lease.is_held(now) or self._is_leaving:
                continue
            if self._epochs.get(service) != reconciler.lease.epoch:
                # Another host may have sent orders since the previous epoch.
                self._epochs[service] = reconciler.lease.epoch
                for server in reconciler.server_names():
                    self._accepted_targets.pop(server, None)
            self._read_loads(service, reconciler)
            for order in reconciler.next_orders(now):
                self._engine_workers.submit(self._send_order, service, order)

    def _read_loads(self, service: str, reconciler: ServerReconciler) -> None:
        for server in reconciler.server_names():
            if server in self._pending_load_reads:
                continue
            self._pending_load_reads.add(server)
            self._engine_workers.submit(self._read_load, service, server)

    def _read_load(self, service: str, server: str) -> None:
        engine = self._find_engine(server)
        load = None
        if engine is not None:
            load = engine.load().ok()
        message = _LoadResult(service, server, load, self._timers.now())
        self.actor_ref.tell(message)

    def _call_platform(self, service: str, intent) -> None:
        result = run_intent(self._platform, intent)
        self.actor_ref.tell(_PlatformResult(service, intent, result))

    def _send_order(self, service: str, intent: OrderIntent) -> None:
        engine = self._find_engine(intent.server)
        if engine is None:
            error = EngineError(EngineErrorKind.UNREACHABLE, "server is not listed")
        elif self._timers.now() >= intent.not_after:
            # The order waited for a thread until another host may hold the lease.
            error = EngineError(EngineErrorKind.UNREACHABLE, "lease may have expired")
        else:
            error = engine.order(intent.order).err()
        self.actor_ref.tell(_OrderResult(service, intent, error))

    def _handle_load(self, service, server, load, received_at) -> None:
        self._pending_load_reads.discard(server)
        reconciler = self._reconcilers.get(service)
        if reconciler is None or load is None:
            return
        reconciler.record_report(self._to_report(server, load, received_at))

    def _to_report(self, server: str, load: LoadReport, received_at: float):
        accepted = self._accepted_targets.setdefault(server, _AcceptedTargets())
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

    def _handle_order_result(self, service, intent, error, now: float) -> None:
        reconciler = self._reconcilers.get(service)
        if reconciler is None:
            return
        if error is None:
            accepted = self._accepted_targets.setdefault(
                intent.server, _AcceptedTargets()
            )
            accepted.record(intent.order.kind, intent.order.argument)
        reconciler.handle_result(intent, error, now)

    def _release_leases(self, now: float) -> bool:
        self._is_leaving = True
        all_released = True
        for reconciler in self._reconcilers.values():
            if not reconciler.lease.is_held(now):
                continue
            if reconciler.is_idle(now):
                reconciler.lease.release(now)
            else:
                all_released = False
        return all_released


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
    """Start the actor, subscribe it to ticks and return it."""
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
