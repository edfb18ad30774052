"""Forecast how long a request will wait for decode memory.

In a burst, demand for KV cache exceeds the rate at which engines free it. All hosts
compete for the same memory, so the queue of one host is a poor predictor. The forecast
uses the demand waiting in the whole fleet and the rate at which running requests free
memory. A request that cannot meet its target is thereby detected on arrival and refused
at once.

A large request may need most of one engine. It waits for that engine's running
requests, however little memory the whole fleet frees.
"""

from collections.abc import Iterable

__all__ = ["forecast_fit_s", "forecast_wait_s"]


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


def forecast_fit_s(
    needed_tokens: float,
    engines: Iterable[tuple[float, float]],
    mean_reservation_s: float,
) -> float:
    """Return the expected time until a request fits into one of the engines, seconds.

    Parameters
    ----------
    needed_tokens : float
        KV cache that the request needs, tokens.
    engines : iterable of (float, float)
        Free and reserved KV cache of each engine, tokens.
    mean_reservation_s : float
        Mean time for which a request holds its KV cache, seconds.

    Examples
    --------
    >>> forecast_fit_s(12_000, [(10_000, 20_000), (2_000, 28_000)], 3.0)
    0.3
    """
    waits = [
        max(0.0, needed_tokens - free) / reserved * mean_reservation_s
        for free, reserved in engines
        if reserved > 0 and needed_tokens <= free + reserved
    ]
    return min(waits, default=float("inf"))
