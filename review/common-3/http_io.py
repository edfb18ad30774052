"""Serve HTTP/1.1 on loopback for the stand-ins of the store and of the replicas."""

import contextlib
import http.server
import json
import socket
import struct
import threading

_RESET = struct.pack("ii", 1, 0)


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512
    allow_reuse_address = True

    def __init__(self, address, owner):
        super().__init__(address, _Handler)
        self.owner = owner
        self.lock = threading.Lock()
        self.connections = set()

    def process_request(self, request, client_address):
        with self.lock:
            self.connections.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        with self.lock:
            self.connections.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request, client_address):
        """Ignore callers that have closed their connection."""


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1

    def log_message(self, *args):
        """Write no access log."""

    def _dispatch(self):
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length) if length else b""
        if self.headers.get("Transfer-Encoding", "").lower() == "chunked":
            body = self._read_chunks()
        self.server.owner.handle(self, body)

    do_GET = do_POST = do_PUT = do_DELETE = _dispatch

    def _read_chunks(self):
        parts = []
        while True:
            size = int(self.rfile.readline().split(b";")[0], 16)
            parts.append(self.rfile.read(size))
            self.rfile.readline()
            if size == 0:
                return b"".join(parts)

    def head(self, status, headers):
        """Send a status line and headers."""
        self.send_response_only(status)
        for name, value in [*self.server.owner.all_answers(), *headers]:
            self.send_header(name, value)
        self.end_headers()

    def reply(self, status, body=b"", headers=()):
        """Send a whole answer; a body that isn't bytes is sent as JSON."""
        headers = list(headers)
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
            headers.append(("Content-Type", "application/json"))
        self.head(status, [*headers, ("Content-Length", str(len(body)))])
        self.wfile.write(body)
        self.wfile.flush()


class HttpService:
    """Serve HTTP at one address; subclasses implement ``handle``.

    Parameters
    ----------
    host : str
        Loopback address to listen on; the port is free.
    """

    def __init__(self, host="127.0.0.1"):
        self._server = _Server((host, 0), self)
        self.host, self.port = self._server.server_address[:2]
        self.address = f"{self.host}:{self.port}"
        self._serve()

    def all_answers(self):
        """Return headers that stand in every answer."""
        return ()

    def handle(self, handler, body):
        """Answer one request."""
        raise NotImplementedError

    def _serve(self):
        threading.Thread(
            target=self._server.serve_forever,
            kwargs={"poll_interval": 0.02},
            daemon=True,
        ).start()

    def close(self):
        """Stop listening and reset all connections."""
        server, self._server = self._server, None
        if server is None:
            return
        server.shutdown()
        server.server_close()
        with server.lock:
            connections = list(server.connections)
        for sock in connections:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
                sock.shutdown(socket.SHUT_RDWR)

    def open_again(self):
        """Listen again at the address that was closed."""
        self._server = _Server((self.host, self.port), self)
        self._serve()
