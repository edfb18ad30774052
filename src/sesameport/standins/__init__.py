"""Stand in for the platform, engines and plain services in tests and the demo."""

from sesameport.standins.engine import (
    CRASH_MARK,
    EngineProfile,
    EngineStandin,
    expected_tokens,
)
from sesameport.standins.faults import FaultPlan, InjectedFault
from sesameport.standins.plain import PlainStandin
from sesameport.standins.platform import PlatformStandin

__all__ = [
    "CRASH_MARK",
    "EngineProfile",
    "EngineStandin",
    "FaultPlan",
    "InjectedFault",
    "PlainStandin",
    "PlatformStandin",
    "expected_tokens",
]
