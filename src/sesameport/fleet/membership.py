"""Decide which hosts are alive by probing a fixed number of them each period.

The protocol is SWIM (Das, Gupta, Motivala 2002) with local health and self-suspicion
after Lifeguard (Dadgar, Phillips, Currey 2018). Hosts probe every host of their own
data centre in turn. Probes to other data centres only tell which of them can be heard;
the state of their hosts comes from their own probing, as piggybacked updates.
"""

import math
import random

import attrs

from sesameport.fleet.member_table import Departure, Member, MemberTable
from sesameport.fleet.peer_messages import (
    IndirectProbe,
    MemberState,
    MemberUpdate,
    Probe,
    ProbeAck,
    Send,
)
from sesameport.fleet.probe_order import ProbeOrder
from sesameport.interfaces import Sender
from sesameport.world import Host

__all__ = ["MembersChanged", "Membership", "MembershipSettings", "SteppedDown"]

SILENT_TURN = 4
"""One period in this many probes a host that the list names but nobody heard."""


@attrs.frozen
class MembershipSettings:
    """Give the constants of probing.

    Attributes
    ----------
    period_s : float
        Probing period, seconds.
    pause_s : float
        A tick or message this long after the last tick means that the host was
        paused. Ticks come every quarter of a period.
    remote_probes : int
        Probes to other data centres per period.
    indirect_probes : int
        Hosts asked to probe a host that did not answer.
    updates : int
        Updates that one message carries at most.
    full_exchange_s_per_host : float
        A host asks for all members every this many seconds times the number of
        members, so the bytes per second do not depend on the fleet's size.
    """

    period_s: float = 1.0
    pause_s: float = 2.0
    remote_probes: int = 2
    indirect_probes: int = 3
    updates: int = 6
    full_exchange_s_per_host: float = 0.5


@attrs.frozen
class MembersChanged:
    """Report that a host became alive, leaving or gone, or an incarnation departed."""


@attrs.frozen
class SteppedDown:
    """Report that this host was paused and must give up roles and leases now."""

    paused_s: float


@attrs.define
class _Pending:
    target: str
    sent_at: float
    local: bool
    origin: str = ""
    origin_number: int = 0
    indirect: bool = False


