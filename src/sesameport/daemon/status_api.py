"""Serve health, metrics and status to the balancer and to operators."""

import json
from collections.abc import Callable

__all__ = ["StatusApi"]

_METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class StatusApi:
    """Answer ``/livez``, ``/readyz``, ``/metrics``, ``/status`` and ``/outcomes``.

    Parameters
    ----------
    is_ready : callable
        Tells whether the balancer may send callers here.
    render_metrics : callable
        Returns the metrics in the Prometheus text format.
    build_status : callable
        Takes a request id (empty for none) and returns the status as JSON data.
    build_outcomes : callable
        Returns the counters of the burn report as JSON data.
    """

    def __init__(
        self,
        is_ready: Callable[[], bool],
        render_metrics: Callable[[], bytes],
        build_status: Callable[[str], dict],
        build_outcomes: Callable[[], dict],
    ):
        self._is_ready = is_ready
        self._render_metrics = render_metrics
        self._build_status = build_status
        self._build_outcomes = build_outcomes

    def __call__(self, environ, start_response):
        """Answer one WSGI call."""
        path = environ["PATH_INFO"]
        if environ["REQUEST_METHOD"] != "GET":
            return _answer(start_response, "405 Method Not Allowed", b"use GET\n")
        if path == "/livez":
            return _answer(start_response, "200 OK", b"live\n")
        if path == "/readyz":
            if self._is_ready():
                return _answer(start_response, "200 OK", b"ready\n")
            return _answer(start_response, "503 Service Unavailable", b"not ready\n")
        if path == "/metrics":
            return _answer(
                start_response, "200 OK", self._render_metrics(), _METRICS_TYPE
            )
        if path == "/status":
            query = environ.get("QUERY_STRING", "")
            request_id = query.removeprefix("request=") if query else ""
            return _json(start_response, self._build_status(request_id))
        if path == "/outcomes":
            return _json(start_response, self._build_outcomes())
        return _answer(start_response, "404 Not Found", b"no such path\n")


def _json(start_response, body: dict):
    data = json.dumps(body).encode()
    return _answer(start_response, "200 OK", data, "application/json")


def _answer(start_response, status: str, data: bytes, kind: str = "text/plain"):
    headers = [("Content-Type", kind), ("Content-Length", str(len(data)))]
    start_response(status, headers)
    return [data]
