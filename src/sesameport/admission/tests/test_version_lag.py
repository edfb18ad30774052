"""Test when a host reads a version again that others report."""

import pytest

from sesameport.admission import VersionLag


def read_times(lag, known, until, reports=(), step_s=0.05):
    """Return when a host reads that gets reports ``(time, version, host)``."""
    reports, now, reads = sorted(reports), 0.0, []
    while now <= until:
        while reports and reports[0][0] <= now:
            _, version, host = reports.pop(0)
            lag.record(version, now, host)
        if lag.should_read(known, now):
            reads.append(round(now, 2))
        now += step_s
    return reads


def test_versions_in_quick_succession_do_not_postpone_the_read():
    # Each newer version began the wait of 0.8 s again: a host stayed behind for as long
    # as versions followed each other faster than that.
    reports = [(0.5 * n, 29 + n, "h") for n in range(8)]
    assert read_times(VersionLag(), 28, 4.0, reports)[0] <= 0.85


def test_two_lost_answers_leave_time_for_a_third_read_within_the_bound():
    # Reads at 0.8, 2.4 and 5.6 s exceeded a bound of 3 s with two lost answers.
    reads = read_times(VersionLag(), 28, 2.5, [(0.0, 29, "h")])
    assert len(reads) >= 3
    assert reads[0] <= 0.85 and reads[1] <= 1.4


def test_wrong_version_does_not_hide_a_later_correct_one():
    # Versions below the newest one were ignored, so a host of a restored store or with
    # a fault would have ended the mechanism for the whole fleet.
    reads = read_times(VersionLag(), 28, 6.0, [(0.0, 999, "h1"), (5.0, 29, "h2")])
    assert any(5.75 <= at <= 5.9 for at in reads)


@pytest.mark.parametrize("versions", [[999] * 40, range(900, 940)])
def test_wrong_versions_of_a_host_cause_one_read_in_30_seconds(versions):
    lag, reads = VersionLag(), []
    for step, version in enumerate(versions):
        now = 0.7 * step
        lag.record(version, now, "faulty")
        if lag.should_read(28, now):
            lag.record_answer(28, now + 0.1)
            reads.append(now)
    assert len(reads) == 1
    lag.record(29, 28.0, "h")
    assert lag.should_read(28, 28.85)
    lag.record_answer(29, 28.9)
    assert not lag.should_read(29, 29.5)


def test_unanswered_reads_become_rare():
    # The store may be slow for all hosts.
    reports = [(0.1 * n, 29 + n, "h") for n in range(300)]
    assert len(read_times(VersionLag(), 28, 60.0, reports[:1])) <= 8
    assert len(read_times(VersionLag(), 28, 30.0, reports)) <= 60
