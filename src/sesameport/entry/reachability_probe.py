"""Probe the reachability of backend servers without sending a request."""

import threading
from collections.abc import Callable

from sesameport.adapters.sockets import find_reachable
from sesameport.entry.messages import ProbeResult
from sesameport.entry.servers import EntryServer

__all__ = ["ReachabilityProbe"]

PROBE_TIMEOUT_S = 0.4
"""Connection timeout of a probe, seconds, equal to that of a request."""


class ReachabilityProbe:
    """Connect to servers on a separate thread, one round at a time.

    Parameters
    ----------
    tell : callable
        Called with the `ProbeResult` of each round.
    """

    def __init__(self, tell: Callable[[ProbeResult], None]):
        self._tell = tell
        self._running = threading.Lock()

    def start_round(self, suspects: list[EntryServer]) -> None:
        """Start a round of probes unless one is in progress."""
        if self._running.acquire(blocking=False):
            threading.Thread(
                target=self._run, args=(suspects,), name="probe", daemon=True
            ).start()

    def _run(self, suspects: list[EntryServer]) -> None:
        try:
            reachable = find_reachable(
                {server.address for server in suspects}, PROBE_TIMEOUT_S
            )
        finally:
            self._running.release()
        names = frozenset(
            server.name for server in suspects if server.address in reachable
        )
        self._tell(ProbeResult(tuple(server.name for server in suspects), names))
