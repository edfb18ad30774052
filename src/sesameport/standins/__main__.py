"""Run a deployment of stand-ins and print its addresses as a line of JSON."""

import json
import threading
from typing import Annotated

import attrs
import cappa

from sesameport.standins import EngineProfile, build_deployment


@cappa.command(name="standins")
@attrs.frozen
class Standins:
    """Run a platform, engines and plain services on loopback until they are killed."""

    data_centres: Annotated[list[str], cappa.Arg(long=True, help="Data centres")]
    token_interval_s: Annotated[float, cappa.Arg(long=True)] = 0.005

    def __call__(self) -> int:
        """Start the stand-ins, print their addresses and block until killed."""
        profile = EngineProfile(token_interval_s=self.token_interval_s)
        deployment = build_deployment(tuple(self.data_centres), profile=profile)
        engines = {name: item.address for name, item in deployment.engines.items()}
        print(json.dumps({"platform": deployment.url, "engines": engines}), flush=True)
        threading.Event().wait()
        return 0


if __name__ == "__main__":
    raise SystemExit(cappa.invoke(Standins))
