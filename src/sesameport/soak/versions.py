"""Record the active document versions of each host and check that none decreases."""

import threading
import time

import attrs

from sesameport.soak.checks import Violation
from sesameport.soak.processes import HostProcess

__all__ = ["VersionMonitor", "VersionObservation", "check_versions"]

_DOCUMENT = "assessor-llm"
_POLL_INTERVAL_S = 0.5
IN_FORCE_S = 12.0
"""The users' bound for a configuration to be in force everywhere, seconds."""


@attrs.frozen
class VersionObservation:
    """Represent the version in force on a host process at a monotonic time."""

    at: float
    host: str
    incarnation: str
    version: int


class VersionMonitor:
    """Poll the status of every host in a thread and record the versions in force."""

    def __init__(self, hosts: list[HostProcess]):
        self._hosts = hosts
        self._stop = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.observations: list[VersionObservation] = []

    def start(self) -> "VersionMonitor":
        """Start polling and return the monitor."""
        self._thread.start()
        return self

    def stop(self) -> None:
        """Stop the thread and poll every host a last time."""
        self._stop.set()
        self._thread.join()
        self._poll_hosts()

    def _run(self) -> None:
        while not self._stop.wait(_POLL_INTERVAL_S):
            self._poll_hosts()

    def _poll_hosts(self) -> None:
        for host in self._hosts:
            if host.paused or host.process is None or host.process.poll() is not None:
                continue
            status = host.status()
            for doc in status.get("documents", ()):
                if doc["name"] == _DOCUMENT:
                    observation = VersionObservation(
                        time.monotonic(),
                        host.host.name,
                        status["incarnation"],
                        doc["version"],
                    )
                    self.observations.append(observation)


def check_versions(
    observations: list[VersionObservation], written: list[int]
) -> list[Violation]:
    """Check I10: no process returns to an older version, and all reach the newest.

    The last observation of each host must show the newest version, because the soak
    ends long after the last fault.
    """
    violations = []
    last_by_host: dict[str, VersionObservation] = {}
    for item in observations:
        previous = last_by_host.get(item.host)
        is_same_process = (
            previous is not None and previous.incarnation == item.incarnation
        )
        if is_same_process and item.version < previous.version:
            detail = f"{item.host} went from {previous.version} to {item.version}"
            violations.append(Violation("I10", detail))
        last_by_host[item.host] = item
    newest = max(written, default=0)
    for item in last_by_host.values():
        if item.version < newest:
            detail = f"{item.host} ended with version {item.version}, not {newest}"
            violations.append(Violation("I10", detail))
    return violations
