"""Run the actions of one completion request on the thread of its caller."""

import random
import time
from collections.abc import Callable, Iterator

import attrs
from result import Err, Ok

from sesameport.daemon.request_path.dispatcher_messages import (
    RecordAttempt,
    RecordCompletion,
    RecordDecodeEnd,
    RecordImportEnd,
    RecordPrefillEnd,
    RecordStateLoss,
    RemoveRequest,
    RequestInbox,
    RetryDecodePlacement,
    RetryPlacement,
    SubmitRequest,
)
from sesameport.domain import CompletionRequest, Refusal, RefusalType
from sesameport.interfaces import Engine, EngineError, EngineErrorKind
from sesameport.requests import (
    CallerDisconnected,
    CancelHold,
    CloseHold,
    CompleteResponse,
    DecodeFailed,
    DeliverToken,
    Lifecycle,
    OpenHold,
    PrefillDone,
    PrefillFailed,
    RecoveryConfig,
    RefuseRequest,
    ReleaseDecodeSlot,
    ReleaseLinkShare,
    ReleasePrefillShare,
    ReportStateLoss,
    RequestDecodePlacement,
    RequestPlacement,
    ResumeDecode,
    ResumeFailed,
    StartDecode,
    StartPrefill,
    StopRequested,
    Tick,
    TokenArrived,
)

__all__ = ["CompletionRunner", "RunnerContext"]

_DISCONNECT_CHECK_PERIOD_S = 0.25
"""Longest wait for an event before the caller's connection is checked."""
_SERVER_NOT_LISTED = EngineError(
    EngineErrorKind.UNREACHABLE, "the server is not listed"
)


@attrs.frozen
class RunnerContext:
    """Hold the parts of a host that every completion runner uses.

    Attributes
    ----------
    dispatcher : pykka.ActorRef
        Dispatcher actor.
    find_engine : callable
        Returns the engine adapter of a server name, or None.
    send_hold_action : callable
        Sends ``OpenHold``, ``CloseHold`` or ``CancelHold`` to the hold registry without
        waiting.
    record_step : callable
        Records a step under a request id, for the explanation of the request.
    clock : callable
        Returns the monotonic time, seconds.
    recovery : RecoveryConfig
        Bounds of retries.
    """

    dispatcher: object
    find_engine: Callable[[str], Engine | None]
    send_hold_action: Callable[[object], None]
    record_step: Callable[[str, str], None]
    clock: Callable[[], float] = time.monotonic
    recovery: RecoveryConfig = RecoveryConfig()


@attrs.frozen
class _PrefillCanceller:
    """Interrupt a prefill by its cancel; the engine then fails the prefill call."""

    send_hold_action: Callable[[object], None]
    cancel: CancelHold

    def close(self) -> None:
        self.send_hold_action(self.cancel)


