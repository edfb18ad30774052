"""Forecast how long a request would wait for decode memory.

Load: a burst that asks for more than the engines' memory gives back. All hosts wait for
the same memory, so a host's own queue says little. With the tokens for which the whole
fleet waits and the rate at which running requests free theirs, a request that cannot be
served within its target is known on arrival, and its caller is told at once.
"""

__all__ = ["forecast_wait_s"]


def forecast_wait_s(
    ahead_tokens: float, needed_tokens: float, reserved_tokens: float, held_s: float
) -> float:
    """Return the expected wait of a request, seconds.

    In a steady state the memory that is reserved is given back once within the mean
    time for which it is held (Little's law).

    Parameters
    ----------
    ahead_tokens : float
        Tokens for which requests wait that go first.
    needed_tokens : float
        Tokens that the request itself needs.
    reserved_tokens : float
        Tokens reserved at all engines of the service.
    held_s : float
        Mean time for which a request holds its memory, seconds.

    Examples
    --------
    >>> forecast_wait_s(4_000, 4_000, 40_000, 3.0)
    0.6
    """
    freed_per_s = reserved_tokens / max(held_s, 1e-3)
    if freed_per_s <= 0:
        return float("inf")
    return (ahead_tokens + needed_tokens) / freed_per_s
