"""Define the messages to the entry actor, including those of other entry hosts."""

from collections.abc import Callable

import attrs
import pykka

from sesameport.admission import GenerationRequest, Placement
from sesameport.domain import ServerRole
from sesameport.entry.configuration import EntryConfiguration
from sesameport.entry.host_messages import (
    AppliedRevisions,
    ColdReports,
    EvacuationReport,
    FleetSnapshot,
    HostReport,
    HostReports,
    NoticeReports,
    PermitReply,
    PermitRequest,
    PrefixReports,
    RemovedServers,
    RetryReport,
    SpeedReports,
    SuspectReports,
)
from sesameport.entry.missed_configuration import Missed
from sesameport.entry.query_messages import (
    ExplainPlacement,
    FleetCounts,
    GetExpiredHosts,
    GetFleetCounts,
    GetUsableServers,
)
from sesameport.entry.server_notices import ServerNotice
from sesameport.entry.servers import EntryServer
from sesameport.entry.settings import EntrySettings

__all__ = [
    "AdmitGeneration",
    "AdmitPlain",
    "Admitted",
    "GetFleetCounts",
    "GetUsableServers",
    "GetExpiredHosts",
    "AppliedRevisions",
    "ApplyConfiguration",
    "ColdReports",
    "EvacuationReport",
    "EvacuationsChanged",
    "EvacuationsListed",
    "ExplainPlacement",
    "FleetCounts",
    "HostReport",
    "HostReports",
    "FleetSnapshot",
    "HostAnnounced",
    "HostsChanged",
    "MemoryRefused",
    "MessagesHandled",
    "NoticeReports",
    "PermitReply",
    "PermitRequest",
    "PlainReply",
    "PrefixReports",
    "GetNextRoleChange",
    "PrefillEnded",
    "ProbeResult",
    "Refused",
    "RemovedServers",
    "ApplySettings",
    "ReportDue",
    "RoleChangeOrdered",
    "RunEnded",
    "CallOutcome",
    "ServerNoticed",
    "ServersChanged",
    "RetryReport",
    "SpeedReports",
    "ServersListed",
    "SnapshotRequested",
    "ConsumeRetry",
    "REVISION_KINDS",
    "StoreConnectivity",
    "StoreEraBegan",
    "StoreRead",
    "SuspectReports",
    "Tick",
    "CancelPlainWait",
    "CancelWait",
]

REVISION_KINDS = (Missed.CONFIGURATION, Missed.SERVERS, Missed.EVACUATIONS)
"""Order of the kinds in `AppliedRevisions`. In the encoding, the era follows them, and
older builds ignore what they do not know at the end."""


@attrs.frozen
class AdmitGeneration:
    """Request admission and servers for a generation.

    Attributes
    ----------
    key : int
        Identifies the request in the waiting queue.
    charge_tokens : float
        Tokens that are charged to the quota of the workspace.
    target_at : float
        Monotonic time at which the first event is due, seconds.
    disconnects_at : float
        Monotonic time at which a caller without an event disconnects, seconds.
    is_returning : bool
        Whether the caller was refused before and now tries again.
    future : pykka.Future
        Set to `Admitted` or `Refused`, at once or as soon as memory is released.
    is_first_attempt : bool
        False if the request was admitted before.
    repeats : int
        Calls of this attempt that reach a server after the request has reached one
        before; they are charged to the retry budget.
    """

    key: int
    request_id: str
    generation: GenerationRequest
    workspace: str
    charge_tokens: float
    target_at: float
    disconnects_at: float
    is_returning: bool
    priority: int
    future: pykka.Future
    is_first_attempt: bool = True
    repeats: int = 0


@attrs.frozen
class AdmitPlain:
    """Request admission and a server for a plain request.

    The reply is a `PlainReply`. ``is_first_attempt`` and ``repeats`` have the same
    meaning as in `AdmitGeneration`, ``allowed_regions`` as in ``GenerationRequest``.
    """

    request_id: str
    service: str
    workspace: str
    charge_tokens: float
    excluded: frozenset[str] = frozenset()
    is_first_attempt: bool = True
    repeats: int = 0
    allowed_regions: frozenset[str] | None = None


@attrs.frozen
class Admitted:
    """Return the servers granted to a request.

    A generation gets a ``placement``, a plain request the server ``plain``. The run of
    a generation is expected to end within ``expected_s`` seconds.
    """

    placement: Placement | None = None
    plain: EntryServer | None = None
    waited_s: float = 0.0
    expected_s: float = 0.0


@attrs.frozen
class Refused:
    """Return the reason of a refusal and the time after which to retry.

    ``is_over_quota`` is true if the workspace exceeds its rate, and false if capacity
    is short.
    """

    reason: str
    retry_after_s: float
    is_over_quota: bool = False


PlainReply = Admitted | Refused | pykka.Future
"""Reply to `AdmitPlain`; a future is set to one of the others within a fraction of a
second."""


