"""Detect and refuse requests that crash backend servers.

Requests are identified by digest. When a server crashes, every request in flight on it
becomes a suspect. A suspect that completes is cleared. A request that was in flight in
two crashes is refused in its data centre until its digest expires.
"""

import math

import attrs

__all__ = [
    "PoisonNotice",
    "Quarantine",
    "QuarantineConfig",
    "QuarantineStatus",
]

_MAX_SERVERS = 2_000


@attrs.frozen
class PoisonNotice:
    """Report a suspect or a cleared request to the other hosts of a data centre.

    Attributes
    ----------
    digest : str
        Digest of the request.
    server : str
        Server that crashed; empty if the request is cleared.
    crash_id : str
        Identifier of the crash, unique to the sender, for deduplication.
    age_s : float
        Time since the sender detected the crash, seconds. Crashes of one server that
        two hosts detect at about the same time are the same crash.
    """

    digest: str
    server: str = ""
    crash_id: str = ""
    age_s: float = 0.0


@attrs.frozen
class QuarantineConfig:
    """Configure the quarantine.

    Attributes
    ----------
    max_crashes : int
        Number of crashes after which a request is refused.
    suspect_ttl_s, refused_ttl_s : float
        Time after its last crash at which a digest expires, seconds.
    max_answer_age_s : float
        Maximum age of a server's last answer when an attempt starts, seconds. Without
        such an answer the server may have been down before, so its loss is no evidence
        against the request.
    same_crash_window_s : float
        Reports of one server within this time belong to the same crash, seconds.
    max_digests : int
        Maximum number of digests tracked. The oldest are evicted first.
    max_in_flight : int
        Maximum number of requests in flight that are tracked per server.
    """

    max_crashes: int = 2
    suspect_ttl_s: float = 600.0
    refused_ttl_s: float = 3_600.0
    max_answer_age_s: float = 1.0
    same_crash_window_s: float = 2.0
    max_digests: int = 10_000
    max_in_flight: int = 256


