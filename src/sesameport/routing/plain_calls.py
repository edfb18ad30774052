"""Balance calls of plain services over their servers."""

import random

import attrs

from sesameport.routing.load_view import LoadView
from sesameport.routing.messages import RouterConfig
from sesameport.routing.server_index import ServerIndex

__all__ = ["PlainCallBalancer"]

_REMOTE_PENALTY_CALLS = 0.5
"""Cost of a remote server, in calls. With equal counts, a local server is chosen."""


@attrs.define
class PlainCallBalancer:
    """Choose the plain server with the fewest calls in progress from this host."""

    cfg: RouterConfig
    loads: LoadView
    index: ServerIndex
    rng: random.Random
    _calls_in_progress: dict[str, int] = attrs.field(factory=dict)

    def place(self, service: str, exclude: frozenset[str], now: float) -> str | None:
        """Return a server for a call and count the call, or None if none is usable.

        The number of candidates compared does not depend on the number of servers.
        """

        def is_usable(name: str) -> bool:
            load = self.loads.servers.get(name)
            return load is not None and name not in exclude and load.is_usable(now)

        def cost(name: str) -> float:
            data_centre = self.loads.servers[name].server.data_centre
            is_remote = data_centre != self.cfg.data_centre
            return (
                self._calls_in_progress.get(name, 0) + _REMOTE_PENALTY_CALLS * is_remote
            )

        count = self.cfg.policy.candidates
        names = self.index.sample(service, "plain", count, is_usable, self.rng)
        if not names:
            return None
        name = min(names, key=cost)
        self._calls_in_progress[name] = self._calls_in_progress.get(name, 0) + 1
        return name

    def release(self, name: str) -> None:
        """Remove a finished call from the count of a server."""
        remaining = self._calls_in_progress.get(name, 0) - 1
        if remaining > 0:
            self._calls_in_progress[name] = remaining
        else:
            self._calls_in_progress.pop(name, None)

    def open_count(self) -> int:
        """Return the number of calls in progress."""
        return sum(self._calls_in_progress.values())
