"""Format log records as JSON lines and redact keys in them."""

import re
import sys
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from typing import Any, TextIO

import logbook
import msgspec

__all__ = ["JsonLineHandler", "bind_request", "get_logger", "redact_secrets"]

REDACTED = "[removed]"
MAX_TEXT_CHARS = 4_000
"""Maximum length of a text value, characters, which bounds the size of a log line."""

_SECRET_FIELD_NAMES = frozenset(
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
_SECRET_PATTERNS = (
    re.compile(r"(?i)(\b(?:proxy-)?authorization\b['\"]?\s*[:=,]\s*)[^\r\n]+"),
    re.compile(r"(?i)(\b(?:x-)?api[-_]?key\b['\"]?\s*[:=,]\s*)[^\s,;]+"),
    re.compile(r"(?i)(\bbearer\s+)[^\s'\",;]+"),
)
_SECRET_WORDS = re.compile(r"(?i)authorization|api[-_]?key|bearer")
"""Words of which each of the patterns needs one. Few texts have any."""

_RESERVED_FIELDS = frozenset(
    {"time", "level", "event", "logger", "request_id", "host", "data_centre"}
)


def get_logger(name: str) -> logbook.Logger:
    """Return a logger.

    The message of a record names the event, and ``extra`` holds its fields.

    >>> get_logger("requests").info(
    ...     "request refused", extra={"request_id": "r1", "reason": "queue-full"}
    ... )  # doctest: +SKIP
    """
    return logbook.Logger(name)


@contextmanager
def bind_request(request_id: str) -> Iterator[None]:
    """Add a request id to all records that this thread logs inside the context."""

    def add_request_id(record: logbook.LogRecord) -> None:
        record.extra.setdefault("request_id", request_id)

    with logbook.Processor(add_request_id).threadbound():
        yield


class JsonLineHandler(logbook.StreamHandler):
    """Write each record as one JSON object on one line.

    The fields are ``time`` (UTC, RFC 3339), ``level``, ``logger``, ``event``,
    ``request_id`` (empty outside a request), ``host``, ``data_centre`` and the
    record's ``extra`` fields. Keys in fields and in texts, such as Authorization
    headers, are redacted.

    Parameters
    ----------
    host, data_centre : str
        Name and data centre of this host from its settings.
    stream : text file, default=standard error
        Stream for the lines. Hosts have no disk, so they never log to a file.
    level : str, default="INFO"
        Lowest level to write.
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
            "event": redact_secrets(record.message),
            "request_id": str(record.extra.get("request_id", "")),
            "host": self._host,
            "data_centre": self._data_centre,
        }
        for name, value in record.extra.items():
            # Prefix fields that would otherwise overwrite a reserved field.
            field_name = f"field_{name}" if name in _RESERVED_FIELDS else name
            if name == "request_id":
                continue
            fields[field_name] = _redact_field(name, value)
        if record.formatted_exception:
            fields["exception"] = redact_secrets(record.formatted_exception)
        return msgspec.json.encode(fields, enc_hook=str).decode()


def redact_secrets(value: Any) -> Any:
    """Return a value with keys and Authorization values redacted, for logging.

    Mappings are redacted by field name. In sequences of pairs, such as HTTP headers,
    the first element of each pair is the field name.
    """
    if isinstance(value, bytes):
        value = value.decode("utf-8", "replace")
    if isinstance(value, str):
        if _SECRET_WORDS.search(value):
            for pattern in _SECRET_PATTERNS:
                value = pattern.sub(rf"\1{REDACTED}", value)
        return value[:MAX_TEXT_CHARS]
    if value is None or isinstance(value, (bool, int, float)):
        return value
    if isinstance(value, Mapping):
        return {str(name): _redact_field(name, field) for name, field in value.items()}
    if isinstance(value, (list, tuple, set, frozenset)):
        return [_redact_element(element) for element in value]
    return redact_secrets(str(value))


def _redact_element(element: Any) -> Any:
    if (
        isinstance(element, tuple)
        and len(element) == 2
        and isinstance(element[0], (str, bytes))
    ):
        return [redact_secrets(element[0]), _redact_field(element[0], element[1])]
    return redact_secrets(element)


def _redact_field(name: Any, value: Any) -> Any:
    if isinstance(name, bytes):
        name = name.decode("utf-8", "replace")
    if str(name).lower().replace("-", "_") in _SECRET_FIELD_NAMES:
        return REDACTED
    return redact_secrets(value)
