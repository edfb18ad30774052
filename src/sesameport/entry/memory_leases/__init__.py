"""Lease decode memory of engines before prompts are prefilled."""

from sesameport.entry.memory_leases.handler import (
    MAX_LEASE_REFUSALS,
    MemoryLeaseHandler,
)
from sesameport.entry.memory_leases.planner import LeasePlanner

__all__ = ["MAX_LEASE_REFUSALS", "LeasePlanner", "MemoryLeaseHandler"]
