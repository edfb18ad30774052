"""Test the rate and the encoding of reports between hosts."""

import random

import pytest

from sesameport.admission import FleetQuota, ServerUse, WaitingTokens
from sesameport.entry.admission_controller import AdmissionController
from sesameport.entry.configuration import EntryWorkspace
from sesameport.entry.messages import EvacuationReport, HostReport
from sesameport.entry.report_codec import (
    decode_evacuations,
    decode_report,
    encode_evacuations,
    encode_report,
)
from sesameport.entry.report_scheduler import ReportScheduler
from sesameport.entry.report_sender import ReportSender
from sesameport.entry.settings import EntrySettings

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


def make_sender(sent):
    settings = EntrySettings("h1", "a", "127.0.0.1", "", "", 0, "")
    sender = ReportSender("h1", sent.append, lambda at: None)
    admission = AdmissionController(
        settings, lambda now: sender.record_change(admission, now), lambda at: None
    )
    names = [f"w{n}" for n in range(16)]
    admission.quota.configure(
        [EntryWorkspace(name, rate_per_s=1e6, burst=1e6) for name in names], 0.0
    )
    return sender, admission, names


def test_reports_of_changes_name_only_the_workspaces_charged_since():
    # 16 to 19 workspaces were three quarters of a report that every host sends to every
    # other one.
    sent = []
    sender, admission, names = make_sender(sent)
    for name in names:
        admission.quota.charge(name, 10_000, 1.0)
    sender.send_periodic(admission, 1.0)
    admission.quota.charge("w3", 5_000, 1.1)
    sender.record_change(admission, 1.2)
    complete, partial = sent
    assert complete.is_complete and len(complete.charged) == 16
    assert not partial.is_complete and partial.charged == {"w3": 15_000}
    assert len(encode_report(partial)) < len(encode_report(complete)) / 3


def test_receiver_that_misses_reports_counts_all_charges_once():
    sent = []
    sender, admission, names = make_sender(sent)
    receiver = FleetQuota()
    receiver.configure([EntryWorkspace(name, rate_per_s=1e6) for name in names], 0.0)
    rng, now, charged = random.Random(2), 1.0, 0.0
    sender.send_periodic(admission, now)
    receiver.apply_report("h1", 1, sent[-1].charged, now)
    for _ in range(400):
        now += 0.01
        name = rng.choice(names)
        admission.quota.charge(name, 100, now)
        charged += 100
        sender.scheduler.is_due = False
        sender.record_change(admission, now)
        sender.send_periodic(admission, now)
        if rng.random() < 0.5:
            receiver.apply_report("h1", 1, sent[-1].charged, now, sent[-1].is_complete)
    sender.send_periodic(admission, now + 5.0)
    receiver.apply_report("h1", 1, sent[-1].charged, now)
    total = sum(window.charges.total for window in receiver._windows.values())
    assert total == charged


@pytest.mark.parametrize("hosts", [8, 76, 194, 339])
def test_a_host_gets_at_most_140_reports_a_second_from_idle_hosts(hosts):
    # At one report a second, 194 idle hosts took most of the processor time of a host
    # with half a core.
    scheduler = ReportScheduler(hosts)
    assert hosts / scheduler.complete_interval_s() <= 140
    assert scheduler.complete_interval_s() <= 2.5
    assert scheduler.expiry_s() >= 3 * scheduler.complete_interval_s()


def test_report_of_evacuations_keeps_its_encoding():
    data = encode_evacuations(EvacuationReport("h", ("a", "b")))
    assert data == b"\x92\xa1h\x92\xa1a\xa1b"
    assert decode_evacuations(data).unwrap() == EvacuationReport("h", ("a", "b"))
    for other in (b"", b"\xc1", data[:-1], b"\x91\xa1h", b"\x92\xa1h\xa1a"):
        assert decode_evacuations(other).is_err()
