"""Keep requests that crash backend servers away from them.

Only digests of requests are kept. When a server crashes, every digest in flight on it
becomes a suspect. A suspect that completes is cleared; one that was in flight in two
crashes is refused in its data centre until it expires.
"""

import math

import attrs

__all__ = [
    "PoisonNotice",
    "Quarantine",
    "QuarantineConfig",
    "QuarantineVerdict",
]

_MAX_SERVERS = 2_000


@attrs.frozen
class PoisonNotice:
    """Tell the other hosts of a data centre what a crash or a completion showed.

    Attributes
    ----------
    digest : str
        Digest of the request.
    server : str
        Server that crashed; empty when the digest is cleared.
    crash_id : str
        Id of the crash, unique to the sender, so that a repeated notice is recognised.
    age_s : float
        Time since the sender saw the crash, seconds. Two hosts that saw one server
        crash at about the same time mean the same crash.
    """

    digest: str
    server: str = ""
    crash_id: str = ""
    age_s: float = 0.0


@attrs.frozen
class QuarantineConfig:
    """Bound the quarantine.

    Attributes
    ----------
    max_crashes : int
        Crashes after which a digest is refused.
    suspect_s, refused_s : float
        Time after the last crash at which a digest is forgotten, seconds.
    healthy_s : float
        A server without an answer within this time before an attempt starts was down
        before, so its loss says nothing about the request, seconds.
    same_crash_s : float
        Reports of one server within this time belong to one crash, seconds.
    max_digests : int
        Digests kept; the oldest suspects are forgotten first.
    max_in_flight : int
        Requests in flight that are remembered for one server.
    """

    max_crashes: int = 2
    suspect_s: float = 600.0
    refused_s: float = 3_600.0
    healthy_s: float = 1.0
    same_crash_s: float = 2.0
    max_digests: int = 10_000
    max_in_flight: int = 256


@attrs.frozen
class QuarantineVerdict:
    """Say how a request is to be treated.

    ``avoid`` names the servers on which other suspects run.
    """

    refused: bool = False
    suspect: bool = False
    avoid: frozenset[str] = frozenset()


@attrs.frozen
class _Attempt:
    digest: str
    is_evidence: bool


@attrs.define
class _Crash:
    server: str
    at: float
    ids: set[str]


@attrs.define
class _Suspect:
    crashes: list[_Crash]
    until: float

    def add(self, crash_id: str, server: str, at: float, same_crash_s: float) -> None:
        """Count a crash unless it is one that is counted already."""
        for crash in self.crashes:
            if crash_id in crash.ids:
                return
        for crash in self.crashes:
            if crash.server == server and abs(crash.at - at) < same_crash_s:
                crash.ids.add(crash_id)
                return
        self.crashes.append(_Crash(server, at, {crash_id}))


