"""Run the soak test with ``python -m sesameport.soak --seconds 60 --seed 1``."""

from typing import Annotated

import attrs
import cappa

from sesameport.soak.run import run_soak


@cappa.command(name="soak")
@attrs.frozen
class Soak:
    """Run nine daemons under load and faults and check every invariant."""

    seconds: Annotated[float, cappa.Arg(long=True, help="Time under faults")] = 60.0
    seed: Annotated[int, cappa.Arg(long=True, help="Seed of load and faults")] = 1

    def __call__(self) -> int:
        """Run the soak test and return exit code 1 if an invariant is violated."""
        report = run_soak(self.seconds, self.seed)
        print(report.text())
        return 1 if report.violations else 0


if __name__ == "__main__":
    raise SystemExit(cappa.invoke(Soak))
