"""Start the process of an entry host for clients that do not respect its limits."""

import contextlib
import http.client
import os
import pathlib
import socket
import subprocess
import sys

from sesameport.platform.tests.conftest import (
    API_KEY,
    ROUTE_HOST,
    make_configuration,
    wait_until,
)
from sesameport.tests.crowds import (
    Crowd,
    ProcessWatch,
    one_at_a_time,
    own_loopback_ip,
    resident_bytes,
)

START_FILE = pathlib.Path(__file__).parents[4] / "deploy" / "sesameport.py"
START_SECONDS = 30.0

CHUNKED_HEAD = (
    "POST /book/x HTTP/1.1\r\n"
    f"Host: {ROUTE_HOST}\r\n"
    f"X-Key: {API_KEY}\r\n"
    "X-Request-Id: crowd\r\n"
    "X-Deadline-Ms: 30000\r\n"
    "Transfer-Encoding: chunked\r\n\r\n"
).encode()


class HostProcess:
    """Run one entry host as it is deployed, on loopback addresses of its own."""

    def __init__(self, store_address, directory, memory_mb, max_fds, bounds=None):
        self.ip = own_loopback_ip()
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
            + "".join(
                f"callerBounds.{key} = {n}\n" for key, n in (bounds or {}).items()
            )
        )
        self._log = open(directory / "host.log", "wb")  # noqa: SIM115
        self.process = subprocess.Popen(
            [sys.executable, str(START_FILE)],
            env={**os.environ, "SESAMEPORT_CONFIG": str(settings)},
            stdout=self._log,
            stderr=subprocess.STDOUT,
        )
        self.watch = ProcessWatch(self.process.pid, self.ip)

    def peak_memory_mb(self):
        """Return the largest resident memory since the start, MB."""
        return resident_bytes(self.process.pid, "VmHWM") / 1e6

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
        self.watch.stop()
        self.process.kill()
        self.process.wait()
        self._log.close()


@contextlib.contextmanager
def crowded_host(cluster, directory, memory_mb=128, max_fds=1_638, bounds=None):
    """Yield a serving process and a crowd that is connected to no client yet."""
    with one_at_a_time(), contextlib.ExitStack() as stack:
        limits = {"maxBodyBytes": 4_194_304, "maxHeaderBytes": 16_384}
        cluster.configure(2, limits={**make_configuration()["limits"], **limits})
        host = HostProcess(cluster.store.address, directory, memory_mb, max_fds, bounds)
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
    assert host.watch.peak_descriptors <= max_descriptors
