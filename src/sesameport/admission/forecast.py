"""Forecast how long a request will wait for decode memory.

In a burst, demand for KV cache exceeds the rate at which engines free it. All hosts
compete for the same memory, so the queue of one host is a poor predictor. The forecast
uses the demand waiting in the whole fleet and the rate at which running requests free
memory. A request that cannot meet its target is thereby detected on arrival and refused
at once.
"""

__all__ = ["forecast_wait_s"]


def forecast_wait_s(
    ahead_tokens: float,
    needed_tokens: float,
    reserved_tokens: float,
    mean_reservation_s: float,
) -> float:
    """Return the expected wait of a request, seconds.

    By Little's law, a steady state frees an amount equal to all reserved memory within
    the mean time for which a request holds it.

    Parameters
    ----------
    ahead_tokens : float
        KV cache needed by waiting requests that are served first, tokens.
    needed_tokens : float
        KV cache that the request needs, tokens.
    reserved_tokens : float
        KV cache reserved on all engines of the service, tokens.
    mean_reservation_s : float
        Mean time for which a request holds its KV cache, seconds.

    Examples
    --------
    >>> forecast_wait_s(4_000, 4_000, 40_000, 3.0)
    0.6
    """
    freed_per_s = reserved_tokens / max(mean_reservation_s, 1e-3)
    if freed_per_s <= 0:
        return float("inf")
    return (ahead_tokens + needed_tokens) / freed_per_s
