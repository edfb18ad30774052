"""Provide a fake object store that serves HTTP on loopback."""

import contextlib
import copy
import http.server
import json
import socket
import threading
import time

__all__ = ["FakeServer", "FakeStore"]


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def __init__(self, *args):
        super().__init__(*args)
        self.open_connections = set()

    def process_request(self, request, client_address):
        self.open_connections.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        self.open_connections.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request, client_address):
        """Ignore errors of callers that closed their connection."""


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *args):
        """Suppress the access log."""

    def dispatch(self):
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length) if length else b""
        self.server.fake.handle_request(self, body)

    do_GET = do_POST = do_PUT = do_DELETE = dispatch

    def send_response(self, status, message=None):
        super().send_response(status, message)
        for name, value in self.server.fake.says.items():
            self.send_header(name, value)

    def send_reply(self, status, body=b"", headers=()):
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def drop_connection(self):
        """Close the connection without sending a response."""
        self.close_connection = True
        self.connection.close()


class FakeServer:
    """Serve HTTP on loopback; subclasses handle the requests."""

    def __init__(self):
        self._server = _Server(("127.0.0.1", 0), _Handler)
        self._server.fake = self
        self._stopped = False
        self.has_crashed = False
        self.says = {}
        self.address = f"127.0.0.1:{self._server.server_port}"
        threading.Thread(
            target=self._server.serve_forever,
            kwargs={"poll_interval": 0.02},
            daemon=True,
        ).start()

    def stop(self):
        """Stop the server."""
        if not self._stopped:
            self._stopped = True
            self._server.shutdown()
            self._server.server_close()

    def crash(self):
        """Stop listening and end all connections, like a process that dies."""
        self._stopped = self.has_crashed = True
        # Closing a socket that another thread polls has no effect until the poll ends.
        self._server.socket.shutdown(socket.SHUT_RDWR)
        for sock in list(self._server.open_connections):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
        threading.Thread(target=self._server.shutdown, daemon=True).start()


class FakeStore(FakeServer):
    """Serve objects with revisions, lists and watches.

    ``fault`` is "" or one of "down" (503), "reset" (the connection is closed before the
    call takes effect), "lost" (it is closed after the call took effect).
    """

    def __init__(self, first_revision=100):
        super().__init__()
        self.fault = ""
        self.page_size = 500
        self.calls = []
        self._changed = threading.Condition()
        self._objects = {}
        self._history = []
        self._compacted_revision = 0
        self._returns = 0
        self.revision = first_revision

    def put(self, kind, name, spec):
        """Write an object on behalf of the operator or a replica."""
        with self._changed:
            self._write(kind, name, spec)

    def remove(self, kind, name):
        """Delete an object."""
        with self._changed:
            self._delete(kind, name)

    def spec(self, kind, name):
        """Return the stored spec of an object, or None."""
        stored = self._objects.get((kind, name))
        return stored["spec"] if stored else None

    def names(self, kind):
        """Return the names of the stored objects of a kind."""
        return [name for object_kind, name in self._objects if object_kind == kind]

    def copy(self):
        """Return a copy from which `come_back` serves."""
        with self._changed:
            return copy.deepcopy((self._objects, self._history, self.revision))

    def come_back(self, stored, era, written=()):
        """Serve from a copy, as after a drill, and state a new era in all answers.

        Revisions are given out again, at once to the objects in ``written``, which are
        kinds, names and specs. Connections with calls that wait are closed.
        """
        with self._changed:
            stored = copy.deepcopy(stored)
            self._objects, self._history, self.revision = stored
            self.says["Store-Era"] = str(era)
            self._returns += 1
            for key in written:
                self._write(*key)
            self._changed.notify_all()

    def compact_history(self):
        """Remove all events; a watch from an older revision then gets 410."""
        with self._changed:
            self._compacted_revision = self.revision
            self._history.clear()
            self._changed.notify_all()

    def _write(self, kind, name, spec):
        self.revision += 1
        metadata = {"name": name, "revision": self.revision, "finalizers": []}
        stored = {"metadata": metadata, "spec": spec, "status": None}
        self._objects[kind, name] = stored
        self._history.append(
            (self.revision, kind, {"deleted": False, "object": stored})
        )
        self._changed.notify_all()
        return stored

    def _delete(self, kind, name):
        removed = self._objects.pop((kind, name), None)
        if removed is None:
            return
        self.revision += 1
        self._history.append(
            (self.revision, kind, {"deleted": True, "object": removed})
        )
        self._changed.notify_all()

    def handle_request(self, handler, body):
        """Handle one call."""
        path, _, text = handler.path.partition("?")
        query = dict(part.split("=", 1) for part in text.split("&") if part)
        parts = path.removeprefix("/v1/objects/").split("/")
        self.calls.append((handler.command, handler.path))
        if self.fault == "down":
            handler.send_reply(503, {"error": "down"})
            return
        if self.fault == "reset":
            handler.drop_connection()
            return
        if "watch" in query:
            status, data = self._watch(parts[0], query)
        else:
            status, data = self._call(handler.command, parts, query, body)
        if self.fault == "lost" or status == 0:
            handler.drop_connection()
            return
        handler.send_reply(status, data)

    def _call(self, method, parts, query, body):
        data = json.loads(body) if body else {}
        key = (parts[0], parts[-1])
        with self._changed:
            stored = self._objects.get(key)
            if method == "GET" and len(parts) == 1:
                return self._list(parts[0], query)
            if method == "GET":
                return (200, stored) if stored else (404, {})
            if method == "POST":
                name = data["metadata"]["name"]
                if (parts[0], name) in self._objects:
                    return 409, self._objects[parts[0], name]
                return 200, self._write(parts[0], name, data["spec"])
            if stored is None:
                return 404, {}
            expected_revision = data.get("metadata", {}).get("revision") or query.get(
                "revision"
            )
            if (
                expected_revision
                and int(expected_revision) != stored["metadata"]["revision"]
            ):
                return 409, stored
            if method == "DELETE":
                self._delete(*key)
                return 200, {}
            return 200, self._write(*key, data["spec"])

    def _list(self, kind, query):
        names = sorted(
            name for object_kind, name in self._objects if object_kind == kind
        )
        names = [name for name in names if name > query.get("after", "")]
        page = names[: self.page_size]
        return 200, {
            "items": [self._objects[kind, name] for name in page],
            "hasMore": len(names) > len(page),
            "at": self.revision,
        }

    def _watch(self, kind, query):
        since = int(query["watch"])
        deadline = time.monotonic() + int(query["waitMs"]) / 1000
        with self._changed:
            returns = self._returns
            while returns == self._returns:
                if not self._compacted_revision <= since <= self.revision:
                    return 410, {}
                events = [
                    event
                    for revision, object_kind, event in self._history
                    if revision > since and object_kind == kind
                ]
                remaining_s = deadline - time.monotonic()
                if events or remaining_s <= 0 or self.fault:
                    return 200, {"events": events, "at": self.revision}
                self._changed.wait(min(remaining_s, 0.2))
        return 0, {}
