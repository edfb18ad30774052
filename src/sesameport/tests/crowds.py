"""Connect clients that do not respect the limits of a process, and watch its memory.

Every client sends a bounded number of bytes for a bounded time, and stops by itself.
"""

import contextlib
import fcntl
import os
import pathlib
import socket
import tempfile
import threading
import time

LOCK_FILE = pathlib.Path(tempfile.gettempdir()) / "sesameport-crowd-tests.lock"
CROWD_SECONDS = 20.0
BLOCK_BYTES = 65_536
WATCH_PERIOD_S = 0.05


@contextlib.contextmanager
def one_at_a_time():
    """Hold a lock shared by all test runs of this machine's user."""
    with open(LOCK_FILE, "w") as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        yield


def own_loopback_ip():
    """Return a loopback address that no other test process uses."""
    number = os.getpid()
    return f"127.{41 + (number >> 14) % 200}.{number >> 7 & 127}.{number & 127}"


class ProcessWatch:
    """Record what a process and the system hold for its clients.

    ``peak_descriptors`` is the largest number of open descriptors seen, and
    ``peak_bytes`` the largest sum of resident memory and unread bytes.
    """

    def __init__(self, pid, ip):
        self._pid, self._ip = pid, ip
        self.peak_descriptors = self.peak_bytes = 0
        self._stopped = threading.Event()
        threading.Thread(target=self._watch, daemon=True).start()

    def stop(self):
        self._stopped.set()

    def _watch(self):
        while not self._stopped.wait(WATCH_PERIOD_S):
            with contextlib.suppress(OSError, StopIteration):
                count = len(os.listdir(f"/proc/{self._pid}/fd"))
                self.peak_descriptors = max(self.peak_descriptors, count)
                held = resident_bytes(self._pid) + unread_bytes(self._ip)
                self.peak_bytes = max(self.peak_bytes, held)


def resident_bytes(pid, field="VmRSS"):
    """Return the resident memory of a process, or its peak (``VmHWM``), bytes."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith(field))
    return int(line.split()[1]) * 1024


def unread_bytes(ip):
    """Return the bytes that the system has received for an address, unread.

    Connections that no process has accepted yet are included.
    """
    local = socket.inet_aton(ip)[::-1].hex().upper()
    total = 0
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        # A listening socket has the length of its accept queue in this column.
        if fields[1].startswith(local) and fields[3] != "0A":
            total += int(fields[4].partition(":")[2], 16)
    return total


class Crowd:
    """Connect clients that each send a list of byte strings and stay connected."""

    def __init__(self, address):
        self._address = address
        self._sockets = []
        self._threads = []

    def add(self, blocks, count, read_bytes_per_s=0.0, turns=1):
        """Connect ``count`` clients; ``blocks`` returns what one of them sends.

        A client that is cut off connects again, up to ``turns`` times in all. It stays
        connected after a turn in which it sent everything, and reads if it has a rate.
        """
        for _ in range(count):
            args = (blocks, read_bytes_per_s, turns)
            thread = threading.Thread(target=self._run, args=args, daemon=True)
            self._threads.append(thread)
            thread.start()

    def wait(self):
        """Wait until every client has sent its bytes or was cut off."""
        deadline = time.monotonic() + CROWD_SECONDS
        for thread in self._threads:
            thread.join(max(0.0, deadline - time.monotonic()))

    def close(self):
        for sock in self._sockets:
            sock.close()

    def _run(self, blocks, read_bytes_per_s, turns):
        deadline = time.monotonic() + CROWD_SECONDS
        for _ in range(turns):
            with contextlib.suppress(OSError):
                self._run_once(blocks(), read_bytes_per_s, deadline)
                return

    def _run_once(self, blocks, read_bytes_per_s, deadline):
        sock = socket.socket()
        # What a client does not read must not collect in its own socket instead.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        self._sockets.append(sock)
        sock.settimeout(max(0.001, deadline - time.monotonic()))
        sock.connect(self._address)
        for block in blocks:
            sock.settimeout(max(0.001, deadline - time.monotonic()))
            sock.sendall(block)
        while read_bytes_per_s and time.monotonic() < deadline:
            if not sock.recv(max(1, int(read_bytes_per_s / 10))):
                raise ConnectionError("the connection was closed")
            time.sleep(0.1)
