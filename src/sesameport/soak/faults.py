"""Apply a seeded sequence of faults to running hosts and stand-ins."""

import random
import threading
import time

from sesameport.soak.processes import HostProcess
from sesameport.standins import FaultPlan

__all__ = ["FaultSchedule"]


class FaultSchedule:
    """Show one fault after the other, sometimes two together, and undo each.

    Attributes
    ----------
    applied : list of str
        Faults in their order.
    cut_by_drain : list of str
        Hosts whose drain did not end by itself.
    """

    def __init__(self, hosts: list[HostProcess], deployment, seed: int):
        self._hosts = hosts
        self._deployment = deployment
        self._rng = random.Random(f"faults-{seed}")
        self.applied: list[str] = []
        self.cut_by_drain: list[str] = []

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
        from sesameport.standins import demo_document

        self.applied.append("edit assessor-llm")
        text = demo_document("assessor-llm") + f"\n# edit {len(self.applied)}\n"
        self._deployment.platform.put("ServiceDocument", "assessor-llm", text.encode())
