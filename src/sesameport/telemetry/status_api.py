"""Answer operators and the balancer on the status address."""

from collections.abc import Callable
from urllib.parse import parse_qs

import msgspec

from sesameport.telemetry.burn import BurnSnapshot
from sesameport.telemetry.metrics import Metrics
from sesameport.telemetry.status import HostStatus, encode_status

__all__ = ["StatusApi"]

_JSON = "application/json"
_TEXT = "text/plain; charset=utf-8"


class StatusApi:
    """Serve ``/status``, ``/burn``, ``/metrics``, ``/ready`` and ``/live`` by WSGI.

    Parameters
    ----------
    status : callable
        Takes a request id, empty for none, and returns the `HostStatus`. With an id,
        ``decisions`` holds the records of that request.
    burn : callable
        Returns the `BurnSnapshot` of this host.
    metrics : Metrics
        What ``/metrics`` renders.
    ready : callable
        Tells whether the balancer is to send requests.
    """

    def __init__(
        self,
        status: Callable[[str], HostStatus],
        burn: Callable[[], BurnSnapshot],
        metrics: Metrics,
        ready: Callable[[], bool],
    ):
        self._status = status
        self._burn = burn
        self._metrics = metrics
        self._ready = ready

    def __call__(self, environ, start_response):
        """Answer one request."""
        if environ["REQUEST_METHOD"] not in ("GET", "HEAD"):
            code, kind, body = "405 Method Not Allowed", _TEXT, b"only GET\n"
        else:
            code, kind, body = self._answer(environ)
        start_response(
            code, [("Content-Type", kind), ("Content-Length", str(len(body)))]
        )
        return [body if environ["REQUEST_METHOD"] != "HEAD" else b""]

    def _answer(self, environ) -> tuple[str, str, bytes]:
        path = environ.get("PATH_INFO", "")
        if path == "/status":
            query = parse_qs(environ.get("QUERY_STRING", ""))
            request_id = query.get("request", [""])[0]
            return "200 OK", _JSON, encode_status(self._status(request_id))
        if path == "/burn":
            return "200 OK", _JSON, msgspec.json.encode(self._burn())
        if path == "/metrics":
            return "200 OK", self._metrics.content_type, self._metrics.render()
        if path == "/ready":
            if self._ready():
                return "200 OK", _TEXT, b"ready\n"
            return "503 Service Unavailable", _TEXT, b"not ready\n"
        if path == "/live":
            return "200 OK", _TEXT, b"live\n"
        return "404 Not Found", _TEXT, b"no such path\n"
