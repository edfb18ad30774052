"""Compare routing policies with baselines in a virtual-time simulation."""

from sesameport.bench.measures import Measures
from sesameport.bench.report import format_json, format_table, write_plots
from sesameport.bench.run import CASES, ROUTERS, run_bench, run_case

__all__ = [
    "CASES",
    "Measures",
    "ROUTERS",
    "format_json",
    "format_table",
    "run_bench",
    "run_case",
    "write_plots",
]
