"""Drain an entry host: report not ready, complete requests, then stop accepting."""

import contextlib
import threading
import time
from collections.abc import Callable, Iterator

from sesameport.adapters.caller_limits.listener import HttpListener
from sesameport.adapters.cancellable_socket import ReadInterrupt
from sesameport.entry.stopping.process_stop import HostStopping, ProcessStop

__all__ = ["HostDrain", "InFlight"]

UNREADY_S = 2.6
"""Time between becoming unready and closing, seconds. The load balancer checks
readiness every second and removes a host after two failed checks."""

LAST_RESPONSES_S = 0.3
"""Time to read requests that were sent before the host closed, seconds. A caller may
have sent a part of one only."""

DRAIN_CHECK_S = 0.01
"""Period at which a closing host checks for requests in progress, seconds."""

STOP_MARGIN_S = 1.0
"""Time before the end of the grace time at which running requests are abandoned,
seconds, so that the process exits by itself before it is killed."""


class InFlight:
    """Count the requests in progress; thread-safe."""

    def __init__(self):
        self._changed = threading.Condition()
        self._count = 0

    @property
    def count(self) -> int:
        """Return the number of requests in progress."""
        with self._changed:
            return self._count

    @contextlib.contextmanager
    def request(self) -> Iterator[None]:
        """Count one request until the block ends."""
        with self._changed:
            self._count += 1
        try:
            yield
        finally:
            with self._changed:
                self._count -= 1
                self._changed.notify_all()

    def wait_for_change(self, timeout_s: float) -> None:
        """Wait until a request has ended, or for a time in seconds."""
        with self._changed:
            self._changed.wait(timeout_s)


class HostDrain:
    """Drain one host.

    Parameters
    ----------
    listener : HttpListener
        Listener for callers.
    in_flight : InFlight
        Requests in progress.
    stop : ProcessStop
        Gets the times of the stop.
    interrupt : ReadInterrupt
        Ends the calls to servers that still wait for an answer at the end.
    on_stop : callable
        Called with `HostStopping` when the drain begins.
    """

    def __init__(
        self,
        listener: HttpListener,
        in_flight: InFlight,
        stop: ProcessStop,
        interrupt: ReadInterrupt,
        on_stop: Callable[[HostStopping], None],
    ):
        self._listener = listener
        self._in_flight = in_flight
        self._stop = stop
        self._interrupt = interrupt
        self._on_stop = on_stop

    def run(self, grace_s: float) -> int:
        """Drain; return the number of requests that were not completed.

        ``grace_s`` is the time until the process is killed, seconds.
        """
        since = time.monotonic()
        until = since + grace_s - STOP_MARGIN_S
        unready_until = min(since + UNREADY_S, until)
        # The load balancer keeps sending requests while most hosts of the data centre
        # drain. Short requests are answered; streams would exceed the grace time.
        self._stop.begin(until, unready_until)
        self._on_stop(HostStopping(until))
        while time.monotonic() < unready_until:
            time.sleep(max(0.0, unready_until - time.monotonic()))
        while self._has_requests() and time.monotonic() < until:
            self._in_flight.wait_for_change(DRAIN_CHECK_S)
        self._listener.stop_accepting()
        self._finish_accepted(until)
        given_up = self._in_flight.count
        if self._has_requests():
            self._answer_remaining(until)
        return given_up

    def _has_requests(self) -> bool:
        return self._in_flight.count > 0 or self._listener.has_open_bodies()

    def _finish_accepted(self, until: float) -> None:
        """Wait for requests that a thread is yet to read and for their responses."""
        read_until = time.monotonic() + LAST_RESPONSES_S
        while self._listener.has_work():
            is_running = self._has_requests()
            self._in_flight.wait_for_change(DRAIN_CHECK_S)
            if time.monotonic() >= (until if is_running else read_until):
                return
            if is_running:
                read_until = time.monotonic() + LAST_RESPONSES_S

    def _answer_remaining(self, until: float) -> None:
        """Let the threads of the remaining requests answer them.

        Those that servers have not begun to answer get a failure, bodies in progress a
        refusal, and streams are broken off.
        """
        self._listener.end_open_bodies()
        self._interrupt.fire()
        while self._listener.has_work() and time.monotonic() < until + LAST_RESPONSES_S:
            self._in_flight.wait_for_change(DRAIN_CHECK_S)
