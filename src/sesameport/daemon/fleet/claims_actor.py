"""Own the idempotency claims of one host and carry out their platform calls."""

import queue
import random
import threading
import time
from collections.abc import Callable

import attrs
import pykka

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
from sesameport.world import Execution, Refusal, RefusalType

__all__ = ["ClaimDesk", "ClaimsActor", "ClaimTick", "ClaimWorkers"]

_REPLY_MARGIN_S = 5.0

# Three more reads of one shard within 1.3 s.
_IN_PROGRESS_PAUSES_S = (0.1, 0.3, 0.9)


@attrs.frozen
class ClaimTick:
    """Retry what is due and give up claims whose time is over."""


@attrs.frozen
class _Ask:
    ask: ClaimRequest
    reply: queue.SimpleQueue


@attrs.frozen
class _Abandon:
    call_id: str


@attrs.frozen
class _Finish:
    claim: Claim
    outcome: ClaimOutcome


@attrs.frozen
class _Release:
    claim: Claim


@attrs.frozen
class _Done:
    intent: ReadShard | CreateShard | UpdateShard
    found: object


class ClaimWorkers:
    """Carry out platform calls of claims on a bounded number of threads."""

    def __init__(self, platform: Platform, threads: int = 2):
        self._platform = platform
        self._threads = threads
        self._jobs: queue.SimpleQueue = queue.SimpleQueue()

    def start(self, tell: Callable[[object], None]) -> None:
        """Start the threads; ``tell`` takes their outcomes."""
        for number in range(self._threads):
            name = f"claims-{number}"
            threading.Thread(
                target=self._work, args=(tell,), name=name, daemon=True
            ).start()

    def stop(self) -> None:
        """End the threads after their current call."""
        for _ in range(self._threads):
            self._jobs.put(None)

    def put(self, intent: ReadShard | CreateShard | UpdateShard) -> None:
        """Queue a platform call."""
        self._jobs.put(intent)

    def _work(self, tell) -> None:
        while (intent := self._jobs.get()) is not None:
            tell(_Done(intent, self._call(intent)))

    def _call(self, intent):
        match intent:
            case ReadShard(name):
                return self._platform.get(CLAIM_KIND, name)
            case CreateShard(name, value):
                return self._platform.create(CLAIM_KIND, name, value)
            case UpdateShard(name, value, version):
                return self._platform.update(CLAIM_KIND, name, value, version)


class ClaimsActor(pykka.ThreadingActor):
    """Serialise all use of the claims.

    Parameters
    ----------
    owner : str
        ``<host>.<incarnation>`` of this process.
    workers : ClaimWorkers
        Threads that call the platform.
    is_gone : callable
        Tells whether an owner is gone for sure.
    clock, wall_clock : callable
        Return the monotonic and the wall-clock time, seconds.
    cfg : ClaimConfig
        Bounds.
    """

    use_daemon_thread = True

    def __init__(
        self,
        owner: str,
        workers: ClaimWorkers,
        is_gone: Callable[[str], bool],
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
        cfg: ClaimConfig = ClaimConfig(),
    ):
        super().__init__()
        self._claims = ClaimManager(owner, random.SystemRandom(), is_gone, cfg)
        self._workers = workers
        self._clock = clock
        self._wall_clock = wall_clock
        self._replies: dict[str, queue.SimpleQueue] = {}

    def on_receive(self, message):
        """Handle one message."""
        now, wall = self._clock(), self._wall_clock()
        match message:
            case _Ask(ask, reply):
                self._replies[ask.call_id] = reply
                outputs = self._claims.claim(ask, now, wall)
            case _Abandon(call_id):
                return self._replies.pop(call_id, None) is not None
            case _Finish(claim, outcome):
                outputs = self._claims.finish(claim, outcome, now, wall)
            case _Release(claim):
                outputs = self._claims.release(claim, now, wall)
            case _Done(ReadShard(name), found):
                outputs = self._claims.handle_shard_read(name, found, now, wall)
            case _Done(intent, found):
                outputs = self._claims.handle_shard_written(
                    intent.name, found, now, wall
                )
            case _:
                outputs = self._claims.tick(now, wall)
        self._carry_out(outputs, now, wall)
        return None

    def _carry_out(self, outputs: list, now: float, wall: float) -> None:
        for output in outputs:
            if isinstance(output, (ReadShard, CreateShard, UpdateShard)):
                self._workers.put(output)
                continue
            reply = self._replies.pop(output.call_id, None)
            if reply is not None:
                reply.put(output)
            elif isinstance(output, ClaimGranted):
                # Its caller stopped waiting, so the call is not sent.
                released = self._claims.release(output.claim, now, wall)
                self._carry_out(released, now, wall)


class ClaimDesk:
    """Let the threads of calls use the claims actor."""

    def __init__(self, actor: pykka.ActorRef, clock: Callable[[], float]):
        self._actor = actor
        self._clock = clock

    def claim(self, ask: ClaimRequest) -> ClaimGranted | ClaimCompleted | ClaimRefused:
        """Claim a key and wait for the decision, at most until the deadline.

        While the first call is in progress the claim is asked for again a few times,
        because its outcome is stored shortly after its caller got the answer.
        """
        answer = self._claim_once(ask)
        for number, pause_s in enumerate(_IN_PROGRESS_PAUSES_S, 1):
            if not _is_in_progress(answer) or self._clock() + pause_s >= ask.deadline:
                break
            time.sleep(pause_s)
            again = attrs.evolve(ask, call_id=f"{ask.call_id}.again{number}")
            answer = self._claim_once(again)
        return answer

    def _claim_once(
        self, ask: ClaimRequest
    ) -> ClaimGranted | ClaimCompleted | ClaimRefused:
        reply: queue.SimpleQueue = queue.SimpleQueue()
        self._actor.tell(_Ask(ask, reply))
        timeout_s = max(0.0, ask.deadline - self._clock()) + _REPLY_MARGIN_S
        try:
            return reply.get(timeout=timeout_s)
        except queue.Empty:
            if not self._actor.ask(_Abandon(ask.call_id)):
                return reply.get()
            detail = "the claim was not decided in time"
            refusal = Refusal(
                RefusalType.CLAIM_UNAVAILABLE, Execution.NOT_RUN, detail, 1.0
            )
            return ClaimRefused(ask.call_id, refusal)

    def finish(self, claim: Claim, outcome: ClaimOutcome) -> None:
        """Store the outcome of a granted call in the background."""
        self._actor.tell(_Finish(claim, outcome))

    def release(self, claim: Claim) -> None:
        """Remove the claim of a call that certainly did not run."""
        self._actor.tell(_Release(claim))


def _is_in_progress(answer) -> bool:
    return (
        isinstance(answer, ClaimRefused)
        and answer.refusal.type == RefusalType.IN_PROGRESS
    )
