"""Test that a server which leaves is not used again before its next start."""

import pytest

from sesameport.admission import NoticeReport, ServerNotices
from sesameport.entry.server_notices import NO_NOTICE, ServerNotice

LEAVES = ServerNotice(is_leaving=True)


@pytest.fixture
def notices():
    """Return the notices of a host that got an answer of a leaving server."""
    notices = ServerNotices()
    assert notices.record("s", 7, LEAVES, 1.0)
    return notices


def test_answer_that_was_overtaken_does_not_withdraw_that_a_server_leaves(notices):
    # Requests that were sent before end after the first answer that says it.
    notices.record("s", 7, ServerNotice(limit_per_s=2.0), 2.0)
    assert notices.is_leaving("s")
    assert notices.limit_of("s") == 2.0


def test_report_without_it_differs_and_does_not_withdraw_it(notices):
    assert notices.merge(NoticeReport("s", 7, NO_NOTICE, 0.0), 7, 3.0)
    assert notices.is_leaving("s")


def test_older_report_of_leaving_counts_beside_a_newer_answer():
    notices = ServerNotices()
    notices.record("s", 7, ServerNotice(limit_per_s=2.0), 5.0)
    assert notices.merge(NoticeReport("s", 7, LEAVES, 3.0), 7, 6.0)
    assert notices.is_leaving("s")
    assert notices.limit_of("s") == 2.0
    assert not notices.merge(NoticeReport("s", 6, LEAVES, 0.0), 8, 6.0)


def test_next_start_ends_it(notices):
    notices.begin_incarnation("s", 8)
    assert not notices.is_leaving("s")
    assert not notices.merge(NoticeReport("s", 7, LEAVES, 0.0), 8, 9.0)


def test_removed_entry_ends_it_if_the_server_states_no_start():
    notices = ServerNotices()
    for name, started_at_ms in (("s", 0), ("t", 7)):
        notices.record(name, started_at_ms, LEAVES, 1.0)
        notices.end_entry(name)
    assert not notices.is_leaving("s")
    assert notices.is_leaving("t")
