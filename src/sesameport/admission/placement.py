"""Choose the decode and prefill servers of a request.

KV cache on decode servers is the scarce resource. Many hosts place requests
concurrently, and load reports from engines are almost a second old. Placement therefore
counts the reservations of all hosts and reserves KV cache for the whole expected answer
before the prefill starts. Overcommitted memory makes an engine preempt running streams
and recompute their prompts.

A prompt occupies decode memory only after its prefill. Memory that running streams are
expected to free during the prefill can therefore be reserved in advance.
"""

import enum
import functools
import math
from collections.abc import Callable, Iterable

import attrs
from result import Err, Ok, Result

from sesameport.admission.fleet_use import FleetUse, ServerUse
from sesameport.admission.kept_prefixes import PrefixPart
from sesameport.admission.placement_policy import PlacementPolicy
from sesameport.admission.predictions import NO_PREDICTIONS, Predictions
from sesameport.admission.prefix_affinity import (
    cheapest_by_prefix,
    shared_parts,
    typical_speed,
)
from sesameport.admission.request_size import reserved_kv_tokens
from sesameport.domain import ServerRole
from sesameport.entry.configuration import EngineProfile
from sesameport.entry.servers import EntryServer

__all__ = [
    "GenerationRequest",
    "Placement",
    "Shortage",
    "place_generation",
]


@attrs.frozen
class GenerationRequest:
    """Represent a generation request to be placed.

    ``is_prefilled`` means that a prefill server holds the KV cache of the prompt.
    ``allowed_regions`` are the regions of the servers that it may reach, None for all.
    ``prefix`` has the parts of the prompt that other requests may have too, in order.
    """

    service: str
    data_centre: str
    prompt_tokens: int
    output_tokens: int
    excluded: frozenset[str] = frozenset()
    is_prefilled: bool = False
    allowed_regions: frozenset[str] | None = None
    prefix: tuple[PrefixPart, ...] = ()

    def is_restricted(self) -> bool:
        """Return whether another request may fit where this one does not."""
        return bool(self.excluded) or self.allowed_regions is not None


@attrs.frozen
class Placement:
    """Represent the servers chosen for a request and its reservations there.

    ``prefill`` is None if the decode server runs the prefill or if it is already done.
    ``handle_s`` is the time for which a prefill server retains the KV cache, and
    ``expected_prefill_s`` is the expected time until the prefill completes without
    cached parts. Both are in seconds. ``lease_tokens`` of decode memory are leased for
    ``lease_s`` seconds before the prefill; 0 means no lease. ``cached_tokens`` is what
    the server of the prefill is expected to have cached of the prompt, and
    ``queued_tokens`` what waits there before it. ``beyond_tokens`` is what an urgent
    request makes all requests reserve beyond the memory of the decode server.
    """

    decode: EntryServer
    prefill: EntryServer | None
    kv_tokens: int
    prompt_tokens: int
    handle_s: float = 0.5
    is_prefilled: bool = False
    expected_prefill_s: float = 0.0
    lease_tokens: int = 0
    lease_s: float = 0.0
    cached_tokens: float = 0.0
    queued_tokens: float = 0.0
    beyond_tokens: int = 0
    prefix: tuple[PrefixPart, ...] = ()

    @property
    def prefill_server(self) -> EntryServer | None:
        """Return the server that runs the prefill, or None if it is done."""
        if self.is_prefilled:
            return None
        return self.prefill or self.decode

    @property
    def shared_tokens(self) -> int:
        """Return the tokens of the parts that other prompts may have too."""
        return sum(part.tokens for part in shared_parts(self.prefix))

    def decode_use(self) -> ServerUse:
        """Return the reservation on the decode server, excluding any local prefill."""
        return ServerUse(self.kv_tokens, 1, 0.0)

    def pending_use(self) -> ServerUse:
        """Return the decode reservation that is pending until the prefill ends."""
        if self.prefill is None:
            return ServerUse()
        return ServerUse(pending_kv_tokens=self.kv_tokens)

    def prefill_use(self) -> ServerUse:
        """Return the prefill load on the server that runs the prefill."""
        return ServerUse(0.0, 0, self.prompt_tokens - round(self.cached_tokens))

    def called_servers(self) -> set[str]:
        """Return the servers that get a call for this placement."""
        servers = {self.decode.name}
        if self.prefill is not None:
            servers.add(self.prefill.name)
        return servers

    def uses(self) -> list[tuple[str, ServerUse]]:
        """Return the servers of the placement with the use it adds to each."""
        uses = [(self.decode.name, self.decode_use().plus(self.pending_use()))]
        if self.prefill_server is not None:
            uses.append((self.prefill_server.name, self.prefill_use()))
        return uses


