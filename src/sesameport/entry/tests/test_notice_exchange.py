"""Test what a host keeps of the notices of servers whose entry is away for a moment."""

import pytest

from sesameport.admission import NoticeReport, ServerNotices, ServerRegistry
from sesameport.domain import ServerRole
from sesameport.entry import messages as m
from sesameport.entry.notice_exchange import NoticeExchange
from sesameport.entry.server_notices import ServerNotice
from sesameport.entry.servers import EntryServer

LEAVES = ServerNotice(is_leaving=True)


class Metrics:
    def set(self, name, value):
        """Ignore a gauge."""


class Host:
    """Hold what one host knows of the server ``s1`` and its notices."""

    def __init__(self):
        self.registry, self.notices = ServerRegistry(), ServerNotices()
        self.exchange = NoticeExchange(
            self.registry, self.notices, lambda message: None, Metrics()
        )

    def register(self, started_at_ms):
        server = EntryServer(
            "s1",
            "desk",
            "127.0.0.1:9",
            "a",
            ServerRole.PLAIN,
            started_at_ms=started_at_ms,
        )
        self.notices.begin_incarnation("s1", started_at_ms)
        self.registry.put(server)

    def hear(self, way, notice, started_at_ms=7):
        if way == "answer":
            self.exchange.record(m.ServerNoticed("s1", notice), 2.0)
            return
        report = NoticeReport("s1", started_at_ms, notice, 0.0)
        self.exchange.apply_reports(m.NoticeReports((report,)), 2.0)


def unregistered(started_at_ms):
    host = Host()
    host.register(started_at_ms)
    host.registry.remove("s1", 1.0)
    host.notices.end_entry("s1")
    return host


@pytest.mark.parametrize("way", ["answer", "report"])
@pytest.mark.parametrize("notice", [LEAVES, ServerNotice(limit_per_s=2.0)])
def test_notice_of_a_server_without_entry_holds_when_the_entry_is_back(way, notice):
    # Requests reached a server again that had said that it leaves (review/12).
    host = unregistered(7)
    host.hear(way, notice)
    host.register(7)
    assert host.notices.is_leaving("s1") == notice.is_leaving
    assert host.notices.limit_of("s1") == notice.limit_per_s


def test_pause_of_a_server_without_entry_holds_when_the_entry_is_back():
    host = unregistered(7)
    host.hear("answer", ServerNotice(pause_s=3.0))
    host.register(7)
    assert not host.notices.takes_requests("s1", 4.9)
    assert host.notices.takes_requests("s1", 5.0)


def test_report_of_a_server_that_was_never_registered_holds():
    host = Host()
    host.hear("report", LEAVES)
    host.register(7)
    assert host.notices.is_leaving("s1")


@pytest.mark.parametrize("way", ["answer", "report"])
@pytest.mark.parametrize("started_at_ms, later", [(7, 8), (0, 0), (0, 8)])
def test_notice_does_not_hold_for_the_next_start(way, started_at_ms, later):
    host = unregistered(started_at_ms)
    host.hear(way, LEAVES, started_at_ms)
    host.register(later)
    assert not host.notices.is_leaving("s1")
