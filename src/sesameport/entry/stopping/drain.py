"""Drain an entry host: report not ready, complete requests, then stop accepting."""

import contextlib
import threading
import time
from collections.abc import Iterator

from sesameport.entry.http_listener import HttpListener

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

    def wait_until_none(self, until: float) -> None:
        """Wait until no request is in progress, or until a monotonic time, seconds."""
        with self._changed:
            while self._count and time.monotonic() < until:
                self._changed.wait(until - time.monotonic())


class HostDrain:
    """Drain one host.

    Parameters
    ----------
    listener : HttpListener
        Listener for callers.
    in_flight : InFlight
        Requests in progress.
    """

    def __init__(self, listener: HttpListener, in_flight: InFlight):
        self._listener = listener
        self._in_flight = in_flight
        self.has_begun = False
        self.ends_at: float | None = None

    def run(self, grace_s: float) -> bool:
        """Drain; return whether every running request was completed.

        ``grace_s`` is the time until the process is killed, seconds.
        """
        since = time.monotonic()
        self.has_begun = True
        until = since + grace_s - STOP_MARGIN_S
        unready_until = min(since + UNREADY_S, until)
        while time.monotonic() < unready_until:
            time.sleep(max(0.0, unready_until - time.monotonic()))
        # The load balancer keeps sending requests while most hosts of the data centre
        # drain. Short requests are answered; streams would exceed the grace time.
        self.ends_at = until
        self._in_flight.wait_until_none(until)
        self._listener.stop_accepting()
        self._finish_accepted(until)
        return self._in_flight.count == 0

    def _finish_accepted(self, until: float) -> None:
        """Wait for requests that a thread is yet to read and for their responses."""
        read_until = time.monotonic() + LAST_RESPONSES_S
        until = max(until, read_until)
        while self._listener.has_work():
            is_running = self._in_flight.count > 0
            self._in_flight.wait_for_change(DRAIN_CHECK_S)
            if time.monotonic() >= (until if is_running else read_until):
                return
            if is_running:
                read_until = time.monotonic() + LAST_RESPONSES_S
