"""Track requests to other hosts that are unanswered or scheduled."""

import random

import attrs

__all__ = ["PeerRequest", "PeerRequests"]


@attrs.frozen
class PeerRequest:
    """Represent a request that was sent to a host at a local time."""

    host: str
    sent_at: float


@attrs.frozen
class _ScheduledRequest:
    due_at: float
    unless_digest: str


class PeerRequests:
    """Number requests, match answers to them and schedule delayed requests.

    Answers that arrive more than ``lifetime_s`` after the request are ignored.
    """

    def __init__(self, rng: random.Random, lifetime_s: float = 10.0):
        self._rng = rng
        self._lifetime_s = lifetime_s
        # Numbers start at a random value. Answers to an earlier process of this host
        # then do not match.
        self._number = rng.getrandbits(32)
        self._unanswered: dict[int, PeerRequest] = {}
        self._scheduled: dict[str, _ScheduledRequest] = {}

    def start(self, host: str, now: float) -> int:
        """Record a request that is sent now and return its number."""
        for number, request in list(self._unanswered.items()):
            if now - request.sent_at <= self._lifetime_s:
                break
            del self._unanswered[number]
        self._number += 1
        self._unanswered[self._number] = PeerRequest(host, now)
        return self._number

    def match_answer(
        self, number: int, host: str, seeds, now: float
    ) -> PeerRequest | None:
        """Remove and return the request that an answer belongs to; None if unknown.

        A host that was contacted under a seed address answers under its own name.
        """
        request = self._unanswered.get(number)
        if request is None or now - request.sent_at > self._lifetime_s:
            return None
        if request.host != host and request.host not in seeds:
            return None
        return self._unanswered.pop(number)

    def schedule(
        self, host: str, now: float, low: float, high: float, unless_digest: str = ""
    ) -> None:
        """Schedule a request to a host after a random delay.

        The request is skipped if this host's digest equals ``unless_digest`` by then.
        Of two scheduled requests to one host, the earlier one is kept.
        """
        scheduled = _ScheduledRequest(now + self._rng.uniform(low, high), unless_digest)
        earlier = self._scheduled.get(host)
        if earlier is None or scheduled.due_at < earlier.due_at:
            self._scheduled[host] = scheduled

    def is_scheduled(self, host: str) -> bool:
        """Return whether a request to a host is scheduled."""
        return host in self._scheduled

    def pop_due(self, now: float, digest: str) -> list[str]:
        """Remove the requests that are due and return the hosts to send them to."""
        hosts = []
        for host, scheduled in list(self._scheduled.items()):
            if now < scheduled.due_at:
                continue
            del self._scheduled[host]
            if scheduled.unless_digest != digest:
                hosts.append(host)
        return hosts
