"""Check keys, routes and rates and start requests."""

import hashlib
import itertools
from collections.abc import Callable, Iterator
from typing import Protocol

from sesameport.daemon.fleet.directory import DirectoryHolder
from sesameport.daemon.request_path.caller_requests import (
    COMPLETION_PATHS,
    CompletionBody,
    check_prompt,
    estimate_tokens,
    prefix_digests,
)
from sesameport.daemon.request_path.completion_runner import (
    CompletionRunner,
    RunnerServices,
)
from sesameport.daemon.request_path.request_record import RequestRecord
from sesameport.fleet.keys import KeyDecision, decide_key
from sesameport.fleet.shares import Receipt
from sesameport.interfaces import PlainAnswer
from sesameport.requests import CompleteResponse, DeliverToken, RefuseRequest
from sesameport.telemetry.decisions import DecisionKind
from sesameport.telemetry.recorder import Recorder
from sesameport.world import (
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

__all__ = ["AdmissionDesk", "RateGate"]

_EXPECTED_OUTPUT_SHARE = 0.5
# Waiting a little for tokens avoids refusals of requests that are within the rate. An
# urgent request keeps most of its 1.3 s to the first token.
_CHARGE_WAIT_S = {Urgency.URGENT: 0.3, Urgency.PATIENT: 3.0}


class RateGate(Protocol):
    """Charge requests against the rates of their workspaces."""

    def charge(
        self, service: str, workspace: str, tokens: float, wait_s: float
    ) -> Receipt | Refusal:
        """Charge tokens, waiting up to a bound, and return a receipt or a refusal."""
        ...

    def settle(self, service: str, receipt: Receipt, used: float) -> None:
        """Correct an earlier charge to the tokens used."""
        ...


class AdmissionDesk:
    """Check and start the requests of one host."""

    def __init__(
        self,
        directory: DirectoryHolder,
        services: RunnerServices,
        rates: RateGate,
        are_keys_usable: Callable[[], bool],
        incarnation: str,
        call_plain: Callable[[PlainRequest, Route], PlainAnswer | Refusal],
        max_patient: int,
        recorder: Recorder,
    ):
        self._directory = directory
        self._services = services
        self._rates = rates
        self._are_keys_usable = are_keys_usable
        self._incarnation = incarnation
        self._call_plain = call_plain
        self._numbers = itertools.count(1)
        self._max_patient = max_patient
        self._recorder = recorder
        self._plain_running: set[str] = set()
        self._charging: set[str] = set()
        self.refusing = False
        self.running: dict[str, CompletionRequest] = {}

    def next_request_id(self) -> str:
        """Return a new request id, ``<host>.<incarnation>.<sequence>``."""
        return f"{self._incarnation}.{next(self._numbers)}"

    def count(self) -> int:
        """Return the number of requests that run or wait on this host."""
        return len(self.running) + len(self._charging) + len(self._plain_running)

    def models(self, digest: str) -> list[str] | Refusal:
        """List the names that the holder of a key may put into ``model``.

        Without a usable key the refusal says so, unless a route is open.
        """
        directory = self._directory.current
        found, refusal = [], None
        for doc, model, names in directory.models():
            for path in COMPLETION_PATHS:
                route = directory.find_model_route(doc, path, model.name)
                if route is None:
                    continue
                workspace = self._authenticate(doc, route, digest)
                if isinstance(workspace, Refusal):
                    refusal = refusal or workspace
                    continue
                found.extend(names)
                break
        return sorted(found) if found or refusal is None else refusal

    def start_completion(
        self, request_id, path, body: CompletionBody, digest: str, is_gone
    ) -> Iterator[DeliverToken | CompleteResponse | RefuseRequest] | Refusal:
        """Check a completion and return the iterator of its outputs, or a refusal."""
        if self.refusing:
            return Refusal(RefusalType.SHUTTING_DOWN, retry_after_s=1.0)
        checked = self._check_completion(request_id, path, body, digest)
        if isinstance(checked, Refusal):
            return checked
        charge = checked.prompt_tokens + checked.expected_output_tokens
        record = self._new_record(checked, checked.arrived, charge)
        # A request that waits for tokens counts as running, so that a drain waits too.
        self._charging.add(request_id)
        try:
            receipt = self._admit(checked, charge)
            if isinstance(receipt, Refusal):
                record.refuse(receipt)
                self._finish(record, request_id, receipt)
                return receipt
            runner = CompletionRunner(checked, request_id, self._services, is_gone)
            outputs = self._follow(checked, runner, record, receipt)
            next(outputs)
            return outputs
        finally:
            self._charging.discard(request_id)

    def _admit(self, req: CompletionRequest, charge: int) -> Receipt | Refusal | None:
        if req.urgency == Urgency.PATIENT and self.count() >= self._max_patient:
            return Refusal(RefusalType.QUEUE_FULL, retry_after_s=1.0)
        if not req.workspace:
            return None
        wait_s = _CHARGE_WAIT_S[req.urgency]
        return self._rates.charge(req.service, req.workspace, charge, wait_s)

    @staticmethod
    def _new_record(req, arrived: float, charge: int) -> RequestRecord:
        return RequestRecord(req.service, req.workspace, req.urgency, arrived, charge)

    def _finish(
        self, record: RequestRecord, request_id: str, refusal: Refusal | None
    ) -> None:
        now = self._services.clock()
        self._recorder.record(record.outcome(now))
        if refusal is None:
            return
        inputs = {
            "service": record.service,
            "workspace": record.workspace,
            "execution": refusal.execution.value,
            "detail": refusal.detail,
        }
        slug = refusal.type.slug
        self._recorder.decide(DecisionKind.REFUSAL, slug, now, request_id, inputs)

    def _follow(
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
            # The first item starts the generator, so that its clean-up always runs.
            yield None
            for output in outputs:
                record.note(output, self._services.clock())
                if isinstance(output, CompleteResponse):
                    usage = output.usage
                if isinstance(output, RefuseRequest):
                    refusal = output.refusal
                yield output
        finally:
            outputs.close()
            self.running.pop(req.request_id, None)
            record.prefill_tokens = runner.prefill_tokens
            self._finish(record, req.request_id, refusal)
            used = usage.prompt_tokens + usage.output_tokens
            if not used and record.output_tokens:
                used = req.prompt_tokens + record.output_tokens
            if receipt is not None:
                self._rates.settle(req.service, receipt, used)

    def _check_completion(
        self, request_id, path, body, digest
    ) -> CompletionRequest | Refusal:
        directory = self._directory.current
        found = directory.find_model(body.model)
        if found is None:
            return Refusal(RefusalType.UNKNOWN_MODEL, detail=f"model {body.model!r}")
        doc, model, adapter = found
        route = directory.find_model_route(doc, path, model.name)
        if route is None:
            return Refusal(RefusalType.UNKNOWN_ROUTE)
        workspace = self._authenticate(doc, route, digest)
        if isinstance(workspace, Refusal):
            return workspace
        prompt_tokens = estimate_tokens(body.prompt)
        refusal = check_prompt(prompt_tokens, model)
        if refusal is not None:
            return refusal
        max_tokens = min(
            body.max_tokens or model.max_output_tokens, model.max_output_tokens
        )
        now = self._services.clock()
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
            digest=request_digest(model.name, body.prompt),
            prefix_digests=prefix_digests(body.prompt),
            key_digest=digest if workspace else "",
            arrived=now,
            kv_bytes=prompt_tokens * model.kv_bytes_per_token,
        )

    def find_withdrawn(self) -> list[CompletionRequest]:
        """List the running requests whose key is no longer valid."""
        keys = self._directory.current.keys
        found = []
        for req in list(self.running.values()):
            if not req.workspace:
                continue
            owner = keys.find(req.service, req.key_digest)
            if owner is None or owner.workspace != req.workspace:
                found.append(req)
        return found

    def _authenticate(
        self, doc: ServiceDocument, route: Route, digest: str
    ) -> str | Refusal:
        """Return the workspace that a call runs for; empty on open routes."""
        keys = self._directory.current.keys
        usable = self._are_keys_usable()
        decision, owner = decide_key(keys, doc.name, digest, route.open, usable)
        if decision == KeyDecision.STALE:
            detail = "this host cannot confirm that keys are still valid"
            return Refusal(
                RefusalType.STALE_CONFIGURATION, detail=detail, retry_after_s=2.0
            )
        if decision == KeyDecision.UNKNOWN_KEY:
            return Refusal(RefusalType.UNKNOWN_KEY)
        return owner.workspace if owner is not None else ""

    def call_plain(
        self, request_id, method, path, headers, body, idempotency_key, digest
    ) -> PlainAnswer | Refusal:
        """Check a call to a plain service, run it and return its answer."""
        if self.refusing:
            return Refusal(RefusalType.SHUTTING_DOWN, retry_after_s=1.0)
        matches = self._directory.current.find_plain_routes(path.partition("?")[0])
        if not matches:
            return Refusal(RefusalType.UNKNOWN_ROUTE)
        matches = [item for item in matches if method in item[1].methods]
        if not matches:
            return Refusal(RefusalType.METHOD_NOT_ALLOWED)
        doc, route = matches[0]
        workspace = self._authenticate(doc, route, digest)
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
            deadline=self._services.clock() + route.deadline_s,
            idempotency_key=idempotency_key,
            key_digest=digest if workspace else "",
        )
        record = self._new_record(req, self._services.clock(), route.cost_tokens)
        answer = self._run_plain(req, route, record)
        refusal = answer if isinstance(answer, Refusal) else None
        self._finish(record, request_id, refusal)
        return answer

    def _run_plain(
        self, req: PlainRequest, route: Route, record: RequestRecord
    ) -> PlainAnswer | Refusal:
        self._plain_running.add(req.request_id)
        try:
            return self._charge_and_call(req, route, record)
        finally:
            self._plain_running.discard(req.request_id)

    def _charge_and_call(
        self, req: PlainRequest, route: Route, record: RequestRecord
    ) -> PlainAnswer | Refusal:
        receipt = None
        if route.cost_tokens and req.workspace:
            wait_s = _CHARGE_WAIT_S[req.urgency]
            receipt = self._rates.charge(
                req.service, req.workspace, route.cost_tokens, wait_s
            )
            if isinstance(receipt, Refusal):
                record.refuse(receipt)
                return receipt
        answer = self._call_plain(req, route)
        if not isinstance(answer, Refusal):
            record.answered(self._services.clock())
            return answer
        record.refuse(answer)
        if receipt is not None and answer.execution == Execution.NOT_RUN:
            self._rates.settle(req.service, receipt, 0)
        return answer


def request_digest(model: str, prompt: str) -> str:
    """Return the SHA-256 by which a request is recognised, without its text."""
    return hashlib.sha256(f"{model}\0{prompt}".encode()).hexdigest()
