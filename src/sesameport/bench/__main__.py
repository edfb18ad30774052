"""Run the bench from the command line: ``python -m sesameport.bench``."""

import argparse
from pathlib import Path

from sesameport.bench.deployments import DEPLOYMENTS
from sesameport.bench.report import format_json, format_table, write_plots
from sesameport.bench.run import CASES, FAULT_CASES, ROUTERS, run_case


def main() -> int:
    """Run the chosen cases and print the table."""
    parser = argparse.ArgumentParser(prog="python -m sesameport.bench")
    parser.add_argument("--deployment", action="append", choices=DEPLOYMENTS)
    parser.add_argument("--router", action="append", choices=ROUTERS)
    cases = [*CASES, *FAULT_CASES]
    parser.add_argument("--case", action="append", choices=cases)
    parser.add_argument("--seed", type=int, action="append")
    parser.add_argument("--window", type=float, default=60.0, help="seconds")
    parser.add_argument("--json", help="file for the results as JSON")
    parser.add_argument("--plots", help="directory for plots (needs matplotlib)")
    args = parser.parse_args()
    routers = args.router or ["sesameport", "least-loaded", "round-robin"]
    results = [
        run_case(deployment, router, case, seed, window_s=args.window)
        for seed in args.seed or [1]
        for deployment in args.deployment or DEPLOYMENTS
        for case in args.case or CASES
        for router in routers
    ]
    print(format_table(results))
    if args.json:
        Path(args.json).write_text(format_json(results) + "\n")
    if args.plots:
        for path in write_plots(results, args.plots):
            print(path)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
