"""Serve WSGI applications for the caller and status interfaces."""

from collections.abc import Callable

from cheroot import wsgi

from sesameport.adapters.caller_limits.bounds import (
    BodyRefused,
    CallerBounds,
    CallerLimits,
)
from sesameport.adapters.caller_limits.listener import HttpListener, refuse_as_text
from sesameport.adapters.strict_http import StrictRequest

__all__ = ["HttpServer"]


class _Gateway(wsgi.Gateway_10):
    """Pass one request, whose body is complete, to a WSGI application."""

    def __init__(self, req: StrictRequest, body: bytes, app):
        self._body = body
        self._app = app
        super().__init__(req)

    def get_environ(self):
        environ = super().get_environ()
        # The application uses the socket to detect that the caller has disconnected.
        environ["sesameport.socket"] = self.req.conn.socket
        environ["sesameport.body"] = self._body
        return environ

    def respond(self) -> None:
        """Send what the application returns."""
        response = self._app(self.env, self.start_response)
        try:
            for part in filter(None, response):
                self.write(part)
        finally:
            self.req.ensure_headers_sent()
            if hasattr(response, "close"):
                response.close()


class HttpServer:
    """Serve one WSGI application on ``IP:port`` within the bounds of the process.

    The application finds the complete body as ``sesameport.body`` in its environment.

    Parameters
    ----------
    address : str
        ``IP:port``; port 0 binds a free port.
    app : callable
        WSGI application.
    bounds : CallerBounds
        Bounds on what clients can make the server hold.
    limits : CallerLimits
        Size limits of one request, and the longest silence of a connection.
    threads : int
        Number of threads at start; threads are added on demand.
    report : callable
        Called with the address of a client and the name of a bound that it reached.
    refuse : callable
        Answers a `StrictRequest` that is refused for a `BodyRefused`.
    """

    def __init__(
        self,
        address: str,
        app,
        bounds: CallerBounds,
        limits: CallerLimits,
        threads: int = 2,
        report: Callable[[str | None, str], None] = lambda address, bound: None,
        refuse: Callable[[StrictRequest, BodyRefused], None] = refuse_as_text,
    ):
        self._listener = HttpListener(
            address,
            lambda req, body: _Gateway(req, body, app).respond(),
            min(threads, bounds.max_threads),
            bounds.max_threads,
            bounds,
            report=report,
            refuse=refuse,
        )
        self._listener.set_limits(limits)
        self.address = self._listener.address

    def start(self) -> "HttpServer":
        """Start serving on a background thread and return the server."""
        self._listener.start()
        return self

    def has_failed(self) -> bool:
        """Return whether the server has ended although it was not stopped."""
        return self._listener.has_failed()

    def add_threads(self) -> None:
        """Add threads if few are idle; blocks while they start."""
        self._listener.add_threads()

    def enforce_limits(self) -> None:
        """Cut off clients that exceed their time or hold threads that others need."""
        self._listener.enforce_limits()

    def stop(self) -> None:
        """Stop accepting connections, and refuse requests that are being read."""
        self._listener.stop_accepting()
        self._listener.end_open_bodies()
        self._listener.stop()
