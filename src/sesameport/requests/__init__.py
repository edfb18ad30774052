"""Follow requests through their attempts."""

from sesameport.requests.actions import (
    Action,
    AskDecode,
    AskPlacement,
    CancelHold,
    CloseHold,
    DecodeEnded,
    Deliver,
    EndAnswer,
    OpenHold,
    PrefillEnded,
    RefuseCall,
    ReportLost,
    ResumeDecode,
    StartDecode,
    StartPrefill,
)
from sesameport.requests.events import (
    CallerGone,
    DecodeFailed,
    Event,
    NotPlaced,
    Placed,
    PrefillDone,
    PrefillFailed,
    ResumeFailed,
    ServerGone,
    Stopped,
    Tick,
    TokenArrived,
)
from sesameport.requests.lifecycle import (
    Lifecycle,
)
from sesameport.requests.recovery import (
    Recovery,
    RecoveryConfig,
)
from sesameport.requests.retries import (
    Backoff,
    RetryBudget,
)
from sesameport.requests.states import (
    State,
)

__all__ = [
    "Action",
    "AskDecode",
    "AskPlacement",
    "Backoff",
    "CallerGone",
    "CancelHold",
    "CloseHold",
    "DecodeEnded",
    "DecodeFailed",
    "Deliver",
    "EndAnswer",
    "Event",
    "Lifecycle",
    "NotPlaced",
    "OpenHold",
    "Placed",
    "PrefillDone",
    "PrefillEnded",
    "PrefillFailed",
    "Recovery",
    "RecoveryConfig",
    "RefuseCall",
    "ReportLost",
    "ResumeDecode",
    "ResumeFailed",
    "RetryBudget",
    "ServerGone",
    "StartDecode",
    "StartPrefill",
    "State",
    "Stopped",
    "Tick",
    "TokenArrived",
]
