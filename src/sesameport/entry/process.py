"""Run one entry host as a process."""

import contextlib
import os
import pathlib
import queue
import signal
import sys
import threading
import traceback
from collections.abc import Callable

from sesameport.adapters.caller_limits.allocator import return_freed_memory
from sesameport.domain import Finding, format_findings
from sesameport.entry.host import EntryHost
from sesameport.entry.platform_adapter import PlatformAdapter
from sesameport.entry.settings import EntrySettings
from sesameport.entry.settings_reloader import SettingsReloader
from sesameport.reload_signal import install_reload_signal
from sesameport.telemetry.log_buffer import LogBuffer
from sesameport.telemetry.logs import JsonLineHandler, get_logger

__all__ = ["run_entry_host", "wait_for_stop_signal"]

LOG_CLOSE_S = 0.3
"""Time to flush the last log lines, seconds."""

SIGNAL_CHECK_S = 1.0
"""Period at which the main thread looks for signals, seconds. While signals come in
series, the system may deliver one to another thread, which does not wake this one."""

log = get_logger("threads")


def run_entry_host(
    path: pathlib.Path,
    load_settings: Callable[[str, str], tuple[EntrySettings | None, list[Finding]]],
    adapter: PlatformAdapter,
) -> int:
    """Serve until SIGTERM; return an exit code only if the settings are invalid.

    Otherwise this function exits the process, with code 0 if every request got its
    response and 1 if not.

    Parameters
    ----------
    path : pathlib.Path
        Settings file, reloaded after SIGHUP and when it changes.
    load_settings : callable
        Parses the text of a named file; returns the settings and the findings.
    adapter : PlatformAdapter
        Adapter of the platform.
    """
    return_freed_memory()
    text = path.read_text()
    settings, findings = load_settings(text, str(path))
    if settings is None:
        print(format_findings(findings), file=sys.stderr)
        return 1
    buffer = LogBuffer(sys.stdout).start()
    handler = JsonLineHandler(settings.name, settings.data_centre, buffer)
    handler.push_application()
    threading.excepthook = _log_thread_error
    signalled, stopped = install_reload_signal(), threading.Event()
    host = EntryHost(settings, adapter).start()
    reloader = SettingsReloader(path, load_settings, host.reload, text)
    threading.Thread(
        target=reloader.run, args=(stopped, signalled), name="settings", daemon=True
    ).start()
    wait_for_stop_signal(lambda: None)
    stopped.set()
    has_drained = host.shutdown()
    buffer.close(LOG_CLOSE_S)
    # Threads of the HTTP server may still wait on idle connections, so exit without
    # joining them.
    os._exit(0 if has_drained else 1)


def wait_for_stop_signal(on_second_signal: Callable[[], None]) -> None:
    """Wait for SIGTERM or SIGINT; each later one calls ``on_second_signal``.

    That call is made on a thread of its own, because a signal handler may interrupt
    code that holds the lock of what is called.
    """
    signals = queue.SimpleQueue()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda number, frame: signals.put(number))
    while True:
        with contextlib.suppress(queue.Empty):
            signals.get(timeout=SIGNAL_CHECK_S)
            break

    def handle_later_signals() -> None:
        while True:
            signals.get()
            on_second_signal()

    threading.Thread(target=handle_later_signals, name="signals", daemon=True).start()


def _log_thread_error(args) -> None:
    name = args.thread.name if args.thread else ""
    error = "".join(traceback.format_exception(args.exc_value))
    log.error("thread failed", extra={"thread": name, "error": error})
