"""Decide when decode memory is leased from an engine before a prompt is prefilled.

The use of an engine that a host knows is older than the latest placements of the other
hosts. In a burst, several hosts place requests in the same free memory, and the engine
refuses all but the first of them after their prompts have been prefilled. A lease of
the engine's memory shows this before the prefill starts. Leased memory serves nobody
until the prefill ends, so a lease is taken only while little memory of the engine is
free.
"""

import attrs

from sesameport.admission.fleet_use import FleetUse
from sesameport.admission.placement import Placement
from sesameport.admission.prefill_timeouts import DEFAULT_TIMEOUTS, PrefillTimeouts
from sesameport.entry.configuration import EngineProfile

__all__ = ["LeasePolicy", "RefusedMemory", "plan_lease"]


@attrs.frozen
class LeasePolicy:
    """Set when and for how long memory is leased.

    Attributes
    ----------
    min_reserved_share : float
        Share of an engine's KV cache that must be reserved, including the placement,
        for a lease. Below it, refusals are too rare to pay for leased memory.
    margin_s : float
        A lease lasts for the timeout of the prefill plus this margin, seconds.
    first_tokens : int
        Memory that is leased beyond the prompt, tokens. The engine admits a request as
        soon as its prompt fits. A lease for the whole answer would be refused while
        other streams still have to end before the answer grows.
    refusal_s : float
        Time after a refusal for which an engine is taken to have no more memory than
        it refused, seconds. An engine with six streams of 3 s ends one in 0.5 s.
    """

    min_reserved_share: float = 0.6
    margin_s: float = 0.25
    first_tokens: int = 64
    refusal_s: float = 0.2


def plan_lease(
    placement: Placement,
    engine: EngineProfile,
    use: FleetUse,
    policy: LeasePolicy,
    timeouts: PrefillTimeouts = DEFAULT_TIMEOUTS,
) -> Placement:
    """Return the placement with the lease that its decode engine should grant, if any.

    ``use`` includes the reservation of the placement.
    """
    if placement.prefill is None or engine.max_lease_s <= 0.0:
        return placement
    reserved = use.total_for(placement.decode.name).kv_tokens
    if reserved < policy.min_reserved_share * engine.kv_tokens:
        return placement
    lease_s = timeouts.timeout_s(placement) + policy.margin_s
    return attrs.evolve(
        placement,
        lease_tokens=placement.prompt_tokens + policy.first_tokens,
        lease_s=min(engine.max_lease_s, lease_s),
    )


@attrs.define
class RefusedMemory:
    """Remember for a short time how much memory engines refused; not thread-safe.

    Examples
    --------
    >>> refused = RefusedMemory()
    >>> refused.record("e1", 3_000, now=1.0)
    >>> refused.fits("e1", 2_000, 1.1), refused.fits("e1", 3_000, 1.1)
    (True, False)
    >>> refused.fits("e1", 3_000, 1.3)
    True
    """

    policy: LeasePolicy = LeasePolicy()
    _refused: dict[str, tuple[int, float]] = attrs.field(factory=dict)

    def __len__(self) -> int:
        return len(self._refused)

    def record(self, server: str, tokens: int, now: float) -> float:
        """Record that an engine refused a lease; return when to ask again."""
        until = now + self.policy.refusal_s
        known, known_until = self._refused.get(server, (tokens, 0.0))
        if now < known_until:
            tokens = min(tokens, known)
        self._refused[server] = (tokens, until)
        return until

    def fits(self, server: str, tokens: int, now: float) -> bool:
        """Return whether an engine may have this much memory."""
        refused = self._refused.get(server)
        if refused is None:
            return True
        if now >= refused[1]:
            del self._refused[server]
            return True
        return tokens < refused[0]
