"""Reach model engines over their OpenAI-compatible HTTP API."""

import json
from collections.abc import Iterator

import attrs
import urllib3
from result import Err, Ok, Result

from sesameport.adapters.http_errors import HTTP_ERRORS, to_engine_error
from sesameport.interfaces import (
    CacheEvent,
    CacheEvents,
    DecodeCall,
    EngineError,
    EngineErrorKind,
    Hold,
    HoldKind,
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
_CONNECT_S = 1.0
_END_S = 0.1


class HttpTokenStream:
    """Iterate over the server-sent events of one decode."""

    def __init__(self, answer, attempt_id: str, silent_s: float):
        self._answer = answer
        self._attempt_id = attempt_id
        self._silent_s = silent_s
        self._began = False
        self._ended = False

    def close(self) -> None:
        """Close the connection, so that the engine sees that nobody reads."""
        self._ended = True
        self._answer.close()

    def __iter__(self) -> Iterator[Result[TokenEvent, EngineError]]:
        """Yield token events; an error is the last item."""
        try:
            for line in _lines(self._answer):
                if not line.startswith(b"data: ") or line == b"data: [DONE]":
                    continue
                event = _token_event(json.loads(line[6:]))
                self._begin()
                yield Ok(event)
                if event.finish_reason:
                    self._finish()
                    return
            yield Err(EngineError(EngineErrorKind.BROKEN, "stream without end mark"))
        except urllib3.exceptions.ReadTimeoutError as exc:
            yield Err(EngineError(EngineErrorKind.SILENT, str(exc)))
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as exc:
            yield Err(EngineError(EngineErrorKind.BROKEN, str(exc)))
        except AttributeError as exc:
            # urllib3 drops its file object when another thread closes the answer.
            yield Err(EngineError(EngineErrorKind.BROKEN, f"closed: {exc}"))
        finally:
            if not self._ended:
                self.close()

    def _begin(self) -> None:
        """Replace the bound of the first token by that of a silent connection."""
        conn = self._answer.connection
        if not self._began and conn is not None and conn.sock is not None:
            conn.sock.settimeout(self._silent_s)
        self._began = True

    def _finish(self) -> None:
        """Read what follows the end mark, so that the connection can be used again."""
        conn = self._answer.connection
        if conn is not None and conn.sock is not None:
            # The answer is whole; a server that is slow to end it delays nobody.
            conn.sock.settimeout(_END_S)
        self._answer.drain_conn()
        self._answer.release_conn()
        self._ended = True


def _lines(answer) -> Iterator[bytes]:
    pending = b""
    for chunk in answer.stream(amt=None):
        pending += chunk
        *lines, pending = pending.split(b"\n")
        for line in lines:
            if line:
                yield line


def _token_event(body: dict) -> TokenEvent:
    choice = body["choices"][0]
    return TokenEvent(
        body["id"], body["offset"], choice["text"], choice["finish_reason"] or ""
    )


class HttpEngine:
    """Call one engine; satisfies ``interfaces.Engine``.

    Parameters
    ----------
    server : str
        Name of the backend server.
    address : str
        ``IP:port``.
    silent_s : float
        Time without a byte after which a connection counts as silent, seconds.
    prefill_bound_s : float
        Longest time for a prefill, seconds.
    """

    def __init__(
        self,
        server: str,
        address: str,
        silent_s: float = 5.0,
        prefill_bound_s: float = 30.0,
    ):
        self._server = server
        self._address = address
        self._silent_s = silent_s
        self._prefill_bound_s = prefill_bound_s
        host, _, port = address.rpartition(":")
        self._pool = urllib3.HTTPConnectionPool(
            host, int(port), maxsize=32, block=False, retries=False
        )

    def prefill(self, call: PrefillCall) -> Result[KvHandle, EngineError]:
        """Compute and keep the KV cache of a prompt."""
        body = {
            "model": _model(call),
            "prompt": call.prompt,
            "generated": call.generated,
            "max_tokens": 1,
            "priority": call.priority,
            "kv_transfer_params": {"do_remote_decode": True},
        }
        headers = {"X-Request-Id": call.attempt_id}
        found = self._json(
            "POST",
            "/v1/completions",
            body,
            headers,
            call.bound_s or self._prefill_bound_s,
        )
        return found.map(self._handle)

    def _handle(self, body: dict) -> KvHandle:
        params = body["kv_transfer_params"]
        return KvHandle(
            self._server,
            params["remote_address"],
            params["remote_handle"],
            params["lifetime_s"],
        )

    def decode(self, call: DecodeCall) -> Result[HttpTokenStream, EngineError]:
        """Import a KV cache and stream tokens."""
        body = {
            "model": _model(call),
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
        bound_s = call.first_token_s or self._silent_s
        found = self._open("POST", "/v1/completions", body, headers, bound_s)
        return found.map(lambda answer: self._stream(answer, call.attempt_id))

    def _stream(self, answer, attempt_id: str) -> HttpTokenStream:
        return HttpTokenStream(answer, attempt_id, self._silent_s)

    def resume(
        self, attempt_id: str, offset: int
    ) -> Result[HttpTokenStream, EngineError]:
        """Attach again to a running stream from an offset."""
        found = self._open("GET", f"/v1/requests/{attempt_id}?offset={offset}")
        return found.map(lambda answer: self._stream(answer, attempt_id))

    def cancel(self, attempt_id: str) -> Result[bool, EngineError]:
        """Release everything that an attempt holds."""
        found = self._json("DELETE", f"/v1/requests/{attempt_id}")
        return found.map(lambda body: bool(body["held"]))

    def holds(self) -> Result[tuple[Hold, ...], EngineError]:
        """List what attempts hold."""
        return self._json("GET", "/v1/requests").map(_holds)

    def load(self) -> Result[LoadReport, EngineError]:
        """Read the lagging load report."""
        found = self._json("GET", "/load")
        return found.map(lambda body: LoadReport(server=self._server, **body))

    def cache_events(self, after: int) -> Result[CacheEvents, EngineError]:
        """Read cache events after a sequence number."""
        return self._json("GET", f"/kv-events?after={after}").map(self._cache_events)

    def _cache_events(self, body: dict) -> CacheEvents:
        events = tuple(CacheEvent(**item) for item in body["events"])
        return CacheEvents(self._server, events, body["last_sequence"])

    def order(self, order: Order) -> Result[None, EngineError]:
        """Give an order."""
        return self._json("POST", "/orders", attrs.asdict(order)).map(lambda _: None)

    def _open(self, method, path, body=None, headers=None, read_s=None):
        try:
            answer = self._pool.urlopen(
                method,
                path,
                body=None if body is None else json.dumps(body).encode(),
                headers={"Content-Type": "application/json", **(headers or {})},
                timeout=urllib3.Timeout(
                    connect=_CONNECT_S, read=read_s or self._silent_s
                ),
                preload_content=False,
                retries=False,
            )
        except HTTP_ERRORS as exc:
            return Err(to_engine_error(exc))
        if answer.status < 300:
            return Ok(answer)
        kind = _ERROR_KINDS.get(answer.status, EngineErrorKind.FAILED)
        detail = f"status {answer.status}"
        answer.drain_conn()
        answer.release_conn()
        return Err(EngineError(kind, detail))

    def _json(self, method, path, body=None, headers=None, read_s=None):
        found = self._open(method, path, body, headers, read_s)
        if found.is_err():
            return found
        answer = found.unwrap()
        try:
            return Ok(json.loads(answer.read()))
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as exc:
            return Err(EngineError(EngineErrorKind.BROKEN, str(exc)))
        finally:
            answer.release_conn()


def _model(call) -> str:
    return f"{call.model}:{call.adapter}" if call.adapter else call.model


def _holds(body: dict) -> tuple[Hold, ...]:
    holds = []
    for item in body["holds"]:
        kind = HoldKind(item["kind"])
        holds.append(Hold(item["attempt_id"], kind, item["age_s"], item["idle_s"]))
    return tuple(holds)
