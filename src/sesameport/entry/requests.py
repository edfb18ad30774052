"""Define caller requests and the interface for calls to backend servers."""

import enum
from collections.abc import Callable, Iterator
from typing import Protocol

import attrs
from result import Err, Ok, Result

from sesameport.entry.configuration import EntryRoute

__all__ = [
    "IncompleteResponse",
    "CallFailure",
    "CallInterrupted",
    "CallerDisconnected",
    "CallerConnection",
    "EntryRequest",
    "FailureKind",
    "INTERRUPTED",
    "KvSource",
    "MemoryLease",
    "OpenResponse",
    "PrefillResult",
    "ServerClient",
    "TokenCounts",
    "MAX_BUFFERED_BYTES",
    "forward_rest",
    "read_body",
    "read_response",
]


MAX_BUFFERED_BYTES = 16_384
"""Largest response that is read completely before it is sent to the caller, bytes. An
incomplete response can then be replaced by that of another server. The limit keeps
memory bounded while servers send bodies without end to many requests."""


@attrs.frozen
class TokenCounts:
    """Represent the size of a generation in tokens.

    ``expected_output`` is the caller's estimate or None. Estimates are accurate in the
    median, but a single one may be far off.
    """

    prompt: int
    max_output: int
    expected_output: int | None = None

    def total(self) -> int:
        """Return the tokens that are charged to the workspace."""
        return self.prompt + self.max_output


@attrs.frozen
class EntryRequest:
    """Represent a caller's request as it is forwarded to servers.

    Attributes
    ----------
    request_id : str
        Id set by the caller; each attempt of the caller has its own.
    method, target : str
        Method and request target, unchanged.
    headers : tuple of (str, str)
        Headers that are forwarded.
    body : bytes
        Whole body.
    received_at, deadline : float
        Monotonic times at which the request was read and by which it must be answered,
        seconds.
    caller_wait_s : float
        Time that the caller is willing to wait, as stated in the request, seconds.
    tokens : TokenCounts or None
        Size of a generation.
    prompt_parts : tuple of str
        Ids of the parts of the prompt that other requests may have too, in order.
    allowed_regions : frozenset of str or None
        Regions of the servers that it may reach, None for all.
    prompt_part_tokens : tuple of int
        Tokens of each of these parts; 0 if unknown.
    resume_after : str
        Id of the last event that the caller received; empty for a new stream.
    rank : int or None
        Rank by which engines admit a generation, 0 to 9 with 0 first; None if all
        callers of its service have the same.
    """

    request_id: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    received_at: float
    deadline: float
    caller_wait_s: float
    tokens: TokenCounts | None = None
    resume_after: str = ""
    workspace: str = ""
    route: EntryRoute | None = None
    prompt_parts: tuple[str, ...] = ()
    allowed_regions: frozenset[str] | None = None
    prompt_part_tokens: tuple[int, ...] = ()
    rank: int | None = None


class FailureKind(enum.StrEnum):
    """Name how a call to a backend server failed.

    After ``UNREACHABLE``, ``REFUSED`` and ``WRONG_SERVER`` the request has not run at
    that server. ``NOT_SENT`` means that the server did not get it. After ``BROKEN`` and
    ``TIMEOUT`` it may have run. It may also have run after ``CALLER_LEFT`` and, if this
    host stopped meanwhile, ``INTERRUPTED``, which are no failures of the server.
    """

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    WRONG_SERVER = "wrong-server"
    NOT_SENT = "not-sent"
    BROKEN = "broken"
    TIMEOUT = "timeout"
    CALLER_LEFT = "caller-left"
    INTERRUPTED = "host-stopping"

    def has_not_run(self) -> bool:
        """Return whether the request certainly did not run."""
        return self in (
            FailureKind.UNREACHABLE,
            FailureKind.REFUSED,
            FailureKind.WRONG_SERVER,
            FailureKind.NOT_SENT,
        )

    def is_of_server(self) -> bool:
        """Return whether the server or the way to it has failed."""
        return self not in (FailureKind.CALLER_LEFT, FailureKind.INTERRUPTED)

    def has_arrived(self) -> bool:
        """Return whether the request may have reached the server."""
        return self not in (FailureKind.UNREACHABLE, FailureKind.NOT_SENT)


@attrs.frozen
class CallFailure:
    """Represent a failed call, with a detail for the log."""

    kind: FailureKind
    detail: str = ""


INTERRUPTED = CallFailure(FailureKind.INTERRUPTED, "this host stops")


class CallerDisconnected(Exception):
    """Raised when the caller has closed its connection."""


class CallInterrupted(Exception):
    """Raised when this host ends before a response is complete."""


class IncompleteResponse(Exception):
    """Raised when a response ends before it is complete."""


class CallerConnection(Protocol):
    """Provide access to the connection of a request's caller."""

    def fileno(self) -> int:
        """Return the file descriptor of the caller's connection."""
        ...

    def is_disconnected(self) -> bool:
        """Return whether the caller closed its connection."""
        ...


@attrs.frozen
class PrefillResult:
    """Identify the KV cache of a prompt by its server's address and the handle."""

    address: str
    handle: str
    tokens: int


