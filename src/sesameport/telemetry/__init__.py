"""Provide logs, metrics, decision records, service-level objectives and reports.

`sesameport.telemetry.plots` is not imported here because it needs matplotlib, which is
optional.
"""

from sesameport.telemetry.burn import (
    BUDGET_PERIOD_S,
    WINDOW_LENGTHS_S,
    BurnCounters,
    BurnSnapshot,
    ServiceCounts,
    ServiceSnapshot,
    WorkspaceCounts,
    merge_snapshots,
)
from sesameport.telemetry.decisions import (
    DecisionKind,
    DecisionRecord,
    DecisionRing,
)
from sesameport.telemetry.logs import (
    JsonLineHandler,
    bind_request,
    get_logger,
    redact_secrets,
)
from sesameport.telemetry.metrics import (
    METRICS,
    MetricDefinition,
    Metrics,
)
from sesameport.telemetry.objectives import (
    BURN_RULES,
    Budget,
    BurnAlert,
    BurnRule,
    ServiceReport,
    Severity,
    WorkspaceReport,
    burn_rate,
    evaluate_objectives,
    max_min_shares,
)
from sesameport.telemetry.outcomes import (
    Outcome,
    OutcomeKind,
)
from sesameport.telemetry.recorder import (
    Recorder,
)
from sesameport.telemetry.report import (
    FleetReport,
    make_report,
    to_html,
    to_json,
    to_text,
)
from sesameport.telemetry.status import (
    DocumentStatus,
    HoldStatus,
    HostStatus,
    LeaseStatus,
    MemberStatus,
    ShareStatus,
    decode_status,
    encode_status,
)
from sesameport.telemetry.status_api import StatusApi

__all__ = [
    "BURN_RULES",
    "METRICS",
    "BUDGET_PERIOD_S",
    "WINDOW_LENGTHS_S",
    "Budget",
    "BurnAlert",
    "BurnCounters",
    "BurnRule",
    "BurnSnapshot",
    "DecisionKind",
    "DecisionRecord",
    "DecisionRing",
    "DocumentStatus",
    "FleetReport",
    "HoldStatus",
    "HostStatus",
    "JsonLineHandler",
    "LeaseStatus",
    "MemberStatus",
    "MetricDefinition",
    "Metrics",
    "Outcome",
    "OutcomeKind",
    "Recorder",
    "ServiceCounts",
    "ServiceReport",
    "ServiceSnapshot",
    "Severity",
    "StatusApi",
    "ShareStatus",
    "WorkspaceCounts",
    "WorkspaceReport",
    "bind_request",
    "burn_rate",
    "decode_status",
    "encode_status",
    "get_logger",
    "evaluate_objectives",
    "make_report",
    "merge_snapshots",
    "redact_secrets",
    "max_min_shares",
    "to_html",
    "to_json",
    "to_text",
]
