"""Track the incarnations of all hosts as one host sees them."""

import math

import attrs

from sesameport.domain import Host, ServerState
from sesameport.fleet.peer_messages import MemberState, MemberUpdate
from sesameport.fleet.update_queue import UpdateQueue

__all__ = ["EndedIncarnation", "Member", "MemberTable"]

UPDATE_SEND_FACTOR = 3
"""An update is sent this many times log2 of the member count (SWIM 2002, section 4.1).
"""

MAX_ENDED_INCARNATIONS = 4_096
"""Ended incarnations remembered. At 142 failures and restarts a day this covers more
than a day and leaves room for bursts."""

ENDED_INCARNATION_KEPT_S = 9_000.0
"""Time for which an ended incarnation is remembered. It exceeds the standing lease of
2 h, after which an incarnation no longer holds a standing share."""

UNLISTED_END_S = 30.0
"""Time without answers and off the platform's list after which an incarnation has ended
for certain."""

_STATE_PRECEDENCE = {
    MemberState.UNCONFIRMED: 0,
    MemberState.ALIVE: 1,
    MemberState.SUSPECT: 2,
    MemberState.GONE: 3,
    MemberState.LEFT: 4,
}


@attrs.define
class Member:
    """Represent the state of one other host.

    Attributes
    ----------
    name, data_centre : str
        Host name and data centre.
    incarnation : str
        Newest known incarnation; empty if none is known.
    refutation : int
        Highest refutation number seen from the incarnation.
    state : MemberState
        State of the incarnation.
    since : float
        Local time of the last change of state, seconds.
    listed, leaving : bool
        Whether the platform's list contains the host, and marks it as leaving.
    last_seen_at : float
        Local time of the last message from the incarnation or update about it.
    unlisted_at : float or None
        Local time at which the host was found missing from the platform's list.
    candidate : MemberUpdate or None
        Update of another incarnation that may be newer but is not confirmed.
    """

    name: str
    data_centre: str
    incarnation: str = ""
    refutation: int = -1
    state: MemberState = MemberState.UNCONFIRMED
    since: float = 0.0
    listed: bool = False
    leaving: bool = False
    last_seen_at: float = -math.inf
    unlisted_at: float | None = None
    candidate: MemberUpdate | None = None

    def is_alive(self) -> bool:
        """Return whether the host is alive; a suspected host is."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)


@attrs.frozen
class EndedIncarnation:
    """Represent an incarnation that has ended for certain.

    ``since`` is the local time at which this host learned of the end, so the end was
    not later. ``reason`` is ``replaced``, ``left`` or ``unlisted``.
    """

    host: str
    incarnation: str
    since: float
    reason: str


class MemberTable:
    """Merge updates, answers and the platform's list into one view of the members.

    Incarnations are random and have no order. An incarnation replaces another one only
    if it answers a probe that was sent after the other one was last seen. This is
    sound because a host name and its address belong to one process at a time.

    Attributes
    ----------
    refutation : int
        Refutation number of this host.
    members : dict of str to Member
        Other hosts by name.
    ended_incarnations : dict
        Incarnations that have ended for certain, by host and incarnation.
    changed : bool
        Whether the alive or leaving hosts or the ended incarnations changed since the
        flag was last cleared.
    probe_first : dict of str to None
        Hosts to probe before others, because their newest incarnation is unconfirmed.
    """

    def __init__(self, own: Host, incarnation: str):
        self.own = own
        self.incarnation = incarnation
        self.refutation = 0
        self.members: dict[str, Member] = {}
        self.ended_incarnations: dict[tuple[str, str], EndedIncarnation] = {}
        self.changed = False
        self.probe_first: dict[str, None] = {}
        self._updates = UpdateQueue()

    def apply(self, update: MemberUpdate, now: float, propagate: bool = True) -> None:
        """Merge one update that another host forwarded.

        ``propagate`` is False for the long lists that a joining host receives, because
        other hosts already know the alive members. Other states are always propagated.
        """
        if update.host == self.own.name:
            self._refute(update)
            return
        if (update.host, update.incarnation) in self.ended_incarnations:
            return
        if update.state == MemberState.LEFT:
            self._handle_left(update, now, "left")
            return
        if update.state == MemberState.UNCONFIRMED or not update.incarnation:
            return
        member = self._get_or_add_member(update.host, update.data_centre)
        if member.incarnation not in ("", update.incarnation):
            if member.state != MemberState.GONE:
                member.candidate = update
                if member.data_centre == self.own.data_centre:
                    self.probe_first[member.name] = None
                return
            if update.state == MemberState.GONE:
                return
        if member.incarnation != update.incarnation:
            member.incarnation = update.incarnation
            member.refutation = -1
            member.state = MemberState.UNCONFIRMED
            member.last_seen_at = now
        newer = (update.refutation, _STATE_PRECEDENCE[update.state])
        if newer <= (member.refutation, _STATE_PRECEDENCE[member.state]):
            return
        member.refutation = update.refutation
        member.last_seen_at = now
        propagate = propagate or update.state != MemberState.ALIVE
        self.set_state(member, update.state, now, propagate)

    def record_message(
        self,
        host: str,
        data_centre: str,
        incarnation: str,
        refutation: int,
        now: float,
        probe_sent_at: float | None = None,
    ) -> bool:
        """Record a message from a host; return whether to process the message.

        Parameters
        ----------
        probe_sent_at : float or None
            Time at which the probe that the message answers was sent.
        """
        if host == self.own.name:
            return False
        ended = self.ended_incarnations.get((host, incarnation))
        if ended is not None:
            if ended.reason != "unlisted" or probe_sent_at is None:
                return False
            if probe_sent_at <= ended.since:
                return False
            del self.ended_incarnations[(host, incarnation)]
        member = self._get_or_add_member(host, data_centre)
        if member.incarnation not in ("", incarnation):
            if probe_sent_at is None or probe_sent_at <= member.last_seen_at:
                self.probe_first[host] = None
                return True
            self._end_replaced(member, now)
        if member.incarnation != incarnation:
            member.incarnation = incarnation
            member.refutation = -1
            member.state = MemberState.UNCONFIRMED
        member.last_seen_at = now
        if refutation > member.refutation:
            member.refutation = refutation
            self.set_state(member, MemberState.ALIVE, now)
        return True

    def set_state(
        self, member: Member, state: MemberState, now: float, propagate: bool = True
    ) -> None:
        """Set the state of a member and queue an update for other hosts."""
        if member.state != state:
            was_alive = member.is_alive()
            member.state = state
            member.since = now
            self.changed = self.changed or was_alive != member.is_alive()
        if propagate:
            self._queue_update(self.update_of(member))

    def merge_host_list(self, hosts: tuple[Host, ...], now: float) -> None:
        """Merge the platform's list; it lags, so it does not make a host alive."""
        listed_names = set()
        for host in hosts:
            if host.name == self.own.name:
                continue
            listed_names.add(host.name)
            member = self._get_or_add_member(host.name, host.data_centre)
            member.listed = True
            member.unlisted_at = None
            leaving = host.state == ServerState.LEAVING
            self.changed = self.changed or member.leaving != leaving
            member.leaving = leaving
            member.data_centre = host.data_centre
        for member in list(self.members.values()):
            if member.name in listed_names or not member.listed:
                continue
            member.listed = False
            member.unlisted_at = now
            if member.state == MemberState.UNCONFIRMED:
                del self.members[member.name]

    def expire(self, now: float) -> None:
        """Record the end of gone, unlisted members and evict old ended incarnations."""
        for member in list(self.members.values()):
            if member.state != MemberState.GONE or member.unlisted_at is None:
                continue
            if now - max(member.since, member.unlisted_at) >= UNLISTED_END_S:
                self._record_end(member.name, member.incarnation, now, "unlisted")
                del self.members[member.name]
        for key, ended in list(self.ended_incarnations.items()):
            is_old = now - ended.since > ENDED_INCARNATION_KEPT_S
            if not is_old and len(self.ended_incarnations) <= MAX_ENDED_INCARNATIONS:
                break
            del self.ended_incarnations[key]

    def next_updates(self, count: int, first: str = "") -> tuple[MemberUpdate, ...]:
        """Return up to ``count`` updates, those sent the fewest times first.

        An update on host ``first`` is included if that host is suspected or gone. The
        host can then refute it in its answer.
        """
        chosen = []
        member = self.members.get(first)
        if member and member.state in (MemberState.SUSPECT, MemberState.GONE):
            chosen.append(self.update_of(member))
        limit = UPDATE_SEND_FACTOR * math.ceil(math.log2(len(self.members) + 2))
        chosen.extend(self._updates.next_updates(count - len(chosen), limit))
        return tuple(chosen)

    def all_updates(self) -> tuple[MemberUpdate, ...]:
        """Return an update for every known incarnation."""
        known = [m for m in self.members.values() if m.incarnation]
        return tuple(self.update_of(member) for member in known)

    def update_of(self, member: Member) -> MemberUpdate:
        """Return an update with the state of a member."""
        return MemberUpdate(
            member.name,
            member.data_centre,
            member.incarnation,
            member.refutation,
            member.state,
        )

    def own_update(self, state: MemberState = MemberState.ALIVE) -> MemberUpdate:
        """Return an update about this host."""
        return MemberUpdate(
            self.own.name,
            self.own.data_centre,
            self.incarnation,
            self.refutation,
            state,
        )

    def raise_refutation(self, above: int = -1) -> None:
        """Refute every suspicion of this host up to a refutation number."""
        self.refutation = max(self.refutation, above) + 1
        self._queue_update(self.own_update())

    def _get_or_add_member(self, name: str, data_centre: str) -> Member:
        member = self.members.get(name)
        if member is None:
            member = Member(name, data_centre)
            self.members[name] = member
        return member

    def _refute(self, update: MemberUpdate) -> None:
        if update.incarnation != self.incarnation:
            return
        is_accused = update.state in (MemberState.SUSPECT, MemberState.GONE)
        if is_accused and update.refutation >= self.refutation:
            self.raise_refutation(update.refutation)

    def _end_replaced(self, member: Member, now: float) -> None:
        update = self.update_of(member)._replace(state=MemberState.LEFT)
        self._record_end(member.name, member.incarnation, now, "replaced")
        self._queue_update(update)
        member.candidate = None
        self.changed = True

    def _handle_left(self, update: MemberUpdate, now: float, reason: str) -> None:
        self._record_end(update.host, update.incarnation, now, reason)
        self._queue_update(update)
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

    def _record_end(self, host: str, incarnation: str, now: float, reason: str) -> None:
        self.ended_incarnations[(host, incarnation)] = EndedIncarnation(
            host, incarnation, now, reason
        )
        self.changed = True

    def _queue_update(self, update: MemberUpdate) -> None:
        if update.incarnation:
            self._updates.put(update)
