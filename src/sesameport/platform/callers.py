"""Translate requests of callers and refusals between the wire and the project."""

from collections.abc import Iterable, Mapping

from result import Err, Ok, Result

from sesameport.entry.requests import EntryRequest, TokenCounts
from sesameport.platform import names

__all__ = ["decode_request", "extract_key"]

DEFAULT_WAIT_S = 30.0
"""Wait of a caller that names none, seconds: the longest that clients keep open."""


def extract_key(headers: Iterable[tuple[str, str]]) -> str:
    """Return the key of a request; empty without one."""
    for name, value in headers:
        if name.lower() == names.API_KEY:
            return value.strip()
    return ""


def decode_request(
    method: str,
    target: str,
    headers: tuple[tuple[str, str], ...],
    body: bytes,
    now: float,
) -> Result[EntryRequest, str]:
    """Turn a caller's request into the project's type, or say what is wrong.

    Headers that the router sets itself and those of the caller's connection are
    dropped.
    """
    found: dict[str, str] = {name.lower(): value for name, value in headers}
    request_id = found.get(names.REQUEST_ID, "")
    if not request_id:
        return Err("X-Request-Id is missing")
    wait_s = _number(found.get(names.DEADLINE_MS), DEFAULT_WAIT_S * 1000) / 1000.0
    try:
        tokens = _tokens(found)
    except ValueError:
        return Err("X-Token-Count is not two numbers")
    listed = {
        item.strip().lower() for item in found.get("connection", "").split(",") if item
    }
    dropped = names.SET_BY_SYSTEM | names.HOP_HEADERS | listed
    return Ok(
        EntryRequest(
            request_id=request_id,
            method=method,
            target=target,
            headers=tuple(
                (name, value) for name, value in headers if name.lower() not in dropped
            ),
            body=body,
            received_at=now,
            deadline=now + wait_s,
            caller_wait_s=wait_s,
            tokens=tokens,
            resume_after=found.get(names.LAST_EVENT_ID, ""),
        )
    )


def _number(text: str | None, default: float) -> float:
    if text is None:
        return default
    try:
        return max(0.0, float(text))
    except ValueError:
        return default


def _tokens(found: Mapping[str, str]) -> TokenCounts | None:
    text = found.get(names.TOKEN_COUNT)
    if text is None:
        return None
    prompt, _, output = text.partition(",")
    hint = found.get(names.LENGTH_HINT, "")
    expected = int(hint) if hint.strip().isdigit() else None
    return TokenCounts(int(prompt), int(output or 0), expected)
