"""Choose the decode and prefill servers of a request.

KV cache on decode servers is the scarce resource. Up to nine hosts place requests
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
from sesameport.domain import ServerRole
from sesameport.entry.configuration import EngineProfile
from sesameport.entry.servers import EntryServer

__all__ = [
    "BLOCK_TOKENS",
    "GenerationRequest",
    "Placement",
    "PlacementPolicy",
    "Shortage",
    "place_generation",
    "choose_plain_server",
    "expected_output_tokens",
    "reserved_kv_tokens",
]

BLOCK_TOKENS = 16
"""Tokens per KV cache block, the unit in which engines allocate memory."""

TYPICAL_OUTPUT_SHARE = 0.4
"""Mean answer length as a fraction of the output limit: 740 of 1,870 tokens."""

ESTIMATE_WEIGHT = 0.58
"""Weight of a caller's length estimate against the typical length, on a log scale.
Answer length grows with this power of the estimate, so short estimates used unchanged
would reserve too little memory."""


@attrs.frozen
class PlacementPolicy:
    """Set the thresholds and cost weights of placement.

    Attributes
    ----------
    memory_share : float
        Fraction of an engine's KV cache that may be reserved. Values above 1 lead to
        preempted streams, which costs more throughput than the extra requests add.
    prefill_tokens_per_s : float
        Default prefill speed of a server without a measured speed.
    freed_share : float
        Fraction of the memory expected to be freed during a prefill that may be
        reserved in advance. It is below 1 because streams end at random times, and a
        stream that runs out of memory is preempted.
    cross_centre_cost : float
        Load penalty for a server in another data centre. Transferring a KV cache
        between data centres takes twice as long.
    max_prefill_wait_s : float
        Queueing delay above which a prefill server receives no more prompts, seconds.
    local_prefill_below : float
        Fraction of reserved decode memory below which decode servers run prefills
        themselves while the queues of prefill servers are long.
    local_prefill_tokens_per_s : float
        Prefill speed of a decode server, half that of a prefill server.
    max_decode_stall_s : float
        Longest time for which a local prefill may stall the streams of a decode
        server, seconds. Callers count a stream as late after a pause of 0.3 s. The
        pause consists of the prefill and the next decode step of 0.06 s, which both
        take 1.3 times as long on the slowest engines: 1.3 * (0.17 + 0.06) < 0.3.
    """

    memory_share: float = 1.0
    freed_share: float = 0.7
    prefill_tokens_per_s: float = 30_000.0
    cross_centre_cost: float = 0.08
    max_prefill_wait_s: float = 0.45
    local_prefill_below: float = 0.7
    local_prefill_tokens_per_s: float = 15_000.0
    max_decode_stall_s: float = 0.17

    def makes_streams_late(self, prompt_tokens: int) -> bool:
        """Return whether a local prefill of this length makes running streams late."""
        return prompt_tokens > self.local_prefill_tokens_per_s * self.max_decode_stall_s


@attrs.frozen
class GenerationRequest:
    """Represent a generation request to be placed.

    ``is_prefilled`` means that a prefill server holds the KV cache of the prompt.
    ``allowed_regions`` are the regions of the servers that it may reach, None for all.
    """

    service: str
    data_centre: str
    prompt_tokens: int
    output_tokens: int
    excluded: frozenset[str] = frozenset()
    is_prefilled: bool = False
    allowed_regions: frozenset[str] | None = None

    def is_restricted(self) -> bool:
        """Return whether another request may fit where this one does not."""
        return bool(self.excluded) or self.allowed_regions is not None


@attrs.frozen
class Placement:
    """Represent the servers chosen for a request and its reservations there.

    ``prefill`` is None if the decode server runs the prefill or if it is already done.
    ``handle_s`` is the time for which a prefill server retains the KV cache, and
    ``expected_prefill_s`` is the expected time until the prefill completes. Both
    are in seconds. ``lease_tokens`` of decode memory are leased for ``lease_s`` seconds
    before the prefill; 0 means no lease.
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

    @property
    def prefill_server(self) -> EntryServer | None:
        """Return the server that runs the prefill, or None if it is done."""
        if self.is_prefilled:
            return None
        return self.prefill or self.decode

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
        return ServerUse(0.0, 0, self.prompt_tokens)

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


