"""Keep the questions that this host sent and those that it is about to send."""

import random

import attrs

__all__ = ["Question", "Questions"]


@attrs.frozen
class Question:
    """Remember whom a question went to and when it was sent, local time."""

    host: str
    at: float


@attrs.frozen
class _Due:
    at: float
    unless_digest: str


class Questions:
    """Number questions, match answers to them and delay those that may be needless.

    ``lifetime_s`` is the time after which an answer is ignored.
    """

    def __init__(self, rng: random.Random, lifetime_s: float = 10.0):
        self._rng = rng
        self._lifetime_s = lifetime_s
        # Numbers start at random, so answers to an earlier process do not match.
        self._number = rng.getrandbits(32)
        self._asked: dict[int, Question] = {}
        self._due: dict[str, _Due] = {}

    def start(self, host: str, now: float) -> int:
        """Return the number of a question that is sent now."""
        for number, question in list(self._asked.items()):
            if now - question.at <= self._lifetime_s:
                break
            del self._asked[number]
        self._number += 1
        self._asked[self._number] = Question(host, now)
        return self._number

    def finish(self, number: int, host: str, seeds, now: float) -> Question | None:
        """Return the question that an answer belongs to, once.

        A question to a seed address is answered under the host's own name.
        """
        question = self._asked.get(number)
        if question is None or now - question.at > self._lifetime_s:
            return None
        if question.host != host and question.host not in seeds:
            return None
        return self._asked.pop(number)

    def plan(
        self, host: str, now: float, low: float, high: float, unless_digest: str = ""
    ) -> None:
        """Ask a host after a random delay unless the own digest becomes the given one.

        Of two plans for one host the earlier one stays.
        """
        due = _Due(now + self._rng.uniform(low, high), unless_digest)
        planned = self._due.get(host)
        if planned is None or due.at < planned.at:
            self._due[host] = due

    def is_planned(self, host: str) -> bool:
        """Tell whether a question to a host is planned."""
        return host in self._due

    def take_due(self, now: float, digest: str) -> list[str]:
        """Return the hosts to ask now."""
        hosts = []
        for host, due in list(self._due.items()):
            if now < due.at:
                continue
            del self._due[host]
            if due.unless_digest != digest:
                hosts.append(host)
        return hosts
