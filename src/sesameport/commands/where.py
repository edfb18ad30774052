"""Ask a host where a request would go now, without sending it."""

import json
import sys
from typing import Annotated
from urllib.parse import urlencode

import attrs
import cappa
from result import Err, Ok

from sesameport.commands.fetch import fetch_all, find_addresses

__all__ = ["Where", "format_placement"]

_CANDIDATE_FIELDS = frozenset(
    {"server", "role", "data_centre", "is_chosen", "excluded"}
)


def format_placement(answer: dict) -> str:
    """Return the answer of a host as text.

    Examples
    --------
    >>> server = {"server": "s1", "role": "plain", "data_centre": "a", "active": 2}
    >>> service = {"service": "desk", "weight": 1.0, "decision": {"plain": "s1"}}
    >>> service["candidates"] = [{**server, "is_chosen": True, "excluded": ""}]
    >>> print(format_placement({"route": "r", "version": 3, "services": [service]}))
    route r, configuration version 3
    service desk (weight 1.0): plain=s1
      > s1 plain in a: active=2
    """
    lines = [f"route {answer['route']}, configuration version {answer['version']}"]
    for service in answer["services"]:
        decision = _format_fields(service["decision"])
        weight = service["weight"]
        lines.append(f"service {service['service']} (weight {weight}): {decision}")
        lines += [_format_candidate(item) for item in service["candidates"]]
    return "\n".join(lines)


def _format_candidate(candidate: dict) -> str:
    mark = ">" if candidate["is_chosen"] else " "
    fields = {
        name: value
        for name, value in candidate.items()
        if name not in _CANDIDATE_FIELDS
    }
    text = (
        f"  {mark} {candidate['server']} {candidate['role']} in "
        f"{candidate['data_centre']}: {_format_fields(fields)}"
    )
    excluded = candidate["excluded"]
    return f"{text} excluded: {excluded}" if excluded else text.rstrip()


def _format_fields(fields: dict) -> str:
    return " ".join(f"{name}={value}" for name, value in fields.items())


def _where(command: "Where") -> int:
    (address,) = find_addresses([command.address], None)
    query = {
        "route": command.route,
        "workspace": command.workspace or "",
        "parts": command.parts or "",
        "tokens": command.tokens,
    }
    (response,) = fetch_all([address], f"/where?{urlencode(query)}")
    match response.result:
        case Err(reason):
            print(f"{address}: {reason}", file=sys.stderr)
            return 1
        case Ok(body):
            pass
    try:
        answer = json.loads(body)
        text = format_placement(answer)
    except (ValueError, KeyError, TypeError) as exc:
        print(f"{address}: answer unreadable: {exc!r}", file=sys.stderr)
        return 1
    print(json.dumps(answer, indent=1) if command.json else text)
    return 0


@cappa.command(name="where", invoke=_where)
@attrs.frozen
class Where:
    """Ask a host where a request would go now, and why, without sending it.

    Exit code 0: answered. 1: no answer, or no such route or workspace. 2: wrong usage.
    """

    address: Annotated[str, cappa.Arg(help="IP:PORT of the host's metrics")]
    route: Annotated[str, cappa.Arg(long="--route", help="Name of the route")]
    workspace: Annotated[
        str | None, cappa.Arg(long="--workspace", help="Name of the workspace")
    ] = None
    tokens: Annotated[
        str, cappa.Arg(long="--tokens", help="PROMPT,LONGEST_ANSWER[,ESTIMATE]")
    ] = "0"
    parts: Annotated[
        str | None,
        cappa.Arg(long="--parts", help="Shared parts of the prompt, ID:TOKENS,..."),
    ] = None
    json: Annotated[bool, cappa.Arg(long="--json", help="Print JSON")] = False