def reserved_kv_tokens(prompt: int, output: int) -> int:
    """Return the KV cache of a completed request, in tokens rounded up to blocks."""
    return math.ceil((prompt + output) / BLOCK_TOKENS) * BLOCK_TOKENS


def expected_output_tokens(max_output: int, estimate: int | None) -> int:
    """Return the expected length of an answer in tokens.

    A caller's estimate, if any, is blended with the typical length.

    Examples
    --------
    >>> expected_output_tokens(1000, None)
    400
    >>> 100 < expected_output_tokens(1000, 100) < 400
    True
    """
    typical = TYPICAL_OUTPUT_SHARE * max_output
    if estimate is None or estimate <= 0 or typical <= 0:
        return int(typical)
    blended = typical ** (1.0 - ESTIMATE_WEIGHT) * estimate**ESTIMATE_WEIGHT
    return int(min(max_output, blended))


def place_generation(
    req: GenerationRequest,
    profile: EngineProfile,
    servers: Iterable[EntryServer],
    use: FleetUse,
    cost_factor: Callable[[str], float],
    policy: PlacementPolicy,
    speeds: dict[str, float],
    mean_reservation_s: float = math.inf,
) -> Result[Placement, Shortage]:
    """Return a placement for a generation, or an Err with the resource that is short.

    The least loaded decode server is chosen, because decode steps take longer with
    more running requests. Servers in the caller's data centre win among nearly equal
    ones.

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
    """
    needed = reserved_kv_tokens(req.prompt_tokens, req.output_tokens)
    limit = policy.memory_share * profile.kv_tokens
    expected_prefill_s = _min_prefill_latency_s(req, servers, use, policy, speeds)
    freed_share = policy.freed_share * expected_prefill_s / mean_reservation_s
    decode_costs = list(
        _decode_costs(
            req, profile, servers, use, cost_factor, policy, needed, limit, freed_share
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
    )
    if req.is_prefilled:
        return Ok(place(decode, None, is_prefilled=True))
    prefill = _cheapest(
        _prefill_costs(req, servers, use, cost_factor, policy, speeds, decode)
    )
    if prefill is not None:
        wait_s, prefill_s = _queue_and_prefill_s(prefill, req, use, policy, speeds)
        return Ok(place(decode, prefill, expected_prefill_s=wait_s + prefill_s))
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


def _min_prefill_latency_s(req, servers, use, policy, speeds) -> float:
    """Return the shortest expected prefill latency over prefill servers, seconds."""
    if req.is_prefilled:
        return 0.0
    times = []
    for server in servers:
        if not server.can_prefill() or server.name in req.excluded:
            continue
        expected_prefill_s = sum(_queue_and_prefill_s(server, req, use, policy, speeds))
        times.append(min(expected_prefill_s, policy.max_prefill_wait_s))
    return min(times, default=0.0)


def _queue_and_prefill_s(server, req, use, policy, speeds) -> tuple[float, float]:
    """Return the queueing time and the prefill time of a prompt, seconds."""
    speed = speeds.get(server.name, policy.prefill_tokens_per_s)
    return use.total_for(server.name).prefill_tokens / speed, req.prompt_tokens / speed


def _decode_costs(
    req, profile, servers, use, cost_factor, policy, needed, limit, freed_share
):
    """Yield the costs of decode servers that have room for a request."""
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
        if server.data_centre != req.data_centre:
            cost += policy.cross_centre_cost
        yield cost * cost_factor(server.name), server


def _prefill_costs(req, servers, use, cost_factor, policy, speeds, decode):
    """Yield the costs of prefill servers whose queue is short enough."""
    for server in servers:
        if not server.can_prefill() or server.name in req.excluded:
            continue
        wait_s, prefill_s = _queue_and_prefill_s(server, req, use, policy, speeds)
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


def choose_plain_server(
    data_centre: str,
    servers: Iterable[EntryServer],
    use: FleetUse,
    cost_factor: Callable[[str], float],
    excluded: frozenset[str] = frozenset(),
) -> EntryServer | None:
    """Return the plain server with the lowest load per slot, or None."""
    costs = []
    for server in servers:
        if server.role != ServerRole.PLAIN or server.name in excluded:
            continue
        cost = (use.total_for(server.name).active_requests + 1) / server.slots
        if server.data_centre != data_centre:
            cost *= 1.1
        costs.append((cost * cost_factor(server.name), server))
    return _cheapest(costs)
