"""Select the engine whose role should change next."""

import math

from sesameport.admission import RolePlanner
from sesameport.domain import ServerRole, ServerState
from sesameport.entry.admission_controller import AdmissionController
from sesameport.entry.role_controller import RoleChange
from sesameport.entry.servers import EntryServer
from sesameport.telemetry.logs import get_logger

__all__ = ["RoleChangeSelector"]

ANNOUNCED_LOSS_URGENT_S = 4.0
"""Time without any engine of a role after which an order becomes urgent, seconds, if
the last engine of that role announced that it was leaving."""

UNANNOUNCED_LOSS_WAIT_S = 8.0
"""Time without any engine of a role before a change is ordered, seconds, if the last
one disappeared unannounced. Crashed engines recover within 5 s and engines of a data
centre that was cut off within 8 s. Changing the role of another engine takes longer."""

log = get_logger("roles")


class RoleChangeSelector:
    """Select role changes from the servers, their use and the workload mix.

    Parameters
    ----------
    host : str
        Name of this host. Only the first reporting host by name selects changes.
    admission : AdmissionController
        Holds the servers, their use and the workload mix.
    """

    def __init__(self, host: str, admission: AdmissionController):
        self._host = host
        self._admission = admission
        self._lost_at: dict[str, float] = {}
        self._joined_at: dict[str, float] = {}
        self._both_roles_seen_at: dict[str, float] = {}
        self._announced: set[str] = set()
        self._ordered: dict[str, tuple[ServerRole, float]] = {}

    def record_order(self, server: str, role: ServerRole, until: float) -> None:
        """Count an engine under its new role until its entry shows it."""
        self._ordered[server] = (role, until)

    def record_loss(self, service: str, now: float) -> None:
        """Record that a service lost a server."""
        self._lost_at[service] = now

    def record_registration(self, service: str, now: float) -> None:
        """Record that a server of a service has registered."""
        self._joined_at[service] = now

    def record_return(self, data_centre: str, now: float) -> None:
        """Record that the evacuation of a data centre has ended."""
        for server in self._admission.registry.all():
            if server.data_centre == data_centre:
                self.record_registration(server.service, now)

    def next_change(self, now: float) -> RoleChange | None:
        """Return the next worthwhile role change, or None."""
        hosts = [self._host, *self._admission.use.hosts()]
        configuration = self._admission.configuration
        if configuration is None or min(hosts) != self._host:
            return None
        for service in configuration.services:
            if service.engine is None:
                continue
            change = self._change_for_service(service, now)
            if change is not None:
                return change
        return None

    def _change_for_service(self, service, now: float) -> RoleChange | None:
        notices, evacuations = self._admission.notices, self._admission.evacuations
        servers = [
            server
            for server in self._admission.registry.live_servers(service.name)
            if not notices.is_leaving(server.name)
            and not evacuations.is_evacuated(server.data_centre)
        ]
        lost_at = self._lost_at.get(service.name, -math.inf)
        joined_at = self._joined_at.get(service.name, -math.inf)
        roles = {server.name: self._role_of(server, now) for server in servers}
        prefill = [
            server for server in servers if roles[server.name] == ServerRole.PREFILL
        ]
        decode = [
            server for server in servers if roles[server.name] == ServerRole.DECODE
        ]
        missing_s = self._missing_role_s(service.name, prefill, decode, now)
        has_announced = service.name in self._announced
        is_empty = not (prefill and decode)
        if is_empty and missing_s < UNANNOUNCED_LOSS_WAIT_S and not has_announced:
            return None
        is_urgent = missing_s >= (
            ANNOUNCED_LOSS_URGENT_S if has_announced else UNANNOUNCED_LOSS_WAIT_S
        )
        has_limits = any(
            notices.limit_of(server.name) is not None for server in servers
        )
        if has_limits and not is_empty:
            # The plan does not know limits and would move the engines without one.
            return None
        planner = RolePlanner(
            self._admission.workload_mix(service.name),
            now - lost_at,
            now - joined_at,
            missing_s,
        )
        step = planner.next_change(len(prefill), len(decode), service.engine.kv_tokens)
        if step == 0:
            return None
        candidates = prefill if step > 0 else decode
        available = [
            server
            for server in candidates
            if server.name not in self._ordered
            and notices.limit_of(server.name) is None
            and notices.takes_requests(server.name, now)
        ]
        if not available:
            return None
        least_loaded = min(available, key=lambda server: self._load_of(server.name))
        role = ServerRole.DECODE if step > 0 else ServerRole.PREFILL
        log.info(
            "role change planned",
            extra={
                "server": least_loaded.name,
                "role": str(role),
                "prefill": len(prefill),
                "decode": len(decode),
                "is_urgent": is_urgent,
                "prefill_s": round(planner.mix.prefill_s, 4),
                "kv_token_s": round(planner.mix.kv_token_s),
            },
        )
        return RoleChange(least_loaded, role, len(servers), is_urgent=is_urgent)

    def _missing_role_s(self, service: str, prefill, decode, now: float) -> float:
        """Return the time for which a role has had no engine, seconds, or 0."""
        if prefill and decode:
            self._both_roles_seen_at[service] = now
            self._announced.discard(service)
            return 0.0
        missing = ServerRole.DECODE if prefill else ServerRole.PREFILL
        for server in self._admission.registry.all():
            if server.service != service or server.role != missing:
                continue
            is_leaving = self._admission.notices.is_leaving(server.name)
            is_evacuated = self._admission.evacuations.is_evacuated(server.data_centre)
            if is_leaving or is_evacuated or server.state == ServerState.LEAVING:
                self._announced.add(service)
        return now - self._both_roles_seen_at.setdefault(service, now)

    def _role_of(self, server: EntryServer, now: float) -> ServerRole:
        role, until = self._ordered.get(server.name, (server.role, now))
        if role == server.role or until <= now:
            self._ordered.pop(server.name, None)
            return server.role
        return role

    def _load_of(self, server: str) -> tuple[float, float, str]:
        use = self._admission.use.total_for(server)
        return (use.kv_tokens, use.prefill_tokens, server)
