"""Provide stand-in platform, engine and plain servers for tests and the demo."""

from sesameport.standins.deployment import (
    Deployment,
    build_deployment,
    demo_document,
    demo_key,
)
from sesameport.standins.engine import EngineStandin
from sesameport.standins.engine_model import (
    CRASH_MARK,
    EngineProfile,
    expected_tokens,
)
from sesameport.standins.faults import FaultPlan, InjectedFault
from sesameport.standins.plain_server import PlainStandin
from sesameport.standins.platform import PlatformStandin

__all__ = [
    "CRASH_MARK",
    "Deployment",
    "EngineProfile",
    "EngineStandin",
    "FaultPlan",
    "InjectedFault",
    "PlainStandin",
    "PlatformStandin",
    "build_deployment",
    "demo_document",
    "demo_key",
    "expected_tokens",
]
