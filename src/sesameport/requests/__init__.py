"""Control the attempts, retries and holds of requests.

This package holds only decision logic. Its classes take events and return actions;
the daemon's threads carry the actions out.
"""

from sesameport.requests.actions import (
    Action,
    AskDecode,
    AskPlacement,
    CancelHold,
    CloseHold,
    DecodeEnded,
    Deliver,
    EndAnswer,
    ImportDone,
    OpenHold,
    PrefillEnded,
    RefuseCall,
    ReportLost,
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
    ClaimAnswered,
    ClaimGranted,
    ClaimOutput,
    ClaimRefused,
    CreateShard,
    ReadShard,
    UpdateShard,
)
from sesameport.requests.claims import (
    ClaimAsk,
    Claims,
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
from sesameport.requests.hold_registry import (
    Ledger,
)
from sesameport.requests.lifecycle import (
    Lifecycle,
)
from sesameport.requests.plain_calls import (
    AskPlainServer,
    FinishPlain,
    NoPlainServer,
    PlainAction,
    PlainAnswered,
    PlainCall,
    PlainEvent,
    PlainFailed,
    PlainPlaced,
    SendPlain,
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
    Member,
    SweepConfig,
    choose_abandoned,
    choose_sweeper,
    parse_owner,
)

__all__ = [
    "Action",
    "AskDecode",
    "AskPlacement",
    "AskPlainServer",
    "Backoff",
    "CLAIM_KIND",
    "CallerGone",
    "CancelHold",
    "Claim",
    "ClaimAnswered",
    "ClaimAsk",
    "ClaimConfig",
    "ClaimEntry",
    "ClaimGranted",
    "ClaimOutcome",
    "ClaimOutput",
    "ClaimRefused",
    "Claims",
    "CloseHold",
    "CreateShard",
    "DecodeEnded",
    "DecodeFailed",
    "Deliver",
    "EndAnswer",
    "Event",
    "FinishPlain",
    "HoldOwner",
    "ImportDone",
    "Ledger",
    "Lifecycle",
    "Member",
    "NoPlainServer",
    "NotPlaced",
    "OpenHold",
    "Placed",
    "PlainAction",
    "PlainAnswered",
    "PlainCall",
    "PlainEvent",
    "PlainFailed",
    "PlainPlaced",
    "PrefillDone",
    "PrefillEnded",
    "PrefillFailed",
    "ReadShard",
    "RecoveryConfig",
    "RefuseCall",
    "ReportLost",
    "RequestState",
    "ResumeDecode",
    "ResumeFailed",
    "RetryBudget",
    "SendPlain",
    "ServerGone",
    "StartDecode",
    "StartPrefill",
    "Stopped",
    "SweepConfig",
    "Tick",
    "TokenArrived",
    "UpdateShard",
    "choose_abandoned",
    "choose_sweeper",
    "claim_digest",
    "decode_entries",
    "parse_owner",
    "unknown_outcome",
]
