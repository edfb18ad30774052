"""Carry out the actions of one completion request on its own thread."""

import random
import time
from collections.abc import Callable, Iterator

import attrs
from result import Err, Ok

from sesameport.daemon.request_path.dispatcher_messages import (
    NoteAttempt,
    NoteCompleted,
    NoteDecodeEnded,
    NoteImportDone,
    NoteLost,
    NotePrefillEnded,
    PlaceAgain,
    PlaceDecodeAgain,
    RemoveRequest,
    RequestInbox,
    Submit,
)
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
from sesameport.world import CompletionRequest, Refusal, RefusalType

__all__ = ["CompletionRunner", "RunnerServices"]

_WAIT_STEP_S = 0.25
_NO_SERVER = EngineError(EngineErrorKind.UNREACHABLE, "the server is not listed")


@attrs.frozen
class RunnerServices:
    """Name what a request's thread uses.

    Attributes
    ----------
    dispatcher : pykka.ActorRef
        The dispatcher.
    find_engine : callable
        Returns the engine adapter of a server name, or None.
    tell_holds : callable
        Passes ``OpenHold``, ``CloseHold`` and ``CancelHold`` to the ledger; returns at
        once.
    record : callable
        Takes a request id and the text of a step, for the explanation of a request.
    recovery : RecoveryConfig
        Bounds of retries.
    """

    dispatcher: object
    find_engine: Callable[[str], Engine | None]
    tell_holds: Callable[[object], None]
    record: Callable[[str, str], None]
    clock: Callable[[], float] = time.monotonic
    recovery: RecoveryConfig = RecoveryConfig()


