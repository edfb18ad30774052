"""Decide on the admission and placement of requests, without any I/O.

Functions and classes receive the current time and typed inputs and return decisions.
The daemon and the load simulations in tests therefore run the same code.
"""

from sesameport.admission.fleet_use import FleetUse, ServerUse
from sesameport.admission.forecast import forecast_wait_s
from sesameport.admission.placement import (
    Generation,
    Placement,
    PlacementPolicy,
    Shortage,
    choose_generation,
    choose_plain,
    expected_output,
    kv_tokens,
)
from sesameport.admission.quota import FleetQuota, QuotaVerdict
from sesameport.admission.retry_budget import RetryBudget
from sesameport.admission.roles import RolePlan, RolePlanner, WorkMix
from sesameport.admission.routes import RouteTable
from sesameport.admission.server_health import ServerHealth
from sesameport.admission.server_registry import ServerDirectory
from sesameport.admission.waiting_queue import (
    RefusalTimes,
    Waiter,
    WaitingPolicy,
    WaitingRoom,
    WaitingTokens,
)

__all__ = [
    "FleetQuota",
    "FleetUse",
    "Generation",
    "Placement",
    "PlacementPolicy",
    "QuotaVerdict",
    "RefusalTimes",
    "RetryBudget",
    "RolePlan",
    "RolePlanner",
    "RouteTable",
    "ServerDirectory",
    "ServerHealth",
    "ServerUse",
    "Shortage",
    "Waiter",
    "WaitingPolicy",
    "WaitingRoom",
    "WaitingTokens",
    "WorkMix",
    "choose_generation",
    "choose_plain",
    "expected_output",
    "forecast_wait_s",
    "kv_tokens",
]
