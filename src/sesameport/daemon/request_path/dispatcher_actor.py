"""Own the router and pass its decisions to the threads of the requests."""

import math
from collections.abc import Callable

import pykka

from sesameport.daemon.request_path.dispatcher_messages import (
    DirectoryChanged,
    HostsChanged,
    NoteAttempt,
    NoteCompleted,
    NoteDecodeEnded,
    NoteImportDone,
    NoteLost,
    NotePlainEnded,
    NotePrefillEnded,
    NoteServerFailing,
    NoteServerGone,
    PlaceAgain,
    PlaceDecodeAgain,
    PlacePlain,
    Poll,
    RemoveRequest,
    RequestInbox,
    StopRequest,
    Submit,
)
from sesameport.interfaces import CacheEvents, LoadReport
from sesameport.requests import (
    NotPlaced,
    Placed,
    RetryBudget,
    ServerRemoved,
    StopRequested,
)
from sesameport.routing import ExpiredRequest, Router
from sesameport.routing.quarantine import PoisonNotice, Quarantine
from sesameport.world import (
    CompletionRequest,
    Refusal,
    RefusalType,
)

__all__ = ["DispatcherActor"]

_MAX_WAITING_SUSPECTS = 32
_SUSPECT_PERIOD_S = 0.05
_NO_SERVER = Refusal(RefusalType.NO_SERVER, retry_after_s=1.0)
_QUARANTINED = Refusal(RefusalType.QUARANTINED)
_BUDGET_SPENT = NotPlaced(
    Refusal(RefusalType.UPSTREAM_FAILED, detail="the retry budget is used up"), True
)


