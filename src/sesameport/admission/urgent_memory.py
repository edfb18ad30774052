"""Decide how much of an engine's memory the requests of each rank may reserve.

Load: in a burst of twice the usual traffic, all decode memory of a large fleet is
reserved, and requests wait on nearly every host. The host at which a stream ends is the
first to know of the memory, and gives it to its own request, whatever its rank. An
urgent request has the shortest target, so it rarely meets memory that is free on its
own host within it.

A reservation counts the whole answer, which an engine needs only at the end of the
stream. A full engine therefore has unused memory in which an urgent prompt fits at
once, and streams that end while it runs free what its answer needs. Urgent requests
may reserve a little more than an engine has. Less urgent ones find less room there
until streams have ended, on every host and without a message about ranks. If memory
runs out, the engine preempts its least urgent stream.

The engine grants a lease before the prefill only if the prompt fits. Without leases,
or where all callers have equal ranks, nothing changes.
"""

from collections.abc import Mapping

import attrs

from sesameport.admission.placement import GenerationRequest
from sesameport.admission.placement_policy import PlacementPolicy
from sesameport.admission.urgency import clamp_rank, ranks_by_service
from sesameport.entry.configuration import EngineProfile, EntryConfiguration

__all__ = ["DEFAULT_POLICY", "UrgentMemory", "UrgentMemoryPolicy", "with_extra_share"]


@attrs.frozen
class UrgentMemoryPolicy:
    """Set how much memory urgent requests may reserve beyond that of an engine.

    Attributes
    ----------
    extra_share : float
        Share of an engine's memory that the most urgent rank of a service may reserve
        beyond it; 0 turns this off. An engine with seven streams of 3,000 tokens and
        answers of 740 tokens has on average 7 * 370 tokens, a tenth of its memory,
        reserved but unused.
    """

    extra_share: float = 0.1


DEFAULT_POLICY = UrgentMemoryPolicy()
"""Policy of all hosts; ``UrgentMemoryPolicy(extra_share=0.0)`` turns the share off."""


@attrs.define
class UrgentMemory:
    """Look up the memory that requests may reserve, by service and rank.

    Not thread-safe.
    """

    policy: UrgentMemoryPolicy = attrs.field(factory=lambda: DEFAULT_POLICY)
    _ranks: Mapping[str, frozenset[int]] = attrs.field(factory=dict)

    def configure(self, configuration: EntryConfiguration) -> None:
        """Use the ranks of a configuration."""
        self._ranks = ranks_by_service(configuration)

    def extra_share(
        self, req: GenerationRequest, priority: int, engine: EngineProfile
    ) -> float:
        """Return the share of memory that a request may reserve beyond an engine's.

        Only the most urgent of several ranks gets one, for a request that gets a lease
        before its prefill.
        """
        ranks = self._ranks.get(req.service, frozenset())
        if len(ranks) < 2 or clamp_rank(priority) != min(ranks):
            return 0.0
        if engine.max_lease_s <= 0.0 or req.is_prefilled:
            return 0.0
        return self.policy.extra_share


def with_extra_share(base: PlacementPolicy, extra_share: float) -> PlacementPolicy:
    """Return the policy by which a request with this share is placed."""
    if extra_share == 0.0:
        return base
    return attrs.evolve(base, memory_share=base.memory_share + extra_share)
