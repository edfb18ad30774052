"""Keep what is known of each backend server's load.

Knowledge of other hosts' work comes from load reports alone, which lag. Own dispatches
since a report's moment are added to it. The headroom of a decode server is the number
of further requests that this host may send there. It relaxes towards the host's share
of the slots that are expected free, grows by one when an own request ends and shrinks
by one when one is placed, so that each host mostly refills the slots it released.
"""

import math
import random
from collections import deque

import attrs

from sesameport.interfaces import LoadReport
from sesameport.routing.messages import PairingPolicy
from sesameport.world import BackendServer, ServerState

__all__ = ["LoadView", "ServerLoad"]

_SUSPECT_S = 2.0
_RECENT_S = 3.0
_INTERVAL_S = 0.03
_SMOOTHING = 0.1
_OVERDUE_SHARE = 0.25
_LEAST_GREED = 0.5
# A decode call counts as accepted when no busy answer came for this long. Calls that
# are still retried hold no slot, so none becomes free when they end.
_ACCEPTED_S = 0.1


@attrs.define
class _Decode:
    started: float | None
    expected_end: float
    tokens: int


@attrs.define
class ServerLoad:
    """Hold the knowledge of one server.

    Attributes
    ----------
    moment : float
        Time at which the last report was true, monotonic seconds.
    others : int
        Requests of other hosts at that moment.
    others_tokens : float
        Prefill backlog of other hosts at that moment, tokens.
    headroom : float
        Further requests that this host may send, see the module docstring.
    """

    server: BackendServer
    slots: int
    speed: float
    moment: float = -math.inf
    sequence: int = 0
    others: int = 0
    others_tokens: float = 0.0
    suspected_until: float = -math.inf
    last_busy: float = -math.inf
    headroom: float = 0.0
    headroom_at: float | None = None
    threshold: float = 0.5
    threshold_until: float = -math.inf
    decodes: dict[int, _Decode] = attrs.field(factory=dict)
    prefills: dict[int, tuple[float, float]] = attrs.field(factory=dict)
    ended: deque[tuple[float, float]] = attrs.field(factory=deque)
    ended_prefills: deque[tuple[float, float, float]] = attrs.field(factory=deque)

    def usable(self, now: float) -> bool:
        """Tell whether the server takes new work."""
        return self.server.state == ServerState.LIVE and now >= self.suspected_until

    def age(self, now: float) -> float:
        """Return the age of what is known from reports, seconds."""
        return now - self.moment


