"""Detect failed hosts by probing a fixed number of hosts per period.

The protocol is SWIM (Das, Gupta, Motivala 2002) with local health and self-suspicion
after Lifeguard (Dadgar, Phillips, Currey 2018). A host probes the hosts of its own data
centre in turn. Probes to other data centres only detect which of them are reachable.
The state of remote hosts comes from their own data centre in piggybacked updates.
"""

import math
import random

import attrs

from sesameport.domain import Host
from sesameport.fleet.member_table import EndedIncarnation, Member, MemberTable
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

__all__ = ["MembersChanged", "Membership", "MembershipSettings", "SteppedDown"]

UNRESPONSIVE_PROBE_INTERVAL = 4
"""One in this many periods probes a host that is listed but not alive."""


@attrs.frozen
class MembershipSettings:
    """Configure probing.

    Attributes
    ----------
    period_s : float
        Probing period, seconds.
    pause_s : float
        A tick or message that comes later than this after the last tick means that
        the host was paused. Ticks come every quarter of a period.
    remote_probes : int
        Probes to other data centres per period.
    indirect_probes : int
        Hosts that are requested to probe a host that did not answer.
    updates : int
        Maximum number of updates per message.
    full_exchange_s_per_host : float
        Period at which a host requests all members, in seconds per member. The bytes
        per second therefore do not depend on the size of the fleet.
    """

    period_s: float = 1.0
    pause_s: float = 2.0
    remote_probes: int = 2
    indirect_probes: int = 3
    updates: int = 6
    full_exchange_s_per_host: float = 0.5


@attrs.frozen
class MembersChanged:
    """Report that the alive or leaving hosts changed or that an incarnation ended."""


@attrs.frozen
class SteppedDown:
    """Report that this host was paused and must give up roles and leases at once."""

    paused_s: float


@attrs.define
class _PendingProbe:
    target: str
    sent_at: float
    is_local: bool
    origin: str = ""
    origin_number: int = 0
    indirect_sent: bool = False


