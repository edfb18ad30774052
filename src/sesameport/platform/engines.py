"""Send requests to replicas of the users' platform.

``ReplicaClient`` implements the protocol ``ServerClient`` of ``sesameport.entry``.
"""

import re
import socket
import time
from collections.abc import Iterator
from urllib.parse import quote

import attrs
import urllib3
from result import Err, Ok, Result

from sesameport.adapters.cancellable_socket import (
    Account,
    CancellableSocket,
    ReadInterrupt,
    ReadLimitExceeded,
)
from sesameport.adapters.sockets import (
    refuses_connections,
)
from sesameport.adapters.strict_responses import (
    MAX_HEAD_BYTES,
    StrictClientConnection,
)
from sesameport.entry.requests import (
    INTERRUPTED,
    CallerConnection,
    CallerDisconnected,
    CallFailure,
    CallInterrupted,
    EntryRequest,
    FailureKind,
    IncompleteResponse,
    KvSource,
    MemoryLease,
    OpenResponse,
    PrefillResult,
    read_body,
)
from sesameport.entry.server_notices import OnNotice
from sesameport.platform import header_names
from sesameport.platform.json_members import decode_json
from sesameport.platform.memory_leases import lease_memory, release_memory
from sesameport.platform.notices import report_notice
from sesameport.platform.second_answers import SecondAnswerCheck
from sesameport.platform.short_calls import (
    HTTP_ERRORS,
    SOCKET_OPTIONS,
    make_short_call,
)

__all__ = ["ReplicaClient"]

CONNECT_TIMEOUT_S = 0.4
"""Timeout of one connection attempt, seconds.

A round trip takes a few milliseconds. If the attempt fails, enough time must remain to
reach another server within the request's latency target.
"""

FREE_TIMEOUT_S = 0.5
"""Timeout of the call that frees a KV cache handle, seconds.

The handle expires soon in any case.
"""

LISTEN_CHECK_TIMEOUT_S = 0.2
"""Timeout of the check whether a replica still listens, seconds.

A machine whose process has ended answers in a round trip.
"""

READ_SIZE_BYTES = 8_192
"""Largest part of a body that is read at once, bytes."""

MAX_FRAMING_BYTES = 65_536
"""Bytes that may arrive before the next part of a body: chunk sizes, trailers and what
is read ahead."""

MAX_PREFILL_RESPONSE_BYTES = 65_536
"""Largest response of a prefill, which contains a handle, bytes."""

_HANDLE = re.compile(r"[!-~]{1,1024}")
"""Handles that can stand in a header."""

_PATH_CHARS = "/:@!$&'()*+,;=~"
"""Characters that stand in a path as they are (RFC 3986)."""

MAX_BODY_BYTES = 67_108_864
"""Largest body of a response, bytes. A faulty server may send a body without an end."""


@attrs.define
class _ReplicaResponse:
    """Represent a response whose body has not been read yet."""

    status: int
    headers: tuple[tuple[str, str], ...]
    is_signed: bool
    is_delimited: bool
    _conn: StrictClientConnection
    _sock: CancellableSocket
    _response: urllib3.response.HTTPResponse
    _second_answers: SecondAnswerCheck

    def chunks(self) -> Iterator[bytes]:
        """Yield the body as it arrives; see ``OpenResponse`` for the exceptions."""
        received = 0
        try:
            for chunk in self._parts():
                received += len(chunk)
                if received > MAX_BODY_BYTES:
                    raise ReadLimitExceeded(f"body exceeds {MAX_BODY_BYTES} bytes")
                self._second_answers.feed(chunk)
                yield chunk
        except HTTP_ERRORS as exc:
            if self._sock.caller_disconnected:
                raise CallerDisconnected from exc
            if self._sock.timed_out:
                raise TimeoutError("deadline passed") from exc
            if self._sock.interrupted:
                raise CallInterrupted from exc
            raise IncompleteResponse(repr(exc)) from exc
        finally:
            self.close()

    def _parts(self) -> Iterator[bytes]:
        self._sock.allow_bytes(READ_SIZE_BYTES + MAX_FRAMING_BYTES)
        if self._response.chunked:
            for chunk in self._response.read_chunked(
                READ_SIZE_BYTES, decode_content=False
            ):
                yield chunk
                self._sock.allow_bytes(READ_SIZE_BYTES + MAX_FRAMING_BYTES)
            return
        while True:
            chunk = self._response.read1(READ_SIZE_BYTES, decode_content=False)
            if not chunk:
                return
            yield chunk
            self._sock.allow_bytes(READ_SIZE_BYTES + MAX_FRAMING_BYTES)

    def extend_deadline(self, deadline: float) -> None:
        """Allow reads until a later monotonic time, seconds."""
        self._sock.extend_deadline(deadline)

    def close(self) -> None:
        """Close the connection."""
        self._sock.stop_charging()
        self._conn.close()


