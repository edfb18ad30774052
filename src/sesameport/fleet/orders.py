"""Decide the orders that bring servers to the state their document asks for.

One control task per service and data centre runs on the host that holds its lease.
Orders state a target, so repeating one does no harm. A server has at most one order in
flight. The module does no I/O: `ControlTask.due` returns orders and
`ControlTask.answered` takes their outcomes.
"""

import attrs

from sesameport.fleet.leases import Lease
from sesameport.fleet.roles import RolePlanner, RoleSettings, ServerLoad
from sesameport.interfaces import EngineError, EngineErrorKind, Order, OrderKind
from sesameport.world import BackendServer, ServerRole, ServerState, ServiceDocument

__all__ = ["ControlTask", "OrderIntent", "OrderSettings", "ServerReport"]

_LOADS = (OrderKind.LOAD_MODEL, OrderKind.LOAD_ADAPTER)


@attrs.frozen
class OrderSettings:
    """Give the bounds of orders.

    Attributes
    ----------
    call_bound_s : float
        Longest time from the check of the lease to the effect of an order, seconds:
        the adapter's timeout plus the longest time that a sent call may lie in a
        buffer.
    load_bound_s : float
        Time after which a load that is not reported counts as failed, seconds.
    retry_s, longest_retry_s : float
        First and longest time between two tries of one order, seconds.
    """

    call_bound_s: float = 5.0
    load_bound_s: float = 300.0
    retry_s: float = 1.0
    longest_retry_s: float = 60.0


@attrs.frozen
class ServerReport:
    """Hold what one server reports about itself.

    Attributes
    ----------
    server : str
        Name of the backend server.
    models : tuple of str
        ``model@version`` of the loaded models.
    adapters : tuple of str
        ``model:adapter`` of the loaded adapters.
    role : ServerRole
        Role that the server has now.
    draining : bool
        Whether the server takes no new work.
    running, waiting, slots : int
        Requests that run and wait, and that may run at once.
    prefill_queue_tokens : int
        Prompt tokens that wait for prefill.
    measured_at : float
        Time at which the report held, seconds.
    """

    server: str
    models: tuple[str, ...]
    adapters: tuple[str, ...]
    role: ServerRole
    draining: bool = False
    running: int = 0
    waiting: int = 0
    slots: int = 1
    prefill_queue_tokens: int = 0
    measured_at: float = 0.0


@attrs.frozen
class OrderIntent:
    """Ask to give one order.

    The order may be sent only before ``not_after``; the worker checks the clock again
    right before it sends. Afterwards another host may hold the lease.
    """

    server: str
    order: Order
    not_after: float


@attrs.define
class _Slot:
    order: Order
    sent_at: float
    blocked_until: float
    is_answered: bool = False


@attrs.define
class _Failure:
    count: int
    retry_at: float


