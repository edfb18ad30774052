"""Convert urllib3 exceptions to engine errors."""

import urllib3

from sesameport.interfaces import EngineError, EngineErrorKind

__all__ = ["HTTP_ERRORS", "to_engine_error"]

HTTP_ERRORS = (urllib3.exceptions.HTTPError, OSError, ValueError)
_NOT_SENT = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)


def to_engine_error(exc: Exception) -> EngineError:
    """Return the engine error for an exception of an HTTP call.

    The kind is ``UNREACHABLE`` only for a failure to connect, because no other
    exception proves that no byte of the request was sent.
    """
    kind = EngineErrorKind.BROKEN
    if isinstance(exc, _NOT_SENT):
        kind = EngineErrorKind.UNREACHABLE
    elif isinstance(exc, urllib3.exceptions.ReadTimeoutError):
        kind = EngineErrorKind.SILENT
    return EngineError(kind, str(exc))