@attrs.define
class Quarantine:
    """Hold the suspects and refused digests of one data centre.

    Parameters
    ----------
    identity : str
        ``<host>.<incarnation>`` of this process, for the ids of crashes.
    cfg : QuarantineConfig
        Bounds.
    """

    identity: str
    cfg: QuarantineConfig = QuarantineConfig()
    _suspects: dict[str, _Suspect] = attrs.field(factory=dict)
    _in_flight: dict[str, dict[str, _Attempt]] = attrs.field(factory=dict)
    _answered: dict[str, float] = attrs.field(factory=dict)
    _crashes: dict[str, tuple[str, float]] = attrs.field(factory=dict)
    _numbers: int = 0

    def verdict(self, digest: str, now: float) -> QuarantineVerdict:
        """Say whether a request is refused, and where a suspect must not run."""
        suspect = self._live(digest, now)
        if suspect is None:
            return QuarantineVerdict()
        if len(suspect.crashes) >= self.cfg.max_crashes:
            return QuarantineVerdict(refused=True)
        avoid = {
            server
            for server, attempts in self._in_flight.items()
            if any(
                item.digest in self._suspects and item.digest != digest
                for item in attempts.values()
            )
        }
        return QuarantineVerdict(suspect=True, avoid=frozenset(avoid))

    def server_answered(self, server: str, now: float) -> None:
        """Note that a server answered, for example with its load."""
        if server not in self._answered and len(self._answered) >= _MAX_SERVERS:
            self._answered.pop(next(iter(self._answered)))
        self._answered[server] = now

    def started(self, server: str, attempt_id: str, digest: str, now: float) -> None:
        """Note that a request is in flight on a server."""
        attempts = self._in_flight.setdefault(server, {})
        if len(attempts) >= self.cfg.max_in_flight:
            return
        answered = self._answered.get(server, -math.inf)
        is_evidence = now - answered <= self.cfg.healthy_s
        attempts[attempt_id] = _Attempt(digest, is_evidence)

    def ended(self, server: str, attempt_id: str) -> None:
        """Note that an attempt ended on a server, whatever its outcome."""
        attempts = self._in_flight.get(server)
        if attempts is None:
            return
        attempts.pop(attempt_id, None)
        if not attempts:
            del self._in_flight[server]

    def completed(self, digest: str) -> list[PoisonNotice]:
        """Clear a suspect whose request completed; a refused digest stays refused."""
        if not self._clear(digest):
            return []
        return [PoisonNotice(digest)]

    def server_lost(
        self, server: str, attempt_id: str, now: float
    ) -> list[PoisonNotice]:
        """Take the report of an attempt whose state the server lost.

        The reports that the other requests on the server send for the same crash
        count no second crash, and an attempt that is not in flight counts none.
        """
        attempts = self._in_flight.get(server, {})
        if attempt_id not in attempts:
            return []
        del self._in_flight[server]
        digests = dict.fromkeys(a.digest for a in attempts.values() if a.is_evidence)
        if not digests:
            return []
        crash_id, at = self._crash(server, now)
        for item in digests:
            self._add(item, crash_id, server, at, now)
        return [PoisonNotice(item, server, crash_id, now - at) for item in digests]

    def take_notice(self, notice: PoisonNotice, now: float) -> None:
        """Take in what another host of the data centre saw; repeats do no harm."""
        if notice.server:
            at = now - notice.age_s
            self._add(notice.digest, notice.crash_id, notice.server, at, now)
            return
        self._clear(notice.digest)

    def count(self) -> int:
        """Return the number of digests kept."""
        return len(self._suspects)

    def _clear(self, digest: str) -> bool:
        suspect = self._suspects.get(digest)
        if suspect is None or len(suspect.crashes) >= self.cfg.max_crashes:
            # A late clearance must not release a digest that is refused by now.
            return False
        del self._suspects[digest]
        return True

    def _live(self, digest: str, now: float) -> _Suspect | None:
        suspect = self._suspects.get(digest)
        if suspect is not None and suspect.until <= now:
            del self._suspects[digest]
            return None
        return suspect

    def _crash(self, server: str, now: float) -> tuple[str, float]:
        last = self._crashes.get(server)
        if last is not None and now - last[1] < self.cfg.same_crash_s:
            return last
        if len(self._crashes) >= self.cfg.max_digests:
            self._crashes.pop(next(iter(self._crashes)))
        self._numbers += 1
        self._crashes[server] = (f"{self.identity}#{self._numbers}", now)
        return self._crashes[server]

    def _add(
        self, digest: str, crash_id: str, server: str, at: float, now: float
    ) -> None:
        suspect = self._live(digest, now) or _Suspect([], now)
        # The newest entries stand at the end, so the front is forgotten first.
        self._suspects.pop(digest, None)
        if len(self._suspects) >= self.cfg.max_digests:
            self._suspects.pop(next(iter(self._suspects)))
        if len(suspect.crashes) < self.cfg.max_crashes:
            suspect.add(crash_id, server, at, self.cfg.same_crash_s)
        refused = len(suspect.crashes) >= self.cfg.max_crashes
        suspect.until = now + (self.cfg.refused_s if refused else self.cfg.suspect_s)
        self._suspects[digest] = suspect
