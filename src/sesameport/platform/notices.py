"""Decode what a replica says of itself in the headers of an answer."""

import math
from collections.abc import Mapping

from sesameport.entry.server_notices import OnNotice, ServerNotice
from sesameport.platform import header_names

__all__ = ["decode_notice", "report_notice"]


def report_notice(
    on_notice: OnNotice, server: str, status: int, headers: Mapping[str, str]
) -> None:
    """Call ``on_notice`` with what an answer says of the replica that was called.

    An answer with status 421 comes from another replica.
    """
    if status != 421:
        on_notice(server, decode_notice(status, headers))


def decode_notice(status: int, headers: Mapping[str, str]) -> ServerNotice:
    """Return the notice in the headers of an answer; invalid values are ignored.

    The names of ``headers`` are looked up without regard to case. Retry-After counts in
    an answer that turns the request away.

    Examples
    --------
    >>> decode_notice(200, {"server-limit": "2.5"}).limit_per_s
    2.5
    >>> decode_notice(503, {"retry-after": "0.5"}).pause_s
    0.5
    >>> decode_notice(200, {"x-cold-remaining-ms": "1500"}).cold_remaining_s
    1.5
    """
    pause_s = 0.0
    if status == 503:
        pause_s = _decode_number(headers.get(header_names.RETRY_AFTER)) or 0.0
    return ServerNotice(
        _decode_number(headers.get(header_names.SERVER_LIMIT)),
        headers.get(header_names.SERVER_LEAVING, "").strip() == "1",
        pause_s,
        (_decode_number(headers.get(header_names.COLD_REMAINING_MS)) or 0.0) / 1000.0,
    )


def _decode_number(text: str | None) -> float | None:
    """Return a finite decimal number of 0 or more, or None."""
    try:
        number = float(text) if text is not None else math.nan
    except ValueError:
        return None
    return number if 0.0 <= number < math.inf else None
