"""Call model engines over their OpenAI-compatible HTTP API."""

import json
from collections.abc import Iterator
from typing import Any, TypeVar

import attrs
import msgspec
import urllib3
from result import Err, Ok, Result

from sesameport.adapters.http_errors import HTTP_ERRORS, to_engine_error
from sesameport.adapters.strict_responses import SingleUsePool
from sesameport.adapters.typed_json import decode_as
from sesameport.interfaces import (
    CacheEvent,
    CacheEvents,
    DecodeCall,
    EngineError,
    EngineErrorKind,
    Hold,
    KvHandle,
    LoadReport,
    Order,
    PrefillCall,
    TokenEvent,
)

__all__ = ["HttpEngine", "HttpTokenStream"]

_ERROR_KINDS = {
    400: EngineErrorKind.INVALID,
    404: EngineErrorKind.NOT_FOUND,
    412: EngineErrorKind.FENCED,
    429: EngineErrorKind.BUSY,
    503: EngineErrorKind.BUSY,
}
T = TypeVar("T")

_CONNECT_TIMEOUT_S = 1.0
_DRAIN_TIMEOUT_S = 0.1
"""Timeout of reading the rest of a response after its last event. The caller already
has the whole answer, so a server that is slow to close the body must not delay it."""


class _Choice(msgspec.Struct):
    text: str
    finish_reason: str | None = None


class _Event(msgspec.Struct):
    id: str
    offset: int
    choices: list[_Choice]


class _KvParameters(msgspec.Struct):
    remote_address: str
    remote_handle: str
    lifetime_s: float


class _Prefilled(msgspec.Struct):
    kv_transfer_params: _KvParameters


class _Cancelled(msgspec.Struct):
    held: bool


class _Holds(msgspec.Struct):
    holds: tuple[Hold, ...]


class _Load(msgspec.Struct):
    """Represent a `LoadReport` without the name of its server."""

    running: int
    waiting: int
    slots: int
    prefill_queue_tokens: int = 0
    kv_pieces_free: int = 0
    age_s: float = 0.0
    sequence: int = 0
    models: list[str] | None = None
    adapters: list[str] | None = None
    role: str = ""
    draining: bool | None = None


class _Events(msgspec.Struct):
    events: tuple[CacheEvent, ...]
    last_sequence: int


class HttpTokenStream:
    """Iterate over the server-sent events of a decode response."""

    def __init__(self, response, attempt_id: str, idle_timeout_s: float):
        self._response = response
        self._attempt_id = attempt_id
        self._idle_timeout_s = idle_timeout_s
        self._has_first_event = False
        self._is_closed = False

    def close(self) -> None:
        """Close the connection, which tells the engine to stop generating."""
        self._is_closed = True
        self._response.close()

    def __iter__(self) -> Iterator[Result[TokenEvent, EngineError]]:
        """Yield token events; an error, if any, is the last item."""
        try:
            for line in _split_lines(self._response):
                if not line.startswith(b"data: ") or line == b"data: [DONE]":
                    continue
                result = _parse_token_event(line[6:])
                if result.is_err():
                    yield result
                    return
                event = result.unwrap()
                self._start_idle_timeout()
                yield result
                if event.finish_reason:
                    self._finish()
                    return
            yield Err(EngineError(EngineErrorKind.BROKEN, "stream without end mark"))
        except urllib3.exceptions.ReadTimeoutError as exc:
            yield Err(EngineError(EngineErrorKind.SILENT, str(exc)))
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as exc:
            yield Err(EngineError(EngineErrorKind.BROKEN, str(exc)))
        except AttributeError as exc:
            # urllib3 sets its file object to None when another thread closes the
            # response, so a concurrent read raises AttributeError.
            yield Err(EngineError(EngineErrorKind.BROKEN, f"closed: {exc}"))
        finally:
            if not self._is_closed:
                self.close()

    def _start_idle_timeout(self) -> None:
        """Replace the first-token timeout by the idle timeout."""
        conn = self._response.connection
        if not self._has_first_event and conn is not None and conn.sock is not None:
            conn.sock.settimeout(self._idle_timeout_s)
        self._has_first_event = True

    def _finish(self) -> None:
        """Read the rest of the response, since an engine may act on a disconnect."""
        conn = self._response.connection
        if conn is not None and conn.sock is not None:
            conn.sock.settimeout(_DRAIN_TIMEOUT_S)
        self._response.drain_conn()
        self.close()


def _split_lines(response) -> Iterator[bytes]:
    pending = b""
    for chunk in response.stream(amt=None):
        pending += chunk
        *lines, pending = pending.split(b"\n")
        for line in lines:
            if line:
                yield line


def _parse_token_event(data: bytes) -> Result[TokenEvent, EngineError]:
    match decode_as(data, _Event):
        case Ok(event) if event.choices:
            choice, reason = event.choices[0], event.choices[0].finish_reason
            return Ok(TokenEvent(event.id, event.offset, choice.text, reason or ""))
        case Ok(_):
            detail = "an event without a choice"
        case Err(detail):
            pass
    return Err(EngineError(EngineErrorKind.BROKEN, detail))


