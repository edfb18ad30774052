"""Clients that open many connections and send heads bit by bit."""

import contextlib
import resource
import selectors
import socket
import sys
import threading
import time

from fleet import HOST, KEY


class Crowd:
    """Hold a number of connections to one address, on one thread.

    Each connection sends what ``begin`` returns and is closed after ``stay_s``, or when
    the machine closes it. A new one takes its place.

    Parameters
    ----------
    address : tuple
        Address and port of the machine.
    size : int
        Number of connections.
    begin : callable
        Returns the bytes of connection N.
    stay_s : float
        Time for which a connection stays, seconds.
    sources : tuple of str
        Loopback addresses from which the connections come in turn.

    Attributes
    ----------
    opened, refused, closed : int
        Connections that were opened, that could not be opened, and that the machine
        closed first.
    """

    def __init__(self, address, size, begin, stay_s, sources):
        self.address, self.size = address, size
        self.begin, self.stay_s = begin, stay_s
        self.opened = self.refused = self.closed = 0
        self.statuses = {}
        self.sources = sources
        self._number = 0
        self._selector = selectors.DefaultSelector()

    def run(self, stop):
        """Play until the event ``stop`` is set."""
        while not stop.is_set():
            missing = self.size - len(self._selector.get_map())
            for _ in range(min(missing, 100)):
                self._open(time.monotonic())
            self._turn(0.02)
        for key in list(self._selector.get_map().values()):
            self._close(key.fileobj)
        self._selector.close()

    def _open(self, now):
        self._number += 1
        sock = socket.socket()
        sock.setblocking(False)
        sock.bind((self.sources[self._number % len(self.sources)], 0))
        sock.connect_ex(self.address)
        state = {
            "out": self.begin(self._number),
            "end_at": now + self.stay_s,
            "has_written": False,
        }
        self._selector.register(
            sock, selectors.EVENT_READ | selectors.EVENT_WRITE, state
        )

    def _turn(self, timeout_s):
        for key, events in self._selector.select(timeout_s):
            if events & selectors.EVENT_READ:
                self._read(key)
            elif events & selectors.EVENT_WRITE:
                self._write(key)
        now = time.monotonic()
        for key in list(self._selector.get_map().values()):
            if now >= key.data["end_at"]:
                self._close(key.fileobj)

    def _read(self, key):
        try:
            data = key.fileobj.recv(4096)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if data:
            status = data[9:12].decode("latin-1")
            self.statuses[status] = self.statuses.get(status, 0) + 1
            return
        self.closed += 1
        self._close(key.fileobj)

    def _write(self, key):
        state = key.data
        if not state["has_written"]:
            state["has_written"] = True
            if key.fileobj.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
                self.refused += 1
                self._close(key.fileobj)
                return
            self.opened += 1
        try:
            sent = key.fileobj.send(state["out"]) if state["out"] else 0
        except BlockingIOError:
            return
        except OSError:
            self._close(key.fileobj)
            return
        state["out"] = state["out"][sent:]
        if not state["out"]:
            with contextlib.suppress(KeyError, ValueError):
                self._selector.modify(key.fileobj, selectors.EVENT_READ, state)

    def _close(self, sock):
        with contextlib.suppress(KeyError, ValueError):
            self._selector.unregister(sock)
        sock.close()


def bodies_after_short_lines(size):
    """Return a function that makes a whole head of short lines and most of a body.

    The head has ``size`` bytes, the body is chunked and stops before its last chunk.
    """

    def begin(number):
        first = (
            f"POST /book/lot HTTP/1.1\r\nHost: {HOST}\r\nX-Key: {KEY}\r\n"
            f"X-Request-Id: crowd-{number}\r\nX-Deadline-Ms: 14000\r\n"
            "Transfer-Encoding: chunked\r\n"
        )
        lines, length, line = [first], len(first) + 2, 0
        while length < size:
            lines.append(f"{line:x}:\r\n")
            length += len(lines[-1])
            line += 1
        return ("".join(lines) + "\r\n5\r\nhello\r\n").encode()

    return begin


KINDS = {"bodies": bodies_after_short_lines}


def main():
    """Play a crowd until standard input ends, then print its counts."""
    kind, ip, port, size, head_bytes, stay_s = sys.argv[1:]
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, min(hard, 4_096)), hard))
    crowd = Crowd(
        (ip, int(port)),
        int(size),
        KINDS[kind](int(head_bytes)),
        float(stay_s),
        sources=[f"127.0.9.{n}" for n in range(1, 9)],
    )
    stop = threading.Event()
    thread = threading.Thread(target=crowd.run, args=(stop,))
    thread.start()
    sys.stdin.read()
    stop.set()
    thread.join()
    print(
        f"opened {crowd.opened} refused {crowd.refused} closed by the machine"
        f" {crowd.closed} answers {crowd.statuses}"
    )


if __name__ == "__main__":
    main()
