"""Define the JSON that ``GET /status`` answers.

The daemon fills these classes and `encode_status` writes them; the command line reads
them with `decode_status`. Unknown fields are ignored and missing ones take their
defaults, so hosts of two releases can be read by one command.
"""

import attrs
import msgspec
from result import Err, Ok, Result

from sesameport.telemetry.decisions import DecisionRecord

__all__ = [
    "DocumentStatus",
    "HoldStatus",
    "HostStatus",
    "LeaseStatus",
    "MemberStatus",
    "ShareStatus",
    "decode_status",
    "encode_status",
]


@attrs.frozen
class DocumentStatus:
    """Describe one service document on one host.

    Attributes
    ----------
    name : str
        Name of the service.
    version : int
        Version in force; 0 when none is.
    refused_version : int
        Newest version that was seen and not put in force; 0 when there is none.
    findings : tuple of str
        Findings of the refused version.
    deleted : bool
        Whether the version in force is a tombstone.
    """

    name: str
    version: int = 0
    refused_version: int = 0
    findings: tuple[str, ...] = ()
    deleted: bool = False


@attrs.frozen
class MemberStatus:
    """Describe one host in the membership view: ``alive``, ``suspect`` or ``gone``."""

    host: str
    data_centre: str
    state: str
    incarnation: str = ""


@attrs.frozen
class LeaseStatus:
    """Describe a lease as this host knows it.

    ``remaining_s`` is the time for which this host holds it, in seconds, and None when
    another host is the holder.
    """

    name: str
    holder: str
    epoch: int
    remaining_s: float | None = None


@attrs.frozen
class ShareStatus:
    """Describe the tokens of one workspace on this host.

    Attributes
    ----------
    service, workspace : str
        Names from the service document.
    standing_tokens : float
        Tokens in the standing bucket.
    lot_tokens : float
        Tokens of lots that were borrowed and not used.
    lent_tokens : float
        Tokens that this host lent and counts as outstanding.
    pool_owner : str
        Host that owns the pool; empty when unknown.
    """

    service: str
    workspace: str
    standing_tokens: float = 0.0
    lot_tokens: float = 0.0
    lent_tokens: float = 0.0
    pool_owner: str = ""


@attrs.frozen
class HoldStatus:
    """Count the open holds of one kind on one backend server."""

    server: str
    kind: str
    count: int
    oldest_s: float = 0.0
    cancelling: int = 0


@attrs.frozen
class HostStatus:
    """Describe one host.

    Attributes
    ----------
    host, incarnation, data_centre, region : str
        Identity of the host process.
    ready : bool
        Whether the balancer is told to send requests.
    uptime_s : float
        Time since the process started, seconds.
    configuration_age_s : float or None
        Age of the configuration; None before the first load.
    platform_reachable : bool
        Whether the last platform call was answered.
    documents, members, leases, shares, holds : tuple
        What the host knows and holds.
    findings : tuple of str
        Findings of settings and documents, one text each.
    decisions : tuple of DecisionRecord
        Records that the query asked for.
    waiting, in_flight : int
        Requests that wait, and requests dispatched.
    now : float
        Monotonic time of the answer, seconds, to tell the age of the decisions.
    """

    host: str
    data_centre: str
    incarnation: str = ""
    region: str = ""
    ready: bool = False
    uptime_s: float = 0.0
    configuration_age_s: float | None = None
    platform_reachable: bool = False
    documents: tuple[DocumentStatus, ...] = ()
    members: tuple[MemberStatus, ...] = ()
    leases: tuple[LeaseStatus, ...] = ()
    shares: tuple[ShareStatus, ...] = ()
    holds: tuple[HoldStatus, ...] = ()
    findings: tuple[str, ...] = ()
    decisions: tuple[DecisionRecord, ...] = ()
    waiting: int = 0
    in_flight: int = 0
    now: float = 0.0


def encode_status(status: HostStatus) -> bytes:
    """Return the JSON of a status."""
    return msgspec.json.encode(status)


def decode_status(body: bytes) -> Result[HostStatus, str]:
    """Read the JSON of a status; the error says what does not fit and where."""
    try:
        return Ok(msgspec.json.decode(body, type=HostStatus))
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        return Err(str(exc))
