"""Decide role changes between prefill and decode from the load of the servers."""

import attrs

from sesameport.domain import ServerRole

__all__ = ["RoleRebalance", "RoleRebalancer", "RoleSettings", "ServerRoleLoad"]


@attrs.frozen
class RoleSettings:
    """Configure the thresholds of role changes.

    Attributes
    ----------
    prefill_high, prefill_low : float
        Mean queueing time of prompts before prefill, as a fraction of the target for
        the first token. A change to prefill requires a value above ``prefill_high``, a
        change to decode one below ``prefill_low``. The gap is the hysteresis.
    decode_high, decode_low : float
        The same for running and waiting requests per decode slot.
    stabilization_s : float
        Time for which a role must be short of servers before a change, seconds.
    cooldown_s : float
        Minimum time between two changes, seconds. It covers the drain of the changed
        server and the lag of load reports.
    """

    prefill_high: float = 0.5
    prefill_low: float = 0.1
    decode_high: float = 0.95
    decode_low: float = 0.7
    stabilization_s: float = 30.0
    cooldown_s: float = 120.0


@attrs.frozen
class ServerRoleLoad:
    """Represent the reported load of one live server whose role may change."""

    server: str
    role: ServerRole
    running: int
    waiting: int
    slots: int
    prefill_queue_s: float


@attrs.frozen
class RoleRebalance:
    """Represent a role change of one server and its reason as shown to operators."""

    server: str
    role: ServerRole
    reason: str


@attrs.define
class RoleRebalancer:
    """Propose one role change at a time; each role keeps at least one server.

    Parameters
    ----------
    first_token_s : float
        Target for the time to the first token, seconds.
    cfg : RoleSettings
        Thresholds and minimum times.
    """

    first_token_s: float
    cfg: RoleSettings = RoleSettings()
    _needed_role: ServerRole | None = None
    _needed_since: float = 0.0
    _cooldown_until: float = float("-inf")

    def decide(self, loads: list[ServerRoleLoad], now: float) -> RoleRebalance | None:
        """Return the role change to make now, or None."""
        needed, reason = self._find_need(loads)
        if needed != self._needed_role:
            self._needed_role, self._needed_since = needed, now
        if needed is None or now - self._needed_since < self.cfg.stabilization_s:
            return None
        if now < self._cooldown_until:
            return None
        sources = [load for load in loads if load.role != needed]
        if len(sources) < 2:
            return None
        chosen = min(
            sources,
            key=lambda load: (
                load.running + load.waiting,
                load.prefill_queue_s,
                load.server,
            ),
        )
        self._needed_role = None
        self._cooldown_until = now + self.cfg.cooldown_s
        return RoleRebalance(chosen.server, needed, reason)

    def _find_need(self, loads: list[ServerRoleLoad]) -> tuple[ServerRole | None, str]:
        prefill = [load for load in loads if load.role == ServerRole.PREFILL]
        decode = [load for load in loads if load.role == ServerRole.DECODE]
        if not prefill or not decode:
            return None, ""
        queue_s = sum(load.prefill_queue_s for load in prefill) / len(prefill)
        prefill_load = queue_s / self.first_token_s
        slots = max(1, sum(load.slots for load in decode))
        decode_load = sum(load.running + load.waiting for load in decode) / slots
        reason = (
            f"prefill queue {prefill_load:.2f} of target, "
            f"decode slots {decode_load:.2f}"
        )
        if prefill_load > self.cfg.prefill_high and decode_load < self.cfg.decode_low:
            return ServerRole.PREFILL, reason
        if decode_load > self.cfg.decode_high and prefill_load < self.cfg.prefill_low:
            return ServerRole.DECODE, reason
        return None, reason
