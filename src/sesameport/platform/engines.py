"""Call replicas of the users' platform; satisfies ``entry.requests.ServerClient``."""

import http.client
import socket
import time
from collections.abc import Iterator

import attrs
import msgspec
import urllib3
from result import Err, Ok, Result
from urllib3.connection import HTTPConnection

from sesameport.adapters.sockets import SERVER_OPTIONS
from sesameport.adapters.watched_socket import WatchedSocket
from sesameport.entry.requests import (
    CallerConnection,
    CallerDisconnected,
    CallFailure,
    EntryRequest,
    FailureKind,
    IncompleteResponse,
    KvSource,
    OpenResponse,
    PrefillResult,
    read_body,
)
from sesameport.platform import names

__all__ = ["ReplicaCalls"]

CONNECT_S = 0.4
"""Bound of one connection attempt, seconds: a round trip is a few milliseconds, and a
request still has to reach another server within its target."""

FREE_S = 0.5
"""Bound of the call that frees a handle, which lapses by itself soon, seconds."""

READ_BYTES = 65_536

_ERRORS = (urllib3.exceptions.HTTPError, http.client.HTTPException, OSError, ValueError)
_OPTIONS = [(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1), *SERVER_OPTIONS]


@attrs.define
class _Answer:
    """Hold an answer whose body is still to be read."""

    status: int
    headers: tuple[tuple[str, str], ...]
    is_signed: bool
    _conn: HTTPConnection
    _sock: WatchedSocket
    _response: urllib3.response.HTTPResponse

    def chunks(self) -> Iterator[bytes]:
        """Yield the body as it arrives; see ``OpenResponse``."""
        try:
            if self._response.chunked:
                yield from self._response.read_chunked(decode_content=False)
                return
            while True:
                chunk = self._response.read1(READ_BYTES, decode_content=False)
                if not chunk:
                    return
                yield chunk
        except _ERRORS as exc:
            if self._sock.caller_left:
                raise CallerDisconnected from exc
            if self._sock.timed_out:
                raise TimeoutError("deadline passed") from exc
            raise IncompleteResponse(repr(exc)) from exc

    def close(self) -> None:
        """Close the connection."""
        self._conn.close()


