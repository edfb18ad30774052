"""Receive SIGHUP from the start of a process, before the other modules are imported.

By default the signal ends a process. The imports take most of the time until a host
serves, so a signal during these must be remembered.
"""

import signal
import threading

__all__ = ["install_reload_signal", "remove_reload_signal"]

_signalled = threading.Event()


def install_reload_signal() -> threading.Event:
    """Install the handler of SIGHUP and return the event that it sets.

    Signals since the first call are in the event. Call it on the main thread.
    """
    signal.signal(signal.SIGHUP, lambda number, frame: _signalled.set())
    return _signalled


def remove_reload_signal() -> None:
    """Let SIGHUP end the process again."""
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