@attrs.frozen
class QuarantineStatus:
    """Represent whether a request is refused or a suspect.

    A suspect must not run on the servers in ``avoid``, because other suspects run there
    and a crash could not be attributed to one of them.
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
    expires_at: float

    def add_crash(
        self, crash_id: str, server: str, at: float, same_crash_window_s: float
    ) -> None:
        """Add a crash unless it has been added already."""
        for crash in self.crashes:
            if crash_id in crash.ids:
                return
        for crash in self.crashes:
            if crash.server == server and abs(crash.at - at) < same_crash_window_s:
                crash.ids.add(crash_id)
                return
        self.crashes.append(_Crash(server, at, {crash_id}))


@attrs.define
class Quarantine:
    """Track the suspects and the refused requests of one data centre.

    Parameters
    ----------
    identity : str
        ``<host>.<incarnation>`` of this process, used in crash identifiers.
    cfg : QuarantineConfig
        Limits and lifetimes.
    """

    identity: str
    cfg: QuarantineConfig = QuarantineConfig()
    _suspects: dict[str, _Suspect] = attrs.field(factory=dict)
    _in_flight: dict[str, dict[str, _Attempt]] = attrs.field(factory=dict)
    _last_answer_at: dict[str, float] = attrs.field(factory=dict)
    _last_crash_by_server: dict[str, tuple[str, float]] = attrs.field(factory=dict)
    _crash_count: int = 0

    def status(self, digest: str, now: float) -> QuarantineStatus:
        """Return whether a request is refused or a suspect, with servers to avoid."""
        suspect = self._current_suspect(digest, now)
        if suspect is None:
            return QuarantineStatus()
        if len(suspect.crashes) >= self.cfg.max_crashes:
            return QuarantineStatus(refused=True)
        avoid = {
            server
            for server, attempts in self._in_flight.items()
            if any(
                attempt.digest in self._suspects and attempt.digest != digest
                for attempt in attempts.values()
            )
        }
        return QuarantineStatus(suspect=True, avoid=frozenset(avoid))

    def record_server_answer(self, server: str, now: float) -> None:
        """Record that a server answered, for example with its load."""
        if (
            server not in self._last_answer_at
            and len(self._last_answer_at) >= _MAX_SERVERS
        ):
            self._last_answer_at.pop(next(iter(self._last_answer_at)))
        self._last_answer_at[server] = now

    def record_attempt_start(
        self, server: str, attempt_id: str, digest: str, now: float
    ) -> None:
        """Record that an attempt of a request is in flight on a server."""
        attempts = self._in_flight.setdefault(server, {})
        if len(attempts) >= self.cfg.max_in_flight:
            return
        answered = self._last_answer_at.get(server, -math.inf)
        is_evidence = now - answered <= self.cfg.max_answer_age_s
        attempts[attempt_id] = _Attempt(digest, is_evidence)

    def record_attempt_end(self, server: str, attempt_id: str) -> None:
        """Record that an attempt ended on a server, with any outcome."""
        attempts = self._in_flight.get(server)
        if attempts is None:
            return
        attempts.pop(attempt_id, None)
        if not attempts:
            del self._in_flight[server]

    def record_completion(self, digest: str) -> list[PoisonNotice]:
        """Clear a suspect that completed and return the notices for the other hosts.

        A refused request remains refused.
        """
        if not self._clear(digest):
            return []
        return [PoisonNotice(digest)]

    def record_server_loss(
        self, server: str, attempt_id: str, now: float
    ) -> list[PoisonNotice]:
        """Record that a server lost an attempt, and return notices for the other hosts.

        The first report of a crash covers all attempts in flight on the server. Later
        reports of these attempts are ignored, as they are no longer in flight.
        """
        attempts = self._in_flight.get(server, {})
        if attempt_id not in attempts:
            return []
        del self._in_flight[server]
        digests = dict.fromkeys(a.digest for a in attempts.values() if a.is_evidence)
        if not digests:
            return []
        crash_id, at = self._identify_crash(server, now)
        for digest in digests:
            self._record_crash(digest, crash_id, server, at, now)
        return [PoisonNotice(digest, server, crash_id, now - at) for digest in digests]

    def handle_notice(self, notice: PoisonNotice, now: float) -> None:
        """Apply a notice of another host; a duplicate has no effect."""
        if notice.server:
            at = now - notice.age_s
            self._record_crash(notice.digest, notice.crash_id, notice.server, at, now)
            return
        self._clear(notice.digest)

    def digest_count(self) -> int:
        """Return the number of tracked digests."""
        return len(self._suspects)

    def _clear(self, digest: str) -> bool:
        suspect = self._suspects.get(digest)
        if suspect is None or len(suspect.crashes) >= self.cfg.max_crashes:
            # A delayed notice must not clear a request that is refused by now.
            return False
        del self._suspects[digest]
        return True

    def _current_suspect(self, digest: str, now: float) -> _Suspect | None:
        suspect = self._suspects.get(digest)
        if suspect is not None and suspect.expires_at <= now:
            del self._suspects[digest]
            return None
        return suspect

    def _identify_crash(self, server: str, now: float) -> tuple[str, float]:
        last = self._last_crash_by_server.get(server)
        if last is not None and now - last[1] < self.cfg.same_crash_window_s:
            return last
        if len(self._last_crash_by_server) >= self.cfg.max_digests:
            self._last_crash_by_server.pop(next(iter(self._last_crash_by_server)))
        self._crash_count += 1
        self._last_crash_by_server[server] = (
            f"{self.identity}#{self._crash_count}",
            now,
        )
        return self._last_crash_by_server[server]

    def _record_crash(
        self, digest: str, crash_id: str, server: str, at: float, now: float
    ) -> None:
        suspect = self._current_suspect(digest, now) or _Suspect([], now)
        # Move the entry to the end: the dict is ordered by age for the eviction.
        self._suspects.pop(digest, None)
        if len(self._suspects) >= self.cfg.max_digests:
            self._suspects.pop(next(iter(self._suspects)))
        if len(suspect.crashes) < self.cfg.max_crashes:
            suspect.add_crash(crash_id, server, at, self.cfg.same_crash_window_s)
        refused = len(suspect.crashes) >= self.cfg.max_crashes
        suspect.expires_at = now + (
            self.cfg.refused_ttl_s if refused else self.cfg.suspect_ttl_s
        )
        self._suspects[digest] = suspect
