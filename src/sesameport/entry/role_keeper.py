"""Give orders that change the roles of engines, from one host at a time."""

import threading
import time
from collections.abc import Callable
from typing import Protocol

import attrs
from result import Err, Ok, Result

from sesameport.admission.order_lease import (
    LeaseStep,
    OrderLease,
    OrderRecord,
    decode_record,
    encode_record,
)
from sesameport.entry.servers import EntryServer
from sesameport.interfaces import Platform, PlatformErrorKind
from sesameport.telemetry.logs import get_logger
from sesameport.world import ServerRole

__all__ = ["LEASE_KIND", "LEASE_NAME", "RoleChange", "RoleKeeper", "RoleOrders"]

LEASE_KIND = "entry-leases"
LEASE_NAME = "role-orders"

ORDER_INTERVAL_PER_ENGINE_S = 36.0
"""Time between two orders times the number of engines, seconds. An engine is away for
about six seconds, so that no more than one in six is away at a time."""

IDLE_LEASE_PERIODS = 2.0
"""Lease times for which a record stands unchanged before another host takes it over."""

log = get_logger("roles")


@attrs.frozen
class RoleChange:
    """Name a server that is to change its role, and the engines of its service.

    ``is_urgent`` tells that no engine has the role, so that the order does not wait
    for the usual time between two orders.
    """

    server: EntryServer
    role: ServerRole
    engines: int = 1
    is_urgent: bool = False


@attrs.frozen
class EngineState:
    """Give what an engine says about its orders.

    ``orders_taken`` counts the orders since its start; an order carries it as its
    precondition, so that one that is carried out late has no effect.
    """

    role: ServerRole
    is_changing: bool
    orders_taken: int


class RoleOrders(Protocol):
    """Read the state of engines and order them."""

    def state(self, server: EntryServer) -> Result[EngineState, str]:
        """Read an engine's state."""
        ...

    def change_role(
        self, change: RoleChange, holder: str, epoch: int, orders_taken: int
    ) -> Result[str, str]:
        """Order a change; Ok names what the engine answered."""
        ...


class RoleKeeper:
    """Carry out the changes that the plan asks for.

    Parameters
    ----------
    host : str
        This host.
    lease_s : float
        Time that has to pass between orders of two hosts, seconds.
    platform : Platform
        Store of the lease.
    orders : RoleOrders
        Access to the engines.
    wanted : callable
        Returns the next `RoleChange` or None.
    on_ordered : callable
        Takes a change that an engine has accepted.
    metrics : Metrics
        Counts orders.
    """

    def __init__(
        self,
        host: str,
        lease_s: float,
        platform: Platform,
        orders: RoleOrders,
        next_change: Callable[[], RoleChange | None],
        on_ordered: Callable[[RoleChange], None],
        metrics,
    ):
        self._host = host
        self._lease = OrderLease(host, IDLE_LEASE_PERIODS * lease_s)
        self._platform = platform
        self._orders = orders
        self._next_change = next_change
        self._on_ordered = on_ordered
        self._metrics = metrics
        self._running = threading.Lock()

    def set_lease_time(self, lease_s: float) -> None:
        """Take over a changed lease time, seconds."""
        self._lease.quiet_s = IDLE_LEASE_PERIODS * lease_s

    def run_once(self) -> None:
        """Give the next order, if one is wanted and this host may give it."""
        if not self._running.acquire(blocking=False):
            return
        try:
            change = self._next_change()
            if change is not None:
                self._order_change(change)
        finally:
            self._running.release()

    def _order_change(self, change: RoleChange) -> None:
        record, version = None, 0
        match self._platform.get(LEASE_KIND, LEASE_NAME):
            case Ok(stored):
                record, version = decode_record(stored.value), stored.version
            case Err(error) if error.kind != PlatformErrorKind.NOT_FOUND:
                self._log("lease not read", change, reason=str(error.kind))
                return
        step = self._lease.next_step(record, version, _boottime_s())
        if step == LeaseStep.WAIT:
            return
        spacing_s = (
            0.0 if change.is_urgent else ORDER_INTERVAL_PER_ENGINE_S / change.engines
        )
        if record is not None and 0 <= time.time() - record.ordered_at < spacing_s:
            return
        match self._orders.state(change.server):
            case Err(reason):
                self._log("engine state not read", change, reason=reason)
                return
            case Ok(state):
                pass
        if state.is_changing or state.role == change.role:
            return
        started = _boottime_s()
        epoch = self._write(step, record, version, change)
        if epoch is None:
            return
        if not self._lease.may_send(started, _boottime_s()):
            self._log("order dropped, the lease was written too long ago", change)
            return
        result = self._orders.change_role(change, self._host, epoch, state.orders_taken)
        outcome = result.ok() or "unanswered"
        if outcome == "accepted":
            self._on_ordered(change)
        self._metrics.count("sesameport_role_orders_total", result=outcome)
        self._log(
            "role ordered",
            change,
            outcome=outcome,
            reason=result.err() or "",
            epoch=epoch,
            orders_taken=state.orders_taken,
        )

    def _write(self, step, record, version, change) -> int | None:
        """Write the lease record under a condition; None if that failed."""
        epoch = record.epoch if record else 1
        if step == LeaseStep.TAKE_OVER:
            epoch += 1
        value = encode_record(
            OrderRecord(
                self._host, epoch, change.server.name, str(change.role), time.time()
            )
        )
        if step == LeaseStep.CREATE and version == 0:
            result = self._platform.create(LEASE_KIND, LEASE_NAME, value)
        else:
            result = self._platform.update(LEASE_KIND, LEASE_NAME, value, version)
        match result:
            case Ok(_):
                return epoch
            case Err(error):
                reason = f"{error.kind} {error.detail}"
                self._log("lease not written", change, step=str(step), reason=reason)
                return None

    def _log(self, event: str, change: RoleChange, **fields) -> None:
        server, role = change.server.name, str(change.role)
        log.info(event, extra={"server": server, "role": role, **fields})


def _boottime_s() -> float:
    """Return a time that goes on while the machine is suspended, seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
