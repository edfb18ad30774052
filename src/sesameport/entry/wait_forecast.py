"""Forecast the wait of generations for decode memory."""

from sesameport.admission import (
    FleetUse,
    PlacementPolicy,
    WaitingQueue,
    WaitingRequest,
    forecast_fit_s,
)
from sesameport.entry.engine_measurements import EngineMeasurements
from sesameport.entry.servers import EntryServer

__all__ = ["WaitForecast"]


class WaitForecast:
    """Forecast waits from the use of all hosts and the measured workload.

    Parameters
    ----------
    use : FleetUse
        Use of each server by all hosts.
    measurements : EngineMeasurements
        Workload mix of each service.
    policy : PlacementPolicy
        Thresholds of placement.
    """

    def __init__(
        self,
        use: FleetUse,
        measurements: EngineMeasurements,
        policy: PlacementPolicy,
    ):
        self._use = use
        self._measurements = measurements
        self._policy = policy

    def excessive_wait_s(
        self,
        service: str,
        decode_servers: list[EntryServer],
        engine_tokens: int,
        queue: WaitingQueue,
        request: WaitingRequest,
        now: float,
        extra_share: float = 0.0,
    ) -> float | None:
        """Return the expected wait if it is too long for the request, else None.

        ``decode_servers`` are the usable ones that may serve the request.
        ``engine_tokens`` is the KV cache of an engine of the service. A request with an
        ``extra_share`` waits for memory that no less urgent one may reserve, so only
        requests of its rank are ahead of it. Reports of hosts do not tell ranks, so
        those on other hosts are not counted.
        """
        if extra_share > 0.0:
            waiting = queue.tokens(now, request.priority)
        else:
            waiting = queue.tokens(now).plus(self._use.remote_waiting(service))
        # An unreachable server releases no memory that this host could use.
        reserved = [
            self._use.total_for(server.name).kv_tokens for server in decode_servers
        ]
        mix = self._measurements.workload_mix(service)
        capacity = (self._policy.memory_share + extra_share) * engine_tokens
        fit_s = forecast_fit_s(
            request.kv_tokens,
            [(capacity - tokens, tokens) for tokens in reserved],
            mix.mean_reservation_s,
        )
        return queue.excessive_wait_s(
            request, waiting, sum(reserved), mix.mean_reservation_s, now, fit_s
        )