class ReplicaClient:
    """Send requests to replicas, each on a new connection.

    A reused connection may no longer carry data, may be closed by the replica while a
    request is sent, or may still contain the end of an earlier response. A new
    connection avoids these faults and costs a round trip of a few milliseconds.

    Parameters
    ----------
    on_notice : callable
        Called with what each answer says of its replica.
    account : Account or None
        Memory that large parts of answers are charged to.
    buffer_bytes : int
        Size of the receive buffer of each connection, bytes; 0 leaves it to the system.
    interrupt : ReadInterrupt or None
        Ends requests that wait for an answer when the process ends.
    """

    def __init__(
        self,
        on_notice: OnNotice,
        account: Account | None = None,
        buffer_bytes: int = 0,
        interrupt: ReadInterrupt | None = None,
    ):
        self._interrupt = interrupt
        self._on_notice = on_notice
        self._socket_options = list(SOCKET_OPTIONS)
        if buffer_bytes:
            # By default the system takes megabytes that the caller does not read.
            option = (socket.SOL_SOCKET, socket.SO_RCVBUF, buffer_bytes)
            self._socket_options.append(option)
        self._account = account

    def prefill(
        self,
        address: str,
        server: str,
        req: EntryRequest,
        caller: CallerConnection,
        attempt_timeout_s: float,
    ) -> Result[PrefillResult, CallFailure]:
        """Run the prefill of a prompt and return the handle of its KV cache."""
        extra_headers = [(header_names.STAGE, "prefill")]
        match self._open_response(
            address, server, req, caller, extra_headers, attempt_timeout_s
        ):
            case Err(failure):
                return Err(failure)
            case Ok(response):
                pass
        match read_body(response, MAX_PREFILL_RESPONSE_BYTES):
            case Err(failure):
                return Err(failure)
            case Ok(body):
                pass
        if response.status != 200:
            detail = f"prefill answered {response.status}"
            return Err(CallFailure(FailureKind.BROKEN, detail))
        return _decode_prefill(address, body).map_err(
            lambda reason: CallFailure(FailureKind.BROKEN, f"prefill answer: {reason}")
        )

    def run(
        self,
        address: str,
        server: str,
        req: EntryRequest,
        caller: CallerConnection,
        source: KvSource | None = None,
        attempt_timeout_s: float | None = None,
        lease: MemoryLease | None = None,
    ) -> Result[OpenResponse, CallFailure]:
        """Send a request and return the response once its headers have arrived."""
        extra_headers = []
        if lease is not None:
            extra_headers.append((header_names.KV_LEASE, lease.lease_id))
        if source is not None:
            extra_headers.append(
                (header_names.KV_SOURCE, f"{source.address}/{source.handle}")
            )
        return self._open_response(
            address, server, req, caller, extra_headers, attempt_timeout_s
        )

    def lease_memory(
        self, address: str, server: str, tokens: int, seconds: float
    ) -> Result[MemoryLease, CallFailure]:
        """Lease memory and a slot of a replica for a request that is sent later."""
        return lease_memory(address, server, tokens, seconds)

    def release_memory(self, lease: MemoryLease) -> None:
        """Release a lease; if the call fails, it ends at its expiry."""
        release_memory(lease)

    def free(self, source: KvSource) -> Result[None, str]:
        """Free the KV cache of a prefill.

        If the call fails, the replica frees the cache when its handle expires.
        """
        path = f"/v1/kv-handle/{quote(source.handle, safe=_PATH_CHARS)}"
        match make_short_call(source.address, "DELETE", path, {}, FREE_TIMEOUT_S):
            case Err(reason):
                return Err(reason)
            case Ok(answer):
                pass
        report_notice(self._on_notice, source.server, answer.status, answer.headers)
        return Ok(None)

    def refuses_connections(self, address: str) -> bool:
        """Return whether no process listens at the address of a replica."""
        return refuses_connections(address, LISTEN_CHECK_TIMEOUT_S)

    def _open_response(
        self, address, server, req, caller, extra_headers, attempt_timeout_s
    ) -> Result[OpenResponse, CallFailure]:
        host, _, port = address.rpartition(":")
        now = time.monotonic()
        remaining_s = req.deadline - now
        if remaining_s <= 0:
            return Err(CallFailure(FailureKind.TIMEOUT, "no time left"))
        attempt_deadline = req.deadline
        if attempt_timeout_s is not None:
            attempt_deadline = min(attempt_deadline, now + attempt_timeout_s)
        conn = StrictClientConnection(
            host,
            int(port),
            timeout=min(CONNECT_TIMEOUT_S, remaining_s),
            socket_options=self._socket_options,
        )
        try:
            conn.connect()
        except HTTP_ERRORS as exc:
            conn.close()
            return Err(CallFailure(FailureKind.UNREACHABLE, repr(exc)))
        if caller.is_disconnected():
            conn.close()
            return Err(CallFailure(FailureKind.CALLER_LEFT))
        conn.timeout = max(0.001, req.deadline - time.monotonic())
        conn.sock = sock = CancellableSocket.wrap(
            conn.sock, caller, attempt_deadline, self._account, self._interrupt
        )
        sock.allow_bytes(MAX_HEAD_BYTES)
        try:
            self._send_request(conn, server, req, extra_headers)
            response = conn.getresponse()
        except HTTP_ERRORS as exc:
            sock.stop_charging()
            conn.close()
            return Err(_to_call_failure(sock, exc))
        failure = _check_head(response, req)
        if not _echoes_another_request(response, req):
            report_notice(self._on_notice, server, response.status, response.headers)
        if failure is not None:
            sock.stop_charging()
            conn.close()
            return Err(failure)
        return Ok(
            _ReplicaResponse(
                response.status,
                tuple(
                    (name, value)
                    for name, value in response.headers.items()
                    if name.lower() not in header_names.HOP_BY_HOP_HEADERS
                ),
                header_names.RESPONSE_SEAL in response.headers,
                response.chunked or "content-length" in response.headers,
                conn,
                sock,
                response,
                SecondAnswerCheck(req.request_id),
            )
        )

    def _send_request(
        self,
        conn: StrictClientConnection,
        server: str,
        req: EntryRequest,
        extra_headers,
    ):
        headers = urllib3.HTTPHeaderDict()
        for name, value in req.headers:
            headers.add(name, value)
        for name, value in extra_headers:
            headers[name] = value
        if req.resume_after:
            headers[header_names.LAST_EVENT_ID] = req.resume_after
        if req.workspace:
            headers[header_names.TENANT] = req.workspace
        if req.rank is not None:
            headers[header_names.REQUEST_PRIORITY] = str(req.rank)
        headers[header_names.EXPECT_INSTANCE] = server
        # Rounding down keeps a replica from working past the caller's deadline.
        headers[header_names.DEADLINE_MS] = str(
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
            # A replica may respond, and stop reading, before it has received the whole
            # request. Its response is read next, and must show its own end.
            return


def _decode_prefill(address: str, body: bytes) -> Result[PrefillResult, str]:
    """Return the result of a prefill, or an Err with the reason, for any bytes.

    The handle is sent to a decode server in a header and to this replica in a path.
    """
    match decode_json(body):
        case Ok(dict(data)):
            handle, tokens = data.get("kvHandle"), data.get("tokens")
        case Ok(_):
            return Err("no object")
        case Err(reason):
            return Err(reason)
    if not isinstance(handle, str) or not _HANDLE.fullmatch(handle):
        return Err("no handle that can stand in a header")
    if type(tokens) is not int or tokens < 0:
        return Err("no number of tokens")
    return Ok(PrefillResult(address, handle, tokens))


def _to_call_failure(sock: CancellableSocket, exc: Exception) -> CallFailure:
    if sock.caller_disconnected:
        return CallFailure(FailureKind.CALLER_LEFT)
    if sock.timed_out:
        return CallFailure(FailureKind.TIMEOUT, "no answer in time")
    if sock.interrupted:
        return INTERRUPTED
    return CallFailure(FailureKind.BROKEN, repr(exc))


def _echoes_another_request(response, req: EntryRequest) -> bool:
    """Return whether an answer is a late one to another request."""
    echoed = response.headers.get(header_names.REQUEST_ID)
    return echoed is not None and echoed != req.request_id


def _check_head(response, req: EntryRequest) -> CallFailure | None:
    """Return why a response must not be forwarded, or None if it may be.

    Only the status and the headers are checked.
    """
    detail = f"status {response.status}"
    if response.status == 421:
        return CallFailure(FailureKind.WRONG_SERVER, detail)
    if header_names.NOT_EXECUTED in response.headers:
        return CallFailure(FailureKind.REFUSED, detail)
    if _echoes_another_request(response, req):
        return CallFailure(FailureKind.BROKEN, "the answer of another request")
    if "content-encoding" in response.headers:
        return CallFailure(FailureKind.BROKEN, "an encoded body")
    if response.status < 200:
        return CallFailure(FailureKind.BROKEN, detail)
    return None
