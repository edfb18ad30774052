"""Check the invariants by comparing callers' responses with the servers' records."""

import collections
import json

import attrs

from sesameport.documents import load_service
from sesameport.soak.load import Outcome
from sesameport.standins import demo_document, expected_tokens

__all__ = ["Violation", "check_all", "check_rates"]

LEAVING_SERVER_BOUND_S = 4.0
"""The users require a leaving server to get no new work after "a few seconds"."""

WITHDRAWN_KEY_BOUND_S = 10.0
"""The users require a withdrawn key to stop working within "seconds".

A host accepts a key while its configuration is younger than the staleness bound of 8 s.
The bound adds two seconds to that for the host's next check.
"""


@attrs.frozen
class Violation:
    """Represent a violation of the invariant with this number in the design page."""

    invariant: str
    detail: str


def check_all(outcomes: list[Outcome], deployment, schedule) -> list[Violation]:
    """Return the violations that all checks find in a soak run."""
    return [
        *check_holds(deployment),
        *check_responses(outcomes),
        *check_not_run(outcomes, deployment),
        *check_orders(outcomes, deployment),
        *check_keys_not_forwarded(deployment),
        *check_rates(outcomes),
        *check_leaving_servers(deployment, schedule),
        *check_withdrawn_keys(outcomes, schedule),
        *[Violation("I9", text) for text in schedule.failed_drains],
    ]


def check_leaving_servers(deployment, schedule) -> list[Violation]:
    """Check I8: a leaving server gets no new work after a few seconds."""
    violations = []
    for name, since, until in schedule.leaving_periods:
        for run in deployment.engines[name].runs:
            if since + LEAVING_SERVER_BOUND_S < run.started_at < until:
                detail = (
                    f"{run.attempt_id} on {name} {run.started_at - since:.1f} s later"
                )
                violations.append(Violation("I8", detail))
    return violations


def check_withdrawn_keys(outcomes: list[Outcome], schedule) -> list[Violation]:
    """Check I3: new requests and open streams end within seconds of key withdrawal."""
    violations = []
    for workspace, since, until in schedule.withdrawn_key_periods:
        bound = since + WITHDRAWN_KEY_BOUND_S
        for outcome in outcomes:
            if outcome.workspace != workspace or outcome.status != 200:
                continue
            if bound < outcome.sent_at < until or (
                outcome.sent_at < until and bound < outcome.last_chunk_at < until
            ):
                violations.append(
                    Violation("I3", f"{outcome.request_id} ran on {outcome.host}")
                )
    return violations


def check_holds(deployment) -> list[Violation]:
    """Check I1: no engine has holds left after all requests ended."""
    violations = []
    for name, engine in deployment.engines.items():
        for hold in engine.list_holds():
            violations.append(Violation("I1", f"{name} holds {hold}"))
    return violations


def check_responses(outcomes: list[Outcome]) -> list[Violation]:
    """Check I2 and I5: each request gets its own response, completely and only once."""
    violations = []
    seen_ids: set[str] = set()
    for outcome in outcomes:
        if outcome.request_id and outcome.request_id in seen_ids:
            violations.append(
                Violation("I2", f"{outcome.request_id} was answered twice")
            )
        seen_ids.add(outcome.request_id)
        if outcome.kind != "completion" or outcome.status != 200:
            continue
        expected = "".join(expected_tokens(outcome.prompt, outcome.max_tokens))
        if outcome.is_complete and outcome.text != expected:
            violations.append(
                Violation("I5", f"{outcome.request_id}: {outcome.text[:80]!r}")
            )
        if not expected.startswith(outcome.text):
            violations.append(
                Violation("I5", f"{outcome.request_id}: text has unexpected tokens")
            )
    return violations


def check_not_run(outcomes: list[Outcome], deployment) -> list[Violation]:
    """Check I6: no server ran a request that was refused as not run."""
    run_ids = set()
    for engine in deployment.engines.values():
        run_ids.update(run.attempt_id.rpartition(".")[0] for run in engine.runs)
    bookings = _count_bookings(deployment)
    violations = []
    calls_by_order = collections.Counter(
        outcome.order_id for outcome in outcomes if outcome.order_id
    )
    for outcome in outcomes:
        if outcome.execution != "not-run":
            continue
        if outcome.kind == "completion" and outcome.request_id in run_ids:
            violations.append(
                Violation("I6", f"{outcome.request_id} ran, {outcome.problem_type}")
            )
        is_only_call = outcome.order_id and calls_by_order[outcome.order_id] == 1
        if is_only_call and bookings[outcome.order_id]:
            violations.append(Violation("I6", f"order {outcome.order_id} was booked"))
    return violations


def check_orders(outcomes: list[Outcome], deployment) -> list[Violation]:
    """Check I7 and I5: no order is booked twice, and confirmed orders are booked."""
    bookings = _count_bookings(deployment)
    violations = [
        Violation("I7", f"order {order_id} was booked {count} times")
        for order_id, count in bookings.items()
        if count > 1
    ]
    for outcome in outcomes:
        if (
            outcome.order_id
            and outcome.status == 201
            and not bookings[outcome.order_id]
        ):
            violations.append(
                Violation(
                    "I5", f"order {outcome.order_id} was confirmed but not booked"
                )
            )
    return violations


def check_keys_not_forwarded(deployment) -> list[Violation]:
    """Check I3: no backend server received a key."""
    violations = []
    for standin in (*deployment.engines.values(), *deployment.plain_servers.values()):
        if "authorization" in standin.seen_headers:
            violations.append(Violation("I3", f"{standin.name} received a key"))
    return violations


def check_rates(outcomes: list[Outcome]) -> list[Violation]:
    """Check I4: tokens of complete responses never exceed rate times time plus burst.

    A window starts when its first request was sent, because the host charges the
    request only after that.
    """
    doc, _ = load_service(demo_document("assessor-llm"), "assessor-llm")
    violations = []
    for workspace in doc.workspaces:
        usage = sorted(
            (
                outcome.sent_at,
                outcome.ended_at,
                len(outcome.prompt) // 4 + outcome.output_tokens,
            )
            for outcome in outcomes
            if outcome.workspace == workspace.name and outcome.is_complete
        )
        for first in range(len(usage)):
            total = 0
            for sent_at, ended_at, tokens in usage[first:]:
                total += tokens
                span_s = ended_at - usage[first][0]
                bound = workspace.rate_tokens_per_s * span_s + workspace.burst_tokens
                if total > bound:
                    detail = f"{workspace.name}: {total} tokens in {span_s:.3f} s"
                    violations.append(Violation("I4", detail))
                    break
                del sent_at
    return violations


def _count_bookings(deployment) -> collections.Counter:
    bookings: collections.Counter = collections.Counter()
    for standin in deployment.plain_servers.values():
        for booking in standin.bookings:
            bookings[booking.get("order", json.dumps(booking))] += 1
    return bookings
