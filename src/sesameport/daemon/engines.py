"""Keep one adapter per backend server."""

import threading

from sesameport.adapters import HttpEngine, HttpPlainService
from sesameport.daemon.directory import DirectoryHolder

__all__ = ["Backends"]


class Backends:
    """Find the adapter of a backend server by name."""

    def __init__(self, directory: DirectoryHolder, silent_s: float):
        self._directory = directory
        self._silent_s = silent_s
        self._lock = threading.Lock()
        self._engines: dict[tuple[str, str], HttpEngine] = {}
        self._plain: dict[tuple[str, str], HttpPlainService] = {}

    def find_engine(self, name: str) -> HttpEngine | None:
        """Return the adapter of an engine, or None if the server is unknown."""
        return self._find(name, self._engines, self._new_engine)

    def find_plain(self, name: str) -> HttpPlainService | None:
        """Return the adapter of a plain service's server, or None."""
        return self._find(name, self._plain, lambda s: HttpPlainService(s.address))

    def _new_engine(self, server) -> HttpEngine:
        return HttpEngine(server.name, server.address, self._silent_s)

    def _find(self, name, adapters, build):
        server = self._directory.current.server(name)
        if server is None:
            return None
        key = (name, server.address)
        with self._lock:
            if key not in adapters:
                adapters[key] = build(server)
            return adapters[key]
