"""Write log lines from a thread of its own, so that a full pipe stops no request."""

import collections
import threading
from typing import TextIO

__all__ = ["LogBuffer"]

MAX_LINES = 5_000
"""Lines that wait for the pipe, about 2 MB; further ones are dropped and counted."""

FLUSH_S = 0.2
"""Interval of writes, seconds: one system call then takes many lines."""


class LogBuffer:
    """Take lines without waiting and write them in the background.

    It has the methods of a text stream that log handlers use.

    Parameters
    ----------
    stream : text file
        Where the lines go, such as standard output.
    max_lines : int
        Lines that may wait.
    """

    def __init__(self, stream: TextIO, max_lines: int = MAX_LINES):
        self._stream = stream
        self._max_lines = max_lines
        self._lines: collections.deque[str] = collections.deque()
        self._lock = threading.Lock()
        self._filled = threading.Event()
        self._closing = threading.Event()
        self.dropped = 0
        self._thread = threading.Thread(target=self._run, name="logs", daemon=True)

    def start(self) -> "LogBuffer":
        """Start writing and return the buffer."""
        self._thread.start()
        return self

    def write(self, text: str) -> int:
        """Keep a line for the writer, or drop it when too many wait."""
        with self._lock:
            if len(self._lines) >= self._max_lines:
                self.dropped += 1
            else:
                self._lines.append(text)
        self._filled.set()
        return len(text)

    def flush(self) -> None:
        """Do nothing: the writer flushes."""

    def close(self, timeout_s: float) -> None:
        """Write what waits, for at most a time."""
        self._closing.set()
        self._filled.set()
        self._thread.join(timeout_s)

    def _run(self) -> None:
        reported = 0
        while True:
            self._filled.wait()
            self._closing.wait(FLUSH_S)
            self._filled.clear()
            with self._lock:
                lines, self._lines = self._lines, collections.deque()
                dropped = self.dropped
            if dropped > reported:
                lines.append(f'{{"event":"log lines dropped","count":{dropped}}}\n')
                reported = dropped
            try:
                self._stream.write("".join(lines))
                self._stream.flush()
            except (OSError, ValueError):
                # Nobody reads any more; the counter of dropped lines shows it.
                self.dropped += len(lines)
            if self._closing.is_set() and not self._lines:
                return
