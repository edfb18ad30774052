"""Decode callers' requests from the format of the users' platform."""

from collections.abc import Iterable, Mapping

from result import Err, Ok, Result

from sesameport.entry.requests import EntryRequest, TokenCounts
from sesameport.platform import header_names

__all__ = ["decode_request", "extract_key", "stated_wait_s"]

DEFAULT_CALLER_WAIT_S = 30.0
"""Wait of a caller that sends no deadline, seconds.

Clients keep a request open for at most this time.
"""

MAX_COUNT_DIGITS = 9
"""Longest number of tokens that is read, in digits. Hosts exchange sums of them, which
must fit into 64 bits."""

MAX_CALLER_WAIT_S = 86_400.0
"""Longest wait of a caller that counts, seconds."""


def extract_key(headers: Iterable[tuple[str, str]]) -> str:
    """Return the API key of a request, or an empty string if it has none."""
    for name, value in headers:
        if name.lower() == header_names.API_KEY:
            return value.strip()
    return ""


def stated_wait_s(headers: Iterable[tuple[str, str]]) -> float:
    """Return how long a caller waits for its response, seconds."""
    text = None
    for name, value in headers:
        if name.lower() == header_names.DEADLINE_MS:
            text = value
    return _parse_number(text, DEFAULT_CALLER_WAIT_S * 1000) / 1000.0


def decode_request(
    method: str,
    target: str,
    headers: tuple[tuple[str, str], ...],
    body: bytes,
    now: float,
) -> Result[EntryRequest, str]:
    """Return a caller's request, or an Err with the reason why it is malformed.

    Hop-by-hop headers and headers that only the router sets are removed.
    """
    value_by_name: dict[str, str] = {name.lower(): value for name, value in headers}
    request_id = value_by_name.get(header_names.REQUEST_ID, "")
    if not request_id:
        return Err("X-Request-Id is missing")
    wait_s = (
        _parse_number(
            value_by_name.get(header_names.DEADLINE_MS), DEFAULT_CALLER_WAIT_S * 1000
        )
        / 1000.0
    )
    try:
        tokens = _parse_token_counts(value_by_name)
    except ValueError:
        return Err("X-Token-Count is not two numbers")
    connection_options = {
        option.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for option in value.split(",")
    }
    parts = _parse_prompt_parts(value_by_name)
    removed_names = (
        header_names.ROUTER_HEADERS
        | header_names.HOP_BY_HOP_HEADERS
        | (connection_options - header_names.FORWARDED_HEADERS)
    )
    return Ok(
        EntryRequest(
            request_id=request_id,
            method=method,
            target=target,
            headers=tuple(
                (name, value)
                for name, value in headers
                if name.lower() not in removed_names
            ),
            body=body,
            received_at=now,
            deadline=now + wait_s,
            caller_wait_s=wait_s,
            tokens=tokens,
            prompt_parts=tuple(name for name, _ in parts),
            prompt_part_tokens=tuple(count for _, count in parts),
            resume_after=value_by_name.get(header_names.LAST_EVENT_ID, ""),
        )
    )


def _parse_number(text: str | None, default: float) -> float:
    if text is None:
        return default
    try:
        value = float(text)
    except ValueError:
        return default
    return min(max(0.0, value), MAX_CALLER_WAIT_S * 1000)


def _parse_prompt_parts(value_by_name: Mapping[str, str]) -> list[tuple[str, int]]:
    """Return the ids and tokens of all parts of a prompt but the last.

    The last part belongs to the request. Tokens that are not a number count as 0.
    """
    text = value_by_name.get(header_names.PROMPT_PREFIX, "")
    parts = []
    for entry in text.split(",")[:-1]:
        name, _, count = entry.partition(":")
        name, count = name.strip().lower(), count.strip()
        if name:
            parts.append((name, int(count) if _is_count(count) else 0))
    return parts


def _parse_token_counts(value_by_name: Mapping[str, str]) -> TokenCounts | None:
    text = value_by_name.get(header_names.TOKEN_COUNT)
    if text is None:
        return None
    prompt, _, output = text.partition(",")
    prompt, output = prompt.strip(), output.strip() or "0"
    if not _is_count(prompt) or not _is_count(output):
        raise ValueError("not two numbers of tokens")
    hint = value_by_name.get(header_names.LENGTH_HINT, "").strip()
    expected = int(hint) if _is_count(hint) else None
    return TokenCounts(int(prompt), int(output), expected)


def _is_count(text: str) -> bool:
    """Return whether a text is a number of tokens that is read."""
    return text.isascii() and text.isdecimal() and len(text) <= MAX_COUNT_DIGITS
