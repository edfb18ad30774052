"""Define the messages between hosts about members and configuration.

Every message may be lost, duplicated, reordered or delayed. Ages are in seconds. Parts
that occur many times in one message are named tuples, because MessagePack encodes them
without field names: 7 `EvidenceAge` take about 150 bytes instead of 450.
"""

import enum
from typing import Any, NamedTuple

import attrs

from sesameport.domain import BackendServer, Host
from sesameport.interfaces import StoredObject

__all__ = [
    "DigestAnswer",
    "DigestAsk",
    "DocumentAsk",
    "DocumentPush",
    "DocumentVersions",
    "EvidenceAge",
    "IndirectProbe",
    "Knowledge",
    "ListingAsk",
    "ListingPush",
    "MemberState",
    "MemberUpdate",
    "Probe",
    "ProbeAck",
    "Send",
]


class MemberState(enum.StrEnum):
    """Enumerate the states of a host incarnation.

    An ``UNCONFIRMED`` host is known only from the platform's list. A ``GONE`` host does
    not answer probes, which may also be caused by a partition. A ``LEFT`` incarnation
    has ended for certain: it announced its end, or a later incarnation of the same host
    answered a probe.
    """

    UNCONFIRMED = "unconfirmed"
    ALIVE = "alive"
    SUSPECT = "suspect"
    GONE = "gone"
    LEFT = "left"


@attrs.frozen
class Send:
    """Request that the caller sends a message to a host."""

    host: str
    message: Any


class MemberUpdate(NamedTuple):
    """Report the state of one incarnation.

    Only the incarnation itself raises ``refutation``, to overrule a suspicion. (SWIM
    calls this number the incarnation number.)
    """

    host: str
    data_centre: str
    incarnation: str
    refutation: int
    state: MemberState


@attrs.frozen
class Probe:
    """Probe a host; ``full`` requests all members that it knows."""

    number: int
    refutation: int
    updates: tuple[MemberUpdate, ...] = ()
    full: bool = False


@attrs.frozen
class IndirectProbe:
    """Request that a host probes the target and forwards the answer."""

    number: int
    target: str
    updates: tuple[MemberUpdate, ...] = ()


@attrs.frozen
class ProbeAck:
    """Answer a probe; ``subject`` is the host that was probed."""

    number: int
    subject: str
    data_centre: str
    incarnation: str
    refutation: int
    updates: tuple[MemberUpdate, ...] = ()


class EvidenceAge(NamedTuple):
    """Report when a data centre last reached and last failed to reach the platform.

    Ages are the time since the platform read was sent; None means never.
    """

    data_centre: str
    reachable_age_s: float | None
    unreachable_age_s: float | None


@attrs.frozen
class Knowledge:
    """Represent a host's state at one reading of its own clock.

    Attributes
    ----------
    origin, origin_incarnation : str
        Host process that the clock and the state belong to.
    clock_s : float
        Monotonic time of the origin that the ages are relative to, seconds.
    digest : str
        Digest of the versions of all its documents.
    freshness_age_s : float or None
        Time since the platform had nothing newer than these documents.
    evidence : tuple of EvidenceAge
        Which data centres reached the platform and when.
    listing_digest : str
        Digest of its host and server list; empty when it has none.
    listing_age_s : float or None
        Time since that list was requested from the platform.
    """

    origin: str
    origin_incarnation: str
    clock_s: float
    digest: str
    freshness_age_s: float | None = None
    evidence: tuple[EvidenceAge, ...] = ()
    listing_digest: str = ""
    listing_age_s: float | None = None


class DocumentVersions(NamedTuple):
    """Report the accepted and the newest seen version of a document."""

    name: str
    accepted: int
    seen: int


@attrs.frozen
class DigestAsk:
    """Request a digest comparison."""

    number: int
    digest: str


@attrs.frozen
class DigestAnswer:
    """Answer a digest comparison; versions are listed only if the digests differ.

    ``knowledge.clock_s`` is the answering host's clock when the request arrived.
    """

    number: int
    knowledge: Knowledge
    versions: tuple[DocumentVersions, ...] = ()


@attrs.frozen
class DocumentAsk:
    """Request a host's newest copies of some documents."""

    names: tuple[str, ...]


@attrs.frozen
class DocumentPush:
    """Carry documents and, in the push tree, the state of the relay at its root.

    The receiver forwards the message to the hosts in ``delegates``.
    """

    documents: tuple[StoredObject, ...] = ()
    knowledge: Knowledge | None = None
    delegates: tuple[str, ...] = ()


@attrs.frozen
class ListingAsk:
    """Request a host's copy of the platform's host and server list."""

    number: int


@attrs.frozen
class ListingPush:
    """Carry the platform's host and server list.

    ``number`` is that of the answered request, or 0 in the push tree.
    """

    number: int
    knowledge: Knowledge
    hosts: tuple[Host, ...]
    servers: tuple[BackendServer, ...]
    delegates: tuple[str, ...] = ()
