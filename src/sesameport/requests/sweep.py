"""Find the holds in an engine's list that no live request owns."""

import hashlib
import math
from collections.abc import Callable, Iterable, Mapping

import attrs

from sesameport.interfaces import Hold, HoldKind

__all__ = [
    "HoldOwner",
    "HostMembership",
    "SweepConfig",
    "find_abandoned_attempts",
    "choose_sweeper",
    "parse_owner",
]

_PREFILL_KINDS = frozenset({HoldKind.PREFILL_RUN, HoldKind.PREFILL_RESULT})


@attrs.frozen
class HoldOwner:
    """Identify the host process that owns a hold."""

    host: str
    incarnation: str


@attrs.frozen
class HostMembership:
    """Describe the state of a host according to the membership view.

    Attributes
    ----------
    incarnation : str
        Newest known incarnation.
    has_ended : bool
        Whether this incarnation has certainly ended. False for a suspected host.
    probe_answer_age_s : float
        Time since this incarnation last answered a probe, seconds. Infinite if it never
        did.
    earlier_incarnations : frozenset of str
        Incarnations of the host that are known to be older and have ended.
    """

    incarnation: str
    has_ended: bool = False
    probe_answer_age_s: float = math.inf
    earlier_incarnations: frozenset[str] = frozenset()


@attrs.frozen
class SweepConfig:
    """Set the time limits of the sweep.

    Attributes
    ----------
    idle_s : float
        Time without a read after which a hold is cancelled if its owner has ended,
        seconds. It is longer than the timeout of a silent stream (5 s), after which a
        live owner reads again.
    unknown_hold_age_s : float
        Age at which a hold of this process is cancelled if the process has no record
        of it, seconds. It covers the time between the engine's list and the check.
    clock_margin_s : float
        Margin for comparing the age of a hold with another age, seconds.
    """

    idle_s: float = 10.0
    unknown_hold_age_s: float = 5.0
    clock_margin_s: float = 1.0


def parse_owner(attempt_id: str) -> HoldOwner | None:
    """Return the owner in ``<host>.<incarnation>.<sequence>.<attempt>``.

    Return None if the attempt id is malformed.
    """
    parts = attempt_id.rsplit(".", 3)
    if len(parts) != 4 or not all(parts):
        return None
    return HoldOwner(parts[0], parts[1])


def find_abandoned_attempts(
    holds: Iterable[Hold],
    members: Mapping[str, HostMembership],
    own: HoldOwner,
    is_known: Callable[[str], bool],
    cfg: SweepConfig = SweepConfig(),
    uptime_s: float = math.inf,
) -> list[str]:
    """Return the ids of attempts whose holds no live request owns.

    Parameters
    ----------
    holds : iterable of Hold
        The holds listed by one server.
    members : mapping of str to HostMembership
        Membership view by host name. Holds of unknown hosts are kept.
    own : HoldOwner
        This process.
    is_known : callable
        Returns whether this host has a record of an attempt's hold on the server.
    cfg : SweepConfig
        Time limits.
    uptime_s : float
        Time since this process started, seconds.
    """
    abandoned: dict[str, None] = {}
    for hold in holds:
        owner = parse_owner(hold.attempt_id)
        if owner is None:
            continue
        if owner == own:
            if hold.age_s >= cfg.unknown_hold_age_s and not is_known(hold.attempt_id):
                abandoned[hold.attempt_id] = None
            continue
        if owner.host == own.host:
            # The membership view does not include this host. A host runs one daemon at
            # a time, so a hold older than this process belongs to an ended process.
            if hold.age_s > uptime_s + cfg.clock_margin_s:
                abandoned[hold.attempt_id] = None
            continue
        member = members.get(owner.host)
        if member is not None and _is_abandoned(hold, owner, member, cfg):
            abandoned[hold.attempt_id] = None
    return list(abandoned)


def _is_abandoned(
    hold: Hold, owner: HoldOwner, member: HostMembership, cfg: SweepConfig
) -> bool:
    if owner.incarnation == member.incarnation:
        # A prefill is never read, so its age is used instead of its idle time.
        idle_s = hold.age_s if hold.kind in _PREFILL_KINDS else hold.idle_s
        return member.has_ended and idle_s >= cfg.idle_s
    if owner.incarnation in member.earlier_incarnations:
        return True
    # Incarnations are random, so an unknown one may be newer than the known one. It is
    # older if the hold was created before the known incarnation answered a probe,
    # because a host runs one daemon at a time.
    return hold.age_s > member.probe_answer_age_s + cfg.clock_margin_s


def choose_sweeper(server: str, live_hosts: Iterable[str]) -> str | None:
    """Return the host that sweeps a server, or None if there is no live host.

    The host is chosen by rendezvous hashing. ``live_hosts`` are the live hosts of the
    server's data centre. Two hosts that see different lists may both sweep the same
    server, which is harmless.
    """
    return max(live_hosts, key=lambda host: _hash_weight(server, host), default=None)


def _hash_weight(server: str, host: str) -> bytes:
    return hashlib.sha256(f"{server}|{host}".encode()).digest()