@attrs.frozen
class KvSource:
    """Locate the KV cache of a prompt for a decode server.

    ``server`` is the id of the prefill server, ``address`` its ``IP:port``.
    """

    address: str
    handle: str
    server: str = ""


@attrs.frozen
class MemoryLease:
    """Identify memory that an engine holds for one request, by its address and id."""

    address: str
    server: str
    lease_id: str


class OpenResponse(Protocol):
    """Provide the response of a backend server whose body is not read yet.

    Attributes
    ----------
    status : int
        Status code.
    headers : tuple of (str, str)
        Headers that are forwarded.
    is_signed : bool
        Whether the response has the signature of a server.
    is_delimited : bool
        Whether it has a length or chunks. Otherwise it ends with its connection.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    is_signed: bool
    is_delimited: bool

    def chunks(self) -> Iterator[bytes]:
        """Yield the body as it arrives.

        Raises
        ------
        IncompleteResponse
            If the response ends before it is complete.
        CallerDisconnected
            If the caller disconnects meanwhile.
        TimeoutError
            If the deadline of the request passed.
        CallInterrupted
            If this host ends meanwhile.
        """
        ...

    def extend_deadline(self, deadline: float) -> None:
        """Allow the rest of the body until a later monotonic time, seconds."""
        ...

    def close(self) -> None:
        """Close the connection, which cancels a request that is still running."""
        ...


class ServerClient(Protocol):
    """Call backend servers, each call on its own connection."""

    def prefill(
        self,
        address: str,
        server: str,
        req: EntryRequest,
        caller: CallerConnection,
        attempt_timeout_s: float,
    ) -> Result[PrefillResult, CallFailure]:
        """Run a prefill within ``attempt_timeout_s``; the server keeps the KV cache."""
        ...

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
        """Run a request and return its response once the status is known.

        The timeout is ``attempt_timeout_s``, or the deadline of the request without it.
        ``lease`` is memory that the server holds for the request.
        """
        ...

    def lease_memory(
        self, address: str, server: str, tokens: int, seconds: float
    ) -> Result[MemoryLease, CallFailure]:
        """Lease KV cache and a slot; the failure is ``REFUSED`` if there is no room."""
        ...

    def release_memory(self, lease: MemoryLease) -> None:
        """Release a lease that is not used."""
        ...

    def free(self, source: KvSource) -> Result[None, str]:
        """Release the KV cache of a prefill that is not used."""
        ...

    def refuses_connections(self, address: str) -> bool:
        """Return whether no process listens at the address of a server."""
        ...


def read_body(response: OpenResponse, max_bytes: int) -> Result[bytes, CallFailure]:
    """Return the body of a response and close the response.

    A body of more than ``max_bytes`` is a failure.
    """
    try:
        body = _read_up_to(response.chunks(), max_bytes)
    except _READ_ERRORS as exc:
        return Err(_to_read_failure(exc))
    finally:
        response.close()
    if len(body) > max_bytes:
        return Err(CallFailure(FailureKind.BROKEN, f"body exceeds {max_bytes} bytes"))
    return Ok(body)


def read_response(
    response: OpenResponse, chunks: Iterator[bytes]
) -> Result[tuple, CallFailure]:
    """Return the status, headers and body of a response for a caller.

    A success status without the server's signature is a failure. If the body has more
    than ``MAX_BUFFERED_BYTES``, only its first part is returned, and ``chunks`` has the
    rest. The response stays open in this case only.
    """
    if 200 <= response.status < 300 and not response.is_signed:
        response.close()
        return Err(CallFailure(FailureKind.BROKEN, "success without signature"))
    try:
        body = _read_up_to(chunks, MAX_BUFFERED_BYTES)
    except _READ_ERRORS as exc:
        response.close()
        return Err(_to_read_failure(exc))
    if len(body) <= MAX_BUFFERED_BYTES:
        response.close()
    return Ok((response.status, response.headers, body))


def forward_rest(
    chunks: Iterator[bytes], send: Callable[[bytes], None]
) -> CallFailure | None:
    """Send the rest of a body as it arrives; return why it is incomplete, or None."""
    try:
        for chunk in chunks:
            send(chunk)
    except _READ_ERRORS as exc:
        return _to_read_failure(exc)
    return None


def _read_up_to(chunks: Iterator[bytes], max_bytes: int) -> bytes:
    """Return a body, or its first part if it has more than ``max_bytes``."""
    parts, size = [], 0
    for chunk in chunks:
        parts.append(chunk)
        size += len(chunk)
        if size > max_bytes:
            break
    return b"".join(parts)


_READ_ERRORS = (IncompleteResponse, TimeoutError, CallerDisconnected, CallInterrupted)


def _to_read_failure(exc: Exception) -> CallFailure:
    if isinstance(exc, CallerDisconnected):
        return CallFailure(FailureKind.CALLER_LEFT)
    if isinstance(exc, CallInterrupted):
        return INTERRUPTED
    if isinstance(exc, TimeoutError):
        return CallFailure(FailureKind.TIMEOUT, str(exc))
    return CallFailure(FailureKind.BROKEN, str(exc))
