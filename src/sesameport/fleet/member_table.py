"""Keep what one host knows of the incarnations of every host."""

import math

import attrs

from sesameport.fleet.peer_messages import MemberState, MemberUpdate
from sesameport.fleet.update_queue import UpdateQueue
from sesameport.world import Host, ServerState

__all__ = ["Departure", "Member", "MemberTable"]

UPDATE_REPEATS = 3
"""An update is sent this many times log2 of the members (SWIM 2002, section 4.1)."""

MAX_DEPARTURES = 4_096
"""Departures kept: over a day at 142 failures and restarts, with room for bursts."""

DEPARTURE_KEPT_S = 9_000.0
"""Longer than the standing lease of 2 h, which ends what an incarnation held."""

UNLISTED_CERTAIN_S = 30.0
"""A host must be gone and off the platform's list this long to be certainly gone."""

_RANK = {
    MemberState.UNCONFIRMED: 0,
    MemberState.ALIVE: 1,
    MemberState.SUSPECT: 2,
    MemberState.GONE: 3,
    MemberState.LEFT: 4,
}


@attrs.define
class Member:
    """Hold the state of one host.

    Attributes
    ----------
    name, data_centre : str
        Host and its data centre.
    incarnation : str
        Newest known incarnation; empty when none is known.
    refutation : int
        Highest refutation number seen of the incarnation.
    state : MemberState
        State of the incarnation.
    since : float
        Local time of the last change of state, seconds.
    listed, leaving : bool
        Whether the platform's list names the host, and as leaving.
    heard_at : float
        Local time of the last sign of the incarnation, from itself or from others.
    candidate : MemberUpdate or None
        Update of another incarnation that is not proven to be the newer one.
    """

    name: str
    data_centre: str
    incarnation: str = ""
    refutation: int = -1
    state: MemberState = MemberState.UNCONFIRMED
    since: float = 0.0
    listed: bool = False
    leaving: bool = False
    heard_at: float = -math.inf
    unlisted_at: float | None = None
    candidate: MemberUpdate | None = None

    def is_alive(self) -> bool:
        """Tell whether the host counts as alive; a suspected one does."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)


@attrs.frozen
class Departure:
    """Tell that an incarnation is certainly gone.

    ``since`` is the local time at which this host learned it, so it is never too
    early. ``reason`` is ``replaced``, ``left`` or ``unlisted``.
    """

    host: str
    incarnation: str
    since: float
    reason: str


class MemberTable:
    """Merge updates, answers and the platform's list into one view of the members.

    Incarnations of one host are random and have no order. One replaces another only
    when it answers a probe that was sent after the other was last heard, which holds
    because a host name and its address belong to one process at a time.
    """

    def __init__(self, own: Host, incarnation: str):
        self.own = own
        self.incarnation = incarnation
        self.refutation = 0
        self.members: dict[str, Member] = {}
        self.departures: dict[tuple[str, str], Departure] = {}
        self.changed = False
        self.wanted: dict[str, None] = {}
        self._updates = UpdateQueue()

    def apply(self, update: MemberUpdate, now: float, spread: bool = True) -> None:
        """Merge one update that another host passed on.

        ``spread`` is False for the long lists that a joining host receives, because
        others know of the hosts that live; an end is always passed on.
        """
        if update.host == self.own.name:
            self._refute(update)
            return
        if (update.host, update.incarnation) in self.departures:
            return
        if update.state == MemberState.LEFT:
            self._depart(update, now, "left")
            return
        if update.state == MemberState.UNCONFIRMED or not update.incarnation:
            return
        member = self._member(update.host, update.data_centre)
        if member.incarnation not in ("", update.incarnation):
            if member.state != MemberState.GONE:
                member.candidate = update
                if member.data_centre == self.own.data_centre:
                    self.wanted[member.name] = None
                return
            if update.state == MemberState.GONE:
                return
        if member.incarnation != update.incarnation:
            member.incarnation = update.incarnation
            member.refutation = -1
            member.state = MemberState.UNCONFIRMED
            member.heard_at = now
        newer = (update.refutation, _RANK[update.state])
        if newer <= (member.refutation, _RANK[member.state]):
            return
        member.refutation = update.refutation
        member.heard_at = now
        spread = spread or update.state != MemberState.ALIVE
        self.set_state(member, update.state, now, spread)

    def heard(
        self,
        host: str,
        data_centre: str,
        incarnation: str,
        refutation: int,
        now: float,
        asked_at: float | None = None,
    ) -> bool:
        """Record a message from a host itself; return False to ignore the message.

        Parameters
        ----------
        asked_at : float or None
            Time at which the probe was sent that the message answers.
        """
        if host == self.own.name:
            return False
        departure = self.departures.get((host, incarnation))
        if departure is not None:
            if departure.reason != "unlisted" or asked_at is None:
                return False
            if asked_at <= departure.since:
                return False
            del self.departures[(host, incarnation)]
        member = self._member(host, data_centre)
        if member.incarnation not in ("", incarnation):
            if asked_at is None or asked_at <= member.heard_at:
                self.wanted[host] = None
                return True
            self._replace(member, now)
        if member.incarnation != incarnation:
            member.incarnation = incarnation
            member.refutation = -1
            member.state = MemberState.UNCONFIRMED
        member.heard_at = now
        if refutation > member.refutation:
            member.refutation = refutation
            self.set_state(member, MemberState.ALIVE, now)
        return True

    def set_state(
        self, member: Member, state: MemberState, now: float, spread: bool = True
    ) -> None:
        """Change the state of a member and tell others in later messages."""
        if member.state != state:
            was_alive = member.is_alive()
            member.state = state
            member.since = now
            self.changed = self.changed or was_alive != member.is_alive()
        if spread:
            self._spread(self.update_of(member))

    def merge_list(self, hosts: tuple[Host, ...], now: float) -> None:
        """Merge the platform's list, which lags and confirms nobody."""
        named = set()
        for host in hosts:
            if host.name == self.own.name:
                continue
            named.add(host.name)
            member = self._member(host.name, host.data_centre)
            member.listed = True
            member.unlisted_at = None
            leaving = host.state == ServerState.LEAVING
            self.changed = self.changed or member.leaving != leaving
            member.leaving = leaving
            member.data_centre = host.data_centre
        for member in list(self.members.values()):
            if member.name in named or not member.listed:
                continue
            member.listed = False
            member.unlisted_at = now
            if member.state == MemberState.UNCONFIRMED:
                del self.members[member.name]

    def expire(self, now: float) -> None:
        """Turn gone, unlisted members into departures and forget old departures."""
        for member in list(self.members.values()):
            if member.state != MemberState.GONE or member.unlisted_at is None:
                continue
            if now - max(member.since, member.unlisted_at) >= UNLISTED_CERTAIN_S:
                self._add_departure(member.name, member.incarnation, now, "unlisted")
                del self.members[member.name]
        for key, departure in list(self.departures.items()):
            old = now - departure.since > DEPARTURE_KEPT_S
            if not old and len(self.departures) <= MAX_DEPARTURES:
                break
            del self.departures[key]

    def take_updates(self, count: int, first: str = "") -> tuple[MemberUpdate, ...]:
        """Return up to ``count`` updates, new ones first, the others in turn.

        The update on host ``first`` comes along whenever it is suspected, so that
        the host can refute it in the answer.
        """
        chosen = []
        member = self.members.get(first)
        if member and member.state in (MemberState.SUSPECT, MemberState.GONE):
            chosen.append(self.update_of(member))
        limit = UPDATE_REPEATS * math.ceil(math.log2(len(self.members) + 2))
        chosen.extend(self._updates.take(count - len(chosen), limit))
        return tuple(chosen)

    def all_updates(self) -> tuple[MemberUpdate, ...]:
        """Return the state of every known incarnation."""
        known = [m for m in self.members.values() if m.incarnation]
        return tuple(self.update_of(member) for member in known)

    def update_of(self, member: Member) -> MemberUpdate:
        """Describe a member as an update."""
        return MemberUpdate(
            member.name,
            member.data_centre,
            member.incarnation,
            member.refutation,
            member.state,
        )

    def own_update(self, state: MemberState = MemberState.ALIVE) -> MemberUpdate:
        """Describe this host as an update."""
        return MemberUpdate(
            self.own.name,
            self.own.data_centre,
            self.incarnation,
            self.refutation,
            state,
        )

    def raise_refutation(self, above: int = -1) -> None:
        """Overrule every suspicion of this host up to a refutation number."""
        self.refutation = max(self.refutation, above) + 1
        self._spread(self.own_update())

    def _member(self, name: str, data_centre: str) -> Member:
        member = self.members.get(name)
        if member is None:
            member = Member(name, data_centre)
            self.members[name] = member
        return member

    def _refute(self, update: MemberUpdate) -> None:
        if update.incarnation != self.incarnation:
            return
        accused = update.state in (MemberState.SUSPECT, MemberState.GONE)
        if accused and update.refutation >= self.refutation:
            self.raise_refutation(update.refutation)

    def _replace(self, member: Member, now: float) -> None:
        old = attrs.evolve(self.update_of(member), state=MemberState.LEFT)
        self._add_departure(member.name, member.incarnation, now, "replaced")
        self._spread(old)
        member.candidate = None
        self.changed = True

    def _depart(self, update: MemberUpdate, now: float, reason: str) -> None:
        self._add_departure(update.host, update.incarnation, now, reason)
        self._spread(update)
        member = self.members.get(update.host)
        if member is None or member.incarnation != update.incarnation:
            return
        candidate = member.candidate
        self.changed = True
        if member.listed:
            self.members[update.host] = Member(
                member.name,
                member.data_centre,
                since=now,
                listed=True,
                leaving=member.leaving,
            )
        else:
            del self.members[update.host]
        if candidate is not None:
            self.apply(candidate, now)

    def _add_departure(self, host: str, incarnation: str, now: float, why: str) -> None:
        self.departures[(host, incarnation)] = Departure(host, incarnation, now, why)
        self.changed = True

    def _spread(self, update: MemberUpdate) -> None:
        if update.incarnation:
            self._updates.put(update)
