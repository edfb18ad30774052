"""Own the router and pass its decisions to the threads of the requests."""

import queue
import threading

import attrs
import pykka

from sesameport.interfaces import CacheEvents, LoadReport
from sesameport.requests import Event, Placed, Stopped
from sesameport.routing import Expired, Placement, Router
from sesameport.world import CompletionRequest, Refusal

__all__ = [
    "DirectoryChanged",
    "DispatcherActor",
    "NoteDecodeEnded",
    "NotePrefillEnded",
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
        self._stream = None
        self._lock = threading.Lock()
        self.stopped = False

    def put(self, event: Event) -> None:
        """Add an event; a ``Stopped`` also closes the stream that is being read."""
        self._events.put(event)
        if not isinstance(event, Stopped):
            return
        with self._lock:
            self.stopped = True
            stream = self._stream
        if stream is not None:
            stream.close()

    def get(self, timeout_s: float) -> Event | None:
        """Return the next event, or None after the timeout."""
        try:
            return self._events.get(timeout=max(timeout_s, 0.0))
        except queue.Empty:
            return None

    def attach(self, stream) -> None:
        """Name the stream that a ``Stopped`` event closes; None detaches it."""
        with self._lock:
            self._stream = stream
            stopped = self.stopped
        if stopped and stream is not None:
            stream.close()


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
class DirectoryChanged:
    """Replace the servers and documents that the router knows."""

    servers: tuple
    documents: dict


@attrs.frozen
class Poll:
    """Ask the router for decisions that are due."""


class DispatcherActor(pykka.ThreadingActor):
    """Serialise all use of the router.

    Parameters
    ----------
    router : Router
        Pure routing state.
    clock : callable
        Returns the monotonic time, seconds.
    """

    use_daemon_thread = True

    def __init__(self, router: Router, clock):
        super().__init__()
        self._router = router
        self._clock = clock
        self._inboxes: dict[str, RequestInbox] = {}

    def on_receive(self, message):
        """Handle one message and return its answer."""
        now = self._clock()
        match message:
            case Submit(req, inbox, _):
                return self._submit(req, inbox, now)
            case RemoveRequest(request_id):
                self._inboxes.pop(request_id, None)
                self._router.remove(request_id)
            case StopRequest(request_id, refusal):
                self._stop(request_id, refusal)
            case NotePrefillEnded(placement):
                self._router.prefill_ended(placement, now)
            case NoteDecodeEnded(placement):
                self._router.decode_ended(placement, now)
                self._poll(now)
            case DirectoryChanged(servers, documents):
                self._router.set_servers(servers, documents, now)
            case LoadReport():
                self._router.report_load(message, now)
            case CacheEvents():
                self._router.report_cache(message, now)
            case Poll():
                self._poll(now)
        return None

    def _submit(self, req, inbox, now: float) -> Refusal | None:
        refusal = self._router.enqueue(req, now)
        if refusal is not None:
            return refusal
        self._inboxes[req.request_id] = inbox
        self._poll(now)
        return None

    def _stop(self, request_id: str, refusal: Refusal) -> None:
        self._router.remove(request_id)
        inbox = self._inboxes.get(request_id)
        if inbox is not None:
            inbox.put(Stopped(refusal))

    def _poll(self, now: float) -> None:
        for decision in self._router.poll(now):
            inbox = self._inboxes.get(decision.request_id)
            if isinstance(decision, Expired):
                if inbox is not None:
                    inbox.put(Stopped(decision.refusal))
                continue
            if inbox is None:
                self._router.prefill_ended(decision, now)
                self._router.decode_ended(decision, now)
                continue
            inbox.put(Placed(decision))
