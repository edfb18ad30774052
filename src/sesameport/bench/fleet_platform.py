"""Simulate the configuration of many hosts with one platform, in virtual time."""

import random

from sesameport.bench.fleet_loop import MessageLoop
from sesameport.domain import Finding, Host
from sesameport.fleet.configuration import Configuration
from sesameport.fleet.configuration_state import ConfigurationSettings
from sesameport.fleet.document_store import DocumentCheck
from sesameport.fleet.platform_reads import PlatformReadPlanner, ReadKind
from sesameport.interfaces import HostList, ObjectList, Sender, StoredObject, WatchBatch

__all__ = ["ConfigurationNode", "VirtualFleet", "VirtualPlatform", "check_text"]

KIND = "ServiceDocument"


def check_text(name: str, value: bytes):
    """Return the text and no findings, or a finding if it starts with ``bad``."""
    text = value.decode()
    if text.startswith("bad"):
        return None, [Finding(name, "$", "starts with bad")]
    return text, []


class VirtualPlatform:
    """Store objects with increasing versions.

    Reads can be set to miss the newest versions, and calls of single hosts to fail.

    Attributes
    ----------
    unreachable_for : set of str or None
        Hosts whose calls fail. If it contains ``None``, the calls of all hosts fail.
    """

    def __init__(self, hosts: tuple[Host, ...] = ()):
        self.version = 0
        self.log: list[StoredObject] = []
        self.unreachable_for: set = set()
        # Number of the newest versions that reads do not return.
        self.lag_versions = 0
        self.read_count = 0
        self.hosts = HostList(hosts, ())
        self.on_change: list = []

    def write(self, name: str, text: str, deleted: bool = False) -> int:
        """Store a document, or a tombstone if ``deleted``, and return its version."""
        self.version += 1
        value = b"" if deleted else text.encode()
        self.log.append(StoredObject(KIND, name, self.version, value, deleted))
        for call in self.on_change:
            call()
        return self.version

    def is_reachable_from(self, host: str) -> bool:
        """Return whether the calls of a host succeed."""
        return host not in self.unreachable_for and None not in self.unreachable_for

    def list(self) -> ObjectList:
        """Return all documents that are not deleted."""
        visible_version = max(0, self.version - self.lag_versions)
        newest = {
            item.name: item for item in self.log if item.version <= visible_version
        }
        current = tuple(item for item in newest.values() if not item.deleted)
        return ObjectList(current, visible_version)

    def watch(self, since: int) -> WatchBatch:
        """Return the changes after a version without waiting."""
        visible_version = max(0, self.version - self.lag_versions)
        changes = (i for i in self.log if since < i.version <= visible_version)
        return WatchBatch(tuple(changes), visible_version)


class ConfigurationNode:
    """Run the configuration of one host and its reads from the platform."""

    READ_DURATION_S = 0.005
    """Duration of a read in virtual time."""

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
        self._read_planner = PlatformReadPlanner(rng)
        self._loop = loop
        self._host = host
        self._platform = platform
        self._running_read = None
        self._read_started_at = 0.0
        platform.on_change.append(self._poll_watch)

    def tick(self, now: float) -> list:
        """Perform the periodic work and start the next read that is due."""
        effects = self.configuration.tick(now)
        self._start_read(now)
        return effects

    def receive(self, sender, message, now: float) -> list:
        """Pass a message to the configuration."""
        return self.configuration.receive(sender, message, now)

    def _start_read(self, now: float) -> None:
        if self._running_read is not None:
            return
        state = self.configuration.state
        self._running_read = self._read_planner.next_read(
            now,
            self.configuration.is_relay(),
            len(state.local),
            self.configuration.freshness_age(now),
            state.listing.digest != "",
        )
        if self._running_read is None:
            return
        self._read_started_at = now
        self._platform.read_count += 1
        self._loop.call_at(now + self.READ_DURATION_S, self._poll, self._running_read)

    def _poll_watch(self) -> None:
        read = self._running_read
        if read is not None and read.kind == ReadKind.WATCH:
            self._loop.call_at(self._loop.now + self.READ_DURATION_S, self._poll, read)

    def _poll(self, read) -> None:
        process = self._loop.processes.get(self._host.name)
        if (
            read is not self._running_read
            or process is None
            or process.node is not self
        ):
            return
        now = self._loop.now
        if not self._platform.is_reachable_from(self._host.name):
            self._running_read = None
            self._read_planner.failed(read, now)
            self.configuration.handle_read_failure(self._read_started_at)
            return
        end = self._read_started_at + read.timeout_s
        is_waiting = read.kind == ReadKind.WATCH and now < end
        if is_waiting and not self._platform.watch(read.version).changes:
            self._loop.call_at(end, self._poll, read)
            return
        self._running_read = None
        self._loop.apply_effects(self._host.name, self._apply_result(read, now))
        self._start_read(now)

    def _apply_result(self, read, now: float) -> list:
        if read.kind == ReadKind.HOSTS:
            self._read_planner.done(read, 0)
            hosts = self._platform.hosts
            return self.configuration.handle_host_list(
                hosts, self._read_started_at, now
            )
        if read.kind == ReadKind.LIST:
            objects = self._platform.list()
            self._read_planner.done(read, objects.version)
            return self.configuration.handle_object_list(
                objects, self._read_started_at, now
            )
        batch = self._platform.watch(read.version)
        self._read_planner.done(read, batch.version)
        return self.configuration.handle_watch_batch(batch, self._read_started_at, now)


class VirtualFleet:
    """Simulate ``count`` hosts, spread evenly over data centres, with one platform."""

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
        self._start_count = 0
        for host in self.hosts:
            self.start(host)
        self.update_members()

    def start(self, host: Host) -> None:
        """Start a process of a host, replacing an earlier one."""
        self._start_count += 1
        incarnation = f"i{self._start_count}"
        node = ConfigurationNode(
            self.loop, host, incarnation, self.platform, self.centres, self._check
        )
        sender = Sender(host.name, incarnation, host.data_centre)
        self.loop.add(sender, node, self.TICK_S)

    def node(self, name: str) -> Configuration:
        """Return the configuration of a running host."""
        return self.loop.processes[name].node.configuration

    def running_hosts(self) -> list[str]:
        """Return the names of the running hosts."""
        return list(self.loop.processes)

    def update_members(self) -> None:
        """Set the members of every running host to the hosts that run."""
        by_centre: dict[str, list[str]] = {name: [] for name in self.centres}
        for host in self.hosts:
            if host.name in self.loop.processes:
                by_centre[host.data_centre].append(host.name)
        for name in self.running_hosts():
            remote = dict(by_centre)
            local = remote.pop(self.loop.processes[name].sender.data_centre)
            self.node(name).set_members(local, remote, [])

    def applied_documents(self, name: str = "a") -> set:
        """Return all distinct pairs of content and version that running hosts apply."""
        absent = (None, 0)
        return {
            self.node(host).documents().get(name, absent)
            for host in self.running_hosts()
        }

    def isolate_data_centre(self, centre: str) -> None:
        """Disconnect a data centre from the others and from the platform."""
        inside = {host.name for host in self.hosts if host.data_centre == centre}
        outside = {host.name for host in self.hosts} - inside
        pairs = {(a, b) for a in inside for b in outside}
        self.loop.faults.blocked_pairs |= pairs | {(b, a) for a, b in pairs}
        self.platform.unreachable_for |= inside