class HttpEngine:
    """Call one engine; satisfies ``interfaces.Engine``.

    Parameters
    ----------
    server : str
        Name of the backend server.
    address : str
        ``IP:port``.
    idle_timeout_s : float
        Time without a received byte after which a read fails as ``SILENT``, seconds.
    prefill_timeout_s : float
        Timeout of a prefill whose call sets none, seconds.
    """

    def __init__(
        self,
        server: str,
        address: str,
        idle_timeout_s: float = 5.0,
        prefill_timeout_s: float = 30.0,
    ):
        self._server = server
        self._address = address
        self._idle_timeout_s = idle_timeout_s
        self._prefill_timeout_s = prefill_timeout_s
        host, _, port = address.rpartition(":")
        self._pool = SingleUsePool(host, int(port), retries=False)

    def prefill(self, call: PrefillCall) -> Result[KvHandle, EngineError]:
        """Compute the KV cache of a prompt and keep it for a decode server."""
        body = {
            "model": _model_name(call),
            "prompt": call.prompt,
            "generated": call.generated,
            "max_tokens": 1,
            "priority": call.priority,
            "kv_transfer_params": {"do_remote_decode": True},
        }
        headers = {"X-Request-Id": call.attempt_id}
        result = self._request_json(
            _Prefilled,
            "POST",
            "/v1/completions",
            body,
            headers,
            call.timeout_s or self._prefill_timeout_s,
        )
        return result.map(lambda prefilled: self._to_handle(prefilled))

    def _to_handle(self, prefilled: _Prefilled) -> KvHandle:
        params = prefilled.kv_transfer_params
        return KvHandle(
            self._server,
            params.remote_address,
            params.remote_handle,
            params.lifetime_s,
        )

    def decode(self, call: DecodeCall) -> Result[HttpTokenStream, EngineError]:
        """Import a KV cache and stream the generated tokens."""
        body = {
            "model": _model_name(call),
            "prompt": call.prompt,
            "generated": call.generated,
            "max_tokens": call.max_output_tokens,
            "offset": call.offset,
            "stream": True,
            "priority": call.priority,
        }
        if call.handle is not None:
            body["kv_transfer_params"] = {
                "do_remote_prefill": True,
                "remote_handle": call.handle.handle,
                "remote_address": call.handle.address,
                "kv_bytes": call.handle.kv_bytes,
            }
        headers = {"X-Request-Id": call.attempt_id}
        timeout_s = call.first_token_timeout_s or self._idle_timeout_s
        result = self._request("POST", "/v1/completions", body, headers, timeout_s)
        return result.map(lambda response: self._new_stream(response, call.attempt_id))

    def _new_stream(self, response, attempt_id: str) -> HttpTokenStream:
        return HttpTokenStream(response, attempt_id, self._idle_timeout_s)

    def resume(
        self, attempt_id: str, offset: int
    ) -> Result[HttpTokenStream, EngineError]:
        """Reconnect to a running stream at an offset."""
        result = self._request("GET", f"/v1/requests/{attempt_id}?offset={offset}")
        return result.map(lambda response: self._new_stream(response, attempt_id))

    def cancel(self, attempt_id: str) -> Result[bool, EngineError]:
        """Release all holds of an attempt and return whether it had any."""
        path = f"/v1/requests/{attempt_id}"
        return self._request_json(_Cancelled, "DELETE", path).map(
            lambda cancelled: cancelled.held
        )

    def holds(self) -> Result[tuple[Hold, ...], EngineError]:
        """List the holds of all attempts."""
        return self._request_json(_Holds, "GET", "/v1/requests").map(
            lambda listed: listed.holds
        )

    def load(self) -> Result[LoadReport, EngineError]:
        """Read the latest load report, which lags behind the actual load."""
        return self._request_json(_Load, "GET", "/load").map(
            lambda load: LoadReport(self._server, **msgspec.structs.asdict(load))
        )

    def cache_events(self, after: int) -> Result[CacheEvents, EngineError]:
        """Read the cache events after a sequence number."""
        return self._request_json(_Events, "GET", f"/kv-events?after={after}").map(
            lambda body: CacheEvents(self._server, body.events, body.last_sequence)
        )

    def order(self, order: Order) -> Result[None, EngineError]:
        """Send an order to the engine."""
        return self._request_json(Any, "POST", "/orders", attrs.asdict(order)).map(
            lambda _: None
        )

    def _request(self, method, path, body=None, headers=None, read_timeout_s=None):
        try:
            response = self._pool.urlopen(
                method,
                path,
                body=None if body is None else json.dumps(body).encode(),
                headers={"Content-Type": "application/json", **(headers or {})},
                timeout=urllib3.Timeout(
                    connect=_CONNECT_TIMEOUT_S,
                    read=read_timeout_s or self._idle_timeout_s,
                ),
                preload_content=False,
                retries=False,
            )
        except HTTP_ERRORS as exc:
            return Err(to_engine_error(exc))
        if response.status < 300:
            return Ok(response)
        kind = _ERROR_KINDS.get(response.status, EngineErrorKind.FAILED)
        detail = f"status {response.status}"
        response.drain_conn()
        response.release_conn()
        return Err(EngineError(kind, detail))

    def _request_json(
        self, kind: type[T], method, path, body=None, headers=None, read_timeout_s=None
    ) -> Result[T, EngineError]:
        """Return the body of an answer; one of another type is a broken answer."""
        result = self._request(method, path, body, headers, read_timeout_s)
        if result.is_err():
            return result
        response = result.unwrap()
        try:
            data = response.read()
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as exc:
            return Err(EngineError(EngineErrorKind.BROKEN, str(exc)))
        finally:
            response.release_conn()
        return decode_as(data, kind).map_err(
            lambda reason: EngineError(EngineErrorKind.BROKEN, reason)
        )


def _model_name(call) -> str:
    return f"{call.model}:{call.adapter}" if call.adapter else call.model
