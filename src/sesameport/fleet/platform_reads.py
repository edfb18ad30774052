"""Decide which read of the platform a host makes next.

Relays watch documents and read the host list. Other hosts read only to start without
peers, or, a few of them at random, when both relays seem to be cut off.
"""

import enum
import math
import random

import attrs

from sesameport.fleet.pacing import Backoff

__all__ = ["PlatformRead", "PlatformReads", "ReadKind"]


class ReadKind(enum.StrEnum):
    """Name the reads of the platform."""

    LIST = "list"
    WATCH = "watch"
    HOSTS = "hosts"


@attrs.frozen
class PlatformRead:
    """Describe a read; ``version`` and ``timeout_s`` are for a watch."""

    kind: ReadKind
    version: int = 0
    timeout_s: float = 0.0


class PlatformReads:
    """Plan the reads of one host.

    Parameters
    ----------
    watch_s : float
        Length of one watch, seconds. An unchanged watch proves freshness only back
        to its start, so it is a quarter of the staleness bound of keys.
    """

    HOSTS_PERIOD_S = 5.0
    """A relay reads the host list this often; the list itself lags by seconds."""

    PEERS_FIRST_S = 2.0
    """A starting host gives peers this long before it reads the platform itself."""

    STALE_S = 4.0
    """Above this age, which two watches of a relay never reach, others may read."""

    STALE_READS_PER_S = 2.0
    """Reads per second of all hosts of a data centre together while it is stale."""

    RELAY_CAP_S = 2.0
    OTHER_CAP_S = 30.0

    def __init__(self, rng: random.Random, watch_s: float = 2.0):
        self._rng = rng
        self._watch_s = watch_s
        self._cursor: int | None = None
        self._backoff = Backoff(rng, base_s=0.25, cap_s=self.RELAY_CAP_S)
        self._not_before = -math.inf
        self._started_at: float | None = None
        self._next_hosts = -math.inf
        self._next_stale: float | None = None

    def next_read(
        self,
        now: float,
        is_relay: bool,
        hosts: int,
        age_s: float,
        has_listing: bool,
    ) -> PlatformRead | None:
        """Return the read to make now, or None.

        Parameters
        ----------
        is_relay : bool
            Whether this host is a relay.
        hosts : int
            Alive hosts of the own data centre.
        age_s : float
            Age of the configuration, seconds.
        has_listing : bool
            Whether a host list is known.
        """
        if self._started_at is None:
            jitter = self._rng.uniform(0.0, self.PEERS_FIRST_S)
            self._started_at = now + jitter
        if now < self._not_before:
            return None
        self._backoff.cap_s = self.RELAY_CAP_S if is_relay else self.OTHER_CAP_S
        alone = now >= self._started_at + self.PEERS_FIRST_S
        if not has_listing:
            return PlatformRead(ReadKind.HOSTS) if alone else None
        if is_relay and now >= self._next_hosts:
            self._next_hosts = now + self.HOSTS_PERIOD_S
            return PlatformRead(ReadKind.HOSTS)
        if is_relay:
            return self._documents(self._watch_s)
        # A host that no longer watches misses changes, so its place is worthless.
        self._cursor = None
        if age_s == math.inf:
            return self._documents(0.0) if alone else None
        return self._documents(0.0) if self._stale_turn(now, hosts, age_s) else None

    def done(self, read: PlatformRead, version: int) -> None:
        """Record a read that succeeded, with the version it gave."""
        self._backoff.reset()
        if read.kind != ReadKind.HOSTS:
            # A lagging replica may answer with a lower version.
            self._cursor = max(self._cursor or 0, version)

    def failed(self, read: PlatformRead, now: float, gone: bool = False) -> None:
        """Record a read that failed; ``gone`` means that a watch must list again."""
        if gone:
            self._cursor = None
        self._not_before = now + self._backoff.next_wait()
        if read.kind == ReadKind.HOSTS:
            self._next_hosts = self._not_before

    def _documents(self, timeout_s: float) -> PlatformRead:
        if self._cursor is None:
            return PlatformRead(ReadKind.LIST)
        return PlatformRead(ReadKind.WATCH, self._cursor, timeout_s)

    def _stale_turn(self, now: float, hosts: int, age_s: float) -> bool:
        if age_s <= self.STALE_S:
            self._next_stale = None
            return False
        due = self._next_stale is not None and now >= self._next_stale
        if due or self._next_stale is None:
            mean_s = hosts / self.STALE_READS_PER_S
            self._next_stale = now + self._rng.uniform(0.0, 2.0 * mean_s)
        return due
