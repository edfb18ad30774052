"""Check that each invariant check detects a violation in constructed outcomes."""

import attrs
import pytest

from sesameport.soak.checks import (
    check_holds,
    check_leaving_servers,
    check_not_run,
    check_orders,
    check_rates,
    check_responses,
    check_withdrawn_keys,
)
from sesameport.soak.load import Outcome
from sesameport.soak.versions import VersionObservation, check_versions
from sesameport.standins import expected_tokens


@attrs.define
class Run:
    attempt_id: str
    started_at: float = 0.0


@attrs.define
class Standin:
    runs: list = attrs.field(factory=list)
    bookings: list = attrs.field(factory=list)
    holds: list = attrs.field(factory=list)

    def list_holds(self):
        return self.holds


@attrs.define
class Deployment:
    engines: dict = attrs.field(factory=dict)
    plain_servers: dict = attrs.field(factory=dict)


@attrs.define
class Schedule:
    leaving_periods: list = attrs.field(factory=list)
    withdrawn_key_periods: list = attrs.field(factory=list)


def completion(request_id="h.i.1", **fields):
    prompt = "hide 1"
    text = "".join(expected_tokens(prompt, 3))
    item = Outcome("completion", "tannery-north", 0.0, "h", prompt, 3)
    item.request_id, item.status, item.text, item.is_complete = (
        request_id,
        200,
        text,
        True,
    )
    for name, value in fields.items():
        setattr(item, name, value)
    return item


def order(order_id="o1", **fields):
    item = Outcome("order", "dhol-makers", 0.0, "h", order_id=order_id, status=201)
    for field, value in fields.items():
        setattr(item, field, value)
    return item


def violated_invariants(violations):
    return {item.invariant for item in violations}


def test_correct_outcomes_give_no_violation():
    assert check_responses([completion("h.i.1"), completion("h.i.2")]) == []
    deployment = Deployment({}, {"d": Standin(bookings=[{"order": "o1"}])})
    assert check_orders([order()], deployment) == []


def test_leftover_hold_is_detected():
    """Guards against a check that ignores a hold left on an engine after the run."""
    assert violated_invariants(
        check_holds(Deployment({"e": Standin(holds=["x"])}))
    ) == {"I1"}


@pytest.mark.parametrize(
    "outcomes, invariant",
    [
        ([completion(), completion()], "I2"),
        ([completion(text="other")], "I5"),
        ([completion(text="", is_complete=True)], "I5"),
    ],
)
def test_duplicate_wrong_and_empty_responses_are_detected(outcomes, invariant):
    """Guards against accepting responses that are duplicated, wrong or empty.

    A router fault can deliver one request's response twice, mix up the responses of two
    requests, or end a response before its first token.
    """
    assert invariant in violated_invariants(check_responses(outcomes))


def test_run_that_was_reported_as_not_run_is_detected():
    """Guards against accepting a "not-run" refusal of a request that an engine ran."""
    refused = completion(execution="not-run", status=503)
    deployment = Deployment({"e": Standin(runs=[Run("h.i.1.2")])})
    assert violated_invariants(check_not_run([refused], deployment)) == {"I6"}


def test_duplicate_and_missing_bookings_are_detected():
    """Guards against missing an order booked twice, or confirmed but not booked."""
    double_booking = Deployment({}, {"d": Standin(bookings=[{"order": "o1"}] * 2)})
    assert violated_invariants(check_orders([], double_booking)) == {"I7"}
    assert violated_invariants(check_orders([order()], Deployment())) == {"I5"}


def test_tokens_above_rate_and_burst_are_detected():
    """Guards against missing a single response with more tokens than rate and burst."""
    item = completion(prompt="x" * 900_000, output_tokens=0, ended_at=0.1)
    assert violated_invariants(check_rates([item])) == {"I4"}


def test_work_on_leaving_server_and_use_of_withdrawn_key_are_detected():
    """Guards against missing late use of a leaving server or a withdrawn key.

    A run may start after the bound for leaving servers. After the bound for withdrawn
    keys, a new request may be accepted or an open stream may still receive tokens.
    """
    deployment = Deployment({"e": Standin(runs=[Run("h.i.1.1", 107.0)])})
    assert violated_invariants(
        check_leaving_servers(deployment, Schedule([("e", 100.0, 110.0)]))
    ) == {"I8"}
    schedule = Schedule([], [("tannery-north", 100.0, 130.0)])
    late_request = completion(sent_at=115.0)
    open_stream = completion(sent_at=90.0, last_chunk_at=120.0)
    for item in (late_request, open_stream):
        assert violated_invariants(check_withdrawn_keys([item], schedule)) == {"I3"}
    assert check_withdrawn_keys([completion(sent_at=104.0)], schedule) == []


def test_version_that_decreases_or_stays_old_is_detected():
    """Guards against missing a process that returns to an older version.

    The host also fails the check if its last version is not the newest.
    """
    observations = [
        VersionObservation(0.0, "h", "i", 5),
        VersionObservation(1.0, "h", "i", 4),
    ]
    assert len(check_versions(observations, [5])) == 2
    restarted = [
        VersionObservation(0.0, "h", "i", 5),
        VersionObservation(1.0, "h", "j", 5),
    ]
    assert check_versions(restarted, [5]) == []
