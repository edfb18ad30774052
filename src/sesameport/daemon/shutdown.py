"""Drain a daemon before it stops."""

import threading
import time
from collections.abc import Callable

__all__ = ["Drain"]

_CHECK_PERIOD_S = 0.05


class Drain:
    """Drain a host without interrupting requests.

    The host first reports that it is not ready but still serves new requests, because
    the load balancer may send callers until its next check. It then refuses new
    requests as not run and waits until the running requests have ended.

    Parameters
    ----------
    unready_s : float
        Time between the not-ready report and the refusal of requests, seconds.
    finish_s : float
        Longest wait for running requests, seconds.
    refuse_new_requests : callable
        Starts to refuse new requests.
    count_in_flight : callable
        Returns the number of requests in flight.
    """

    def __init__(
        self,
        unready_s: float,
        finish_s: float,
        refuse_new_requests: Callable[[], None],
        count_in_flight: Callable[[], int],
    ):
        self._unready_s = unready_s
        self._finish_s = finish_s
        self._refuse_new_requests = refuse_new_requests
        self._count_in_flight = count_in_flight
        self._started = threading.Event()
        self._stop_requested = threading.Event()

    @property
    def is_draining(self) -> bool:
        """Return whether the drain has started."""
        return self._started.is_set()

    def stop_waiting(self) -> None:
        """Stop waiting; the shutdown then interrupts running requests."""
        self._stop_requested.set()

    def run(self) -> bool:
        """Drain and return whether every request ended without interruption."""
        self._started.set()
        self._stop_requested.wait(self._unready_s)
        self._refuse_new_requests()
        deadline = time.monotonic() + self._finish_s
        while self._count_in_flight() and not self._stop_requested.is_set():
            if time.monotonic() > deadline:
                return False
            self._stop_requested.wait(_CHECK_PERIOD_S)
        return not self._count_in_flight()
