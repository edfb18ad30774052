"""Inject a seeded sequence of faults into running hosts and stand-ins."""

import hashlib
import random
import threading
import time

from sesameport.domain import ServerState
from sesameport.soak.processes import HostProcess
from sesameport.standins import FaultPlan, demo_document, demo_key

__all__ = ["FaultSchedule"]


class FaultSchedule:
    """Inject faults one after the other or in pairs, and revert those that persist.

    Attributes
    ----------
    applied : list of str
        Faults in the order of their injection.
    failed_drains : list of str
        Hosts that were killed in a drain or ended it with an exit code other than 0.
    leaving_periods : list of tuple
        Server name and the monotonic times between which it was listed as leaving.
    withdrawn_key_periods : list of tuple
        Workspace and the monotonic times between which its key was withdrawn.
    versions : list of int
        Object versions of the documents that were written.
    """

    def __init__(self, hosts: list[HostProcess], deployment, seed: int):
        self._hosts = hosts
        self._deployment = deployment
        self._rng = random.Random(f"faults-{seed}")
        self.applied: list[str] = []
        self.failed_drains: list[str] = []
        self.leaving_periods: list[tuple[str, float, float]] = []
        self.withdrawn_key_periods: list[tuple[str, float, float]] = []
        self.versions: list[int] = []
        self._document_lock = threading.Lock()

    def run(self, seconds: float, gap_s: float = 3.0) -> None:
        """Inject faults until the time is up, then wait until all hosts are ready."""
        faults = [
            self.kill_host,
            self.pause_host,
            self.drain_host,
            self.crash_engine,
            self.stall_open_streams,
            self.disable_platform,
            self.drop_platform_responses,
            self.edit_document,
            self.disconnect_data_centre,
            self.mark_server_leaving,
            self.withdraw_key,
        ]
        remaining: list = []
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if not remaining:
                remaining = list(faults)
                self._rng.shuffle(remaining)
            concurrency = 2 if self._rng.random() < 0.3 and len(remaining) > 1 else 1
            threads = []
            for _ in range(concurrency):
                thread = threading.Thread(target=remaining.pop(), daemon=True)
                thread.start()
                threads.append(thread)
            for thread in threads:
                thread.join()
            time.sleep(self._rng.uniform(0.5, 1.5) * gap_s / 2)
        for host in self._hosts:
            host.wait_ready()

    def _choose_running_host(self) -> HostProcess:
        return self._rng.choice([host for host in self._hosts if not host.paused])

    def kill_host(self) -> None:
        """Kill a host and restart it."""
        host = self._choose_running_host()
        self.applied.append(f"kill {host.host.name}")
        host.kill()
        time.sleep(1.0)
        host.start()
        host.wait_ready()

    def pause_host(self) -> None:
        """Pause a host for 1 to 6 s; long pauses exceed the lease renewal bound."""
        host = self._choose_running_host()
        self.applied.append(f"pause {host.host.name}")
        host.pause()
        time.sleep(self._rng.uniform(1.0, 6.0))
        host.resume()

    def drain_host(self) -> None:
        """Drain a host, wait until it exits and restart it."""
        host = self._choose_running_host()
        self.applied.append(f"drain {host.host.name}")
        host.terminate()
        try:
            exit_code = host.process.wait(60.0)
        except Exception:
            exit_code = -1
            host.kill()
        if exit_code != 0:
            self.failed_drains.append(f"{host.host.name}: exit code {exit_code}")
        host.start()
        host.wait_ready()

    def crash_engine(self) -> None:
        """Make an engine lose all its state."""
        engine = self._rng.choice(list(self._deployment.engines.values()))
        self.applied.append(f"crash {engine.name}")
        engine.crash()

    def stall_open_streams(self) -> None:
        """Make every open stream of an engine send nothing more."""
        engine = self._rng.choice(list(self._deployment.engines.values()))
        self.applied.append(f"stall open streams of {engine.name}")
        engine.faults.stall_streams_opened_before = time.monotonic()

    def disable_platform(self) -> None:
        """Break every platform call for 2 to 6 s."""
        self.applied.append("platform down")
        plan: FaultPlan = self._deployment.platform.faults
        plan.down = True
        time.sleep(self._rng.uniform(2.0, 6.0))
        plan.down = False

    def drop_platform_responses(self) -> None:
        """Drop a share of the platform's responses after the calls took effect."""
        self.applied.append("drop platform responses")
        plan: FaultPlan = self._deployment.platform.faults
        plan.lost_response_share = 0.3
        time.sleep(3.0)
        plan.lost_response_share = 0.0

    def edit_document(self) -> None:
        """Write a new version of a document with the same settings."""
        self.applied.append("edit assessor-llm")
        with self._document_lock:
            self._write_document(demo_document("assessor-llm"))

    def disconnect_data_centre(self) -> None:
        """Disconnect a data centre from the platform for 4 to 14 s.

        The longer outages exceed the staleness bound for keys.
        """
        centre = self._rng.choice(list(self._deployment.platform_faults))
        self.applied.append(f"disconnect {centre} from the platform")
        self._deployment.platform_faults[centre].down = True
        time.sleep(self._rng.uniform(4.0, 14.0))
        self._deployment.platform_faults[centre].down = False

    def mark_server_leaving(self) -> None:
        """List a backend server as leaving for 8 s, then as live again."""
        name = self._rng.choice(list(self._deployment.engines))
        self.applied.append(f"{name} listed as leaving")
        since = time.monotonic()
        self._deployment.set_server_state(name, ServerState.LEAVING)
        time.sleep(8.0)
        self.leaving_periods.append((name, since, time.monotonic()))
        self._deployment.set_server_state(name, ServerState.LIVE)

    def withdraw_key(self) -> None:
        """Withdraw the key of a workspace for 16 s, then restore it."""
        self.applied.append("withdraw the key of tannery-south")
        text = demo_document("assessor-llm")
        digest = hashlib.sha256(demo_key("tannery-south").encode()).hexdigest()
        with self._document_lock:
            self._write_document(text.replace(digest, "0" * 64))
            since = time.monotonic()
            time.sleep(16.0)
            self.withdrawn_key_periods.append(
                ("tannery-south", since, time.monotonic())
            )
            self._write_document(text)

    def _write_document(self, text: str) -> None:
        text += f"\n# version {len(self.versions)}\n"
        platform = self._deployment.platform
        version = platform.put("ServiceDocument", "assessor-llm", text.encode())
        self.versions.append(version)
