"""Describe leases for the status page."""

from sesameport.fleet.leases import Lease
from sesameport.telemetry.status import LeaseStatus

__all__ = ["describe_lease"]


def describe_lease(lease: Lease, now: float) -> LeaseStatus:
    """Return the status of a lease that has a stored record."""
    record = lease.record
    remaining_s = lease.held_for_s(now) if lease.is_held(now) else None
    name = f"{lease.kind} {lease.name}"
    return LeaseStatus(name, record.holder, record.epoch, remaining_s)
