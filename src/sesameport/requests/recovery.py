"""Choose the next step after a failed attempt of a completion request.

Recovery first resumes the stream on the same engine. If that fails, it imports the KV
cache on another decode server while the KV handle is valid. Otherwise it prefills again
on other servers.
"""

import random
from typing import Protocol

import attrs

from sesameport.domain import CompletionRequest, Execution, Refusal, RefusalType
from sesameport.interfaces import EngineError, EngineErrorKind, KvHandle
from sesameport.requests.actions import (
    Action,
    ReportStateLoss,
    RequestDecodePlacement,
    RequestPlacement,
    ResumeDecode,
)
from sesameport.requests.held_resources import OpenHolds, RouterReservations
from sesameport.requests.retries import Backoff
from sesameport.requests.states import RequestState
from sesameport.routing import Placement

__all__ = ["Recovery", "RecoveryConfig", "RecoverableRequest"]

_RESUMABLE = frozenset(
    {EngineErrorKind.BROKEN, EngineErrorKind.SILENT, EngineErrorKind.BUSY}
)
_STATE_LOST = frozenset({EngineErrorKind.NOT_FOUND, EngineErrorKind.UNREACHABLE})
_HANDLE_LOST = frozenset({EngineErrorKind.NOT_FOUND, EngineErrorKind.HANDLE_EXPIRED})


class RecoverableRequest(Protocol):
    """Describe the parts of a request that recovery reads and changes.

    ``offset`` is the number of tokens sent to the caller. ``prefill_attempt_id`` is the
    attempt that holds the prefill result, or an empty string.
    """

    req: CompletionRequest
    state: RequestState
    offset: int
    holds: OpenHolds
    reservations: RouterReservations
    kv_handle: KvHandle | None
    prefill_attempt_id: str

    @property
    def attempt_id(self) -> str:
        """Return the id of the current attempt."""
        ...

    @property
    def placement(self) -> Placement:
        """Return the placement of the current attempt."""
        ...

    def is_handle_valid(self, now: float) -> bool:
        """Return whether an import of the KV handle can still start."""
        ...

    def record_execution(self, execution: Execution) -> None:
        """Record that the request may have run or did run."""
        ...

    def refuse(self, refusal: Refusal) -> list[Action]:
        """End the request with a refusal that states whether the request ran."""
        ...


@attrs.frozen
class RecoveryConfig:
    """Set the limits for the recovery of one request.

    Attributes
    ----------
    max_prefills : int
        Maximum number of prefills of one request, including the first.
    max_imports : int
        Maximum number of decode servers tried for one KV handle, including the first.
        Busy servers are not counted.
    max_busy_answers : int
        Maximum number of busy answers for one KV handle. A handle lives less than 1 s
        and the router leaves tens of milliseconds between attempts, so the handle
        normally expires before this limit is reached.
    max_resumes : int
        Maximum number of consecutive resumes without a new token.
    prefill_base_s : float
        Part of the prefill timeout that does not depend on the prompt, seconds.
    prefill_tokens_per_s : float
        Lowest prefill rate that does not lead to a timeout, tokens per second.
    import_base_s : float
        Part of the import timeout that does not depend on the KV cache, seconds.
    import_bytes_per_s : float
        Lowest transfer rate that does not lead to a timeout, bytes per second.
    handle_margin_s : float
        Time subtracted from a KV handle's lifetime, seconds. The lifetime starts on the
        prefill server, before this host receives the answer.
    prefill_backoff : Backoff
        Delay before another prefill.
    placement_backoff : Backoff
        Delay before another placement request after the router found no server. These
        requests are repeated until the deadline, because the first placement also
        waits until the deadline.
    resume_backoff : Backoff
        Delay before the second and later consecutive resumes. The first resume is
        immediate.
    """

    max_prefills: int = 4
    max_imports: int = 3
    max_busy_answers: int = 60
    max_resumes: int = 3
    prefill_base_s: float = 5.0
    prefill_tokens_per_s: float = 2_000.0
    import_base_s: float = 0.4
    import_bytes_per_s: float = 2e9
    handle_margin_s: float = 0.02
    prefill_backoff: Backoff = Backoff()
    placement_backoff: Backoff = Backoff(0.05, 0.3)
    resume_backoff: Backoff = Backoff(0.02, 0.2)

    def prefill_timeout_s(self, tokens: int) -> float:
        """Return the time after which a prefill has failed, seconds."""
        return self.prefill_base_s + tokens / self.prefill_tokens_per_s

    def import_timeout_s(self, kv_bytes: int) -> float:
        """Return the time after which an import without a token has failed, seconds."""
        return self.import_base_s + kv_bytes / self.import_bytes_per_s


