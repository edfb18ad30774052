"""Define the command line.

Each subcommand is defined in its own module; ``main`` is the entry point.
"""

import attrs
import cappa

from sesameport import __version__
from sesameport.commands.bench import Bench
from sesameport.commands.check import Check
from sesameport.commands.demo import Demo
from sesameport.commands.documents import Get, Put
from sesameport.commands.explain import Explain
from sesameport.commands.outcomes import Outcomes
from sesameport.commands.report import Report
from sesameport.commands.serve import Serve
from sesameport.commands.status import Status
from sesameport.commands.where import Where

__all__ = ["Sesameport", "main"]


@cappa.command(name="sesameport")
@attrs.frozen
class Sesameport:
    """Route requests between separate prefill and decode pools."""

    command: cappa.Subcommands[
        Serve
        | Demo
        | Check
        | Put
        | Get
        | Status
        | Report
        | Bench
        | Explain
        | Outcomes
        | Where
    ]


def main() -> None:
    """Run the command line and exit with the exit code of the subcommand."""
    exit_code = cappa.invoke(Sesameport, version=__version__)
    raise SystemExit(exit_code)
