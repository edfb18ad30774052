"""Place the generations of one host with what it knows of servers."""

from result import Err, Result

from sesameport.admission import (
    FleetUse,
    Placement,
    PlacementPolicy,
    RequestLimits,
    ServerHealth,
    Shortage,
    WaitingQueue,
    WaitingRequest,
    place_generation,
)
from sesameport.entry import messages as m
from sesameport.entry.candidate_servers import CandidateServers
from sesameport.entry.configuration import EngineProfile
from sesameport.entry.engine_measurements import EngineMeasurements
from sesameport.entry.learned_servers import LearnedServers
from sesameport.entry.memory_leases import LeasePlanner
from sesameport.entry.permit_exchange import PermitExchange
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
        self._policy = PlacementPolicy()
        self.leases = LeasePlanner(use, permits)
        self.measurements = EngineMeasurements(self._policy.prefill_tokens_per_s)
        self.forecast = WaitForecast(use, self.measurements, self._policy)

    def choose(
        self, req: m.AdmitGeneration, engine: EngineProfile | None, now: float
    ) -> Result[Placement, Shortage]:
        """Return the servers of a request, or an Err with what is short.

        ``engine`` is the profile of the engines of its service, None without one.
        """
        if engine is None:
            return Err(Shortage.MEMORY)
        generation = req.generation
        servers = self._candidates.usable(generation, now)
        servers = self._permits.usable(servers, now)
        mix = self.measurements.workload_mix(generation.service)
        return place_generation(
            generation,
            engine,
            self.leases.usable(servers, generation, now),
            self._use,
            self._limits.cost_factor(self._health, now),
            self._policy,
            self.measurements.prefill_speeds,
            mix.mean_reservation_s,
            predictions=self._learned.predict(generation, engine, self._use, now),
        )

    def excessive_wait_s(
        self,
        req: m.AdmitGeneration,
        engine: EngineProfile | None,
        queue: WaitingQueue,
        waiting: WaitingRequest,
        now: float,
    ) -> float | None:
        """Return the forecast wait if it is too long for a request, else None.

        ``waiting`` is the request as it waits in the queue.
        """
        return self.forecast.excessive_wait_s(
            req.generation.service,
            self._candidates.decode(req.generation, now),
            engine.kv_tokens if engine else 0,
            queue,
            waiting,
            now,
        )
