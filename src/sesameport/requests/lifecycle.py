"""Control one completion request from its placement to its end.

The lifecycle does no I/O. It takes events and returns the actions that the thread of
the request carries out in order. ``recovery`` chooses the actions after a failed
attempt.
"""

import math
import random

import attrs

from sesameport.domain import (
    CompletionRequest,
    Execution,
    Refusal,
    RefusalType,
    Usage,
)
from sesameport.interfaces import DecodeCall, KvHandle, PrefillCall, TokenEvent
from sesameport.requests.actions import (
    Action,
    CancelHold,
    CompleteResponse,
    DeliverToken,
    RefuseRequest,
    ReleaseLinkShare,
    StartDecode,
    StartPrefill,
)
from sesameport.requests.events import (
    CallerDisconnected,
    DecodeFailed,
    Event,
    NotPlaced,
    Placed,
    PrefillDone,
    PrefillFailed,
    ResumeFailed,
    ServerRemoved,
    StopRequested,
    Tick,
    TokenArrived,
)
from sesameport.requests.held_resources import OpenHolds, RouterReservations
from sesameport.requests.recovery import Recovery, RecoveryConfig
from sesameport.requests.states import RequestState
from sesameport.routing import Placement

__all__ = ["Lifecycle"]


_DECODE_STATES = frozenset(
    {RequestState.IMPORTING, RequestState.STREAMING, RequestState.RESUMING}
)


