"""Test the retry budget, the back-off and calls to plain services."""

import random

import pytest

from sesameport.domain import Execution, PlainRequest, Urgency
from sesameport.interfaces import EngineError, EngineErrorKind, PlainResponse
from sesameport.requests import (
    Backoff,
    NoPlainServer,
    PlainCall,
    PlainFailed,
    PlainPlaced,
    PlainResponded,
    RefuseRequest,
    RequestPlainServer,
    RetryBudget,
    ReturnPlainResponse,
    SendPlainCall,
)

Kind = EngineErrorKind


def test_retries_stay_below_their_ratio_of_requests():
    """Guards against a retry storm when all calls fail."""
    budget = RetryBudget(retry_ratio=0.1, max_balance=10.0)
    granted = 0
    for _ in range(10_000):
        budget.record_request()
        granted += sum(budget.spend() for _ in range(3))
    assert 1_000 <= granted <= 1_010
    assert budget.denied_count == 30_000 - granted


def test_backoff_grows_with_full_jitter():
    """Guards against synchronised retries that overload a recovering server."""
    rng = random.Random(3)
    backoff = Backoff(0.1, 1.0)
    for retry, max_delay_s in ((0, 0.1), (2, 0.4), (9, 1.0), (5_000, 1.0)):
        delays = [backoff.delay(retry, rng) for _ in range(500)]
        assert max(delays) <= max_delay_s and max(delays) > 0.9 * max_delay_s
        assert min(delays) < 0.1 * max_delay_s


def make_call(repeatable, deadline=10.0):
    req = PlainRequest(
        "r", "desk", "", "POST", "/o", (), b"", repeatable, Urgency.URGENT, deadline
    )
    call = PlainCall(req, "h.i.1", random.Random(1))
    assert call.start(0.0) == [RequestPlainServer(frozenset())]
    return call


def send(call, server="s1", now=0.0):
    (action,) = call.handle(PlainPlaced(server), now)
    assert isinstance(action, SendPlainCall)
    return action


def fail(call, attempt, kind, now=0.1):
    (action,) = call.handle(PlainFailed(f"h.i.1.{attempt}", EngineError(kind)), now)
    return action


def test_repeatable_call_is_retried_on_another_server():
    """Guards against failing a read-only call that another server could answer."""
    call = make_call(True)
    assert send(call).timeout_s < 10.0
    action = fail(call, 1, Kind.SILENT)
    assert action.exclude == {"s1"} and action.spends_budget
    send(call, "s2")
    answer = PlainResponse(200, (), b"")
    assert call.handle(PlainResponded("h.i.1.2", answer), 1.0) == [
        ReturnPlainResponse(answer)
    ]


@pytest.mark.parametrize("kind", list(Kind))
def test_call_that_is_not_repeatable_is_retried_only_if_it_did_not_run(kind):
    """Guards against a second run of a call that may have run already (I7)."""
    call = make_call(False)
    send(call)
    action = fail(call, 1, kind)
    if kind in (Kind.UNREACHABLE, Kind.BUSY):
        assert isinstance(action, RequestPlainServer)
        return
    assert isinstance(action, RefuseRequest)
    assert action.refusal.execution == Execution.MAY_HAVE_RUN
    assert call.handle(PlainPlaced("s2"), 0.2) == []


def test_refusal_reports_that_an_earlier_attempt_may_have_run():
    """Guards against reporting 'not run' because only the last attempt did not run."""
    call = make_call(True)
    send(call)
    fail(call, 1, Kind.BROKEN)
    send(call, "s2")
    fail(call, 2, Kind.UNREACHABLE)
    (refused,) = call.handle(NoPlainServer(), 0.2)
    assert refused.refusal.execution == Execution.MAY_HAVE_RUN
    call = make_call(True)
    send(call)
    fail(call, 1, Kind.UNREACHABLE)
    (refused,) = call.handle(NoPlainServer(), 0.2)
    assert refused.refusal.execution == Execution.NOT_RUN


def test_no_attempt_starts_after_the_deadline():
    """Guards against work for a caller that no longer waits."""
    call = make_call(True, deadline=1.0)
    (refused,) = call.handle(PlainPlaced("s1"), 1.0)
    assert refused.refusal.execution == Execution.NOT_RUN
