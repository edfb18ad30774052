"""Run one entry host's daemon."""

import pathlib
import signal
import sys
import threading
from typing import Annotated

import attrs
import cappa

from sesameport.documents import load_settings
from sesameport.world import format_findings

__all__ = ["Serve"]


def _serve(command: "Serve") -> int:
    from sesameport.daemon import Daemon

    path = command.settings
    cfg, findings = load_settings(path.read_text(), str(path))
    if cfg is None:
        print(format_findings(findings), file=sys.stderr)
        return 1
    daemon = Daemon(cfg).start()
    print(f"serving callers on {daemon.http.address}", flush=True)
    stopped = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopped.set())
    stopped.wait()
    daemon.stop()
    return 0


@cappa.command(name="serve", invoke=_serve)
@attrs.frozen
class Serve:
    """Run one entry host's daemon until SIGTERM, which drains it first."""

    settings: Annotated[pathlib.Path, cappa.Arg(help="Settings file, TOML")]
