"""Test what a host takes as cold, and for how long."""

from sesameport.admission import ColdBounds, ColdReport, ColdServers, ServerNotices
from sesameport.admission.request_limits import RequestLimits
from sesameport.entry.configuration import EntryService
from sesameport.entry.server_notices import ServerNotice

DESK = EntryService("desk", cold_start_s=15.0, cold_per_s=2.0)


def make_cold(bounds=ColdBounds(1.5, 5.0), service=DESK):
    cold = ColdServers(bounds)
    cold.configure([service])
    cold.track("s1", "desk", 7)
    return cold


def test_nothing_is_cold_without_the_bound_or_with_a_rate_of_0():
    for cold in (make_cold(None), make_cold(service=EntryService("desk", None, 15.0))):
        cold.record("s1", 7, 10.0, 0.0)
        cold.assume_started("s1", 0.0)
        assert cold.rate_of("s1", 1.0) is None and cold.reports(1.0) == []


def test_cold_time_of_an_earlier_incarnation_ends_with_its_successor():
    cold = make_cold()
    cold.record("s1", 7, 10.0, 0.0)
    assert not cold.track("s1", "desk", 7) and cold.rate_of("s1", 1.0) == 2.0
    assert cold.track("s1", "desk", 8) and cold.rate_of("s1", 1.0) is None
    cold.record("s1", 7, 10.0, 1.0)
    assert not cold.merge(ColdReport("s1", 7, 10.0, 0.0), 1.0)
    assert cold.rate_of("s1", 1.0) is None


def test_assumed_cold_time_outlasts_shorter_statements():
    # Guards against an entry written before the end of an evacuation.
    cold = make_cold()
    cold.assume_started("s1", 0.0)
    cold.record("s1", 7, 0.0, 1.0)
    cold.record("s1", 7, 3.0, 1.0)
    assert cold.rate_of("s1", 14.9) == 2.0 and cold.rate_of("s1", 15.0) is None


def test_repeated_reports_do_not_extend_a_cold_time():
    # Guards against delays between hosts that add up in each round.
    hosts = [make_cold(), make_cold()]
    hosts[0].record("s1", 7, 10.0, 0.0)
    now = 0.0
    while now < 30.0:
        for sender, receiver in (hosts, reversed(hosts)):
            reports = sender.reports(now)
            now += 0.05
            for report in reports:
                receiver.merge(report, now)
    assert now >= 30.0 and not hosts[0].cold(11.5) and not hosts[1].cold(11.5)


def test_older_report_does_not_replace_a_newer_statement():
    cold = make_cold()
    cold.record("s1", 7, 4.0, 10.0)
    assert cold.merge(ColdReport("s1", 7, 13.0, 5.0), 10.1)
    assert cold.remaining_s("s1", 10.0) == 4.0


def test_smaller_of_the_stated_limit_and_the_cold_rate_applies():
    notices, cold = ServerNotices(), make_cold()
    limits = RequestLimits(notices, cold)
    cold.record("s1", 7, 5.0, 0.0)
    assert limits.limit_of("s1", 1.0) == 2.0
    notices.record("s1", 7, ServerNotice(limit_per_s=1.0), 0.0)
    assert limits.limit_of("s1", 1.0) == 1.0
    notices.record("s1", 7, ServerNotice(limit_per_s=3.0), 0.0)
    assert limits.limit_of("s1", 1.0) == 2.0
    assert limits.limit_of("s1", 5.0) == 3.0  # the cold time ended without an answer
