"""Run nine daemons under load and faults and check every invariant."""

import collections
import pathlib
import tempfile
import time

import attrs

from sesameport.soak.checks import Violation, check_all
from sesameport.soak.faults import FaultSchedule
from sesameport.soak.load import Load
from sesameport.soak.processes import HostProcess, free_address, write_settings
from sesameport.soak.versions import VersionWatch, check_versions
from sesameport.standins import EngineProfile, build_deployment
from sesameport.world import Host

__all__ = ["SoakReport", "run_soak", "start_fleet"]

_SETTLE_S = 40.0


@attrs.frozen
class SoakReport:
    """Hold the result of a soak."""

    seconds: float
    requests: int
    by_result: dict[str, int]
    faults: tuple[str, ...]
    violations: tuple[Violation, ...]
    memory_mb: dict[str, float]
    children: int

    def text(self) -> str:
        """Return the result as text."""
        lines = [
            f"{self.requests} requests in {self.seconds:.0f} s, "
            f"{len(self.faults)} faults, {len(self.violations)} violations, "
            f"{self.children} child processes"
        ]
        lines += [
            f"  {count:6} {name}" for name, count in sorted(self.by_result.items())
        ]
        lines += [f"  fault: {fault}" for fault in self.faults]
        lines += [f"  {v.invariant}: {v.detail}" for v in self.violations]
        largest = max(self.memory_mb.values(), default=0.0)
        lines.append(f"  largest resident memory {largest:.0f} MB")
        return "\n".join(lines)


def start_fleet(deployment, folder: pathlib.Path, per_data_centre: int = 3, **tables):
    """Start ``serve`` processes in each data centre and wait until they are ready."""
    hosts = []
    for centre in deployment.data_centres:
        for number in range(1, per_data_centre + 1):
            host = Host(f"{centre}-{number}", centre, free_address(), free_address())
            status = free_address()
            path = write_settings(folder, host, status, deployment, **tables)
            hosts.append(HostProcess(host, status, path, folder / f"{host.name}.log"))
    deployment.hosts = [item.host for item in hosts]
    deployment.publish()
    for item in hosts:
        item.start()
    for item in hosts:
        item.wait_ready()
    return hosts


def run_soak(
    seconds: float = 60.0,
    seed: int = 1,
    per_data_centre: int = 3,
    callers: int = 18,
    pause_s: float = 0.3,
) -> SoakReport:
    """Run the soak and return its report."""
    profile = EngineProfile(token_interval_s=0.02)
    deployment = build_deployment(profile=profile, threads=64)
    tables = {"shutdown": {"unready_s": 1.0}, "requests": {"silent_s": 2.0}}
    with tempfile.TemporaryDirectory() as folder:
        hosts = []
        try:
            hosts = start_fleet(
                deployment, pathlib.Path(folder), per_data_centre, **tables
            )
            return _run(hosts, deployment, seconds, seed, callers, pause_s)
        finally:
            for host in hosts:
                host.kill()
            deployment.stop()


def _run(hosts, deployment, seconds, seed, callers, pause_s) -> SoakReport:
    started = time.monotonic()
    load = Load(hosts, seed, callers, pause_s).start()
    watch = VersionWatch(hosts).start()
    schedule = FaultSchedule(hosts, deployment, seed)
    schedule.run(seconds)
    load.stop()
    end = time.monotonic() + _SETTLE_S
    while time.monotonic() < end and any(
        engine.held() for engine in deployment.engines.values()
    ):
        time.sleep(0.2)
    watch.stop()
    violations = check_all(load.outcomes, deployment, schedule)
    violations += check_versions(watch.seen, schedule.versions)
    results: collections.Counter = collections.Counter()
    for item in load.outcomes:
        name = item.problem.rpartition(":")[2] if item.problem else f"{item.status}"
        whole = "whole" if item.whole else "not whole"
        results[f"{item.kind} {name} {item.execution or whole}"] += 1
    return SoakReport(
        time.monotonic() - started,
        len(load.outcomes),
        dict(results),
        tuple(schedule.applied),
        tuple(violations),
        {host.host.name: host.memory_bytes() / 1e6 for host in hosts},
        sum(len(host.children()) for host in hosts),
    )
