"""Serve the WSGI applications of the stand-ins on loopback."""

import json
import threading

from cheroot import wsgi

__all__ = ["LoopbackServer", "json_response", "read_json"]

_STATUS_TEXT = {
    200: "OK",
    201: "Created",
    400: "Bad Request",
    404: "Not Found",
    409: "Conflict",
    410: "Gone",
    412: "Precondition Failed",
    429: "Too Many Requests",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


class LoopbackServer:
    """Serve a WSGI application on a loopback port in a separate thread."""

    def __init__(self, app, threads: int = 24, port: int = 0):
        self._server = wsgi.Server(
            ("127.0.0.1", port), app, numthreads=threads, request_queue_size=256
        )
        self._server.error_log = lambda *args, **kwargs: None
        self._server.shutdown_timeout = 0.5
        self._server.prepare()
        host, bound_port = self._server.bind_addr[:2]
        self.address = f"{host}:{bound_port}"
        self._thread = threading.Thread(
            target=self._server.serve, name=f"standin-{bound_port}", daemon=True
        )

    def start(self) -> "LoopbackServer":
        """Start serving and return the server."""
        self._thread.start()
        return self

    def stop(self) -> None:
        """Stop serving and close every connection."""
        self._server.stop()


def json_response(start_response, status: int, body) -> list[bytes]:
    """Send the response headers and return the body as JSON."""
    data = json.dumps(body).encode()
    status_line = f"{status} {_STATUS_TEXT.get(status, 'Unknown')}"
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(data))),
    ]
    start_response(status_line, headers)
    return [data]


def read_json(environ):
    """Return the JSON body of a WSGI request, or an empty dict if it is empty."""
    length = int(environ.get("CONTENT_LENGTH") or 0)
    data = environ["wsgi.input"].read(length)
    return json.loads(data) if data else {}
