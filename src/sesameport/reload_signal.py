"""Receive SIGHUP from the start of a process, before the other modules are imported.

By default the signal ends a process. The imports take most of the time until a host
serves, so a signal during these must be remembered.
"""

import contextlib
import queue
import signal

__all__ = ["ReloadSignal", "install_reload_signal", "remove_reload_signal"]


class ReloadSignal:
    """Remember that a signal has arrived.

    A handler may be interrupted by the next signal, so it must take no lock that it
    holds itself. ``threading.Event`` does; ``queue.SimpleQueue`` is reentrant.
    """

    def __init__(self):
        self._signals = queue.SimpleQueue()

    def set(self) -> None:
        """Remember a signal; for signal handlers."""
        self._signals.put(None)

    def wait(self, timeout_s: float) -> bool:
        """Wait for a signal, or for a time in seconds; return whether one came."""
        with contextlib.suppress(queue.Empty):
            self._signals.get(timeout=timeout_s)
            return True
        return False

    def clear(self) -> None:
        """Forget the signals so far."""
        with contextlib.suppress(queue.Empty):
            while True:
                self._signals.get_nowait()


_signalled = ReloadSignal()


def install_reload_signal() -> ReloadSignal:
    """Install the handler of SIGHUP and return what it sets.

    Signals since the first call are remembered. Call it on the main thread.
    """
    signal.signal(signal.SIGHUP, lambda number, frame: _signalled.set())
    return _signalled


def remove_reload_signal() -> None:
    """Let SIGHUP end the process again."""
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
