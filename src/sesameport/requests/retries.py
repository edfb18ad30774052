"""Limit retries: a budget, growing back-off with full jitter, and the deadline."""

import random

import attrs

__all__ = ["Backoff", "RetryBudget"]


@attrs.define
class RetryBudget:
    """Allow retries up to a share of fresh traffic.

    Each host counts its own traffic, so the retries of a data centre stay below the
    same share without any exchange between its hosts.

    Parameters
    ----------
    share : float
        Retries per fresh request.
    saved_max : float
        Retries that can be saved up. A new host starts with this many, so that the
        first failures after a start can be retried.
    """

    share: float = 0.1
    saved_max: float = 10.0
    fresh: int = 0
    retried: int = 0
    denied: int = 0
    _saved: float = attrs.field(init=False)

    def __attrs_post_init__(self):
        self._saved = self.saved_max

    def count_fresh(self) -> None:
        """Count one request of a caller."""
        self.fresh += 1
        self._saved = min(self.saved_max, self._saved + self.share)

    def spend(self) -> bool:
        """Take one retry; False if the budget is used up."""
        if self._saved < 1.0:
            self.denied += 1
            return False
        self._saved -= 1.0
        self.retried += 1
        return True


@attrs.frozen
class Backoff:
    """Grow a delay with each retry and draw it with full jitter.

    The delay of retry ``n`` (from 0) is uniform in 0 to ``base_s * 2**n``, at most
    ``cap_s``, in seconds.
    """

    base_s: float = 0.05
    cap_s: float = 2.0

    def delay(self, retry: int, rng: random.Random) -> float:
        """Draw the delay before a retry, seconds."""
        # The exponent is bounded so that many retries cannot overflow a float.
        bound_s = min(self.cap_s, self.base_s * 2.0 ** min(retry, 30))
        return rng.uniform(0.0, bound_s)
