"""Define the messages to the dispatcher and the event inbox of a request."""

import queue
import threading

import attrs

from sesameport.domain import CompletionRequest, PlainRequest, Refusal
from sesameport.requests import Event, ServerRemoved, StopRequested
from sesameport.routing import Placement

__all__ = [
    "PlacePlainCall",
    "PollRouter",
    "RecordAttempt",
    "RecordCompletion",
    "RecordDecodeEnd",
    "RecordImportEnd",
    "RecordPlainEnd",
    "RecordPrefillEnd",
    "RecordServerFailure",
    "RecordServerRemoval",
    "RecordStateLoss",
    "RemoveRequest",
    "RequestInbox",
    "RetryDecodePlacement",
    "RetryPlacement",
    "SetHostCount",
    "SetServers",
    "StopRequest",
    "SubmitRequest",
]


class RequestInbox:
    """Deliver events to the thread of one request and interrupt its current call."""

    def __init__(self):
        self._events: queue.SimpleQueue = queue.SimpleQueue()
        self._current_server = ""
        self._current_call = None
        self._lock = threading.Lock()
        self.is_stopped = False

    def put(self, event: Event) -> None:
        """Add an event and interrupt the current call if the event ends it."""
        self._events.put(event)
        with self._lock:
            if isinstance(event, StopRequested):
                self.is_stopped = True
            elif (
                not isinstance(event, ServerRemoved)
                or event.server != self._current_server
            ):
                return
            call = self._current_call
        if call is not None:
            call.close()

    def get(self, timeout_s: float) -> Event | None:
        """Return the next event, or None after the timeout."""
        try:
            return self._events.get(timeout=max(timeout_s, 0.0))
        except queue.Empty:
            return None

    def set_current_call(self, server: str, call) -> None:
        """Set the stream or prefill that an event may interrupt, or None."""
        with self._lock:
            self._current_server = server
            self._current_call = call
            is_stopped = self.is_stopped
        if is_stopped and call is not None:
            call.close()


@attrs.frozen
class SubmitRequest:
    """Queue a request; the reply is a refusal or None."""

    req: CompletionRequest
    inbox: RequestInbox
    now: float


@attrs.frozen
class RemoveRequest:
    """Remove a request that ended."""

    request_id: str


@attrs.frozen
class StopRequest:
    """End a request with a refusal, whether it waits or runs."""

    request_id: str
    refusal: Refusal


@attrs.frozen
class RecordPrefillEnd:
    """Release the prefill share of a placement."""

    placement: Placement


@attrs.frozen
class RecordDecodeEnd:
    """Release the decode slot of a placement."""

    placement: Placement


@attrs.frozen
class RetryPlacement:
    """Place a request on other servers; the reply is ``Placed`` or ``NotPlaced``."""

    req: CompletionRequest
    exclude: frozenset[str]
    spends_budget: bool


@attrs.frozen
class RetryDecodePlacement:
    """Choose another decode server; the reply is ``Placed`` or ``NotPlaced``."""

    req: CompletionRequest
    exclude: frozenset[str]


@attrs.frozen
class PlacePlainCall:
    """Choose a server of a plain service; the reply is its name or None."""

    req: PlainRequest
    exclude: frozenset[str]
    spends_budget: bool


@attrs.frozen
class RecordPlainEnd:
    """Release the slot of a plain call."""

    server: str


@attrs.frozen
class RecordImportEnd:
    """Release the link share of a placement."""

    placement: Placement


@attrs.frozen
class RecordAttempt:
    """Record the start of an attempt on a server; an empty digest records its end."""

    server: str
    attempt_id: str
    digest: str


@attrs.frozen
class RecordCompletion:
    """Record that a request completed."""

    digest: str


@attrs.frozen
class RecordStateLoss:
    """Record that a server lost the state of an attempt, for example by a crash."""

    server: str
    attempt_id: str


@attrs.frozen
class RecordServerRemoval:
    """Record that a server was removed and notify every request."""

    server: str


@attrs.frozen
class RecordServerFailure:
    """Record that several load polls of a server failed in a row."""

    server: str


@attrs.frozen
class SetHostCount:
    """Set the number of live hosts that use the same servers."""

    count: int


@attrs.frozen
class SetServers:
    """Replace servers and documents; the reply lists the servers to poll."""

    servers: tuple
    documents: dict


@attrs.frozen
class PollRouter:
    """Poll the router for placements and expired requests."""
