"""Decide membership, configuration replication, leases and shared rate limits."""

from sesameport.fleet.configuration import Configuration, DocumentsChanged
from sesameport.fleet.configuration_state import ConfigurationSettings
from sesameport.fleet.freshness import EvidenceState, PlatformEvidence
from sesameport.fleet.listing_exchange import ListingChanged
from sesameport.fleet.member_table import EndedIncarnation, Member
from sesameport.fleet.membership import (
    MembersChanged,
    Membership,
    MembershipSettings,
    SteppedDown,
)
from sesameport.fleet.pacing import CallBackoff, CallPacer, KeyedWriteQueue
from sesameport.fleet.peer_messages import MemberState, Send
from sesameport.fleet.platform_reads import PlatformRead, PlatformReadPlanner, ReadKind

__all__ = [
    "CallBackoff",
    "CallPacer",
    "Configuration",
    "ConfigurationSettings",
    "EndedIncarnation",
    "DocumentsChanged",
    "EvidenceState",
    "ListingChanged",
    "Member",
    "MemberState",
    "MembersChanged",
    "Membership",
    "MembershipSettings",
    "PlatformEvidence",
    "PlatformRead",
    "PlatformReadPlanner",
    "ReadKind",
    "Send",
    "SteppedDown",
    "KeyedWriteQueue",
]
