"""Choose the same engine on all hosts for prompts that begin with the same parts.

Cached parts are evicted within seconds, before hosts can tell each other of them. If
several engines are predicted to end a prefill at the same time, all hosts therefore
prefer them in an order that follows from the parts alone (rendezvous hashing). A part
is then cached by few engines and found there. The predicted time still decides first:
an engine with a queue is left for the next one in the order, so a popular part is
spread over as many engines as its prompts keep busy.

The order is used only between equal costs, and costs are equal only if they contain no
noise. The prefill speed that one host measures is a moving average of few prefills with
their queues. It differs between equal engines by more than the 6 ms that a shared part
of 200 tokens saves, and an engine that the host used last usually looks slower. Prompts
with shared parts are therefore compared at the typical speed of all engines, except for
engines that are known to be unequal (`Predictions.prefill_speeds`).
"""

import functools
import hashlib
import statistics
from collections.abc import Callable, Iterable, Mapping

from sesameport.admission.kept_prefixes import PrefixPart
from sesameport.entry.servers import EntryServer

__all__ = ["cheapest_by_prefix", "prefix_preference", "shared_parts", "typical_speed"]

MAX_ORDERING_PARTS = 4
"""Number of shared parts that determine the order, the largest ones. It bounds the
processor time of a placement."""

_MASK = (1 << 64) - 1


def shared_parts(prefix: tuple[PrefixPart, ...]) -> tuple[PrefixPart, ...]:
    """Return the parts that other prompts may have too: all but the request's own.

    Examples
    --------
    >>> own = PrefixPart(digest=7, tokens=3_000)
    >>> shared_parts((own,)), len(shared_parts((PrefixPart(5, 200), own)))
    ((), 1)
    """
    return tuple(part for part in prefix[:-1] if part.tokens > 0)


def typical_speed(
    speeds: Mapping[str, float], servers: Iterable[EntryServer], default: float
) -> float:
    """Return the speed at which equal engines are compared, tokens per second.

    ``speeds`` has the engines that this host measured, also those of other services.
    Without one of ``servers`` that can run a prefill, ``default`` applies.
    """
    measured = [
        speeds[server.name]
        for server in servers
        if server.can_prefill() and server.name in speeds
    ]
    return statistics.median(measured) if measured else default


def cheapest_by_prefix(
    costs: Iterable[tuple[float, EntryServer]], shared: tuple[PrefixPart, ...]
) -> EntryServer | None:
    """Return the cheapest engine, of equal ones the first in the order of the parts."""
    costs = list(costs)
    if not costs:
        return None
    least = min(cost for cost, _ in costs)
    equal = [server for cost, server in costs if cost == least]
    return equal[0] if len(equal) == 1 else max(equal, key=prefix_preference(shared))


def prefix_preference(
    shared: tuple[PrefixPart, ...],
) -> Callable[[EntryServer], int]:
    """Return a key by which all hosts order engines in the same way, the last first.

    Each part weighs by its tokens, so prompts that share only the larger ones of their
    parts prefer nearly the same engines.
    """
    parts = shared
    if len(parts) > MAX_ORDERING_PARTS:
        largest = sorted(parts, key=lambda part: (-part.tokens, part.digest))
        parts = tuple(largest[:MAX_ORDERING_PARTS])

    def weight(server: EntryServer) -> int:
        # Digests and keys are uniform, so the product modulo 2**64 is uniform as well.
        key, total = _key(server.name), 0
        for part in parts:
            total += part.tokens * (part.digest * key & _MASK)
        return total

    return weight


@functools.lru_cache(maxsize=4_096)
def _key(name: str) -> int:
    """Return a hash of an engine's name that is the same on all hosts."""
    digest = hashlib.blake2b(name.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
