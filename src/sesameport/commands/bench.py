"""Run the benchmark of the routing decisions in virtual time."""

import pathlib
from typing import Annotated

import attrs
import cappa

__all__ = ["Bench"]


def _bench(command: "Bench") -> int:
    from sesameport.bench.deployments import DEPLOYMENTS
    from sesameport.bench.report import format_json, format_table, write_plots
    from sesameport.bench.run import CASES, FAULT_CASES, ROUTERS, run_case

    for names, choices, option in (
        (command.deployment, DEPLOYMENTS, "--deployment"),
        (command.case, (*CASES, *FAULT_CASES), "--case"),
        (command.router, ROUTERS, "--router"),
    ):
        for name in names:
            if name not in choices:
                message = f"{option}: {name!r} is not one of {', '.join(choices)}"
                raise cappa.Exit(message, code=2)
    results = [
        run_case(deployment, router, case, seed, window_s=command.window)
        for seed in command.seed or [1]
        for deployment in command.deployment or DEPLOYMENTS
        for case in command.case or CASES
        for router in command.router or ["sesameport", "least-loaded", "round-robin"]
    ]
    print(format_table(results))
    if command.json is not None:
        command.json.write_text(format_json(results) + "\n")
    if command.plots is not None:
        for path in write_plots(results, command.plots):
            print(path)
    return 0


@cappa.command(name="bench", invoke=_bench)
@attrs.frozen
class Bench:
    """Compare the routing decisions with baseline routers in virtual time.

    The table shows goodput as a share of what the capacity allows, wasted prefill, the
    worst-served workspace, wrongful refusals, holds that remain and requests that were
    run twice. The same seed gives the same table.
    """

    deployment: Annotated[list[str], cappa.Arg(long=True, help="Deployments")] = (
        attrs.field(factory=list)
    )
    router: Annotated[list[str], cappa.Arg(long=True, help="Routers")] = attrs.field(
        factory=list
    )
    case: Annotated[list[str], cappa.Arg(long=True, help="Load and fault cases")] = (
        attrs.field(factory=list)
    )
    seed: Annotated[list[int], cappa.Arg(long=True, help="Seeds")] = attrs.field(
        factory=list
    )
    window: Annotated[float, cappa.Arg(long=True, help="Measured period, s")] = 60.0
    json: Annotated[
        pathlib.Path | None, cappa.Arg(long=True, help="File for the results as JSON")
    ] = None
    plots: Annotated[
        pathlib.Path | None, cappa.Arg(long=True, help="Directory for the plots")
    ] = None