@attrs.define
class Recovery:
    """Choose the next attempt of one request, within the configured limits.

    ``is_decode_only_request`` is True if the last placement request was for a decode
    server only.
    """

    request: RecoverableRequest
    cfg: RecoveryConfig
    rng: random.Random
    is_decode_only_request: bool = False
    _prefills: int = 1
    _imports: int = 1
    _busy_answers: int = 0
    _resumes: int = 0
    _placement_requests: int = 0
    _excluded: set[str] = attrs.field(factory=set)
    _last_error: EngineError = EngineError(EngineErrorKind.FAILED)

    def reset_import_counts(self) -> None:
        """Reset the counts of imports and busy answers for a new KV handle."""
        self._imports = 1
        self._busy_answers = 0

    def record_progress(self) -> None:
        """Reset the count of resumes after a new token."""
        self._resumes = 0

    def handle_prefill_failure(self, error: EngineError, now: float) -> list[Action]:
        """Prefill again on another server, unless the request itself is invalid."""
        request = self.request
        server, attempt_id = request.placement.prefill.name, request.attempt_id
        actions: list[Action] = []
        if error.kind == EngineErrorKind.BROKEN:
            # The loss counts only if the attempt is still in flight, so it is reported
            # before the hold is released.
            actions.append(ReportStateLoss(server, attempt_id))
        actions += self._release_hold(server, error)
        if error.kind == EngineErrorKind.INVALID:
            return actions + self._give_up(error)
        self._excluded.add(server)
        return (
            actions
            + request.reservations.release_all()
            + self.retry_prefill(now, error)
        )

    def handle_decode_failure(self, error: EngineError, now: float) -> list[Action]:
        """Resume a broken stream, or continue on another decode server."""
        request = self.request
        is_importing = request.state == RequestState.IMPORTING
        server = request.placement.decode.name
        if error.kind == EngineErrorKind.INVALID:
            return self._release_hold(server, error) + self._give_up(error)
        if is_importing and error.execution() == Execution.NOT_RUN:
            return self._handle_rejected_import(error, now)
        if is_importing and error.kind == EngineErrorKind.SILENT:
            return self._abandon_decode(error, now)
        if error.kind not in _RESUMABLE:
            return self._abandon_decode(error, now)
        return self._resume(error, now)

    def handle_resume_failure(self, error: EngineError, now: float) -> list[Action]:
        """Resume again, or abandon the decode if the engine has lost the stream."""
        if error.kind in _RESUMABLE:
            return self._resume(error, now)
        actions: list[Action] = []
        if error.kind in _STATE_LOST:
            request = self.request
            actions = [
                ReportStateLoss(request.placement.decode.name, request.attempt_id)
            ]
        return actions + self._abandon_decode(error, now)

    def handle_token_gap(self, offset: int, now: float) -> list[Action]:
        """Resume at the caller's offset after the stream skipped tokens."""
        detail = f"stream skipped to token {offset}"
        return self._resume(EngineError(EngineErrorKind.BROKEN, detail), now)

    def handle_import_timeout(self, now: float) -> list[Action]:
        """Abandon an import that returned no token within its timeout."""
        detail = "no first token within the import bound"
        return self._abandon_decode(EngineError(EngineErrorKind.SILENT, detail), now)

    def handle_prefill_server_removed(self, now: float) -> list[Action]:
        """Prefill again after the prefill server left the fleet."""
        detail = "the prefill server is gone"
        return self.handle_prefill_failure(
            EngineError(EngineErrorKind.SILENT, detail), now
        )

    def handle_decode_server_removed(self, now: float) -> list[Action]:
        """Continue on another decode server, without trying to resume."""
        detail = "the decode server is gone"
        return self._abandon_decode(EngineError(EngineErrorKind.SILENT, detail), now)

    def _release_hold(self, server: str, error: EngineError) -> list[Action]:
        """Close the hold if the error proves that the call did not run, else cancel."""
        request = self.request
        if error.execution() == Execution.NOT_RUN:
            return request.holds.close(server, request.attempt_id)
        request.record_execution(Execution.MAY_HAVE_RUN)
        return request.holds.cancel(server, request.attempt_id)

    def _resume(self, error: EngineError, now: float) -> list[Action]:
        request = self.request
        if self._resumes >= self.cfg.max_resumes:
            return self._abandon_decode(error, now)
        request.record_execution(Execution.MAY_HAVE_RUN)
        delay_s = 0.0
        if self._resumes:
            delay_s = self.cfg.resume_backoff.delay(self._resumes, self.rng)
        self._resumes += 1
        request.state = RequestState.RESUMING
        server = request.placement.decode.name
        return [ResumeDecode(server, request.attempt_id, request.offset, delay_s)]

    def _handle_rejected_import(self, error: EngineError, now: float) -> list[Action]:
        """Choose the next step after a decode call that certainly did not run."""
        request = self.request
        server = request.placement.decode.name
        actions: list[Action] = []
        if request.attempt_id != request.prefill_attempt_id or (
            server != request.placement.prefill.name
        ):
            # On a server with both roles the same attempt id also identifies the
            # prefill result, which is still held.
            actions = request.holds.close(server, request.attempt_id)
        if error.kind in _HANDLE_LOST:
            # The prefill server may have crashed, so the next prefill avoids it.
            self._excluded.add(request.placement.prefill.name)
            return (
                actions
                + request.reservations.release_decode_slot()
                + self.retry_prefill(now, error)
            )
        if error.kind == EngineErrorKind.BUSY:
            return actions + self._retry_after_busy(server, error, now)
        self._excluded.add(server)
        return actions + self._retry_import(error, now)

    def _retry_after_busy(
        self, server: str, error: EngineError, now: float
    ) -> list[Action]:
        """Request another decode server until the KV handle expires.

        Busy servers free a slot every few tens of milliseconds, so giving up early
        would waste the prefill. The router leaves time between the attempts. A busy
        server is excluded only from the next attempt, because it did not run the call.
        """
        request = self.request
        self._last_error = error
        self._busy_answers += 1
        if (
            not request.is_handle_valid(now)
            or self._busy_answers > self.cfg.max_busy_answers
        ):
            return request.reservations.release_decode_slot() + self.retry_prefill(
                now, error
            )
        self.is_decode_only_request = True
        request.state = RequestState.PLACING_DECODE
        return [RequestDecodePlacement(frozenset(self._excluded | {server}))]

    def _abandon_decode(self, error: EngineError, now: float) -> list[Action]:
        """Cancel the decode and continue on another server."""
        request = self.request
        server = request.placement.decode.name
        self._excluded.add(server)
        request.record_execution(Execution.MAY_HAVE_RUN)
        is_prefill_server = server == request.placement.prefill.name
        if is_prefill_server and request.attempt_id == request.prefill_attempt_id:
            # The cancel also releases the prefill result of the same attempt.
            request.kv_handle = None
        actions = request.holds.cancel(server, request.attempt_id)
        return actions + self._retry_import(error, now)

    def _retry_import(self, error: EngineError, now: float) -> list[Action]:
        request = self.request
        self._last_error = error
        if request.is_handle_valid(now) and self._imports < self.cfg.max_imports:
            self._imports += 1
            self.is_decode_only_request = True
            request.state = RequestState.PLACING_DECODE
            return [RequestDecodePlacement(frozenset(self._excluded))]
        return request.reservations.release_decode_slot() + self.retry_prefill(
            now, error
        )

    def retry_prefill(
        self, now: float, error: EngineError | None = None
    ) -> list[Action]:
        """Request new servers for another prefill, within the limits and deadline."""
        request = self.request
        self._last_error = error or self._last_error
        actions: list[Action] = []
        if request.prefill_attempt_id:
            server = request.placement.prefill.name
            actions = request.holds.cancel(server, request.prefill_attempt_id)
            request.prefill_attempt_id = ""
        request.kv_handle = None
        request.state = RequestState.PLACING
        if self._prefills >= self.cfg.max_prefills:
            return actions + self._give_up(self._last_error)
        delay_s = self.cfg.prefill_backoff.delay(self._prefills - 1, self.rng)
        self._prefills += 1
        self._placement_requests = 1
        return actions + self._request_placement(delay_s, now, spends_budget=True)

    def handle_not_placed(
        self, refusal: Refusal, final: bool, now: float
    ) -> list[Action]:
        """Request servers again later, and no longer exclude the failed ones.

        If the refusal is final, end the request with it.
        """
        if final:
            return self.request.refuse(refusal)
        # A server that failed recently is better than no server.
        self._excluded.clear()
        delay_s = self.cfg.placement_backoff.delay(self._placement_requests, self.rng)
        self._placement_requests += 1
        return self._request_placement(delay_s, now, spends_budget=False)

    def _request_placement(
        self, delay_s: float, now: float, spends_budget: bool
    ) -> list[Action]:
        if now + delay_s >= self.request.req.deadline:
            return self.request.refuse(Refusal(RefusalType.DEADLINE))
        self.is_decode_only_request = False
        return [RequestPlacement(frozenset(self._excluded), delay_s, spends_budget)]

    def _give_up(self, error: EngineError) -> list[Action]:
        # In this state no call is in flight, so the refusal reports "not run" if no
        # attempt may have run.
        self.request.state = RequestState.PLACING
        refusal = Refusal(RefusalType.UPSTREAM_FAILED, detail=error.detail)
        return self.request.refuse(refusal)
