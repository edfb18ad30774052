"""Derive the membership data of the hold sweep and the claims from a fleet view."""

from collections.abc import Callable

from sesameport.daemon.request_path.request_components import MembershipQueries
from sesameport.daemon.views.fleet_view import FleetView
from sesameport.requests import HostMembership

__all__ = ["build_host_memberships", "membership_queries", "has_owner_ended"]


def build_host_memberships(view: FleetView) -> dict[str, HostMembership]:
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
        memberships[member.name] = HostMembership(
            member.incarnation,
            has_ended=member.incarnation in ended,
            earlier_incarnations=ended - {member.incarnation},
        )
    for host, incarnations in ended_by_host.items():
        # The host is no longer a member, so its last incarnation has ended too.
        memberships[host] = HostMembership(
            incarnations[-1],
            has_ended=True,
            earlier_incarnations=frozenset(incarnations[:-1]),
        )
    return memberships


def has_owner_ended(view: FleetView, owner: str) -> bool:
    """Return whether the owner ``<host>.<incarnation>`` has certainly ended."""
    host, _, incarnation = owner.rpartition(".")
    return any(
        (ended.host, ended.incarnation) == (host, incarnation)
        for ended in view.ended_incarnations
    )


def membership_queries(
    read_view: Callable[[], FleetView], data_centre: str
) -> MembershipQueries:
    """Return the membership queries of the sweep and the claims on the newest view."""
    return MembershipQueries(
        lambda: build_host_memberships(read_view()),
        lambda: read_view().alive.get(data_centre, ()),
        lambda owner: has_owner_ended(read_view(), owner),
    )