class Membership:
    """Detect failures and maintain the member table of one host.

    Methods take ``now``, the local monotonic time in seconds. Methods that change the
    state return a list of effects for the caller to perform: `Send`, `MembersChanged`
    and `SteppedDown`. A `SteppedDown` is always the first item.
    """

    LOCAL_HEALTH_MAX = 4
    """Maximum local health score. The score rises while this host's own probes fail.
    Each point extends the probe timeouts by one base timeout."""

    DIRECT_PROBE_FRACTION = 0.4
    """Fraction of the period after which indirect probes are sent."""

    SUSPECT_PERIODS = 4.0
    """Periods of suspicion, times log10 of the members (Lifeguard 2018)."""

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
        self._last_number = 0
        self._pending: dict[int, _PendingProbe] = {}
        self._probe_order = ProbeOrder(self.table, rng)
        self._answered_at: dict[str, float] = {}
        self._next_period_at = -math.inf
        self._next_full_exchange_at = -math.inf
        self._period_count = 0
        self._last_tick: float | None = None
        self._health_score = 0
        self._self_suspect_since: float | None = None
        self._has_left = False

    # -- state ----------------------------------------------------------------

    def alive(self, data_centre: str, include_leaving: bool = True) -> list[str]:
        """Return the names of the alive hosts of a data centre, sorted.

        Suspected hosts are included, and so is this host unless it has left.
        """
        names = []
        for member in self.table.members.values():
            if member.data_centre != data_centre or not member.is_alive():
                continue
            if include_leaving or not member.leaving:
                names.append(member.name)
        if data_centre == self._own.data_centre and not self._has_left:
            names.append(self._own.name)
        return sorted(names)

    def members(self) -> list[Member]:
        """Return all other known hosts in any state."""
        return list(self.table.members.values())

    def incarnation_of(self, host: str) -> str:
        """Return the newest known incarnation of a host, or an empty string."""
        if host == self._own.name:
            return self.table.incarnation
        member = self.table.members.get(host)
        return member.incarnation if member else ""

    def ended_incarnations(self) -> list[EndedIncarnation]:
        """Return the incarnations that have ended for certain.

        A host that only stopped answering is not included, because the cause may also
        be a partition or a pause.
        """
        return list(self.table.ended_incarnations.values())

    def reachable_data_centres(self, now: float, within_s: float) -> set[str]:
        """Return the data centres that answered a recent probe.

        A probe is recent if it was sent in the last ``within_s`` seconds.
        """
        return {dc for dc, at in self._answered_at.items() if now - at <= within_s}

    def answered_probe_times(self) -> dict[str, float]:
        """Return when the last answered probe to each data centre was sent."""
        return dict(self._answered_at)

    def is_self_suspect(self) -> bool:
        """Return whether this host was paused and no other host has answered since."""
        return self._self_suspect_since is not None

    # -- events ---------------------------------------------------------------

    def check_pause(self, now: float) -> list:
        """Return a `SteppedDown` if this host was paused; call before other work."""
        return self._detect_pause(now)

    def merge_host_list(self, hosts: tuple[Host, ...], now: float) -> list:
        """Merge the platform's list of hosts."""
        effects = self._detect_pause(now)
        self.table.merge_host_list(hosts, now)
        return self._add_member_changes(effects)

    def tick(self, now: float) -> list:
        """Do the periodic work and return its effects; call this 4 times per period."""
        effects = self._detect_pause(now)
        self._last_tick = now
        if self._has_left:
            return effects
        self._send_indirect_probes(now, effects)
        if now >= self._next_period_at:
            self._next_period_at = now + self.cfg.period_s
            self._period_count += 1
            self._suspect_unresponsive(now)
            self._expire_suspicions(now)
            self.table.expire(now)
            self._start_probes(now, effects)
        return self._add_member_changes(effects)

    def receive(self, sender: Sender, message, now: float) -> list:
        """Handle a `Probe`, `IndirectProbe` or `ProbeAck`."""
        effects = self._detect_pause(now)
        if isinstance(message, ProbeAck):
            is_accepted = self._handle_ack(sender, message, now, effects)
        else:
            refutation = getattr(message, "refutation", -1)
            is_accepted = self.table.record_message(
                sender.host, sender.data_centre, sender.incarnation, refutation, now
            )
        if not is_accepted:
            return self._add_member_changes(effects)
        propagate = len(message.updates) <= self.cfg.updates + 1
        for update in message.updates:
            self.table.apply(update, now, propagate)
        if isinstance(message, Probe) and not self._has_left:
            self._send_ack(sender.host, message, effects)
        if isinstance(message, IndirectProbe) and not self._has_left:
            self._probe(message.target, now, effects, sender.host, message.number)
        return self._add_member_changes(effects)

    def leave(self, now: float) -> list:
        """Announce the end of this process to a few hosts, which propagate it."""
        effects = self._detect_pause(now)
        self._has_left = True
        self.table.refutation += 1
        update = (self.table.own_update(MemberState.LEFT),)
        names = self.alive(self._own.data_centre)
        others = [m.name for m in self.members() if m.is_alive()]
        for group in (names, others):
            count = min(self.cfg.indirect_probes, len(group))
            for name in self._rng.sample(group, count):
                self._last_number += 1
                probe = Probe(self._last_number, self.table.refutation, update)
                effects.append(Send(name, probe))
        return effects

    # -- probing --------------------------------------------------------------

    def _start_probes(self, now: float, effects: list) -> None:
        target = self._probe_order.next_local(
            self._period_count % UNRESPONSIVE_PROBE_INTERVAL == 0
        )
        full = now >= self._next_full_exchange_at
        if target:
            self._probe(target, now, effects, full=full)
        for _ in range(self.cfg.remote_probes):
            remote = self._probe_order.next_remote()
            if not remote:
                break
            self._probe(remote, now, effects, full=full and not target)
            target = target or remote
        if full and target:
            wait = self.cfg.full_exchange_s_per_host * (len(self.table.members) + 1)
            wait = max(wait, 10 * self.cfg.period_s)
            # A host without alive members requests them again in the next period.
            if any(m.is_alive() for m in self.members()):
                self._next_full_exchange_at = now + wait * self._rng.uniform(0.75, 1.25)

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
        is_local = member is not None and member.data_centre == self._own.data_centre
        self._last_number += 1
        self._pending[self._last_number] = _PendingProbe(
            target, now, is_local and not origin, origin, origin_number
        )
        updates = self.table.next_updates(self.cfg.updates, first=target)
        probe = Probe(self._last_number, self.table.refutation, updates, full)
        effects.append(Send(target, probe))

    def _send_indirect_probes(self, now: float, effects: list) -> None:
        wait = self.cfg.period_s * self.DIRECT_PROBE_FRACTION * (1 + self._health_score)
        for number, pending in list(self._pending.items()):
            age = now - pending.sent_at
            if age > 10 * self.cfg.period_s:
                del self._pending[number]
                continue
            if not pending.is_local or pending.indirect_sent or age < wait:
                continue
            pending.indirect_sent = True
            helpers = [n for n in self.alive(self._own.data_centre)]
            helpers = [n for n in helpers if n not in (pending.target, self._own.name)]
            count = min(self.cfg.indirect_probes, len(helpers))
            for helper in self._rng.sample(helpers, count):
                updates = self.table.next_updates(self.cfg.updates)
                request = IndirectProbe(number, pending.target, updates)
                effects.append(Send(helper, request))

    def _suspect_unresponsive(self, now: float) -> None:
        wait = self.cfg.period_s * (1 + self._health_score)
        for number, pending in list(self._pending.items()):
            if not pending.is_local or now - pending.sent_at < wait:
                continue
            del self._pending[number]
            if self.is_self_suspect():
                continue
            self._health_score = min(self._health_score + 1, self.LOCAL_HEALTH_MAX)
            member = self.table.members.get(pending.target)
            if member and member.state == MemberState.ALIVE:
                self.table.set_state(member, MemberState.SUSPECT, now)

    def _expire_suspicions(self, now: float) -> None:
        if self.is_self_suspect():
            return
        scale = max(1.0, math.log10(len(self.table.members) + 1))
        wait = self.SUSPECT_PERIODS * scale * self.cfg.period_s
        for member in self.members():
            if member.state == MemberState.SUSPECT and now - member.since >= wait:
                self.table.set_state(member, MemberState.GONE, now)

    # -- acknowledgements -----------------------------------------------------

    def _send_ack(self, host: str, probe: Probe, effects: list) -> None:
        updates: tuple[MemberUpdate, ...]
        if probe.full:
            updates = self.table.all_updates()
        else:
            updates = self.table.next_updates(self.cfg.updates, first=host)
        ack = ProbeAck(
            probe.number,
            self._own.name,
            self._own.data_centre,
            self.table.incarnation,
            self.table.refutation,
            updates,
        )
        effects.append(Send(host, ack))

    def _handle_ack(
        self, sender: Sender, ack: ProbeAck, now: float, effects: list
    ) -> bool:
        pending = self._pending.get(ack.number)
        if pending is None or pending.target != ack.subject:
            return False
        direct = sender.host == ack.subject
        if direct and sender.incarnation != ack.incarnation:
            return False
        is_accepted = self.table.record_message(
            ack.subject,
            ack.data_centre,
            ack.incarnation,
            ack.refutation,
            now,
            pending.sent_at,
        )
        if not is_accepted:
            return False
        del self._pending[ack.number]
        self._self_suspect_since = None
        if direct:
            centre = ack.data_centre
            previous_at = self._answered_at.get(centre, -math.inf)
            self._answered_at[centre] = max(previous_at, pending.sent_at)
            self._health_score = max(self._health_score - 1, 0)
        if pending.origin:
            forwarded = attrs.evolve(ack, number=pending.origin_number)
            effects.append(Send(pending.origin, forwarded))
        return True

    # -- pauses ---------------------------------------------------------------

    def _detect_pause(self, now: float) -> list:
        if self._last_tick is None:
            return []
        paused_s = now - self._last_tick
        if paused_s <= self.cfg.pause_s:
            return []
        # After a pause, unanswered probes and running suspicions prove nothing about
        # the other hosts.
        self._last_tick = now
        self._pending.clear()
        for member in self.members():
            if member.state == MemberState.SUSPECT:
                member.since += paused_s
        self.table.raise_refutation()
        if self.members():
            self._self_suspect_since = now
        self._next_period_at = now
        return [SteppedDown(paused_s)]

    def _add_member_changes(self, effects: list) -> list:
        if self.table.changed:
            self.table.changed = False
            effects.append(MembersChanged())
        return effects
