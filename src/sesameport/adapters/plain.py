"""Call plain services over HTTP."""

import urllib3
from result import Err, Ok, Result

from sesameport.adapters.http_errors import HTTP_ERRORS, to_engine_error
from sesameport.adapters.strict_responses import SingleUsePool
from sesameport.domain import PlainRequest
from sesameport.interfaces import EngineError, EngineErrorKind, PlainResponse

__all__ = ["HttpPlainService"]

_CONNECT_TIMEOUT_S = 1.0
_HOP_HEADERS = frozenset(
    {"connection", "keep-alive", "transfer-encoding", "content-length", "server"}
)


class HttpPlainService:
    """Call one server of a plain service; satisfies ``interfaces.PlainService``."""

    def __init__(self, address: str):
        host, _, port = address.rpartition(":")
        self._pool = SingleUsePool(host, int(port), retries=False)

    def call(
        self, req: PlainRequest, attempt_id: str, timeout_s: float
    ) -> Result[PlainResponse, EngineError]:
        """Send a call and read the whole response."""
        headers = {**dict(req.headers), "X-Request-Id": attempt_id}
        try:
            response = self._pool.urlopen(
                req.method,
                req.path,
                body=req.body or None,
                headers=headers,
                timeout=urllib3.Timeout(connect=_CONNECT_TIMEOUT_S, read=timeout_s),
                retries=False,
                redirect=False,
            )
        except HTTP_ERRORS as exc:
            return Err(to_engine_error(exc))
        if response.status == 503:
            return Err(EngineError(EngineErrorKind.BUSY, "status 503"))
        forwarded_headers = tuple(
            (name, value)
            for name, value in response.headers.items()
            if name.lower() not in _HOP_HEADERS
        )
        return Ok(PlainResponse(response.status, forwarded_headers, response.data))
