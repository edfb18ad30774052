"""Define the interfaces of model engines and plain services."""

import enum
from collections.abc import Iterator, Sequence
from typing import Protocol

import attrs
from result import Result

from sesameport.domain import Execution, PlainRequest

__all__ = [
    "CacheEvent",
    "CacheEvents",
    "DecodeCall",
    "Engine",
    "EngineError",
    "EngineErrorKind",
    "Hold",
    "HoldKind",
    "KvHandle",
    "LoadReport",
    "Order",
    "OrderKind",
    "PlainResponse",
    "PlainService",
    "PrefillCall",
    "TokenEvent",
    "TokenStream",
]


class EngineErrorKind(enum.StrEnum):
    """Enumerate the kinds of failure of a call to a backend server."""

    BUSY = "busy"
    FENCED = "fenced"
    NOT_FOUND = "not-found"
    HANDLE_EXPIRED = "handle-expired"
    INVALID = "invalid"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    SILENT = "silent"
    FAILED = "failed"


_NOT_RUN = frozenset(
    {
        EngineErrorKind.BUSY,
        EngineErrorKind.FENCED,
        EngineErrorKind.NOT_FOUND,
        EngineErrorKind.HANDLE_EXPIRED,
        EngineErrorKind.INVALID,
        EngineErrorKind.UNREACHABLE,
    }
)


@attrs.frozen
class EngineError:
    """Represent a failed call to a backend server.

    ``UNREACHABLE`` means that no byte of the request was sent. ``BROKEN`` means that
    the connection ended early, ``SILENT`` that no byte was received before the timeout,
    and ``FAILED`` that the server reported an internal error.
    """

    kind: EngineErrorKind
    detail: str = ""

    def execution(self) -> Execution:
        """Return what the error implies about whether the call ran."""
        return Execution.NOT_RUN if self.kind in _NOT_RUN else Execution.MAY_HAVE_RUN


class HoldKind(enum.StrEnum):
    """Enumerate the resources that a request holds on a backend server or link."""

    PREFILL_RUN = "prefill-run"
    PREFILL_RESULT = "prefill-result"
    DECODE_SLOT = "decode-slot"
    LINK_SHARE = "link-share"


@attrs.frozen
class Hold:
    """Represent a hold that an engine reports.

    Attributes
    ----------
    attempt_id : str
        ``<host>.<incarnation>.<sequence>.<attempt>`` of the owner.
    kind : HoldKind
        Kind of the held resource.
    age_s : float
        Time since the hold began, seconds.
    idle_s : float
        Time since the owner last read data, seconds.
    """

    attempt_id: str
    kind: HoldKind
    age_s: float
    idle_s: float = 0.0


@attrs.frozen
class KvHandle:
    """Identify a prefill result on a prefill server.

    The engine frees the KV cache ``lifetime_s`` seconds after its response.
    """

    server: str
    address: str
    handle: str
    lifetime_s: float
    kv_bytes: int = 0


@attrs.frozen
class PrefillCall:
    """Request the KV cache of a prompt from a prefill server.

    ``timeout_s`` is the timeout of the call in seconds; 0 means the adapter's default.
    """

    attempt_id: str
    model: str
    adapter: str
    prompt: str
    priority: int = 0
    generated: str = ""
    timeout_s: float = 0.0


@attrs.frozen
class DecodeCall:
    """Request a decode server to import a KV cache and stream tokens.

    ``offset`` is the number of tokens that the caller has already received. ``handle``
    is None if the decode server computes the KV cache itself.
    ``first_token_timeout_s`` is the timeout of the first token in seconds; 0 means the
    adapter's default.
    """

    attempt_id: str
    model: str
    adapter: str
    prompt: str
    max_output_tokens: int
    handle: KvHandle | None = None
    offset: int = 0
    generated: str = ""
    priority: int = 0
    first_token_timeout_s: float = 0.0


@attrs.frozen
class TokenEvent:
    """Represent one token of a stream.

    ``finish_reason`` is set only on the last event. A stream that ends without it is
    incomplete.
    """

    attempt_id: str
    offset: int
    text: str
    finish_reason: str = ""


