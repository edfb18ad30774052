"""Define the JSON response of ``GET /status``.

The daemon builds these classes and encodes them with `encode_status`. The commands
decode them with `decode_status`. Unknown fields are ignored and missing fields take
their defaults, so that one command can read hosts of different releases.
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
    """Represent the state of one service document on one host.

    Attributes
    ----------
    name : str
        Name of the service.
    version : int
        Active version; 0 if there is none.
    refused_version : int
        Newest version received but not activated; 0 if there is none.
    findings : tuple of str
        Findings of the refused version.
    deleted : bool
        Whether the active version is a tombstone.
    """

    name: str
    version: int = 0
    refused_version: int = 0
    findings: tuple[str, ...] = ()
    deleted: bool = False


@attrs.frozen
class MemberStatus:
    """Represent one host in the membership view.

    ``state`` is ``alive``, ``suspect``, ``leaving`` or ``gone``.
    """

    host: str
    data_centre: str
    state: str
    incarnation: str = ""


@attrs.frozen
class LeaseStatus:
    """Represent a lease as known to this host.

    ``remaining_s`` is the time for which this host still holds the lease, in seconds.
    It is None if another host holds the lease.
    """

    name: str
    holder: str
    epoch: int
    remaining_s: float | None = None


@attrs.frozen
class ShareStatus:
    """Represent the rate-limit tokens of one workspace on this host.

    Attributes
    ----------
    service, workspace : str
        Names from the service document.
    standing_tokens : float
        Tokens in the standing bucket.
    lot_tokens : float
        Unused tokens of borrowed lots.
    lent_tokens : float
        Tokens that this host has lent and that are still outstanding.
    pool_owner : str
        Host that owns the pool; empty if unknown.
    """

    service: str
    workspace: str
    standing_tokens: float = 0.0
    lot_tokens: float = 0.0
    lent_tokens: float = 0.0
    pool_owner: str = ""


@attrs.frozen
class HoldStatus:
    """Represent the open holds of one kind on one backend server.

    ``count`` is their number and ``cancelling`` how many of them are being cancelled.
    ``oldest_s`` is the age of the oldest hold in seconds.
    """

    server: str
    kind: str
    count: int
    oldest_s: float = 0.0
    cancelling: int = 0


@attrs.frozen
class HostStatus:
    """Represent the status of one host.

    Attributes
    ----------
    host, incarnation, data_centre, region : str
        Identity of the host process.
    ready : bool
        Whether the readiness check tells the load balancer to send requests.
    uptime_s : float
        Time since the process started, seconds.
    configuration_age_s : float or None
        Age of the configuration, seconds; None before the first load.
    platform_reachable : bool
        Whether the last call to the platform got a response.
    documents, members, leases, shares, holds : tuple
        Documents, members, leases, rate shares and holds as known to the host.
    findings : tuple of str
        Findings about settings and documents, one text each.
    decisions : tuple of DecisionRecord
        Decision records of the requested request id.
    waiting, in_flight : int
        Number of waiting requests and of dispatched requests.
    now : float
        Monotonic time of the response, seconds, from which the age of a decision
        follows.
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
    """Return a status encoded as JSON."""
    return msgspec.json.encode(status)


def decode_status(body: bytes) -> Result[HostStatus, str]:
    """Return the decoded status, or an Err with the reason."""
    try:
        return Ok(msgspec.json.decode(body, type=HostStatus))
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        return Err(str(exc))
