"""Authenticate, charge and start the requests of callers."""

import hashlib
import itertools
from collections.abc import Callable, Iterator
from typing import Protocol

from sesameport.daemon.fleet.configuration_snapshot import ConfigurationPublisher
from sesameport.daemon.request_path.caller_requests import (
    COMPLETION_PATHS,
    CompletionBody,
    check_prompt,
    compute_prefix_digests,
    estimate_tokens,
)
from sesameport.daemon.request_path.completion_runner import (
    CompletionRunner,
    RunnerContext,
)
from sesameport.daemon.request_path.request_record import RequestRecord
from sesameport.domain import (
    CompletionRequest,
    Execution,
    PlainRequest,
    Refusal,
    RefusalType,
    Route,
    ServiceDocument,
    Urgency,
    Usage,
)
from sesameport.fleet.keys import KeyDecision, decide_key
from sesameport.fleet.shares import Receipt
from sesameport.interfaces import PlainResponse
from sesameport.requests import CompleteResponse, DeliverToken, RefuseRequest
from sesameport.telemetry.decisions import DecisionKind
from sesameport.telemetry.recorder import Recorder

__all__ = ["RateLimiter", "RequestAdmission"]

_EXPECTED_OUTPUT_SHARE = 0.5
"""Expected output as a share of the allowed output."""

_CHARGE_WAIT_S = {Urgency.URGENT: 0.3, Urgency.PATIENT: 3.0}
"""A short wait for rate tokens avoids refusing requests that are within the rate. An
urgent request keeps most of its 1.3 s to the first token."""


class RateLimiter(Protocol):
    """Charge requests against the rates of their workspaces."""

    def charge(
        self, service: str, workspace: str, tokens: float, wait_s: float
    ) -> Receipt | Refusal:
        """Charge tokens and return a receipt, or a refusal after the wait bound."""
        ...

    def settle(self, service: str, receipt: Receipt, used: float) -> None:
        """Adjust an earlier charge to the tokens that were used."""
        ...


