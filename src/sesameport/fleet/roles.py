"""Decide role changes between prefill and decode from measured queueing."""

import attrs

from sesameport.world import ServerRole

__all__ = ["RoleChange", "RolePlanner", "RoleSettings", "ServerLoad"]


@attrs.frozen
class RoleSettings:
    """Give the thresholds of role changes.

    Attributes
    ----------
    prefill_high, prefill_low : float
        Mean time that prompts queue for prefill, as a part of the target for the first
        token. A change to prefill needs more than the high value; a change to decode
        needs less than the low one. The gap is the hysteresis.
    decode_high, decode_low : float
        The same for running and waiting requests per decode slot.
    hold_s : float
        Time for which a need must last before a role changes, seconds.
    rest_s : float
        Time after a change until the next one, seconds. It covers the drain of the
        changed server and the lag of load reports.
    """

    prefill_high: float = 0.5
    prefill_low: float = 0.1
    decode_high: float = 0.95
    decode_low: float = 0.7
    hold_s: float = 30.0
    rest_s: float = 120.0


@attrs.frozen
class ServerLoad:
    """Hold the measured load of one live server with a changeable role."""

    server: str
    role: ServerRole
    running: int
    waiting: int
    slots: int
    prefill_queue_s: float


@attrs.frozen
class RoleChange:
    """Change one server's role; ``reason`` is for the status page."""

    server: str
    role: ServerRole
    reason: str


@attrs.define
class RolePlanner:
    """Propose at most one role change at a time and keep one server per role.

    Parameters
    ----------
    first_token_s : float
        Target for the time to the first token, seconds.
    cfg : RoleSettings
        Thresholds.
    """

    first_token_s: float
    cfg: RoleSettings = RoleSettings()
    _wanted: ServerRole | None = None
    _since: float = 0.0
    _rest_until: float = float("-inf")

    def decide(self, loads: list[ServerLoad], now: float) -> RoleChange | None:
        """Return the role change that is due, if any."""
        wanted, reason = self._pressure(loads)
        if wanted != self._wanted:
            self._wanted, self._since = wanted, now
        if wanted is None or now - self._since < self.cfg.hold_s:
            return None
        if now < self._rest_until:
            return None
        sources = [load for load in loads if load.role != wanted]
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
        self._wanted = None
        self._rest_until = now + self.cfg.rest_s
        return RoleChange(chosen.server, wanted, reason)

    def _pressure(self, loads: list[ServerLoad]) -> tuple[ServerRole | None, str]:
        prefill = [load for load in loads if load.role == ServerRole.PREFILL]
        decode = [load for load in loads if load.role == ServerRole.DECODE]
        if not prefill or not decode:
            return None, ""
        queue_s = sum(load.prefill_queue_s for load in prefill) / len(prefill)
        queued = queue_s / self.first_token_s
        slots = max(1, sum(load.slots for load in decode))
        filled = sum(load.running + load.waiting for load in decode) / slots
        reason = f"prefill queue {queued:.2f} of target, decode slots {filled:.2f}"
        if queued > self.cfg.prefill_high and filled < self.cfg.decode_low:
            return ServerRole.PREFILL, reason
        if filled > self.cfg.decode_high and queued < self.cfg.prefill_low:
            return ServerRole.DECODE, reason
        return None, reason
