"""Describe the world of a deployment as plain data."""

from sesameport.world.calls import (
    CompletionRequest,
    Execution,
    PlainRequest,
    Refusal,
    RefusalType,
    Usage,
)
from sesameport.world.contracts import (
    LatencyTargets,
    Model,
    RegionShare,
    Route,
    ServerClass,
    ServiceDocument,
    ServiceKind,
    Urgency,
    Workspace,
)
from sesameport.world.findings import Finding, format_findings
from sesameport.world.places import (
    BackendServer,
    DataCentre,
    Host,
    Link,
    ServerRole,
    ServerState,
)

__all__ = [
    "BackendServer",
    "CompletionRequest",
    "DataCentre",
    "Execution",
    "Finding",
    "Host",
    "LatencyTargets",
    "Link",
    "Model",
    "PlainRequest",
    "Refusal",
    "RefusalType",
    "RegionShare",
    "Route",
    "ServerClass",
    "ServerRole",
    "ServerState",
    "ServiceDocument",
    "ServiceKind",
    "Urgency",
    "Usage",
    "Workspace",
    "format_findings",
]
