"""Stand in for a plain service: stock enquiries and order bookings."""

import threading

from sesameport.standins.faults import FaultPlan
from sesameport.standins.http import LoopbackServer, json_response, read_json

__all__ = ["PlainStandin"]


class PlainStandin:
    """Serve ``GET /stock/ITEM`` and ``POST /orders`` and remember every run.

    Attributes
    ----------
    bookings : list of dict
        Every booking that took effect, in order.
    seen_headers : set of str
        Names of all request headers seen, lower case.
    """

    def __init__(self, name: str, faults: FaultPlan | None = None):
        self.name = name
        self.faults = faults or FaultPlan()
        self.bookings: list[dict] = []
        self.enquiries = 0
        self.seen_headers: set[str] = set()
        self.address = ""
        self._lock = threading.Lock()
        self._server: LoopbackServer | None = None

    def start(self, threads: int = 16, port: int = 0) -> str:
        """Serve on loopback and return ``IP:port``."""
        self._server = LoopbackServer(self._app, threads, port).start()
        self.address = self._server.address
        return self.address

    def stop(self) -> None:
        """Stop serving."""
        if self._server is not None:
            self._server.stop()

    def _app(self, environ, start_response):
        for header in environ:
            if header.startswith("HTTP_"):
                self.seen_headers.add(header[5:].replace("_", "-").lower())
        if self.faults.before_call():
            return json_response(start_response, 503, {"detail": "unavailable"})
        status, body = self._answer(environ)
        self.faults.after_call()
        return json_response(start_response, status, body)

    def _answer(self, environ) -> tuple[int, dict]:
        path = environ["PATH_INFO"]
        method = environ["REQUEST_METHOD"]
        if path.startswith("/stock/") and method == "GET":
            with self._lock:
                self.enquiries += 1
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
