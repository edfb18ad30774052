"""Test that hosts notice changes of the store that they missed, and at which cost."""

import random

import attrs
import pytest

from sesameport.entry import messages as m
from sesameport.entry.missed_configuration import Missed
from sesameport.entry.peer_topics import DECODERS, encode_message
from sesameport.entry.revision_exchange import RevisionExchange
from sesameport.entry.watch_times import WATCH_TIMEOUT_S


class Metrics:
    def __getattr__(self, name):
        return lambda *args, **labels: None


@attrs.define
class Host:
    """Represent one host that has listed all kinds up to revision 100."""

    exchange: RevisionExchange
    sent: list
    missed: list

    @classmethod
    def create(cls, name="h0", hosts=3, rng=None, registered=()):
        sent, missed = [], []
        exchange = RevisionExchange(
            name,
            sent.append,
            missed.append,
            lambda: None,
            Metrics(),
            rng,
            set(registered).__contains__,
        )
        exchange.repeat(hosts, False, 0.0)
        exchange.check(True, 0.0)
        host = cls(exchange, sent, missed)
        for kind in m.REVISION_KINDS:
            host.read(kind, 90, 100, 0.0)
        sent.clear()
        return host

    def read(self, kind, changed, revision, now, is_repeat=False, removed=()):
        message = m.StoreRead(kind, changed, revision, is_repeat, removed)
        self.exchange.apply_read(message, now)

    def hear(self, revisions, now, host="h1", era=0):
        self.exchange.apply_report(m.AppliedRevisions(host, revisions, era), now)

    def run(self, since, until, is_reachable=True):
        """Check at each tick, and return when something was read again."""
        reads, now = [], since
        while now <= until:
            count = len(self.missed)
            self.exchange.check(is_reachable, now)
            reads += [round(now, 2)] * (len(self.missed) - count)
            now += 0.5
        return reads


@pytest.mark.parametrize("position, kind", enumerate(m.REVISION_KINDS))
def test_host_that_missed_a_change_reads_again(position, kind):
    # The watch of the servers had no such mechanism, and that of the evacuations read
    # again only once.
    host = Host.create()
    revisions = tuple(101 if n == position else 90 for n in range(3))
    host.hear(revisions, 1.0)
    reads = host.run(1.0, 2.4)
    assert reads[0] <= 2.0
    assert set(host.missed) == {kind}
    host.read(kind, 101, 101, 2.5, is_repeat=True)
    host.hear(revisions, 2.6)
    assert host.run(2.6, 4.6) == []


def test_revisions_without_a_change_cause_no_read():
    # A watch reads up to the revision of the store, which other kinds advance, so hosts
    # that know the same objects have read up to different revisions.
    host = Host.create()
    host.hear((95, 100, 90), 1.0)
    host.read(Missed.SERVERS, 0, 500, 1.0, is_repeat=True)
    host.hear((0, 450, 0), 1.0)
    assert host.run(1.0, 3.0) == []


def test_wrong_revision_causes_one_read_in_30_seconds():
    host = Host.create()
    for second in range(29):
        host.hear((0, 10_000 + second, 0), float(second))
        if host.run(second, second):
            host.read(Missed.SERVERS, 0, 200, second + 0.1, is_repeat=True)
    assert host.missed == ["servers"]


@pytest.mark.parametrize("is_known", [False, True])
def test_missed_removal_whose_revision_is_unknown_causes_a_read(is_known):
    # The event of a removal named the last write of the entry, and hosts whose watch
    # had just begun reported a revision that the host which missed it had read.
    host = Host.create(registered={"s2"})
    reporter = Host.create("h1")
    removed = (("s2", 93),)
    reporter.read(Missed.SERVERS, 98, 110, 1.0, removed=removed)
    assert [type(message) for message in reporter.sent] == [
        m.AppliedRevisions,
        m.RemovedServers,
    ]
    if is_known:
        host.read(Missed.SERVERS, 98, 112, 1.0, removed=removed)
    for message in reporter.sent:
        host.exchange.handlers()[type(message)](message, 1.1)
    assert bool(host.run(1.1, 2.2)) != is_known
    host.missed.clear()
    host.read(Missed.SERVERS, 110, 112, 2.3, is_repeat=True, removed=removed)
    assert host.run(2.3, 3.3) == []


@pytest.mark.parametrize("names, era", [((), 0), (("s2",), 2)])
def test_removal_of_an_unknown_server_or_in_another_era_causes_no_read(names, era):
    host = Host.create(registered=names)
    host.exchange.apply_removals(m.RemovedServers("h1", era, (("s2", 93),)), 1.0)
    assert host.run(1.0, 3.0) == []


def test_report_of_removals_is_bounded_and_keeps_its_encoding():
    host = Host.create()
    removed = tuple((f"s{n}", n) for n in range(40))
    host.read(Missed.SERVERS, 98, 110, 1.0, removed=(*removed, ("x" * 201, 1)))
    assert host.sent[-1].removed == removed[-16:]
    message = m.RemovedServers("h", 2, (("s", 300),))
    topic, data = encode_message(message)
    assert (topic, data) == (b"d", b"\x93\xa1h\x02\x91\x92\xa1s\xcd\x01\x2c")
    assert DECODERS[topic](data).unwrap() == message
    assert DECODERS[topic](b"\x92\xa1h\x02").is_err()


