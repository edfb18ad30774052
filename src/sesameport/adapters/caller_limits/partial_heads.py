"""Receive the heads of requests before a thread takes their connections.

A head of an ordinary request arrives in one piece. One that does not would hold a
thread until its caller sends the rest, so the thread of the listener collects it, and
it costs its descriptor and its bytes only.
"""

import os
import re
import time

from sesameport.adapters.caller_limits.memory_account import MemoryAccount

__all__ = ["PartialHead", "is_complete_head"]

READ_BYTES = 8_192
"""Most bytes that are received at once, as many as cheroot's reader takes."""

STEP_BYTES = 2_048
"""Step in which the bytes of a partial head are charged."""

_END = re.compile(rb"\n\r?\n")


def is_complete_head(data: bytes | bytearray, start: int = 0) -> bool:
    r"""Return whether an empty line follows in data from a position on.

    Examples
    --------
    >>> is_complete_head(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    True
    >>> is_complete_head(b"GET / HTTP/1.1\r\n")
    False
    """
    return _END.search(data, max(0, start)) is not None


class PartialHead:
    """Collect the head of the next request of one connection; not thread-safe.

    Parameters
    ----------
    account : MemoryAccount
        Memory of the process.
    max_bytes : int
        Size from which a head is not waited for, as it is refused for it.
    """

    def __init__(self, account: MemoryAccount, max_bytes: int):
        self._account = account
        self._max_bytes = max_bytes
        self._data = bytearray()
        self._charged = 0
        self.since = 0.0
        self.lacks_memory = False

    def receive(self, fd: int) -> bool:
        """Receive what has arrived; return whether a thread should go on.

        That is so once the head is complete or can't become so.
        """
        try:
            data = os.read(fd, READ_BYTES)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return not data or self.add(data)

    def add(self, data: bytes) -> bool:
        """Add received bytes; return whether a thread should go on."""
        if not self._data and is_complete_head(data):
            self._data += data
            return True
        if not self._data:
            self.since = time.monotonic()
        start = len(self._data) - 2
        self._data += data
        size = len(self._data)
        if is_complete_head(self._data, start) or size >= self._max_bytes:
            return True
        while self._charged < size:
            if not self._account.charge_open(STEP_BYTES):
                self.lacks_memory = True
                return True
            self._charged += STEP_BYTES
        return False

    def take(self) -> bytes:
        """Return what was received, and release its charge."""
        data, self._data = bytes(self._data), bytearray()
        self._account.release(self._charged)
        self._charged, self.since = 0, 0.0
        return data
