"""Reconcile backend servers with the state that their service document specifies.

One `ServerReconciler` per service and data centre runs on the host with the lease.
Orders state a target and are idempotent. A server has at most one order in flight.
The module does no I/O: the caller sends the orders that it returns and reports their
outcomes.
"""

import attrs

from sesameport.domain import BackendServer, ServerRole, ServerState, ServiceDocument
from sesameport.fleet.leases import Lease
from sesameport.fleet.roles import RoleRebalancer, RoleSettings, ServerRoleLoad
from sesameport.interfaces import EngineError, EngineErrorKind, Order, OrderKind

__all__ = ["ServerReconciler", "OrderIntent", "OrderSettings", "ServerReport"]

_LOAD_KINDS = (OrderKind.LOAD_MODEL, OrderKind.LOAD_ADAPTER)


@attrs.frozen
class OrderSettings:
    """Configure timeouts and retries of orders.

    Attributes
    ----------
    call_bound_s : float
        Longest time from the check of the lease to the effect of an order, seconds:
        the adapter's timeout plus the longest time that a sent call may stay in a
        buffer.
    load_timeout_s : float
        Time after which an accepted load that the server does not report is considered
        failed, seconds.
    retry_s, max_retry_s : float
        First and longest time between two attempts of one order, seconds.
    """

    call_bound_s: float = 5.0
    load_timeout_s: float = 300.0
    retry_s: float = 1.0
    max_retry_s: float = 60.0


