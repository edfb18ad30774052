"""Run calls to plain services."""

import hashlib
import random
import time
from collections.abc import Callable
from typing import Protocol

import attrs
from result import Ok

from sesameport.daemon.request_path.dispatcher_messages import (
    PlacePlainCall,
    RecordPlainEnd,
)
from sesameport.domain import Execution, PlainRequest, Refusal, RefusalType, Route
from sesameport.interfaces import (
    EngineError,
    EngineErrorKind,
    PlainResponse,
    PlainService,
)
from sesameport.requests import (
    Claim,
    ClaimCompleted,
    ClaimGranted,
    ClaimOutcome,
    ClaimRefused,
    ClaimRequest,
    NoPlainServer,
    PlainCall,
    PlainFailed,
    PlainPlaced,
    PlainResponded,
    RefuseRequest,
    RequestPlainServer,
    ReturnPlainResponse,
    SendPlainCall,
    unknown_outcome,
)

__all__ = ["ClaimStore", "PlainRunner"]

_REPLAYED_HEADER = ("Idempotency-Replayed", "true")
_SERVER_NOT_LISTED = EngineError(
    EngineErrorKind.UNREACHABLE, "the server is not listed"
)


class ClaimStore(Protocol):
    """Store the claims on Idempotency-Keys."""

    def claim(
        self, claim_request: ClaimRequest
    ) -> ClaimGranted | ClaimCompleted | ClaimRefused:
        """Claim a key and wait for the result."""
        ...

    def finish(self, claim: Claim, outcome: ClaimOutcome) -> None:
        """Store the outcome of a call whose claim was granted."""
        ...

    def release(self, claim: Claim) -> None:
        """Remove the claim of a call that did not run."""
        ...


class PlainRunner:
    """Run calls to plain services on the threads of their callers.

    Parameters
    ----------
    dispatcher : pykka.ActorRef
        Dispatcher actor; it places calls and owns the retry budget.
    find_plain_service : callable
        Returns the adapter of a server, or None if the server is not listed.
    claims : ClaimStore
        Stores the claims on Idempotency-Keys.
    clock : callable
        Returns the monotonic time, seconds.
    """

    def __init__(
        self,
        dispatcher,
        find_plain_service: Callable[[str], PlainService | None],
        claims: ClaimStore,
        clock: Callable[[], float],
    ):
        self._dispatcher = dispatcher
        self._find_plain_service = find_plain_service
        self._claims = claims
        self._clock = clock

    def call(self, req: PlainRequest, route: Route) -> PlainResponse | Refusal:
        """Run a call and return its answer, or a refusal.

        A call with an Idempotency-Key that another call has used gets the stored
        outcome of that call.
        """
        if not req.idempotency_key:
            return self._run(req)
        claim_request = ClaimRequest(
            req.request_id,
            req.service,
            req.workspace,
            req.idempotency_key,
            _compute_body_digest(req),
            req.deadline,
        )
        match self._claims.claim(claim_request):
            case ClaimGranted(_, claim):
                return self._run_claimed(req, claim)
            case ClaimCompleted(_, outcome):
                return _replay_outcome(outcome)
            case ClaimRefused(_, refusal):
                return refusal

    def _run_claimed(self, req: PlainRequest, claim: Claim) -> PlainResponse | Refusal:
        answer: PlainResponse | Refusal | None = None
        try:
            # A claimed call runs at most once, even on a repeatable route.
            answer = self._run(attrs.evolve(req, repeatable=False))
        finally:
            if isinstance(answer, PlainResponse):
                outcome = ClaimOutcome(
                    Execution.RAN.value, answer.status, answer.headers, answer.body
                )
                self._claims.finish(claim, outcome)
            elif answer is not None and answer.execution == Execution.NOT_RUN:
                self._claims.release(claim)
            else:
                self._claims.finish(claim, unknown_outcome())
        return answer

    def _run(self, req: PlainRequest) -> PlainResponse | Refusal:
        call = PlainCall(req, req.request_id, random.Random())
        actions = call.start(self._clock())
        while True:
            match actions[0]:
                case RequestPlainServer():
                    event = self._place(req, actions[0])
                case SendPlainCall(server, attempt_id, timeout_s):
                    event = self._send(req, server, attempt_id, timeout_s)
                case ReturnPlainResponse(answer):
                    return answer
                case RefuseRequest(refusal):
                    return refusal
            actions = call.handle(event, self._clock())

    def _place(self, req: PlainRequest, action: RequestPlainServer):
        if action.delay_s:
            time.sleep(action.delay_s)
        message = PlacePlainCall(req, action.exclude, action.spends_budget)
        server = self._dispatcher.ask(message)
        return PlainPlaced(server) if server else NoPlainServer()

    def _send(self, req, server: str, attempt_id: str, timeout_s: float):
        try:
            adapter = self._find_plain_service(server)
            if adapter is None:
                return PlainFailed(attempt_id, _SERVER_NOT_LISTED)
            match adapter.call(req, attempt_id, timeout_s):
                case Ok(answer):
                    return PlainResponded(attempt_id, answer)
                case error:
                    return PlainFailed(attempt_id, error.unwrap_err())
        finally:
            self._dispatcher.tell(RecordPlainEnd(server))


def _compute_body_digest(req: PlainRequest) -> bytes:
    head = f"{req.method} {req.path}\n".encode()
    return hashlib.sha256(head + req.body).digest()[:16]


def _replay_outcome(outcome: ClaimOutcome) -> PlainResponse | Refusal:
    execution = Execution(outcome.execution)
    if execution != Execution.RAN:
        detail = "it is not known whether the first call ran"
        return Refusal(RefusalType.UPSTREAM_FAILED, execution, detail)
    if outcome.truncated:
        detail = f"the call ran with status {outcome.status}; its answer is not kept"
        return Refusal(RefusalType.UPSTREAM_FAILED, execution, detail)
    headers = (*outcome.headers, _REPLAYED_HEADER)
    return PlainResponse(outcome.status, headers, outcome.body)
