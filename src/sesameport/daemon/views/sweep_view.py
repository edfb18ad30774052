"""Read from the fleet's view what the sweep and the claims need to know."""

from collections.abc import Callable

from sesameport.daemon.request_path.request_parts import FleetKnowledge
from sesameport.daemon.views.fleet_view import FleetView
from sesameport.requests import HostMembership

__all__ = ["fleet_knowledge", "is_owner_gone", "members_for_sweep"]


def members_for_sweep(view: FleetView) -> dict[str, HostMembership]:
    """Return each host's newest incarnation and those that certainly ended.

    A suspected or silent host is not gone: only departures that membership is certain
    of count (replaced, left, or no longer listed).
    """
    ended: dict[str, list[str]] = {}
    for departure in view.ended_incarnations:
        ended.setdefault(departure.host, []).append(departure.incarnation)
    found = {}
    for member in view.members:
        gone = frozenset(ended.pop(member.name, ()))
        found[member.name] = HostMembership(
            member.incarnation,
            has_ended=member.incarnation in gone,
            earlier_incarnations=gone - {member.incarnation},
        )
    for host, incarnations in ended.items():
        # The host itself is no longer a member; its last incarnation is gone too.
        found[host] = HostMembership(
            incarnations[-1],
            has_ended=True,
            earlier_incarnations=frozenset(incarnations[:-1]),
        )
    return found


def is_owner_gone(view: FleetView, owner: str) -> bool:
    """Tell whether ``<host>.<incarnation>`` certainly ended."""
    host, _, incarnation = owner.rpartition(".")
    return any(
        (d.host, d.incarnation) == (host, incarnation) for d in view.ended_incarnations
    )


def fleet_knowledge(
    read_view: Callable[[], FleetView], data_centre: str
) -> FleetKnowledge:
    """Answer the questions of the sweep and the claims from the newest view."""
    return FleetKnowledge(
        lambda: members_for_sweep(read_view()),
        lambda: read_view().alive.get(data_centre, ()),
        lambda owner: is_owner_gone(read_view(), owner),
    )
