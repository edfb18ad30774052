"""Bound reads from a backend server, and cancel them when the caller disconnects."""

import select
import socket
import time

__all__ = ["CancellableSocket", "ReadLimitExceeded"]


class ReadLimitExceeded(OSError):
    """Raised when a server sends more bytes than the reader has allowed."""


class CancellableSocket(socket.socket):
    """Wait for data until the deadline passes or the caller disconnects.

    Attributes
    ----------
    caller_disconnected, timed_out : bool
        Why a read failed. If neither is set, the peer closed the connection.
    """

    _caller = None
    _deadline = 0.0
    _allowed_bytes: int | None = None
    caller_disconnected = False
    timed_out = False

    @classmethod
    def wrap(cls, sock: socket.socket, caller, deadline: float) -> "CancellableSocket":
        """Return a socket that owns the file descriptor of a connected socket.

        Parameters
        ----------
        sock : socket.socket
            Connected socket, which is detached and must not be used afterwards.
        caller : CallerConnection
            Connection of the caller that waits for the response.
        deadline : float
            Monotonic time at which reads time out, seconds.
        """
        timeout = sock.gettimeout()
        wrapped = cls(sock.family, sock.type, sock.proto, fileno=sock.detach())
        wrapped.settimeout(timeout)
        wrapped._caller = caller
        wrapped._deadline = deadline
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

    def recv_into(self, *args, **kwargs) -> int:
        """Receive data into a buffer.

        Raises
        ------
        TimeoutError
            If the deadline passes first.
        ConnectionAbortedError
            If the caller disconnects first.
        ReadLimitExceeded
            If all allowed bytes have been received.
        """
        if self._allowed_bytes is not None and self._allowed_bytes <= 0:
            raise ReadLimitExceeded("more bytes than a response may have here")
        self._wait()
        received = super().recv_into(*args, **kwargs)
        if self._allowed_bytes is not None:
            self._allowed_bytes -= received
        return received

    def _wait(self) -> None:
        poller = select.poll()
        poller.register(self, select.POLLIN)
        caller_fd = self._caller.fileno()
        poller.register(caller_fd, select.POLLIN)
        while True:
            remaining_s = self._deadline - time.monotonic()
            if remaining_s <= 0:
                self.timed_out = True
                raise TimeoutError("deadline passed")
            ready = {fd for fd, _ in poller.poll(remaining_s * 1000)}
            if caller_fd in ready:
                if self._caller.is_disconnected():
                    self.caller_disconnected = True
                    raise ConnectionAbortedError("the caller disconnected")
                # The caller has pipelined its next request, so POLLIN stays set. From
                # here on only a disconnect is of interest.
                poller.unregister(caller_fd)
                poller.register(caller_fd, select.POLLRDHUP)
            if self.fileno() in ready:
                return
