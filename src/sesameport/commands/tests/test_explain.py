"""Test how a request's story is found in the logs of several hosts."""

import json

from sesameport.commands.explain import explain


def record(time, host, event, request_id="r1", **fields):
    return json.dumps(
        {"time": time, "host": host, "event": event, "request_id": request_id, **fields}
    )


def test_story_is_in_the_order_of_time_across_hosts():
    lines = [
        record("2026-01-02T00:00:02Z", "h2", "request ended", outcome="refused"),
        "noise r1",
        "{broken r1",
        record("2026-01-02T00:00:00Z", "h1", "attempt failed", server="s1"),
        record("2026-01-02T00:00:01Z", "h1", "attempt failed", request_id="r10"),
        "  12.5 edge-a-1 " + record("2026-01-02T00:00:01Z", "h1", "not placed"),
    ]
    assert explain("r1", lines) == [
        "2026-01-02T00:00:00Z  h1  attempt failed  server=s1",
        "2026-01-02T00:00:01Z  h1  not placed",
        "2026-01-02T00:00:02Z  h2  request ended  outcome=refused",
    ]


def test_unknown_request_has_no_story():
    assert explain("r9", [record("t", "h", "e")]) == []