class DispatcherActor(pykka.ThreadingActor):
    """Serialise all use of the router, the retry budget and the quarantine.

    Parameters
    ----------
    router : Router
        Pure routing state.
    clock : callable
        Returns the monotonic time, seconds.
    call_at : callable
        Makes a single call at a time (``Timers.call_at``).
    budget : RetryBudget
        Budget of retries.
    quarantine : Quarantine
        Suspects and refused digests.
    send_notice : callable
        Sends a ``PoisonNotice`` to the other hosts of the data centre.
    """

    use_daemon_thread = True

    def __init__(
        self,
        router: Router,
        clock,
        call_at: Callable[[str, float, Callable[[float], None]], None],
        budget: RetryBudget | None = None,
        quarantine: Quarantine | None = None,
        send_notice: Callable[[PoisonNotice], None] = lambda notice: None,
    ):
        super().__init__()
        self._router = router
        self._clock = clock
        self._call_at = call_at
        self._budget = budget or RetryBudget()
        self._quarantine = quarantine or Quarantine("")
        self._send_notice = send_notice
        self._inboxes: dict[str, RequestInbox] = {}
        self._suspects: dict[str, CompletionRequest] = {}
        self._poll_due = math.inf

    def on_receive(self, message):
        """Handle one message and return its answer."""
        now = self._clock()
        match message:
            case Submit(req, inbox, _):
                return self._submit(req, inbox, now)
            case PlaceAgain() | PlaceDecodeAgain() | PlacePlain():
                return self._place_again(message, now)
            case RemoveRequest(request_id):
                self._inboxes.pop(request_id, None)
                self._suspects.pop(request_id, None)
                self._router.remove(request_id)
            case StopRequest(request_id, refusal):
                self._stop(request_id, refusal)
            case DirectoryChanged(servers, documents):
                self._router.set_servers(servers, documents, now)
                return tuple(self._router.server_subset())
            case HostsChanged(count):
                self._router.set_host_count(count)
            case LoadReport():
                self._router.record_load_report(message, now)
                self._quarantine.record_server_answer(message.server, now)
            case CacheEvents():
                self._router.record_cache_events(message, now)
            case Poll():
                self._poll(now)
            case NoteAttempt() | NoteCompleted() | NoteLost() | PoisonNotice():
                self._watch_poison(message, now)
            case _:
                self._note(message, now)
        return None

    def _note(self, message, now: float) -> None:
        match message:
            case NotePrefillEnded(placement):
                self._router.record_prefill_end(placement, now)
            case NoteDecodeEnded(placement):
                self._router.record_decode_end(placement, now)
                self._poll(now)
            case NoteImportDone(placement):
                self._router.record_first_token(placement, now)
            case NotePlainEnded(server):
                self._router.record_plain_end(server, now)
            case NoteServerFailing(server):
                self._router.record_server_failure(server, now)
            case NoteServerGone(server):
                self._router.record_server_failure(server, now)
                for inbox in self._inboxes.values():
                    inbox.put(ServerRemoved(server))

    def _watch_poison(self, message, now: float) -> None:
        notices = []
        match message:
            case NoteAttempt(server, attempt_id, ""):
                self._quarantine.record_attempt_end(server, attempt_id)
            case NoteAttempt(server, attempt_id, digest):
                self._quarantine.record_attempt_start(server, attempt_id, digest, now)
            case NoteCompleted(digest):
                notices = self._quarantine.record_completion(digest)
            case NoteLost(server, attempt_id):
                self._router.record_server_failure(server, now)
                notices = self._quarantine.record_server_loss(server, attempt_id, now)
            case PoisonNotice():
                self._quarantine.handle_notice(message, now)
        for notice in notices:
            self._send_notice(notice)

    def _place_again(self, message, now: float):
        if isinstance(message, PlaceDecodeAgain):
            placement = self._router.place_decode(message.req, now, message.exclude)
            return Placed(placement) if placement else NotPlaced(_NO_SERVER)
        if message.spends_budget and not self._budget.spend():
            return None if isinstance(message, PlacePlain) else _BUDGET_SPENT
        if isinstance(message, PlacePlain):
            return self._place_plain(message, now)
        status = self._quarantine.status(message.req.digest, now)
        if status.refused:
            return NotPlaced(_QUARANTINED, final=True)
        exclude = message.exclude | status.avoid
        placement = self._router.place(message.req, now, exclude)
        return Placed(placement) if placement else NotPlaced(_NO_SERVER)

    def _place_plain(self, message: PlacePlain, now: float) -> str | None:
        if not message.spends_budget:
            self._budget.record_request()
        server = self._router.place_plain(message.req, now, message.exclude)
        return server.name if server else None

    def _submit(self, req, inbox, now: float) -> Refusal | None:
        status = self._quarantine.status(req.digest, now)
        if status.refused:
            return _QUARANTINED
        if status.suspect:
            if len(self._suspects) >= _MAX_WAITING_SUSPECTS:
                return Refusal(RefusalType.QUEUE_FULL, retry_after_s=1.0)
            self._suspects[req.request_id] = req
        else:
            refusal = self._router.enqueue(req, now)
            if refusal is not None:
                return refusal
        self._budget.record_request()
        self._inboxes[req.request_id] = inbox
        self._poll(now)
        return None

    def _place_suspects(self, now: float) -> None:
        """Place waiting suspects on servers on which no other suspect runs."""
        for request_id, req in list(self._suspects.items()):
            status = self._quarantine.status(req.digest, now)
            inbox = self._inboxes[request_id]
            if status.refused:
                del self._suspects[request_id]
                inbox.put(StopRequested(_QUARANTINED))
                continue
            placement = self._router.place(req, now, status.avoid)
            if placement is not None:
                del self._suspects[request_id]
                inbox.put(Placed(placement))

    def _stop(self, request_id: str, refusal: Refusal) -> None:
        self._router.remove(request_id)
        self._suspects.pop(request_id, None)
        inbox = self._inboxes.get(request_id)
        if inbox is not None:
            inbox.put(StopRequested(refusal))

    def _schedule_poll(self, now: float) -> None:
        """Ask for a poll when the router next has something to decide."""
        due = self._router.next_poll_at(now)
        if self._suspects:
            due = min(due or math.inf, now + _SUSPECT_PERIOD_S)
        if due is None or self._poll_due <= due:
            return
        self._poll_due = due
        self._call_at("poll", due, lambda _: self.actor_ref.tell(Poll()))

    def _poll(self, now: float) -> None:
        self._poll_due = math.inf
        self._place_suspects(now)
        for decision in self._router.poll(now):
            inbox = self._inboxes.get(decision.request_id)
            if isinstance(decision, ExpiredRequest):
                if inbox is not None:
                    inbox.put(StopRequested(decision.refusal))
                continue
            if inbox is None:
                self._router.record_prefill_end(decision, now)
                self._router.record_decode_end(decision, now)
                continue
            inbox.put(Placed(decision))
        self._schedule_poll(now)
