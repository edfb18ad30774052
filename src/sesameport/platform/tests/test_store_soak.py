"""Play drills of the store at random times before hosts under load.

CI plays two seeds. More are played by hand, one after the other::

    SOAK_SEEDS=1-50 python -m pytest -n 4 --dist load .../test_store_soak.py
"""

import os
import random
import threading
import time

import attrs
import pytest

from sesameport.entry.settings import FleetBounds
from sesameport.platform.tests.conftest import make_configuration, wait_until

SECONDS = 14.0
DRAIN_S = 2.0
CONTACT_S = 3.0
HEARTBEAT_S = 0.4
REWRITTEN_S = 1.8
"""Time after the return of the store in which the operator and the replicas have
written again what they wrote, seconds."""

HOSTS = ("h1", "h2", "h3")


def seeds():
    first, _, last = os.environ.get("SOAK_SEEDS", "1-2").partition("-")
    return range(int(first), int(last or first) + 1)


@attrs.define
class Server:
    """Hold what is true of one start of a replica."""

    name: str
    born: int
    left_at: float | None = None
    way: str = ""
    is_leaving: bool = False


class Play:
    """Change the fleet at random, and write again what the store forgets."""

    def __init__(self, cluster, seed):
        self.cluster, self.rng = cluster, random.Random(seed)
        self.store = cluster.store
        self.lock = threading.RLock()
        self.version, self.era = 1, 1
        self.servers = {}
        self.stable_since = time.monotonic()
        self.is_away = False
        self.events = []

    def note(self, *fields):
        self.events.append((round(time.monotonic() - self.began_at, 2), *fields))

    def start(self, names):
        self.began_at = time.monotonic()
        for number, name in enumerate(names):
            self.servers[name] = Server(name, 1_000 + number)
            self.write(name)

    def write(self, name):
        """Write the entry of a replica as it is now, or remove it."""
        server, replica = self.servers[name], self.cluster.replicas[name]
        if server.left_at is not None and server.way == "removed":
            self.store.remove("servers", name)
            return
        state = "ready" if server.left_at is None else "draining"
        entry = replica.registration("desk", born=server.born, state=state)
        if self.store.spec("servers", name) != entry:
            self.store.put("servers", name, entry)

    def leave(self):
        used = [s for s in self.servers.values() if s.left_at is None]
        if len(used) < 4 or self.is_away:
            return
        server = self.rng.choice(used)
        server.way = self.rng.choice(["removed", "draining"])
        replica = self.cluster.replicas[server.name]
        if self.rng.random() < 0.5:
            replica.says["Server-Leaving"] = "1"
        server.left_at = time.monotonic()
        self.write(server.name)
        self.note("leaves", server.name, server.way)

    def start_again(self):
        gone = [
            s
            for s in self.servers.values()
            if s.left_at is not None and time.monotonic() > s.left_at + 4.0
        ]
        if not gone or self.is_away:
            return
        server = self.rng.choice(gone)
        self.cluster.replicas[server.name].says.clear()
        server.born, server.left_at, server.way = server.born + 100, None, ""
        self.write(server.name)
        self.note("starts", server.name, server.born)

    def configure(self):
        if self.is_away:
            return
        self.version += self.rng.randint(1, 3)
        self.store.put("config", "main", make_configuration(self.version))
        self.note("configuration", self.version)

    def drill(self):
        """Let the store come back from a copy, after a moment, up to twice."""
        copy = self.store.copy()
        self._change_for(self.rng.uniform(0.2, 3.0))
        for _ in range(self.rng.choice([1, 1, 2])):
            self.is_away = self.rng.random() < 0.7
            if self.is_away:
                self.store.fault = self.rng.choice(["down", "reset"])
                time.sleep(self.rng.uniform(0.05, 1.2))
            with self.lock:
                self.era += 1
                self.store.come_back(copy, self.era, self._noise())
                self.store.fault, self.is_away = "", False
                self.note("back", self.era, "revision", self.store.revision)
            time.sleep(self.rng.uniform(0.0, REWRITTEN_S))
        for name in self.servers:
            self.write(name)
        if self.store.spec("config", "main") != make_configuration(self.version):
            self.store.put("config", "main", make_configuration(self.version))
        self.stable_since = time.monotonic()

    def _noise(self):
        """Return changes of other kinds, which give out revisions again at once."""
        count = self.rng.choice([0, 0, 3, 12])
        return [("notes", f"n{number}", {"era": self.era}) for number in range(count)]

    def _change_for(self, seconds):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            change = self.rng.choice(
                [self.leave, self.start_again, self.configure, lambda: None]
            )
            change()
            time.sleep(self.rng.uniform(0.1, 0.5))

    def run(self):
        while time.monotonic() < self.began_at + SECONDS:
            self.drill()
            self._change_for(self.rng.uniform(0.5, 3.0))


