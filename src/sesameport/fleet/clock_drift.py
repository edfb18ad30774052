"""Convert durations and rates between monotonic clocks that drift."""

__all__ = ["drift_adjusted_rate", "safe_wait_s"]


def safe_wait_s(duration_s: float, drift: float, margin_s: float) -> float:
    """Return the local wait after which a duration has passed on every other clock.

    A clock's rate lies between ``1 - drift`` and ``1 + drift``. The other clock may be
    the slowest and the local clock the fastest, so the wait covers both errors.

    Parameters
    ----------
    duration_s : float
        Duration that another host counts on its own clock, seconds.
    drift : float
        Largest relative error of one clock's rate.
    margin_s : float
        Extra time for the work between reading a clock and acting on it, seconds.
    """
    return duration_s * (1.0 + drift) / (1.0 - drift) + margin_s


def drift_adjusted_rate(rate_per_s: float, drift: float) -> float:
    """Return the local rate that never exceeds ``rate_per_s`` in real time."""
    return rate_per_s / (1.0 + drift)