class Membership:
    """Probe hosts and keep the table of members; the caller sends what it returns.

    Every method takes ``now``, the local monotonic time in seconds, and those that
    act return a list of `Send`, `SteppedDown` and `MembersChanged`. A `SteppedDown`
    is always the first item.
    """

    LOCAL_HEALTH_MAX = 4
    """Timeouts grow up to this many times while this host's own probes fail."""

    DIRECT_PART = 0.4
    """Part of the period after which indirect probes are sent."""

    SUSPECT_PERIODS = 4.0
    """Periods a host stays suspect, times log10 of the members (Lifeguard 2018)."""

    def __init__(
        self,
        own: Host,
        incarnation: str,
        rng: random.Random,
        cfg: MembershipSettings | None = None,
    ):
        self.cfg = cfg or MembershipSettings()
        self.table = MemberTable(own, incarnation)
        self._own = own
        self._rng = rng
        self._number = 0
        self._pending: dict[int, _Pending] = {}
        self._order = ProbeOrder(self.table, rng)
        self._heard: dict[str, float] = {}
        self._next_period = -math.inf
        self._next_full = -math.inf
        self._periods = 0
        self._last_tick: float | None = None
        self._health = 0
        self._suspects_itself_since: float | None = None
        self._left = False

    # -- questions ------------------------------------------------------------

    def alive(self, data_centre: str, with_leaving: bool = True) -> list[str]:
        """Return the names of the alive hosts of a data centre, sorted.

        Suspected hosts count as alive; this host is included unless it left.
        """
        names = []
        for member in self.table.members.values():
            if member.data_centre != data_centre or not member.is_alive():
                continue
            if with_leaving or not member.leaving:
                names.append(member.name)
        if data_centre == self._own.data_centre and not self._left:
            names.append(self._own.name)
        return sorted(names)

    def members(self) -> list[Member]:
        """Return all other hosts that are known, in any state."""
        return list(self.table.members.values())

    def incarnation_of(self, host: str) -> str:
        """Return the newest known incarnation of a host, or an empty text."""
        if host == self._own.name:
            return self.table.incarnation
        member = self.table.members.get(host)
        return member.incarnation if member else ""

    def gone_for_certain(self) -> list[Departure]:
        """Return the incarnations that certainly ended, with the time of learning.

        A host that only stopped answering is not among them, because a partition or
        a pause looks the same.
        """
        return list(self.table.departures.values())

    def heard_within(self, now: float, within_s: float) -> set[str]:
        """Return the data centres whose hosts answered a probe sent that recently."""
        return {dc for dc, at in self._heard.items() if now - at <= within_s}

    def heard_at(self) -> dict[str, float]:
        """Return when the latest answered probe to each data centre was sent."""
        return dict(self._heard)

    def suspects_itself(self) -> bool:
        """Tell whether this host was paused and no other host has answered since."""
        return self._suspects_itself_since is not None

    # -- events ---------------------------------------------------------------

    def merge_list(self, hosts: tuple[Host, ...], now: float) -> list:
        """Merge the platform's list of hosts."""
        effects = self._note_pause(now)
        self.table.merge_list(hosts, now)
        return self._finish(effects)

    def tick(self, now: float) -> list:
        """Do the periodic work; call it every quarter of a period."""
        effects = self._note_pause(now)
        self._last_tick = now
        if self._left:
            return effects
        self._retry_indirectly(now, effects)
        if now >= self._next_period:
            self._next_period = now + self.cfg.period_s
            self._periods += 1
            self._suspect_silent(now)
            self._end_suspicions(now)
            self.table.expire(now)
            self._start_probes(now, effects)
        return self._finish(effects)

    def receive(self, sender: Sender, message, now: float) -> list:
        """Handle a `Probe`, `IndirectProbe` or `ProbeAck`."""
        effects = self._note_pause(now)
        if isinstance(message, ProbeAck):
            known = self._take_ack(sender, message, now, effects)
        else:
            refutation = getattr(message, "refutation", -1)
            known = self.table.heard(
                sender.host, sender.data_centre, sender.incarnation, refutation, now
            )
        if not known:
            return self._finish(effects)
        spread = len(message.updates) <= self.cfg.updates + 1
        for update in message.updates:
            self.table.apply(update, now, spread)
        if isinstance(message, Probe) and not self._left:
            self._answer(sender.host, message, effects)
        if isinstance(message, IndirectProbe) and not self._left:
            self._probe(message.target, now, effects, sender.host, message.number)
        return self._finish(effects)

    def leave(self, now: float) -> list:
        """Announce a graceful end to a few hosts, which spread it."""
        effects = self._note_pause(now)
        self._left = True
        self.table.refutation += 1
        update = (self.table.own_update(MemberState.LEFT),)
        names = self.alive(self._own.data_centre)
        others = [m.name for m in self.members() if m.is_alive()]
        for group in (names, others):
            count = min(self.cfg.indirect_probes, len(group))
            for name in self._rng.sample(group, count):
                self._number += 1
                probe = Probe(self._number, self.table.refutation, update)
                effects.append(Send(name, probe))
        return effects

    # -- probing --------------------------------------------------------------

    def _start_probes(self, now: float, effects: list) -> None:
        target = self._order.next_local(self._periods % SILENT_TURN == 0)
        full = now >= self._next_full
        if target:
            self._probe(target, now, effects, full=full)
        for _ in range(self.cfg.remote_probes):
            remote = self._order.next_remote()
            if not remote:
                break
            self._probe(remote, now, effects, full=full and not target)
            target = target or remote
        if full and target:
            wait = self.cfg.full_exchange_s_per_host * (len(self.table.members) + 1)
            wait = max(wait, 10 * self.cfg.period_s)
            # A host that knows nobody asks again in the next period.
            if any(m.is_alive() for m in self.members()):
                self._next_full = now + wait * self._rng.uniform(0.75, 1.25)

    def _probe(
        self,
        target: str,
        now: float,
        effects: list,
        origin: str = "",
        origin_number: int = 0,
        full: bool = False,
    ) -> None:
        member = self.table.members.get(target)
        local = member is not None and member.data_centre == self._own.data_centre
        self._number += 1
        self._pending[self._number] = _Pending(
            target, now, local and not origin, origin, origin_number
        )
        updates = self.table.take_updates(self.cfg.updates, first=target)
        probe = Probe(self._number, self.table.refutation, updates, full)
        effects.append(Send(target, probe))

    def _retry_indirectly(self, now: float, effects: list) -> None:
        wait = self.cfg.period_s * self.DIRECT_PART * (1 + self._health)
        for number, pending in list(self._pending.items()):
            age = now - pending.sent_at
            if age > 10 * self.cfg.period_s:
                del self._pending[number]
                continue
            if not pending.local or pending.indirect or age < wait:
                continue
            pending.indirect = True
            helpers = [n for n in self.alive(self._own.data_centre)]
            helpers = [n for n in helpers if n not in (pending.target, self._own.name)]
            count = min(self.cfg.indirect_probes, len(helpers))
            for helper in self._rng.sample(helpers, count):
                updates = self.table.take_updates(self.cfg.updates)
                ask = IndirectProbe(number, pending.target, updates)
                effects.append(Send(helper, ask))

    def _suspect_silent(self, now: float) -> None:
        wait = self.cfg.period_s * (1 + self._health)
        for number, pending in list(self._pending.items()):
            if not pending.local or now - pending.sent_at < wait:
                continue
            del self._pending[number]
            if self.suspects_itself():
                continue
            self._health = min(self._health + 1, self.LOCAL_HEALTH_MAX)
            member = self.table.members.get(pending.target)
            if member and member.state == MemberState.ALIVE:
                self.table.set_state(member, MemberState.SUSPECT, now)

    def _end_suspicions(self, now: float) -> None:
        if self.suspects_itself():
            return
        scale = max(1.0, math.log10(len(self.table.members) + 1))
        wait = self.SUSPECT_PERIODS * scale * self.cfg.period_s
        for member in self.members():
            if member.state == MemberState.SUSPECT and now - member.since >= wait:
                self.table.set_state(member, MemberState.GONE, now)

    # -- answers --------------------------------------------------------------

    def _answer(self, host: str, probe: Probe, effects: list) -> None:
        updates: tuple[MemberUpdate, ...]
        if probe.full:
            updates = self.table.all_updates()
        else:
            updates = self.table.take_updates(self.cfg.updates, first=host)
        ack = ProbeAck(
            probe.number,
            self._own.name,
            self._own.data_centre,
            self.table.incarnation,
            self.table.refutation,
            updates,
        )
        effects.append(Send(host, ack))

    def _take_ack(
        self, sender: Sender, ack: ProbeAck, now: float, effects: list
    ) -> bool:
        pending = self._pending.get(ack.number)
        if pending is None or pending.target != ack.subject:
            return False
        direct = sender.host == ack.subject
        if direct and sender.incarnation != ack.incarnation:
            return False
        known = self.table.heard(
            ack.subject,
            ack.data_centre,
            ack.incarnation,
            ack.refutation,
            now,
            pending.sent_at,
        )
        if not known:
            return False
        del self._pending[ack.number]
        self._suspects_itself_since = None
        if direct:
            centre = ack.data_centre
            known_at = self._heard.get(centre, -math.inf)
            self._heard[centre] = max(known_at, pending.sent_at)
            self._health = max(self._health - 1, 0)
        if pending.origin:
            passed_on = attrs.evolve(ack, number=pending.origin_number)
            effects.append(Send(pending.origin, passed_on))
        return True

    # -- pauses ---------------------------------------------------------------

    def _note_pause(self, now: float) -> list:
        if self._last_tick is None:
            return []
        late_s = now - self._last_tick
        if late_s <= self.cfg.pause_s:
            return []
        # Missing answers and old suspicions say nothing after a pause.
        self._last_tick = now
        self._pending.clear()
        for member in self.members():
            if member.state == MemberState.SUSPECT:
                member.since += late_s
        self.table.raise_refutation()
        if self.members():
            self._suspects_itself_since = now
        self._next_period = now
        return [SteppedDown(late_s)]

    def _finish(self, effects: list) -> list:
        if self.table.changed:
            self.table.changed = False
            effects.append(MembersChanged())
        return effects
