"""Follow one completion request from its placement to its end.

The lifecycle is pure. It takes events and returns the actions that the request's
thread has to carry out, in order. What to do after a failed attempt is decided in
``recovery``.
"""

import math
import random

import attrs

from sesameport.interfaces import DecodeCall, KvHandle, PrefillCall, TokenEvent
from sesameport.requests.actions import (
    Action,
    CancelHold,
    Deliver,
    EndAnswer,
    ImportDone,
    RefuseCall,
    StartDecode,
    StartPrefill,
)
from sesameport.requests.attempts import OpenHolds, RouterShares
from sesameport.requests.events import (
    CallerGone,
    DecodeFailed,
    Event,
    NotPlaced,
    Placed,
    PrefillDone,
    PrefillFailed,
    ResumeFailed,
    ServerGone,
    Stopped,
    Tick,
    TokenArrived,
)
from sesameport.requests.recovery import Recovery, RecoveryConfig
from sesameport.requests.states import State
from sesameport.routing import Placement
from sesameport.world import (
    CompletionRequest,
    Execution,
    Refusal,
    RefusalType,
    Usage,
)

__all__ = ["Lifecycle"]


_DECODING = frozenset({State.IMPORTING, State.STREAMING, State.RESUMING})


@attrs.define
class Lifecycle:
    """Hold the state of one request.

    Parameters
    ----------
    req : CompletionRequest
        The request.
    attempt_prefix : str
        ``<host>.<incarnation>.<sequence>``; the attempt number is appended.
    cfg : RecoveryConfig
        Bounds of retries.
    rng : random.Random
        Source of the jitter.

    Attributes
    ----------
    offset : int
        Number of tokens that the caller has.
    late_events : int
        Events of abandoned attempts and repeated tokens, which were dropped.
    """

    req: CompletionRequest
    attempt_prefix: str
    cfg: RecoveryConfig = RecoveryConfig()
    rng: random.Random = attrs.field(factory=random.Random)
    offset: int = 0
    late_events: int = 0
    state: State = State.PLACING
    holds: OpenHolds = attrs.field(factory=OpenHolds)
    shares: RouterShares = attrs.field(factory=RouterShares)
    kv_handle: KvHandle | None = None
    prefill_attempt: str = ""
    execution: Execution = Execution.NOT_RUN
    _attempt: int = 0
    _generated: list[str] = attrs.field(factory=list)
    _handle_until: float = 0.0
    _import_until: float = 0.0
    _prefill_server_of: dict[str, str] = attrs.field(factory=dict)
    _recovery: Recovery = attrs.field(init=False)

    def __attrs_post_init__(self):
        self._recovery = Recovery(self, self.cfg, self.rng)

    @property
    def attempt_id(self) -> str:
        """Return the id of the current attempt."""
        return f"{self.attempt_prefix}.{self._attempt}"

    @property
    def placement(self) -> Placement:
        """Return the placement of the current attempt."""
        return self.shares.placement

    @property
    def generated(self) -> str:
        """Return the text that the caller has."""
        return "".join(self._generated)

    def is_ended(self) -> bool:
        """Tell whether the request has ended."""
        return self.state == State.ENDED

    def wake_at(self) -> float:
        """Return the monotonic time at which a ``Tick`` is due, seconds."""
        if self.state in _DECODING:
            return min(self._import_until, self.req.deadline)
        return self.req.deadline

    @property
    def handle_until(self) -> float:
        """Return the monotonic time until which an import can start, seconds."""
        return self._handle_until

    def handle_alive(self, now: float) -> bool:
        """Tell whether an import of the KV handle can still start."""
        return self.kv_handle is not None and now < self._handle_until

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take one event and return the actions that follow."""
        if self.state == State.ENDED:
            return self._late(event)
        match event:
            case CallerGone():
                return self.end([])
            case Stopped(refusal):
                return self.refuse(refusal)
            case Tick():
                return self._tick(now)
            case Placed(placement):
                return self._placed(placement, now)
            case NotPlaced(refusal, final):
                return self._not_placed(refusal, final, now)
            case ServerGone(server):
                return self._server_gone(server, now)
        return self._attempt_event(event, now)

    def _attempt_event(self, event: Event, now: float) -> list[Action]:
        match event:
            case PrefillDone(attempt_id, handle):
                if self._is_current(attempt_id, State.PREFILLING):
                    return self._prefilled(handle, now)
            case PrefillFailed(attempt_id, error):
                if self._is_current(attempt_id, State.PREFILLING):
                    return self._recovery.prefill_failed(error, now)
            case TokenArrived(token):
                if self._is_current(token.attempt_id, *_DECODING):
                    return self._token(token, now)
            case DecodeFailed(attempt_id, error):
                if self._is_current(attempt_id, *_DECODING):
                    return self._recovery.decode_failed(error, now)
            case ResumeFailed(attempt_id, error):
                if self._is_current(attempt_id, State.RESUMING):
                    return self._recovery.resume_failed(error, now)
        return self._late(event)

    def _is_current(self, attempt_id: str, *states: State) -> bool:
        return attempt_id == self.attempt_id and self.state in states

    def _late(self, event: Event) -> list[Action]:
        """Drop an event of an abandoned attempt, but release what it brought."""
        self.late_events += 1
        match event:
            case Placed(placement):
                # The answer crossed the end of the request; its counts are released.
                late = RouterShares()
                if self._recovery.asked_decode_only:
                    late.take_decode(placement)
                else:
                    late.take(placement)
                return late.end_both()
            case PrefillDone(attempt_id, _):
                # The cancel may have reached the server before the prefill did.
                server = self._prefill_server_of.get(attempt_id)
                if server is not None and attempt_id != self.prefill_attempt:
                    return [CancelHold(server, attempt_id)]
        return []

    def _placed(self, placement: Placement, now: float) -> list[Action]:
        if self.state == State.PLACING:
            self.shares.take(placement)
            return self._start_prefill(now)
        if self.state != State.REPLACING_DECODE:
            return self._late(Placed(placement))
        # The prefill server stays the one that keeps the KV handle.
        kept = attrs.evolve(placement, prefill=self.placement.prefill)
        actions = self.shares.end_decode()
        self.shares.take_decode(kept)
        if not self.handle_alive(now):
            return (
                actions + self.shares.end_decode() + self._recovery.prefill_again(now)
            )
        return actions + self.start_decode(now)

    def _not_placed(self, refusal: Refusal, final: bool, now: float) -> list[Action]:
        if self.state == State.REPLACING_DECODE:
            return self.shares.end_decode() + self._recovery.prefill_again(now)
        if self.state != State.PLACING or self._attempt == 0:
            return self._late(NotPlaced(refusal, final))
        return self._recovery.not_placed(refusal, final, now)

    def _start_prefill(self, now: float) -> list[Action]:
        self._attempt += 1
        self.state = State.PREFILLING
        self.kv_handle = None
        self.prefill_attempt = ""
        server = self.placement.prefill.name
        self._prefill_server_of[self.attempt_id] = server
        bound_s = self.cfg.prefill_bound_s(self.req.prompt_tokens)
        call = PrefillCall(
            self.attempt_id,
            self.req.model,
            self.req.adapter,
            self.req.prompt,
            priority=self._priority(),
            generated=self.generated,
            bound_s=min(bound_s, max(0.01, self.req.deadline - now)),
        )
        return self.holds.open(server, self.attempt_id) + [StartPrefill(server, call)]

    def _priority(self) -> int:
        return self.placement.priority

    def _prefilled(self, handle: KvHandle, now: float) -> list[Action]:
        self.ran(Execution.MAY_HAVE_RUN)
        self.kv_handle = attrs.evolve(handle, kv_bytes=self.req.kv_bytes)
        self._handle_until = now + handle.lifetime_s - self.cfg.handle_margin_s
        self.prefill_attempt = self.attempt_id
        self._recovery.reset_imports()
        return self.shares.end_prefill() + self.start_decode(now)

    def start_decode(self, now: float) -> list[Action]:
        """Import the KV handle on the placed decode server.

        A first import keeps the attempt id of its prefill. A later one gets a new id,
        so that tokens of the abandoned import are recognised as late.
        """
        if self.state != State.PREFILLING:
            self._attempt += 1
        self.state = State.IMPORTING
        bound_s = self.cfg.import_bound_s(self.kv_handle.kv_bytes)
        self._import_until = now + bound_s
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
            first_token_s=bound_s,
        )
        start = StartDecode(server, call, self.placement.start_at)
        return self.holds.open(server, self.attempt_id) + [start]

    def _token(self, token: TokenEvent, now: float) -> list[Action]:
        if token.offset < self.offset:
            self.late_events += 1
            return []
        if token.offset > self.offset:
            return self._recovery.gap(token.offset, now)
        actions: list[Action] = []
        if self._import_until < math.inf:
            self._import_until = math.inf
            actions = [ImportDone(self.placement), *self._close_prefill()]
        self.state = State.STREAMING
        self.offset += 1
        self._generated.append(token.text)
        self.ran(Execution.RAN)
        self._recovery.progressed()
        actions.append(Deliver(token.text))
        if token.finish_reason:
            usage = Usage(self.req.prompt_tokens, self.offset)
            server = self.placement.decode.name
            actions += self.holds.close(server, self.attempt_id)
            actions += self.end([EndAnswer(token.finish_reason, usage)])
        return actions

    def _close_prefill(self) -> list[Action]:
        """Close the hold on the prefill result, which the import has consumed."""
        if not self.prefill_attempt:
            return []
        server = self._prefill_server_of[self.prefill_attempt]
        pair = (server, self.prefill_attempt)
        if pair == (self.placement.decode.name, self.attempt_id):
            # One server runs both under one attempt id, so the end releases both.
            return []
        return self.holds.close(server, self.prefill_attempt)

    def _tick(self, now: float) -> list[Action]:
        if now >= self.req.deadline:
            return self.refuse(Refusal(RefusalType.DEADLINE))
        if self.state in _DECODING and now >= self._import_until:
            return self._recovery.stalled(now)
        return []

    def _server_gone(self, server: str, now: float) -> list[Action]:
        if self.state == State.PREFILLING and server == self.placement.prefill.name:
            return self._recovery.prefill_server_gone(now)
        if self.state in _DECODING and server == self.placement.decode.name:
            return self._recovery.decode_server_gone(now)
        return []

    def ran(self, execution: Execution) -> None:
        """Record that the request may have run or did run."""
        if self.execution != Execution.RAN:
            self.execution = execution

    def execution_now(self) -> Execution:
        """Return what is true of the request at this moment."""
        running = self.state in _DECODING or self.state == State.PREFILLING
        if running and self.execution == Execution.NOT_RUN:
            return Execution.MAY_HAVE_RUN
        return self.execution

    def refuse(self, refusal: Refusal) -> list[Action]:
        """End the request with a refusal that says truly whether it ran."""
        truth = attrs.evolve(refusal, execution=self.execution_now())
        return self.end([RefuseCall(truth)])

    def end(self, last: list[Action]) -> list[Action]:
        """End the request and turn every open hold into a cancel."""
        self.state = State.ENDED
        self.prefill_attempt = ""
        return self.holds.cancel_all() + self.shares.end_both() + last
