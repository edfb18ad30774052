"""Try to reach backend servers without a request."""

import threading
from collections.abc import Callable

from sesameport.adapters.sockets import find_reachable
from sesameport.entry.messages import Probed
from sesameport.entry.servers import EntryServer

__all__ = ["ReachabilityProber"]

PROBE_S = 0.4
"""Time for which a probe waits for a connection, seconds; that of a request as well."""


class ReachabilityProber:
    """Connect to servers on a thread of its own, one round at a time.

    Parameters
    ----------
    tell : callable
        Takes a `Probed` for each round.
    """

    def __init__(self, tell: Callable[[Probed], None]):
        self._tell = tell
        self._busy = threading.Lock()

    def probe(self, probe_targets: list[EntryServer]) -> None:
        """Start a round unless one is in progress."""
        if self._busy.acquire(blocking=False):
            threading.Thread(
                target=self._run, args=(probe_targets,), name="probe", daemon=True
            ).start()

    def _run(self, probe_targets: list[EntryServer]) -> None:
        try:
            reached = find_reachable({item.address for item in probe_targets}, PROBE_S)
        finally:
            self._busy.release()
        names = frozenset(
            item.name for item in probe_targets if item.address in reached
        )
        self._tell(Probed(tuple(item.name for item in probe_targets), names))
