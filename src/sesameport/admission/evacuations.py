"""Hold the data centres that the operator has evacuated.

Nothing more is sent to the backend servers of an evacuated data centre. One thread
changes the state; request threads read it immediately before each call of a server.
"""

import math
from collections.abc import Iterable

import attrs

__all__ = ["Evacuations"]

MAX_ENDED = 1_000
"""Number of ended evacuations that are remembered. Any writer may create objects of
this kind."""


@attrs.define
class Evacuations:
    """Hold the evacuated data centres, and the data centres of servers.

    The data centre of a server is known here for some time after its entry is removed,
    because a request may have been placed on it before.

    Attributes
    ----------
    is_known : bool
        False while this host has not learned yet which data centres are evacuated.
    updated_at : float
        Monotonic time at which the store last stated or changed the evacuations,
        seconds.

    Examples
    --------
    >>> evacuations = Evacuations()
    >>> evacuations.add("a", now=1.0), evacuations.add("a", now=2.0)
    (True, False)
    >>> evacuations.replace(["b"], now=3.0)
    (['b'], ['a'])
    >>> evacuations.names(), evacuations.ended_at("a")
    (('b',), 3.0)
    """

    is_known: bool = True
    updated_at: float = -math.inf
    _began_at: dict[str, float] = attrs.field(factory=dict)
    _ended_at: dict[str, float] = attrs.field(factory=dict)
    _data_centres: dict[str, str] = attrs.field(factory=dict)
    _removed: set[str] = attrs.field(factory=set)
    _last_sent_at: dict[str, float] = attrs.field(factory=dict)

    def replace(self, names: Iterable[str], now: float) -> tuple[list[str], list[str]]:
        """Replace all evacuations; return the names that began and that ended."""
        wanted = set(names)
        ended = [name for name in self.names() if name not in wanted]
        for name in ended:
            self.remove(name, now)
        began = [name for name in sorted(wanted) if self.add(name, now)]
        return began, ended

    def add(self, name: str, now: float) -> bool:
        """Begin an evacuation; return False if it is in force already."""
        if name in self._began_at:
            return False
        self._began_at[name] = now
        return True

    def remove(self, name: str, now: float) -> bool:
        """End an evacuation; return False if there is none."""
        if self._began_at.pop(name, None) is None:
            return False
        self._ended_at.pop(name, None)
        self._ended_at[name] = now
        if len(self._ended_at) > MAX_ENDED:
            del self._ended_at[next(iter(self._ended_at))]
        return True

    def names(self) -> tuple[str, ...]:
        """Return the evacuated data centres, sorted."""
        return tuple(sorted(self._began_at))

    def is_evacuated(self, data_centre: str) -> bool:
        """Return whether nothing may be sent to servers of a data centre."""
        return data_centre in self._began_at

    def ended_at(self, data_centre: str) -> float | None:
        """Return the monotonic time at which the last evacuation ended, or None."""
        return self._ended_at.get(data_centre)

    def record_server(self, server: str, data_centre: str) -> None:
        """Record the data centre of a server."""
        self._data_centres[server] = data_centre

    def retain_servers(self, names: Iterable[str]) -> None:
        """Forget the servers that are missing from two successive calls."""
        missing = set(self._data_centres).difference(names)
        for server in missing & self._removed:
            del self._data_centres[server]
        self._removed = missing - self._removed

    def forbids(self, server: str) -> bool:
        """Return whether the data centre of a server is evacuated."""
        return bool(self._began_at) and self._data_centres.get(server) in self._began_at

    def record_send(self, server: str, now: float) -> None:
        """Record that a request is sent to a server."""
        data_centre = self._data_centres.get(server)
        if data_centre is not None:
            self._last_sent_at[data_centre] = now

    def last_sent_s(self, data_centre: str, now: float) -> float | None:
        """Return the time since the last request to a data centre, seconds, or None."""
        sent_at = self._last_sent_at.get(data_centre)
        return None if sent_at is None else now - sent_at

    def servers_in(self, data_centre: str) -> list[str]:
        """Return the known servers of a data centre."""
        return [
            server
            for server, place in list(self._data_centres.items())
            if place == data_centre
        ]
