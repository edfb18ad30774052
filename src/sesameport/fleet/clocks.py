"""Convert durations between monotonic clocks that drift."""

__all__ = ["fastest_rate", "wait_out_s"]


def wait_out_s(duration_s: float, drift: float, margin_s: float) -> float:
    """Return how long to wait here until a duration has passed on any other clock.

    A clock's rate lies between ``1 - drift`` and ``1 + drift``. The other clock may be
    the slowest and this one the fastest, so both errors count.

    Parameters
    ----------
    duration_s : float
        Duration that another host counts on its own clock, seconds.
    drift : float
        Largest relative error of one clock's rate.
    margin_s : float
        Added seconds, for work between reading a clock and acting on it.
    """
    return duration_s * (1.0 + drift) / (1.0 - drift) + margin_s


def fastest_rate(rate_per_s: float, drift: float) -> float:
    """Return the rate to count here so that no real second exceeds ``rate_per_s``."""
    return rate_per_s / (1.0 + drift)
