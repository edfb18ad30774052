"""Define model engines and plain services as decision code and adapters see them."""

import enum
from collections.abc import Iterator, Sequence
from typing import Protocol

import attrs
from result import Result

from sesameport.world import Execution, PlainRequest

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
    "PlainAnswer",
    "PlainService",
    "PrefillCall",
    "TokenEvent",
    "TokenStream",
]


class EngineErrorKind(enum.StrEnum):
    """Name the ways in which a call to a backend server fails."""

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
    """Describe a failed call to a backend server.

    ``UNREACHABLE`` means that no byte of the request was sent. ``BROKEN`` means that
    the connection ended early, ``SILENT`` that nothing came within the bound, and
    ``FAILED`` that the server reported an error of its own.
    """

    kind: EngineErrorKind
    detail: str = ""

    def execution(self) -> Execution:
        """Tell whether the call ran."""
        return Execution.NOT_RUN if self.kind in _NOT_RUN else Execution.MAY_HAVE_RUN


class HoldKind(enum.StrEnum):
    """Name what a request holds on a backend server or link."""

    PREFILL_RUN = "prefill-run"
    PREFILL_RESULT = "prefill-result"
    DECODE_SLOT = "decode-slot"
    LINK_SHARE = "link-share"


@attrs.frozen
class Hold:
    """Describe one hold that an engine lists.

    Attributes
    ----------
    attempt_id : str
        ``<host>.<incarnation>.<sequence>.<attempt>`` of the owner.
    kind : HoldKind
        What is held.
    age_s : float
        Time since it was taken, seconds.
    idle_s : float
        Time since the owner last read from it, seconds.
    """

    attempt_id: str
    kind: HoldKind
    age_s: float
    idle_s: float = 0.0


@attrs.frozen
class KvHandle:
    """Name a prefill result on a prefill server.

    ``lifetime_s`` counts from the engine's answer; after it the engine drops the KV
    cache.
    """

    server: str
    address: str
    handle: str
    lifetime_s: float
    kv_bytes: int = 0


@attrs.frozen
class PrefillCall:
    """Ask a prefill server to compute the KV cache of a prompt."""

    attempt_id: str
    model: str
    adapter: str
    prompt: str
    priority: int = 0
    generated: str = ""


@attrs.frozen
class DecodeCall:
    """Ask a decode server to import a KV cache and stream tokens.

    ``offset`` is the number of tokens that the caller already has; ``handle`` is None
    when the decode server computes the prompt itself.
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


@attrs.frozen
class TokenEvent:
    """Hold one token of a stream.

    ``finish_reason`` is set on the last event only; it is the end mark without which
    an answer is not whole.
    """

    attempt_id: str
    offset: int
    text: str
    finish_reason: str = ""


class TokenStream(Protocol):
    """Iterate over the token events of a decode and close it from any thread."""

    def __iter__(self) -> Iterator[Result[TokenEvent, EngineError]]:
        """Yield events; an error is the last item."""
        ...

    def close(self) -> None:
        """Close the connection; the iterator then ends with an error."""
        ...


@attrs.frozen
class LoadReport:
    """Hold the load of an engine at the moment it reports, which lags.

    Attributes
    ----------
    server : str
        Name of the backend server.
    running : int
        Requests that run.
    waiting : int
        Requests that wait inside the engine.
    slots : int
        Requests that may run at once.
    prefill_queue_tokens : int
        Prompt tokens that wait for prefill.
    kv_pieces_free : int
        Free pieces of KV memory.
    age_s : float
        Age of the report when it was received, seconds.
    sequence : int
        Rising number of the report.
    models, adapters : sequence of str or None
        Loaded ``model@version`` and ``model:adapter``; None if not reported.
    role : str
        Role that the engine has now; empty if not reported.
    draining : bool or None
        Whether the engine takes no new work; None if not reported.
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
    """Describe a prefix that an engine stored or evicted."""

    sequence: int
    prefix_digest: str
    stored: bool


@attrs.frozen
class CacheEvents:
    """Hold the events after a sequence number; a missing number is a gap."""

    server: str
    events: tuple[CacheEvent, ...]
    last_sequence: int


class OrderKind(enum.StrEnum):
    """Name the orders that engines take."""

    LOAD_MODEL = "load-model"
    LOAD_ADAPTER = "load-adapter"
    SET_ROLE = "set-role"
    DRAIN = "drain"


@attrs.frozen
class Order:
    """State the target that an engine is to reach; repeating it does no harm.

    ``argument`` is ``model@version``, an adapter, a role, or ``on``/``off`` for drain.
    """

    kind: OrderKind
    argument: str
    fencing_number: int
    order_id: str


class Engine(Protocol):
    """Access one model engine. Every call blocks for at most its adapter's bound."""

    def prefill(self, call: PrefillCall) -> Result[KvHandle, EngineError]:
        """Compute and keep the KV cache of a prompt."""
        ...

    def decode(self, call: DecodeCall) -> Result[TokenStream, EngineError]:
        """Import a KV cache and stream tokens."""
        ...

    def resume(self, attempt_id: str, offset: int) -> Result[TokenStream, EngineError]:
        """Attach again to a running stream from an offset."""
        ...

    def cancel(self, attempt_id: str) -> Result[bool, EngineError]:
        """Release everything that an attempt holds; True if it held something."""
        ...

    def holds(self) -> Result[tuple[Hold, ...], EngineError]:
        """List what attempts hold."""
        ...

    def load(self) -> Result[LoadReport, EngineError]:
        """Read the lagging load report."""
        ...

    def cache_events(self, after: int) -> Result[CacheEvents, EngineError]:
        """Read cache events after a sequence number."""
        ...

    def order(self, order: Order) -> Result[None, EngineError]:
        """Give an order."""
        ...


@attrs.frozen
class PlainAnswer:
    """Hold the whole answer of a plain service."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class PlainService(Protocol):
    """Access one server of a plain service."""

    def call(
        self, req: PlainRequest, attempt_id: str, timeout_s: float
    ) -> Result[PlainAnswer, EngineError]:
        """Send a call; a non-repeatable call never goes over an aged connection."""
        ...
