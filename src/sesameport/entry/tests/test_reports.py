"""Test how much a host tells the others, and that they read it."""

import random

import pytest

from sesameport.admission import ServerUse, WaitingTokens
from sesameport.entry.messages import FleetReport
from sesameport.entry.report_codec import decode_report, encode_report
from sesameport.entry.report_scheduler import ReportScheduler

LINK_BYTES_PER_S = 5e6 / 8
"""The slowest link of the users' larger fleets."""


def report(workspaces=16):
    return FleetReport(
        "edge-rajkot-a-12",
        1_774_955_166_620_123_456,
        1_234,
        {f"i-2d5c2212e{n}": ServerUse(8_000, 2, 3_000, 4_000) for n in range(3)},
        {f"leye48{n}": 123_456 for n in range(workspaces)},
        3,
        {"i-2d5c2212e1": 9.1},
        {"wufi4a": WaitingTokens(4_000, 0)},
        ["i-2d5c2212e1"],
    )


def play_burst(hosts, changes_per_s, seconds=5.0):
    """Return the times of the changes and of the reports of one host."""
    rng, scheduler = random.Random(1), ReportScheduler(hosts)
    now, due, changes, reports = 0.0, None, [], []
    while now < seconds:
        now += rng.expovariate(changes_per_s)
        if due is not None and due <= now:
            scheduler.record_sent(due)
            reports.append(due)
            due = None
        changes.append(now)
        at = scheduler.schedule_change(now)
        if at is not None and at <= now:
            scheduler.record_sent(now)
            reports.append(now)
        elif at is not None:
            due = at
    return changes, [*reports, *([due] if due is not None else [])]


@pytest.mark.parametrize("hosts", [8, 76, 339])
def test_burst_of_changes_leaves_the_slowest_link_to_requests(hosts):
    # Load: drafts wait, place and end 200 times a second on one host. Guards against
    # reports that fill the link: at 77 hosts every one is sent 76 times.
    _, reports = play_burst(hosts, 200.0)
    bytes_per_s = len(reports) / 5.0 * hosts * len(encode_report(report()))
    assert bytes_per_s <= LINK_BYTES_PER_S / 2


@pytest.mark.parametrize("hosts", [8, 76])
def test_every_change_is_told_and_a_single_one_at_once(hosts):
    changes, reports = play_burst(hosts, 200.0)
    interval_s = ReportScheduler(hosts).interval_s()
    for change in changes:
        told = min(at for at in reports if at >= change)
        assert told - change <= interval_s + 1e-9
    assert ReportScheduler(hosts).schedule_change(7.0) == 7.0


def test_report_is_read_as_it_was_written():
    assert decode_report(encode_report(report())).unwrap() == report()


def test_other_bytes_are_no_report():
    for data in (b"", b"\x93\x01\x02\x03", encode_report(report())[:-4]):
        assert decode_report(data).is_err()
