"""Read the configuration again if other hosts have a newer one."""

import enum
from collections.abc import Callable

from sesameport.admission import VersionLag
from sesameport.entry.configuration import EntryConfiguration
from sesameport.entry.host_messages import HostReport
from sesameport.telemetry.logs import get_logger

__all__ = ["Missed", "MissedConfiguration"]

log = get_logger("entry")


class Missed(enum.StrEnum):
    """Name what other hosts know from the store and this host does not.

    It is ``UNKNOWN`` while no other host reports.
    """

    CONFIGURATION = "configuration"
    EVACUATIONS = "evacuations"
    SERVERS = "servers"
    UNKNOWN = "unknown"


class MissedConfiguration:
    """Compare the version of this host with those of other hosts; not thread-safe.

    Parameters
    ----------
    on_missed : callable
        Called with `Missed.CONFIGURATION` when it should be read again.
    """

    def __init__(self, on_missed: Callable[[Missed], None]):
        self._on_missed = on_missed
        self._lag = VersionLag()

    def record(self, report: HostReport, now: float) -> None:
        """Record the version in a report of another host."""
        self._lag.record(report.version, now, report.host)

    def record_answer(self, known: EntryConfiguration | None, now: float) -> None:
        """Record that the store answered the last read, after its configuration."""
        self._lag.record_answer(known.version if known else 0, now)

    def check(
        self, known: EntryConfiguration | None, is_store_reachable: bool, now: float
    ) -> None:
        """Read the configuration again if another host has had a newer one for a while.

        While the store is lost, each call shows whether it is back, so none is pending.
        """
        version = known.version if known else 0
        if is_store_reachable and self._lag.should_read(version, now):
            fields = {"version": version, "newest": self._lag.newest}
            log.warning("configuration missed; reading it again", extra=fields)
            self._on_missed(Missed.CONFIGURATION)