@attrs.define
class LoadView:
    """Hold the knowledge of all servers."""

    policy: PairingPolicy
    hosts: int
    rng: random.Random
    servers: dict[str, ServerLoad] = attrs.field(factory=dict)
    interval_s: dict[str, float] = attrs.field(factory=dict)
    greed: dict[str, float] = attrs.field(factory=dict)
    _where: dict[int, list[str]] = attrs.field(factory=dict)
    _turned_away: dict[int, tuple[str, float]] = attrs.field(factory=dict)

    def set_servers(self, servers, documents) -> None:
        """Replace the servers; what is known of those that stay is kept."""
        classes = {
            (doc.name, item.name): item
            for doc in documents.values()
            for item in doc.server_classes
        }
        known, self.servers = self.servers, {}
        for server in servers:
            item = classes.get((server.service, server.server_class))
            slots = item.slots if item else 20
            speed = item.prefill_tokens_per_s if item else 8_000.0
            load = known.get(server.name) or ServerLoad(server, slots, speed)
            load.server, load.slots, load.speed = server, slots, speed
            self.servers[server.name] = load

    def report(self, report: LoadReport, now: float) -> None:
        """Take in a load report; one that is older than the last is ignored."""
        load = self.servers.get(report.server)
        moment = now - report.age_s
        if load is None or moment <= load.moment:
            return
        self._relax(load, now)
        load.moment, load.sequence = moment, report.sequence
        load.slots = report.slots or load.slots
        own = sum(
            1
            for item in load.decodes.values()
            if item.started is not None and item.started <= moment
        )
        own += sum(1 for start, end in load.ended if start <= moment < end)
        load.others = max(0, report.running + report.waiting - own)
        own_tokens = sum(
            tokens for at, tokens in load.prefills.values() if at <= moment
        )
        own_tokens += sum(
            tokens for at, end, tokens in load.ended_prefills if at <= moment < end
        )
        load.others_tokens = max(0.0, report.prefill_queue_tokens - own_tokens)
        self._trim(load, now)

    def suspect(self, name: str, now: float) -> None:
        """Send no new work to a server for a while after it failed a call."""
        load = self.servers.get(name)
        if load is not None:
            load.suspected_until = now + _SUSPECT_S

    def busy(self, name: str, now: float) -> None:
        """Note a busy answer: the server was full at this moment."""
        load = self.servers.get(name)
        if load is None:
            return
        self._relax(load, now)
        load.headroom = min(load.headroom, -self.policy.busy_penalty)
        load.last_busy = now
        load.moment = max(load.moment, now)
        own = sum(1 for item in load.decodes.values() if item.started is not None)
        load.others = max(load.others, load.slots - own)

    def free_slots(self, load: ServerLoad) -> float:
        """Return the slots expected free now, from the report and own dispatches."""
        own = len(load.decodes) if self.policy.count_own else 0
        return load.slots - load.others - own

    def release_rate(self, load: ServerLoad, now: float) -> float:
        """Return the expected ends of own requests per second, from their lengths."""
        total = 0.0
        for item in load.decodes.values():
            if item.started is None or item.started > now - _ACCEPTED_S:
                continue
            # An overdue request may end at any time within a quarter of its length.
            least = _OVERDUE_SHARE * (item.expected_end - item.started)
            total += 1.0 / max(item.expected_end - now, least, 1e-3)
        return total

    def slot_at(self, load: ServerLoad, now: float) -> float:
        """Return when this host may expect a slot on a server, monotonic seconds.

        The slots missing now are expected at the rate at which own requests end.
        """
        if not self.policy.plan_start:
            return now
        if self.policy.share_slots:
            self._relax(load, now)
            if load.threshold_until <= now:
                self._draw(load, now)
            missing = load.threshold - load.headroom
        else:
            missing = 1.0 - self.free_slots(load)
        if missing <= 0.0:
            return now
        rate = self.release_rate(load, now)
        return now + missing / rate if rate else math.inf

    def backlog_s(self, load: ServerLoad, now: float) -> float:
        """Return the expected wait for prefill on a server, seconds."""
        tokens = load.others_tokens
        since = max(0.0, now - load.moment) if load.moment > -math.inf else 0.0
        if self.policy.count_own:
            tokens += sum(tokens for _, tokens in load.prefills.values())
        return max(0.0, tokens / load.speed - 0.5 * since)

    def decode_s(self, load: ServerLoad, tokens: int) -> float:
        """Return the expected duration of a decode of ``tokens`` tokens, seconds."""
        key = load.server.service
        return tokens * self.interval_s.get(key, _INTERVAL_S)

    def place_prefill(self, ticket: int, name: str, tokens: float, at: float) -> None:
        """Count an own prefill."""
        self.servers[name].prefills[ticket] = (at, tokens)
        self._where.setdefault(ticket, []).append(name)

    def place_decode(
        self, ticket: int, name: str, tokens: int, at: float, now: float
    ) -> None:
        """Count an own decode that starts at about ``at``."""
        load = self.servers[name]
        self._relax(load, now)
        end = at + self.decode_s(load, tokens)
        load.decodes[ticket] = _Decode(None, end, tokens)
        load.headroom -= 1.0
        self._draw(load, now)
        self._where.setdefault(ticket, []).append(name)

    def start_decode(self, ticket: int, now: float) -> None:
        """Note that the decode call of a placement is sent now."""
        for name in self._where.get(ticket, ()):
            load = self.servers.get(name)
            item = load.decodes.get(ticket) if load else None
            if item is not None and item.started is None:
                item.started = now
                item.expected_end = now + self.decode_s(load, item.tokens)

    def end_prefill(self, ticket: int, now: float) -> None:
        """Release the prefill of a placement; a repeated call has no effect."""
        for name in self._where.get(ticket, ()):
            load = self.servers.get(name)
            item = load.prefills.pop(ticket, None) if load else None
            if item is not None:
                load.ended_prefills.append((item[0], now, item[1]))

    def was_turned_away(self, ticket: int) -> bool:
        """Tell whether a placement was made after a busy answer."""
        return ticket in self._turned_away

    def turned_away(self, ticket: int, service: str, at: float, again: bool) -> None:
        """Note that a placement tries another server after a busy answer."""
        if not again:
            self._adapt(service, accepted=False)
        self._turned_away[ticket] = (service, at + _ACCEPTED_S)

    def waiting_results(self, service: str, now: float) -> int:
        """Return the own prefill results that were turned away and have no slot yet."""
        over = [key for key, (_, until) in self._turned_away.items() if until <= now]
        for ticket in over:
            del self._turned_away[ticket]
        return sum(1 for name, _ in self._turned_away.values() if name == service)

    def end_decode(
        self,
        ticket: int,
        now: float,
        tokens: int | None = None,
        held_slot: bool = True,
    ) -> None:
        """Release the slot of a placement; a repeated call has no effect.

        A placement that was turned away held no slot, so it adds no headroom.
        """
        self._turned_away.pop(ticket, None)
        for name in self._where.get(ticket, ()):
            load = self.servers.get(name)
            item = load.decodes.pop(ticket, None) if load else None
            if item is None:
                continue
            if not held_slot:
                continue
            self._relax(load, now)
            load.headroom += 1.0
            if item.started is None:
                continue
            load.ended.append((item.started, now))
            self._adapt(load.server.service, accepted=True)
            if tokens:
                self._measure(load, (now - item.started) / tokens)

    def forget(self, ticket: int) -> None:
        """Drop the index entry of a placement that holds nothing any more."""
        for name in self._where.get(ticket, ()):
            load = self.servers.get(name)
            if load and (ticket in load.decodes or ticket in load.prefills):
                return
        self._where.pop(ticket, None)

    def open_count(self) -> int:
        """Return the number of own placements that hold something."""
        return len(self._where)

    def _measure(self, load: ServerLoad, interval: float) -> None:
        key = load.server.service
        old = self.interval_s.get(key, interval)
        self.interval_s[key] = old + _SMOOTHING * (interval - old)

    def _adapt(self, service: str, accepted: bool) -> None:
        # Additive increase, multiplicative decrease: hosts that alone have work take
        # more of the free slots, hosts that collide take less.
        greed = self.greed.get(service, self.policy.greed)
        if accepted:
            greed += self.policy.greed_step
        else:
            greed *= self.policy.greed_cut
        greed = min(float(self.hosts), max(_LEAST_GREED, greed))
        self.greed[service] = greed

    def _draw(self, load: ServerLoad, now: float) -> None:
        load.threshold = self.rng.random()
        load.threshold_until = now + self.policy.relax_s

    def _target(self, load: ServerLoad) -> float:
        free = max(0.0, self.free_slots(load) + self.policy.over_commit)
        greed = self.greed.get(load.server.service, self.policy.greed)
        return greed * free / self.hosts

    def _relax(self, load: ServerLoad, now: float) -> None:
        target = self._target(load)
        if load.headroom_at is None:
            load.headroom = target
        else:
            passed = max(0.0, now - load.headroom_at) / self.policy.relax_s
            if load.headroom > target:
                # What is not used goes to other hosts, which see it in reports.
                above = (load.headroom - target) * math.exp(-passed)
                load.headroom = target + above
            else:
                # A debt is paid by own releases; only free slots pay it earlier.
                load.headroom = min(target, load.headroom + passed * target)
        load.headroom_at = now

    @staticmethod
    def _trim(load: ServerLoad, now: float) -> None:
        while load.ended and load.ended[0][1] < now - _RECENT_S:
            load.ended.popleft()
        recent = load.ended_prefills
        while recent and recent[0][1] < now - _RECENT_S:
            recent.popleft()
