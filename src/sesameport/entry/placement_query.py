"""Answer the question where a request would go, on the metrics listener of a host.

The metrics listener is for operators. The answer names servers and their load, and
neither keys nor other requests.
"""

import json
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

from sesameport.admission import RouteTable, combine_regions, expected_output_tokens
from sesameport.entry import messages as m
from sesameport.entry.configuration import EntryConfiguration, EntryRoute
from sesameport.entry.outcomes import ResponseWriter

__all__ = ["PLACEMENT_PATH", "explain_request", "send_explanation"]

PLACEMENT_PATH = "/where"

PATIENCE_TARGETS = 4.0
MIN_PATIENCE_S = 2.0
"""Time until a caller without an event disconnects, as a multiple of the route's target
or in seconds, the longer one; see ``entry.GenerationHandler``."""


def send_explanation(
    target: str,
    table: RouteTable | None,
    ask: Callable[[m.ExplainPlacement], dict],
    writer: ResponseWriter,
) -> bool:
    """Answer a request of the metrics listener; return False if it asks for metrics."""
    if urlsplit(target).path != PLACEMENT_PATH:
        return False
    status, body = explain_request(target, table, ask)
    writer.send_complete(status, [("Content-Type", "application/json")], body)
    return True


def explain_request(
    target: str, table: RouteTable | None, ask: Callable[[m.ExplainPlacement], dict]
) -> tuple[int, bytes]:
    """Return the status and JSON body for a question.

    Parameters
    ----------
    target : str
        Request target, with a query of ``route``, ``workspace``, ``parts``
        (``ID:TOKENS``, separated by commas) and ``tokens`` (prompt, longest answer and
        an estimate).
    table : RouteTable or None
        Routes in force.
    ask : callable
        Sends a message to the entry actor and returns its reply.
    """
    query = {
        name: values[-1] for name, values in parse_qs(urlsplit(target).query).items()
    }
    if table is None:
        return _answer(503, {"error": "no configuration"})
    configuration = table.configuration
    route = _find_route(configuration, query.get("route", ""))
    if route is None:
        return _answer(404, {"error": "no such route"})
    workspace = query.get("workspace", "")
    priority, charge, regions = route.priority, 0, ()
    if workspace:
        known = [item for item in configuration.workspaces if item.name == workspace]
        if not known:
            return _answer(404, {"error": "no such workspace"})
        charge, regions = known[0].plain_tokens, known[0].allowed_regions
        if known[0].priority is not None:
            priority = known[0].priority
    try:
        counts = [int(text) for text in query.get("tokens", "0").split(",")]
        parts = [
            _parse_part(text) for text in query.get("parts", "").split(",") if text
        ]
    except ValueError:
        return _answer(400, {"error": "tokens and parts are numbers"})
    prompt, max_output, estimate = (*counts, 0, 0)[:3]
    if prompt < 0 or max_output < 0:
        return _answer(400, {"error": "tokens and parts are numbers"})
    answers = []
    for share in route.shares:
        if share.weight <= 0:
            continue
        message = m.ExplainPlacement(
            share.service,
            workspace,
            float(prompt + max_output or charge),
            prompt,
            expected_output_tokens(max_output, estimate or None),
            tuple(name for name, _ in parts),
            tuple(count for _, count in parts),
            priority,
            route.target_s,
            min(
                route.timeout_s, max(MIN_PATIENCE_S, PATIENCE_TARGETS * route.target_s)
            ),
            combine_regions(route.allowed_regions, regions),
        )
        reply = ask(message)
        if reply is None:
            return _answer(500, {"error": "the host failed to answer"})
        answers.append({"weight": share.weight, **reply})
    version = configuration.version
    return _answer(200, {"route": route.name, "version": version, "services": answers})


def _find_route(configuration: EntryConfiguration, name: str) -> EntryRoute | None:
    for route in configuration.routes:
        if route.name == name:
            return route
    return None


def _parse_part(text: str) -> tuple[str, int]:
    """Return the id and the tokens of a part; raise ``ValueError`` without a number."""
    name, _, count = text.partition(":")
    tokens = int(count)
    if tokens < 0:
        raise ValueError(text)
    return name.strip().lower(), tokens


def _answer(status: int, fields: dict) -> tuple[int, bytes]:
    return status, json.dumps(fields).encode() + b"\n"
