"""Describe what the Fleet actor publishes to the other parts of a daemon."""

import enum
import math
from collections.abc import Mapping

import attrs

from sesameport.fleet.freshness import EvidenceState, PlatformEvidence
from sesameport.fleet.member_table import EndedIncarnation
from sesameport.fleet.peer_messages import MemberState
from sesameport.world import BackendServer, Finding, Host, ServiceDocument

__all__ = ["DocumentInForce", "FleetTopic", "FleetView", "MemberView"]


class FleetTopic(enum.StrEnum):
    """Name the changes that subscribers are called back on.

    ``STEPPED_DOWN`` means that this host was paused: whoever holds a role, a lease or
    a lot must give it up before doing anything else.
    """

    DOCUMENTS = "documents"
    MEMBERS = "members"
    SERVERS = "servers"
    STEPPED_DOWN = "stepped-down"


@attrs.frozen
class DocumentInForce:
    """Hold a service document with its object version in the platform."""

    document: ServiceDocument
    version: int


@attrs.frozen
class MemberView:
    """Describe another host as membership sees it."""

    name: str
    data_centre: str
    incarnation: str
    state: MemberState
    leaving: bool


@attrs.frozen
class FleetView:
    """Hold one consistent copy of the fleet's state; it never changes.

    Attributes
    ----------
    documents : mapping of str to DocumentInForce
        Service documents in force by name.
    findings : mapping of str to (int, tuple of Finding)
        Version and findings of the newest rejected document by name.
    members : tuple of MemberView
        All other known hosts.
    alive : mapping of str to tuple of str
        Alive hosts by data centre, this host included.
    ended_incarnations : tuple of EndedIncarnation
        Incarnations that certainly ended.
    hosts, servers : tuple
        The platform's lagging list.
    relays : tuple of str
        Relays of the own data centre.
    fresh_at : float
        Local time at which the platform had nothing newer; minus infinity if unknown.
    evidence_at, evidence_then : float, mapping
        Evidence per data centre and the local time for which its ages hold.
    answered_probe_times : mapping of str to float
        Local time of the last answered probe by data centre.
    is_self_suspect : bool
        Whether this host was paused and no other host answered since.
    """

    documents: Mapping[str, DocumentInForce] = attrs.field(factory=dict)
    findings: Mapping[str, tuple[int, tuple[Finding, ...]]] = attrs.field(factory=dict)
    members: tuple[MemberView, ...] = ()
    alive: Mapping[str, tuple[str, ...]] = attrs.field(factory=dict)
    ended_incarnations: tuple[EndedIncarnation, ...] = ()
    hosts: tuple[Host, ...] = ()
    servers: tuple[BackendServer, ...] = ()
    relays: tuple[str, ...] = ()
    fresh_at: float = -math.inf
    evidence_at: float = 0.0
    evidence_then: Mapping[str, PlatformEvidence] = attrs.field(factory=dict)
    answered_probe_times: Mapping[str, float] = attrs.field(factory=dict)
    is_self_suspect: bool = False

    def freshness_age(self, now: float) -> float:
        """Return the age of the configuration, seconds; infinite if unknown."""
        return now - self.fresh_at

    def platform_evidence(self, now: float) -> dict[str, PlatformEvidence]:
        """Return the evidence per data centre with the ages of now.

        States are those of the last tick, a quarter of a second ago at most while the
        actor runs. After a longer gap every state is `EvidenceState.UNKNOWN`.
        """
        passed = now - self.evidence_at
        result = {}
        for name, item in self.evidence_then.items():
            state = item.state if passed <= MAX_GAP_S else EvidenceState.UNKNOWN
            result[name] = attrs.evolve(item, state=state, age_s=item.age_s + passed)
        return result

    def reachable_data_centres(self, now: float, within_s: float) -> set[str]:
        """Return the data centres that answered a probe sent that recently."""
        return {
            dc for dc, at in self.answered_probe_times.items() if now - at <= within_s
        }


MAX_GAP_S = 2.0
"""A view older than this comes from an actor that does not run."""
