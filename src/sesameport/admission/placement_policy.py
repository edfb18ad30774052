"""Define the thresholds and cost weights of placement."""

import attrs

__all__ = ["PlacementPolicy"]


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
    gap_growth : float
        Increase of the time between two events from an empty to a full engine, as a
        multiple of the time on an empty one. Measured times are compared at equal load
        by it.
    memory_weight : float
        Share of an engine's memory whose use counts against it as slowness does; a full
        engine counts 1 / (1 - share) times as slow.
    fetch_cost : float
        Load penalty for each 1,000 tokens of a prompt that a decode server fetches and
        another one has cached. ``cross_centre_cost`` stands for fetching a typical
        prompt of 3,000 tokens once more, so 1,000 tokens cost a third of it.
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
    gap_growth: float = 1.0
    memory_weight: float = 0.8
    fetch_cost: float = 0.08 / 3

    def makes_streams_late(self, prompt_tokens: int) -> bool:
        """Return whether a local prefill of this length makes running streams late."""
        return prompt_tokens > self.local_prefill_tokens_per_s * self.max_decode_stall_s
