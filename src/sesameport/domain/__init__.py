"""Define the data classes of a deployment, its services and its requests."""

from sesameport.domain.findings import Finding, format_findings
from sesameport.domain.requests import (
    CompletionRequest,
    Execution,
    PlainRequest,
    Refusal,
    RefusalType,
    Usage,
)
from sesameport.domain.service_documents import (
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
from sesameport.domain.topology import (
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
