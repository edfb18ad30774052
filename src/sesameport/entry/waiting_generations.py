"""Hold the generations of one host that wait for servers."""

import math

import attrs

from sesameport.admission import WaitingQueue, WaitingRequest, WaitingTokens
from sesameport.entry import messages as m

__all__ = ["QueuedGeneration", "WaitingGenerations"]


@attrs.define
class QueuedGeneration:
    """Represent a generation that waits.

    Attributes
    ----------
    req : AdmitGeneration
        Its admission.
    since : float
        Monotonic time since which it waits, seconds.
    has_permit : bool
        Whether a permit is reserved for it.
    """

    req: m.AdmitGeneration
    since: float
    has_permit: bool = False


@attrs.define
class WaitingGenerations:
    """Hold one queue for each service; not thread-safe.

    Attributes
    ----------
    queues : dict of str to WaitingQueue
        Queues by service; some may be empty.
    ends_at : float
        Monotonic time at which this process ends, seconds; infinite unless the host
        stops.
    """

    queues: dict[str, WaitingQueue] = attrs.field(factory=dict)
    _by_key: dict[int, QueuedGeneration] = attrs.field(factory=dict)
    _reported: dict[str, WaitingTokens] = attrs.field(factory=dict)
    ends_at: float = math.inf

    def __contains__(self, key: int) -> bool:
        return key in self._by_key

    def __getitem__(self, key: int) -> QueuedGeneration:
        return self._by_key[key]

    def queue(self, service: str) -> WaitingQueue:
        """Return the queue of a service."""
        if service not in self.queues:
            self.queues[service] = WaitingQueue(ends_at=self.ends_at)
        return self.queues[service]

    def stop(self, ends_at: float) -> None:
        """Let all queues end with this process."""
        self.ends_at = ends_at
        for queue in self.queues.values():
            queue.ends_at = ends_at

    def is_stopping(self) -> bool:
        """Return whether this host stops."""
        return self.ends_at < math.inf

    def try_add(
        self, waiting: WaitingRequest, req: m.AdmitGeneration, now: float
    ) -> bool:
        """Add a generation; return False if its queue is full."""
        if not self.queue(req.generation.service).try_add(waiting):
            return False
        self._by_key[req.key] = QueuedGeneration(req, now)
        return True

    def discard(self, key: int) -> m.AdmitGeneration | None:
        """Remove and return a generation, None if it does not wait."""
        queued = self._by_key.pop(key, None)
        if queued is None:
            return None
        self.queues[queued.req.generation.service].discard(key)
        return queued.req

    def pop_expired(self, service: str, now: float) -> list[m.AdmitGeneration]:
        """Remove and return the generations that must be refused now."""
        queue = self.queues.get(service)
        expired = queue.pop_expired(now) if queue else []
        return [self._by_key.pop(waiting.key).req for waiting in expired]

    def tokens(self, now: float) -> dict[str, WaitingTokens]:
        """Return the KV cache for which generations wait, by service."""
        return {name: queue.tokens(now) for name, queue in self.queues.items() if queue}

    def report_tokens(self, now: float) -> dict[str, WaitingTokens]:
        """Return `tokens` for a report and remember them as reported."""
        self._reported = self.tokens(now)
        return self._reported

    def differs_from_report(self, now: float) -> bool:
        """Return whether `tokens` differs from what was reported last."""
        return self.tokens(now) != self._reported
