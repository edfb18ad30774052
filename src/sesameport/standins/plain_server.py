"""Provide a stand-in plain service for stock reads and order bookings."""

import threading

from sesameport.standins.faults import FaultPlan
from sesameport.standins.http import LoopbackServer, json_response, read_json

__all__ = ["PlainStandin"]


class PlainStandin:
    """Serve ``GET /stock/ITEM`` and ``POST /orders`` and record the requests.

    Attributes
    ----------
    bookings : list of dict
        Every booking that took effect, in order of arrival.
    seen_headers : set of str
        Names of all received request headers, lower case.
    stock_reads : int
        Number of stock requests.
    """

    def __init__(self, name: str, faults: FaultPlan | None = None):
        self.name = name
        self.faults = faults or FaultPlan()
        self.bookings: list[dict] = []
        self.stock_reads = 0
        self.seen_headers: set[str] = set()
        self.address = ""
        self._lock = threading.Lock()
        self._server: LoopbackServer | None = None

    def start(self, threads: int = 16, port: int = 0) -> str:
        """Start serving on loopback and return ``IP:port``."""
        self._server = LoopbackServer(self._serve_request, threads, port).start()
        self.address = self._server.address
        return self.address

    def stop(self) -> None:
        """Stop serving."""
        if self._server is not None:
            self._server.stop()

    def _serve_request(self, environ, start_response):
        for header in environ:
            if header.startswith("HTTP_"):
                self.seen_headers.add(header[5:].replace("_", "-").lower())
        if self.faults.inject_before_effect():
            return json_response(start_response, 503, {"detail": "unavailable"})
        status, body = self._handle_request(environ)
        self.faults.inject_after_effect()
        return json_response(start_response, status, body)

    def _handle_request(self, environ) -> tuple[int, dict]:
        path = environ["PATH_INFO"]
        method = environ["REQUEST_METHOD"]
        if path.startswith("/stock/") and method == "GET":
            with self._lock:
                self.stock_reads += 1
            return 200, {"item": path.removeprefix("/stock/"), "free": 7}
        if path == "/orders" and method == "POST":
            try:
                body = read_json(environ)
            except ValueError:
                return 400, {"detail": "not JSON"}
            with self._lock:
                self.bookings.append(body)
                return 201, {"booking": len(self.bookings), "server": self.name}
        return 404, {"detail": "no such path"}
