"""Bound reads from a backend server, and cancel them when the caller disconnects."""

import contextlib
import os
import select
import socket
import time
from typing import Protocol

__all__ = ["Account", "CancellableSocket", "ReadInterrupt", "ReadLimitExceeded"]

FREE_BYTES = 24_576
"""Bytes since the last call of ``allow_bytes`` that are not charged. The request is
charged for that many, see ``caller_limits.body_reader``."""

CHARGE_BYTES = 16_384
"""Step in which further bytes are charged, bytes."""

_CLOSED = select.POLLRDHUP | select.POLLHUP | select.POLLERR


class Account(Protocol):
    """Account for memory, see ``caller_limits.memory_account``."""

    def charge_open(self, size: int) -> bool:
        """Charge memory; return False if there is none left."""
        ...

    def release(self, size: int) -> None:
        """Release what was charged."""
        ...


class ReadLimitExceeded(OSError):
    """Raised when a server sends more bytes than the reader has allowed."""


class ReadInterrupt:
    """End all reads that wait for data, at once and from then on; thread-safe."""

    def __init__(self):
        self._reader, self._writer = os.pipe()

    def fileno(self) -> int:
        """Return the descriptor that becomes readable when reads are to end."""
        return self._reader

    def fire(self) -> None:
        """End the reads."""
        os.write(self._writer, b"\0")

    def close(self) -> None:
        """Close the descriptors. No read may use the interrupt any more."""
        for descriptor in (self._reader, self._writer):
            with contextlib.suppress(OSError):
                os.close(descriptor)


class CancellableSocket(socket.socket):
    """Wait for data until the deadline passes or the caller disconnects.

    Attributes
    ----------
    caller_disconnected, timed_out, interrupted : bool
        Why a read failed. If none is set, the peer closed the connection.
    """

    _caller = None
    _interrupt: ReadInterrupt | None = None
    _deadline = 0.0
    _allowed_bytes: int | None = None
    _account: Account | None = None
    _held_bytes = 0
    _charged_bytes = 0
    _poller = None
    _polled = (-1, -1)
    caller_disconnected = False
    timed_out = False
    interrupted = False

    @classmethod
    def wrap(
        cls,
        sock: socket.socket,
        caller,
        deadline: float,
        account: Account | None = None,
        interrupt: ReadInterrupt | None = None,
    ) -> "CancellableSocket":
        """Return a socket that owns the file descriptor of a connected socket.

        Parameters
        ----------
        sock : socket.socket
            Connected socket, which is detached and must not be used afterwards.
        caller : CallerConnection or None
            Connection of the caller that waits for the response.
        deadline : float
            Monotonic time at which reads time out, seconds.
        account : Account or None
            Memory that large heads, lines and trailers are charged to.
        interrupt : ReadInterrupt or None
            Ends reads before the process does.
        """
        timeout = sock.gettimeout()
        wrapped = cls(sock.family, sock.type, sock.proto, fileno=sock.detach())
        wrapped.settimeout(timeout)
        wrapped._caller = caller
        wrapped._deadline = deadline
        wrapped._account = account
        wrapped._interrupt = interrupt
        return wrapped

    def extend_deadline(self, deadline: float) -> None:
        """Let reads time out at a later monotonic time, seconds."""
        self._deadline = max(self._deadline, deadline)

    def allow_bytes(self, count: int) -> None:
        """Set how many bytes may be received before the next call of this method.

        A parser that reads until the end of a line or of a header block would otherwise
        read without end from a server that never sends it.
        """
        self._allowed_bytes = count
        self._held_bytes = 0
        if self._charged_bytes:
            self._release()

    def stop_charging(self) -> None:
        """Release the charged memory, and charge no more of it."""
        if self._charged_bytes:
            self._release()
        self._account = None

    def recv_into(self, *args, **kwargs) -> int:
        """Receive data into a buffer.

        Raises
        ------
        TimeoutError
            If the deadline passes first.
        ConnectionAbortedError
            If the caller disconnects first, or the read is interrupted.
        ReadLimitExceeded
            If all allowed bytes have been received, or there is no memory for more.
        """
        if self._allowed_bytes is not None and self._allowed_bytes <= 0:
            raise ReadLimitExceeded("more bytes than a response may have here")
        if self.gettimeout() != 0.0:
            # With a timeout, every call would poll the socket once more.
            self.settimeout(0.0)
        received = self._receive(*args, **kwargs)
        if self._allowed_bytes is not None:
            self._allowed_bytes -= received
        self._held_bytes += received
        if self._held_bytes > FREE_BYTES + self._charged_bytes and self._account:
            self._charge(self._account)
        return received

    def _receive(self, *args, **kwargs) -> int:
        while True:
            self._wait()
            try:
                return super().recv_into(*args, **kwargs)
            except BlockingIOError:
                # The data that made the socket readable was discarded.
                continue

    def _charge(self, account: Account) -> None:
        if not account.charge_open(CHARGE_BYTES):
            raise ReadLimitExceeded("no memory for more bytes of a response")
        self._charged_bytes += CHARGE_BYTES

    def _release(self) -> None:
        charged, self._charged_bytes = self._charged_bytes, 0
        self._account.release(charged)

    def _wait(self) -> None:
        caller_fd = -1 if self._caller is None else self._caller.fileno()
        descriptors = self.fileno(), caller_fd
        if self._poller is None or self._polled != descriptors:
            self._poller, self._polled = self._create_poller(caller_fd), descriptors
        poller = self._poller
        while True:
            remaining_s = self._deadline - time.monotonic()
            if remaining_s <= 0:
                self.timed_out = True
                raise TimeoutError("deadline passed")
            ready = dict(poller.poll(remaining_s * 1000))
            if caller_fd in ready:
                has_closed = ready[caller_fd] & _CLOSED
                if has_closed or self._caller.is_disconnected():
                    self.caller_disconnected = True
                    raise ConnectionAbortedError("the caller disconnected")
                # The caller has pipelined its next request, so POLLIN stays set. From
                # here on only a disconnect is of interest.
                poller.register(caller_fd, select.POLLRDHUP)
                self._poller = None
            if self.fileno() in ready:
                return
            if self._interrupt is not None and self._interrupt.fileno() in ready:
                self.interrupted = True
                raise ConnectionAbortedError("the read was interrupted")

    def _create_poller(self, caller_fd: int) -> select.poll:
        poller = select.poll()
        poller.register(self, select.POLLIN)
        if self._caller is not None:
            poller.register(caller_fd, select.POLLIN)
        if self._interrupt is not None:
            poller.register(self._interrupt, select.POLLIN)
        return poller
