"""Tell other hosts what this host has read from the store, and notice what it missed.

A change of the store reaches all hosts at about the same time, unless the response to
a watch is lost. Some hosts therefore report the revision of each change at once, and
`Trickle` repeats it. A host that has not read up to a reported revision reads again,
sooner than it would notice by itself; see `WatchTimes` and `RevisionCheck`.

The event of a removal may name the last write of the entry, and a watch that has just
begun does not show when the removal was. The names of removed servers are therefore
reported too.
"""

import math
import random
from collections.abc import Callable

from sesameport.admission import Trickle, VersionLag
from sesameport.entry import messages as m
from sesameport.entry.configuration import EntryConfiguration
from sesameport.entry.missed_configuration import Missed, MissedConfiguration
from sesameport.telemetry.logs import get_logger

__all__ = ["RevisionExchange"]

IMMEDIATE_REPORTS = 8.0
"""Expected number of hosts that report a change at once. With 8 of 195, no host does
so for 0.03 % of the changes; `Trickle` then reports it within 2 s."""

SILENCE_S = 2.5
"""Time without a report of any host after which this host must notice missed changes
by itself, seconds. It is the longest interval between two reports of one idle host."""

ERA_RETRY_S = 1.0
"""Shortest time between two readings because another host knows a newer era, seconds.
The answer of the first states the era, unless it is lost."""

REMOVAL_REPORTED_S = 2.5
REMOVAL_LIFETIME_S = 10.0
"""Times for which a removal that was read is reported, and for which it is remembered,
seconds."""

MAX_REMOVALS = 16
"""Number of removals in one report."""

MAX_NAME_CHARS = 200
"""Longest name of a removed entry that is reported."""

log = get_logger("entry")


