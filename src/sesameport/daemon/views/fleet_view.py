"""Define the view of the fleet that the Fleet actor publishes to the daemon."""

import enum
import math
from collections.abc import Mapping

import attrs

from sesameport.domain import BackendServer, Finding, Host, ServiceDocument
from sesameport.fleet.freshness import EvidenceState, PlatformEvidence
from sesameport.fleet.member_table import EndedIncarnation
from sesameport.fleet.peer_messages import MemberState

__all__ = ["ActiveDocument", "FleetTopic", "FleetView", "MemberView"]


class FleetTopic(enum.StrEnum):
    """Enumerate the changes to which callbacks can subscribe.

    ``STEPPED_DOWN`` means that this host was paused. Subscribers must give up their
    roles, leases and lots before any other work.
    """

    DOCUMENTS = "documents"
    MEMBERS = "members"
    SERVERS = "servers"
    STEPPED_DOWN = "stepped-down"


@attrs.frozen
class ActiveDocument:
    """Represent an accepted service document and the version of its object."""

    document: ServiceDocument
    version: int


@attrs.frozen
class MemberView:
    """Represent another host in the state that membership last saw."""

    name: str
    data_centre: str
    incarnation: str
    state: MemberState
    leaving: bool


@attrs.frozen
class FleetView:
    """Represent one consistent, immutable copy of the fleet's state.

    Attributes
    ----------
    documents : mapping of str to ActiveDocument
        Accepted service documents that are in use, by name.
    findings : mapping of str to (int, tuple of Finding)
        Version and findings of the newest rejected document, by name.
    members : tuple of MemberView
        All other known hosts.
    alive : mapping of str to tuple of str
        Alive hosts by data centre, including this host.
    ended_incarnations : tuple of EndedIncarnation
        Incarnations that certainly ended.
    hosts, servers : tuple
        Hosts and backend servers that the platform listed, with some delay.
    relays : tuple of str
        Relays of this data centre.
    fresh_at : float
        Latest local time at which the configuration was up to date with the platform;
        minus infinity if unknown.
    evidence_at, recorded_evidence : float, mapping
        Local time of the last recorded evidence, and the evidence by data centre.
    answered_probe_times : mapping of str to float
        Local time at which the last answered probe was sent, by data centre.
    is_self_suspect : bool
        Whether this host was paused and no other host has answered since.
    """

    documents: Mapping[str, ActiveDocument] = attrs.field(factory=dict)
    findings: Mapping[str, tuple[int, tuple[Finding, ...]]] = attrs.field(factory=dict)
    members: tuple[MemberView, ...] = ()
    alive: Mapping[str, tuple[str, ...]] = attrs.field(factory=dict)
    ended_incarnations: tuple[EndedIncarnation, ...] = ()
    hosts: tuple[Host, ...] = ()
    servers: tuple[BackendServer, ...] = ()
    relays: tuple[str, ...] = ()
    fresh_at: float = -math.inf
    evidence_at: float = 0.0
    recorded_evidence: Mapping[str, PlatformEvidence] = attrs.field(factory=dict)
    answered_probe_times: Mapping[str, float] = attrs.field(factory=dict)
    is_self_suspect: bool = False

    def freshness_age(self, now: float) -> float:
        """Return the age of the configuration, seconds; infinite if unknown."""
        return now - self.fresh_at

    def platform_evidence(self, now: float) -> dict[str, PlatformEvidence]:
        """Return the evidence by data centre, with ages as of ``now``.

        The states are those of the last tick, which was at most 0.25 s ago while the
        actor runs. `MAX_EVIDENCE_GAP_S` after the last tick, every state is
        `EvidenceState.UNKNOWN`.
        """
        elapsed_s = now - self.evidence_at
        evidence_by_data_centre = {}
        for name, evidence in self.recorded_evidence.items():
            state = (
                evidence.state
                if elapsed_s <= MAX_EVIDENCE_GAP_S
                else EvidenceState.UNKNOWN
            )
            evidence_by_data_centre[name] = attrs.evolve(
                evidence, state=state, age_s=evidence.age_s + elapsed_s
            )
        return evidence_by_data_centre

    def reachable_data_centres(self, now: float, within_s: float) -> set[str]:
        """Return the data centres that answered a probe of the last ``within_s``."""
        return {
            name
            for name, answered_at in self.answered_probe_times.items()
            if now - answered_at <= within_s
        }


MAX_EVIDENCE_GAP_S = 2.0
"""Age of the evidence above which the actor counts as not running."""
