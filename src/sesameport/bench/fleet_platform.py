"""Run many hosts' configurations against one platform in virtual time."""

import random

from sesameport.bench.fleet_loop import MessageLoop
from sesameport.fleet.configuration import Configuration
from sesameport.fleet.configuration_state import ConfigurationSettings
from sesameport.fleet.document_store import DocumentCheck
from sesameport.fleet.platform_reads import PlatformReadPlanner, ReadKind
from sesameport.interfaces import HostList, ObjectList, Sender, StoredObject, WatchBatch
from sesameport.world import Finding, Host

__all__ = ["ConfigurationNode", "VirtualFleet", "VirtualPlatform", "check_text"]

KIND = "ServiceDocument"


def check_text(name: str, value: bytes):
    """Accept any text but one that starts with ``bad``."""
    text = value.decode()
    if text.startswith("bad"):
        return None, [Finding(name, "$", "starts with bad")]
    return text, []


class VirtualPlatform:
    """Keep objects with rising versions; reads may lag and may be refused per host.

    Attributes
    ----------
    unreachable_for : set of str
        Hosts whose calls fail; ``None`` in it stands for all hosts.
    lag : int
        Number of newest versions that reads do not show.
    """

    def __init__(self, hosts: tuple[Host, ...] = ()):
        self.version = 0
        self.log: list[StoredObject] = []
        self.unreachable_for: set = set()
        self.lag = 0
        self.reads = 0
        self.hosts = HostList(hosts, ())
        self.on_change: list = []

    def write(self, name: str, text: str, deleted: bool = False) -> int:
        """Store a document, or a tombstone, and return its version."""
        self.version += 1
        value = b"" if deleted else text.encode()
        self.log.append(StoredObject(KIND, name, self.version, value, deleted))
        for call in self.on_change:
            call()
        return self.version

    def reaches(self, host: str) -> bool:
        """Tell whether a host's calls succeed."""
        return host not in self.unreachable_for and None not in self.unreachable_for

    def list(self) -> ObjectList:
        """Read all documents that are not deleted."""
        shown = max(0, self.version - self.lag)
        newest = {item.name: item for item in self.log if item.version <= shown}
        live = tuple(item for item in newest.values() if not item.deleted)
        return ObjectList(live, shown)

    def watch(self, since: int) -> WatchBatch:
        """Read the changes after a version without waiting."""
        shown = max(0, self.version - self.lag)
        changes = (i for i in self.log if since < i.version <= shown)
        return WatchBatch(tuple(changes), shown)


