"""Test what a crash on a request with many parts costs a host."""

import threading

import attrs
import pytest
from result import Err, Ok

from sesameport.domain import ServerRole
from sesameport.entry import messages as m
from sesameport.entry.configuration import EntryRoute, RequestKind, ServiceShare
from sesameport.entry.crash_guard import CrashGuard
from sesameport.entry.outcomes import RequestProgress
from sesameport.entry.peer_topics import DECODERS, encode_message
from sesameport.entry.requests import EntryRequest
from sesameport.entry.servers import EntryServer
from sesameport.entry.suspect_store import SuspectStore
from sesameport.interfaces import (
    ObjectList,
    PlatformError,
    PlatformErrorKind,
    StoredObject,
)
from sesameport.platform.tests.conftest import wait_until

ROUTE = EntryRoute(
    "r", "h", "/r/", RequestKind.STREAM, (ServiceShare("llm", 1.0),), 14.0, 0.9, 1, 1
)
SERVERS = [
    EntryServer(name, "llm", "", "a", ServerRole.DECODE, started_at_ms=7)
    for name in ("d1", "d2", "d3")
]


class Store:
    """Hold the records in memory, and count the threads that write at once."""

    def __init__(self):
        self.objects, self.threads = {}, set()

    def list(self, kind):
        return Ok(ObjectList(tuple(self.objects.values()), 1))

    def create(self, kind, name, value):
        self.threads.add(threading.get_ident())
        if name in self.objects:
            return Err(PlatformError(PlatformErrorKind.EXISTS))
        self.objects[name] = StoredObject(kind, name, 1, value)
        return Ok(self.objects[name])

    def delete(self, kind, name, version):
        return Ok(self.objects.pop(name))


class Timers:
    def call_at(self, name, when, callback):
        """Never call."""


class Metrics:
    def set(self, name, value):
        """Ignore a gauge."""


@attrs.define
class Host:
    guard: CrashGuard
    sent: list
    store: Store

    @classmethod
    def create(cls, store=None):
        sent, store = [], store or Store()
        suspects = SuspectStore(store, threading.Event())
        return cls(CrashGuard(Timers(), sent.append, suspects, Metrics()), sent, store)


def make_progress(parts):
    req = EntryRequest(
        "r1", "POST", "/r/x", (), b"body", 0.0, 1e9, 14.0, prompt_parts=parts
    )
    return RequestProgress(req, ROUTE, 1, "llm")


@pytest.mark.parametrize("count", [3, 900, 4_000])
def test_request_with_many_parts_that_crashes_servers_costs_little(count):
    # One such request, again and again, ended processes: a record, a thread and a
    # message with all suspects for each of its parts.
    parts = tuple(f"{number:08x}" for number in range(count))
    host, other = Host.create(), Host.create()
    for server in SERVERS[:2]:
        host.guard.record_crash(make_progress(parts), server)
    assert host.guard.refusal(make_progress(parts)) is not None
    wait_until(lambda: len(host.sent) == 3)  # two crashes, and that it is stored
    assert len(host.store.objects) == len(host.store.threads) == 1
    for report in host.sent:
        topic, data = encode_message(report)
        assert len(data) <= 100_000
        decoded = DECODERS[topic](data).unwrap()
        other.guard.apply_reports(decoded.groups, decoded.is_partial)
    assert other.guard.refusal(make_progress(parts)) is not None
    # Another request is not refused, and a third crash costs as much again.
    assert host.guard.refusal(make_progress((*parts[:-1], "other"))) is None
    host.guard.record_crash(make_progress(parts), SERVERS[2])
    wait_until(lambda: len(host.sent) == 5)
    assert len(host.store.objects) == 2


def test_host_that_starts_reads_the_parts_from_one_record():
    parts = tuple(f"{number:08x}" for number in range(900))
    host = Host.create()
    for server in SERVERS[:2]:
        host.guard.record_crash(make_progress(parts), server)
    wait_until(lambda: host.store.objects)
    new = Host.create(host.store)
    new.guard.start()
    wait_until(new.guard.refused_subjects)
    assert new.guard.refusal(make_progress(parts)) is not None
    # An answer deletes the record of all parts.
    new.guard.record_answer(make_progress(parts))
    wait_until(lambda: not host.store.objects)
    assert new.guard.refusal(make_progress(parts)) is None


def test_short_reports_keep_the_form_that_older_builds_know():
    host = Host.create()
    host.guard.record_crash(make_progress(("aa", "bb", "cc")), SERVERS[0])
    topic, data = encode_message(host.sent[0])
    assert topic == b"c"
    crash = b"\x81\xa4d1@7\xc2"
    assert data.count(crash + b"\x00") == 4
    assert isinstance(DECODERS[topic](data).unwrap(), m.SuspectReports)
    assert DECODERS[b"f"](b"\x92\xc2\x91").is_err()
