"""Drain a daemon before it stops."""

import threading
import time
from collections.abc import Callable

__all__ = ["Drain"]

_CHECK_PERIOD_S = 0.05

_LAST_ANSWERS_S = 0.5
"""Time for the answers to requests that are refused at the end of a drain, seconds."""


class Drain:
    """Drain a host without interrupting requests.

    The host first reports that it is not ready but still serves new requests, because
    the load balancer may send callers until its next check. It then refuses new
    requests as not run and waits until the running requests have ended. Those that are
    left at the end of the wait are refused too, so that their callers get an answer.

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
    refuse_remaining : callable
        Ends the requests that run or wait with a refusal.
    """

    def __init__(
        self,
        unready_s: float,
        finish_s: float,
        refuse_new_requests: Callable[[], None],
        count_in_flight: Callable[[], int],
        refuse_remaining: Callable[[], None],
    ):
        self._unready_s = unready_s
        self._finish_s = finish_s
        self._refuse_new_requests = refuse_new_requests
        self._count_in_flight = count_in_flight
        self._refuse_remaining = refuse_remaining
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
                break
            self._stop_requested.wait(_CHECK_PERIOD_S)
        if not self._count_in_flight():
            return True
        self._refuse_remaining()
        answered_by = time.monotonic() + _LAST_ANSWERS_S
        while self._count_in_flight() and time.monotonic() < answered_by:
            time.sleep(_CHECK_PERIOD_S)
        return False