class ConfigurationNode:
    """Drive one host's configuration and its reads of the platform."""

    READ_S = 0.005
    """Time that a read takes."""

    def __init__(
        self,
        loop: MessageLoop,
        host: Host,
        incarnation: str,
        platform: VirtualPlatform,
        data_centres: tuple[str, ...],
        check: DocumentCheck = check_text,
        cfg: ConfigurationSettings | None = None,
    ):
        rng = random.Random(f"{host.name}/{incarnation}")
        self.configuration = Configuration(
            host, incarnation, rng, check, data_centres, cfg
        )
        self.reads = PlatformReadPlanner(rng)
        self._loop = loop
        self._host = host
        self._platform = platform
        self._read = None
        self._asked_at = 0.0
        platform.on_change.append(self._wake)

    def tick(self, now: float) -> list:
        """Do the periodic work of the configuration and of the reads."""
        effects = self.configuration.tick(now)
        self._start(now)
        return effects

    def receive(self, sender, message, now: float) -> list:
        """Hand a message to the configuration."""
        return self.configuration.receive(sender, message, now)

    def _start(self, now: float) -> None:
        if self._read is not None:
            return
        state = self.configuration.state
        self._read = self.reads.next_read(
            now,
            self.configuration.is_relay(),
            len(state.local),
            self.configuration.freshness_age(now),
            state.listing.digest != "",
        )
        if self._read is None:
            return
        self._asked_at = now
        self._platform.reads += 1
        self._loop.at(now + self.READ_S, self._poll, self._read)

    def _wake(self) -> None:
        read = self._read
        if read is not None and read.kind == ReadKind.WATCH:
            self._loop.at(self._loop.now + self.READ_S, self._poll, read)

    def _poll(self, read) -> None:
        place = self._loop.places.get(self._host.name)
        if read is not self._read or place is None or place.node is not self:
            return
        now = self._loop.now
        if not self._platform.reaches(self._host.name):
            self._read = None
            self.reads.failed(read, now)
            self.configuration.handle_read_failure(self._asked_at)
            return
        end = self._asked_at + read.timeout_s
        waits = read.kind == ReadKind.WATCH and now < end
        if waits and not self._platform.watch(read.version).changes:
            self._loop.at(end, self._poll, read)
            return
        self._read = None
        self._loop.perform(self._host.name, self._finish(read, now))
        self._start(now)

    def _finish(self, read, now: float) -> list:
        if read.kind == ReadKind.HOSTS:
            self.reads.done(read, 0)
            hosts = self._platform.hosts
            return self.configuration.handle_host_list(hosts, self._asked_at, now)
        if read.kind == ReadKind.LIST:
            objects = self._platform.list()
            self.reads.done(read, objects.version)
            return self.configuration.handle_object_list(objects, self._asked_at, now)
        batch = self._platform.watch(read.version)
        self.reads.done(read, batch.version)
        return self.configuration.handle_watch_batch(batch, self._asked_at, now)


class VirtualFleet:
    """Run ``count`` hosts, spread evenly over data centres, with one platform."""

    TICK_S = 0.25

    def __init__(
        self,
        count: int,
        centres: tuple[str, ...],
        seed: int = 1,
        check: DocumentCheck = check_text,
        delay_s: float = 0.002,
    ):
        self.hosts = tuple(
            Host(f"h{i}", centres[i % len(centres)]) for i in range(count)
        )
        self.centres = centres
        self.loop = MessageLoop(seed, delay_s)
        self.platform = VirtualPlatform(self.hosts)
        self._check = check
        self._starts = 0
        for host in self.hosts:
            self.start(host)
        self.update_members()

    def start(self, host: Host) -> None:
        """Start a process of a host, in the place of an earlier one."""
        self._starts += 1
        incarnation = f"i{self._starts}"
        node = ConfigurationNode(
            self.loop, host, incarnation, self.platform, self.centres, self._check
        )
        sender = Sender(host.name, incarnation, host.data_centre)
        self.loop.add(sender, node, self.TICK_S)

    def node(self, name: str) -> Configuration:
        """Return the configuration of a running host."""
        return self.loop.places[name].node.configuration

    def running(self) -> list[str]:
        """Return the names of the running hosts."""
        return list(self.loop.places)

    def update_members(self) -> None:
        """Tell every running host which hosts run."""
        by_centre: dict[str, list[str]] = {name: [] for name in self.centres}
        for host in self.hosts:
            if host.name in self.loop.places:
                by_centre[host.data_centre].append(host.name)
        for name in self.running():
            remote = dict(by_centre)
            local = remote.pop(self.loop.places[name].sender.data_centre)
            self.node(name).set_members(local, remote, [])

    def texts(self, name: str = "a") -> set:
        """Return the contents and versions in force of a document, over all hosts."""
        nothing = (None, 0)
        return {
            self.node(host).documents().get(name, nothing) for host in self.running()
        }

    def cut(self, centre: str) -> None:
        """Separate a data centre from the others and from the platform."""
        inside = {host.name for host in self.hosts if host.data_centre == centre}
        outside = {host.name for host in self.hosts} - inside
        pairs = {(a, b) for a in inside for b in outside}
        self.loop.faults.cuts |= pairs | {(b, a) for a, b in pairs}
        self.platform.unreachable_for |= inside
