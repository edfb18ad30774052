"""Run the idempotency claims of one host and the platform calls that they need."""

import queue
import random
import threading
import time
from collections.abc import Callable

import attrs
import pykka

from sesameport.domain import Execution, Refusal, RefusalType
from sesameport.interfaces import Platform
from sesameport.requests import (
    CLAIM_KIND,
    Claim,
    ClaimCompleted,
    ClaimConfig,
    ClaimGranted,
    ClaimManager,
    ClaimOutcome,
    ClaimRefused,
    ClaimRequest,
    CreateShard,
    ReadShard,
    UpdateShard,
)

__all__ = ["ClaimClient", "ClaimsActor", "ClaimTick", "ClaimWorkers"]

_REPLY_MARGIN_S = 5.0
"""Time after the deadline of a call during which its thread still waits for the
decision."""

_IN_PROGRESS_RETRY_DELAYS_S = (0.1, 0.3, 0.9)
"""Delays before each retry of a claim whose first call is in progress. The retries add
three reads of one shard within 1.3 s."""


@attrs.frozen
class ClaimTick:
    """Retry the platform calls that are due and refuse claims past their deadline."""


@attrs.frozen
class _SubmitClaim:
    request: ClaimRequest
    reply: queue.SimpleQueue


@attrs.frozen
class _AbandonClaim:
    call_id: str


@attrs.frozen
class _StoreOutcome:
    claim: Claim
    outcome: ClaimOutcome


@attrs.frozen
class _ReleaseClaim:
    claim: Claim


@attrs.frozen
class _PlatformResult:
    intent: ReadShard | CreateShard | UpdateShard
    result: object


class ClaimWorkers:
    """Make the platform calls of claims on a bounded number of threads."""

    def __init__(self, platform: Platform, threads: int = 2):
        self._platform = platform
        self._threads = threads
        self._jobs: queue.SimpleQueue = queue.SimpleQueue()

    def start(self, report_result: Callable[[object], None]) -> None:
        """Start the threads, which pass each result to ``report_result``."""
        for number in range(self._threads):
            name = f"claims-{number}"
            threading.Thread(
                target=self._run_jobs, args=(report_result,), name=name, daemon=True
            ).start()

    def stop(self) -> None:
        """Stop the threads after their current calls."""
        for _ in range(self._threads):
            self._jobs.put(None)

    def submit(self, intent: ReadShard | CreateShard | UpdateShard) -> None:
        """Queue a platform call."""
        self._jobs.put(intent)

    def _run_jobs(self, report_result) -> None:
        while (intent := self._jobs.get()) is not None:
            report_result(_PlatformResult(intent, self._call_platform(intent)))

    def _call_platform(self, intent):
        match intent:
            case ReadShard(name):
                return self._platform.get(CLAIM_KIND, name)
            case CreateShard(name, value):
                return self._platform.create(CLAIM_KIND, name, value)
            case UpdateShard(name, value, version):
                return self._platform.update(CLAIM_KIND, name, value, version)


