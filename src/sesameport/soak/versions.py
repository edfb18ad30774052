"""Watch the document versions in force on each host and check that none falls."""

import threading
import time

import attrs

from sesameport.soak.checks import Violation
from sesameport.soak.processes import HostProcess

__all__ = ["VersionSeen", "VersionWatch", "check_versions"]

_DOCUMENT = "assessor-llm"
_PERIOD_S = 0.5
# The users' bound for a configuration to be in force everywhere, seconds.
IN_FORCE_S = 12.0


@attrs.frozen
class VersionSeen:
    """Record the version that one host process had in force at a monotonic time."""

    at: float
    host: str
    incarnation: str
    version: int


class VersionWatch:
    """Read the status of every host again and again until it is stopped."""

    def __init__(self, hosts: list[HostProcess]):
        self._hosts = hosts
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.seen: list[VersionSeen] = []

    def start(self) -> "VersionWatch":
        """Start to read and return the watch."""
        self._thread.start()
        return self

    def stop(self) -> None:
        """Read every host once more and stop."""
        self._stop.set()
        self._thread.join()
        self._read()

    def _run(self) -> None:
        while not self._stop.wait(_PERIOD_S):
            self._read()

    def _read(self) -> None:
        for host in self._hosts:
            if host.paused or host.process is None or host.process.poll() is not None:
                continue
            status = host.status()
            for doc in status.get("documents", ()):
                if doc["name"] == _DOCUMENT:
                    item = VersionSeen(
                        time.monotonic(),
                        host.host.name,
                        status["incarnation"],
                        doc["version"],
                    )
                    self.seen.append(item)


def check_versions(seen: list[VersionSeen], written: list[int]) -> list[Violation]:
    """Check I10: no process returns to an older version, and all reach the newest.

    The soak ends long after the last fault, so every host is to have the newest
    version in its last answer.
    """
    found = []
    last: dict[str, VersionSeen] = {}
    for item in seen:
        before = last.get(item.host)
        same = before is not None and before.incarnation == item.incarnation
        if same and item.version < before.version:
            detail = f"{item.host} went from {before.version} to {item.version}"
            found.append(Violation("I10", detail))
        last[item.host] = item
    newest = max(written, default=0)
    for item in last.values():
        if item.version < newest:
            detail = f"{item.host} ended with version {item.version}, not {newest}"
            found.append(Violation("I10", detail))
    return found
