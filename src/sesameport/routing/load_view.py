"""Estimate the load of each backend server from load reports and own dispatches.

Load reports are the only information about the work of other hosts, and they lag. Work
that this host has sent to a server since its last report is added to the reported load.
"""

import math
from collections import Counter, deque

import attrs

from sesameport.domain import BackendServer, ServerState
from sesameport.interfaces import LoadReport
from sesameport.routing.messages import PairingPolicy

__all__ = ["LoadView", "ServerLoad"]

_SUSPICION_S = 2.0
"""Time for which a server gets no new work after a failed call."""

_ENDED_RETENTION_S = 3.0
"""Time for which ended work is kept, as a late report may still include it."""

_MAX_ENDED = 200
_DEFAULT_TOKEN_INTERVAL_S = 0.03
_INTERVAL_SMOOTHING = 0.1


@attrs.define
class _OwnDecode:
    started_at: float | None
    expected_end: float
    tokens: int


@attrs.define
class ServerLoad:
    """Track the known load of one server.

    Attributes
    ----------
    slots : int
        Decode slots.
    speed : float
        Prefill speed, tokens per second.
    reported_at : float
        Time that the last report describes, monotonic seconds.
    other_requests : int
        Requests of other hosts at ``reported_at``.
    other_prefill_tokens : float
        Prefill backlog of other hosts at ``reported_at``, tokens.
    own_prefills : dict
        Dispatch time and tokens of this host's prefills, by reservation id.
    ended_decodes, ended_prefills : deque
        Start and end time of this host's recently ended work; for a prefill, also the
        tokens.
    """

    server: BackendServer
    slots: int
    speed: float
    reported_at: float = -math.inf
    sequence: int = 0
    other_requests: int = 0
    other_prefill_tokens: float = 0.0
    suspected_until: float = -math.inf
    last_busy_at: float = -math.inf
    own_decodes: dict[int, _OwnDecode] = attrs.field(factory=dict)
    own_prefills: dict[int, tuple[float, float]] = attrs.field(factory=dict)
    ended_decodes: deque[tuple[float, float]] = attrs.field(
        factory=lambda: deque(maxlen=_MAX_ENDED)
    )
    ended_prefills: deque[tuple[float, float, float]] = attrs.field(
        factory=lambda: deque(maxlen=_MAX_ENDED)
    )

    def is_usable(self, now: float) -> bool:
        """Return whether the server may get new work."""
        return self.server.state == ServerState.LIVE and now >= self.suspected_until

    def report_age_s(self, now: float) -> float:
        """Return the age of the last report, seconds."""
        return now - self.reported_at


