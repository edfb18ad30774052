"""Provide a stand-in for the platform's versioned object API.

``GET/PUT/DELETE /v1/objects/KIND/NAME`` with ``If-Match`` or ``If-None-Match: *``,
``GET /v1/objects/KIND`` to list, with ``?watch=VERSION&timeout=S`` to watch, and
``GET /v1/hosts`` for the host list, which may lag. JSON bodies carry values in base64.
"""

import base64
import collections
import concurrent.futures
import threading
import time
from urllib.parse import parse_qs, unquote

import attrs

from sesameport.domain import BackendServer, Host
from sesameport.standins.faults import FaultPlan
from sesameport.standins.http import LoopbackServer, json_response, read_json

__all__ = ["PlatformStandin"]

_HISTORY_SIZE = 1_000


class PlatformStandin:
    """Keep versioned objects in memory and serve them over HTTP.

    Attributes
    ----------
    faults : FaultPlan
        Faults to inject.
    host_list_lag_s : float
        Delay before readers see a change of the host list, seconds.
    calls : collections.Counter
        Number of requests by HTTP method, for tests of request rates.
    """

    def __init__(self, faults: FaultPlan | None = None, host_list_lag_s: float = 0.0):
        self.faults = faults or FaultPlan()
        self.host_list_lag_s = host_list_lag_s
        self.calls: collections.Counter = collections.Counter()
        self._objects: dict[tuple[str, str], dict] = {}
        self._history: collections.deque = collections.deque(maxlen=_HISTORY_SIZE)
        self._version = 0
        self._changed = threading.Condition()
        self._host_lists: list[tuple[float, dict]] = [(0.0, _build_host_list((), ()))]
        self._servers: list[LoopbackServer] = []

    def start(self, threads: int = 48, port: int = 0) -> str:
        """Start serving on loopback and return the base URL."""
        return self._serve(self._serve_request, threads, port)

    def open_endpoint(self, faults: FaultPlan, threads: int = 24) -> str:
        """Serve on a further address with a separate fault plan and return its URL.

        Setting ``down`` in the plan disconnects only the data centre that uses the
        address.
        """

        def serve_with_faults(environ, start_response):
            if faults.inject_before_effect():
                return json_response(start_response, 503, {"detail": "unavailable"})
            response = self._serve_request(environ, start_response)
            faults.inject_after_effect()
            return response

        return self._serve(serve_with_faults, threads, 0)

    def _serve(self, app, threads: int, port: int) -> str:
        server = LoopbackServer(app, threads, port).start()
        self._servers.append(server)
        return f"http://{server.address}"

    def stop(self) -> None:
        """Stop serving and keep the stored objects."""
        with self._changed:
            self._changed.notify_all()
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            list(pool.map(lambda server: server.stop(), self._servers))

    def set_hosts(
        self, hosts: tuple[Host, ...], servers: tuple[BackendServer, ...]
    ) -> None:
        """Replace the host list; readers see the change after ``host_list_lag_s``."""
        with self._changed:
            entry = (
                time.monotonic() + self.host_list_lag_s,
                _build_host_list(hosts, servers),
            )
            self._host_lists.append(entry)

    def put(self, kind: str, name: str, value: bytes) -> int:
        """Write an object without an HTTP request and return its version."""
        with self._changed:
            return self._write(kind, name, value)["version"]

    def _write(self, kind: str, name: str, value: bytes, deleted: bool = False) -> dict:
        self._version += 1
        stored = {
            "kind": kind,
            "name": name,
            "version": self._version,
            "value": base64.b64encode(value).decode(),
            "deleted": deleted,
        }
        self._objects[kind, name] = stored
        self._history.append(stored)
        self._changed.notify_all()
        return stored

    def _serve_request(self, environ, start_response):
        self.calls[environ["REQUEST_METHOD"]] += 1
        if self.faults.inject_before_effect():
            return json_response(start_response, 503, {"detail": "unavailable"})
        status, body = self._handle_request(environ)
        self.faults.inject_after_effect()
        return json_response(start_response, status, body)

    def _handle_request(self, environ) -> tuple[int, dict]:
        parts = [unquote(part) for part in environ["PATH_INFO"].split("/")[1:]]
        method = environ["REQUEST_METHOD"]
        if parts == ["v1", "hosts"]:
            return 200, self._current_hosts()
        if parts[:2] != ["v1", "objects"] or len(parts) not in (3, 4):
            return 404, {"detail": "no such path"}
        if len(parts) == 3:
            query = parse_qs(environ.get("QUERY_STRING", ""))
            if "watch" in query:
                timeout_s = float(query.get("timeout", ["10"])[0])
                return self._watch(parts[2], int(query["watch"][0]), timeout_s)
            return self._list(parts[2])
        if method == "GET":
            return self._get(parts[2], parts[3])
        return self._handle_write(method, parts[2], parts[3], environ)

    def _get(self, kind: str, name: str) -> tuple[int, dict]:
        with self._changed:
            stored = self._objects.get((kind, name))
        if stored is None or stored["deleted"]:
            return 404, {"detail": "not found"}
        return 200, stored

    def _list(self, kind: str) -> tuple[int, dict]:
        with self._changed:
            matches = [
                stored
                for (stored_kind, _), stored in self._objects.items()
                if stored_kind == kind
            ]
            return 200, {"objects": matches, "version": self._version}

    def _handle_write(self, method, kind, name, environ) -> tuple[int, dict]:
        value = base64.b64decode(read_json(environ).get("value", ""))
        with self._changed:
            stored = self._objects.get((kind, name))
            current = stored["version"] if stored else 0
            if environ.get("HTTP_IF_NONE_MATCH") == "*":
                if stored is not None and not stored["deleted"]:
                    return 412, {"detail": "exists", "version": current}
            elif environ.get("HTTP_IF_MATCH") != str(current) or stored is None:
                return 409, {"detail": "version conflict", "version": current}
            return 200, self._write(kind, name, value, deleted=method == "DELETE")

    def _watch(self, kind: str, after: int, timeout_s: float) -> tuple[int, dict]:
        deadline = time.monotonic() + timeout_s
        with self._changed:
            while True:
                if self._history and self._history[0]["version"] > after + 1:
                    is_history_full = len(self._history) == _HISTORY_SIZE
                    if is_history_full:
                        return 410, {"detail": "version is no longer kept"}
                matches = [
                    stored
                    for stored in self._history
                    if stored["version"] > after and stored["kind"] == kind
                ]
                remaining = deadline - time.monotonic()
                if matches or remaining <= 0 or self.faults.down:
                    return 200, {"changes": matches, "version": self._version}
                self._changed.wait(min(remaining, 0.5))

    def _current_hosts(self) -> dict:
        now = time.monotonic()
        with self._changed:
            visible = [
                body for visible_from, body in self._host_lists if visible_from <= now
            ]
            return visible[-1]


def _build_host_list(hosts, servers) -> dict:
    return {
        "hosts": [attrs.asdict(host) for host in hosts],
        "servers": [attrs.asdict(server) for server in servers],
    }
