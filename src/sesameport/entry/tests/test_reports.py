"""Test the rate and the encoding of reports between hosts."""

import random

import pytest

from sesameport.admission import ServerUse, WaitingTokens
from sesameport.entry.messages import HostReport
from sesameport.entry.report_codec import decode_report, encode_report
from sesameport.entry.report_scheduler import ReportScheduler

LINK_BYTES_PER_S = 5e6 / 8
"""Bandwidth of the slowest link in the users' larger fleets."""


def report(workspaces=16):
    return HostReport(
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


def run_burst(hosts, changes_per_s, seconds=5.0):
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
def test_reports_in_a_burst_use_at_most_half_of_the_slowest_link(hosts):
    # Generations wait, start and end 200 times a second on one host. Guards against
    # reports that saturate the link: with 77 hosts each report is sent 76 times.
    _, reports = run_burst(hosts, 200.0)
    bytes_per_s = len(reports) / 5.0 * hosts * len(encode_report(report()))
    assert bytes_per_s <= LINK_BYTES_PER_S / 2


@pytest.mark.parametrize("hosts", [8, 76])
def test_every_change_is_reported_and_a_single_one_immediately(hosts):
    changes, reports = run_burst(hosts, 200.0)
    interval_s = ReportScheduler(hosts).interval_s()
    for change in changes:
        reported_at = min(at for at in reports if at >= change)
        assert reported_at - change <= interval_s + 1e-9
    assert ReportScheduler(hosts).schedule_change(7.0) == 7.0


def test_decoded_report_equals_the_encoded_one():
    assert decode_report(encode_report(report())).unwrap() == report()


def test_malformed_bytes_are_rejected():
    for data in (b"", b"\x93\x01\x02\x03", encode_report(report())[:-4]):
        assert decode_report(data).is_err()
