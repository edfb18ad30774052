"""Choose the holds that no live request owns, from an engine's list of holds."""

import hashlib
import math
from collections.abc import Callable, Iterable, Mapping

import attrs

from sesameport.interfaces import Hold, HoldKind

__all__ = [
    "HoldOwner",
    "Member",
    "SweepConfig",
    "choose_abandoned",
    "choose_sweeper",
    "parse_owner",
]

_PREFILL = frozenset({HoldKind.PREFILL_RUN, HoldKind.PREFILL_RESULT})


@attrs.frozen
class HoldOwner:
    """Identify the host process that owns a hold."""

    host: str
    incarnation: str


@attrs.frozen
class Member:
    """Say what membership knows of a host.

    Attributes
    ----------
    incarnation : str
        Newest incarnation that was seen.
    gone : bool
        Whether membership declared this incarnation gone. A suspect is not gone.
    confirmed_age_s : float
        Time since this incarnation answered a probe, seconds; infinite if never.
    earlier : frozenset of str
        Incarnations of the host that are known to be older.
    """

    incarnation: str
    gone: bool = False
    confirmed_age_s: float = math.inf
    earlier: frozenset[str] = frozenset()


@attrs.frozen
class SweepConfig:
    """Bound the sweep.

    Attributes
    ----------
    idle_s : float
        Time without a read after which a hold of a gone owner is cancelled. It is
        above the silent bound of a stream (5 s), after which a live owner reads again.
    own_age_s : float
        Age at which a hold of this process that its ledger does not know is
        cancelled. It covers the time from the list's answer to the ledger's look-up.
    clock_margin_s : float
        Margin when the age of a hold is compared with that of a probe's answer.
    """

    idle_s: float = 10.0
    own_age_s: float = 5.0
    clock_margin_s: float = 1.0


def parse_owner(attempt_id: str) -> HoldOwner | None:
    """Read the owner from ``<host>.<incarnation>.<sequence>.<attempt>``."""
    parts = attempt_id.rsplit(".", 3)
    if len(parts) != 4 or not all(parts):
        return None
    return HoldOwner(parts[0], parts[1])


def choose_abandoned(
    holds: Iterable[Hold],
    members: Mapping[str, Member],
    own: HoldOwner,
    is_known: Callable[[str], bool],
    cfg: SweepConfig = SweepConfig(),
    uptime_s: float = math.inf,
) -> list[str]:
    """Return the attempt ids whose holds are to be cancelled.

    Parameters
    ----------
    holds : iterable of Hold
        One server's list.
    members : mapping of str to Member
        Membership view by host name. Holds of hosts outside it are kept.
    own : HoldOwner
        This process.
    is_known : callable
        Tells whether this host's ledger knows an attempt on the server.
    cfg : SweepConfig
        Bounds.
    uptime_s : float
        Time since this process started, seconds.
    """
    chosen: dict[str, None] = {}
    for hold in holds:
        owner = parse_owner(hold.attempt_id)
        if owner is None:
            continue
        if owner == own:
            if hold.age_s >= cfg.own_age_s and not is_known(hold.attempt_id):
                chosen[hold.attempt_id] = None
            continue
        if owner.host == own.host:
            # A host runs one daemon at a time, so what is older than this process was
            # left by an earlier one. Membership does not list the own host.
            if hold.age_s > uptime_s + cfg.clock_margin_s:
                chosen[hold.attempt_id] = None
            continue
        member = members.get(owner.host)
        if member is not None and _is_abandoned(hold, owner, member, cfg):
            chosen[hold.attempt_id] = None
    return list(chosen)


def _is_abandoned(
    hold: Hold, owner: HoldOwner, member: Member, cfg: SweepConfig
) -> bool:
    if owner.incarnation == member.incarnation:
        # Nobody reads a prefill, so its age takes the place of the idle time.
        idle_s = hold.age_s if hold.kind in _PREFILL else hold.idle_s
        return member.gone and idle_s >= cfg.idle_s
    if owner.incarnation in member.earlier:
        return True
    # Incarnations are random, so an unknown one may be newer. It is older when the
    # hold was taken before the known incarnation answered a probe, because a host
    # runs one daemon at a time.
    return hold.age_s > member.confirmed_age_s + cfg.clock_margin_s


def choose_sweeper(server: str, live_hosts: Iterable[str]) -> str | None:
    """Return the host that sweeps a server, by rendezvous hashing; None if none.

    The caller passes the live hosts of the server's data centre. While two hosts see
    different lists, both may sweep one server, which is harmless.
    """
    return max(live_hosts, key=lambda host: _weight(server, host), default=None)


def _weight(server: str, host: str) -> bytes:
    return hashlib.sha256(f"{server}|{host}".encode()).digest()
