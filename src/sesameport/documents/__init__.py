"""Parse and validate settings and service documents."""

from sesameport.documents.services import (
    check_service,
    largest_request_tokens,
    load_service,
)
from sesameport.documents.settings import (
    FleetSettings,
    HostSettings,
    PeerSettings,
    PlatformSettings,
    RequestSettings,
    Settings,
    ShutdownSettings,
    load_settings,
)

__all__ = [
    "FleetSettings",
    "HostSettings",
    "PeerSettings",
    "PlatformSettings",
    "RequestSettings",
    "Settings",
    "ShutdownSettings",
    "check_service",
    "largest_request_tokens",
    "load_service",
    "load_settings",
]
