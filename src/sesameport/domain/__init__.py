"""Define the data classes of a deployment, its services and its requests."""

from sesameport.lazy_exports import export_lazily

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

__getattr__, __dir__ = export_lazily(
    __name__,
    {
        "findings": (
            "Finding",
            "format_findings",
        ),
        "requests": (
            "CompletionRequest",
            "Execution",
            "PlainRequest",
            "Refusal",
            "RefusalType",
            "Usage",
        ),
        "service_documents": (
            "LatencyTargets",
            "Model",
            "RegionShare",
            "Route",
            "ServerClass",
            "ServiceDocument",
            "ServiceKind",
            "Urgency",
            "Workspace",
        ),
        "topology": (
            "BackendServer",
            "DataCentre",
            "Host",
            "Link",
            "ServerRole",
            "ServerState",
        ),
    },
)
