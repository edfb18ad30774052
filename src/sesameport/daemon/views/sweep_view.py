"""Derive the membership data of the hold sweep and the claims from a fleet view."""

from collections.abc import Callable

from sesameport.daemon.request_path.request_parts import FleetKnowledge
from sesameport.daemon.views.fleet_view import FleetView
from sesameport.requests import Member

__all__ = ["build_host_memberships", "fleet_knowledge", "is_owner_gone"]


def build_host_memberships(view: FleetView) -> dict[str, Member]:
    """Return the newest incarnation of each host and its ended ones, by host name.

    An incarnation has ended only if it was replaced, left or is no longer listed. A
    suspected or silent host may still run.
    """
    ended_by_host: dict[str, list[str]] = {}
    for ended_incarnation in view.ended_incarnations:
        ended_by_host.setdefault(ended_incarnation.host, []).append(
            ended_incarnation.incarnation
        )
    memberships = {}
    for member in view.members:
        ended = frozenset(ended_by_host.pop(member.name, ()))
        memberships[member.name] = Member(
            member.incarnation,
            gone=member.incarnation in ended,
            earlier=ended - {member.incarnation},
        )
    for host, incarnations in ended_by_host.items():
        # The host is no longer a member, so its last incarnation has ended too.
        memberships[host] = Member(
            incarnations[-1], gone=True, earlier=frozenset(incarnations[:-1])
        )
    return memberships


def is_owner_gone(view: FleetView, owner: str) -> bool:
    """Return whether the owner ``<host>.<incarnation>`` has certainly ended."""
    host, _, incarnation = owner.rpartition(".")
    return any(
        (ended.host, ended.incarnation) == (host, incarnation)
        for ended in view.ended_incarnations
    )


def fleet_knowledge(
    read_view: Callable[[], FleetView], data_centre: str
) -> FleetKnowledge:
    """Return the membership queries of the sweep and the claims on the newest view."""
    return FleetKnowledge(
        lambda: build_host_memberships(read_view()),
        lambda: read_view().alive.get(data_centre, ()),
        lambda owner: is_owner_gone(read_view(), owner),
    )
