"""Check the invariants from the outside: what callers got against what servers saw."""

import collections
import json

import attrs

from sesameport.documents import load_service
from sesameport.soak.load import Outcome
from sesameport.standins import demo_document, expected_tokens

__all__ = ["Violation", "check_all", "check_rates"]

# The users' bounds: "a few seconds" for a leaving server, "seconds" for a withdrawn
# key. A key may also work while its host's configuration is younger than the staleness
# bound of 8 s, so the check allows that bound and two seconds for the next look.
LEAVING_BOUND_S = 4.0
WITHDRAWN_BOUND_S = 10.0


@attrs.frozen
class Violation:
    """Describe one broken invariant; ``invariant`` is its number in the design page."""

    invariant: str
    detail: str


def check_all(outcomes: list[Outcome], deployment, schedule) -> list[Violation]:
    """Run every check on the outcomes, the stand-ins and the faults."""
    return [
        *check_holds(deployment),
        *check_answers(outcomes),
        *check_not_run(outcomes, deployment),
        *check_orders(outcomes, deployment),
        *check_headers(deployment),
        *check_rates(outcomes),
        *check_leaving(deployment, schedule),
        *check_withdrawn(outcomes, schedule),
        *[Violation("I9", text) for text in schedule.cut_by_drain],
    ]


def check_leaving(deployment, schedule) -> list[Violation]:
    """Check I8: a leaving server gets no new work after a few seconds."""
    found = []
    for name, since, until in schedule.left:
        for run in deployment.engines[name].runs:
            if since + LEAVING_BOUND_S < run.started < until:
                detail = f"{run.attempt_id} on {name} {run.started - since:.1f} s later"
                found.append(Violation("I8", detail))
    return found


def check_withdrawn(outcomes: list[Outcome], schedule) -> list[Violation]:
    """Check I3: a withdrawn key stops within seconds, open streams too."""
    found = []
    for workspace, since, until in schedule.withdrawn:
        bound = since + WITHDRAWN_BOUND_S
        for item in outcomes:
            if item.workspace != workspace or item.status != 200:
                continue
            if bound < item.sent < until or (
                item.sent < until and bound < item.last_token < until
            ):
                found.append(Violation("I3", f"{item.request_id} ran on {item.host}"))
    return found


def check_holds(deployment) -> list[Violation]:
    """Check I1: no engine holds anything after all requests ended."""
    found = []
    for name, engine in deployment.engines.items():
        for hold in engine.held():
            found.append(Violation("I1", f"{name} holds {hold}"))
    return found


def check_answers(outcomes: list[Outcome]) -> list[Violation]:
    """Check I2 and I5: each answer is the whole answer to its own request, once."""
    found = []
    seen: set[str] = set()
    for item in outcomes:
        if item.request_id and item.request_id in seen:
            found.append(Violation("I2", f"{item.request_id} was answered twice"))
        seen.add(item.request_id)
        if item.kind != "completion" or item.status != 200:
            continue
        expected = "".join(expected_tokens(item.prompt, item.count))
        if item.whole and item.text != expected:
            found.append(Violation("I5", f"{item.request_id}: {item.text[:80]!r}"))
        if not expected.startswith(item.text):
            found.append(Violation("I5", f"{item.request_id}: wrong beginning"))
    return found


def check_not_run(outcomes: list[Outcome], deployment) -> list[Violation]:
    """Check I6: a request that was refused as not run is known to no server."""
    ran = set()
    for engine in deployment.engines.values():
        ran.update(run.attempt_id.rpartition(".")[0] for run in engine.runs)
    booked = _booked(deployment)
    found = []
    by_order = collections.Counter(item.order for item in outcomes if item.order)
    for item in outcomes:
        if item.execution != "not-run":
            continue
        if item.kind == "completion" and item.request_id in ran:
            found.append(Violation("I6", f"{item.request_id} ran, {item.problem}"))
        only_call = item.order and by_order[item.order] == 1
        if only_call and booked[item.order]:
            found.append(Violation("I6", f"order {item.order} was booked"))
    return found


def check_orders(outcomes: list[Outcome], deployment) -> list[Violation]:
    """Check I7: an order is booked at most once, and a confirmed one is booked."""
    booked = _booked(deployment)
    found = [
        Violation("I7", f"order {order} was booked {count} times")
        for order, count in booked.items()
        if count > 1
    ]
    for item in outcomes:
        if item.order and item.status == 201 and not booked[item.order]:
            found.append(
                Violation("I5", f"order {item.order} was confirmed, not booked")
            )
    return found


def check_headers(deployment) -> list[Violation]:
    """Check I3: no backend server saw a key."""
    found = []
    for standin in (*deployment.engines.values(), *deployment.plain.values()):
        if "authorization" in standin.seen_headers:
            found.append(Violation("I3", f"{standin.name} saw a key"))
    return found


def check_rates(outcomes: list[Outcome]) -> list[Violation]:
    """Check I4: tokens of whole answers never exceed rate times time plus burst.

    The times are those at which callers sent; a request is charged after that.
    """
    doc, _ = load_service(demo_document("assessor-llm"), "assessor-llm")
    found = []
    for workspace in doc.workspaces:
        used = sorted(
            (item.sent, item.ended, len(item.prompt) // 4 + item.tokens)
            for item in outcomes
            if item.workspace == workspace.name and item.whole
        )
        for first in range(len(used)):
            total = 0
            for sent, ended, tokens in used[first:]:
                total += tokens
                span_s = ended - used[first][0]
                bound = workspace.rate_tokens_per_s * span_s + workspace.burst_tokens
                if total > bound:
                    detail = f"{workspace.name}: {total} tokens in {span_s:.3f} s"
                    found.append(Violation("I4", detail))
                    break
                del sent
    return found


def _booked(deployment) -> collections.Counter:
    booked: collections.Counter = collections.Counter()
    for standin in deployment.plain.values():
        for booking in standin.bookings:
            booked[booking.get("order", json.dumps(booking))] += 1
    return booked
