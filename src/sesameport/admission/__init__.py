"""Decide on the admission and placement of requests, without any I/O.

Functions and classes receive the current time and typed inputs and return decisions.
The daemon and the load simulations in tests therefore run the same code.
"""

from sesameport.admission.cold_servers import (
    ColdBounds,
    ColdReport,
    ColdServers,
)
from sesameport.admission.crash_suspects import CrashSuspects, Judgement
from sesameport.admission.evacuations import Evacuations
from sesameport.admission.fleet_use import FleetUse, ServerUse
from sesameport.admission.forecast import forecast_fit_s, forecast_wait_s
from sesameport.admission.home_regions import combine_regions, filter_by_region
from sesameport.admission.kept_prefixes import (
    KeptPrefixes,
    PrefixPart,
    PrefixReport,
    prefix_parts,
)
from sesameport.admission.memory_leases import LeasePolicy, RefusedMemory, plan_lease
from sesameport.admission.permits import (
    COLD_PACING,
    Grant,
    PermitIssuer,
    PermitStock,
    choose_issuer,
)
from sesameport.admission.placement import (
    GenerationRequest,
    Placement,
    Shortage,
    place_generation,
)
from sesameport.admission.placement_policy import PlacementPolicy
from sesameport.admission.plain_placement import choose_plain_server
from sesameport.admission.predictions import NO_PREDICTIONS, Predictions
from sesameport.admission.prefill_timeouts import DEFAULT_TIMEOUTS, PrefillTimeouts
from sesameport.admission.prefix_affinity import (
    prefix_preference,
    shared_parts,
    typical_speed,
)
from sesameport.admission.quota import FleetQuota, QuotaDecision
from sesameport.admission.request_limits import RequestLimits
from sesameport.admission.request_size import (
    expected_output_tokens,
    reserved_kv_tokens,
)
from sesameport.admission.retry_budget import WindowedRetryBudget
from sesameport.admission.retry_pool import STARTING_S, RetryPool
from sesameport.admission.roles import RolePlan, RolePlanner, WorkloadMix
from sesameport.admission.routes import RouteTable
from sesameport.admission.server_health import ServerHealth
from sesameport.admission.server_notices import NoticeReport, ServerNotices
from sesameport.admission.server_registry import EXPIRY_GRACE_S, ServerRegistry
from sesameport.admission.server_speeds import ServerSpeeds
from sesameport.admission.speed_estimates import SpeedMeasure, SpeedReport
from sesameport.admission.suspect_groups import SuspectGroup, SuspectReport
from sesameport.admission.trickle import Trickle
from sesameport.admission.urgency import clamp_rank, ranked_services
from sesameport.admission.urgent_memory import (
    UrgentMemory,
    UrgentMemoryPolicy,
    with_extra_share,
)
from sesameport.admission.version_lag import VersionLag
from sesameport.admission.waiting_queue import (
    RetryAfterPolicy,
    WaitingPolicy,
    WaitingQueue,
    WaitingRequest,
    WaitingTokens,
)

__all__ = [
    "EXPIRY_GRACE_S",
    "COLD_PACING",
    "ColdBounds",
    "ColdReport",
    "ColdServers",
    "CrashSuspects",
    "DEFAULT_TIMEOUTS",
    "Evacuations",
    "FleetQuota",
    "FleetUse",
    "GenerationRequest",
    "Grant",
    "Judgement",
    "KeptPrefixes",
    "LeasePolicy",
    "NO_PREDICTIONS",
    "NoticeReport",
    "PermitIssuer",
    "PermitStock",
    "Placement",
    "PlacementPolicy",
    "Predictions",
    "PrefillTimeouts",
    "PrefixPart",
    "PrefixReport",
    "QuotaDecision",
    "RefusedMemory",
    "RequestLimits",
    "RetryAfterPolicy",
    "RetryPool",
    "WindowedRetryBudget",
    "RolePlan",
    "RolePlanner",
    "RouteTable",
    "ServerRegistry",
    "ServerHealth",
    "ServerNotices",
    "ServerSpeeds",
    "ServerUse",
    "Shortage",
    "STARTING_S",
    "SpeedMeasure",
    "SpeedReport",
    "SuspectGroup",
    "SuspectReport",
    "Trickle",
    "UrgentMemory",
    "UrgentMemoryPolicy",
    "VersionLag",
    "WaitingRequest",
    "WaitingPolicy",
    "WaitingQueue",
    "WaitingTokens",
    "WorkloadMix",
    "place_generation",
    "plan_lease",
    "choose_issuer",
    "choose_plain_server",
    "combine_regions",
    "clamp_rank",
    "expected_output_tokens",
    "filter_by_region",
    "forecast_fit_s",
    "forecast_wait_s",
    "prefix_parts",
    "prefix_preference",
    "ranked_services",
    "reserved_kv_tokens",
    "with_extra_share",
    "shared_parts",
    "typical_speed",
]
