"""Measure how old the configuration of hosts becomes, with and without an outage.

Run ``python -m sesameport.bench.fleet_ages``. Time is virtual, so the figures are
reproducible.
"""

import attrs

from sesameport.bench.fleet_platform import VirtualFleet
from sesameport.fleet.freshness import EvidenceState
from sesameport.fleet.rendezvous import choose_relays

__all__ = ["AgeReport", "measure_ages", "measure_recovery"]

CENTRES = tuple(f"dc{i}" for i in range(7))
KEY_STALENESS_S = 8.0
"""Configuration older than this is too old for checking keys."""

STEP_S = 0.25


@attrs.frozen
class AgeReport:
    """Represent configuration ages and platform reads per second over all hosts.

    ``gap_s`` is the mean time per host during an outage in which its configuration was
    too old for checking keys, but its evidence did not yet report the platform as
    unreachable from every data centre.
    """

    hosts: int
    mean_age_s: float
    highest_age_s: float
    reads_per_s: float
    outage_reads_per_s: float
    gap_s: float


def measure_ages(hosts: int, centres: tuple[str, ...]) -> AgeReport:
    """Return the figures of 30 s of normal operation and an outage of 50 s."""
    fleet = VirtualFleet(hosts, centres)
    fleet.loop.run(60)
    reads = fleet.platform.read_count
    ages = []
    for _ in range(int(30 / STEP_S)):
        fleet.loop.run(STEP_S)
        now = fleet.loop.now
        ages.extend(fleet.node(host.name).freshness_age(now) for host in fleet.hosts)
    normal_reads_per_s = (fleet.platform.read_count - reads) / 30
    fleet.platform.unreachable_for.add(None)
    gap_s = 0.0
    for _ in range(int(30 / STEP_S)):
        fleet.loop.run(STEP_S)
        gap_s += STEP_S * sum(
            _has_evidence_gap(fleet, host.name) for host in fleet.hosts
        )
    reads = fleet.platform.read_count
    fleet.loop.run(20)
    outage_reads_per_s = (fleet.platform.read_count - reads) / 20
    mean_s = sum(ages) / len(ages)
    return AgeReport(
        hosts, mean_s, max(ages), normal_reads_per_s, outage_reads_per_s, gap_s / hosts
    )


def measure_recovery(loss_probability: float, has_failed_relays: bool) -> float:
    """Return the seconds until all 340 hosts apply a write despite faults.

    Parameters
    ----------
    loss : float
        Probability that a message is lost.
    has_failed_relays : bool
        Whether the first relay of every data centre has stopped without notice.
    """
    fleet = VirtualFleet(340, CENTRES)
    fleet.loop.run(30)
    for centre in CENTRES if has_failed_relays else ():
        names = [host.name for host in fleet.hosts if host.data_centre == centre]
        fleet.loop.kill(choose_relays(names, centre)[0])
    fleet.loop.faults.loss_probability = loss_probability
    started = fleet.loop.now
    version = fleet.platform.write("a", "one")
    while fleet.applied_documents() != {("one", version)}:
        fleet.loop.run(0.05)
    return fleet.loop.now - started


def _has_evidence_gap(fleet: VirtualFleet, host: str) -> bool:
    node = fleet.node(host)
    now = fleet.loop.now
    if node.freshness_age(now) <= KEY_STALENESS_S:
        return False
    evidence = node.platform_evidence(now).values()
    return any(centre.state != EvidenceState.UNREACHABLE for centre in evidence)


def main() -> None:
    """Print all figures."""
    for hosts, centres in ((9, CENTRES[:3]), (340, CENTRES)):
        print(measure_ages(hosts, centres))
    print(f"first relays dead: {measure_recovery(0.0, True):.2f} s")
    print(f"20% of messages lost: {measure_recovery(0.2, False):.2f} s")


if __name__ == "__main__":
    main()
