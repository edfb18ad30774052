"""Keep what is known of each backend server's load.

Knowledge of other hosts' work comes from load reports alone, which lag. Own dispatches
since a report's moment are added to it.
"""

import math
from collections import Counter, deque

import attrs

from sesameport.interfaces import LoadReport
from sesameport.routing.messages import PairingPolicy
from sesameport.world import BackendServer, ServerState

__all__ = ["LoadView", "ServerLoad"]

_SUSPECT_S = 2.0
_RECENT_S = 3.0
_RECENT_KEPT = 200
_INTERVAL_S = 0.03
_SMOOTHING = 0.1


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
    decodes: dict[int, _Decode] = attrs.field(factory=dict)
    prefills: dict[int, tuple[float, float]] = attrs.field(factory=dict)
    ended: deque[tuple[float, float]] = attrs.field(
        factory=lambda: deque(maxlen=_RECENT_KEPT)
    )
    ended_prefills: deque[tuple[float, float, float]] = attrs.field(
        factory=lambda: deque(maxlen=_RECENT_KEPT)
    )

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
    servers: dict[str, ServerLoad] = attrs.field(factory=dict)
    interval_s: dict[str, float] = attrs.field(factory=dict)
    _where: dict[int, list[str]] = attrs.field(factory=dict)
    _slots: Counter = attrs.field(factory=Counter)
    _speeds: Counter = attrs.field(factory=Counter)
    _own_tokens: Counter = attrs.field(factory=Counter)

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
        self._sum_up()

    def _sum_up(self) -> None:
        self._slots.clear()
        self._speeds.clear()
        self._own_tokens.clear()
        for load in self.servers.values():
            service = load.server.service
            if load.server.can_decode():
                self._slots[service] += load.slots
            if load.server.can_prefill():
                self._speeds[service] += load.speed
            own = sum(tokens for _, tokens in load.prefills.values())
            self._own_tokens[service] += own

    def report(self, report: LoadReport, now: float) -> None:
        """Take in a load report; one that is older than the last is ignored."""
        load = self.servers.get(report.server)
        moment = now - report.age_s
        if load is None or moment <= load.moment:
            return
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
        load.last_busy = now
        load.moment = max(load.moment, now)
        own = sum(1 for item in load.decodes.values() if item.started is not None)
        load.others = max(load.others, load.slots - own)

    def free_slots(self, load: ServerLoad) -> float:
        """Return the slots expected free now, from the report and own dispatches."""
        own = len(load.decodes) if self.policy.count_own else 0
        return load.slots - load.others - own

    def backlog_s(self, load: ServerLoad, now: float) -> float:
        """Return the expected wait for prefill on a server, seconds."""
        tokens = load.others_tokens
        since = max(0.0, now - load.moment) if load.moment > -math.inf else 0.0
        if self.policy.count_own:
            tokens += sum(tokens for _, tokens in load.prefills.values())
        return max(0.0, tokens / load.speed - 0.5 * since)

    def decode_s(self, service: str, tokens: int) -> float:
        """Return the expected duration of a decode of ``tokens`` tokens, seconds."""
        return tokens * self.interval_s.get(service, _INTERVAL_S)

    def slots_of(self, service: str) -> int:
        """Return the decode slots of all servers of a service."""
        return self._slots[service]

    def prefill_speed_of(self, service: str) -> float:
        """Return the prefill speed of all servers of a service, tokens per second."""
        return self._speeds.get(service, 0.0)

    def own_prefill_tokens(self, service: str) -> float:
        """Return the own prefill tokens that have not ended."""
        return self._own_tokens.get(service, 0.0)

    def place_prefill(self, ticket: int, name: str, tokens: float, at: float) -> None:
        """Count an own prefill."""
        load = self.servers[name]
        load.prefills[ticket] = (at, tokens)
        self._own_tokens[load.server.service] += tokens
        self._where.setdefault(ticket, []).append(name)

    def place_decode(
        self, ticket: int, name: str, tokens: int, at: float, now: float
    ) -> None:
        """Count an own decode that starts at about ``at``."""
        load = self.servers[name]
        end = at + self.decode_s(load.server.service, tokens)
        load.decodes[ticket] = _Decode(None, end, tokens)
        self._where.setdefault(ticket, []).append(name)

    def start_decode(self, ticket: int, now: float) -> None:
        """Note that the decode call of a placement is sent now."""
        for name in self._where.get(ticket, ()):
            load = self.servers.get(name)
            item = load.decodes.get(ticket) if load else None
            if item is not None and item.started is None:
                item.started = now
                item.expected_end = now + self.decode_s(
                    load.server.service, item.tokens
                )

    def end_prefill(self, ticket: int, now: float) -> None:
        """Release the prefill of a placement; a repeated call has no effect."""
        for name in self._where.get(ticket, ()):
            load = self.servers.get(name)
            item = load.prefills.pop(ticket, None) if load else None
            if item is not None:
                self._own_tokens[load.server.service] -= item[1]
                load.ended_prefills.append((item[0], now, item[1]))

    def end_decode(self, ticket: int, now: float, tokens: int | None = None) -> None:
        """Release the slot of a placement; a repeated call has no effect."""
        for name in self._where.get(ticket, ()):
            load = self.servers.get(name)
            item = load.decodes.pop(ticket, None) if load else None
            if item is None or item.started is None:
                continue
            load.ended.append((item.started, now))
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

    @staticmethod
    def _trim(load: ServerLoad, now: float) -> None:
        while load.ended and load.ended[0][1] < now - _RECENT_S:
            load.ended.popleft()
        recent = load.ended_prefills
        while recent and recent[0][1] < now - _RECENT_S:
            recent.popleft()
