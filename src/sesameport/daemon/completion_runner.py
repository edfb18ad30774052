"""Carry out the actions of one completion request on its own thread."""

import time
from collections.abc import Callable, Iterator

import attrs
from result import Err, Ok

from sesameport.daemon.dispatcher_actor import (
    NoteDecodeEnded,
    NotePrefillEnded,
    RemoveRequest,
    RequestInbox,
    Submit,
)
from sesameport.interfaces import Engine, EngineError, EngineErrorKind
from sesameport.requests import (
    CallerGone,
    CancelHold,
    DecodeEnded,
    DecodeFailed,
    Deliver,
    EndAnswer,
    Lifecycle,
    PrefillDone,
    PrefillEnded,
    PrefillFailed,
    RefuseCall,
    StartDecode,
    StartPrefill,
    Stopped,
    TokenArrived,
)
from sesameport.world import CompletionRequest, Execution, Refusal, RefusalType

__all__ = ["CompletionRunner", "RunnerServices"]

_WAIT_STEP_S = 0.25


@attrs.frozen
class RunnerServices:
    """Name what a request's thread uses.

    Attributes
    ----------
    dispatcher : pykka.ActorRef
        The dispatcher.
    find_engine : callable
        Returns the engine adapter of a server name, or None.
    cancel : callable
        Cancels an attempt on a server until that is confirmed; returns at once.
    record : callable
        Takes a request id and the text of a step, for the explanation of a request.
    """

    dispatcher: object
    find_engine: Callable[[str], Engine | None]
    cancel: Callable[[str, str], None]
    record: Callable[[str, str], None]
    clock: Callable[[], float] = time.monotonic


class CompletionRunner:
    """Run one request; ``run`` yields what the caller is to receive."""

    def __init__(
        self,
        req: CompletionRequest,
        attempt_prefix: str,
        services: RunnerServices,
        is_caller_gone: Callable[[], bool],
    ):
        self._req = req
        self._services = services
        self._is_caller_gone = is_caller_gone
        self._lifecycle = Lifecycle(req, attempt_prefix)
        self._inbox = RequestInbox()
        self._actions: list = []
        self.prefill_tokens = 0

    def run(self) -> Iterator[Deliver | EndAnswer | RefuseCall]:
        """Yield the tokens and the end of the answer.

        Closing the iterator early means that the caller is gone; everything that the
        request holds is then cancelled.
        """
        submit = Submit(self._req, self._inbox, self._services.clock())
        refusal = self._services.dispatcher.ask(submit)
        if refusal is not None:
            yield RefuseCall(refusal)
            return
        try:
            yield from self._loop()
        finally:
            self._drain(CallerGone())
            self._services.dispatcher.tell(RemoveRequest(self._req.request_id))

    def _loop(self) -> Iterator[Deliver | EndAnswer | RefuseCall]:
        while True:
            if not self._actions:
                self._handle(self._wait())
                continue
            action = self._actions.pop(0)
            if isinstance(action, Deliver):
                yield action
                continue
            if isinstance(action, (EndAnswer, RefuseCall)):
                yield action
                return
            if isinstance(action, StartDecode):
                yield from self._decode(action)
                continue
            self._carry_out(action)

    def _wait(self):
        while True:
            event = self._inbox.get(_WAIT_STEP_S)
            if event is not None:
                return event
            if self._is_caller_gone():
                return CallerGoneRefusal
            if self._services.clock() > self._req.deadline:
                return Stopped(Refusal(RefusalType.DEADLINE))

    def _handle(self, event) -> None:
        self._actions.extend(self._lifecycle.handle(event, self._services.clock()))

    def _record(self, text: str) -> None:
        self._services.record(self._req.request_id, text)

    def _carry_out(self, action) -> None:
        match action:
            case StartPrefill(server, call):
                self._prefill(server, call)
            case PrefillEnded(placement):
                self._services.dispatcher.tell(NotePrefillEnded(placement))
            case DecodeEnded(placement):
                self._services.dispatcher.tell(NoteDecodeEnded(placement))
            case CancelHold(server, attempt_id):
                self._record(f"cancel {attempt_id} on {server}")
                self._services.cancel(server, attempt_id)

    def _prefill(self, server: str, call) -> None:
        self._record(f"prefill on {server}, {self._req.prompt_tokens} tokens")
        self.prefill_tokens += self._req.prompt_tokens
        engine = self._services.find_engine(server)
        if engine is None:
            error = EngineError(EngineErrorKind.UNREACHABLE, f"no server {server}")
            self._handle(PrefillFailed(call.attempt_id, error))
            return
        match engine.prefill(call):
            case Ok(handle):
                self._handle(PrefillDone(call.attempt_id, handle))
            case Err(error):
                self._handle(PrefillFailed(call.attempt_id, error))

    def _decode(self, action: StartDecode) -> Iterator[Deliver]:
        attempt_id = action.call.attempt_id
        source = action.call.handle.server if action.call.handle else "no server"
        self._record(f"transfer from {source}, decode on {action.server}")
        engine = self._services.find_engine(action.server)
        if engine is None:
            error = EngineError(EngineErrorKind.UNREACHABLE, "server is gone")
            self._handle(DecodeFailed(attempt_id, error))
            return
        opened = engine.decode(action.call)
        if opened.is_err():
            self._handle(DecodeFailed(attempt_id, opened.unwrap_err()))
            return
        stream = opened.unwrap()
        self._inbox.attach(stream)
        try:
            for item in stream:
                if self._inbox.stopped:
                    break
                match item:
                    case Ok(event):
                        self._handle(TokenArrived(event))
                    case Err(error):
                        self._handle(DecodeFailed(attempt_id, error))
                yield from self._take_deliveries()
        finally:
            self._inbox.attach(None)

    def _take_deliveries(self) -> Iterator[Deliver]:
        while self._actions and isinstance(self._actions[0], Deliver):
            yield self._actions.pop(0)

    def _drain(self, event) -> None:
        self._handle(event)
        for action in self._actions:
            self._carry_out(action)
        self._actions.clear()


CallerGoneRefusal = Stopped(
    Refusal(RefusalType.BAD_REQUEST, Execution.NOT_RUN, "the caller closed")
)
