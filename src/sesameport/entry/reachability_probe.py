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
    on_result : callable
        Called with the `ProbeResult` of each round.
    """

    def __init__(self, on_result: Callable[[ProbeResult], None]):
        self._on_result = on_result
        self._round_lock = threading.Lock()

    def start_round(self, targets: list[EntryServer]) -> None:
        """Start a round of probes unless one is in progress."""
        if self._round_lock.acquire(blocking=False):
            threading.Thread(
                target=self._run, args=(targets,), name="probe", daemon=True
            ).start()

    def _run(self, targets: list[EntryServer]) -> None:
        try:
            reachable = find_reachable(
                {server.address for server in targets}, PROBE_TIMEOUT_S
            )
        finally:
            self._round_lock.release()
        names = frozenset(
            server.name for server in targets if server.address in reachable
        )
        self._on_result(ProbeResult(tuple(server.name for server in targets), names))
