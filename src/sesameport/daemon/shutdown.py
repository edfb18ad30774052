"""Drain a daemon before it stops."""

import threading
import time
from collections.abc import Callable

__all__ = ["Drain"]

_STEP_S = 0.05


class Drain:
    """Take a host out of service without cutting a request.

    The balancer first sees the host unready, while new requests are still served,
    because it may send callers until its next check. Then new requests are refused as
    not run, and the drain waits until every running one has ended.

    Parameters
    ----------
    unready_s : float
        Time between unready and refusing, seconds.
    finish_s : float
        Longest wait for running requests, seconds.
    refuse_new : callable
        Makes the host refuse new requests.
    count_running : callable
        Returns the number of requests that run.
    """

    def __init__(
        self,
        unready_s: float,
        finish_s: float,
        refuse_new: Callable[[], None],
        count_running: Callable[[], int],
    ):
        self._unready_s = unready_s
        self._finish_s = finish_s
        self._refuse_new = refuse_new
        self._count_running = count_running
        self._begun = threading.Event()
        self._cut_short = threading.Event()

    @property
    def has_begun(self) -> bool:
        """Tell whether the host is to be seen as unready."""
        return self._begun.is_set()

    def cut_short(self) -> None:
        """End the wait at once; running requests are then cut."""
        self._cut_short.set()

    def run(self) -> bool:
        """Drain and return whether every request ended by itself."""
        self._begun.set()
        self._cut_short.wait(self._unready_s)
        self._refuse_new()
        end = time.monotonic() + self._finish_s
        while self._count_running() and not self._cut_short.is_set():
            if time.monotonic() > end:
                return False
            self._cut_short.wait(_STEP_S)
        return not self._count_running()
