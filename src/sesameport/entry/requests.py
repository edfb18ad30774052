"""Describe a caller's request and what calls to backend servers give."""

import enum
from collections.abc import Iterator
from typing import Protocol

import attrs
from result import Err, Ok, Result

from sesameport.entry.contracts import EntryRoute

__all__ = [
    "AnswerBroken",
    "CallFailure",
    "CallerGone",
    "CallerWatch",
    "EntryRequest",
    "FailureKind",
    "KvSource",
    "OpenAnswer",
    "PrefillResult",
    "ServerCalls",
    "TokenCounts",
    "read_body",
    "read_response",
]


@attrs.frozen
class TokenCounts:
    """Give the size of a generation, tokens.

    ``expected_output`` is the caller's estimate, or None. It is close at the median
    but may be far off for a single request.
    """

    prompt: int
    max_output: int
    expected_output: int | None = None

    def total(self) -> int:
        """Return what the workspace is charged, tokens."""
        return self.prompt + self.max_output


@attrs.frozen
class EntryRequest:
    """Hold a caller's request as it is passed on.

    Attributes
    ----------
    request_id : str
        Id that the caller gave it; every attempt of a caller has its own.
    method, target : str
        Method and request target, unchanged.
    headers : tuple of (str, str)
        Headers that are passed on.
    body : bytes
        Whole body.
    received_at, deadline : float
        Monotonic times at which it was read and until which it has to be answered,
        seconds.
    caller_wait_s : float
        Time for which the caller said that it waits, seconds.
    tokens : TokenCounts or None
        Size of a generation.
    resume_after : str
        Id of the last event that the caller has; empty for a new stream.
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


class FailureKind(enum.StrEnum):
    """Name how a call to a backend server failed.

    After ``UNREACHABLE``, ``REFUSED``, ``WRONG_SERVER`` and ``KV_GONE`` the request
    has not run at that server. After ``BROKEN`` and ``TIMEOUT`` it may have run.
    """

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    WRONG_SERVER = "wrong-server"
    BROKEN = "broken"
    TIMEOUT = "timeout"
    CALLER_LEFT = "caller-left"

    def has_not_run(self) -> bool:
        """Tell whether the request certainly did not run."""
        return self in (
            FailureKind.UNREACHABLE,
            FailureKind.REFUSED,
            FailureKind.WRONG_SERVER,
        )


@attrs.frozen
class CallFailure:
    """Describe a failed call; ``detail`` is for the log."""

    kind: FailureKind
    detail: str = ""


class CallerGone(Exception):
    """Signal that the caller closed its connection."""


class AnswerBroken(Exception):
    """Signal that an answer ended before it was complete."""


class CallerWatch(Protocol):
    """Tell whether the caller of a request is still connected."""

    def fileno(self) -> int:
        """Return the descriptor of the caller's connection."""
        ...

    def has_left(self) -> bool:
        """Tell whether the caller closed its connection."""
        ...


@attrs.frozen
class PrefillResult:
    """Name the KV cache of a prompt: its server's address and the handle there."""

    address: str
    handle: str
    tokens: int


@attrs.frozen
class KvSource:
    """Tell a decode server where to fetch the KV cache of a prompt.

    ``server`` is the id of the prefill server, ``address`` its ``IP:port``.
    """

    address: str
    handle: str
    server: str = ""


class OpenAnswer(Protocol):
    """Read the answer of a backend server."""

    status: int
    headers: tuple[tuple[str, str], ...]
    is_signed: bool

    def chunks(self) -> Iterator[bytes]:
        """Yield the body as it arrives.

        Raises
        ------
        AnswerBroken
            If the answer ends before it is complete.
        CallerGone
            If the caller left meanwhile.
        TimeoutError
            If the deadline of the request passed.
        """
        ...

    def close(self) -> None:
        """Close the connection, which cancels a request that still runs."""
        ...


class ServerCalls(Protocol):
    """Call backend servers; every call has a connection of its own."""

    def prefill(
        self,
        address: str,
        server: str,
        req: EntryRequest,
        caller: CallerWatch,
        within_s: float,
    ) -> Result[PrefillResult, CallFailure]:
        """Have a prompt read and its KV cache kept, within ``within_s`` seconds."""
        ...

    def run(
        self,
        address: str,
        server: str,
        req: EntryRequest,
        caller: CallerWatch,
        source: KvSource | None = None,
        within_s: float | None = None,
    ) -> Result[OpenAnswer, CallFailure]:
        """Have a request run and return its answer once the status is known.

        The answer is awaited for ``within_s`` seconds, or to the request's deadline.
        """
        ...

    def free(self, source: KvSource) -> Result[None, str]:
        """Free the KV cache of a prefill that is not used."""
        ...


def read_body(answer: OpenAnswer) -> Result[bytes, CallFailure]:
    """Read an answer to its end and close it."""
    try:
        return Ok(b"".join(answer.chunks()))
    except AnswerBroken as exc:
        return Err(CallFailure(FailureKind.BROKEN, str(exc)))
    except TimeoutError as exc:
        return Err(CallFailure(FailureKind.TIMEOUT, str(exc)))
    except CallerGone:
        return Err(CallFailure(FailureKind.CALLER_LEFT))
    finally:
        answer.close()


def read_response(answer: OpenAnswer) -> Result[tuple, CallFailure]:
    """Read an answer for a caller; Ok holds its status, headers and body.

    A success counts only with the server's signature.
    """
    match read_body(answer):
        case Err(failure):
            return Err(failure)
        case Ok(body):
            pass
    if 200 <= answer.status < 300 and not answer.is_signed:
        return Err(CallFailure(FailureKind.BROKEN, "success without signature"))
    return Ok((answer.status, answer.headers, body))
