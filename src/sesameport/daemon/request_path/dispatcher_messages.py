"""Define the messages to the dispatcher and the inbox of a request."""

import queue
import threading

import attrs

from sesameport.requests import Event, ServerRemoved, StopRequested
from sesameport.routing import Placement
from sesameport.world import CompletionRequest, PlainRequest, Refusal

__all__ = [
    "DirectoryChanged",
    "HostsChanged",
    "NoteAttempt",
    "NoteCompleted",
    "NoteDecodeEnded",
    "NoteImportDone",
    "NoteLost",
    "NotePlainEnded",
    "NotePrefillEnded",
    "NoteServerFailing",
    "NoteServerGone",
    "PlaceAgain",
    "PlaceDecodeAgain",
    "PlacePlain",
    "Poll",
    "RemoveRequest",
    "RequestInbox",
    "StopRequest",
    "Submit",
]


class RequestInbox:
    """Pass events to the thread of one request and interrupt its stream."""

    def __init__(self):
        self._events: queue.SimpleQueue = queue.SimpleQueue()
        self._server = ""
        self._running = None
        self._lock = threading.Lock()
        self.stopped = False

    def put(self, event: Event) -> None:
        """Add an event; one that ends the current call interrupts it."""
        self._events.put(event)
        with self._lock:
            if isinstance(event, StopRequested):
                self.stopped = True
            elif not isinstance(event, ServerRemoved) or event.server != self._server:
                return
            running = self._running
        if running is not None:
            running.close()

    def get(self, timeout_s: float) -> Event | None:
        """Return the next event, or None after the timeout."""
        try:
            return self._events.get(timeout=max(timeout_s, 0.0))
        except queue.Empty:
            return None

    def attach(self, server: str, running) -> None:
        """Name the stream or prefill that is closed by an event; None detaches it."""
        with self._lock:
            self._server = server
            self._running = running
            stopped = self.stopped
        if stopped and running is not None:
            running.close()


@attrs.frozen
class Submit:
    """Ask to queue a request; the answer is a refusal or None."""

    req: CompletionRequest
    inbox: RequestInbox
    now: float


@attrs.frozen
class RemoveRequest:
    """Forget a request that ended."""

    request_id: str


@attrs.frozen
class StopRequest:
    """End a request with a refusal, wherever it is."""

    request_id: str
    refusal: Refusal


@attrs.frozen
class NotePrefillEnded:
    """Release the prefill share of a placement."""

    placement: Placement


@attrs.frozen
class NoteDecodeEnded:
    """Release the decode slot of a placement."""

    placement: Placement


@attrs.frozen
class PlaceAgain:
    """Ask for new servers; the answer is ``Placed`` or ``NotPlaced``."""

    req: CompletionRequest
    exclude: frozenset[str]
    spends_budget: bool


@attrs.frozen
class PlaceDecodeAgain:
    """Ask for another decode server; the answer is ``Placed`` or ``NotPlaced``."""

    req: CompletionRequest
    exclude: frozenset[str]


@attrs.frozen
class PlacePlain:
    """Ask for a server of a plain service; the answer is its name or None."""

    req: PlainRequest
    exclude: frozenset[str]
    spends_budget: bool


@attrs.frozen
class NotePlainEnded:
    """Release a plain call."""

    server: str


@attrs.frozen
class NoteImportDone:
    """Release the link share of a placement."""

    placement: Placement


@attrs.frozen
class NoteAttempt:
    """Note that an attempt started on a server, or ended when the digest is empty."""

    server: str
    attempt_id: str
    digest: str


@attrs.frozen
class NoteCompleted:
    """Note that a request completed."""

    digest: str


@attrs.frozen
class NoteLost:
    """Note that a server lost the state of an attempt."""

    server: str
    attempt_id: str


@attrs.frozen
class NoteServerGone:
    """Tell every request that a server is gone for sure."""

    server: str


@attrs.frozen
class NoteServerFailing:
    """Note that a server did not answer several load polls in a row."""

    server: str


@attrs.frozen
class HostsChanged:
    """Set the number of live hosts that place work on the same servers."""

    count: int


@attrs.frozen
class DirectoryChanged:
    """Replace servers and documents; the answer lists the servers to poll."""

    servers: tuple
    documents: dict


@attrs.frozen
class Poll:
    """Ask the router for decisions that are due."""