@attrs.frozen
class CancelWait:
    """Remove a waiting request whose caller disconnected."""

    key: int
    service: str


@attrs.frozen
class CancelPlainWait:
    """Remove a plain request that waits for a permit, or release its server.

    ``reply`` is the future that `AdmitPlain` returned.
    """

    reply: pykka.Future


@attrs.frozen
class ConsumeRetry:
    """Consume one retry of the fleet-wide budget of a service.

    The reply is false if the budget is exhausted, or if the server that gets the retry
    names a limit and this host has no permit for it.
    """

    service: str
    server: str


@attrs.frozen
class PrefillEnded:
    """Report the end of a prefill, successful or not."""

    placement: Placement
    seconds: float
    succeeded: bool


@attrs.frozen
class RunEnded:
    """Report that a request no longer uses its decode server or plain server.

    ``events`` is the number of reads with events of a run on a decode server, and
    ``events_s`` the time from the first to the last of them, seconds.
    """

    placement: Placement | None = None
    plain: EntryServer | None = None
    seconds: float = 0.0
    succeeded: bool = False
    events: int = 0
    events_s: float = 0.0


@attrs.frozen
class CallOutcome:
    """Report the outcome of a call to a server.

    Attributes
    ----------
    failed : bool
        Whether the server broke the call off, timed out or answered with a 5xx status.
    unreachable : bool
        Whether no connection to the server could be opened.
    refused : bool
        Whether the server refused the call for its own load or state.
    refused_decode : bool
        Whether the server refused to decode from the KV cache of a prefill server.
    wrong_server : bool
        Whether another server answered at the address, or the server no longer has the
        role in its entry.
    unresponsive : bool
        Whether the server accepted a call and its retry but answered neither in time.
    """

    server: str
    failed: bool = False
    unreachable: bool = False
    refused: bool = False
    refused_decode: bool = False
    wrong_server: bool = False
    unresponsive: bool = False


@attrs.frozen
class MemoryRefused:
    """Report that an engine refused a lease of KV cache, in tokens."""

    server: str
    kv_tokens: int


@attrs.frozen
class ServerNoticed:
    """Report what a server said of itself in an answer."""

    server: str
    notice: ServerNotice


@attrs.frozen
class ProbeResult:
    """Report the servers that a probe contacted and those of them that answered."""

    servers: tuple[str, ...]
    reachable: frozenset[str]


@attrs.frozen
class ApplyConfiguration:
    """Apply a configuration if its version is newer than the present one."""

    configuration: EntryConfiguration
    source: str


@attrs.frozen
class ServersListed:
    """Replace all server entries by a complete listing."""

    servers: tuple[EntryServer, ...]


@attrs.frozen
class ServersChanged:
    """Apply changed server entries, then remove the named ones."""

    changed: tuple[EntryServer, ...] = ()
    removed: tuple[str, ...] = ()


@attrs.frozen
class EvacuationsListed:
    """Replace all evacuated data centres by a complete listing."""

    names: tuple[str, ...]


@attrs.frozen
class EvacuationsChanged:
    """Begin and then end evacuations of data centres."""

    added: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()


@attrs.frozen
class HostsChanged:
    """Replace the peer addresses of all registered hosts, by name."""

    addresses: dict[str, str]


@attrs.frozen
class HostAnnounced:
    """Report the name and the peer address of a host that connected to this one."""

    name: str
    address: str


@attrs.frozen
class ApplySettings:
    """Apply settings that changed in the settings file."""

    settings: EntrySettings


@attrs.frozen
class StoreConnectivity:
    """Report that the platform's store became reachable or unreachable."""

    is_reachable: bool


@attrs.frozen
class StoreEraBegan:
    """Report that the store states a new era; see `StoreEra`.

    It precedes everything that is read in this era. The era of the first answer says
    nothing of what the store has lost.
    """

    era: int
    is_first: bool


@attrs.frozen
class StoreRead:
    """Report a response of the store, after the changes in it.

    The fields are those of ``store_watch.ReadResult``.
    """

    kind: Missed
    changed: int
    revision: int
    is_repeat: bool
    removed: tuple[tuple[str, int], ...] = ()


@attrs.frozen
class SnapshotRequested:
    """Report that a host that cannot reach the store requested a snapshot."""


@attrs.frozen
class RoleChangeOrdered:
    """Report that an engine accepted an order to change its role.

    The engine finishes its running requests first and may take no work for
    ``seconds``.
    """

    server: str
    role: ServerRole
    seconds: float


@attrs.frozen
class GetNextRoleChange:
    """Request the next role change of an engine, or None if none is worthwhile."""


@attrs.frozen
class ReportDue:
    """Request a report of the changes that the rate limit delayed."""


@attrs.frozen
class MessagesHandled:
    """Call a function when the messages before this one have been handled."""

    done: Callable[[], None]


@attrs.frozen
class Tick:
    """Run the periodic tasks."""

    now: float
