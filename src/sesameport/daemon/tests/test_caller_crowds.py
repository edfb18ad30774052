"""Test that clients outside the limits neither stop nor exhaust a daemon.

The tests are marked as crowds, so CI runs them alone and after all others. They check
no times and no share of answered requests.
"""

import contextlib
import itertools
import signal
import socket
import time

import pytest
import urllib3

from sesameport.domain import Host
from sesameport.soak.processes import HostProcess, write_settings
from sesameport.standins import build_deployment, demo_key
from sesameport.tests.crowds import (
    BLOCK_BYTES,
    Crowd,
    ProcessWatch,
    one_at_a_time,
    own_loopback_ip,
)

# A machine of 128 MB and 1,638 descriptors is the smallest that hosts are given.
MEMORY_MB = 128
MAX_FDS = 1_638
RESERVED_FDS = 200

DATA_CENTRE = "rajkot-a"
MAX_THREADS = 64
MAX_BODY_BYTES = 4_000_000

ORDER = b'{"lot": 17}'
ANSWER_TIMEOUT_S = 60.0
TOKEN_TRIES = 60
TOKEN_PAUSE_S = 0.5
EXIT_S = 60.0
"""Time after which a process that was told to stop counts as hung, seconds."""

pytestmark = [pytest.mark.crowd, pytest.mark.timeout(240)]

BLOCK = b"x" * BLOCK_BYTES
LARGE_CHUNK = b"%x\r\n%b\r\n" % (BLOCK_BYTES, BLOCK)
HEAD = (
    b"POST /orders HTTP/1.1\r\nHost: desk\r\nContent-Type: application/json\r\n"
    b"Authorization: Bearer " + demo_key("dhol-makers").encode() + b"\r\n"
)
CHUNKED_HEAD = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


def endless_chunk_size_line():
    yield CHUNKED_HEAD
    yield from itertools.repeat(b"0" * BLOCK_BYTES, 256)  # 16 MiB


def endless_trailer_line():
    yield CHUNKED_HEAD + b"1\r\nx\r\n0\r\nX-Long: "
    yield from itertools.repeat(BLOCK, 256)  # 16 MiB


def many_trailer_lines():
    yield CHUNKED_HEAD + b"1\r\nx\r\n0\r\n"
    yield from itertools.repeat(b"X-Trailer: a\r\n" * 4_000, 256)  # 14 MB


def almost_whole_body():
    yield CHUNKED_HEAD
    yield from itertools.repeat(LARGE_CHUNK, 60)  # 3.9 MB without the last chunk


def body_below_its_length():
    yield HEAD + b"Content-Length: %d\r\n\r\n" % MAX_BODY_BYTES
    yield from itertools.repeat(BLOCK, 60)


def one_byte_chunks():
    yield CHUNKED_HEAD
    yield from itertools.repeat(b"1\r\nx\r\n" * 10_000, 20)


def unfinished_head():
    yield HEAD


def silence():
    yield b""


class DaemonProcess:
    """Run ``sesameport serve`` against stand-ins, on a loopback address of its own."""

    def __init__(self, deployment, directory):
        self._deployment = deployment
        ip = own_loopback_ip()
        self.caller, self.status = (ip, 18_090), (ip, 18_091)
        host = Host("rajkot-a-1", DATA_CENTRE, f"{ip}:18090", f"{ip}:18092")
        path = write_settings(
            directory,
            host,
            f"{ip}:18091",
            deployment,
            # These tables continue those of the settings that every host has.
            requests={"max_body_bytes": MAX_BODY_BYTES, "read_timeout_s": 5.0},
            shutdown={"unready_s": 0.5, "finish_s": 10.0},
        )
        text = path.read_text()
        threads = f"threads = 16\nmax_threads = {MAX_THREADS}\nurgent_threads = 8\n"
        path.write_text(text.replace("[host]\n", f"[host]\n{threads}"))
        self._host = HostProcess(host, f"{ip}:18091", path, directory / "host.log")
        deployment.hosts = [host]
        deployment.publish()
        self._host.start()
        self.process = self._host.process
        self.watch = ProcessWatch(self.process.pid, ip)

    def wait_until_serving(self):
        self._host.wait_ready()
        # The token buckets of a new fleet are empty.
        for _ in range(TOKEN_TRIES):
            if self.order() == 201:
                return
            time.sleep(TOKEN_PAUSE_S)
        raise TimeoutError("no order was accepted")

    def order(self):
        """Return the status of an ordinary order, or 0 without an answer."""
        return self.request("POST", self.caller, "/orders", ORDER)

    def request(self, method, address, path, body=None):
        """Return the status of a request, or 0 without an answer."""
        headers = {"Authorization": f"Bearer {demo_key('dhol-makers')}"}
        url = f"http://{address[0]}:{address[1]}{path}"
        try:
            return urllib3.request(
                method,
                url,
                body=body,
                headers=headers,
                retries=False,
                timeout=ANSWER_TIMEOUT_S,
            ).status
        except urllib3.exceptions.HTTPError:
            return 0

    def stop(self):
        self.watch.stop()
        self._host.kill()


