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
    from sesameport.telemetry.logs import JsonLineHandler

    path = command.settings
    cfg, findings = load_settings(path.read_text(), str(path))
    if cfg is None:
        print(format_findings(findings), file=sys.stderr)
        return 1
    JsonLineHandler(cfg.host.name, cfg.host.data_centre).push_application()
    daemon = Daemon(cfg).start()
    stopped = threading.Event()

    def stop(number, frame):
        if stopped.is_set():
            daemon.drain.cut_short()
        stopped.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, stop)
    stopped.wait()
    return 0 if daemon.shutdown() else 1


@cappa.command(name="serve", invoke=_serve)
@attrs.frozen
class Serve:
    """Run one entry host's daemon.

    SIGTERM drains the host and stops it when its last request has ended; a second one
    stops it at once.
    """

    settings: Annotated[pathlib.Path, cappa.Arg(help="Settings file, TOML")]