class Shortage(enum.StrEnum):
    """Name the resource that prevents a placement.

    ``MEMORY`` means that no decode server has enough free memory. ``PREFILL_SERVER``
    means that no server can run the prefill now; a shorter prompt may still be placed.
    """

    MEMORY = "memory"
    PREFILL_SERVER = "reader"


def place_generation(
    req: GenerationRequest,
    profile: EngineProfile,
    servers: Iterable[EntryServer],
    use: FleetUse,
    cost_factor: Callable[[str], float],
    policy: PlacementPolicy,
    speeds: dict[str, float],
    mean_reservation_s: float = math.inf,
    predictions: Predictions = NO_PREDICTIONS,
) -> Result[Placement, Shortage]:
    """Return a placement for a generation, or an Err with the resource that is short.

    The least loaded decode server is chosen, because decode steps take longer with
    more running requests. Servers in the caller's data centre win among nearly equal
    ones. A slow server counts as loaded by as much as makes a typical one as slow, and
    one that has no part of the prompt cached as loaded by what it has to fetch more.

    If every prefill server is unreachable or excluded, the decode server runs the
    prefill itself. This takes twice as long and stalls its running streams, so it is
    limited to prompts that stall them only briefly. If prefill servers are merely
    busy, decode servers run prefills only while decode memory is not scarce.

    Parameters
    ----------
    req : GenerationRequest
        Request to place.
    profile : EngineProfile
        KV cache capacity of an engine and retention time of prefill results.
    servers : iterable of EntryServer
        Candidate servers.
    use : FleetUse
        Current use of each server by all hosts.
    cost_factor : callable
        Returns the cost multiplier of a server for its failure rate.
    policy : PlacementPolicy
        Thresholds and cost weights.
    speeds : dict of str to float
        Measured prefill speeds by server, tokens per second.
    mean_reservation_s : float
        Mean time for which a request holds its KV cache, seconds.
    predictions : Predictions
        Learned speeds of servers, and what they have cached of the prompt.
    """
    if predictions.prefill_speeds:
        speeds = predictions.prefill_speeds
        policy = attrs.evolve(
            policy, prefill_tokens_per_s=predictions.typical_prefill_speed
        )
    cached = predictions.cached_tokens
    needed = reserved_kv_tokens(req.prompt_tokens, req.output_tokens)
    limit = policy.memory_share * profile.kv_tokens
    expected_prefill_s = _min_prefill_latency_s(
        req, servers, use, policy, speeds, cached
    )
    freed_share = policy.freed_share * expected_prefill_s / mean_reservation_s
    decode_costs = list(
        _decode_costs(
            req,
            profile,
            servers,
            use,
            cost_factor,
            policy,
            needed,
            limit,
            freed_share,
            predictions,
        )
    )
    decode = _cheapest(decode_costs)
    if decode is None:
        return Err(Shortage.MEMORY)
    place = functools.partial(
        Placement,
        kv_tokens=needed,
        prompt_tokens=req.prompt_tokens,
        handle_s=profile.handle_s,
        prefix=req.prefix,
    )
    if req.is_prefilled:
        return Ok(place(decode, None, is_prefilled=True))
    prefill = _choose_prefill(
        req, servers, use, cost_factor, policy, speeds, decode, predictions
    )
    if prefill is not None:
        # Time-outs follow from this time, so it does not rely on the cache.
        wait_s, prefill_s = _queue_and_prefill_s(prefill, req, use, policy, speeds, {})
        return Ok(
            place(
                decode,
                prefill,
                expected_prefill_s=wait_s + prefill_s,
                cached_tokens=cached.get(prefill.name, 0.0),
                queued_tokens=use.total_for(prefill.name).prefill_tokens,
            )
        )
    has_prefill = any(
        server.can_prefill() and server.name not in req.excluded for server in servers
    )
    if has_prefill and _is_memory_scarce(profile, servers, use, policy):
        return Err(Shortage.PREFILL_SERVER)
    decode = _cheapest(_local_prefill_costs(req, decode_costs, use, policy))
    return Err(Shortage.PREFILL_SERVER) if decode is None else Ok(place(decode, None))


def _is_memory_scarce(profile, servers, use, policy) -> bool:
    """Return whether decode memory is too full for decode servers to run prefills."""
    decoders = [server for server in servers if server.role == ServerRole.DECODE]
    reserved = sum(use.total_for(server.name).kv_tokens for server in decoders)
    return reserved >= policy.local_prefill_below * profile.kv_tokens * len(decoders)


