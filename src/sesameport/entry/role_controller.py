"""Order role changes of engines, under a lease that one host holds at a time."""

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
    next_epoch,
)
from sesameport.domain import ServerRole
from sesameport.entry.servers import EntryServer
from sesameport.entry.store_era import StoreEra
from sesameport.interfaces import Platform, PlatformErrorKind
from sesameport.telemetry.logs import get_logger

__all__ = [
    "LEASE_KIND",
    "LEASE_NAME",
    "RoleChange",
    "RoleController",
    "EngineOrderClient",
]

LEASE_KIND = "entry-leases"
LEASE_NAME = "role-orders"

ORDER_INTERVAL_PER_ENGINE_S = 36.0
"""The interval between two orders is this time divided by the number of engines,
seconds. An engine is unavailable for about six seconds, so at most one in six is
unavailable at a time."""

IDLE_LEASE_PERIODS = 2.0
"""Number of lease times for which the lease record must be unchanged before another
host takes over the lease."""

log = get_logger("roles")


@attrs.frozen
class RoleChange:
    """Describe a role change of an engine.

    Attributes
    ----------
    server : EntryServer
        Engine that changes its role.
    role : ServerRole
        New role.
    engines : int
        Number of engines of the service.
    is_urgent : bool
        Whether no engine has the role, so the order skips the interval between orders.
    """

    server: EntryServer
    role: ServerRole
    engines: int = 1
    is_urgent: bool = False


@attrs.frozen
class EngineState:
    """Represent the state that an engine reports about its role.

    ``orders_taken`` is the number of orders accepted since the engine started. Each
    order carries it as a precondition, so an order that arrives late has no effect.
    """

    role: ServerRole
    is_changing: bool
    orders_taken: int


class EngineOrderClient(Protocol):
    """Read the state of engines and send them orders."""

    def read_state(self, server: EntryServer) -> Result[EngineState, str]:
        """Return the state of an engine, or an Err with the reason."""
        ...

    def change_role(
        self, change: RoleChange, holder: str, epoch: int, orders_taken: int
    ) -> Result[str, str]:
        """Order a role change; return the engine's reply, or an Err with the reason."""
        ...


class RoleController:
    """Order the selected role changes under a lease shared by all hosts.

    Parameters
    ----------
    host : str
        Name of this host.
    lease_s : float
        Minimum time between orders of two hosts, seconds.
    platform : Platform
        Store that holds the lease record; it returns an `EraObject` for each object.
    orders : EngineOrderClient
        Sends orders to engines.
    next_change : callable
        Returns the next `RoleChange` or None.
    on_ordered : callable
        Called with each change that an engine accepted.
    metrics : Metrics
        Counts orders.
    era : StoreEra or None
        Era of the store, None if it states none. A lease of an earlier era is none.
    """

    def __init__(
        self,
        host: str,
        lease_s: float,
        platform: Platform,
        orders: EngineOrderClient,
        next_change: Callable[[], RoleChange | None],
        on_ordered: Callable[[RoleChange], None],
        metrics,
        era: StoreEra | None = None,
    ):
        self._era = era or StoreEra()
        self._host = host
        self._lease = OrderLease(host, IDLE_LEASE_PERIODS * lease_s)
        self._platform = platform
        self._orders = orders
        self._next_change = next_change
        self._on_ordered = on_ordered
        self._metrics = metrics
        self._run_lock = threading.Lock()

    def set_lease_time(self, lease_s: float) -> None:
        """Set the lease time, seconds."""
        self._lease.takeover_after_s = IDLE_LEASE_PERIODS * lease_s

    def run_once(self) -> None:
        """Order the next role change if this host holds or can take the lease."""
        if not self._run_lock.acquire(blocking=False):
            return
        try:
            change = self._next_change()
            if change is not None:
                self._order_change(change)
        finally:
            self._run_lock.release()

    def _order_change(self, change: RoleChange) -> None:
        lease = self._read_lease(change)
        if lease is None:
            return
        record, version, era = lease
        now = self._era.now()
        step = self._lease.next_step(record, version, now, era, self._era.since)
        if step == LeaseStep.WAIT:
            return
        interval_s = (
            0.0 if change.is_urgent else ORDER_INTERVAL_PER_ENGINE_S / change.engines
        )
        if record is not None and 0 <= time.time() - record.ordered_at < interval_s:
            return
        match self._orders.read_state(change.server):
            case Err(reason):
                self._log("engine state not read", change, reason=reason)
                return
            case Ok(state):
                pass
        if state.is_changing or state.role == change.role:
            return
        write_began_at = self._era.now()
        epoch = self._write_lease(step, record, version, era, change)
        if epoch is None:
            return
        if not self._lease.may_send(write_began_at, self._era.now()):
            self._log("order not sent; the lease write took too long", change)
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

    def _read_lease(
        self, change: RoleChange
    ) -> tuple[OrderRecord | None, int, int] | None:
        """Return the record, its version and the era in which it was read, or None."""
        match self._platform.get(LEASE_KIND, LEASE_NAME):
            case Ok(stored):
                lease = decode_record(stored.value), stored.version, stored.era
            case Err(error) if error.kind == PlatformErrorKind.NOT_FOUND:
                lease = None, 0, error.era
            case Err(error):
                self._log("lease not read", change, reason=str(error.kind))
                return None
        era = lease[2]
        if era != self._era.current or era < self._era.highest:
            self._log("lease not read", change, reason=f"it is of the era {era}")
            return None
        return lease

    def _write_lease(self, step, record, version, era, change) -> int | None:
        """Write the lease record conditionally; return its epoch, None on failure.

        The write must be of the era of the record that was read: in a new era, another
        object may have been given the version that is the condition.
        """
        epoch = next_epoch(step, record, version, era)
        if epoch is None:
            reason = f"no fencing number in the era {era} after the version {version}"
            self._log("lease not written", change, step=str(step), reason=reason)
            return None
        value = encode_record(
            OrderRecord(
                self._host, epoch, change.server.name, str(change.role), time.time()
            )
        )
        if step == LeaseStep.CREATE:
            result = self._platform.create(LEASE_KIND, LEASE_NAME, value)
        else:
            result = self._platform.update(LEASE_KIND, LEASE_NAME, value, version)
        match result:
            case Ok(stored) if stored.era == era == self._era.current:
                return epoch
            case Ok(stored):
                reason = f"read in the era {era}, written in {stored.era}"
            case Err(error):
                reason = f"{error.kind} {error.detail}"
        self._log("lease not written", change, step=str(step), reason=reason)
        return None

    def _log(self, event: str, change: RoleChange, **fields) -> None:
        server, role = change.server.name, str(change.role)
        log.info(event, extra={"server": server, "role": role, **fields})