class Load:
    """Send requests to the hosts in turn; keep who refused them."""

    def __init__(self, cluster):
        self.cluster, self.ended = cluster, threading.Event()
        self.statuses, self.sent = [], {}
        self.threads = [
            threading.Thread(target=self._send, args=(number,), daemon=True)
            for number in range(6)
        ]
        for thread in self.threads:
            thread.start()

    def _send(self, number):
        count = 0
        while not self.ended.wait(0.03):
            count += 1
            request_id = f"q{number}-{count}"
            host = self.cluster.hosts[(number + count) % len(HOSTS)]
            self.sent[request_id] = (host.settings.name, time.monotonic())
            response = self.cluster.send_request(
                "/look/x", request_id=request_id, host=host
            )
            self.statuses.append((request_id, response.status))

    def stop(self):
        self.ended.set()
        for thread in self.threads:
            thread.join()


@pytest.mark.parametrize("seed", seeds())
def test_hosts_keep_to_what_they_know_across_drills(cluster, seed):
    cluster.store.says["Store-Era"] = "1"
    names = ["s1", *(f"s{number}" for number in range(2, 7))]
    for name in names[1:]:
        cluster.add_replica(name, "desk")
    play = Play(cluster, seed)
    play.start(names)
    for name in HOSTS:
        bounds = FleetBounds(heartbeat_s=HEARTBEAT_S, drain_s=DRAIN_S)
        cluster.start_host(name, bounds=bounds)
    wait_until(lambda: all(len(h.usable_servers()) >= 8 for h in cluster.hosts))
    wait_until(lambda: all(h.peer_count() == 2 for h in cluster.hosts))
    time.sleep(0.5)
    # What each start of a replica got, with the time at which it had left.
    late, versions = [], {host: 0 for host in HOSTS}

    def watch(name):
        replica = cluster.replicas[name]
        handle = replica.handle_request

        def handle_request(handler, body):
            server, now = play.servers[name], time.monotonic()
            request_id = handler.headers.get("X-Request-Id", "")
            if server.left_at is not None and request_id in load.sent:
                host, sent_at = load.sent[request_id]
                if sent_at > server.left_at + DRAIN_S:
                    late_s = round(now - server.left_at, 2)
                    late.append((play.events[-4:], name, server.way, host, late_s))
            handle(handler, body)

        replica.handle_request = handle_request

    for name in names:
        watch(name)
    load = Load(cluster)
    play.run()
    for host in cluster.hosts:
        assert host.configuration_version() >= versions[host.settings.name]
        versions[host.settings.name] = host.configuration_version()
    # The operator and the replicas have written again; the doubts have ended.
    sound = {s.name for s in play.servers.values() if s.left_at is None}

    def is_settled():
        return all(
            {n for n in host.usable_servers() if n.startswith("s")} == sound
            and host.configuration_version() == play.version
            for host in cluster.hosts
        )

    try:
        wait_until(is_settled, 2.0 + 3 * HEARTBEAT_S + CONTACT_S)
    finally:
        load.stop()
    failed = [item for item in load.statuses if item[1] != 200]
    assert late == []
    assert failed == []