@attrs.define
class LoadView:
    """Track the load of all servers and this host's work on them."""

    policy: PairingPolicy
    servers: dict[str, ServerLoad] = attrs.field(factory=dict)
    token_interval_s: dict[str, float] = attrs.field(factory=dict)
    _servers_by_reservation: dict[int, list[str]] = attrs.field(factory=dict)
    _decode_slots: Counter = attrs.field(factory=Counter)
    _prefill_speeds: Counter = attrs.field(factory=Counter)
    _own_prefill_tokens: Counter = attrs.field(factory=Counter)

    def set_servers(self, servers, documents) -> None:
        """Replace the servers and keep the load of those that remain."""
        classes = {
            (doc.name, server_class.name): server_class
            for doc in documents.values()
            for server_class in doc.server_classes
        }
        previous, self.servers = self.servers, {}
        for server in servers:
            server_class = classes.get((server.service, server.server_class))
            slots = server_class.slots if server_class else 20
            speed = server_class.prefill_tokens_per_s if server_class else 8_000.0
            load = previous.get(server.name) or ServerLoad(server, slots, speed)
            load.server, load.slots, load.speed = server, slots, speed
            self.servers[server.name] = load
        self._update_totals()

    def _update_totals(self) -> None:
        self._decode_slots.clear()
        self._prefill_speeds.clear()
        self._own_prefill_tokens.clear()
        for load in self.servers.values():
            service = load.server.service
            if load.server.can_decode():
                self._decode_slots[service] += load.slots
            if load.server.can_prefill():
                self._prefill_speeds[service] += load.speed
            own = sum(tokens for _, tokens in load.own_prefills.values())
            self._own_prefill_tokens[service] += own

    def apply_report(self, report: LoadReport, now: float) -> None:
        """Apply a load report; one that is older than the last is ignored."""
        load = self.servers.get(report.server)
        reported_at = now - report.age_s
        if load is None or reported_at <= load.reported_at:
            return
        load.reported_at, load.sequence = reported_at, report.sequence
        load.slots = report.slots or load.slots
        own = sum(
            1
            for decode in load.own_decodes.values()
            if decode.started_at is not None and decode.started_at <= reported_at
        )
        own += sum(1 for start, end in load.ended_decodes if start <= reported_at < end)
        load.other_requests = max(0, report.running + report.waiting - own)
        own_tokens = sum(
            tokens for at, tokens in load.own_prefills.values() if at <= reported_at
        )
        own_tokens += sum(
            tokens for at, end, tokens in load.ended_prefills if at <= reported_at < end
        )
        load.other_prefill_tokens = max(0.0, report.prefill_queue_tokens - own_tokens)
        self._evict_old(load, now)

    def mark_suspected(self, name: str, now: float) -> None:
        """Exclude a server from new work for a while after a failed call."""
        load = self.servers.get(name)
        if load is not None:
            load.suspected_until = now + _SUSPICION_S

    def record_busy(self, name: str, now: float) -> None:
        """Record a busy answer, which means that all slots of the server are in use."""
        load = self.servers.get(name)
        if load is None:
            return
        load.last_busy_at = now
        load.reported_at = max(load.reported_at, now)
        own = sum(
            1 for decode in load.own_decodes.values() if decode.started_at is not None
        )
        load.other_requests = max(load.other_requests, load.slots - own)

    def free_slots(self, load: ServerLoad) -> float:
        """Return the expected number of free slots, which may be negative."""
        own = len(load.own_decodes) if self.policy.count_own_dispatches else 0
        return load.slots - load.other_requests - own

    def backlog_s(self, load: ServerLoad, now: float) -> float:
        """Return the expected wait for a prefill to start on a server, seconds.

        The reported backlog is reduced by half the time since the report.
        """
        tokens = load.other_prefill_tokens
        age_s = (
            max(0.0, now - load.reported_at) if load.reported_at > -math.inf else 0.0
        )
        if self.policy.count_own_dispatches:
            tokens += sum(tokens for _, tokens in load.own_prefills.values())
        return max(0.0, tokens / load.speed - 0.5 * age_s)

    def decode_s(self, service: str, tokens: int) -> float:
        """Return the expected duration of a decode of ``tokens`` tokens, seconds."""
        return tokens * self.token_interval_s.get(service, _DEFAULT_TOKEN_INTERVAL_S)

    def decode_slots(self, service: str) -> int:
        """Return the total number of decode slots of a service."""
        return self._decode_slots[service]

    def prefill_speed(self, service: str) -> float:
        """Return the total prefill speed of a service, tokens per second."""
        return self._prefill_speeds.get(service, 0.0)

    def own_prefill_tokens(self, service: str) -> float:
        """Return the tokens of this host's unfinished prefills for a service."""
        return self._own_prefill_tokens.get(service, 0.0)

    def reserve_prefill(
        self, reservation_id: int, name: str, tokens: float, at: float
    ) -> None:
        """Add a prefill of this host that is dispatched at ``at``."""
        load = self.servers[name]
        load.own_prefills[reservation_id] = (at, tokens)
        self._own_prefill_tokens[load.server.service] += tokens
        self._servers_by_reservation.setdefault(reservation_id, []).append(name)

    def reserve_decode(
        self, reservation_id: int, name: str, tokens: int, at: float, now: float
    ) -> None:
        """Reserve a slot for a decode that is expected to start at ``at``."""
        load = self.servers[name]
        end = at + self.decode_s(load.server.service, tokens)
        load.own_decodes[reservation_id] = _OwnDecode(None, end, tokens)
        self._servers_by_reservation.setdefault(reservation_id, []).append(name)

    def start_decode(self, reservation_id: int, now: float) -> None:
        """Record that the decode call of a placement is sent at ``now``."""
        for name in self._servers_by_reservation.get(reservation_id, ()):
            load = self.servers.get(name)
            decode = load.own_decodes.get(reservation_id) if load else None
            if decode is not None and decode.started_at is None:
                decode.started_at = now
                decode.expected_end = now + self.decode_s(
                    load.server.service, decode.tokens
                )

    def end_prefill(self, reservation_id: int, now: float) -> None:
        """Release the prefill of a placement; a second call has no effect."""
        for name in self._servers_by_reservation.get(reservation_id, ()):
            load = self.servers.get(name)
            prefill = load.own_prefills.pop(reservation_id, None) if load else None
            if prefill is not None:
                self._own_prefill_tokens[load.server.service] -= prefill[1]
                load.ended_prefills.append((prefill[0], now, prefill[1]))

    def end_decode(
        self, reservation_id: int, now: float, tokens: int | None = None
    ) -> None:
        """Release the slot of a placement; a second call has no effect.

        ``tokens`` is the number of generated tokens. If given, it updates the measured
        token interval of the service.
        """
        for name in self._servers_by_reservation.get(reservation_id, ()):
            load = self.servers.get(name)
            decode = load.own_decodes.pop(reservation_id, None) if load else None
            if decode is None or decode.started_at is None:
                continue
            load.ended_decodes.append((decode.started_at, now))
            if tokens:
                self._update_token_interval(load, (now - decode.started_at) / tokens)

    def remove_if_released(self, reservation_id: int) -> None:
        """Remove a placement from the index if all its reservations are released."""
        for name in self._servers_by_reservation.get(reservation_id, ()):
            load = self.servers.get(name)
            if load and (
                reservation_id in load.own_decodes
                or reservation_id in load.own_prefills
            ):
                return
        self._servers_by_reservation.pop(reservation_id, None)

    def open_count(self) -> int:
        """Return the number of placements with unreleased reservations."""
        return len(self._servers_by_reservation)

    def _update_token_interval(self, load: ServerLoad, interval_s: float) -> None:
        service = load.server.service
        old = self.token_interval_s.get(service, interval_s)
        self.token_interval_s[service] = old + _INTERVAL_SMOOTHING * (interval_s - old)

    @staticmethod
    def _evict_old(load: ServerLoad, now: float) -> None:
        while (
            load.ended_decodes and load.ended_decodes[0][1] < now - _ENDED_RETENTION_S
        ):
            load.ended_decodes.popleft()
        prefills = load.ended_prefills
        while prefills and prefills[0][1] < now - _ENDED_RETENTION_S:
            prefills.popleft()
