"""Serve WSGI applications with cheroot for the caller and status interfaces."""

import threading

from cheroot import wsgi

from sesameport.adapters.strict_http import StrictConnection

__all__ = ["HttpServer"]

_SPARE_THREADS = 8
"""A request keeps its thread while it waits and streams, so idle threads are kept for
new connections."""


class _Gateway(wsgi.Gateway_10):
    """Add the connection's socket to the environment, to detect disconnects."""

    def get_environ(self):
        environ = super().get_environ()
        environ["sesameport.socket"] = self.req.conn.socket
        if self.req.chunked_read:
            environ["wsgi.input"] = self.req.chunked_body()
            # Trailers are not read, so the connection cannot be used again.
            self.req.close_connection = True
        return environ


class _Server(wsgi.Server):
    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.gateway = _Gateway
        self.ConnectionClass = StrictConnection


class HttpServer:
    """Serve one WSGI application on ``IP:port``.

    Parameters
    ----------
    address : str
        ``IP:port``; port 0 binds a free port.
    app : callable
        WSGI application.
    threads : int
        Number of threads at start.
    max_threads : int
        Largest number of concurrent requests; threads are added on demand.
    read_timeout_s : float
        Longest time without data from a client during a request, seconds.
    max_header_bytes, max_body_bytes : int
        Size limits of one request.
    on_error : callable
        Called with the text of each error that cheroot logs.
    """

    def __init__(
        self,
        address: str,
        app,
        threads: int = 16,
        max_threads: int = 16,
        read_timeout_s: float = 10.0,
        max_header_bytes: int = 32_768,
        max_body_bytes: int = 4_000_000,
        on_error=None,
    ):
        host, _, port = address.rpartition(":")
        self._server = _Server(
            (host, int(port)),
            self._handle,
            numthreads=threads,
            max=max_threads,
            request_queue_size=512,
        )
        self._app = app
        self._grow_lock = threading.Lock()
        self._server.timeout = read_timeout_s
        self._server.max_request_header_size = max_header_bytes
        # The application refuses large bodies with a problem document. This limit only
        # applies to bodies that do not declare their length.
        self._server.max_request_body_size = 2 * max_body_bytes
        self._server.shutdown_timeout = 1.0
        self._server.error_log = lambda msg="", level=20, traceback=False: (
            on_error(msg) if on_error else None
        )
        self._server.prepare()
        bound_host, bound_port = self._server.bind_addr[:2]
        self.address = f"{bound_host}:{bound_port}"

    def start(self) -> "HttpServer":
        """Start serving on a background thread and return the server."""
        threading.Thread(
            target=self._server.serve, name=f"http-{self.address}", daemon=True
        ).start()
        return self

    def _handle(self, environ, start_response):
        pool = self._server.requests
        with self._grow_lock:
            if pool.idle < _SPARE_THREADS:
                pool.grow(_SPARE_THREADS)
        return self._app(environ, start_response)

    def stop(self) -> None:
        """Stop accepting connections and close idle ones."""
        self._server.stop()
