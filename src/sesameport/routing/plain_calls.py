"""Choose servers of plain services by own calls in progress."""

import random

import attrs

from sesameport.routing.load_view import LoadView
from sesameport.routing.messages import RouterConfig
from sesameport.routing.server_index import ServerIndex

__all__ = ["PlainCalls"]

# Another data centre is used when the own one has this many more calls in progress.
_REMOTE_CALLS = 0.5


@attrs.define
class PlainCalls:
    """Count the own calls in progress on each plain server."""

    cfg: RouterConfig
    loads: LoadView
    index: ServerIndex
    rng: random.Random
    _calls: dict[str, int] = attrs.field(factory=dict)

    def place(self, service: str, exclude: frozenset[str], now: float) -> str | None:
        """Choose a server among a constant number of candidates and count a call."""

        def usable(name: str) -> bool:
            load = self.loads.servers.get(name)
            return load is not None and name not in exclude and load.usable(now)

        def cost(name: str) -> float:
            data_centre = self.loads.servers[name].server.data_centre
            away = data_centre != self.cfg.data_centre
            return self._calls.get(name, 0) + _REMOTE_CALLS * away

        count = self.cfg.policy.candidates
        names = self.index.sample(service, "plain", count, usable, self.rng)
        if not names:
            return None
        name = min(names, key=cost)
        self._calls[name] = self._calls.get(name, 0) + 1
        return name

    def ended(self, name: str) -> None:
        """Release a call."""
        left = self._calls.get(name, 0) - 1
        if left > 0:
            self._calls[name] = left
        else:
            self._calls.pop(name, None)

    def open_count(self) -> int:
        """Return the number of calls in progress."""
        return sum(self._calls.values())