class TokenStream(Protocol):
    """Iterate over the token events of a decode. Any thread may close the stream."""

    def __iter__(self) -> Iterator[Result[TokenEvent, EngineError]]:
        """Yield token events; an error, if any, is the last item."""
        ...

    def close(self) -> None:
        """Close the connection, after which the iterator ends with an error."""
        ...


@attrs.frozen
class LoadReport:
    """Represent the load of an engine at the time of its report.

    The report lags behind the actual load, see ``age_s``.

    Attributes
    ----------
    server : str
        Name of the backend server.
    running : int
        Number of running requests.
    waiting : int
        Number of requests in the engine's queue.
    slots : int
        Maximum number of running requests.
    prefill_queue_tokens : int
        Prompt tokens in the prefill queue.
    kv_pieces_free : int
        Number of free KV cache blocks.
    age_s : float
        Age of the report when it was received, seconds.
    sequence : int
        Sequence number of the report, which increases.
    models, adapters : sequence of str or None
        Loaded ``model@version`` and ``model:adapter``; None if not reported.
    role : str
        Current role of the engine; empty if not reported.
    draining : bool or None
        Whether the engine refuses new requests; None if not reported.
    """

    server: str
    running: int
    waiting: int
    slots: int
    prefill_queue_tokens: int = 0
    kv_pieces_free: int = 0
    age_s: float = 0.0
    sequence: int = 0
    models: Sequence[str] | None = None
    adapters: Sequence[str] | None = None
    role: str = ""
    draining: bool | None = None


@attrs.frozen
class CacheEvent:
    """Represent the storage or eviction of a prefix in an engine's KV cache."""

    sequence: int
    prefix_digest: str
    stored: bool


@attrs.frozen
class CacheEvents:
    """Hold the cache events after a sequence number.

    A sequence number that is missing between two events means that an event was lost.
    """

    server: str
    events: tuple[CacheEvent, ...]
    last_sequence: int


class OrderKind(enum.StrEnum):
    """Enumerate the kinds of order to an engine."""

    LOAD_MODEL = "load-model"
    LOAD_ADAPTER = "load-adapter"
    SET_ROLE = "set-role"
    DRAIN = "drain"


@attrs.frozen
class Order:
    """Represent a command to an engine, which sets a target state and is idempotent.

    ``argument`` is ``model@version``, an adapter, a role, or ``on``/``off`` for drain.
    """

    kind: OrderKind
    argument: str
    fencing_number: int
    order_id: str


class Engine(Protocol):
    """Access one model engine. Each call blocks for at most the adapter's timeout."""

    def prefill(self, call: PrefillCall) -> Result[KvHandle, EngineError]:
        """Compute the KV cache of a prompt and keep it for a decode server."""
        ...

    def decode(self, call: DecodeCall) -> Result[TokenStream, EngineError]:
        """Import a KV cache and stream the generated tokens."""
        ...

    def resume(self, attempt_id: str, offset: int) -> Result[TokenStream, EngineError]:
        """Reconnect to a running stream at an offset."""
        ...

    def cancel(self, attempt_id: str) -> Result[bool, EngineError]:
        """Release all holds of an attempt and return whether it had any."""
        ...

    def holds(self) -> Result[tuple[Hold, ...], EngineError]:
        """List the holds of all attempts."""
        ...

    def load(self) -> Result[LoadReport, EngineError]:
        """Read the latest load report, which lags behind the actual load."""
        ...

    def cache_events(self, after: int) -> Result[CacheEvents, EngineError]:
        """Read the cache events after a sequence number."""
        ...

    def order(self, order: Order) -> Result[None, EngineError]:
        """Send an order to the engine."""
        ...


@attrs.frozen
class PlainResponse:
    """Represent the complete response of a plain service."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class PlainService(Protocol):
    """Access one server of a plain service."""

    def call(
        self, req: PlainRequest, attempt_id: str, timeout_s: float
    ) -> Result[PlainResponse, EngineError]:
        """Send a call and read the whole response.

        A call that must not be repeated is never sent on a reused connection.
        """
        ...