@attrs.define
class ControlTask:
    """Order the servers of one service in one data centre while holding its lease.

    Parameters
    ----------
    data_centre : str
        Data centre of the servers.
    lease : Lease
        Lease of this service and data centre; its epoch is the fencing number.
    cfg : OrderSettings
        Bounds.
    role_cfg : RoleSettings
        Thresholds of role changes.
    """

    data_centre: str
    lease: Lease
    cfg: OrderSettings = OrderSettings()
    role_cfg: RoleSettings = RoleSettings()
    doc: ServiceDocument | None = None
    last_reason: str = ""
    _servers: dict[str, BackendServer] = attrs.field(factory=dict)
    _reports: dict[str, ServerReport] = attrs.field(factory=dict)
    _slots: dict[str, _Slot] = attrs.field(factory=dict)
    _failures: dict[tuple[str, OrderKind, str], _Failure] = attrs.field(factory=dict)
    _roles: dict[str, ServerRole] = attrs.field(factory=dict)
    _planner: RolePlanner | None = None
    _epoch: int = 0
    _order_number: int = 0

    def set_document(self, doc: ServiceDocument | None) -> None:
        """Put a new document version in force."""
        self.doc = doc
        if doc is not None:
            self._planner = RolePlanner(doc.targets.first_token_s, self.role_cfg)

    def set_servers(self, servers: tuple[BackendServer, ...]) -> None:
        """Take the platform's list; servers of other places are left out."""
        self._servers = {
            server.name: server
            for server in servers
            if self.doc is not None
            and server.service == self.doc.name
            and server.data_centre == self.data_centre
            and server.role != ServerRole.PLAIN
        }
        for known in (self._reports, self._roles):
            for name in [name for name in known if name not in self._servers]:
                del known[name]

    def server_names(self) -> list[str]:
        """List the servers that this task orders."""
        return sorted(self._servers)

    def has_servers(self) -> bool:
        """Tell whether there is anything to order."""
        return bool(self._servers)

    def take_report(self, report: ServerReport) -> None:
        """Take a server's report; older ones than the last are ignored."""
        last = self._reports.get(report.server)
        if last is not None and report.measured_at < last.measured_at:
            return
        self._reports[report.server] = report

    def is_quiet(self, now: float) -> bool:
        """Tell whether no order can take effect any more, so the lease may go."""
        return all(
            slot.is_answered or now >= slot.blocked_until
            for slot in self._slots.values()
        )

    def due(self, now: float) -> list[OrderIntent]:
        """Return the orders to send now."""
        if not self.lease.is_held(now) or self.doc is None:
            self._epoch = 0
            return []
        if self._epoch != self.lease.epoch:
            self._start_epoch()
        self._free_slots(now)
        self._plan_roles(now)
        room = self.doc.weight_store_loads_at_once - sum(
            slot.order.kind in _LOADS for slot in self._slots.values()
        )
        intents = []
        for name in sorted(self._servers):
            if name in self._slots or not self._may_order(name, now):
                continue
            target = self._next_target(name, now, room > 0)
            if target is None:
                continue
            kind, argument = target
            room -= kind in _LOADS
            intents.append(self._issue(name, kind, argument, now))
        return intents

    def answered(
        self, intent: OrderIntent, error: EngineError | None, now: float
    ) -> None:
        """Take the outcome of an order; None means that the server accepted it."""
        slot = self._slots.get(intent.server)
        if slot is None or slot.order.order_id != intent.order.order_id:
            return
        key = (intent.server, intent.order.kind, intent.order.argument)
        if error is None:
            slot.is_answered = True
            self._failures.pop(key, None)
            # Until a report made after the answer shows the target, it is under way.
            slot.sent_at = now
            return
        if error.kind == EngineErrorKind.FENCED:
            self.lease.step_down()
            return
        failure = self._failures.setdefault(key, _Failure(0, 0.0))
        failure.count += 1
        wait = self.cfg.retry_s * 2.0 ** min(failure.count - 1, 10)
        failure.retry_at = now + min(self.cfg.longest_retry_s, wait)
        if error.execution() == "not-run":
            del self._slots[intent.server]
        # Otherwise the order may still take effect, so the slot stays until its bound.

    def _start_epoch(self) -> None:
        self._epoch = self.lease.epoch
        self._slots.clear()
        self._failures.clear()
        self._roles.clear()
        self.set_document(self.doc)

    def _may_order(self, name: str, now: float) -> bool:
        if name not in self._reports:
            return False
        if self._class_of(name).checks_fencing:
            return True
        # A call to a server that ignores fencing numbers must end within the hold, or
        # it could take effect after an order of the next holder.
        stopped_at = self.lease.earlier_holders_stopped_at(self.cfg.call_bound_s)
        return stopped_at is not None and now >= stopped_at

    def _class_of(self, name: str):
        wanted = self._servers[name].server_class
        for item in self.doc.server_classes:
            if item.name == wanted:
                return item
        return _UNKNOWN_CLASS

    def _next_target(
        self, name: str, now: float, may_load: bool
    ) -> tuple[OrderKind, str] | None:
        for kind, argument in self._missing(name):
            failure = self._failures.get((name, kind, argument))
            if failure is not None and now < failure.retry_at:
                continue
            if kind in _LOADS and not may_load:
                continue
            return kind, argument
        return None

    def _missing(self, name: str) -> list[tuple[OrderKind, str]]:
        report = self._reports[name]
        leaving = self._servers[name].state == ServerState.LEAVING
        if leaving != report.draining:
            return [(OrderKind.DRAIN, "on" if leaving else "off")]
        if leaving:
            return []
        missing = []
        role = self._roles.get(name, report.role)
        if role != report.role:
            missing.append((OrderKind.SET_ROLE, str(role)))
        for model in self.doc.models:
            wanted = f"{model.name}@{model.version}"
            if wanted not in report.models:
                missing.append((OrderKind.LOAD_MODEL, wanted))
                continue
            missing.extend(
                (OrderKind.LOAD_ADAPTER, f"{model.name}:{adapter}")
                for adapter in model.adapters
                if f"{model.name}:{adapter}" not in report.adapters
            )
        return missing

    def _plan_roles(self, now: float) -> None:
        if any(slot.order.kind == OrderKind.SET_ROLE for slot in self._slots.values()):
            return
        loads = []
        for name, server in self._servers.items():
            report = self._reports.get(name)
            if report is None or server.state == ServerState.LEAVING:
                continue
            role = self._roles.get(name, report.role)
            if role not in (ServerRole.PREFILL, ServerRole.DECODE):
                continue
            speed = self._class_of(name).prefill_tokens_per_s
            loads.append(
                ServerLoad(
                    name,
                    role,
                    report.running,
                    report.waiting,
                    report.slots,
                    report.prefill_queue_tokens / speed,
                )
            )
        change = self._planner.decide(loads, now)
        if change is not None:
            self._roles[change.server] = change.role
            self.last_reason = f"{change.server} to {change.role}: {change.reason}"

    def _issue(
        self, name: str, kind: OrderKind, argument: str, now: float
    ) -> OrderIntent:
        self._order_number += 1
        order = Order(
            kind, argument, self._epoch, f"{self._epoch}.{self._order_number}"
        )
        bound = now + self.cfg.call_bound_s
        self._slots[name] = _Slot(order, now, bound)
        return OrderIntent(name, order, now + self.lease.remaining_s(now))

    def _free_slots(self, now: float) -> None:
        for name, slot in list(self._slots.items()):
            if name not in self._servers:
                del self._slots[name]
                continue
            report = self._reports.get(name)
            target = (slot.order.kind, slot.order.argument)
            if slot.is_answered:
                fresh = report is not None and report.measured_at >= slot.sent_at
                reached = fresh and target not in self._missing(name)
                bound = self.cfg.load_bound_s
                if slot.order.kind not in _LOADS:
                    bound = self.cfg.call_bound_s
                if reached or now >= slot.sent_at + bound:
                    del self._slots[name]
            elif now >= slot.blocked_until:
                del self._slots[name]


@attrs.frozen
class _UnknownClass:
    checks_fencing: bool = False
    prefill_tokens_per_s: float = 8_000.0


_UNKNOWN_CLASS = _UnknownClass()
