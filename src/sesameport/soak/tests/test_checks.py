"""Check that the soak's oracles see planted faults."""

import attrs
import pytest

from sesameport.soak.checks import (
    check_answers,
    check_holds,
    check_leaving,
    check_not_run,
    check_orders,
    check_rates,
    check_withdrawn,
)
from sesameport.soak.load import Outcome
from sesameport.soak.versions import VersionSeen, check_versions
from sesameport.standins import expected_tokens


@attrs.define
class Run:
    attempt_id: str
    started: float = 0.0


@attrs.define
class Standin:
    runs: list = attrs.field(factory=list)
    bookings: list = attrs.field(factory=list)
    holds: list = attrs.field(factory=list)

    def held(self):
        return self.holds


@attrs.define
class Site:
    engines: dict = attrs.field(factory=dict)
    plain: dict = attrs.field(factory=dict)


@attrs.define
class Schedule:
    left: list = attrs.field(factory=list)
    withdrawn: list = attrs.field(factory=list)


def completion(request_id="h.i.1", **fields):
    prompt = "hide 1"
    text = "".join(expected_tokens(prompt, 3))
    item = Outcome("completion", "tannery-north", 0.0, "h", prompt, 3)
    item.request_id, item.status, item.text, item.whole = request_id, 200, text, True
    for name, value in fields.items():
        setattr(item, name, value)
    return item


def order(name="o1", **fields):
    item = Outcome("order", "dhol-makers", 0.0, "h", order=name, status=201)
    for field, value in fields.items():
        setattr(item, field, value)
    return item


def invariants(violations):
    return {item.invariant for item in violations}


def test_good_outcomes_give_no_violation():
    assert check_answers([completion("h.i.1"), completion("h.i.2")]) == []
    site = Site({}, {"d": Standin(bookings=[{"order": "o1"}])})
    assert check_orders([order()], site) == []


def test_left_hold_is_seen():
    assert invariants(check_holds(Site({"e": Standin(holds=["x"])}))) == {"I1"}


@pytest.mark.parametrize(
    "outcomes, invariant",
    [
        ([completion(), completion()], "I2"),
        ([completion(text="other")], "I5"),
        ([completion(text="", whole=True)], "I5"),
    ],
)
def test_double_foreign_and_empty_answers_are_seen(outcomes, invariant):
    assert invariant in invariants(check_answers(outcomes))


def test_false_not_run_is_seen():
    refused = completion(execution="not-run", status=503)
    site = Site({"e": Standin(runs=[Run("h.i.1.2")])})
    assert invariants(check_not_run([refused], site)) == {"I6"}


def test_double_and_missing_bookings_are_seen():
    twice = Site({}, {"d": Standin(bookings=[{"order": "o1"}] * 2)})
    assert invariants(check_orders([], twice)) == {"I7"}
    assert invariants(check_orders([order()], Site())) == {"I5"}


def test_tokens_above_rate_and_burst_are_seen():
    item = completion(prompt="x" * 900_000, tokens=0, ended=0.1)
    assert invariants(check_rates([item])) == {"I4"}


def test_work_on_a_leaving_server_and_use_of_a_withdrawn_key_are_seen():
    site = Site({"e": Standin(runs=[Run("h.i.1.1", 107.0)])})
    assert invariants(check_leaving(site, Schedule([("e", 100.0, 110.0)]))) == {"I8"}
    schedule = Schedule([], [("tannery-north", 100.0, 130.0)])
    late = completion(sent=115.0)
    streaming = completion(sent=90.0, last_token=120.0)
    for item in (late, streaming):
        assert invariants(check_withdrawn([item], schedule)) == {"I3"}
    assert check_withdrawn([completion(sent=104.0)], schedule) == []


def test_version_that_falls_or_stays_old_is_seen():
    seen = [VersionSeen(0.0, "h", "i", 5), VersionSeen(1.0, "h", "i", 4)]
    assert len(check_versions(seen, [5])) == 2
    restarted = [VersionSeen(0.0, "h", "i", 5), VersionSeen(1.0, "h", "j", 5)]
    assert check_versions(restarted, [5]) == []