@attrs.define
class Lifecycle:
    """Track the state of one request and choose its next actions.

    Parameters
    ----------
    req : CompletionRequest
        The request.
    attempt_prefix : str
        ``<host>.<incarnation>.<sequence>``. Each attempt id appends the number of the
        attempt to it.
    cfg : RecoveryConfig
        Limits for retries.
    rng : random.Random
        Source of the jitter.

    Attributes
    ----------
    offset : int
        Number of tokens sent to the caller.
    dropped_events : int
        Number of events that were dropped because they belong to an abandoned attempt
        or repeat a token.
    """

    req: CompletionRequest
    attempt_prefix: str
    cfg: RecoveryConfig = RecoveryConfig()
    rng: random.Random = attrs.field(factory=random.Random)
    offset: int = 0
    dropped_events: int = 0
    state: RequestState = RequestState.PLACING
    holds: OpenHolds = attrs.field(factory=OpenHolds)
    reservations: RouterReservations = attrs.field(factory=RouterReservations)
    kv_handle: KvHandle | None = None
    prefill_attempt_id: str = ""
    execution: Execution = Execution.NOT_RUN
    _attempt_number: int = 0
    _generated: list[str] = attrs.field(factory=list)
    _handle_deadline: float = 0.0
    _import_deadline: float = 0.0
    _prefill_servers: dict[str, str] = attrs.field(factory=dict)
    _recovery: Recovery = attrs.field(init=False)

    def __attrs_post_init__(self):
        self._recovery = Recovery(self, self.cfg, self.rng)

    @property
    def attempt_id(self) -> str:
        """Return the id of the current attempt."""
        return f"{self.attempt_prefix}.{self._attempt_number}"

    @property
    def placement(self) -> Placement:
        """Return the placement of the current attempt."""
        return self.reservations.placement

    @property
    def generated(self) -> str:
        """Return the text sent to the caller so far."""
        return "".join(self._generated)

    def is_ended(self) -> bool:
        """Return whether the request has ended."""
        return self.state == RequestState.ENDED

    def wake_at(self) -> float:
        """Return the monotonic time at which the next ``Tick`` is due, seconds."""
        if self.state in _DECODE_STATES:
            return min(self._import_deadline, self.req.deadline)
        return self.req.deadline

    @property
    def handle_deadline(self) -> float:
        """Return the monotonic time until which an import can start, seconds."""
        return self._handle_deadline

    def is_handle_valid(self, now: float) -> bool:
        """Return whether an import of the KV handle can still start."""
        return self.kv_handle is not None and now < self._handle_deadline

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handle one event and return the resulting actions."""
        if self.state == RequestState.ENDED:
            return self._drop_event(event)
        match event:
            case CallerDisconnected():
                return self.end([])
            case StopRequested(refusal):
                return self.refuse(refusal)
            case Tick():
                return self._handle_tick(now)
            case Placed(placement):
                return self._handle_placed(placement, now)
            case NotPlaced(refusal, final):
                return self._handle_not_placed(refusal, final, now)
            case ServerRemoved(server):
                return self._handle_server_removed(server, now)
        return self._handle_attempt_event(event, now)

    def _handle_attempt_event(self, event: Event, now: float) -> list[Action]:
        match event:
            case PrefillDone(attempt_id, handle):
                if self._is_current(attempt_id, RequestState.PREFILLING):
                    return self._handle_prefill_done(handle, now)
            case PrefillFailed(attempt_id, error):
                if self._is_current(attempt_id, RequestState.PREFILLING):
                    return self._recovery.handle_prefill_failure(error, now)
            case TokenArrived(token):
                if self._is_current(token.attempt_id, *_DECODE_STATES):
                    return self._handle_token(token, now)
            case DecodeFailed(attempt_id, error):
                if self._is_current(attempt_id, *_DECODE_STATES):
                    return self._recovery.handle_decode_failure(error, now)
            case ResumeFailed(attempt_id, error):
                if self._is_current(attempt_id, RequestState.RESUMING):
                    return self._recovery.handle_resume_failure(error, now)
        return self._drop_event(event)

    def _is_current(self, attempt_id: str, *states: RequestState) -> bool:
        return attempt_id == self.attempt_id and self.state in states

    def _drop_event(self, event: Event) -> list[Action]:
        """Count an event that came too late and release the resources it reports."""
        self.dropped_events += 1
        match event:
            case Placed(placement):
                # The request ended while the router was placing it.
                reservations = RouterReservations()
                if self._recovery.is_decode_only_request:
                    reservations.record_decode_placement(placement)
                else:
                    reservations.record_placement(placement)
                return reservations.release_all()
            case PrefillDone(attempt_id, _):
                # The server may have received the cancel before the prefill call.
                server = self._prefill_servers.get(attempt_id)
                if server is not None and attempt_id != self.prefill_attempt_id:
                    return [CancelHold(server, attempt_id)]
        return []

    def _handle_placed(self, placement: Placement, now: float) -> list[Action]:
        if self.state == RequestState.PLACING:
            self.reservations.record_placement(placement)
            return self._start_prefill(now)
        if self.state != RequestState.PLACING_DECODE:
            return self._drop_event(Placed(placement))
        # The server that keeps the KV handle stays the prefill server.
        decode_placement = attrs.evolve(placement, prefill=self.placement.prefill)
        actions = self.reservations.release_decode_slot()
        self.reservations.record_decode_placement(decode_placement)
        if not self.is_handle_valid(now):
            return (
                actions
                + self.reservations.release_decode_slot()
                + self._recovery.retry_prefill(now)
            )
        return actions + self.start_decode(now)

    def _handle_not_placed(
        self, refusal: Refusal, final: bool, now: float
    ) -> list[Action]:
        if self.state == RequestState.PLACING_DECODE:
            return self.reservations.release_decode_slot() + (
                self._recovery.retry_prefill(now)
            )
        if self.state != RequestState.PLACING or self._attempt_number == 0:
            return self._drop_event(NotPlaced(refusal, final))
        return self._recovery.handle_not_placed(refusal, final, now)

    def _start_prefill(self, now: float) -> list[Action]:
        self._attempt_number += 1
        self.state = RequestState.PREFILLING
        self.kv_handle = None
        self.prefill_attempt_id = ""
        server = self.placement.prefill.name
        self._prefill_servers[self.attempt_id] = server
        timeout_s = self.cfg.prefill_timeout_s(self.req.prompt_tokens)
        call = PrefillCall(
            self.attempt_id,
            self.req.model,
            self.req.adapter,
            self.req.prompt,
            priority=self._priority(),
            generated=self.generated,
            timeout_s=min(timeout_s, max(0.01, self.req.deadline - now)),
        )
        return self.holds.open(server, self.attempt_id) + [StartPrefill(server, call)]

    def _priority(self) -> int:
        return self.placement.priority

    def _handle_prefill_done(self, handle: KvHandle, now: float) -> list[Action]:
        self.record_execution(Execution.MAY_HAVE_RUN)
        self.kv_handle = attrs.evolve(handle, kv_bytes=self.req.kv_bytes)
        self._handle_deadline = now + handle.lifetime_s - self.cfg.handle_margin_s
        self.prefill_attempt_id = self.attempt_id
        self._recovery.reset_import_counts()
        return self.reservations.release_prefill_share() + self.start_decode(now)

    def start_decode(self, now: float) -> list[Action]:
        """Start the import of the KV handle on the placed decode server.

        The first import keeps the attempt id of its prefill. Each later import gets a
        new id, so that tokens of the abandoned import can be recognised and dropped.
        """
        if self.state != RequestState.PREFILLING:
            self._attempt_number += 1
        self.state = RequestState.IMPORTING
        timeout_s = self.cfg.import_timeout_s(self.kv_handle.kv_bytes)
        self._import_deadline = now + timeout_s
        server = self.placement.decode.name
        call = DecodeCall(
            self.attempt_id,
            self.req.model,
            self.req.adapter,
            self.req.prompt,
            self.req.max_output_tokens,
            self.kv_handle,
            self.offset,
            self.generated,
            priority=self._priority(),
            first_token_timeout_s=timeout_s,
        )
        start = StartDecode(server, call, self.placement.start_at)
        return self.holds.open(server, self.attempt_id) + [start]

    def _handle_token(self, token: TokenEvent, now: float) -> list[Action]:
        if token.offset < self.offset:
            self.dropped_events += 1
            return []
        if token.offset > self.offset:
            return self._recovery.handle_token_gap(token.offset, now)
        actions: list[Action] = []
        if self._import_deadline < math.inf:
            self._import_deadline = math.inf
            actions = [ReleaseLinkShare(self.placement), *self._close_prefill_hold()]
        self.state = RequestState.STREAMING
        self.offset += 1
        self._generated.append(token.text)
        self.record_execution(Execution.RAN)
        self._recovery.record_progress()
        actions.append(DeliverToken(token.text))
        if token.finish_reason:
            usage = Usage(self.req.prompt_tokens, self.offset)
            server = self.placement.decode.name
            actions += self.holds.close(server, self.attempt_id)
            actions += self.end([CompleteResponse(token.finish_reason, usage)])
        return actions

    def _close_prefill_hold(self) -> list[Action]:
        """Close the hold on the prefill result, which the import has released."""
        if not self.prefill_attempt_id:
            return []
        server = self._prefill_servers[self.prefill_attempt_id]
        hold = (server, self.prefill_attempt_id)
        if hold == (self.placement.decode.name, self.attempt_id):
            # One server runs both phases under one attempt id, so the end of the
            # decode releases both.
            return []
        return self.holds.close(server, self.prefill_attempt_id)

    def _handle_tick(self, now: float) -> list[Action]:
        if now >= self.req.deadline:
            return self.refuse(Refusal(RefusalType.DEADLINE))
        if self.state in _DECODE_STATES and now >= self._import_deadline:
            return self._recovery.handle_import_timeout(now)
        return []

    def _handle_server_removed(self, server: str, now: float) -> list[Action]:
        if (
            self.state == RequestState.PREFILLING
            and server == self.placement.prefill.name
        ):
            return self._recovery.handle_prefill_server_removed(now)
        if self.state in _DECODE_STATES and server == self.placement.decode.name:
            return self._recovery.handle_decode_server_removed(now)
        return []

    def record_execution(self, execution: Execution) -> None:
        """Record that the request may have run or did run."""
        if self.execution != Execution.RAN:
            self.execution = execution

    def current_execution(self) -> Execution:
        """Return whether the request has run, including a call still in flight."""
        in_flight = (
            self.state in _DECODE_STATES or self.state == RequestState.PREFILLING
        )
        if in_flight and self.execution == Execution.NOT_RUN:
            return Execution.MAY_HAVE_RUN
        return self.execution

    def refuse(self, refusal: Refusal) -> list[Action]:
        """End the request with a refusal that states whether the request ran."""
        refusal_with_execution = attrs.evolve(
            refusal, execution=self.current_execution()
        )
        return self.end([RefuseRequest(refusal_with_execution)])

    def end(self, final_actions: list[Action]) -> list[Action]:
        """End the request and return its cancels, releases and ``final_actions``."""
        self.state = RequestState.ENDED
        self.prefill_attempt_id = ""
        return self.holds.cancel_all() + self.reservations.release_all() + final_actions
