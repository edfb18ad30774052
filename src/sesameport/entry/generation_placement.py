"""Place the generations of one host with what it knows of servers."""

import attrs
from result import Err, Ok, Result

from sesameport.admission import (
    FleetUse,
    GenerationRequest,
    Placement,
    PlacementPolicy,
    RequestLimits,
    ServerHealth,
    Shortage,
    UrgentMemory,
    WaitingQueue,
    WaitingRequest,
    place_generation,
    with_extra_share,
)
from sesameport.entry import messages as m
from sesameport.entry.candidate_servers import CandidateServers
from sesameport.entry.configuration import EngineProfile, EntryConfiguration
from sesameport.entry.engine_measurements import EngineMeasurements
from sesameport.entry.learned_servers import LearnedServers
from sesameport.entry.memory_leases import LeasePlanner
from sesameport.entry.permit_exchange import PermitExchange
from sesameport.entry.servers import EntryServer
from sesameport.entry.wait_forecast import WaitForecast

__all__ = ["GenerationPlacement"]


class GenerationPlacement:
    """Choose the servers of a generation; not thread-safe.

    Parameters
    ----------
    candidates : CandidateServers
        Servers that may get a request.
    permits : PermitExchange
        Permits for servers with limits.
    limits : RequestLimits
        Limits of servers.
    health : ServerHealth
        Failures of servers.
    use : FleetUse
        Use of each server by all hosts.
    learned : LearnedServers
        What this host learned of servers.

    Attributes
    ----------
    configuration : EntryConfiguration or None
        Configuration in force; change it by `configure`.
    leases : LeasePlanner
        Plans leases and knows which engines refused memory a moment ago.
    measurements : EngineMeasurements
        Prefill speeds and workload mixes.
    forecast : WaitForecast
        Forecasts the wait for memory.
    """

    def __init__(
        self,
        candidates: CandidateServers,
        permits: PermitExchange,
        limits: RequestLimits,
        health: ServerHealth,
        use: FleetUse,
        learned: LearnedServers,
    ):
        self._candidates = candidates
        self._permits = permits
        self._limits = limits
        self._health = health
        self._use = use
        self._learned = learned
        self.configuration: EntryConfiguration | None = None
        self._urgent = UrgentMemory()
        self._policy = PlacementPolicy()
        self.leases = LeasePlanner(use, permits)
        self.measurements = EngineMeasurements(self._policy.prefill_tokens_per_s)
        self.forecast = WaitForecast(use, self.measurements, self._policy)

    def configure(self, configuration: EntryConfiguration) -> None:
        """Use the engines and ranks of a configuration."""
        self.configuration = configuration
        self._urgent.configure(configuration)

    def engine(self, name: str) -> EngineProfile | None:
        """Return the profile of the engines of a service, None without one."""
        service = self.configuration and self.configuration.service(name)
        return service.engine if service else None

    def extra_share(self, req: m.AdmitGeneration) -> float:
        """Return the share of memory that a request may reserve beyond an engine's."""
        engine = self.engine(req.generation.service)
        if engine is None:
            return 0.0
        return self._urgent.extra_share(req.generation, req.priority, engine)

    def choose(self, req: m.AdmitGeneration, now: float) -> Result[Placement, Shortage]:
        """Return the servers of a request, or an Err with what is short."""
        generation = req.generation
        engine = self.engine(generation.service)
        if engine is None:
            return Err(Shortage.MEMORY)
        servers = self._candidates.usable(generation, now)
        servers = self._permits.usable(servers, now)
        servers = self.leases.usable(servers, generation, now)
        extra_share = self.extra_share(req)
        result = self._place(generation, engine, servers, extra_share, now)
        if extra_share == 0.0 or result.is_err():
            return result
        placement = self._mark(result.unwrap(), engine)
        if placement.beyond_tokens > 0 and not self._gets_lease(placement, now):
            # Only a lease shows whether the prompt fits beyond the memory.
            return self._place(generation, engine, servers, 0.0, now)
        return Ok(placement)

    def _place(
        self,
        generation: GenerationRequest,
        engine: EngineProfile,
        servers: list[EntryServer],
        extra_share: float,
        now: float,
    ) -> Result[Placement, Shortage]:
        mix = self.measurements.workload_mix(generation.service)
        return place_generation(
            generation,
            engine,
            servers,
            self._use,
            self._limits.cost_factor(self._health, now),
            with_extra_share(self._policy, extra_share),
            self.measurements.prefill_speeds,
            mix.mean_reservation_s,
            predictions=self._learned.predict(generation, engine, self._use, now),
        )

    def _gets_lease(self, placement: Placement, now: float) -> bool:
        """Return whether a lease is taken for a placement on a reserved engine."""
        if placement.prefill is None:
            return False
        return not self._permits.is_limited(placement.decode.name, now)

    def _mark(self, placement: Placement, engine: EngineProfile) -> Placement:
        """Return an urgent placement with what is reserved beyond the memory."""
        reserved = self._use.total_for(placement.decode.name).kv_tokens
        memory = self._policy.memory_share * engine.kv_tokens
        beyond = round(reserved + placement.kv_tokens - memory)
        return attrs.evolve(placement, beyond_tokens=max(0, beyond))

    def excessive_wait_s(
        self,
        req: m.AdmitGeneration,
        queue: WaitingQueue,
        waiting: WaitingRequest,
        now: float,
    ) -> float | None:
        """Return the forecast wait if it is too long for a request, else None.

        ``waiting`` is the request as it waits in the queue.
        """
        service = req.generation.service
        engine = self.engine(service)
        return self.forecast.excessive_wait_s(
            service,
            self._candidates.decode(req.generation, now),
            engine.kv_tokens if engine else 0,
            queue,
            waiting,
            now,
            self.extra_share(req),
        )