class CompletionRunner:
    """Run one completion request.

    Parameters
    ----------
    req : CompletionRequest
        The request, already charged.
    attempt_prefix : str
        Prefix of the attempt ids.
    context : RunnerContext
        Dispatcher, engines and hold registry.
    is_caller_disconnected : callable
        Returns whether the caller closed its connection.

    Attributes
    ----------
    prefill_tokens : int
        Prompt tokens of all prefills that were started, tokens.
    """

    def __init__(
        self,
        req: CompletionRequest,
        attempt_prefix: str,
        context: RunnerContext,
        is_caller_disconnected: Callable[[], bool],
    ):
        self._req = req
        self._context = context
        self._is_caller_disconnected = is_caller_disconnected
        self._lifecycle = Lifecycle(
            req, attempt_prefix, context.recovery, random.Random()
        )
        self._inbox = RequestInbox()
        self._actions: list = []
        self.prefill_tokens = 0

    def run(self) -> Iterator[DeliverToken | CompleteResponse | RefuseRequest]:
        """Yield the tokens of the answer, then its end or a refusal.

        Close the iterator early when the caller disconnects; all holds of the request
        are then cancelled.
        """
        submit = SubmitRequest(self._req, self._inbox, self._context.clock())
        refusal = self._context.dispatcher.ask(submit)
        if refusal is not None:
            yield RefuseRequest(refusal)
            return
        try:
            yield from self._execute_actions()
        finally:
            try:
                self._clean_up(CallerDisconnected())
            finally:
                self._context.dispatcher.tell(RemoveRequest(self._req.request_id))

    def _execute_actions(
        self,
    ) -> Iterator[DeliverToken | CompleteResponse | RefuseRequest]:
        while True:
            if not self._actions:
                self._handle_event(self._wait_for_event())
                continue
            action = self._actions.pop(0)
            if isinstance(action, DeliverToken):
                yield action
                continue
            if isinstance(action, (CompleteResponse, RefuseRequest)):
                if isinstance(action, CompleteResponse):
                    self._context.dispatcher.tell(RecordCompletion(self._req.digest))
                yield action
                return
            if isinstance(action, (StartDecode, ResumeDecode)):
                yield from self._open_stream(action)
                continue
            self._execute(action)

    def _wait_for_event(self, timeout_s: float | None = None):
        """Return the next event, or None after the timeout."""
        deadline = None if timeout_s is None else self._context.clock() + timeout_s
        while True:
            now = self._context.clock()
            if deadline is not None and now >= deadline:
                return None
            period_s = (
                _DISCONNECT_CHECK_PERIOD_S
                if deadline is None
                else min(_DISCONNECT_CHECK_PERIOD_S, deadline - now)
            )
            event = self._inbox.get(period_s)
            if event is not None:
                return event
            if self._is_caller_disconnected():
                return _CALLER_DISCONNECTED
            if self._context.clock() >= self._lifecycle.wake_at():
                return Tick()

    def _handle_event(self, event) -> None:
        self._actions.extend(self._lifecycle.handle(event, self._context.clock()))

    def _handle_pending_events(self) -> None:
        """Handle events that arrived during a call before the result of the call."""
        while (event := self._inbox.get(0.0)) is not None:
            self._handle_event(event)
        if self._context.clock() >= self._lifecycle.wake_at():
            self._handle_event(Tick())

    def _record_step(self, text: str) -> None:
        self._context.record_step(self._req.request_id, text)

    def _execute(self, action) -> None:
        match action:
            case StartPrefill(server, call):
                self._prefill(server, call)
            case RequestPlacement() | RequestDecodePlacement():
                self._retry_placement(action)
            case OpenHold() | CloseHold() | CancelHold():
                self._forward_hold_action(action)
            case _:
                self._notify_dispatcher(action)

    def _notify_dispatcher(self, action) -> None:
        tell = self._context.dispatcher.tell
        match action:
            case ReleasePrefillShare(placement):
                tell(RecordPrefillEnd(placement))
            case ReleaseDecodeSlot(placement):
                tell(RecordDecodeEnd(placement))
            case ReleaseLinkShare(placement):
                tell(RecordImportEnd(placement))
            case ReportStateLoss(server, attempt_id):
                self._record_step(f"{server} lost {attempt_id}")
                tell(RecordStateLoss(server, attempt_id))

    def _forward_hold_action(self, action) -> None:
        if isinstance(action, CancelHold):
            self._record_step(f"cancel {action.attempt_id} on {action.server}")
        digest = self._req.digest if isinstance(action, OpenHold) else ""
        message = RecordAttempt(action.server, action.attempt_id, digest)
        self._context.dispatcher.tell(message)
        self._context.send_hold_action(action)

    def _retry_placement(
        self, action: RequestPlacement | RequestDecodePlacement
    ) -> None:
        if isinstance(action, RequestDecodePlacement):
            self._record_step("ask for another decode server")
            message = RetryDecodePlacement(self._req, action.exclude)
            self._handle_event(self._context.dispatcher.ask(message))
            return
        event = self._wait_for_event(action.delay_s)
        if event is not None:
            self._handle_event(event)
            if self._lifecycle.is_ended():
                return
        self._record_step("ask for another prefill and decode server")
        message = RetryPlacement(self._req, action.exclude, action.spends_budget)
        self._handle_event(self._context.dispatcher.ask(message))

    def _prefill(self, server: str, call) -> None:
        self._record_step(f"prefill on {server}, {self._req.prompt_tokens} tokens")
        self.prefill_tokens += self._req.prompt_tokens
        engine = self._context.find_engine(server)
        if engine is None:
            self._handle_event(PrefillFailed(call.attempt_id, _SERVER_NOT_LISTED))
            return
        cancel = CancelHold(server, call.attempt_id)
        self._inbox.set_current_call(
            server, _PrefillCanceller(self._context.send_hold_action, cancel)
        )
        try:
            prefill_result = engine.prefill(call)
        finally:
            self._inbox.set_current_call("", None)
        self._handle_pending_events()
        match prefill_result:
            case Ok(kv_handle):
                self._handle_event(PrefillDone(call.attempt_id, kv_handle))
            case Err(error):
                self._record_step(f"prefill on {server} failed: {error.kind.value}")
                self._handle_event(PrefillFailed(call.attempt_id, error))

    def _open_stream(
        self, action: StartDecode | ResumeDecode
    ) -> Iterator[DeliverToken]:
        """Start or resume a decode and yield its tokens until the stream ends."""
        is_resume = isinstance(action, ResumeDecode)
        failure_event = ResumeFailed if is_resume else DecodeFailed
        attempt_id = action.attempt_id if is_resume else action.call.attempt_id
        self._record_step(_describe(action))
        engine = self._context.find_engine(action.server)
        if engine is None:
            self._handle_event(failure_event(attempt_id, _SERVER_NOT_LISTED))
            return
        if is_resume:
            event = self._wait_for_event(action.delay_s) if action.delay_s else None
            if event is not None:
                self._handle_event(event)
                if self._lifecycle.is_ended():
                    return
            stream_result = engine.resume(attempt_id, action.offset)
        else:
            event = self._wait_for_event(action.not_before - self._context.clock())
            if event is not None:
                self._handle_event(event)
                return
            stream_result = engine.decode(action.call)
        if stream_result.is_err():
            error = stream_result.unwrap_err()
            self._record_step(f"decode on {action.server} failed: {error.kind.value}")
            self._handle_pending_events()
            self._handle_event(failure_event(attempt_id, error))
            return
        yield from self._read_stream(action.server, attempt_id, stream_result.unwrap())

    def _read_stream(
        self, server: str, attempt_id: str, stream
    ) -> Iterator[DeliverToken]:
        self._inbox.set_current_call(server, stream)
        try:
            for token_result in stream:
                self._handle_pending_events()
                match token_result:
                    case Ok(event):
                        self._handle_event(TokenArrived(event))
                    case Err(error):
                        self._record_step(f"stream of {server}: {error.kind.value}")
                        self._handle_event(DecodeFailed(attempt_id, error))
                yield from self._yield_deliveries()
                if self._actions and not isinstance(
                    self._actions[-1], CompleteResponse
                ):
                    # The lifecycle abandoned this stream.
                    break
        finally:
            self._inbox.set_current_call("", None)
            stream.close()

    def _yield_deliveries(self) -> Iterator[DeliverToken]:
        while self._actions:
            action = self._actions[0]
            if isinstance(action, DeliverToken):
                yield self._actions.pop(0)
            elif isinstance(action, (ReleaseLinkShare, CloseHold)):
                self._execute(self._actions.pop(0))
            else:
                return

    def _clean_up(self, event) -> None:
        self._handle_event(event)
        for action in self._actions:
            if isinstance(action, _CLEANUP_ACTIONS):
                self._execute(action)
        self._actions.clear()


_CLEANUP_ACTIONS = (
    OpenHold,
    CloseHold,
    CancelHold,
    ReleasePrefillShare,
    ReleaseDecodeSlot,
    ReleaseLinkShare,
    ReportStateLoss,
)

_CALLER_DISCONNECTED = StopRequested(
    Refusal(RefusalType.BAD_REQUEST, detail="the caller closed the connection")
)


def _describe(action: StartDecode | ResumeDecode) -> str:
    if isinstance(action, ResumeDecode):
        return f"resume on {action.server} from token {action.offset}"
    source = action.call.handle.server if action.call.handle else "no server"
    return f"transfer from {source}, decode on {action.server}"
