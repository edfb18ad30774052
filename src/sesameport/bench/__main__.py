"""Run the benchmark with ``python -m sesameport.bench``."""

import cappa

from sesameport.commands.bench import Bench

if __name__ == "__main__":
    raise SystemExit(cappa.invoke(Bench))
