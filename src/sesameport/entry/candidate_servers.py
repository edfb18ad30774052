"""Choose the servers that may get a request, by health and by home region."""

from collections.abc import Mapping

import attrs

from sesameport.admission import GenerationRequest, filter_by_region
from sesameport.entry import messages as m
from sesameport.entry.server_monitor import EVACUATED, ServerMonitor
from sesameport.entry.servers import EntryServer

__all__ = ["CandidateServers"]


@attrs.define
class CandidateServers:
    """Look up the servers that may get the requests of one host.

    Attributes
    ----------
    regions : mapping of str to str
        Region of each data centre; replaced when the settings change.
    """

    _monitor: ServerMonitor
    regions: Mapping[str, str]

    def usable(
        self, req: GenerationRequest | m.AdmitPlain | m.ExplainPlacement, now: float
    ) -> list[EntryServer]:
        """Return the usable servers in the home regions of a request."""
        servers = self._monitor.usable_servers(req.service, now)
        return filter_by_region(servers, req.allowed_regions, self.regions)

    def decode(self, req: GenerationRequest, now: float) -> list[EntryServer]:
        """Return those of the usable servers that can decode."""
        return [server for server in self.usable(req, now) if server.can_decode()]

    def decode_shortage(self, req: GenerationRequest, now: float) -> str | None:
        """Return the reason why no server may decode a request, or None."""
        for server in self._monitor.iter_reachable(req.service, now):
            if server.can_decode() and self.is_home(server, req):
                return None
        if self.decode(req, now):
            return None
        reason = self._monitor.no_decode_server_reason(
            req.service, lambda server: self.is_home(server, req)
        )
        if reason != EVACUATED and self._monitor.decode_servers(req.service, now):
            return "no-home-region"
        return reason

    def plain_shortage(self, req: m.AdmitPlain | m.ExplainPlacement, now: float) -> str:
        """Return the reason why no server may run a plain request."""
        reason = self._monitor.no_server_reason(
            req.service, lambda server: self.is_home(server, req)
        )
        if reason == EVACUATED or self.usable(req, now):
            return reason
        if self._monitor.usable_servers(req.service, now):
            return "no-home-region"
        return reason

    def is_home(
        self,
        server: EntryServer,
        req: GenerationRequest | m.AdmitPlain | m.ExplainPlacement,
    ) -> bool:
        """Return whether a server is in the home regions of a request."""
        return bool(filter_by_region([server], req.allowed_regions, self.regions))
