"""Apply a seeded sequence of faults to running hosts and stand-ins."""

import hashlib
import random
import threading
import time

from sesameport.soak.processes import HostProcess
from sesameport.standins import FaultPlan, demo_document, demo_key
from sesameport.world import ServerState

__all__ = ["FaultSchedule"]


class FaultSchedule:
    """Show one fault after the other, sometimes two together, and undo each.

    Attributes
    ----------
    applied : list of str
        Faults in their order.
    cut_by_drain : list of str
        Hosts whose drain did not end by itself.
    left : list of tuple
        Server name and the monotonic times from which and until which it left.
    withdrawn : list of tuple
        Workspace and the monotonic times from which and until which its key was
        withdrawn.
    versions : list of int
        Object versions of the documents that were written.
    """

    def __init__(self, hosts: list[HostProcess], deployment, seed: int):
        self._hosts = hosts
        self._deployment = deployment
        self._rng = random.Random(f"faults-{seed}")
        self.applied: list[str] = []
        self.cut_by_drain: list[str] = []
        self.left: list[tuple[str, float, float]] = []
        self.withdrawn: list[tuple[str, float, float]] = []
        self.versions: list[int] = []
        self._document_lock = threading.Lock()

    def run(self, seconds: float, gap_s: float = 3.0) -> None:
        """Apply faults until the time is up, then wait until all hosts are ready."""
        faults = [
            self.kill_host,
            self.pause_host,
            self.drain_host,
            self.crash_engine,
            self.silence_engine,
            self.stop_platform,
            self.lose_platform_answers,
            self.edit_document,
            self.cut_data_centre,
            self.let_server_leave,
            self.withdraw_key,
        ]
        order: list = []
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if not order:
                order = list(faults)
                self._rng.shuffle(order)
            together = 2 if self._rng.random() < 0.3 and len(order) > 1 else 1
            threads = []
            for _ in range(together):
                thread = threading.Thread(target=order.pop(), daemon=True)
                thread.start()
                threads.append(thread)
            for thread in threads:
                thread.join()
            time.sleep(self._rng.uniform(0.5, 1.5) * gap_s / 2)
        for host in self._hosts:
            host.wait_ready()

    def _choose_host(self) -> HostProcess:
        return self._rng.choice([host for host in self._hosts if not host.paused])

    def kill_host(self) -> None:
        """Kill a host and start it again."""
        host = self._choose_host()
        self.applied.append(f"kill {host.host.name}")
        host.kill()
        time.sleep(1.0)
        host.start()
        host.wait_ready()

    def pause_host(self) -> None:
        """Pause a host for longer than its leases may be renewed."""
        host = self._choose_host()
        self.applied.append(f"pause {host.host.name}")
        host.pause()
        time.sleep(self._rng.uniform(1.0, 6.0))
        host.resume()

    def drain_host(self) -> None:
        """Drain a host, wait for its end and start it again."""
        host = self._choose_host()
        self.applied.append(f"drain {host.host.name}")
        host.terminate()
        try:
            code = host.process.wait(60.0)
        except Exception:
            code = -1
            host.kill()
        if code != 0:
            self.cut_by_drain.append(f"{host.host.name}: exit code {code}")
        host.start()
        host.wait_ready()

    def crash_engine(self) -> None:
        """Lose all state of an engine."""
        engine = self._rng.choice(list(self._deployment.engines.values()))
        self.applied.append(f"crash {engine.name}")
        engine.crash()

    def silence_engine(self) -> None:
        """Make every open stream of an engine silent for good."""
        engine = self._rng.choice(list(self._deployment.engines.values()))
        self.applied.append(f"silence open connections of {engine.name}")
        engine.faults.silent_before = time.monotonic()

    def stop_platform(self) -> None:
        """Break every platform call for some seconds."""
        self.applied.append("platform down")
        plan: FaultPlan = self._deployment.platform.faults
        plan.down = True
        time.sleep(self._rng.uniform(2.0, 6.0))
        plan.down = False

    def lose_platform_answers(self) -> None:
        """Lose a third of the platform's answers after their effect."""
        self.applied.append("platform loses answers")
        plan: FaultPlan = self._deployment.platform.faults
        plan.lost_answer_share = 0.3
        time.sleep(3.0)
        plan.lost_answer_share = 0.0

    def edit_document(self) -> None:
        """Write a new version of a document that changes nothing but its version."""
        self.applied.append("edit assessor-llm")
        with self._document_lock:
            self._write(demo_document("assessor-llm"))

    def cut_data_centre(self) -> None:
        """Cut one data centre off from the platform for longer than keys may age."""
        centre = self._rng.choice(list(self._deployment.cuts))
        self.applied.append(f"cut {centre} off from the platform")
        self._deployment.cuts[centre].down = True
        time.sleep(self._rng.uniform(4.0, 14.0))
        self._deployment.cuts[centre].down = False

    def let_server_leave(self) -> None:
        """List a backend server as leaving, then as live again."""
        name = self._rng.choice(list(self._deployment.engines))
        self.applied.append(f"{name} leaves")
        since = time.monotonic()
        self._deployment.set_server_state(name, ServerState.LEAVING)
        time.sleep(8.0)
        self.left.append((name, since, time.monotonic()))
        self._deployment.set_server_state(name, ServerState.LIVE)

    def withdraw_key(self) -> None:
        """Withdraw the key of a workspace and give it back."""
        self.applied.append("withdraw the key of tannery-south")
        text = demo_document("assessor-llm")
        digest = hashlib.sha256(demo_key("tannery-south").encode()).hexdigest()
        with self._document_lock:
            self._write(text.replace(digest, "0" * 64))
            since = time.monotonic()
            time.sleep(16.0)
            self.withdrawn.append(("tannery-south", since, time.monotonic()))
            self._write(text)

    def _write(self, text: str) -> None:
        text += f"\n# version {len(self.versions)}\n"
        platform = self._deployment.platform
        version = platform.put("ServiceDocument", "assessor-llm", text.encode())
        self.versions.append(version)
