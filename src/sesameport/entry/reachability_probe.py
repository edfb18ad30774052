"""Try to reach backend servers without a request."""

import threading
from collections.abc import Callable

from sesameport.adapters.sockets import find_reachable
from sesameport.entry.messages import ProbeResult
from sesameport.entry.servers import EntryServer

__all__ = ["ReachabilityProbe"]

PROBE_TIMEOUT_S = 0.4
"""Time for which a probe waits for a connection, seconds; that of a request as well."""


class ReachabilityProbe:
    """Connect to servers on a thread of its own, one round at a time.

    Parameters
    ----------
    tell : callable
        Takes a `Probed` for each round.
    """

    def __init__(self, tell: Callable[[ProbeResult], None]):
        self._tell = tell
        self._running = threading.Lock()

    def start_round(self, suspects: list[EntryServer]) -> None:
        """Start a round unless one is in progress."""
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