@attrs.frozen
class _RunningPrefill:
    """Interrupt a prefill: the engine then answers the call with an error."""

    tell_holds: Callable[[object], None]
    hold: CancelHold

    def close(self) -> None:
        self.tell_holds(self.hold)


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
        self._lifecycle = Lifecycle(
            req, attempt_prefix, services.recovery, random.Random()
        )
        self._inbox = RequestInbox()
        self._actions: list = []
        self.prefill_tokens = 0

    def run(self) -> Iterator[DeliverToken | CompleteResponse | RefuseRequest]:
        """Yield the tokens and the end of the answer.

        Closing the iterator early means that the caller is gone; everything that the
        request holds is then cancelled.
        """
        submit = Submit(self._req, self._inbox, self._services.clock())
        refusal = self._services.dispatcher.ask(submit)
        if refusal is not None:
            yield RefuseRequest(refusal)
            return
        try:
            yield from self._loop()
        finally:
            self._drain(CallerDisconnected())
            self._services.dispatcher.tell(RemoveRequest(self._req.request_id))

    def _loop(self) -> Iterator[DeliverToken | CompleteResponse | RefuseRequest]:
        while True:
            if not self._actions:
                self._handle(self._wait())
                continue
            action = self._actions.pop(0)
            if isinstance(action, DeliverToken):
                yield action
                continue
            if isinstance(action, (CompleteResponse, RefuseRequest)):
                if isinstance(action, CompleteResponse):
                    self._services.dispatcher.tell(NoteCompleted(self._req.digest))
                yield action
                return
            if isinstance(action, (StartDecode, ResumeDecode)):
                yield from self._read(action)
                continue
            self._carry_out(action)

    def _wait(self, timeout_s: float | None = None):
        """Return the next event; None when the timeout passes without one."""
        end = None if timeout_s is None else self._services.clock() + timeout_s
        while True:
            now = self._services.clock()
            if end is not None and now >= end:
                return None
            step_s = _WAIT_STEP_S if end is None else min(_WAIT_STEP_S, end - now)
            event = self._inbox.get(step_s)
            if event is not None:
                return event
            if self._is_caller_gone():
                return CallerGoneRefusal
            if self._services.clock() >= self._lifecycle.wake_at():
                return Tick()

    def _handle(self, event) -> None:
        self._actions.extend(self._lifecycle.handle(event, self._services.clock()))

    def _take_events(self) -> None:
        """Handle what came while the thread was busy, before the call's outcome."""
        while (event := self._inbox.get(0.0)) is not None:
            self._handle(event)
        if self._services.clock() >= self._lifecycle.wake_at():
            self._handle(Tick())

    def _record(self, text: str) -> None:
        self._services.record(self._req.request_id, text)

    def _carry_out(self, action) -> None:
        match action:
            case StartPrefill(server, call):
                self._prefill(server, call)
            case RequestPlacement() | RequestDecodePlacement():
                self._place_again(action)
            case OpenHold() | CloseHold() | CancelHold():
                self._note_hold(action)
            case _:
                self._tell_dispatcher(action)

    def _tell_dispatcher(self, action) -> None:
        tell = self._services.dispatcher.tell
        match action:
            case ReleasePrefillShare(placement):
                tell(NotePrefillEnded(placement))
            case ReleaseDecodeSlot(placement):
                tell(NoteDecodeEnded(placement))
            case ReleaseLinkShare(placement):
                tell(NoteImportDone(placement))
            case ReportStateLoss(server, attempt_id):
                self._record(f"{server} lost {attempt_id}")
                tell(NoteLost(server, attempt_id))

    def _note_hold(self, action) -> None:
        if isinstance(action, CancelHold):
            self._record(f"cancel {action.attempt_id} on {action.server}")
        digest = self._req.digest if isinstance(action, OpenHold) else ""
        note = NoteAttempt(action.server, action.attempt_id, digest)
        self._services.dispatcher.tell(note)
        self._services.tell_holds(action)

    def _place_again(self, action: RequestPlacement | RequestDecodePlacement) -> None:
        if isinstance(action, RequestDecodePlacement):
            self._record("ask for another decode server")
            message = PlaceDecodeAgain(self._req, action.exclude)
            self._handle(self._services.dispatcher.ask(message))
            return
        event = self._wait(action.delay_s)
        if event is not None:
            self._handle(event)
            if self._lifecycle.is_ended():
                return
        self._record("ask for another prefill and decode server")
        message = PlaceAgain(self._req, action.exclude, action.spends_budget)
        self._handle(self._services.dispatcher.ask(message))

    def _prefill(self, server: str, call) -> None:
        self._record(f"prefill on {server}, {self._req.prompt_tokens} tokens")
        self.prefill_tokens += self._req.prompt_tokens
        engine = self._services.find_engine(server)
        if engine is None:
            self._handle(PrefillFailed(call.attempt_id, _NO_SERVER))
            return
        hold = CancelHold(server, call.attempt_id)
        self._inbox.attach(server, _RunningPrefill(self._services.tell_holds, hold))
        try:
            found = engine.prefill(call)
        finally:
            self._inbox.attach("", None)
        self._take_events()
        match found:
            case Ok(handle):
                self._handle(PrefillDone(call.attempt_id, handle))
            case Err(error):
                self._record(f"prefill on {server} failed: {error.kind.value}")
                self._handle(PrefillFailed(call.attempt_id, error))

    def _read(self, action: StartDecode | ResumeDecode) -> Iterator[DeliverToken]:
        """Open a stream and pass its tokens on until it ends or is abandoned."""
        resumes = isinstance(action, ResumeDecode)
        failed = ResumeFailed if resumes else DecodeFailed
        attempt_id = action.attempt_id if resumes else action.call.attempt_id
        self._record(_describe(action))
        engine = self._services.find_engine(action.server)
        if engine is None:
            self._handle(failed(attempt_id, _NO_SERVER))
            return
        if resumes:
            event = self._wait(action.delay_s) if action.delay_s else None
            if event is not None:
                self._handle(event)
                if self._lifecycle.is_ended():
                    return
            opened = engine.resume(attempt_id, action.offset)
        else:
            event = self._wait(action.not_before - self._services.clock())
            if event is not None:
                self._handle(event)
                return
            opened = engine.decode(action.call)
        if opened.is_err():
            error = opened.unwrap_err()
            self._record(f"decode on {action.server} failed: {error.kind.value}")
            self._take_events()
            self._handle(failed(attempt_id, error))
            return
        yield from self._read_stream(action.server, attempt_id, opened.unwrap())

    def _read_stream(
        self, server: str, attempt_id: str, stream
    ) -> Iterator[DeliverToken]:
        self._inbox.attach(server, stream)
        try:
            for item in stream:
                self._take_events()
                match item:
                    case Ok(event):
                        self._handle(TokenArrived(event))
                    case Err(error):
                        self._record(f"stream of {server}: {error.kind.value}")
                        self._handle(DecodeFailed(attempt_id, error))
                yield from self._take_deliveries()
                if self._actions and not isinstance(
                    self._actions[-1], CompleteResponse
                ):
                    # Anything else means that this stream is not read on.
                    break
        finally:
            self._inbox.attach("", None)
            stream.close()

    def _take_deliveries(self) -> Iterator[DeliverToken]:
        while self._actions:
            action = self._actions[0]
            if isinstance(action, DeliverToken):
                yield self._actions.pop(0)
            elif isinstance(action, (ReleaseLinkShare, CloseHold)):
                self._carry_out(self._actions.pop(0))
            else:
                return

    def _drain(self, event) -> None:
        self._handle(event)
        for action in self._actions:
            if isinstance(action, _ENDING):
                self._carry_out(action)
        self._actions.clear()


_ENDING = (
    OpenHold,
    CloseHold,
    CancelHold,
    ReleasePrefillShare,
    ReleaseDecodeSlot,
    ReleaseLinkShare,
    ReportStateLoss,
)

CallerGoneRefusal = StopRequested(
    Refusal(RefusalType.BAD_REQUEST, detail="the caller closed the connection")
)


def _describe(action: StartDecode | ResumeDecode) -> str:
    if isinstance(action, ResumeDecode):
        return f"resume on {action.server} from token {action.offset}"
    source = action.call.handle.server if action.call.handle else "no server"
    return f"transfer from {source}, decode on {action.server}"