class RequestAdmission:
    """Check and start the requests of one host.

    Parameters
    ----------
    configuration : ConfigurationPublisher
        Current documents, keys and servers.
    context : RunnerContext
        Parts that completion runners use.
    rates : RateLimiter
        Charges requests against the rates of their workspaces.
    can_accept_keys : callable
        Returns whether the configuration is fresh enough to accept keys.
    request_id_prefix : str
        ``<host>.<incarnation>``.
    call_plain : callable
        Runs a call to a plain service.
    max_patient_requests : int
        Number of requests on this host from which patient completions are refused.
    recorder : Recorder
        Records outcomes and refusals.

    Attributes
    ----------
    is_refusing : bool
        Whether new requests are refused because the host shuts down.
    running : dict of str to CompletionRequest
        Running completions by request id.
    """

    def __init__(
        self,
        configuration: ConfigurationPublisher,
        context: RunnerContext,
        rates: RateLimiter,
        can_accept_keys: Callable[[], bool],
        request_id_prefix: str,
        call_plain: Callable[[PlainRequest, Route], PlainResponse | Refusal],
        max_patient_requests: int,
        recorder: Recorder,
    ):
        self._configuration = configuration
        self._context = context
        self._rates = rates
        self._can_accept_keys = can_accept_keys
        self._request_id_prefix = request_id_prefix
        self._call_plain = call_plain
        self._sequence = itertools.count(1)
        self._max_patient_requests = max_patient_requests
        self._recorder = recorder
        self._plain_running: set[str] = set()
        self._charging: set[str] = set()
        self.is_refusing = False
        self.running: dict[str, CompletionRequest] = {}

    def next_request_id(self) -> str:
        """Return a new request id, ``<host>.<incarnation>.<sequence>``."""
        return f"{self._request_id_prefix}.{next(self._sequence)}"

    def count_in_flight(self) -> int:
        """Return the number of requests that run or wait on this host."""
        return len(self.running) + len(self._charging) + len(self._plain_running)

    def list_models(self, key_digest: str) -> list[str] | Refusal:
        """Return the model names that a key may use, or a refusal.

        A request without a valid key sees only the models of open routes.
        """
        configuration = self._configuration.current
        usable_names, refusal = [], None
        for doc, model, names in configuration.list_models():
            for path in COMPLETION_PATHS:
                route = configuration.find_model_route(doc, path, model.name)
                if route is None:
                    continue
                workspace = self._authenticate(doc, route, key_digest)
                if isinstance(workspace, Refusal):
                    refusal = refusal or workspace
                    continue
                usable_names.extend(names)
                break
        return sorted(usable_names) if usable_names or refusal is None else refusal

    def start_completion(
        self, request_id, path, body: CompletionBody, key_digest: str, is_disconnected
    ) -> Iterator[DeliverToken | CompleteResponse | RefuseRequest] | Refusal:
        """Start a completion and return an iterator of its outputs, or a refusal."""
        if self.is_refusing:
            return Refusal(RefusalType.SHUTTING_DOWN, retry_after_s=1.0)
        req = self._check_completion(request_id, path, body, key_digest)
        if isinstance(req, Refusal):
            return req
        charge = req.prompt_tokens + req.expected_output_tokens
        record = self._new_record(req, req.arrived_at, charge)
        # A drain also waits for requests that wait for rate tokens.
        self._charging.add(request_id)
        try:
            receipt = self._admit(req, charge)
            if isinstance(receipt, Refusal):
                record.record_refusal(receipt)
                self._record_outcome(record, request_id, receipt)
                return receipt
            runner = CompletionRunner(req, request_id, self._context, is_disconnected)
            outputs = self._run_and_record(req, runner, record, receipt)
            next(outputs)
            return outputs
        finally:
            self._charging.discard(request_id)

    def _admit(self, req: CompletionRequest, charge: int) -> Receipt | Refusal | None:
        """Return the receipt of the charge, or None for a request without a workspace.

        A request that is not admitted gets a refusal.
        """
        if (
            req.urgency == Urgency.PATIENT
            and self.count_in_flight() >= self._max_patient_requests
        ):
            return Refusal(RefusalType.QUEUE_FULL, retry_after_s=1.0)
        if not req.workspace:
            return None
        wait_s = _CHARGE_WAIT_S[req.urgency]
        return self._rates.charge(req.service, req.workspace, charge, wait_s)

    @staticmethod
    def _new_record(req, arrived_at: float, charge: int) -> RequestRecord:
        return RequestRecord(
            req.service, req.workspace, req.urgency, arrived_at, charge
        )

    def _record_outcome(
        self, record: RequestRecord, request_id: str, refusal: Refusal | None
    ) -> None:
        now = self._context.clock()
        self._recorder.record_outcome(record.build_outcome(now))
        if refusal is None:
            return
        inputs = {
            "service": record.service,
            "workspace": record.workspace,
            "execution": refusal.execution.value,
            "detail": refusal.detail,
        }
        slug = refusal.type.slug
        self._recorder.record_decision(
            DecisionKind.REFUSAL, slug, now, request_id, inputs
        )

    def _run_and_record(
        self,
        req: CompletionRequest,
        runner: CompletionRunner,
        record: RequestRecord,
        receipt: Receipt | None,
    ):
        self.running[req.request_id] = req
        usage, refusal = Usage(), None
        outputs = runner.run()
        try:
            # A started generator always runs its cleanup, even if it is never read.
            yield None
            for output in outputs:
                record.record_output(output, self._context.clock())
                if isinstance(output, CompleteResponse):
                    usage = output.usage
                if isinstance(output, RefuseRequest):
                    refusal = output.refusal
                yield output
        finally:
            outputs.close()
            self.running.pop(req.request_id, None)
            record.prefill_tokens = runner.prefill_tokens
            self._record_outcome(record, req.request_id, refusal)
            used = usage.prompt_tokens + usage.output_tokens
            if not used and record.output_tokens:
                used = req.prompt_tokens + record.output_tokens
            if receipt is not None:
                self._rates.settle(req.service, receipt, used)

    def _check_completion(
        self, request_id, path, body, key_digest
    ) -> CompletionRequest | Refusal:
        configuration = self._configuration.current
        model_entry = configuration.find_model(body.model)
        if model_entry is None:
            return Refusal(RefusalType.UNKNOWN_MODEL, detail=f"model {body.model!r}")
        doc, model, adapter = model_entry
        route = configuration.find_model_route(doc, path, model.name)
        if route is None:
            return Refusal(RefusalType.UNKNOWN_ROUTE)
        workspace = self._authenticate(doc, route, key_digest)
        if isinstance(workspace, Refusal):
            return workspace
        prompt_tokens = estimate_tokens(body.prompt)
        refusal = check_prompt(prompt_tokens, model)
        if refusal is not None:
            return refusal
        max_tokens = min(
            body.max_tokens or model.max_output_tokens, model.max_output_tokens
        )
        now = self._context.clock()
        return CompletionRequest(
            request_id=request_id,
            service=doc.name,
            workspace=workspace,
            model=model.name,
            adapter=adapter,
            prompt=body.prompt,
            prompt_tokens=prompt_tokens,
            max_output_tokens=max_tokens,
            expected_output_tokens=max(1, int(max_tokens * _EXPECTED_OUTPUT_SHARE)),
            urgency=route.urgency,
            deadline=now + route.deadline_s,
            digest=compute_request_digest(model.name, body.prompt),
            prefix_digests=compute_prefix_digests(body.prompt),
            key_digest=key_digest if workspace else "",
            arrived_at=now,
            kv_bytes=prompt_tokens * model.kv_bytes_per_token,
        )

    def find_withdrawn_key_requests(self) -> list[CompletionRequest]:
        """Return the running completions whose key is no longer valid."""
        keys = self._configuration.current.keys
        withdrawn = []
        for req in list(self.running.values()):
            if not req.workspace:
                continue
            owner = keys.find(req.service, req.key_digest)
            if owner is None or owner.workspace != req.workspace:
                withdrawn.append(req)
        return withdrawn

    def _authenticate(
        self, doc: ServiceDocument, route: Route, key_digest: str
    ) -> str | Refusal:
        """Return the workspace of a key, or an empty text on an open route."""
        keys = self._configuration.current.keys
        is_usable = self._can_accept_keys()
        decision, owner = decide_key(keys, doc.name, key_digest, route.open, is_usable)
        if decision == KeyDecision.STALE:
            detail = "this host cannot confirm that keys are still valid"
            return Refusal(
                RefusalType.STALE_CONFIGURATION, detail=detail, retry_after_s=2.0
            )
        if decision == KeyDecision.UNKNOWN_KEY:
            return Refusal(RefusalType.UNKNOWN_KEY)
        return owner.workspace if owner is not None else ""

    def call_plain(
        self, request_id, method, path, headers, body, idempotency_key, key_digest
    ) -> PlainResponse | Refusal:
        """Run a call to a plain service and return its answer, or a refusal."""
        if self.is_refusing:
            return Refusal(RefusalType.SHUTTING_DOWN, retry_after_s=1.0)
        matches = self._configuration.current.find_plain_routes(path.partition("?")[0])
        if not matches:
            return Refusal(RefusalType.UNKNOWN_ROUTE)
        matches = [match for match in matches if method in match[1].methods]
        if not matches:
            return Refusal(RefusalType.METHOD_NOT_ALLOWED)
        doc, route = matches[0]
        workspace = self._authenticate(doc, route, key_digest)
        if isinstance(workspace, Refusal):
            return workspace
        req = PlainRequest(
            request_id=request_id,
            service=doc.name,
            workspace=workspace,
            method=method,
            path=path,
            headers=headers,
            body=body,
            repeatable=route.repeatable,
            urgency=route.urgency,
            deadline=self._context.clock() + route.deadline_s,
            idempotency_key=idempotency_key,
            key_digest=key_digest if workspace else "",
        )
        record = self._new_record(req, self._context.clock(), route.cost_tokens)
        answer = self._run_plain(req, route, record)
        refusal = answer if isinstance(answer, Refusal) else None
        self._record_outcome(record, request_id, refusal)
        return answer

    def _run_plain(
        self, req: PlainRequest, route: Route, record: RequestRecord
    ) -> PlainResponse | Refusal:
        self._plain_running.add(req.request_id)
        try:
            return self._charge_and_call(req, route, record)
        finally:
            self._plain_running.discard(req.request_id)

    def _charge_and_call(
        self, req: PlainRequest, route: Route, record: RequestRecord
    ) -> PlainResponse | Refusal:
        receipt = None
        if route.cost_tokens and req.workspace:
            wait_s = _CHARGE_WAIT_S[req.urgency]
            receipt = self._rates.charge(
                req.service, req.workspace, route.cost_tokens, wait_s
            )
            if isinstance(receipt, Refusal):
                record.record_refusal(receipt)
                return receipt
        answer = self._call_plain(req, route)
        if not isinstance(answer, Refusal):
            record.record_plain_answer(self._context.clock())
            return answer
        record.record_refusal(answer)
        if receipt is not None and answer.execution == Execution.NOT_RUN:
            self._rates.settle(req.service, receipt, 0)
        return answer


def compute_request_digest(model: str, prompt: str) -> str:
    """Return the SHA-256 that identifies a request without storing its text."""
    return hashlib.sha256(f"{model}\0{prompt}".encode()).hexdigest()
