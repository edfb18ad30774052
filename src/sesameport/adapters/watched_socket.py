"""Read from a socket while watching the caller for whom it is read."""

import select
import socket
import time

__all__ = ["WatchedSocket"]


class WatchedSocket(socket.socket):
    """Wait for data until the deadline passes or the caller leaves.

    Attributes
    ----------
    caller_left, timed_out : bool
        Why a read failed, when neither is set the peer broke off.
    """

    _watch = None
    _deadline = 0.0
    caller_left = False
    timed_out = False

    @classmethod
    def wrap(cls, sock: socket.socket, watch, deadline: float) -> "WatchedSocket":
        """Take over the descriptor of a connected socket.

        Parameters
        ----------
        sock : socket.socket
            Socket that is not used afterwards.
        watch : CallerConnection
            Caller for whom the answer is read.
        deadline : float
            Monotonic time until which reads may wait, seconds.
        """
        timeout = sock.gettimeout()
        own = cls(sock.family, sock.type, sock.proto, fileno=sock.detach())
        own.settimeout(timeout)
        own._watch = watch
        own._deadline = deadline
        return own

    def recv_into(self, *args, **kwargs) -> int:
        """Receive once data is there; see the class for when this fails."""
        self._wait()
        return super().recv_into(*args, **kwargs)

    def _wait(self) -> None:
        poller = select.poll()
        poller.register(self, select.POLLIN)
        caller = self._watch.fileno()
        poller.register(caller, select.POLLIN)
        while True:
            left_s = self._deadline - time.monotonic()
            if left_s <= 0:
                self.timed_out = True
                raise TimeoutError("deadline passed")
            ready = {fd for fd, _ in poller.poll(left_s * 1000)}
            if caller in ready:
                if self._watch.is_disconnected():
                    self.caller_left = True
                    raise ConnectionAbortedError("the caller left")
                # The caller sent its next request early; only its leaving matters now.
                poller.unregister(caller)
                poller.register(caller, select.POLLRDHUP)
            if self.fileno() in ready:
                return
