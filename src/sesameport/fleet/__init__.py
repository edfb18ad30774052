"""Decide about members, configuration and everything that hosts share."""

from sesameport.fleet.member_table import Departure, Member
from sesameport.fleet.membership import (
    MembersChanged,
    Membership,
    MembershipSettings,
    SteppedDown,
)
from sesameport.fleet.peer_messages import MemberState, Send

__all__ = [
    "Departure",
    "Member",
    "MemberState",
    "MembersChanged",
    "Membership",
    "MembershipSettings",
    "Send",
    "SteppedDown",
]