@contextlib.contextmanager
def crowded_daemon(directory):
    """Yield a serving daemon and a crowd that is connected to no client yet."""
    with one_at_a_time(), contextlib.ExitStack() as stack:
        deployment = build_deployment((DATA_CENTRE,))
        stack.callback(deployment.stop)
        daemon = DaemonProcess(deployment, directory)
        stack.callback(daemon.stop)
        daemon.wait_until_serving()
        crowd = Crowd(daemon.caller)
        stack.callback(crowd.close)
        yield daemon, crowd


def assert_within_machine(daemon):
    assert daemon.watch.peak_bytes <= MEMORY_MB * 1e6
    assert daemon.watch.peak_descriptors <= MAX_FDS - RESERVED_FDS


def assert_unharmed(daemon):
    """Check that a daemon lives, kept its bounds and answers ordinary requests."""
    assert daemon.process.poll() is None
    assert daemon.order() == 201
    assert daemon.request("GET", daemon.status, "/ready") == 200
    assert daemon.request("GET", daemon.status, "/metrics") == 200
    assert_within_machine(daemon)


@pytest.mark.parametrize(
    "client, count",
    [
        # Guards against a chunk-size line that is read into memory until its end.
        (endless_chunk_size_line, 20),
        # Guards against a trailer line that is read into memory until its end.
        (endless_trailer_line, 20),
        (many_trailer_lines, 20),
        # Guards against bodies that are each within the limit, but not all together.
        (almost_whole_body, 60),
        (body_below_its_length, 60),
        # Guards against a parser whose time per chunk exceeds that of a request.
        (one_byte_chunks, 60),
        # Guards against connections that hold all threads without a request.
        (unfinished_head, 100),
        (silence, 100),
    ],
)
def test_crowd_leaves_the_daemon_unharmed(tmp_path, client, count):
    with crowded_daemon(tmp_path) as (daemon, crowd):
        crowd.add(client, count)
        crowd.wait()
        assert_unharmed(daemon)


def test_silent_connections_leave_the_status_address_to_others(tmp_path):
    # Guards against a few connections that hold the threads of the status address, so
    # that the load balancer takes a serving host for one that has failed.
    with crowded_daemon(tmp_path) as (daemon, _):
        crowd = Crowd(daemon.status)
        crowd.add(silence, 20)
        crowd.add(unfinished_head, 20)
        crowd.wait()
        assert_unharmed(daemon)
        crowd.close()


def test_daemon_with_unread_bodies_stops_within_its_memory(tmp_path):
    # Guards against a drain that receives bodies without reading them, or waits for
    # them without an end.
    with crowded_daemon(tmp_path) as (daemon, crowd):
        crowd.add(almost_whole_body, 40)
        crowd.add(body_below_its_length, 40)
        crowd.wait()
        daemon.process.send_signal(signal.SIGTERM)
        daemon.process.wait(EXIT_S)
        assert daemon.process.returncode >= 0
        assert_within_machine(daemon)


@pytest.mark.parametrize("chunk_bytes", [1, 1_024, 65_536])
def test_largest_body_is_served_in_any_chunking(tmp_path, chunk_bytes):
    # Guards against bounds that a caller within the limits reaches.
    body = ORDER + b" " * (MAX_BODY_BYTES - len(ORDER))
    with crowded_daemon(tmp_path) as (daemon, _):
        with socket.create_connection(daemon.caller, ANSWER_TIMEOUT_S) as sock:
            sock.sendall(
                HEAD + b"Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
            )
            step = max(chunk_bytes, BLOCK_BYTES // chunk_bytes * chunk_bytes)
            for at in range(0, len(body), step):
                part = body[at : at + step]
                sock.sendall(
                    b"".join(
                        b"%x\r\n%b\r\n" % (len(chunk), chunk)
                        for chunk in (
                            part[begin : begin + chunk_bytes]
                            for begin in range(0, len(part), chunk_bytes)
                        )
                    )
                )
            sock.sendall(b"0\r\n\r\n")
            response = b"".join(iter(lambda: sock.recv(BLOCK_BYTES), b""))
        assert response.startswith(b"HTTP/1.1 201 ")
        assert_unharmed(daemon)