@attrs.frozen
class ServerReport:
    """Represent the reported state of one backend server.

    Attributes
    ----------
    server : str
        Name of the backend server.
    models : tuple of str
        ``model@version`` of the loaded models.
    adapters : tuple of str
        ``model:adapter`` of the loaded adapters.
    role : ServerRole
        Current role of the server.
    draining : bool
        Whether the server accepts no new work.
    running, waiting, slots : int
        Running and waiting requests, and the maximum of running ones.
    prefill_queue_tokens : int
        Prompt tokens waiting for prefill.
    measured_at : float
        Local time that the report describes, seconds.
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
    """Request that a worker sends one order to a server.

    The order may be sent only before ``not_after``, because another host may hold the
    lease afterwards. The worker checks the clock again right before sending.
    """

    server: str
    order: Order
    not_after: float


@attrs.define
class _OpenOrder:
    order: Order
    sent_at: float
    blocked_until: float
    is_answered: bool = False


@attrs.define
class _RetryState:
    count: int
    retry_at: float


@attrs.define
class ServerReconciler:
    """Reconcile the servers of one service in one data centre while holding its lease.

    Parameters
    ----------
    data_centre : str
        Data centre of the servers.
    lease : Lease
        Lease of this service and data centre; its epoch is the fencing number.
    cfg : OrderSettings
        Timeouts and retries.
    role_cfg : RoleSettings
        Thresholds of role changes.
    doc : ServiceDocument or None
        Document to apply; None sends no orders.
    """

    data_centre: str
    lease: Lease
    cfg: OrderSettings = OrderSettings()
    role_cfg: RoleSettings = RoleSettings()
    doc: ServiceDocument | None = None
    last_reason: str = ""
    _servers: dict[str, BackendServer] = attrs.field(factory=dict)
    _reports: dict[str, ServerReport] = attrs.field(factory=dict)
    _open_orders: dict[str, _OpenOrder] = attrs.field(factory=dict)
    _retries: dict[tuple[str, OrderKind, str], _RetryState] = attrs.field(factory=dict)
    _roles: dict[str, ServerRole] = attrs.field(factory=dict)
    _planner: RoleRebalancer | None = None
    _epoch: int = 0
    _order_number: int = 0

    def set_document(self, doc: ServiceDocument | None) -> None:
        """Set the document to apply; None stops the orders."""
        self.doc = doc
        if doc is not None:
            self._planner = RoleRebalancer(doc.targets.first_token_s, self.role_cfg)

    def set_servers(self, servers: tuple[BackendServer, ...]) -> None:
        """Apply the platform's server list, filtered by service and data centre."""
        self._servers = {
            server.name: server
            for server in servers
            if self.doc is not None
            and server.service == self.doc.name
            and server.data_centre == self.data_centre
            and server.role != ServerRole.PLAIN
        }
        for by_server in (self._reports, self._roles):
            for name in [name for name in by_server if name not in self._servers]:
                del by_server[name]

    def server_names(self) -> list[str]:
        """Return the names of the controlled servers, sorted."""
        return sorted(self._servers)

    def has_servers(self) -> bool:
        """Return whether there is a server to control."""
        return bool(self._servers)

    def record_report(self, report: ServerReport) -> None:
        """Record a server's report; reports older than the last are ignored."""
        last = self._reports.get(report.server)
        if last is not None and report.measured_at < last.measured_at:
            return
        self._reports[report.server] = report

    def is_idle(self, now: float) -> bool:
        """Return whether no sent order can still take effect.

        The lease may then be released.
        """
        return all(
            open_order.is_answered or now >= open_order.blocked_until
            for open_order in self._open_orders.values()
        )

    def next_orders(self, now: float) -> list[OrderIntent]:
        """Return the orders to send now."""
        if not self.lease.is_held(now) or self.doc is None:
            self._epoch = 0
            return []
        if self._epoch != self.lease.epoch:
            self._start_epoch()
        self._close_finished_orders(now)
        self._plan_roles(now)
        load_capacity = self.doc.weight_store_loads_at_once - sum(
            open_order.order.kind in _LOAD_KINDS
            for open_order in self._open_orders.values()
        )
        intents = []
        for name in sorted(self._servers):
            if name in self._open_orders or not self._may_order(name, now):
                continue
            target = self._next_target(name, now, load_capacity > 0)
            if target is None:
                continue
            kind, argument = target
            load_capacity -= kind in _LOAD_KINDS
            intents.append(self._create_intent(name, kind, argument, now))
        return intents

    def handle_result(
        self, intent: OrderIntent, error: EngineError | None, now: float
    ) -> None:
        """Handle the outcome of an order; None means that the server accepted it."""
        open_order = self._open_orders.get(intent.server)
        if open_order is None or open_order.order.order_id != intent.order.order_id:
            return
        key = (intent.server, intent.order.kind, intent.order.argument)
        if error is None:
            open_order.is_answered = True
            self._retries.pop(key, None)
            # The order stays open until a report made after the answer shows it.
            open_order.sent_at = now
            return
        if error.kind == EngineErrorKind.FENCED:
            self.lease.step_down()
            return
        retry = self._retries.setdefault(key, _RetryState(0, 0.0))
        retry.count += 1
        wait = self.cfg.retry_s * 2.0 ** min(retry.count - 1, 10)
        retry.retry_at = now + min(self.cfg.max_retry_s, wait)
        if error.execution() == "not-run":
            del self._open_orders[intent.server]
        # Otherwise the order may still take effect, so it stays open until
        # `blocked_until`.

    def _start_epoch(self) -> None:
        self._epoch = self.lease.epoch
        self._open_orders.clear()
        self._retries.clear()
        self._roles.clear()
        self.set_document(self.doc)

    def _may_order(self, name: str, now: float) -> bool:
        if name not in self._reports:
            return False
        if self._server_class_of(name).checks_fencing:
            return True
        # A server that ignores fencing numbers would also execute a delayed order of an
        # earlier holder. Wait until no such order can still take effect.
        stopped_at = self.lease.earlier_holders_stopped_at(self.cfg.call_bound_s)
        return stopped_at is not None and now >= stopped_at

    def _server_class_of(self, name: str):
        class_name = self._servers[name].server_class
        for server_class in self.doc.server_classes:
            if server_class.name == class_name:
                return server_class
        return _UNKNOWN_CLASS

    def _next_target(
        self, name: str, now: float, may_load: bool
    ) -> tuple[OrderKind, str] | None:
        for kind, argument in self._unmet_targets(name):
            retry = self._retries.get((name, kind, argument))
            if retry is not None and now < retry.retry_at:
                continue
            if kind in _LOAD_KINDS and not may_load:
                continue
            return kind, argument
        return None

    def _unmet_targets(self, name: str) -> list[tuple[OrderKind, str]]:
        report = self._reports[name]
        is_leaving = self._servers[name].state == ServerState.LEAVING
        if is_leaving != report.draining:
            return [(OrderKind.DRAIN, "on" if is_leaving else "off")]
        if is_leaving:
            return []
        unmet = []
        role = self._roles.get(name, report.role)
        if role != report.role:
            unmet.append((OrderKind.SET_ROLE, str(role)))
        for model in self.doc.models:
            versioned = f"{model.name}@{model.version}"
            if versioned not in report.models:
                unmet.append((OrderKind.LOAD_MODEL, versioned))
                continue
            unmet.extend(
                (OrderKind.LOAD_ADAPTER, f"{model.name}:{adapter}")
                for adapter in model.adapters
                if f"{model.name}:{adapter}" not in report.adapters
            )
        return unmet

    def _plan_roles(self, now: float) -> None:
        if any(
            open_order.order.kind == OrderKind.SET_ROLE
            for open_order in self._open_orders.values()
        ):
            return
        loads = []
        for name, server in self._servers.items():
            report = self._reports.get(name)
            if report is None or server.state == ServerState.LEAVING:
                continue
            role = self._roles.get(name, report.role)
            if role not in (ServerRole.PREFILL, ServerRole.DECODE):
                continue
            speed = self._server_class_of(name).prefill_tokens_per_s
            loads.append(
                ServerRoleLoad(
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

    def _create_intent(
        self, name: str, kind: OrderKind, argument: str, now: float
    ) -> OrderIntent:
        self._order_number += 1
        order = Order(
            kind, argument, self._epoch, f"{self._epoch}.{self._order_number}"
        )
        bound = now + self.cfg.call_bound_s
        self._open_orders[name] = _OpenOrder(order, now, bound)
        return OrderIntent(name, order, now + self.lease.remaining_s(now))

    def _close_finished_orders(self, now: float) -> None:
        for name, open_order in list(self._open_orders.items()):
            if name not in self._servers:
                del self._open_orders[name]
                continue
            report = self._reports.get(name)
            target = (open_order.order.kind, open_order.order.argument)
            if open_order.is_answered:
                is_fresh = (
                    report is not None and report.measured_at >= open_order.sent_at
                )
                is_reached = is_fresh and target not in self._unmet_targets(name)
                bound = self.cfg.load_timeout_s
                if open_order.order.kind not in _LOAD_KINDS:
                    bound = self.cfg.call_bound_s
                if is_reached or now >= open_order.sent_at + bound:
                    del self._open_orders[name]
            elif now >= open_order.blocked_until:
                del self._open_orders[name]


@attrs.frozen
class _UnknownClass:
    checks_fencing: bool = False
    prefill_tokens_per_s: float = 8_000.0


_UNKNOWN_CLASS = _UnknownClass()
