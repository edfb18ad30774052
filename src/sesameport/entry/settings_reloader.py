"""Reload the settings of a running host when its settings file changes."""

import pathlib
import threading
from collections.abc import Callable

from sesameport.domain import Finding, format_findings
from sesameport.entry.settings import EntrySettings
from sesameport.reload_signal import ReloadSignal
from sesameport.telemetry.logs import get_logger

__all__ = ["SettingsReloader"]

POLL_PERIOD_S = 2.0
"""Period at which the file is checked, seconds; it may change without a signal."""

log = get_logger("settings")


class SettingsReloader:
    """Reload a host when its settings file has changed and is valid.

    Parameters
    ----------
    path : pathlib.Path
        Settings file.
    load : callable
        Parses the text of a named file; returns the settings and the findings.
    reload : callable
        Applies changed settings.
    text : str
        Text of the file at the start of the process.
    """

    def __init__(
        self,
        path: pathlib.Path,
        load: Callable[[str, str], tuple[EntrySettings | None, list[Finding]]],
        reload: Callable[[EntrySettings], None],
        text: str,
    ):
        self._path = path
        self._load = load
        self._reload = reload
        self._text = text

    def run(self, stopped: threading.Event, signalled: ReloadSignal) -> None:
        """Check the file immediately after a signal, and periodically without one."""
        while not stopped.is_set():
            was_signalled = signalled.wait(POLL_PERIOD_S)
            signalled.clear()
            try:
                self.check_file(was_signalled)
            except Exception as exc:
                # Later changes of the file must still be read.
                log.error("settings not read", extra={"reason": repr(exc)})

    def check_file(self, was_signalled: bool) -> None:
        """Read the file and apply its settings if they have changed."""
        try:
            text = self._path.read_text()
        except (OSError, UnicodeDecodeError) as exc:
            log.error("settings not read", extra={"reason": str(exc)})
            return
        if text == self._text:
            if was_signalled:
                log.info("settings unchanged")
            return
        self._text = text
        settings, findings = self._load(text, str(self._path))
        if settings is None:
            findings_text = format_findings(findings)
            log.error("settings not taken over", extra={"findings": findings_text})
            return
        self._reload(settings)
