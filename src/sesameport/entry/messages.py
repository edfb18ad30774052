"""Define the messages to the entry actor and between hosts."""

import attrs
import pykka

from sesameport.admission import GenerationRequest, Placement, ServerUse, WaitingTokens
from sesameport.entry.contracts import EntryConfiguration
from sesameport.entry.servers import EntryServer
from sesameport.entry.settings import EntrySettings
from sesameport.world import ServerRole

__all__ = [
    "AdmitGeneration",
    "AdmitPlain",
    "Admitted",
    "AskCounts",
    "AskGoneHosts",
    "Configure",
    "Counts",
    "FleetReport",
    "FleetSnapshot",
    "HostsChanged",
    "NextRoleChange",
    "PrefillEnded",
    "Probed",
    "Refused",
    "Reload",
    "ReportDue",
    "RoleOrdered",
    "RunEnded",
    "ServerOutcome",
    "ServersChanged",
    "ServersListed",
    "SnapshotWanted",
    "SpendRepeat",
    "StoreState",
    "Tick",
    "Withdraw",
]


@attrs.frozen
class AdmitGeneration:
    """Ask for the servers of a generation.

    ``future`` takes `Admitted` or `Refused`, at once or when memory comes free.
    ``charge_tokens`` is withdrawn from the workspace's quota. ``is_first`` is false
    when the request was admitted before; then ``spends_budget`` tells whether a server
    got it before, so that it counts as a repeat. The first event is due at
    ``target_at``; without one the caller leaves at ``leaves_at``.
    """

    key: int
    request_id: str
    generation: GenerationRequest
    workspace: str
    charge_tokens: float
    target_at: float
    leaves_at: float
    is_returning: bool
    priority: int
    future: pykka.Future
    is_first: bool = True
    spends_budget: bool = False


@attrs.frozen
class AdmitPlain:
    """Ask for the server of a plain request; answered with `Admitted` or `Refused`.

    See `AdmitGeneration` for ``is_first`` and ``spends_budget``.
    """

    request_id: str
    service: str
    workspace: str
    charge_tokens: float
    excluded: frozenset[str] = frozenset()
    is_first: bool = True
    spends_budget: bool = False


@attrs.frozen
class Admitted:
    """Name what a request may use; ``plain`` is the server of a plain request."""

    placement: Placement | None = None
    plain: EntryServer | None = None
    waited_s: float = 0.0


@attrs.frozen
class Refused:
    """Say why a request was not admitted and when to come back.

    ``over_quota`` tells a refusal for the workspace's rate from one for capacity.
    """

    reason: str
    retry_after_s: float
    over_quota: bool = False


@attrs.frozen
class Withdraw:
    """Take back a waiting request whose caller left."""

    key: int
    service: str


@attrs.frozen
class SpendRepeat:
    """Ask whether the fleet's budget of a service has room for one more repeat."""

    service: str


@attrs.frozen
class PrefillEnded:
    """Tell that a prompt is read or that its prefill failed."""

    placement: Placement
    seconds: float
    succeeded: bool


@attrs.frozen
class RunEnded:
    """Tell that a request no longer uses its decode or plain server."""

    placement: Placement | None = None
    plain: EntryServer | None = None
    seconds: float = 0.0
    succeeded: bool = False


@attrs.frozen
class ServerOutcome:
    """Tell how a server treated a call.

    ``refused`` is a refusal for its own load or state; ``kv_refused`` one of a KV cache
    that was read elsewhere. ``wrong_server`` tells that another server answered at its
    address, or that it no longer has the role that its entry shows, and ``silent`` that
    it took a call and a repeat without an answer in time.
    """

    server: str
    failed: bool = False
    unreachable: bool = False
    refused: bool = False
    kv_refused: bool = False
    wrong_server: bool = False
    silent: bool = False


@attrs.frozen
class Probed:
    """Tell which servers a probe tried to reach and which of them it reached."""

    servers: tuple[str, ...]
    reached: frozenset[str]


@attrs.frozen
class Configure:
    """Take over a configuration if it is newer."""

    configuration: EntryConfiguration
    source: str


@attrs.frozen
class ServersListed:
    """Take over a whole listing of servers."""

    servers: tuple[EntryServer, ...]


@attrs.frozen
class ServersChanged:
    """Take over changed entries and the names of removed ones, in their order."""

    changed: tuple[EntryServer, ...] = ()
    removed: tuple[str, ...] = ()


@attrs.frozen
class HostsChanged:
    """Give the peer addresses of all registered hosts by name."""

    addresses: dict[str, str]


@attrs.frozen
class Reload:
    """Take over settings that have changed in the file."""

    settings: EntrySettings


@attrs.frozen
class StoreState:
    """Tell that the platform's store was lost or regained."""

    is_reachable: bool


@attrs.frozen
class SnapshotWanted:
    """Tell that a host which does not reach the store asked for a snapshot."""


@attrs.frozen
class AskCounts:
    """Ask what the host knows; answered with `Counts`."""


@attrs.frozen
class AskGoneHosts:
    """Ask which registrations of hosts are to be deleted; answered with their names."""


@attrs.frozen
class Counts:
    """Give the number of registered servers and of other hosts that report."""

    servers: int
    hosts: int


@attrs.frozen
class RoleOrdered:
    """Tell that an engine was ordered to change its role.

    It lets its running requests end first, so it may be away for ``seconds``.
    """

    server: str
    role: ServerRole
    seconds: float


@attrs.frozen
class NextRoleChange:
    """Ask for the change of an engine's role that pays; answered with it or None."""


@attrs.frozen
class ReportDue:
    """Ask for the report of changes that came too soon after the last one."""


@attrs.frozen
class Tick:
    """Run the periodic work."""

    now: float


@attrs.frozen
class FleetReport:
    """Tell the other hosts what this host uses and has charged.

    Attributes
    ----------
    host, incarnation : str, int
        Process that reports.
    sequence : int
        Number of the report; older ones are dropped.
    uses : dict of str to ServerUse
        Use of each server.
    charged : dict of str to float
        Tokens charged since the start of the process, by workspace.
    version : int
        Version of its configuration, 0 without one.
    paused : dict of str to float
        Servers that get no work, by the seconds for which it goes on.
    waiting : dict of str to WaitingTokens
        KV cache for which requests wait, by service.
    unreachable : list of str
        Servers among ``paused`` that this host did not reach.
    """

    host: str
    incarnation: int
    sequence: int
    uses: dict[str, ServerUse] = attrs.field(factory=dict)
    charged: dict[str, float] = attrs.field(factory=dict)
    version: int = 0
    paused: dict[str, float] = attrs.field(factory=dict)
    waiting: dict[str, WaitingTokens] = attrs.field(factory=dict)
    unreachable: list[str] = attrs.field(factory=list)


@attrs.frozen
class FleetSnapshot:
    """Hand what a host knows from the store to hosts that do not reach it.

    ``is_current`` tells whether the host reaches the store itself.
    """

    host: str
    is_current: bool
    configuration: EntryConfiguration | None
    servers: tuple[EntryServer, ...]
    addresses: dict[str, str]
