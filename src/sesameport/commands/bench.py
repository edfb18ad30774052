"""Run the virtual-time bench."""

import pathlib
from typing import Annotated

import attrs
import cappa

__all__ = ["Bench"]


def _bench(command: "Bench") -> int:
    from sesameport.bench.deployments import DEPLOYMENTS
    from sesameport.bench.report import format_json, format_table, write_plots
    from sesameport.bench.run import CASES, FAULT_CASES, ROUTERS, run_case

    for chosen, known, option in (
        (command.deployment, DEPLOYMENTS, "--deployment"),
        (command.case, (*CASES, *FAULT_CASES), "--case"),
        (command.router, ROUTERS, "--router"),
    ):
        for name in chosen:
            if name not in known:
                message = f"{option}: {name!r} is not among {', '.join(known)}"
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
    """Run the routing decisions in virtual time against the baselines.

    The table gives goodput as a share of what capacity allows, wasted prefill, the
    worst-served workspace, wrongful refusals, holds left and requests run twice. The
    same seed gives the same table.
    """

    deployment: Annotated[list[str], cappa.Arg(long=True, help="Deployments")] = (
        attrs.field(factory=list)
    )
    router: Annotated[list[str], cappa.Arg(long=True, help="Routers")] = attrs.field(
        factory=list
    )
    case: Annotated[list[str], cappa.Arg(long=True, help="Loads and faults")] = (
        attrs.field(factory=list)
    )
    seed: Annotated[list[int], cappa.Arg(long=True, help="Seeds")] = attrs.field(
        factory=list
    )
    window: Annotated[float, cappa.Arg(long=True, help="Measured time, s")] = 60.0
    json: Annotated[
        pathlib.Path | None, cappa.Arg(long=True, help="File for the results")
    ] = None
    plots: Annotated[
        pathlib.Path | None, cappa.Arg(long=True, help="Directory for plots")
    ] = None