def _local_prefill_costs(req, decode_costs, use, policy):
    """Yield the costs of decode servers that may run the prefill themselves.

    A decode server runs one prefill at a time, so its streams can progress between
    two prefills. A long prompt is not placed on a server with two or more running
    requests, because it would make all of their streams late.
    """
    for cost, server in decode_costs:
        used = use.total_for(server.name)
        if used.prefill_tokens > 0:
            continue
        if used.active_requests > 1 and policy.makes_streams_late(req.prompt_tokens):
            continue
        yield cost, server


def _min_prefill_latency_s(req, servers, use, policy, speeds, cached) -> float:
    """Return the shortest expected prefill latency over prefill servers, seconds."""
    if req.is_prefilled:
        return 0.0
    times = []
    for server in servers:
        if not server.can_prefill() or server.name in req.excluded:
            continue
        wait_s, prefill_s = _queue_and_prefill_s(
            server, req, use, policy, speeds, cached
        )
        times.append(min(wait_s + prefill_s, policy.max_prefill_wait_s))
    return min(times, default=0.0)


def _queue_and_prefill_s(
    server, req, use, policy, speeds, cached
) -> tuple[float, float]:
    """Return the queueing time and the prefill time of a prompt, seconds."""
    speed = speeds.get(server.name, policy.prefill_tokens_per_s)
    tokens = req.prompt_tokens - cached.get(server.name, 0.0)
    return use.total_for(server.name).prefill_tokens / speed, tokens / speed


def _decode_costs(
    req,
    profile,
    servers,
    use,
    cost_factor,
    policy,
    needed,
    limit,
    freed_share,
    predictions,
):
    """Yield the costs of decode servers that have room for a request."""
    cached = predictions.cached_tokens
    most_cached = 0.0
    if cached:
        decoders = (server.name for server in servers if server.can_decode())
        most_cached = max((cached.get(name, 0.0) for name in decoders), default=0.0)
    fastest = min([1.0, *predictions.gap_factors.values()])
    for server in servers:
        if not server.can_decode():
            continue
        if server.name in req.excluded:
            continue
        used = use.total_for(server.name)
        freed = freed_share * (used.kv_tokens - used.pending_kv_tokens)
        if (
            used.kv_tokens + needed > limit + freed
            or used.active_requests >= server.slots
        ):
            continue
        cost = (used.kv_tokens + needed) / profile.kv_tokens
        slowness = predictions.gap_factors.get(server.name, 1.0) / fastest
        if slowness != 1.0:
            cost = _equivalent_load(cost, slowness, policy)
        fetched_more = most_cached - cached.get(server.name, 0.0)
        cost += policy.fetch_cost * fetched_more / 1_000
        if server.data_centre != req.data_centre:
            cost += policy.cross_centre_cost
        yield cost * cost_factor(server.name), server


def _equivalent_load(load, slowness, policy) -> float:
    """Return the load at which the fastest server is as bad as a slower one.

    Both the time between two events and the share of free memory count. Otherwise the
    fastest server would be filled first, and hosts that do not know of each other's
    latest placements would overcommit it.
    """
    left = 1.0 - policy.memory_weight * min(1.0, load)
    badness = slowness * (1.0 + policy.gap_growth * load) / left
    return (badness - 1.0) / (policy.gap_growth + policy.memory_weight * badness)


def _choose_prefill(
    req, servers, use, cost_factor, policy, speeds, decode, predictions
) -> EntryServer | None:
    """Return the prefill server that is expected to end first, or None."""
    shared = shared_parts(req.prefix)
    if shared and not predictions.prefill_speeds:
        typical = typical_speed(speeds, servers, policy.prefill_tokens_per_s)
        policy, speeds = attrs.evolve(policy, prefill_tokens_per_s=typical), {}
    cached = predictions.cached_tokens
    costs = _prefill_costs(
        req, servers, use, cost_factor, policy, speeds, decode, cached
    )
    return cheapest_by_prefix(costs, shared) if shared else _cheapest(costs)


def _prefill_costs(req, servers, use, cost_factor, policy, speeds, decode, cached):
    """Yield the costs of prefill servers whose queue is short enough."""
    for server in servers:
        if not server.can_prefill() or server.name in req.excluded:
            continue
        wait_s, prefill_s = _queue_and_prefill_s(
            server, req, use, policy, speeds, cached
        )
        if wait_s > policy.max_prefill_wait_s:
            continue
        cost = wait_s + prefill_s
        if server.data_centre != decode.data_centre:
            cost *= 1.0 + policy.cross_centre_cost
        yield cost * cost_factor(server.name), server


def _cheapest(costs) -> EntryServer | None:
    """Return the server with the lowest cost, or None if there is none."""
    best, best_cost = None, math.inf
    for cost, server in costs:
        if cost < best_cost:
            best, best_cost = server, cost
    return best
