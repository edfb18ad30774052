"""Fuzz the replication of documents with the platform's log of versions as oracle."""

import hypothesis.strategies as st
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import RuleBasedStateMachine, rule

from sesameport.bench.fleet_loop import Faults
from sesameport.bench.fleet_platform import VirtualFleet
from sesameport.fleet.peer_messages import DocumentPush

CENTRES = ("rajkot-a", "jamnagar-b")
COUNT = 6

hosts = st.integers(0, COUNT - 1).map(lambda i: f"h{i}")
names = st.sampled_from(["a", "b"])


class ConfigurationMachine(RuleBasedStateMachine):
    """Check I10: accepted versions never decrease and all hosts converge.

    Rules inject late pushes, restarts, lost and repeated messages, one-way partitions,
    platform outages and lagging reads.
    """

    def __init__(self):
        super().__init__()
        self.fleet = VirtualFleet(COUNT, CENTRES)
        self.log = {}
        self.highest_versions = {}
        self.fleet.loop.observer = self.check_host
        self.fleet.loop.run(8)

    @rule(name=names, kinds=st.lists(st.booleans(), min_size=1, max_size=4))
    def write(self, name, kinds):
        for good in kinds:
            text = f"{'good' if good else 'bad'} {self.fleet.platform.version + 1}"
            version = self.fleet.platform.write(name, text)
            self.log.setdefault(name, []).append((version, text if good else None))
            self.fleet.loop.run(0.1)

    @rule(name=names, host=hosts, sender=hosts, age=st.integers(0, 5))
    def deliver_late(self, name, host, sender, age):
        """Deliver a push of an old version that another host sent long ago."""
        log = [item for item in self.fleet.platform.log if item.name == name]
        processes = self.fleet.loop.processes
        if age >= len(log) or host not in processes or sender not in processes:
            return
        push = DocumentPush((log[-1 - age],))
        process = processes[host]
        now = self.fleet.loop.now
        effects = process.node.receive(processes[sender].sender, push, now)
        self.fleet.loop.apply_effects(host, effects)

    @rule(name=names)
    def delete(self, name):
        entries = self.log.get(name)
        if entries and entries[-1][1] != "":
            version = self.fleet.platform.write(name, "", deleted=True)
            entries.append((version, ""))

    @rule(host=hosts)
    def kill(self, host):
        if host in self.fleet.loop.processes and len(self.fleet.running_hosts()) > 1:
            self.fleet.loop.kill(host)
            self.reset_highest_versions(host)

    @rule(host=hosts)
    def restart(self, host):
        if host in self.fleet.loop.processes:
            self.fleet.loop.kill(host)
        self.reset_highest_versions(host)
        self.fleet.start(next(h for h in self.fleet.hosts if h.name == host))
        self.fleet.update_members()

    def reset_highest_versions(self, host):
        for key in [key for key in self.highest_versions if key[0] == host]:
            del self.highest_versions[key]

    @rule()
    def notice_members(self):
        self.fleet.update_members()

    @rule(sender=hosts, receiver=hosts)
    def cut_one_way(self, sender, receiver):
        self.fleet.loop.faults.blocked_pairs.add((sender, receiver))

    @rule(
        loss_probability=st.sampled_from([0.0, 0.3]),
        duplicate_probability=st.sampled_from([0.0, 0.5]),
        extra=st.sampled_from([0.0, 5.0]),
    )
    def disturb_messages(self, loss_probability, duplicate_probability, extra):
        blocked_pairs = self.fleet.loop.faults.blocked_pairs
        self.fleet.loop.faults = Faults(
            loss_probability, duplicate_probability, extra, blocked_pairs
        )

    @rule(host=st.one_of(st.none(), hosts))
    def lose_platform(self, host):
        self.fleet.platform.unreachable_for.add(host)

    @rule(lag_versions=st.integers(0, 3))
    def lag_reads(self, lag_versions):
        self.fleet.platform.lag_versions = lag_versions

    @rule()
    def stop_faults(self):
        self.fleet.loop.faults = Faults()
        self.fleet.platform.unreachable_for.clear()
        self.fleet.platform.lag_versions = 0

    @rule(seconds=st.sampled_from([0.01, 0.5, 3.0, 12.0]))
    def pass_time(self, seconds):
        self.fleet.loop.run(seconds)

    def check_host(self, host):
        """Check one host after every message and tick, as a revert may be brief."""
        for name, record in self.fleet.node(host).store.records.items():
            version = record.accepted_version()
            assert version >= self.highest_versions.get((host, name), 0), "reverted"
            self.highest_versions[(host, name)] = version
            if record.document is not None:
                assert (version, record.document) in self.log[name]

    def teardown(self):
        self.stop_faults()
        for host in self.fleet.hosts:
            if host.name not in self.fleet.loop.processes:
                self.fleet.start(host)
        self.fleet.update_members()
        # Documented bound within which a change is accepted on all hosts.
        self.fleet.loop.run(12)
        digests = {
            self.fleet.node(h).store.digest() for h in self.fleet.running_hosts()
        }
        assert len(digests) == 1, "hosts did not converge"
        for name, entries in self.log.items():
            version, text = entries[-1]
            if text is None:
                continue
            expected = (text, version) if text else (None, 0)
            assert self.fleet.applied_documents(name) == {expected}


TestConfiguration = ConfigurationMachine.TestCase
TestConfiguration.settings = settings(
    derandomize=True,
    max_examples=60,
    stateful_step_count=30,
    deadline=None,
    # Shrinking replays long runs and would exceed the time limit of one test.
    phases=[Phase.generate],
    suppress_health_check=list(HealthCheck),
)
