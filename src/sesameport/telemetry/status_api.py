"""Serve status, metrics and health checks on the status address."""

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
    """Serve ``/status``, ``/burn``, ``/metrics``, ``/ready`` and ``/live`` over WSGI.

    Parameters
    ----------
    get_status : callable
        Function that takes a request id, or an empty string, and returns the
        `HostStatus`. With an id, ``decisions`` holds the records of that request.
    get_burn_snapshot : callable
        Function that returns the `BurnSnapshot` of this host.
    metrics : Metrics
        Metrics that ``/metrics`` renders.
    is_ready : callable
        Function that returns whether the load balancer may send requests.
    """

    def __init__(
        self,
        get_status: Callable[[str], HostStatus],
        get_burn_snapshot: Callable[[], BurnSnapshot],
        metrics: Metrics,
        is_ready: Callable[[], bool],
    ):
        self._get_status = get_status
        self._get_burn_snapshot = get_burn_snapshot
        self._metrics = metrics
        self._is_ready = is_ready

    def __call__(self, environ, start_response):
        """Respond to one request."""
        if environ["REQUEST_METHOD"] not in ("GET", "HEAD"):
            status_line, media_type, body = (
                "405 Method Not Allowed",
                _TEXT,
                b"only GET\n",
            )
        else:
            status_line, media_type, body = self._build_response(environ)
        start_response(
            status_line,
            [("Content-Type", media_type), ("Content-Length", str(len(body)))],
        )
        return [body if environ["REQUEST_METHOD"] != "HEAD" else b""]

    def _build_response(self, environ) -> tuple[str, str, bytes]:
        path = environ.get("PATH_INFO", "")
        if path == "/status":
            query = parse_qs(environ.get("QUERY_STRING", ""))
            request_id = query.get("request", [""])[0]
            return "200 OK", _JSON, encode_status(self._get_status(request_id))
        if path == "/burn":
            return "200 OK", _JSON, msgspec.json.encode(self._get_burn_snapshot())
        if path == "/metrics":
            return "200 OK", self._metrics.content_type, self._metrics.render()
        if path == "/ready":
            if self._is_ready():
                return "200 OK", _TEXT, b"ready\n"
            return "503 Service Unavailable", _TEXT, b"not ready\n"
        if path == "/live":
            return "200 OK", _TEXT, b"live\n"
        return "404 Not Found", _TEXT, b"no such path\n"
