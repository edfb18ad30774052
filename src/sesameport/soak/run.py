"""Run nine daemons under load and faults and check every invariant."""

import collections
import pathlib
import tempfile
import time

import attrs

from sesameport.domain import Host
from sesameport.soak.checks import Violation, check_all
from sesameport.soak.faults import FaultSchedule
from sesameport.soak.load import LoadGenerator
from sesameport.soak.processes import HostProcess, free_address, write_settings
from sesameport.soak.versions import VersionMonitor, check_versions
from sesameport.standins import EngineProfile, build_deployment

__all__ = ["SoakReport", "run_soak", "start_fleet"]

_HOLD_RELEASE_TIMEOUT_S = 40.0


@attrs.frozen
class SoakReport:
    """Represent the result of a soak run."""

    seconds: float
    requests: int
    by_result: dict[str, int]
    faults: tuple[str, ...]
    violations: tuple[Violation, ...]
    memory_mb: dict[str, float]
    child_processes: int

    def text(self) -> str:
        """Return the report as text, one line for each result, fault and violation."""
        lines = [
            f"{self.requests} requests in {self.seconds:.0f} s, "
            f"{len(self.faults)} faults, {len(self.violations)} violations, "
            f"{self.child_processes} child processes"
        ]
        lines += [
            f"  {count:6} {name}" for name, count in sorted(self.by_result.items())
        ]
        lines += [f"  fault: {fault}" for fault in self.faults]
        lines += [f"  {v.invariant}: {v.detail}" for v in self.violations]
        max_memory_mb = max(self.memory_mb.values(), default=0.0)
        lines.append(f"  largest resident memory {max_memory_mb:.0f} MB")
        return "\n".join(lines)


def start_fleet(
    deployment, folder: pathlib.Path, hosts_per_data_centre: int = 3, **tables
):
    """Start ``serve`` processes in each data centre and wait until they are ready."""
    hosts = []
    for centre in deployment.data_centres:
        for number in range(1, hosts_per_data_centre + 1):
            host = Host(f"{centre}-{number}", centre, free_address(), free_address())
            status_address = free_address()
            path = write_settings(folder, host, status_address, deployment, **tables)
            hosts.append(
                HostProcess(host, status_address, path, folder / f"{host.name}.log")
            )
    deployment.hosts = [process.host for process in hosts]
    deployment.publish()
    for process in hosts:
        process.start()
    for process in hosts:
        process.wait_ready()
    return hosts


def run_soak(
    seconds: float = 60.0,
    seed: int = 1,
    hosts_per_data_centre: int = 3,
    callers: int = 18,
    pause_s: float = 0.3,
) -> SoakReport:
    """Run the soak test and return its report."""
    profile = EngineProfile(token_interval_s=0.02)
    deployment = build_deployment(profile=profile, threads=64)
    tables = {"shutdown": {"unready_s": 1.0}, "requests": {"silent_s": 2.0}}
    with tempfile.TemporaryDirectory() as folder:
        hosts = []
        try:
            hosts = start_fleet(
                deployment, pathlib.Path(folder), hosts_per_data_centre, **tables
            )
            return _run(hosts, deployment, seconds, seed, callers, pause_s)
        finally:
            for host in hosts:
                host.kill()
            deployment.stop()


def _run(hosts, deployment, seconds, seed, callers, pause_s) -> SoakReport:
    started = time.monotonic()
    load = LoadGenerator(hosts, seed, callers, pause_s).start()
    monitor = VersionMonitor(hosts).start()
    schedule = FaultSchedule(hosts, deployment, seed)
    schedule.run(seconds)
    load.stop()
    deadline = time.monotonic() + _HOLD_RELEASE_TIMEOUT_S
    while time.monotonic() < deadline and any(
        engine.list_holds() for engine in deployment.engines.values()
    ):
        time.sleep(0.2)
    monitor.stop()
    violations = check_all(load.outcomes, deployment, schedule)
    violations += check_versions(monitor.observations, schedule.versions)
    results: collections.Counter = collections.Counter()
    for outcome in load.outcomes:
        name = (
            outcome.problem_type.rpartition(":")[2]
            if outcome.problem_type
            else f"{outcome.status}"
        )
        completeness = "complete" if outcome.is_complete else "incomplete"
        results[f"{outcome.kind} {name} {outcome.execution or completeness}"] += 1
    return SoakReport(
        time.monotonic() - started,
        len(load.outcomes),
        dict(results),
        tuple(schedule.applied),
        tuple(violations),
        {host.host.name: host.memory_bytes() / 1e6 for host in hosts},
        sum(len(host.list_child_pids()) for host in hosts),
    )
