"""Own the router and send its decisions to the threads of the requests."""

import math
from collections.abc import Callable

import pykka

from sesameport.daemon.request_path.dispatcher_messages import (
    PlacePlainCall,
    PollRouter,
    RecordAttempt,
    RecordCompletion,
    RecordDecodeEnd,
    RecordImportEnd,
    RecordPlainEnd,
    RecordPrefillEnd,
    RecordServerFailure,
    RecordServerRemoval,
    RecordStateLoss,
    RemoveRequest,
    RequestInbox,
    RetryDecodePlacement,
    RetryPlacement,
    SetHostCount,
    SetServers,
    StopRequest,
    SubmitRequest,
)
from sesameport.domain import (
    CompletionRequest,
    Refusal,
    RefusalType,
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

__all__ = ["DispatcherActor"]

_MAX_WAITING_SUSPECT_REQUESTS = 32
_SUSPECT_POLL_PERIOD_S = 0.05
_NO_SERVER_REFUSAL = Refusal(RefusalType.NO_SERVER, retry_after_s=1.0)
_QUARANTINED_REFUSAL = Refusal(RefusalType.QUARANTINED)
_RETRY_BUDGET_SPENT = NotPlaced(
    Refusal(RefusalType.UPSTREAM_FAILED, detail="the retry budget is used up"), True
)


class DispatcherActor(pykka.ThreadingActor):
    """Serialise access to the router, the retry budget and the quarantine.

    Parameters
    ----------
    router : Router
        Routing state.
    clock : callable
        Returns the monotonic time, seconds.
    call_at : callable
        Schedules one call at a given time (``Timers.call_at``).
    budget : RetryBudget
        Retry budget.
    quarantine : Quarantine
        Digests that are suspect or refused after server crashes.
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
        self._suspect_requests: dict[str, CompletionRequest] = {}
        self._next_poll_at = math.inf

    def on_receive(self, message):
        """Handle one message and return its reply."""
        now = self._clock()
        match message:
            case SubmitRequest(req, inbox, _):
                return self._submit(req, inbox, now)
            case RetryPlacement() | RetryDecodePlacement() | PlacePlainCall():
                return self._place(message, now)
            case RemoveRequest(request_id):
                self._inboxes.pop(request_id, None)
                self._suspect_requests.pop(request_id, None)
                self._router.remove(request_id)
            case StopRequest(request_id, refusal):
                self._stop(request_id, refusal)
            case SetServers(servers, documents):
                self._router.set_servers(servers, documents, now)
                return tuple(self._router.server_subset())
            case SetHostCount(count):
                self._router.set_host_count(count)
            case LoadReport():
                self._router.record_load_report(message, now)
                self._quarantine.record_server_answer(message.server, now)
            case CacheEvents():
                self._router.record_cache_events(message, now)
            case PollRouter():
                self._poll(now)
            case (
                RecordAttempt()
                | RecordCompletion()
                | RecordStateLoss()
                | PoisonNotice()
            ):
                self._update_quarantine(message, now)
            case _:
                self._record_event(message, now)
        return None

    def _record_event(self, message, now: float) -> None:
        match message:
            case RecordPrefillEnd(placement):
                self._router.record_prefill_end(placement, now)
            case RecordDecodeEnd(placement):
                self._router.record_decode_end(placement, now)
                self._poll(now)
            case RecordImportEnd(placement):
                self._router.record_first_token(placement, now)
            case RecordPlainEnd(server):
                self._router.record_plain_end(server, now)
            case RecordServerFailure(server):
                self._router.record_server_failure(server, now)
            case RecordServerRemoval(server):
                self._router.record_server_failure(server, now)
                for inbox in self._inboxes.values():
                    inbox.put(ServerRemoved(server))

    def _update_quarantine(self, message, now: float) -> None:
        notices = []
        match message:
            case RecordAttempt(server, attempt_id, ""):
                self._quarantine.record_attempt_end(server, attempt_id)
            case RecordAttempt(server, attempt_id, digest):
                self._quarantine.record_attempt_start(server, attempt_id, digest, now)
            case RecordCompletion(digest):
                notices = self._quarantine.record_completion(digest)
            case RecordStateLoss(server, attempt_id):
                self._router.record_server_failure(server, now)
                notices = self._quarantine.record_server_loss(server, attempt_id, now)
            case PoisonNotice():
                self._quarantine.handle_notice(message, now)
        for notice in notices:
            self._send_notice(notice)

    def _place(self, message, now: float):
        if isinstance(message, RetryDecodePlacement):
            placement = self._router.place_decode(message.req, now, message.exclude)
            return Placed(placement) if placement else NotPlaced(_NO_SERVER_REFUSAL)
        if message.spends_budget and not self._budget.spend():
            return None if isinstance(message, PlacePlainCall) else _RETRY_BUDGET_SPENT
        if isinstance(message, PlacePlainCall):
            return self._place_plain(message, now)
        status = self._quarantine.status(message.req.digest, now)
        if status.refused:
            return NotPlaced(_QUARANTINED_REFUSAL, final=True)
        exclude = message.exclude | status.avoid
        placement = self._router.place(message.req, now, exclude)
        return Placed(placement) if placement else NotPlaced(_NO_SERVER_REFUSAL)

    def _place_plain(self, message: PlacePlainCall, now: float) -> str | None:
        if not message.spends_budget:
            self._budget.record_request()
        server = self._router.place_plain(message.req, now, message.exclude)
        return server.name if server else None

    def _submit(self, req, inbox, now: float) -> Refusal | None:
        status = self._quarantine.status(req.digest, now)
        if status.refused:
            return _QUARANTINED_REFUSAL
        if status.suspect:
            if len(self._suspect_requests) >= _MAX_WAITING_SUSPECT_REQUESTS:
                return Refusal(RefusalType.QUEUE_FULL, retry_after_s=1.0)
            self._suspect_requests[req.request_id] = req
        else:
            refusal = self._router.enqueue(req, now)
            if refusal is not None:
                return refusal
        self._budget.record_request()
        self._inboxes[req.request_id] = inbox
        self._poll(now)
        return None

    def _place_suspect_requests(self, now: float) -> None:
        """Place waiting suspects on servers that run no other suspect request."""
        for request_id, req in list(self._suspect_requests.items()):
            status = self._quarantine.status(req.digest, now)
            inbox = self._inboxes[request_id]
            if status.refused:
                del self._suspect_requests[request_id]
                inbox.put(StopRequested(_QUARANTINED_REFUSAL))
                continue
            placement = self._router.place(req, now, status.avoid)
            if placement is not None:
                del self._suspect_requests[request_id]
                inbox.put(Placed(placement))

    def _stop(self, request_id: str, refusal: Refusal) -> None:
        self._router.remove(request_id)
        self._suspect_requests.pop(request_id, None)
        inbox = self._inboxes.get(request_id)
        if inbox is not None:
            inbox.put(StopRequested(refusal))

    def _schedule_poll(self, now: float) -> None:
        """Schedule a poll for the router's next decision or a waiting suspect."""
        poll_at = self._router.next_poll_at(now)
        if self._suspect_requests:
            poll_at = min(poll_at or math.inf, now + _SUSPECT_POLL_PERIOD_S)
        if poll_at is None or self._next_poll_at <= poll_at:
            return
        self._next_poll_at = poll_at
        self._call_at("poll", poll_at, lambda _: self.actor_ref.tell(PollRouter()))

    def _poll(self, now: float) -> None:
        self._next_poll_at = math.inf
        self._place_suspect_requests(now)
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