class ClaimsActor(pykka.ThreadingActor):
    """Serialise all access to the claims of this host.

    Parameters
    ----------
    owner : str
        ``<host>.<incarnation>`` of this process.
    workers : ClaimWorkers
        Threads that call the platform.
    has_owner_ended : callable
        Returns whether an owner has certainly ended.
    clock, wall_clock : callable
        Return the monotonic and the wall-clock time, seconds.
    cfg : ClaimConfig
        Timeouts and limits of claims.
    """

    use_daemon_thread = True

    def __init__(
        self,
        owner: str,
        workers: ClaimWorkers,
        has_owner_ended: Callable[[str], bool],
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
        cfg: ClaimConfig = ClaimConfig(),
    ):
        super().__init__()
        self._claims = ClaimManager(owner, random.SystemRandom(), has_owner_ended, cfg)
        self._workers = workers
        self._clock = clock
        self._wall_clock = wall_clock
        self._replies: dict[str, queue.SimpleQueue] = {}

    def on_receive(self, message):
        """Handle one message.

        The answer to `_AbandonClaim` is whether the claim was still undecided.
        """
        now, wall = self._clock(), self._wall_clock()
        match message:
            case _SubmitClaim(request, reply):
                self._replies[request.call_id] = reply
                outputs = self._claims.claim(request, now, wall)
            case _AbandonClaim(call_id):
                return self._replies.pop(call_id, None) is not None
            case _StoreOutcome(claim, outcome):
                outputs = self._claims.finish(claim, outcome, now, wall)
            case _ReleaseClaim(claim):
                outputs = self._claims.release(claim, now, wall)
            case _PlatformResult(ReadShard(name), result):
                outputs = self._claims.handle_shard_read(name, result, now, wall)
            case _PlatformResult(intent, result):
                outputs = self._claims.handle_shard_written(
                    intent.name, result, now, wall
                )
            case _:
                outputs = self._claims.tick(now, wall)
        self._process_outputs(outputs, now, wall)
        return None

    def _process_outputs(self, outputs: list, now: float, wall: float) -> None:
        for output in outputs:
            if isinstance(output, (ReadShard, CreateShard, UpdateShard)):
                self._workers.submit(output)
                continue
            reply = self._replies.pop(output.call_id, None)
            if reply is not None:
                reply.put(output)
            elif isinstance(output, ClaimGranted):
                # No thread waits for this claim any more, so the call will not run.
                released = self._claims.release(output.claim, now, wall)
                self._process_outputs(released, now, wall)


class ClaimClient:
    """Send claims to the claims actor from any thread."""

    def __init__(self, actor: pykka.ActorRef, clock: Callable[[], float]):
        self._actor = actor
        self._clock = clock

    def claim(
        self, request: ClaimRequest
    ) -> ClaimGranted | ClaimCompleted | ClaimRefused:
        """Claim a key and return the decision, or a refusal if it is late.

        If the first call with the key is still in progress, the claim is retried a few
        times before the deadline. The outcome of a call is stored shortly after its
        caller received the answer, so an early retry by the caller may precede it.
        """
        answer = self._claim_once(request)
        for number, delay_s in enumerate(_IN_PROGRESS_RETRY_DELAYS_S, 1):
            if (
                not _is_in_progress(answer)
                or self._clock() + delay_s >= request.deadline
            ):
                break
            time.sleep(delay_s)
            retry = attrs.evolve(request, call_id=f"{request.call_id}.again{number}")
            answer = self._claim_once(retry)
        return answer

    def _claim_once(
        self, request: ClaimRequest
    ) -> ClaimGranted | ClaimCompleted | ClaimRefused:
        reply: queue.SimpleQueue = queue.SimpleQueue()
        self._actor.tell(_SubmitClaim(request, reply))
        timeout_s = max(0.0, request.deadline - self._clock()) + _REPLY_MARGIN_S
        try:
            return reply.get(timeout=timeout_s)
        except queue.Empty:
            if not self._actor.ask(_AbandonClaim(request.call_id)):
                return reply.get()
            detail = "the claim was not decided in time"
            refusal = Refusal(
                RefusalType.CLAIM_UNAVAILABLE, Execution.NOT_RUN, detail, 1.0
            )
            return ClaimRefused(request.call_id, refusal)

    def finish(self, claim: Claim, outcome: ClaimOutcome) -> None:
        """Store the outcome of a granted call without waiting for the write."""
        self._actor.tell(_StoreOutcome(claim, outcome))

    def release(self, claim: Claim) -> None:
        """Remove the claim of a call that certainly did not run."""
        self._actor.tell(_ReleaseClaim(claim))


def _is_in_progress(answer) -> bool:
    return (
        isinstance(answer, ClaimRefused)
        and answer.refusal.type == RefusalType.IN_PROGRESS
    )
