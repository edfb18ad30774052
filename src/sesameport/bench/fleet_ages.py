"""Measure the age of the configuration and the evidence in an outage, in virtual time.

Run ``python -m sesameport.bench.fleet_ages``. The figures repeat exactly.
"""

import attrs

from sesameport.bench.fleet_platform import VirtualFleet
from sesameport.fleet.freshness import EvidenceState
from sesameport.fleet.rendezvous import choose_relays

__all__ = ["AgeReport", "measure_ages", "measure_repair"]

CENTRES = tuple(f"dc{i}" for i in range(7))
KEY_STALENESS_S = 8.0
STEP_S = 0.25


@attrs.frozen
class AgeReport:
    """Hold ages in seconds and reads of the platform per second, over all hosts.

    ``gap_s`` is the mean time per host in which, during an outage, its configuration
    was too old for keys and the evidence of some data centre did not yet say so.
    """

    hosts: int
    mean_age_s: float
    highest_age_s: float
    reads_per_s: float
    outage_reads_per_s: float
    gap_s: float


def measure_ages(hosts: int, centres: tuple[str, ...]) -> AgeReport:
    """Run 30 s of normal operation and an outage of 50 s."""
    fleet = VirtualFleet(hosts, centres)
    fleet.loop.run(60)
    reads = fleet.platform.reads
    ages = []
    for _ in range(int(30 / STEP_S)):
        fleet.loop.run(STEP_S)
        now = fleet.loop.now
        ages.extend(fleet.node(host.name).freshness_age(now) for host in fleet.hosts)
    normal = (fleet.platform.reads - reads) / 30
    fleet.platform.unreachable_for.add(None)
    gap_s = 0.0
    for _ in range(int(30 / STEP_S)):
        fleet.loop.run(STEP_S)
        gap_s += STEP_S * sum(_has_gap(fleet, host.name) for host in fleet.hosts)
    reads = fleet.platform.reads
    fleet.loop.run(20)
    outage = (fleet.platform.reads - reads) / 20
    mean_s = sum(ages) / len(ages)
    return AgeReport(hosts, mean_s, max(ages), normal, outage, gap_s / hosts)


def measure_repair(loss: float, dead_relays: bool) -> float:
    """Return the time until a write is in force on 340 hosts despite faults, seconds.

    Parameters
    ----------
    loss : float
        Share of messages that are lost.
    dead_relays : bool
        Whether the first relay of every data centre died without being noticed.
    """
    fleet = VirtualFleet(340, CENTRES)
    fleet.loop.run(30)
    for centre in CENTRES if dead_relays else ():
        names = [host.name for host in fleet.hosts if host.data_centre == centre]
        fleet.loop.kill(choose_relays(names, centre)[0])
    fleet.loop.faults.loss = loss
    started = fleet.loop.now
    version = fleet.platform.write("a", "one")
    while fleet.texts() != {("one", version)}:
        fleet.loop.run(0.05)
    return fleet.loop.now - started


def _has_gap(fleet: VirtualFleet, host: str) -> bool:
    node = fleet.node(host)
    now = fleet.loop.now
    if node.freshness_age(now) <= KEY_STALENESS_S:
        return False
    evidence = node.platform_evidence(now).values()
    return any(item.state != EvidenceState.UNREACHABLE for item in evidence)


def main() -> None:
    """Print the figures."""
    for hosts, centres in ((9, CENTRES[:3]), (340, CENTRES)):
        print(measure_ages(hosts, centres))
    print(f"first relays dead: {measure_repair(0.0, True):.2f} s")
    print(f"20% of messages lost: {measure_repair(0.2, False):.2f} s")


if __name__ == "__main__":
    main()
