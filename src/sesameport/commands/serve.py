"""Run one entry host's daemon."""

import os
import pathlib
import sys
from typing import Annotated

import attrs
import cappa

from sesameport.documents import load_settings
from sesameport.entry.process import run_entry_host, wait_for_stop_signal
from sesameport.platform import (
    HttpPlatformAdapter,
    is_platform_settings,
    load_platform_settings,
)
from sesameport.telemetry.logs import JsonLineHandler
from sesameport.world import format_findings

__all__ = ["Serve"]

SETTINGS_VARIABLE = "SESAMEPORT_CONFIG"
"""Environment variable that names the settings file when the command line does not."""


def _serve(command: "Serve") -> int:
    path = command.settings or _settings_of_environment()
    if path is None:
        print(f"no settings file, and {SETTINGS_VARIABLE} is not set", file=sys.stderr)
        return 2
    if is_platform_settings(path.read_text()):
        return run_entry_host(path, load_platform_settings, HttpPlatformAdapter())
    return _serve_daemon(path)


def _serve_daemon(path: pathlib.Path) -> int:
    from sesameport.daemon import Daemon

    cfg, findings = load_settings(path.read_text(), str(path))
    if cfg is None:
        print(format_findings(findings), file=sys.stderr)
        return 1
    JsonLineHandler(cfg.host.name, cfg.host.data_centre).push_application()
    daemon = Daemon(cfg).start()
    wait_for_stop_signal(daemon.drain.stop_waiting)
    return 0 if daemon.shutdown() else 1


def _settings_of_environment() -> pathlib.Path | None:
    name = os.environ.get(SETTINGS_VARIABLE)
    return pathlib.Path(name) if name else None


@cappa.command(name="serve", invoke=_serve)
@attrs.frozen
class Serve:
    """Run one entry host's daemon.

    SIGTERM drains the host and stops it when its last request has ended; a second one
    stops it at once.
    """

    settings: Annotated[
        pathlib.Path | None,
        cappa.Arg(help="Settings file, TOML; else the one SESAMEPORT_CONFIG names"),
    ] = None
