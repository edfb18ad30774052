"""Write log lines in a background thread, so that a full pipe blocks no request."""

import collections
import threading
from typing import TextIO

__all__ = ["LogBuffer"]

MAX_LINES = 5_000
"""Maximum number of buffered lines, about 2 MB; more are dropped and counted."""

FLUSH_INTERVAL_S = 0.2
"""Interval between writes, seconds, so that one system call writes many lines."""


class LogBuffer:
    """Buffer log lines without blocking and write them in the background.

    This class implements the methods of a text stream that log handlers use.

    Parameters
    ----------
    stream : text file
        Destination of the lines, such as standard output.
    max_lines : int
        Maximum number of buffered lines.
    """

    def __init__(self, stream: TextIO, max_lines: int = MAX_LINES):
        self._stream = stream
        self._max_lines = max_lines
        self._lines: collections.deque[str] = collections.deque()
        self._lock = threading.Lock()
        self._has_lines = threading.Event()
        self._closing = threading.Event()
        self.dropped_lines = 0
        self._thread = threading.Thread(target=self._run, name="logs", daemon=True)

    def start(self) -> "LogBuffer":
        """Start the writer thread and return the buffer."""
        self._thread.start()
        return self

    def write(self, text: str) -> int:
        """Buffer a line, or drop it if the buffer is full."""
        with self._lock:
            if len(self._lines) >= self._max_lines:
                self.dropped_lines += 1
            else:
                self._lines.append(text)
        self._has_lines.set()
        return len(text)

    def flush(self) -> None:
        """Do nothing, because the writer thread flushes."""

    def close(self, timeout_s: float) -> None:
        """Write the buffered lines, waiting at most ``timeout_s`` seconds."""
        self._closing.set()
        self._has_lines.set()
        self._thread.join(timeout_s)

    def _run(self) -> None:
        reported_lines = 0
        while True:
            self._has_lines.wait()
            self._closing.wait(FLUSH_INTERVAL_S)
            self._has_lines.clear()
            with self._lock:
                lines, self._lines = self._lines, collections.deque()
                dropped_lines = self.dropped_lines
            if dropped_lines > reported_lines:
                lines.append(
                    f'{{"event":"log lines dropped","count":{dropped_lines}}}\n'
                )
                reported_lines = dropped_lines
            try:
                self._stream.write("".join(lines))
                self._stream.flush()
            except (OSError, ValueError):
                # The stream or its reader has closed. The lost lines are counted.
                self.dropped_lines += len(lines)
            if self._closing.is_set() and not self._lines:
                return