def test_revisions_of_another_era_cause_no_read():
    # The store gives out revisions again, so those of the earlier era are higher.
    host = Host.create()
    host.hear((95, 180, 90), 0.5)
    host.exchange.begin_era(2, 1.0)
    host.read(Missed.SERVERS, 104, 104, 1.1)
    host.hear((0, 190, 0), 1.2, era=1)
    assert host.run(1.2, 3.0) == []
    host.hear((0, 105, 0), 3.1, era=2)
    assert host.run(3.1, 4.2) != []


def test_newer_era_of_another_host_causes_a_read():
    host = Host.create()
    host.exchange.begin_era(2, 1.0)
    for step in range(20):
        host.hear((0, 3, 0), 1.0 + 0.1 * step, era=3)
    assert host.missed == [Missed.SERVERS] * 2
    host.read(Missed.SERVERS, 0, 104, 3.5)
    sent = len(host.sent)
    host.hear((0, 500, 0), 4.0, era=1)
    host.exchange.repeat(3, False, 4.0)
    host.exchange.repeat(3, False, 5.0)
    assert [message.era for message in host.sent[sent:]] == [2]


def test_host_does_not_read_again_while_the_store_is_lost():
    host = Host.create()
    host.hear((0, 101, 0), 1.0)
    assert host.run(1.0, 8.0, is_reachable=False) == []
    host.exchange.record(m.HostReport("h1", 1, 1), 8.2)
    assert host.run(8.5, 8.5) == [8.5]


def test_host_that_hears_no_other_watches_closely_until_it_does():
    host = Host.create()
    host.hear((90, 90, 90), 1.0)
    assert host.run(1.5, 3.5) == []
    assert host.run(4.0, 5.0) == [4.0, 4.5, 5.0]
    assert set(host.missed) == {"unknown"}
    host.exchange.record(m.HostReport("h1", 1, 1), 5.1)
    assert host.run(5.2, 7.0) == []


def simulate_calm_day(count, reads_again, seconds=150.0, step_s=0.125):
    """Simulate the watches of one kind on a calm day.

    Return the calls per second, the longest delay of a change, and the number of
    reports of each step, after which they arrive. A server changes every 30 s, and
    other kinds advance the revision every second. One response in 100 is lost, more
    than on any day of the users.
    """
    rng, calls, delays = random.Random(count), 0, []
    hosts = [Host.create(f"h{n}", count, random.Random(n)) for n in range(count)]
    ends_at = [rng.uniform(0.0, WATCH_TIMEOUT_S) for _ in hosts]
    read, lost = [100] * count, [False] * count
    now, store, changed, changed_at = 0.0, 100, 90, 0.0
    sent, reports = [], []
    phases = [rng.uniform(0.0, 0.5) for _ in hosts]
    while now < seconds:
        now += step_s
        store += now % 1.0 == 0.0
        if now % 30.0 == 0.0:
            store += 1
            changed, changed_at = store, now
        for n, host in enumerate(hosts):
            is_waiting = changed > read[n] and not lost[n]
            is_repeat = reads_again and bool(host.missed)
            host.missed.clear()
            if not (is_waiting or is_repeat or now >= ends_at[n]):
                continue
            calls += 1 + is_repeat  # the short watch and the next one
            if rng.random() < 0.01 and not lost[n]:
                lost[n], ends_at[n] = True, now + WATCH_TIMEOUT_S + 2.0
                continue
            lost[n], ends_at[n] = False, now + WATCH_TIMEOUT_S
            if changed > read[n]:
                delays.append(now - changed_at)
                host.read(Missed.SERVERS, changed, store, now, is_repeat)
            elif is_repeat:
                host.read(Missed.SERVERS, 0, store, now, True)
            read[n] = store
        arrived, sent = sent, [message for host in hosts for message in host.sent]
        reports.append(len(sent))
        for host, phase in zip(hosts, phases, strict=True):
            host.sent.clear()
            if (now + phase) % 0.5 < step_s:
                host.exchange.repeat(count, False, now)
            for message in arrived:
                if message.host != host.exchange._host:
                    host.hear(message.revisions, now, message.host)
            host.exchange.record(m.HostReport("other", 1, 1), now)
            host.exchange.check(True, now)
    return calls / seconds, max(delays), reports


@pytest.mark.parametrize("hosts", [9, 89, 195])
def test_calls_on_a_calm_day_grow_by_less_than_a_tenth(hosts):
    before, longest_before, _ = simulate_calm_day(hosts, False)
    after, longest_after, reports = simulate_calm_day(hosts, True)
    assert after <= 1.1 * before
    assert longest_before > 20.0 and longest_after <= 2.0
    # A report of each host would be 194 messages to each of 195 hosts per change.
    # All hosts of the model start at the same time, and their first reports are lost.
    assert max(reports[200:]) <= 20
    assert sum(reports) <= 2.0 * 150
    message = m.AppliedRevisions("edge-rajkot-a-12", (2**31, 2**31, 2**31))
    assert sum(map(len, encode_message(message))) <= 40


def test_report_of_revisions_keeps_its_encoding():
    message = m.AppliedRevisions("h", (1, 300, 0))
    topic, data = encode_message(message)
    assert (topic, data) == (b"a", b"\x92\xa1h\x93\x01\xcd\x01\x2c\x00")
    assert DECODERS[topic](data).unwrap() == message
    with_era = m.AppliedRevisions("h", (1, 300, 0), 7)
    topic, data_with_era = encode_message(with_era)
    assert data_with_era == b"\x92\xa1h\x94\x01\xcd\x01\x2c\x00\x07"
    assert DECODERS[topic](data_with_era).unwrap() == with_era
    for other in (b"", b"\xc1", data[:-1], b"\x91\xa1h", b"\x92\xa1h\x91\xa1a"):
        assert DECODERS[topic](other).is_err()
