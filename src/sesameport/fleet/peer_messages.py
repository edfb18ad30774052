"""Define the messages by which hosts share members and configuration.

Every message may be lost, repeated, reordered or late. Ages are in seconds.
"""

import enum
from typing import Any

import attrs

from sesameport.interfaces import StoredObject
from sesameport.world import BackendServer, Host

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
    """Name the state of a host incarnation.

    ``UNCONFIRMED`` hosts are only named by the platform's list. ``GONE`` means that
    probes found no answer, which a partition also causes. ``LEFT`` is certain: the
    incarnation said so, or a later one of the same host answered a probe.
    """

    UNCONFIRMED = "unconfirmed"
    ALIVE = "alive"
    SUSPECT = "suspect"
    GONE = "gone"
    LEFT = "left"


@attrs.frozen
class Send:
    """Ask the caller of pure code to send a message to a host."""

    host: str
    message: Any


@attrs.frozen
class MemberUpdate:
    """Tell the state of one incarnation.

    ``refutation`` is raised only by the incarnation itself, to overrule a suspicion.
    """

    host: str
    data_centre: str
    incarnation: str
    refutation: int
    state: MemberState


@attrs.frozen
class Probe:
    """Ask a host to answer; ``full`` asks for all members it knows."""

    number: int
    refutation: int
    updates: tuple[MemberUpdate, ...] = ()
    full: bool = False


@attrs.frozen
class IndirectProbe:
    """Ask a host to probe the target and to pass the answer on."""

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


@attrs.frozen
class EvidenceAge:
    """Tell when hosts of a data centre last reached and last missed the platform.

    Ages are counted from before the question to the platform; None means never.
    """

    data_centre: str
    reachable_age_s: float | None
    unreachable_age_s: float | None


@attrs.frozen
class Knowledge:
    """Describe what a host knew at one reading of its own clock.

    Attributes
    ----------
    origin, origin_incarnation : str
        Host process whose clock and state are meant.
    clock_s : float
        Monotonic time of the origin to which the ages refer, seconds.
    digest : str
        Digest of the versions of all its documents.
    freshness_age_s : float or None
        Time since the platform had nothing newer than these documents.
    evidence : tuple of EvidenceAge
        What it knows of each data centre's way to the platform.
    listing_digest : str
        Digest of its host and server list; empty when it has none.
    listing_age_s : float or None
        Time since that list was asked for.
    """

    origin: str
    origin_incarnation: str
    clock_s: float
    digest: str
    freshness_age_s: float | None = None
    evidence: tuple[EvidenceAge, ...] = ()
    listing_digest: str = ""
    listing_age_s: float | None = None


@attrs.frozen
class DocumentVersions:
    """Tell the accepted version of a document and the newest one seen."""

    name: str
    accepted: int
    seen: int


@attrs.frozen
class DigestAsk:
    """Ask a host to compare digests."""

    number: int
    digest: str


@attrs.frozen
class DigestAnswer:
    """Answer a comparison; versions are listed only when the digests differ.

    ``knowledge.clock_s`` is the answering host's clock when the question arrived.
    """

    number: int
    knowledge: Knowledge
    versions: tuple[DocumentVersions, ...] = ()


@attrs.frozen
class DocumentAsk:
    """Ask a host for its newest copies of some documents."""

    names: tuple[str, ...]


@attrs.frozen
class DocumentPush:
    """Carry documents, and on the tree the knowledge of the relay at its root.

    ``delegates`` are the hosts to which the receiver passes the message on.
    """

    documents: tuple[StoredObject, ...] = ()
    knowledge: Knowledge | None = None
    delegates: tuple[str, ...] = ()


@attrs.frozen
class ListingAsk:
    """Ask a host for its copy of the platform's host and server list."""

    number: int


@attrs.frozen
class ListingPush:
    """Carry the platform's host and server list; ``number`` is 0 on the tree."""

    number: int
    knowledge: Knowledge
    hosts: tuple[Host, ...]
    servers: tuple[BackendServer, ...]
    delegates: tuple[str, ...] = ()
