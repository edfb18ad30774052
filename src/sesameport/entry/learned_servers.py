"""Learn the speeds and cached prefixes of servers from one host's own requests."""

import math
from collections.abc import Callable, Mapping

from sesameport.admission import (
    FleetUse,
    GenerationRequest,
    KeptPrefixes,
    PlacementPolicy,
    Predictions,
    ServerRegistry,
    ServerSpeeds,
    SpeedMeasure,
    WorkloadMix,
)
from sesameport.entry import messages as m
from sesameport.entry.configuration import EngineProfile
from sesameport.entry.servers import EntryServer

__all__ = ["LearnedServers"]

MAX_CACHED_SHARE = 0.2
"""Largest share of a prompt that is expected to be cached for its prefill to be a
sample of the engine's speed."""

CACHED_LIFETIME_S = 0.05
"""Time for which the cached tokens of a prompt are not computed again, seconds. Waiting
requests are placed anew after each report of another host."""

MIN_GAP_EVENTS = 8
"""Smallest number of events of a run from which its time per event is a sample."""


class LearnedServers:
    """Keep what one host learns of servers, and predict from it; not thread-safe.

    Parameters
    ----------
    data_centre : str
        Data centre of this host. Times of calls to others contain the network, so they
        are samples only where that does not matter.
    policy : PlacementPolicy
        Increase of the time per event with the load.
    """

    def __init__(self, data_centre: str, policy: PlacementPolicy | None = None):
        self._gap_growth = (policy or PlacementPolicy()).gap_growth
        self._data_centre = data_centre
        self.speeds = ServerSpeeds()
        self.prefixes = KeptPrefixes()
        self._cached: dict[tuple[str, int], Mapping[str, float]] = {}
        self._cached_until = -math.inf

    def record_request(self, req: GenerationRequest) -> None:
        """Count the parts of a new request."""
        self.prefixes.record_request(req.prefix)

    def record_prefill(self, message: m.PrefillEnded, now: float) -> None:
        """Record the end of a prefill and the parts that its engines now have."""
        placement = message.placement
        server = placement.prefill_server
        if not message.succeeded or server is None:
            return
        if placement.prefix:
            if placement.prefill is not None:
                self.prefixes.record_held(placement.prefill, placement.prefix, now)
            self.prefixes.begin_run(placement.decode, placement.prefix, now)
        if placement.prefill is None or message.seconds <= 0:
            return
        if placement.cached_tokens > MAX_CACHED_SHARE * placement.prompt_tokens:
            return
        tokens = placement.queued_tokens + placement.prompt_tokens
        tokens -= placement.cached_tokens
        if tokens > 0 and server.data_centre == self._data_centre:
            seconds = message.seconds / tokens
            self.speeds.record(server, SpeedMeasure.PREFILL, seconds, now)

    def record_run(self, message: m.RunEnded, use: FleetUse, now: float) -> None:
        """Record the end of a run, before its use is subtracted from ``use``."""
        plain, placement = message.plain, message.placement
        if plain is not None and message.succeeded:
            load = use.total_for(plain.name).active_requests / plain.slots
            if plain.data_centre == self._data_centre:
                seconds = message.seconds / max(1.0, load)
                self.speeds.record(plain, SpeedMeasure.PLAIN, seconds, now)
        if placement is None:
            return
        decode = placement.decode
        if placement.prefix:
            succeeded = message.succeeded
            self.prefixes.end_run(decode, placement.prefix, succeeded, now)
        if message.succeeded and message.events >= MIN_GAP_EVENTS:
            load = use.total_for(decode.name).active_requests / decode.slots
            gap_s = message.events_s / (message.events - 1)
            gap_s /= 1.0 + self._gap_growth * min(1.0, load)
            self.speeds.record(decode, SpeedMeasure.EVENT, gap_s, now)

    def begin_incarnation(self, server: EntryServer) -> None:
        """Forget what an earlier incarnation of a server did and had cached."""
        self.speeds.begin_incarnation(server.name, server.started_at_ms)
        self.prefixes.begin_incarnation(server.name, server.started_at_ms)

    def predict(
        self, req: GenerationRequest, engine: EngineProfile, use: FleetUse, now: float
    ) -> Predictions:
        """Return what is predicted of the servers of a generation."""
        slowness = self.speeds.factors(req.service, SpeedMeasure.PREFILL, now)
        typical = 0.0
        if slowness:
            typical = 1.0 / self.speeds.typical_s(
                req.service, SpeedMeasure.PREFILL, now
            )
        return Predictions(
            {name: typical / factor for name, factor in slowness.items()},
            typical,
            self.speeds.factors(req.service, SpeedMeasure.EVENT, now),
            self._cached_tokens(req, engine, use, now) if req.prefix else {},
        )

    def _cached_tokens(
        self, req: GenerationRequest, engine: EngineProfile, use: FleetUse, now: float
    ) -> Mapping[str, float]:
        if now >= self._cached_until:
            self._cached_until = now + CACHED_LIFETIME_S
            self._cached.clear()
        key = req.service, req.prefix[-1].digest
        if key not in self._cached:

            def free_tokens(name: str) -> float:
                used = use.total_for(name)
                return engine.kv_tokens - used.kv_tokens - used.prefill_tokens

            self._cached[key] = self.prefixes.expected_tokens(
                req.prefix, free_tokens, now
            )
        return self._cached[key]

    def plain_factors(self, service: str, now: float) -> Mapping[str, float]:
        """Return the service times of plain servers that differ from the typical one.

        They are multiples of the service's typical time.
        """
        return self.speeds.factors(service, SpeedMeasure.PLAIN, now)

    def expire(
        self,
        registry: ServerRegistry,
        use: FleetUse,
        mix_of: Callable[[str], WorkloadMix],
        elapsed_s: float,
        now: float,
    ) -> None:
        """Forget old samples, and age cached parts by what passed through the engines.

        By Little's law, requests enter an engine at the rate of its reserved memory by
        the time of a reservation. Every prompt also passes through a prefill engine.
        """
        self.speeds.expire(now)
        engines = self.prefixes.engines()
        if not engines:
            return
        servers = registry.all()
        self.prefixes.remove_unknown(server.name for server in servers)
        passed: dict[str, float] = {}
        prefill_engines: dict[str, int] = {}
        for server in servers:
            service = server.service
            if server.can_prefill():
                prefill_engines[service] = prefill_engines.get(service, 0) + 1
            mean_s = mix_of(service).mean_reservation_s
            tokens = use.total_for(server.name).kv_tokens * elapsed_s / mean_s
            passed[service] = passed.get(service, 0.0) + tokens
            self.prefixes.pass_tokens(server.name, tokens)
        for server in servers:
            if server.can_prefill():
                count = prefill_engines[server.service]
                self.prefixes.pass_tokens(server.name, passed[server.service] / count)
