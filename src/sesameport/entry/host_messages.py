"""Define the messages between entry hosts."""

import attrs

from sesameport.admission import (
    ColdReport,
    NoticeReport,
    PrefixReport,
    ServerUse,
    SpeedReport,
    SuspectGroup,
    WaitingTokens,
)
from sesameport.entry.configuration import EntryConfiguration
from sesameport.entry.servers import EntryServer

__all__ = [
    "AppliedRevisions",
    "ColdReports",
    "EvacuationReport",
    "FleetSnapshot",
    "HostReport",
    "HostReports",
    "NoticeReports",
    "PermitReply",
    "PermitRequest",
    "PrefixReports",
    "RemovedServers",
    "RetryReport",
    "SpeedReports",
    "SuspectReports",
]


MAX_SHORT_REPORT = 64
"""Largest number of suspects in a short `SuspectReports`."""


@attrs.frozen
class HostReport:
    """Report the server use and quota charges of a host to the other hosts.

    Attributes
    ----------
    host, incarnation : str, int
        Name of the reporting host and start time of its process.
    sequence : int
        Sequence number of the report; a receiver ignores older reports.
    uses : dict of str to ServerUse
        Use of each server.
    charged : dict of str to float
        Tokens charged since the start of the process, by workspace.
    version : int
        Version of the host's configuration, 0 without one.
    paused : dict of str to float
        Servers that get no work, with the remaining time of the pause, seconds.
    waiting : dict of str to WaitingTokens
        KV cache for which requests wait, by service.
    unreachable : list of str
        Servers among ``paused`` to which this host could not connect.
    is_complete : bool
        Whether ``charged`` names all workspaces. Otherwise it names those with charges
        since the last complete report.
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
    is_complete: bool = True


@attrs.frozen
class HostReports:
    """Deliver the reports of other hosts that arrived together."""

    reports: tuple[HostReport, ...]


@attrs.frozen
class SuspectReports:
    """Report suspects that a host knows; see ``admission.CrashSuspects``.

    A partial one has only what has just changed.
    """

    groups: tuple[SuspectGroup, ...]
    is_partial: bool = False

    def is_short(self) -> bool:
        """Return whether the report is sent in the form that older builds know."""
        count = sum(len(group.subjects) for group in self.groups)
        return not self.is_partial and count <= MAX_SHORT_REPORT


@attrs.frozen
class RetryReport:
    """Report the retries that a host took from the pool in the last window.

    ``taken`` has them by service; see ``admission.RetryPool``.
    """

    host: str
    taken: dict[str, int]


@attrs.frozen
class NoticeReports:
    """Report what servers said of themselves; see ``admission.ServerNotices``."""

    reports: tuple[NoticeReport, ...]


@attrs.frozen
class ColdReports:
    """Report the cold servers that a host knows; see ``admission.ColdServers``."""

    reports: tuple[ColdReport, ...]


@attrs.frozen
class EvacuationReport:
    """Report the evacuated data centres that the store has just stated to a host.

    A host that knows others reads the store again. It does not apply a report, because
    reports of several hosts may arrive in another order than the changes.
    """

    host: str
    names: tuple[str, ...]


@attrs.frozen
class AppliedRevisions:
    """Report the revisions of the newest changes that a host has read from the store.

    There is one for each kind in the order of ``messages.REVISION_KINDS``, 0 without a
    change. A host that has read up to an earlier revision reads the store again, and so
    does one that knows only an earlier era; the report itself changes nothing.
    """

    host: str
    revisions: tuple[int, ...]
    era: int = 0


@attrs.frozen
class RemovedServers:
    """Report removals of server entries that a host has read from the store.

    The event of a removal need not have a revision of its own, by which a host could
    tell that it missed it.

    Attributes
    ----------
    host : str
        Name of the reporting host.
    era : int
        Era of the store.
    removed : tuple of (str, int)
        Name of each entry and the revision in the event.
    """

    host: str
    era: int
    removed: tuple[tuple[str, int], ...]


@attrs.frozen
class SpeedReports:
    """Report samples of the speeds of servers; see ``admission.ServerSpeeds``."""

    reports: tuple[SpeedReport, ...]


@attrs.frozen
class PrefixReports:
    """Report cached parts of prompts; see ``admission.KeptPrefixes``."""

    reports: tuple[PrefixReport, ...]


@attrs.frozen
class PermitRequest:
    """Request permits for a limited server from the host that issues them.

    Attributes
    ----------
    to_host, from_host : str
        Names of the issuing and of the requesting host.
    server : str
        Id of the server.
    limit_per_s : float
        Requests per second that the server takes, as far as the requesting host knows.
    count : int
        Number of requests that wait for a permit.
    unused : int
        Number of earlier permits that expired unused.
    ask_id : int
        Identifies a request for permits of a cold server; 0 for other servers. Older
        hosts do not receive such requests.
    """

    to_host: str
    from_host: str
    server: str
    limit_per_s: float
    count: int
    unused: int
    ask_id: int = 0


@attrs.frozen
class PermitReply:
    """Issue permits to the host that requested them; see ``admission.Grant``.

    ``ask_id`` is that of the request.
    """

    to_host: str
    server: str
    delays: tuple[float, ...]
    retry_s: float
    wait_s: float
    ask_id: int = 0


@attrs.frozen
class FleetSnapshot:
    """Send a host's copy of the store to hosts that cannot reach the store.

    ``is_current`` is true if the sending host can reach the store itself.

    Attributes
    ----------
    evacuated : tuple of str or None
        Evacuated data centres, None if the sending host does not know them.
    evacuated_age_s : float
        Time since the store stated or changed them, seconds.
    """

    host: str
    is_current: bool
    configuration: EntryConfiguration | None
    servers: tuple[EntryServer, ...]
    addresses: dict[str, str]
    evacuated: tuple[str, ...] | None = None
    evacuated_age_s: float = 0.0
