"""Apply the entries of backend servers, and log what changes."""

import time
from collections.abc import Iterable

from sesameport.admission import (
    EXPIRY_GRACE_S,
    Evacuations,
    ServerHealth,
    ServerNotices,
    ServerRegistry,
)
from sesameport.entry.cold_exchange import ColdExchange
from sesameport.entry.learned_servers import LearnedServers
from sesameport.entry.role_change_selector import RoleChangeSelector
from sesameport.entry.servers import EntryServer
from sesameport.telemetry.logs import get_logger

__all__ = ["ServerEntries"]

HEARTBEATS_OF_SILENCE = 3
"""Number of heartbeats after which the store removes the entry of a silent server."""

log = get_logger("entry")


class ServerEntries:
    """Apply server entries to the parts of a host that depend on them.

    Parameters
    ----------
    registry : ServerRegistry
        Registered servers.
    health : ServerHealth
        Health of each server.
    notices, learned : ServerNotices, LearnedServers
        What servers say of themselves, and what this host learns of them.
    selector : RoleChangeSelector
        Learns of lost and new servers.
    evacuations : Evacuations
        Learns the data centre of each server.
    cold : ColdExchange
        Learns which servers are cold.
    """

    def __init__(
        self,
        registry: ServerRegistry,
        health: ServerHealth,
        notices: ServerNotices,
        selector: RoleChangeSelector,
        evacuations: Evacuations,
        cold: ColdExchange,
        learned: LearnedServers,
    ):
        self._registry = registry
        self._health = health
        self._notices = notices
        self._selector = selector
        self._cold = cold
        self._evacuations = evacuations
        self._learned = learned
        self._doubted: set[str] = set()

    def begin_era(self, heartbeat_s: float, now: float) -> None:
        """Doubt entries of servers that had left before the store came back.

        The store removes them after three heartbeats, if their servers do not write.
        """
        silence_s = HEARTBEATS_OF_SILENCE * heartbeat_s
        self._registry.begin_era(now, EXPIRY_GRACE_S + silence_s)

    def apply_changes(
        self, changed: Iterable[EntryServer], removed: Iterable[str], now: float
    ) -> None:
        """Apply changed entries, then remove the named ones."""
        self._record_new_entries(changed, now)
        for server in changed:
            self._registry.put(server)
        for name in removed:
            self._record_loss(name, now)
            self._registry.remove(name, now)
            if self._registry.get(name) is None:
                self._notices.end_entry(name)
            log.info("server entry removed", extra={"server": name})
            self._health.remove_server(name)
        self._log_doubts()

    def replace(self, servers: Iterable[EntryServer], now: float) -> None:
        """Apply a complete listing."""
        self._record_new_entries(servers, now)
        self._cold.record_listing()
        before = {server.name for server in self._registry.all()}
        self._registry.replace(servers, now)
        remaining = {server.name for server in self._registry.all()}
        for name in sorted(before - remaining):
            log.info("server not listed any more", extra={"server": name})
            self._notices.end_entry(name)
            self._health.remove_server(name)
        self._log_doubts()

    def expire(self, now: float) -> None:
        """Remove servers whose grace period has ended, and use doubted ones again."""
        for name in self._registry.end_doubts(now):
            log.info("server entry no longer in doubt", extra={"server": name})
        for name in self._registry.expire(now):
            log.info("server entry expired", extra={"server": name})
            self._notices.end_entry(name)
            self._health.remove_server(name)

    def _log_doubts(self) -> None:
        doubted = self._registry.doubted()
        for name in sorted(doubted - self._doubted):
            log.warning("server entry in doubt", extra={"server": name})
        self._doubted = doubted

    def _record_loss(self, name: str, now: float) -> None:
        server = self._registry.get(name)
        if server is not None:
            self._selector.record_loss(server.service, now)

    def _record_new_entries(self, servers: Iterable[EntryServer], now: float) -> None:
        """Log new and changed entries and update what depends on them."""
        for server in servers:
            self._cold.record_entry(server, now)
            known = self._registry.get(server.name)
            if known == server:
                continue
            self._evacuations.record_server(server.name, server.data_centre)
            self._notices.begin_incarnation(server.name, server.started_at_ms)
            self._learned.begin_incarnation(server)
            if known is None:
                self._selector.record_registration(server.service, time.monotonic())
            if known is not None and (
                known.started_at_ms != server.started_at_ms or known.role != server.role
            ):
                self._health.remove_server(server.name)
            log.info(
                "server entry",
                extra={
                    "server": server.name,
                    "service": server.service,
                    "address": server.address,
                    "role": str(server.role),
                    "state": str(server.state),
                    "started_at_ms": server.started_at_ms,
                },
            )
