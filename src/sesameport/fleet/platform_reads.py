"""Decide which platform read a host makes next.

Relays watch documents and read the host list. Other hosts read only if no peer answers
at their start, or, a few of them at random, if both relays seem to be disconnected.
"""

import enum
import math
import random

import attrs

from sesameport.fleet.pacing import CallBackoff

__all__ = ["PlatformRead", "PlatformReadPlanner", "ReadKind"]


class ReadKind(enum.StrEnum):
    """Enumerate the kinds of platform reads."""

    LIST = "list"
    WATCH = "watch"
    HOSTS = "hosts"


@attrs.frozen
class PlatformRead:
    """Describe a read; only a watch uses ``version`` and ``timeout_s``."""

    kind: ReadKind
    version: int = 0
    timeout_s: float = 0.0


class PlatformReadPlanner:
    """Plan the platform reads of one host.

    Parameters
    ----------
    rng : random.Random
        Source of jitter.
    watch_s : float
        Length of one watch, seconds. A watch without changes proves only that the
        configuration was current at its start, so the default is a quarter of the
        staleness bound of keys.
    """

    HOSTS_PERIOD_S = 5.0
    """Period at which a relay reads the host list, which itself lags by seconds."""

    PEER_GRACE_S = 2.0
    """A starting host waits this long for peers before it reads the platform."""

    STALE_AGE_S = 4.0
    """Configuration age above which hosts that are not relays may read. With a working
    relay the age stays below it, even over two watches."""

    STALE_READS_PER_S = 2.0
    """Reads per second of a whole data centre while its configuration is stale."""

    RELAY_MAX_BACKOFF_S = 2.0
    """Longest wait after a failed read of a relay."""

    OTHER_MAX_BACKOFF_S = 30.0
    """Longest wait after a failed read of a host that is not a relay."""

    def __init__(self, rng: random.Random, watch_s: float = 2.0):
        self._rng = rng
        self._watch_s = watch_s
        self._cursor: int | None = None
        self._backoff = CallBackoff(rng, base_s=0.25, cap_s=self.RELAY_MAX_BACKOFF_S)
        self._next_read_at = -math.inf
        self._started_at: float | None = None
        self._next_host_list_at = -math.inf
        self._next_stale_read_at: float | None = None

    def next_read(
        self,
        now: float,
        is_relay: bool,
        hosts: int,
        age_s: float,
        has_listing: bool,
    ) -> PlatformRead | None:
        """Return the read to make now; None if there is none.

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
            jitter = self._rng.uniform(0.0, self.PEER_GRACE_S)
            self._started_at = now + jitter
        if now < self._next_read_at:
            return None
        self._backoff.cap_s = (
            self.RELAY_MAX_BACKOFF_S if is_relay else self.OTHER_MAX_BACKOFF_S
        )
        peers_timed_out = now >= self._started_at + self.PEER_GRACE_S
        if not has_listing:
            return PlatformRead(ReadKind.HOSTS) if peers_timed_out else None
        if is_relay and now >= self._next_host_list_at:
            self._next_host_list_at = now + self.HOSTS_PERIOD_S
            return PlatformRead(ReadKind.HOSTS)
        if is_relay:
            return self._document_read(self._watch_s)
        # A host that stopped watching has missed changes and must list again.
        self._cursor = None
        if age_s == math.inf:
            return self._document_read(0.0) if peers_timed_out else None
        return (
            self._document_read(0.0)
            if self._may_read_stale(now, hosts, age_s)
            else None
        )

    def done(self, read: PlatformRead, version: int) -> None:
        """Record a successful read and the version that it returned."""
        self._backoff.reset()
        if read.kind != ReadKind.HOSTS:
            # A lagging replica may return a lower version.
            self._cursor = max(self._cursor or 0, version)

    def failed(
        self, read: PlatformRead, now: float, is_history_lost: bool = False
    ) -> None:
        """Record a failed read.

        With ``is_history_lost``, the platform no longer has the changes after the
        cursor and the next document read is a list.
        """
        if is_history_lost:
            self._cursor = None
        self._next_read_at = now + self._backoff.next_wait()
        if read.kind == ReadKind.HOSTS:
            self._next_host_list_at = self._next_read_at

    def _document_read(self, timeout_s: float) -> PlatformRead:
        if self._cursor is None:
            return PlatformRead(ReadKind.LIST)
        return PlatformRead(ReadKind.WATCH, self._cursor, timeout_s)

    def _may_read_stale(self, now: float, hosts: int, age_s: float) -> bool:
        if age_s <= self.STALE_AGE_S:
            self._next_stale_read_at = None
            return False
        is_due = (
            self._next_stale_read_at is not None and now >= self._next_stale_read_at
        )
        if is_due or self._next_stale_read_at is None:
            mean_s = hosts / self.STALE_READS_PER_S
            self._next_stale_read_at = now + self._rng.uniform(0.0, 2.0 * mean_s)
        return is_due
