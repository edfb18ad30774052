"""Test the summary of outcomes from logs of several hosts."""

import json

import pytest

from sesameport.commands import main
from sesameport.commands.outcomes import MAX_ROWS, summarize


def ended(outcome, reason="", kind="stream", **fields):
    record = {"event": "request ended", "kind": kind, "outcome": outcome}
    return " 1.5 edge-a-1 " + json.dumps({**record, "reason": reason, **fields})


def test_every_request_is_counted_by_its_outcome_and_reason():
    lines = [
        ended("served", first_s=0.2),
        ended("served", first_s=2.0, waited_s=1.5, sends=1),
        ended("served", first_s=2.0, waited_s=0.0, sends=2),
        ended("refused", "over-quota", "safe"),
        ended("refused", "over-quota", "safe"),
        '{"event": "attempt failed", "call": "decode", "failure": "broken"}',
        '{"event": "started"}',
        "no record of request ended",
        '{"event": "request ended", "outcome": "served"',
    ]
    text = summarize(lines, 0.9).to_text()
    assert text.splitlines()[0] == "requests: 5, served in time 1, other 4"
    rows = [line.split() for line in text.splitlines()[2:6]]
    assert rows[0] == ["safe", "refused", "over-quota", "2", "0.400"]
    assert ["stream", "late", "waited", "for", "memory", "1", "0.200"] in rows
    assert ["stream", "late", "several", "sends", "1", "0.200"] in rows
    assert ["decode", "broken", "1", "0.200"] in [
        line.split() for line in text.splitlines()
    ]


def test_tables_are_bounded_although_reasons_contain_free_text():
    lines = [ended("failed", f"reason {n}") for n in range(500)]
    text = summarize(lines, 0.9).to_text()
    assert len(text.splitlines()) <= MAX_ROWS + 3
    assert f"(+{500 - MAX_ROWS} more rows)" in text


def test_missing_file_and_wrong_target_are_reported(tmp_path, capsys, monkeypatch):
    for arguments, code in (
        (["outcomes", str(tmp_path / "none.log")], 1),
        (["outcomes", "--target-s", "0"], 2),
    ):
        monkeypatch.setattr("sys.argv", ["sesameport", *arguments])
        with pytest.raises(SystemExit) as error:
            main()
        assert error.value.code == code
    assert "none.log" in capsys.readouterr().err
