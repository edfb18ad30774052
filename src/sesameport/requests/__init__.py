"""Control the attempts, retries and holds of requests.

This package holds only decision logic. Its classes take events and return actions;
the daemon's threads carry the actions out.
"""

from sesameport.requests.actions import (
    Action,
    CancelHold,
    CloseHold,
    CompleteResponse,
    DeliverToken,
    OpenHold,
    RefuseRequest,
    ReleaseDecodeSlot,
    ReleaseLinkShare,
    ReleasePrefillShare,
    ReportStateLoss,
    RequestDecodePlacement,
    RequestPlacement,
    ResumeDecode,
    StartDecode,
    StartPrefill,
)
from sesameport.requests.claim_entries import (
    CLAIM_KIND,
    ClaimConfig,
    ClaimEntry,
    ClaimOutcome,
    claim_digest,
    decode_entries,
    unknown_outcome,
)
from sesameport.requests.claim_shards import (
    Claim,
    ClaimCompleted,
    ClaimGranted,
    ClaimOutput,
    ClaimRefused,
    CreateShard,
    ReadShard,
    UpdateShard,
)
from sesameport.requests.claims import (
    ClaimManager,
    ClaimRequest,
)
from sesameport.requests.events import (
    CallerDisconnected,
    DecodeFailed,
    Event,
    NotPlaced,
    Placed,
    PrefillDone,
    PrefillFailed,
    ResumeFailed,
    ServerRemoved,
    StopRequested,
    Tick,
    TokenArrived,
)
from sesameport.requests.hold_registry import (
    HoldRegistry,
)
from sesameport.requests.lifecycle import (
    Lifecycle,
)
from sesameport.requests.plain_calls import (
    NoPlainServer,
    PlainAction,
    PlainCall,
    PlainEvent,
    PlainFailed,
    PlainPlaced,
    PlainResponded,
    RequestPlainServer,
    ReturnPlainResponse,
    SendPlainCall,
)
from sesameport.requests.recovery import (
    RecoveryConfig,
)
from sesameport.requests.retries import (
    Backoff,
    RetryBudget,
)
from sesameport.requests.states import (
    RequestState,
)
from sesameport.requests.sweep import (
    HoldOwner,
    HostMembership,
    SweepConfig,
    choose_sweeper,
    find_abandoned_attempts,
    parse_owner,
)

__all__ = [
    "Action",
    "RequestDecodePlacement",
    "RequestPlacement",
    "RequestPlainServer",
    "Backoff",
    "CLAIM_KIND",
    "CallerDisconnected",
    "CancelHold",
    "Claim",
    "ClaimCompleted",
    "ClaimRequest",
    "ClaimConfig",
    "ClaimEntry",
    "ClaimGranted",
    "ClaimOutcome",
    "ClaimOutput",
    "ClaimRefused",
    "ClaimManager",
    "CloseHold",
    "CreateShard",
    "ReleaseDecodeSlot",
    "DecodeFailed",
    "DeliverToken",
    "CompleteResponse",
    "Event",
    "ReturnPlainResponse",
    "HoldOwner",
    "ReleaseLinkShare",
    "HoldRegistry",
    "Lifecycle",
    "HostMembership",
    "NoPlainServer",
    "NotPlaced",
    "OpenHold",
    "Placed",
    "PlainAction",
    "PlainResponded",
    "PlainCall",
    "PlainEvent",
    "PlainFailed",
    "PlainPlaced",
    "PrefillDone",
    "ReleasePrefillShare",
    "PrefillFailed",
    "ReadShard",
    "RecoveryConfig",
    "RefuseRequest",
    "ReportStateLoss",
    "RequestState",
    "ResumeDecode",
    "ResumeFailed",
    "RetryBudget",
    "SendPlainCall",
    "ServerRemoved",
    "StartDecode",
    "StartPrefill",
    "StopRequested",
    "SweepConfig",
    "Tick",
    "TokenArrived",
    "UpdateShard",
    "find_abandoned_attempts",
    "choose_sweeper",
    "claim_digest",
    "decode_entries",
    "parse_owner",
    "unknown_outcome",
]
