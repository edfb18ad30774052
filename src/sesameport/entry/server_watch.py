"""Judge backend servers by what calls and probes report about them."""

import random
from collections.abc import Callable

from sesameport.admission import ServerHealth, ServerRegistry
from sesameport.entry import messages as m
from sesameport.entry.servers import EntryServer
from sesameport.telemetry.logs import get_logger

__all__ = ["ServerWatch"]

PROBED_AT_ONCE = 16
"""Servers that one probe tries to reach: it bounds the cost per host when a whole data
centre is cut off. A server that is not probed is tried by a request after its pause."""

log = get_logger("entry")


class ServerWatch:
    """Turn reports about servers into pauses; belongs to one thread.

    Parameters
    ----------
    directory : ServerRegistry
        Registered servers.
    health : ServerHealth
        Judgement of each server.
    on_change : callable
        Called with the time when a server was paused.
    rng : random.Random
        Chooses whom to probe.
    """

    def __init__(
        self,
        registry: ServerRegistry,
        health: ServerHealth,
        on_change: Callable[[float], None],
        rng: random.Random,
    ):
        self._registry = registry
        self._health = health
        self._on_change = on_change
        self._rng = rng

    def usable(self, service: str, now: float) -> list[EntryServer]:
        """Return the servers of a service that take new work and are not paused."""
        found = []
        for server in self._registry.live_servers(service):
            if self._health.is_paused(server.name, now):
                continue
            if self._registry.is_near_removal(server.name, now):
                continue
            found.append(server)
        return found

    def note_outcome(self, message: m.ServerOutcome, now: float) -> None:
        """Judge a server by a call."""
        server = message.server
        was_paused = self._health.is_paused(server, now)
        if message.unreachable:
            self._health.record_unreachable(server, now)
        elif message.silent:
            self._health.record_timeout(server, now)
        elif message.wrong_server:
            self._health.record_wrong_server(server, now)
        elif message.refused:
            self._health.record_refusal(server, now)
        elif message.kv_refused:
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
            elif message.silent:
                reason = "silent"
            elif message.wrong_server:
                reason = "another server answers"
            log.warning("server paused", extra={"server": server, "reason": reason})
            self._on_change(now)

    def probe_targets(self, now: float) -> list[EntryServer]:
        """Return servers to probe, a random choice of them if there are many."""
        known = [self._registry.get(name) for name in self._health.probe_targets(now)]
        found = [server for server in known if server is not None]
        return self._rng.sample(found, min(len(found), PROBED_AT_ONCE))

    def note_probes(self, message: m.Probed, now: float) -> None:
        """Take in what a probe has found."""
        for server in message.servers:
            was_paused = self._health.is_paused(server, now)
            self._health.record_probe(server, server in message.reached, now)
            if was_paused and not self._health.is_paused(server, now):
                log.info("server reachable again", extra={"server": server})

    def role_ordered(self, message: m.RoleOrdered, now: float) -> None:
        """Keep work from an engine until its role has changed."""
        self._health.pause(message.server, message.seconds, now)
        self._on_change(now)
