"""Run the daemon of an entry host."""

import os
import pathlib
import sys
from typing import Annotated

import attrs
import cappa

from sesameport.adapters.caller_limits.allocator import return_freed_memory
from sesameport.documents import load_settings
from sesameport.domain import format_findings
from sesameport.entry.process import run_entry_host, wait_for_stop_signal
from sesameport.platform import (
    HttpPlatformAdapter,
    is_platform_settings,
    load_platform_settings,
)
from sesameport.reload_signal import remove_reload_signal
from sesameport.telemetry.logs import JsonLineHandler

__all__ = ["Serve"]

SETTINGS_ENV_VAR = "SESAMEPORT_CONFIG"
"""Environment variable with the settings file, if the command line has none."""


def _serve(command: "Serve") -> int:
    path = command.settings or _get_settings_path_from_env()
    if path is None:
        print(
            f"no settings file given, and {SETTINGS_ENV_VAR} is not set",
            file=sys.stderr,
        )
        return 2
    if is_platform_settings(path.read_text()):
        return run_entry_host(path, load_platform_settings, HttpPlatformAdapter())
    return _serve_daemon(path)


def _serve_daemon(path: pathlib.Path) -> int:
    from sesameport.daemon import Daemon

    return_freed_memory()
    # Only entry hosts on a platform reload their settings.
    remove_reload_signal()

    cfg, findings = load_settings(path.read_text(), str(path))
    if cfg is None:
        print(format_findings(findings), file=sys.stderr)
        return 1
    JsonLineHandler(cfg.host.name, cfg.host.data_centre).push_application()
    daemon = Daemon(cfg).start()
    wait_for_stop_signal(daemon.drain.stop_waiting)
    return 0 if daemon.shutdown() else 1


def _get_settings_path_from_env() -> pathlib.Path | None:
    name = os.environ.get(SETTINGS_ENV_VAR)
    return pathlib.Path(name) if name else None


@cappa.command(name="serve", invoke=_serve)
@attrs.frozen
class Serve:
    """Run the daemon of an entry host.

    On SIGTERM the host drains and stops after its last request has ended. A second
    SIGTERM stops it immediately.
    """

    settings: Annotated[
        pathlib.Path | None,
        cappa.Arg(help="Settings file, TOML; default: the value of SESAMEPORT_CONFIG"),
    ] = None