class ReplicaCalls:
    """Call replicas, each call on a connection of its own.

    A kept connection can be silent, closed by the replica as the request is sent, or
    carry the rest of an earlier answer. A new one costs a round trip of a few
    milliseconds and rules these out.
    """

    def prefill(
        self,
        address: str,
        server: str,
        req: EntryRequest,
        caller: CallerConnection,
        within_s: float,
    ) -> Result[PrefillResult, CallFailure]:
        """Have a prompt read and its KV cache kept."""
        extra = [(names.STAGE, "prefill")]
        match self._open(address, server, req, caller, extra, within_s):
            case Err(failure):
                return Err(failure)
            case Ok(answer):
                pass
        match read_body(answer):
            case Err(failure):
                return Err(failure)
            case Ok(body):
                pass
        if answer.status != 200:
            detail = f"prefill answered {answer.status}"
            return Err(CallFailure(FailureKind.BROKEN, detail))
        try:
            data = msgspec.json.decode(body)
            return Ok(PrefillResult(address, data["kvHandle"], int(data["tokens"])))
        except (msgspec.DecodeError, KeyError, TypeError, ValueError) as exc:
            return Err(CallFailure(FailureKind.BROKEN, f"prefill answer: {exc!r}"))

    def run(
        self,
        address: str,
        server: str,
        req: EntryRequest,
        caller: CallerConnection,
        source: KvSource | None = None,
        within_s: float | None = None,
    ) -> Result[OpenResponse, CallFailure]:
        """Have a request run and return its answer once the status is known."""
        extra = []
        if source is not None:
            extra.append((names.KV_SOURCE, f"{source.address}/{source.handle}"))
        return self._open(address, server, req, caller, extra, within_s)

    def free(self, source: KvSource) -> Result[None, str]:
        """Free the KV cache of a prefill; it lapses by itself if this fails."""
        host, _, port = source.address.rpartition(":")
        conn = HTTPConnection(host, int(port), timeout=FREE_S, socket_options=_OPTIONS)
        try:
            conn.request("DELETE", f"/v1/kv-handle/{source.handle}")
            conn.getresponse()
        except _ERRORS as exc:
            return Err(repr(exc))
        finally:
            conn.close()
        return Ok(None)

    def _open(
        self, address, server, req, caller, extra, within_s
    ) -> Result[OpenResponse, CallFailure]:
        host, _, port = address.rpartition(":")
        now = time.monotonic()
        left_s = req.deadline - now
        if left_s <= 0:
            return Err(CallFailure(FailureKind.TIMEOUT, "no time left"))
        give_up_at = req.deadline
        if within_s is not None:
            give_up_at = min(give_up_at, now + within_s)
        conn = HTTPConnection(
            host, int(port), timeout=min(CONNECT_S, left_s), socket_options=_OPTIONS
        )
        try:
            conn.connect()
        except _ERRORS as exc:
            conn.close()
            return Err(CallFailure(FailureKind.UNREACHABLE, repr(exc)))
        if caller.is_disconnected():
            conn.close()
            return Err(CallFailure(FailureKind.CALLER_LEFT))
        conn.timeout = max(0.001, req.deadline - time.monotonic())
        conn.sock = sock = WatchedSocket.wrap(conn.sock, caller, give_up_at)
        try:
            self._send(conn, server, req, extra)
            response = conn.getresponse()
        except _ERRORS as exc:
            conn.close()
            return Err(_failure(sock, exc))
        result = _check(response, req)
        if result is not None:
            conn.close()
            return Err(result)
        return Ok(
            _Answer(
                response.status,
                tuple(
                    (name, value)
                    for name, value in response.headers.items()
                    if name.lower() not in names.HOP_HEADERS
                ),
                names.SEAL in response.headers,
                conn,
                sock,
                response,
            )
        )

    def _send(self, conn: HTTPConnection, server: str, req: EntryRequest, extra):
        headers = urllib3.HTTPHeaderDict()
        for name, value in req.headers:
            headers.add(name, value)
        for name, value in extra:
            headers[name] = value
        if req.resume_after:
            headers[names.LAST_EVENT_ID] = req.resume_after
        if req.workspace:
            headers[names.TENANT] = req.workspace
        headers[names.EXPECT_INSTANCE] = server
        # Rounded down, so that a replica never works past the caller's deadline.
        headers[names.DEADLINE_MS] = str(
            max(1, int((req.deadline - time.monotonic()) * 1000))
        )
        headers["Connection"] = "close"
        for name in ("user-agent", "accept-encoding"):
            if name not in headers:
                headers[name] = urllib3.util.SKIP_HEADER
        try:
            conn.request(
                req.method,
                req.target,
                body=req.body or None,
                headers=headers,
                preload_content=False,
                decode_content=False,
            )
        except (BrokenPipeError, ConnectionResetError):
            # A replica may answer a long request before it has read it whole.
            return


def _failure(sock: WatchedSocket, exc: Exception) -> CallFailure:
    if sock.caller_left:
        return CallFailure(FailureKind.CALLER_LEFT)
    if sock.timed_out:
        return CallFailure(FailureKind.TIMEOUT, "no answer in time")
    return CallFailure(FailureKind.BROKEN, repr(exc))


def _check(response, req: EntryRequest) -> CallFailure | None:
    """Tell what is wrong with the head of an answer, None if it can be passed on."""
    detail = f"status {response.status}"
    if response.status == 421:
        return CallFailure(FailureKind.WRONG_SERVER, detail)
    if names.NOT_EXECUTED in response.headers:
        return CallFailure(FailureKind.REFUSED, detail)
    echoed = response.headers.get(names.REQUEST_ID)
    if echoed is not None and echoed != req.request_id:
        return CallFailure(FailureKind.BROKEN, "the answer of another request")
    if "content-encoding" in response.headers:
        return CallFailure(FailureKind.BROKEN, "an encoded body")
    if response.status < 200:
        return CallFailure(FailureKind.BROKEN, detail)
    return None
