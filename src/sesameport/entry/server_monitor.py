"""Track the health of backend servers from the outcomes of calls and probes."""

import collections
import random
from collections.abc import Callable, Iterator

from sesameport.admission import (
    Evacuations,
    ServerHealth,
    ServerNotices,
    ServerRegistry,
)
from sesameport.entry import messages as m
from sesameport.entry.servers import EntryServer
from sesameport.telemetry.logs import get_logger

__all__ = ["EVACUATED", "ServerMonitor"]

EVACUATED = "data-centre-evacuated"
"""Reason of a refusal because all servers that could run a request are evacuated."""

MAX_PROBED_SERVERS = 16
"""Number of servers in one probe. It bounds the cost per host when a whole data centre
is cut off. A server that is not probed gets a request again after its pause."""

ServerFilter = Callable[[EntryServer], bool]

log = get_logger("entry")


def _any(server: EntryServer) -> bool:
    return True


class ServerMonitor:
    """Pause servers after failed calls and probes; not thread-safe.

    Parameters
    ----------
    registry : ServerRegistry
        Registered servers.
    health : ServerHealth
        Health of each server.
    notices : ServerNotices
        What servers say of themselves.
    on_change : callable
        Called with the current time when a server is paused.
    rng : random.Random
        Samples the servers to probe.
    evacuations : Evacuations
        Data centres whose servers get nothing.
    """

    def __init__(
        self,
        registry: ServerRegistry,
        health: ServerHealth,
        notices: ServerNotices,
        on_change: Callable[[float], None],
        rng: random.Random,
        evacuations: Evacuations | None = None,
    ):
        self._registry = registry
        self._health = health
        self._notices = notices
        self._on_change = on_change
        self._rng = rng
        self._evacuations = Evacuations() if evacuations is None else evacuations

    def usable_servers(self, service: str, now: float) -> list[EntryServer]:
        """Return the servers of a service that take new work and are not paused.

        Reports of other hosts may exclude at most half of the servers of a role. If
        they name more, the links of the reporting hosts are the likelier fault.

        Nothing is returned until the host knows which data centres are evacuated.
        """
        usable, excluded = [], []
        for server, is_reported_unreachable in self._iter_usable(service, now):
            if is_reported_unreachable:
                excluded.append(server)
                continue
            usable.append(server)
        if not excluded:
            return usable
        usable_count = collections.Counter(server.role for server in usable)
        excluded_count = collections.Counter(server.role for server in excluded)
        usable.extend(
            server
            for server in excluded
            if excluded_count[server.role] > usable_count[server.role]
        )
        return usable

    def iter_reachable(self, service: str, now: float) -> Iterator[EntryServer]:
        """Yield the usable servers that are not reported as unreachable.

        A caller that needs only one server does not check the others.
        """
        if not self._evacuations.is_known:
            return
        for server in self._registry.live_servers(service):
            if not self._is_usable(server, now):
                continue
            if not self._health.is_reported_unreachable(server.name, now):
                yield server

    def _is_usable(self, server: EntryServer, now: float) -> bool:
        return not (
            self._evacuations.is_evacuated(server.data_centre)
            or self._health.is_paused_here(server.name, now)
            or not self._notices.takes_requests(server.name, now)
            or self._registry.is_near_removal(server.name, now)
        )

    def _iter_usable(
        self, service: str, now: float
    ) -> Iterator[tuple[EntryServer, bool]]:
        """Yield usable servers, and whether other hosts report them as unreachable.

        It checks all servers of the service together, with the result of `_is_usable`.
        """
        if not self._evacuations.is_known:
            return
        servers = self._registry.live_servers(service)
        # A placement looks at all servers of a service. Few of them are excluded, so
        # one call for all of them costs less than several calls for each.
        evacuated = self._evacuations.names()
        names = [server.name for server in servers]
        unusable = self._health.paused_here(names, now)
        unusable |= self._notices.refusing(names, now)
        unusable |= self._registry.near_removal(now)
        unreachable = self._health.reported_unreachable(names, now)
        for server in servers:
            if server.data_centre in evacuated or server.name in unusable:
                continue
            yield server, server.name in unreachable

    def decode_servers(self, service: str, now: float) -> list[EntryServer]:
        """Return the usable servers of a service that can decode."""
        return [
            server
            for server in self.usable_servers(service, now)
            if server.can_decode()
        ]

    def no_server_reason(self, service: str, is_allowed: ServerFilter = _any) -> str:
        """Return why a plain service has no usable server among the allowed ones."""
        is_evacuated = self._has_evacuated(service, EntryServer.is_plain, is_allowed)
        return EVACUATED if is_evacuated else "no-server"

    def no_decode_server_reason(
        self, service: str, is_allowed: ServerFilter = _any
    ) -> str:
        """Return why no allowed server of a service that can decode is usable."""
        is_evacuated = self._has_evacuated(service, EntryServer.can_decode, is_allowed)
        return EVACUATED if is_evacuated else "no-decode-server"

    def _has_evacuated(
        self, service: str, serves: ServerFilter, is_allowed: ServerFilter
    ) -> bool:
        """Return whether a server of a service would serve but for an evacuation."""
        return any(
            self._evacuations.is_evacuated(server.data_centre)
            and serves(server)
            and is_allowed(server)
            for server in self._registry.live_servers(service)
        )

    def record_outcome(self, message: m.CallOutcome, now: float) -> None:
        """Update the health of a server after a call."""
        server = message.server
        was_paused = self._health.is_paused(server, now)
        if message.unreachable:
            self._health.record_unreachable(server, now)
        elif message.unresponsive:
            self._health.record_timeout(server, now)
        elif message.wrong_server:
            self._health.record_wrong_server(server, now)
        elif message.refused:
            if self._is_plain(server):
                self._health.record_full_queue(server, now)
                return
            self._health.record_refusal(server, now)
        elif message.refused_decode:
            self._health.record_decode_refusal(server, now)
            if not self._health.is_paused(server, now):
                return
        else:
            self._health.record_answer(server, message.failed)
            return
        if not was_paused:
            reason = "refuses work"
            if message.unreachable:
                reason = "unreachable"
            elif message.unresponsive:
                reason = "silent"
            elif message.wrong_server:
                reason = "another server answers"
            log.warning("server paused", extra={"server": server, "reason": reason})
            self._on_change(now)

    def _is_plain(self, name: str) -> bool:
        server = self._registry.get(name)
        return server is not None and server.is_plain()

    def probe_targets(self, now: float) -> list[EntryServer]:
        """Return the servers to probe, a random sample if there are many."""
        candidates = [
            self._registry.get(name) for name in self._health.probe_targets(now)
        ]
        targets = [
            server
            for server in candidates
            if server is not None
            and not self._evacuations.is_evacuated(server.data_centre)
        ]
        return self._rng.sample(targets, min(len(targets), MAX_PROBED_SERVERS))

    def record_probe_result(self, message: m.ProbeResult, now: float) -> None:
        """Update the health of probed servers."""
        for server in message.servers:
            was_paused = self._health.is_paused(server, now)
            self._health.record_probe(server, server in message.reachable, now)
            if was_paused and not self._health.is_paused(server, now):
                log.info("server reachable again", extra={"server": server})

    def pause_for_role_change(self, message: m.RoleChangeOrdered, now: float) -> None:
        """Pause an engine until its role has changed."""
        self._health.pause(message.server, message.seconds, now)
        self._on_change(now)
