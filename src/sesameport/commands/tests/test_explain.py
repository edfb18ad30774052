"""Test selecting and sorting the log records of a request from several hosts."""

import json

from sesameport.commands.explain import format_request_log


def format_log_line(time, host, event, request_id="r1", **fields):
    return json.dumps(
        {"time": time, "host": host, "event": event, "request_id": request_id, **fields}
    )


def test_records_of_several_hosts_are_in_chronological_order():
    lines = [
        format_log_line(
            "2026-01-02T00:00:02Z", "h2", "request ended", outcome="refused"
        ),
        "noise r1",
        "{broken r1",
        format_log_line("2026-01-02T00:00:00Z", "h1", "attempt failed", server="s1"),
        format_log_line(
            "2026-01-02T00:00:01Z", "h1", "attempt failed", request_id="r10"
        ),
        "  12.5 edge-a-1 "
        + format_log_line("2026-01-02T00:00:01Z", "h1", "not placed"),
    ]
    assert format_request_log("r1", lines) == [
        "2026-01-02T00:00:00Z  h1  attempt failed  server=s1",
        "2026-01-02T00:00:01Z  h1  not placed",
        "2026-01-02T00:00:02Z  h2  request ended  outcome=refused",
    ]


def test_unknown_request_has_no_records():
    assert format_request_log("r9", [format_log_line("t", "h", "e")]) == []
