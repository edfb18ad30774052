"""Run whole entry hosts against stand-ins of the store and of replicas."""

import contextlib
import http.client
import time

import attrs
import pytest

from sesameport.entry.host import EntryHost
from sesameport.entry.settings import EntrySettings, FleetBounds
from sesameport.platform import PlatformWire
from sesameport.platform.tests.standins import ReplicaStandin, StoreStandin

KEY = "key-of-w"
HOST = "desk.example"


def configuration(version=1, **changes):
    """Return a configuration with plain, streaming and resumable routes."""

    def route(name, kind, service, **fields):
        return {
            "name": name,
            "host": HOST,
            "pathPrefix": f"/{name}/",
            "kind": kind,
            "timeoutMs": 2_000,
            "targetLatencyMs": 900,
            "priority": 1,
            "service": service,
            "maxAttempts": 2,
            "anonymous": False,
            "resumable": False,
            **fields,
        }

    data = {
        "version": version,
        "routes": [
            route("look", "safe", "desk"),
            route("book", "unsafe", "desk", maxAttempts=1),
            route("draft", "streaming", "llm", maxAttempts=1),
            route("grade", "streaming", "llm", resumable=True),
            route("open", "safe", "desk", anonymous=True),
        ],
        "services": [
            {"name": "desk"},
            {
                "name": "llm",
                "engine": {"slots": 8, "kvCapacityTokens": 20_000, "kvRetentionS": 0.5},
            },
        ],
        "limits": {"maxBodyBytes": 100_000, "idleTimeoutMs": 15_000},
        "tenants": [{"name": "w", "apiKeys": [KEY], "ratePerS": 0, "plainTokens": 10}],
    }
    return {**data, **changes}


@attrs.define
class Answer:
    """Hold what a caller got; ``is_whole`` tells whether it looks complete."""

    status: int
    headers: dict
    body: bytes
    is_whole: bool = True


class World:
    """Hold the store, replicas and hosts of one test."""

    def __init__(self, stack):
        self._stack = stack
        self.store = StoreStandin()
        stack.callback(self.store.stop)
        self.replicas = {}
        self.hosts = []

    def add_replica(self, name, service, stage="", **fields):
        """Start and register a replica."""
        replica = ReplicaStandin(name, stage, **fields)
        self._stack.callback(replica.stop)
        self.replicas[name] = replica
        self.store.put("servers", name, replica.entry(service))
        return replica

    def configure(self, version=1, **changes):
        """Write a configuration."""
        self.store.put("config", "main", configuration(version, **changes))

    def start_host(self, name="h1", **fields):
        """Start a host; its addresses are on free ports."""
        settings = EntrySettings(
            name=name,
            data_centre="a",
            ip="127.0.0.1",
            caller_listen="127.0.0.1:0",
            ready_listen="127.0.0.1:0",
            peer_port=0,
            store_address=self.store.address,
            bounds=FleetBounds(),
            metrics_port=0,
            **fields,
        )
        host = EntryHost(settings, PlatformWire()).start()
        self._stack.callback(host.close)
        self.hosts.append(host)
        return host

    def call(self, target, method="GET", body=b"", host=None, **fields):
        """Send one request on a new connection and return the answer."""
        headers = {
            "Host": HOST,
            "X-Request-Id": fields.pop("request_id", "r1"),
            "X-Deadline-Ms": str(fields.pop("deadline_ms", 2_000)),
            "X-Key": fields.pop("key", KEY),
            **fields.pop("headers", {}),
        }
        address = (host or self.hosts[0]).caller_address
        conn = http.client.HTTPConnection(address, timeout=10)
        try:
            conn.request(method, target, body, headers)
            response = conn.getresponse()
            found = {name.lower(): value for name, value in response.getheaders()}
            try:
                return Answer(response.status, found, response.read())
            except (http.client.HTTPException, OSError) as exc:
                partial = getattr(exc, "partial", b"")
                return Answer(response.status, found, partial, False)
        finally:
            conn.close()

    def draft(self, route="draft", **fields):
        """Send one generation."""
        headers = {"X-Token-Count": "1000,400", **fields.pop("headers", {})}
        return self.call(f"/{route}/x", "POST", b"prompt", headers=headers, **fields)


def wait_until(condition, seconds=5.0):
    """Wait until a condition holds."""
    until = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < until, "the condition did not hold in time"
        time.sleep(0.01)


@pytest.fixture
def world():
    """Return a world with an engine pair and two plain replicas, configured."""
    with contextlib.ExitStack() as stack:
        built = World(stack)
        built.add_replica("p1", "llm", "prefill")
        built.add_replica("d1", "llm", "decode")
        built.add_replica("s1", "desk")
        built.configure()
        yield built


@pytest.fixture
def host(world):
    """Return a host that has read configuration and replicas."""
    started = world.start_host()
    wait_until(lambda: started.is_ready() and started.server_count() >= 3)
    return started
