"""Run calls to plain services."""

import random

from result import Ok

from sesameport.daemon.directory import DirectoryHolder
from sesameport.daemon.engines import Backends
from sesameport.interfaces import PlainAnswer
from sesameport.world import PlainRequest, Refusal, RefusalType, Route, ServerState

__all__ = ["PlainRunner"]


class PlainRunner:
    """Choose a server for each call and send it once."""

    def __init__(self, directory: DirectoryHolder, backends: Backends, clock):
        self._directory = directory
        self._backends = backends
        self._clock = clock
        self._rng = random.Random()

    def call(self, req: PlainRequest, route: Route) -> PlainAnswer | Refusal:
        """Send a call and return its answer or a refusal."""
        servers = [
            server
            for server in self._directory.current.servers
            if server.service == req.service and server.state == ServerState.LIVE
        ]
        if not servers:
            return Refusal(RefusalType.NO_SERVER, retry_after_s=1.0)
        server = self._rng.choice(servers)
        adapter = self._backends.find_plain(server.name)
        timeout_s = max(0.1, req.deadline - self._clock())
        match adapter.call(req, req.request_id + ".1", timeout_s):
            case Ok(answer):
                return answer
            case err:
                error = err.unwrap_err()
        return Refusal(RefusalType.UPSTREAM_FAILED, error.execution(), error.detail)
