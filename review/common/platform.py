"""Stand-ins for the platform's store, its operator and its replicas.

They build on the fakes of the project's own tests. Replicas write to the store every
heartbeat and record what reaches them and what they run.
"""

import itertools
import threading
import time

from sesameport.platform.tests.fake_replica import FakeReplica
from sesameport.platform.tests.fakes import FakeStore

__all__ = ["Replica", "Store", "make_route", "write_configuration"]

HEARTBEAT_S = 1.2
HOST = "ficu95.example"

Store = FakeStore


def make_route(name: str, kind: str, service: str, **fields) -> dict:
    """Return a route as the operator writes it."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 1_200,
        "targetLatencyMs": 150,
        "priority": 2,
        "service": service,
        "maxAttempts": 1,
        "anonymous": False,
        "sticky": kind == "streaming",
        "resumable": False,
        **fields,
    }


def write_configuration(store, version, routes, keys, engine=None) -> float:
    """Write a configuration; return the time of the store's acknowledgement.

    ``keys`` has the keys of each tenant.
    """
    services = [{"name": "order-desk", "healthPath": "/health", "maxConnections": 110}]
    if engine is not None:
        services.append({"name": "draft-llm", "maxConnections": 250, "engine": engine})
    tenants = [
        {
            "name": name,
            "apiKeys": values,
            "priority": 1,
            "unit": "token_accounting",
            "plainTokens": 200,
            "ratePerS": 47_000,
            "burst": 47_000,
        }
        for name, values in keys.items()
    ]
    spec = {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": tenants,
    }
    store.put("config", "main", spec)
    return time.monotonic()


class Replica(FakeReplica):
    """Serve requests, and register in the store with heartbeats."""

    def __init__(self, store, name, service, zone="svealand-a", stage="", **fields):
        super().__init__(name, stage, **fields)
        self._store = store
        self._service = service
        self._zone = zone
        self._sequence = itertools.count(1)
        self._is_registered = True
        self.born = time.time_ns() // 1_000_000
        self.state = "ready"
        self.write()
        threading.Thread(target=self._beat, daemon=True).start()

    def write(self) -> float:
        """Write the entry; return the time of the store's acknowledgement."""
        entry = self.registration(
            self._service,
            self._zone,
            state=self.state,
            sequence=next(self._sequence),
            born=self.born,
            slots=32 if self.stage else 6,
        )
        self._store.put("servers", self.name, entry)
        return time.monotonic()

    def drain(self) -> float:
        """Report draining; return the time of the store's acknowledgement."""
        self.state = "draining"
        return self.write()

    def _beat(self) -> None:
        while self._is_registered:
            time.sleep(HEARTBEAT_S)
            self.write()