class RevisionExchange:
    """Compare what this host has read with the reports of others; not thread-safe.

    Parameters
    ----------
    host : str
        Name of this host.
    publish : callable
        Sends `AppliedRevisions` and `RemovedServers` to the other hosts.
    on_missed : callable
        Called with what should be read again.
    configuration : callable
        Returns the configuration in force, or None.
    metrics : Metrics
        Counter of repeated reads, gauge of the silence of all other hosts.
    rng : random.Random
        Chooses who reports at once.
    is_registered : callable
        Returns whether this host knows the entry of a server.
    """

    def __init__(
        self,
        host: str,
        publish: Callable[[m.AppliedRevisions | m.RemovedServers], None],
        on_missed: Callable[[Missed], None],
        configuration: Callable[[], EntryConfiguration | None],
        metrics,
        rng: random.Random | None = None,
        is_registered: Callable[[str], bool] = lambda server: False,
    ):
        self._is_registered = is_registered
        self._removed: dict[tuple[str, int], float] = {}
        self._host = host
        self._publish = publish
        self._on_missed = on_missed
        self._configuration = configuration
        self._metrics = metrics
        self._rng = rng or random.Random()
        self._trickle = Trickle(self._rng)
        self._versions = MissedConfiguration(self._read_again)
        self._lags = {kind: VersionLag() for kind in m.REVISION_KINDS}
        self._changed = dict.fromkeys(m.REVISION_KINDS, 0)
        self._read: dict[Missed, int] = {}
        self._era = 0
        self._asked_era_at = -math.inf
        self._heard_at: float | None = None
        self._is_alone = False

    def handlers(self) -> dict[type, Callable]:
        """Return the handlers of what the store and other hosts state."""
        return {
            m.StoreRead: self.apply_read,
            m.AppliedRevisions: self.apply_report,
            m.RemovedServers: self.apply_removals,
        }

    def begin_era(self, era: int, now: float) -> None:
        """Forget the revisions that were read, which the store gives out again.

        Configurations have versions of their own. Who reported one is believed again,
        because the operator writes it again.
        """
        self._era = era
        self._versions = MissedConfiguration(self._read_again)
        self._lags = {kind: VersionLag() for kind in m.REVISION_KINDS}
        self._changed = dict.fromkeys(m.REVISION_KINDS, 0)
        self._read.clear()
        self._removed.clear()
        self._trickle.reset(now)

    def record(self, report: m.HostReport, now: float) -> None:
        """Record the version in a report of another host, and that it reports."""
        self._heard_at = now
        self._versions.record(report, now)

    def apply_read(self, message: m.StoreRead, now: float) -> None:
        """Record what this host has read, and report a change to others."""
        kind = message.kind
        self._read[kind] = message.revision
        if message.is_repeat:
            self._lags[kind].record_answer(message.revision, now)
            if kind == Missed.CONFIGURATION:
                self._versions.record_answer(self._configuration(), now)
        removed = message.removed if kind == Missed.SERVERS else ()
        self._removed |= dict.fromkeys(removed, now)
        is_known = not message.changed or message.changed == self._changed[kind]
        if is_known and not removed:
            return
        self._changed[kind] = message.changed
        self._trickle.reset(now)
        if self._rng.random() * self._trickle.hosts < IMMEDIATE_REPORTS:
            self._send(now)

    def apply_report(self, message: m.AppliedRevisions, now: float) -> None:
        """Record which changes another host has read."""
        self._heard_at = now
        if message.era != self._era:
            self._handle_other_era(message.era, now)
            return
        is_equal = True
        for kind, revision in zip(m.REVISION_KINDS, message.revisions, strict=False):
            self._lags[kind].record(revision, now, message.host)
            own = self._changed[kind]
            if not own <= revision <= max(own, self._read.get(kind, 0)):
                is_equal = False
        if is_equal:
            self._trickle.record_equal()

    def apply_removals(self, message: m.RemovedServers, now: float) -> None:
        """Record which removals of servers another host has read.

        This host has missed one that it has not read, if it knows the entry. So there
        is a change after what it has read, or its response is on the way.
        """
        self._heard_at = now
        if message.era != self._era:
            return
        missed = [
            removal
            for removal in message.removed
            if removal not in self._removed and self._is_registered(removal[0])
        ]
        if missed:
            next_revision = self._read.get(Missed.SERVERS, 0) + 1
            self._lags[Missed.SERVERS].record(next_revision, now, message.host)

    def _handle_other_era(self, era: int, now: float) -> None:
        """Ask the store if another host knows a newer era, or tell that host soon."""
        if era < self._era:
            self._trickle.reset(now)
        elif now >= self._asked_era_at + ERA_RETRY_S:
            self._asked_era_at = now
            fields = {"era": self._era, "newest": era}
            log.warning("another host knows a newer era; reading again", extra=fields)
            self._read_again(Missed.SERVERS)

    def repeat(self, hosts: int, are_new: bool, now: float) -> None:
        """Report again what was read if it is time; sooner if there are new hosts."""
        self._trickle.hosts = max(1, hosts)
        if hosts < 2 or not self._read:
            return
        if are_new or not self._trickle.is_running():
            self._trickle.reset(now)
        self._removed = {
            removal: at
            for removal, at in self._removed.items()
            if now < at + REMOVAL_LIFETIME_S
        }
        if self._trickle.take_send(now):
            self._send(now)

    def check(self, is_store_reachable: bool, now: float) -> None:
        """Read again what others have had for a while, or all if no host reports.

        While the store is lost, each call shows whether it is back, so none is pending.
        """
        self._versions.check(self._configuration(), is_store_reachable, now)
        if not is_store_reachable:
            return
        for kind, revision in self._read.items():
            lag = self._lags[kind]
            if lag.should_read(revision, now):
                fields = {"kind": str(kind), "revision": revision}
                fields["newest"] = lag.newest
                log.warning("store changes missed; reading again", extra=fields)
                self._read_again(kind)
        self._check_silence(now)

    def _check_silence(self, now: float) -> None:
        if self._heard_at is None:
            self._heard_at = now
        is_alone = now - self._heard_at > SILENCE_S
        if is_alone != self._is_alone:
            self._is_alone = is_alone
            self._metrics.set("sesameport_entry_hears_no_host", int(is_alone))
            if is_alone:
                log.warning("no host heard; watching the store closely")
            else:
                log.info("hosts heard; watching the store as usual")
        if is_alone:
            self._on_missed(Missed.UNKNOWN)

    def _read_again(self, kind: Missed) -> None:
        self._metrics.count("sesameport_entry_missed_reads_total", kind=str(kind))
        self._on_missed(kind)

    def _send(self, now: float) -> None:
        revisions = tuple(self._changed[kind] for kind in m.REVISION_KINDS)
        self._publish(m.AppliedRevisions(self._host, revisions, self._era))
        removed = [
            removal
            for removal, at in self._removed.items()
            if now < at + REMOVAL_REPORTED_S and len(removal[0]) <= MAX_NAME_CHARS
        ]
        if removed:
            newest = tuple(removed[-MAX_REMOVALS:])
            self._publish(m.RemovedServers(self._host, self._era, newest))
