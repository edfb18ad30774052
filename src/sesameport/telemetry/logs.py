"""Write log records as JSON lines and keep keys out of them."""

import re
import sys
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from typing import Any, TextIO

import logbook
import msgspec

__all__ = ["JsonLineHandler", "bind_request", "get_logger", "remove_secrets"]

REMOVED = "[removed]"
MAX_TEXT = 4_000
"""Longest text of one field, characters. It bounds the size of a log line."""

_SECRET_NAMES = frozenset(
    {
        "api_key",
        "apikey",
        "authorization",
        "bearer",
        "cookie",
        "key",
        "password",
        "proxy_authorization",
        "secret",
        "secret_key",
        "set_cookie",
        "token",
        "x_api_key",
    }
)
_SECRET_TEXT = (
    re.compile(r"(?i)(\b(?:proxy-)?authorization\b['\"]?\s*[:=,]\s*)[^\r\n]+"),
    re.compile(r"(?i)(\b(?:x-)?api[-_]?key\b['\"]?\s*[:=,]\s*)[^\s,;]+"),
    re.compile(r"(?i)(\bbearer\s+)[^\s'\",;]+"),
)
_OWN_FIELDS = frozenset(
    {"time", "level", "event", "logger", "request_id", "host", "data_centre"}
)


def get_logger(name: str) -> logbook.Logger:
    """Return a logger. The message names the event, ``extra`` holds its fields.

    >>> get_logger("requests").info(
    ...     "request refused", extra={"request_id": "r1", "reason": "queue-full"}
    ... )  # doctest: +SKIP
    """
    return logbook.Logger(name)


@contextmanager
def bind_request(request_id: str) -> Iterator[None]:
    """Add a request id to all records that this thread logs inside the block."""

    def inject(record: logbook.LogRecord) -> None:
        record.extra.setdefault("request_id", request_id)

    with logbook.Processor(inject).threadbound():
        yield


class JsonLineHandler(logbook.StreamHandler):
    """Write each record as one JSON object on one line.

    The fields are ``time`` (UTC, RFC 3339), ``level``, ``logger``, ``event``,
    ``request_id`` (empty outside a request), ``host``, ``data_centre`` and the
    record's ``extra`` fields. Values of fields that hold keys, and values of
    Authorization headers inside texts, are replaced.

    Parameters
    ----------
    host, data_centre : str
        Identity of this host from its settings.
    stream : text file, default=standard error
        Where lines are written. Hosts have no disk, so it is never a file there.
    level : str, default="INFO"
        Lowest level that is written.
    """

    def __init__(
        self,
        host: str,
        data_centre: str,
        stream: TextIO | None = None,
        level: str = "INFO",
    ):
        super().__init__(stream or sys.stderr, level=level)
        self._host = host
        self._data_centre = data_centre

    def format(self, record: logbook.LogRecord) -> str:
        """Return the record as one line of JSON."""
        fields = {
            "time": record.time.isoformat(timespec="milliseconds") + "Z",
            "level": record.level_name.lower(),
            "logger": record.channel,
            "event": remove_secrets(record.message),
            "request_id": str(record.extra.get("request_id", "")),
            "host": self._host,
            "data_centre": self._data_centre,
        }
        for name, value in record.extra.items():
            # A field named like one of the record's own would replace it.
            target = f"field_{name}" if name in _OWN_FIELDS else name
            if name == "request_id":
                continue
            fields[target] = _clean_field(name, value)
        if record.formatted_exception:
            fields["exception"] = remove_secrets(record.formatted_exception)
        return msgspec.json.encode(fields, enc_hook=str).decode()


def remove_secrets(value: Any) -> Any:
    """Return a value for the log with keys and Authorization values replaced.

    Mappings are treated by the names of their fields; sequences of pairs, as HTTP
    headers often are, by the first item of each pair.
    """
    if isinstance(value, bytes):
        value = value.decode("utf-8", "replace")
    if isinstance(value, str):
        for pattern in _SECRET_TEXT:
            value = pattern.sub(rf"\1{REMOVED}", value)
        return value[:MAX_TEXT]
    if isinstance(value, Mapping):
        return {str(name): _clean_field(name, item) for name, item in value.items()}
    if isinstance(value, (list, tuple, set, frozenset)):
        return [_clean_item(item) for item in value]
    if value is None or isinstance(value, (bool, int, float)):
        return value
    return remove_secrets(str(value))


def _clean_item(item: Any) -> Any:
    if isinstance(item, tuple) and len(item) == 2 and isinstance(item[0], (str, bytes)):
        return [remove_secrets(item[0]), _clean_field(item[0], item[1])]
    return remove_secrets(item)


def _clean_field(name: Any, value: Any) -> Any:
    if isinstance(name, bytes):
        name = name.decode("utf-8", "replace")
    if str(name).lower().replace("-", "_") in _SECRET_NAMES:
        return REMOVED
    return remove_secrets(value)
