"""Check the invariants on whole daemons under load and injected faults."""

from sesameport.soak.checks import Violation, check_all
from sesameport.soak.run import SoakReport, run_soak, start_fleet

__all__ = ["SoakReport", "Violation", "check_all", "run_soak", "start_fleet"]
