"""Bound the messages of other hosts that a process holds.

Messages are charged from their receipt until the actor has handled them. While there
are too many, the host reads no more of them, so they stay in the buffers of the
sockets and at their senders, which drop what exceeds their own queues.
"""

import threading
from collections.abc import Callable

import zmq

from sesameport.adapters.caller_limits.bounds import CallerBounds
from sesameport.adapters.caller_limits.memory_account import MemoryAccount
from sesameport.adapters.caller_limits.reports import LimitReporter

__all__ = ["MAX_QUEUED_MESSAGES", "PeerInbox", "QueueLength", "receive_parts"]

DECODED_FACTOR = 10
"""Memory of a decoded message per byte received. A report of 1.2 MB about 60,000
workspaces takes 9.5 times as much."""

MIN_QUEUED_MESSAGES = 2
MAX_QUEUED_MESSAGES = 200
"""Messages queued for one slow host; further messages to it are dropped."""

DECAY = 0.98
"""Factor by which the largest size is forgotten with each further message, so that a
large one counts for about as long as it can be queued."""

LENGTH_STEP = 2.0
"""Factor by which the length must differ before it is changed."""


class PeerInbox:
    """Account for the messages that wait for the actor; thread-safe.

    Parameters
    ----------
    account : MemoryAccount or None
        Memory of the process.
    limit_bytes : int
        Memory of decoded messages above which no more are read, bytes. A single message
        may exceed it.
    max_message_bytes, max_snapshot_bytes : int
        Largest report and largest snapshot as received, bytes.
    report : callable
        Called with an address or None and the name of a bound that was reached.
    when_handled : callable
        Calls a function when the actor has handled all messages up to now.
    """

    def __init__(
        self,
        account: MemoryAccount | None = None,
        limit_bytes: int = 6_000_000,
        max_message_bytes: int = 262_144,
        max_snapshot_bytes: int = 2_097_152,
        report: Callable[[str | None, str], None] = lambda address, bound: None,
        when_handled: Callable[[Callable[[], None]], None] = lambda done: done(),
    ):
        self.max_message_bytes = max_message_bytes
        self.max_snapshot_bytes = max_snapshot_bytes
        self._account = account
        self._limit = limit_bytes
        self._report = report
        self._when_handled = when_handled
        self._lock = threading.Lock()
        self._held = 0
        self._pending = 0
        self._was_full = False

    @classmethod
    def for_process(cls, bounds: CallerBounds, account, metrics, when_handled):
        """Return the inbox of a process that counts refusals in its metrics."""
        return cls(
            account,
            bounds.max_peer_bytes,
            bounds.max_peer_message_bytes,
            bounds.max_snapshot_bytes,
            LimitReporter.for_metrics(metrics).report,
            when_handled,
        )

    @property
    def held(self) -> int:
        """Return the bytes that are charged."""
        return self._held

    def is_full(self) -> bool:
        """Return whether no more messages may be read now."""
        is_full = self._held >= self._limit
        if is_full and not self._was_full:
            self._report(None, "peer-messages")
        self._was_full = is_full
        return is_full

    def accept(self, size: int, is_snapshot: bool = False) -> bool:
        """Charge a message; return False if it is too large and must be discarded."""
        if size > (self.max_snapshot_bytes if is_snapshot else self.max_message_bytes):
            self._report(None, "peer-message-bytes")
            return False
        charged = DECODED_FACTOR * size
        with self._lock:
            self._held += charged
            self._pending += charged
        if self._account is not None:
            self._account.charge_held(charged)
        return True

    def finish(self) -> None:
        """Release the accepted messages once the actor has handled them."""
        with self._lock:
            size, self._pending = self._pending, 0
        if size:
            self._when_handled(lambda: self._release(size))

    def _release(self, size: int) -> None:
        with self._lock:
            self._held -= size
        if self._account is not None:
            self._account.release(size)


def receive_parts(sock: zmq.Socket, flags: int = 0) -> tuple[bytes, bytes]:
    """Return the topic and the data of a message; other layouts have no data.

    ``recv_multipart`` looks up a socket option for each part, which takes more time
    than receiving it.

    Raises
    ------
    zmq.Again
        If no message has arrived and ``flags`` is ``zmq.NOBLOCK``.
    """
    parts = [sock.recv(flags, copy=False)]
    while parts[-1].more:
        parts.append(sock.recv(flags, copy=False))
    data = parts[1].bytes if len(parts) == 2 else b""
    return parts[0].bytes, data


class QueueLength:
    """Choose how many messages are queued for a host that does not read.

    ZeroMQ bounds the number of messages only. The length follows the largest recent
    message, so that the queue stays within a number of bytes.

    Parameters
    ----------
    limit_bytes : int
        Bytes that may be queued for one host.

    Examples
    --------
    >>> queue = QueueLength(1_000_000)
    >>> queue.record(2_000), queue.record(50_000), queue.record(45_000)
    (None, 20, None)
    """

    def __init__(self, limit_bytes: int):
        self._limit = limit_bytes
        self._largest = 0.0
        self._length = MAX_QUEUED_MESSAGES

    def record(self, size: int) -> int | None:
        """Record a message to send; return the new length if it changes."""
        self._largest = max(float(size), self._largest * DECAY)
        length = int(self._limit / max(1.0, self._largest))
        length = max(MIN_QUEUED_MESSAGES, min(MAX_QUEUED_MESSAGES, length))
        ratio = max(length, self._length) / min(length, self._length)
        is_at_end = length == MAX_QUEUED_MESSAGES != self._length
        if ratio < LENGTH_STEP and not is_at_end:
            return None
        self._length = length
        return length
