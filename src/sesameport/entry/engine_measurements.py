"""Measure the engines of one host's services from the requests that they run."""

from sesameport.admission import Placement, WorkloadMix

__all__ = ["EngineMeasurements"]

PREFILL_SPEED_WEIGHT = 0.2
"""Weight of the latest prefill in the moving average of a server's prefill speed."""


RUN_TIME_MARGIN = 1.5
"""Time allowed for a run, as a multiple of the mean, because some answers are longer. A
run that does not end before this process is broken off."""


class EngineMeasurements:
    """Keep the prefill speeds of servers and the workload mix of each service.

    Parameters
    ----------
    default_tokens_per_s : float
        Prefill speed of a server that has run no prefill yet.
    """

    def __init__(self, default_tokens_per_s: float):
        self._default_tokens_per_s = default_tokens_per_s
        self.prefill_speeds: dict[str, float] = {}
        self._mixes: dict[str, WorkloadMix] = {}

    def workload_mix(self, service: str) -> WorkloadMix:
        """Return the workload mix of a service, updated by its requests."""
        return self._mixes.setdefault(service, WorkloadMix())

    def expected_run_s(self, service: str) -> float:
        """Return the time within which most runs of a service end, seconds."""
        return RUN_TIME_MARGIN * self.workload_mix(service).mean_reservation_s

    def record_prefill(self, placement: Placement, seconds: float) -> None:
        """Record the duration of a prefill on a prefill server, seconds."""
        server = placement.prefill
        # Cached parts would make the engine look faster than its queue is.
        tokens = placement.prompt_tokens - round(placement.cached_tokens)
        if 2 * tokens < placement.prompt_tokens:
            return
        speed = tokens / seconds
        known = self.prefill_speeds.get(server.name, self._default_tokens_per_s)
        self.prefill_speeds[server.name] = known + PREFILL_SPEED_WEIGHT * (
            speed - known
        )
        self.workload_mix(server.service).record_prefill(tokens, seconds)

    def record_decode(self, placement: Placement, seconds: float) -> None:
        """Record the duration of a run that succeeded, seconds."""
        self.workload_mix(placement.decode.service).record_decode(
            placement.kv_tokens, seconds
        )
