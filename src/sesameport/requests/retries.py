"""Limit retries by a budget and delay them by exponential back-off with full jitter."""

import random

import attrs

__all__ = ["Backoff", "RetryBudget"]


@attrs.define
class RetryBudget:
    """Limit retries to a fraction of the requests.

    Each host counts only its own requests. If every host stays below the ratio, so
    does the whole data centre, without messages between its hosts.

    Parameters
    ----------
    retry_ratio : float
        Retries allowed per request, not counting retries as requests.
    max_balance : float
        Maximum number of unused retries that are saved up. A new host starts with
        this many so that failures just after its start can be retried.
    """

    retry_ratio: float = 0.1
    max_balance: float = 10.0
    request_count: int = 0
    retry_count: int = 0
    denied_count: int = 0
    _balance: float = attrs.field(init=False)

    def __attrs_post_init__(self):
        self._balance = self.max_balance

    def record_request(self) -> None:
        """Count one request of a caller and add ``retry_ratio`` to the balance."""
        self.request_count += 1
        self._balance = min(self.max_balance, self._balance + self.retry_ratio)

    def spend(self) -> bool:
        """Return whether the budget allows a retry; if so, deduct it."""
        if self._balance < 1.0:
            self.denied_count += 1
            return False
        self._balance -= 1.0
        self.retry_count += 1
        return True


@attrs.frozen
class Backoff:
    """Compute exponential delays between retries, with full jitter.

    The delay of retry ``n`` (counted from 0) is uniform between 0 and
    ``base_s * 2**n``, limited to ``cap_s``, in seconds.
    """

    base_s: float = 0.05
    cap_s: float = 2.0

    def delay(self, retry: int, rng: random.Random) -> float:
        """Return a random delay before a retry, seconds."""
        # Limiting the exponent prevents a float overflow after many retries.
        max_delay_s = min(self.cap_s, self.base_s * 2.0 ** min(retry, 30))
        return rng.uniform(0.0, max_delay_s)
