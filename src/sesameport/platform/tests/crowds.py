"""Start the real process and connect clients that do not respect its limits.

Every client sends a bounded number of bytes for a bounded time, and stops by itself.
"""

import contextlib
import fcntl
import http.client
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import threading
import time

from sesameport.platform.tests.conftest import (
    API_KEY,
    ROUTE_HOST,
    make_configuration,
    wait_until,
)

START_FILE = pathlib.Path(__file__).parents[4] / "deploy" / "sesameport.py"
LOCK_FILE = pathlib.Path(tempfile.gettempdir()) / "sesameport-crowd-tests.lock"
CROWD_SECONDS = 20.0
START_SECONDS = 30.0
BLOCK_BYTES = 65_536

CHUNKED_HEAD = (
    "POST /book/x HTTP/1.1\r\n"
    f"Host: {ROUTE_HOST}\r\n"
    f"X-Key: {API_KEY}\r\n"
    "X-Request-Id: crowd\r\n"
    "X-Deadline-Ms: 30000\r\n"
    "Transfer-Encoding: chunked\r\n\r\n"
).encode()


@contextlib.contextmanager
def one_at_a_time():
    """Hold a lock shared by all test runs of this machine's user."""
    with open(LOCK_FILE, "w") as file:
        fcntl.flock(file, fcntl.LOCK_EX)
        yield


class HostProcess:
    """Run one entry host as it is deployed, on loopback addresses of its own.

    ``peak_descriptors`` is the largest number of open descriptors seen.
    """

    def __init__(self, store_address, directory, memory_mb, max_fds):
        number = os.getpid()
        self.ip = f"127.{41 + (number >> 14) % 200}.{number >> 7 & 127}.{number & 127}"
        self.caller, self.ready = (self.ip, 18_080), (self.ip, 18_081)
        self.metrics = (self.ip, 9_464)
        self.peers = f"{self.ip}:18082"
        settings = directory / "settings.toml"
        settings.write_text(
            f'nodeName = "h1"\nip = "{self.ip}"\nzone = "a"\n'
            "internalPorts = [18082, 18083]\n"
            f'listen.front = "{self.ip}:18080"\n'
            f'listen.readyAddress = "{self.ip}:18081"\n'
            f'platform.address = "{store_address}"\n'
            f"limits.memoryMb = {memory_mb}\nlimits.maxFds = {max_fds}\n"
        )
        self._log = open(directory / "host.log", "wb")  # noqa: SIM115
        self.process = subprocess.Popen(
            [sys.executable, str(START_FILE)],
            env={**os.environ, "SESAMEPORT_CONFIG": str(settings)},
            stdout=self._log,
            stderr=subprocess.STDOUT,
        )
        self.peak_descriptors = 0
        self._stopped = threading.Event()
        threading.Thread(target=self._watch_descriptors, daemon=True).start()

    def _watch_descriptors(self):
        while not self._stopped.wait(0.05):
            with contextlib.suppress(OSError):
                count = len(os.listdir(f"/proc/{self.process.pid}/fd"))
                self.peak_descriptors = max(self.peak_descriptors, count)

    def peak_memory_mb(self):
        """Return the largest resident memory since the start, MB."""
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
        return int(line.split()[1]) * 1024 / 1e6

    def get(self, address, target, timeout_s=10.0):
        """Return the status of a request to a listener, or 0 without an answer."""
        headers = {
            "Host": ROUTE_HOST,
            "X-Key": API_KEY,
            "X-Request-Id": "ordinary",
            "X-Deadline-Ms": "10000",
        }
        conn = http.client.HTTPConnection(*address, timeout=timeout_s)
        try:
            conn.request("GET", target, headers=headers)
            response = conn.getresponse()
            response.read()
            return response.status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            conn.close()

    def connect(self):
        """Return a connection to the callers' listener, for one long request."""
        return socket.create_connection(self.caller, timeout=90.0)

    def wait_until_serving(self):
        wait_until(lambda: self.get(self.ready, "/v1/ready") == 200, START_SECONDS)
        wait_until(lambda: self.get(self.caller, "/look/x") == 200, START_SECONDS)

    def stop(self):
        self._stopped.set()
        self.process.kill()
        self.process.wait()
        self._log.close()


class Crowd:
    """Connect clients that each send a list of byte strings and stay connected."""

    def __init__(self, address):
        self._address = address
        self._sockets = []
        self._threads = []

    def add(self, blocks, count, read_bytes_per_s=0.0):
        """Connect ``count`` clients; ``blocks`` returns what one of them sends."""
        for _ in range(count):
            args = (blocks(), read_bytes_per_s)
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

    def _run(self, blocks, read_bytes_per_s):
        deadline = time.monotonic() + CROWD_SECONDS
        with contextlib.suppress(OSError):
            sock = socket.socket()
            # What a client does not read must not collect in its own socket instead.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
            sock.settimeout(CROWD_SECONDS)
            self._sockets.append(sock)
            sock.connect(self._address)
            for block in blocks:
                sock.settimeout(max(0.001, deadline - time.monotonic()))
                sock.sendall(block)
            while read_bytes_per_s and time.monotonic() < deadline:
                if not sock.recv(max(1, int(read_bytes_per_s / 10))):
                    break
                time.sleep(0.1)


@contextlib.contextmanager
def crowded_host(cluster, directory, memory_mb=128, max_fds=1_638):
    """Yield a serving process and a crowd that is connected to no client yet."""
    with one_at_a_time(), contextlib.ExitStack() as stack:
        limits = {"maxBodyBytes": 4_194_304, "maxHeaderBytes": 16_384}
        cluster.configure(2, limits={**make_configuration()["limits"], **limits})
        host = HostProcess(cluster.store.address, directory, memory_mb, max_fds)
        stack.callback(host.stop)
        host.wait_until_serving()
        crowd = Crowd(host.caller)
        stack.callback(crowd.close)
        yield host, crowd


def assert_unharmed(host, max_memory_mb, max_descriptors):
    """Check that a host lives, kept its bounds and answers ordinary requests."""
    assert host.process.poll() is None
    assert host.get(host.caller, "/look/x") == 200
    assert host.get(host.ready, "/v1/ready") == 200
    assert host.get(host.metrics, "/metrics") == 200
    assert host.peak_memory_mb() <= max_memory_mb
    assert host.peak_descriptors <= max_descriptors
