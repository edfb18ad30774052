"""Test that slow readers and other hosts do not exhaust the memory of a process.

Like those of ``test_caller_crowds``, these tests run one after the other and check no
times and no share of answered requests.
"""

import itertools
import socket
import time

import pytest

from sesameport.platform.tests.conftest import API_KEY, ROUTE_HOST, wait_until
from sesameport.platform.tests.crowds import (
    CHUNKED_HEAD,
    assert_unharmed,
    crowded_host,
)
from sesameport.platform.tests.endless_peer import EndlessPeer, report_message
from sesameport.platform.tests.test_endless_bytes import SIGNED, FloodingServer
from sesameport.tests.crowds import CROWD_SECONDS

MEMORY_MB = 128
MAX_FDS = 1_638 - 200
READERS = 60

NARROW_BYTES_PER_S = 5_000_000 / 8 / 36
"""A link of 5 Mbit/s that has lost all but a 36th of its bandwidth."""

MAX_TAKEN_BYTES = 655_360
"""Most bytes that the host may take from a server for a caller that reads nothing."""

BLOCK = b"x" * 8_192
EVENTS = b"data: " + b"y" * 1_000 + b"\n\n"

pytestmark = [pytest.mark.crowd, pytest.mark.timeout(180)]


class CountingServer(FloodingServer):
    """Send without end, and keep the largest number of bytes taken for a caller."""

    def __init__(self, start, block):
        self.most_taken = 0
        super().__init__(start, block)
        # What the host does not read must not collect in this server's sockets.
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)

    def _flood(self, conn):
        taken = 0
        with conn:
            try:
                is_slow = b": slow\r\n" in conn.recv(65_536)
                conn.sendall(self._start)
                for _ in itertools.repeat(None):
                    taken += conn.send(self._block)
                    if is_slow:
                        self.most_taken = max(self.most_taken, taken)
            except OSError:
                pass
        with self._lock:
            self.open -= 1


def request_without_reading(target, method="GET"):
    yield (
        f"{method} {target} HTTP/1.1\r\nHost: {ROUTE_HOST}\r\nX-Key: {API_KEY}\r\n"
        "X-Request-Id: slow\r\nX-Deadline-Ms: 30000\r\nX-Token-Count: 1000,400\r\n"
        "Content-Length: 0\r\n\r\n"
    ).encode()


LARGE_BODY = SIGNED + b"Content-Length: 60000000\r\n\r\n"
LONG_STREAM = SIGNED + b"Content-Type: text/event-stream\r\n\r\n"


@pytest.mark.parametrize(
    ("start", "block", "target", "method"),
    [
        (LARGE_BODY, BLOCK, "/look/x", "GET"),
        (LONG_STREAM, EVENTS, "/draft/x", "POST"),
    ],
)
def test_caller_that_does_not_read_stops_the_reading_from_its_server(
    cluster, tmp_path, start, block, target, method
):
    # Guards against sockets and buffers that take megabytes for each such caller.
    server = CountingServer(start, block)
    with crowded_host(cluster, tmp_path) as (host, crowd):
        for name, service, stage in (("d1", "llm", "decode"), ("s1", "desk", "")):
            entry = cluster.replicas[name].registration(service)
            entry["address"] = server.address
            if stage:
                entry["stage"] = stage
            cluster.store.put("servers", name, entry)
        # The host learns of both servers in the order in which they were registered.
        wait_until(lambda: (host.get(host.caller, "/look/x", 1.0), server.accepted)[1])
        crowd.add(lambda: request_without_reading(target, method), READERS)
        crowd.wait()
        wait_until(lambda: server.most_taken > 65_536, 20.0)
        assert server.most_taken <= MAX_TAKEN_BYTES
        for name, service in (("s1", "desk"), ("d1", "llm")):
            entry = cluster.replicas[name].registration(service)
            cluster.store.put("servers", name, entry)
        wait_until(lambda: host.get(host.caller, "/look/x") == 200, 20.0)
        assert_unharmed(host, MEMORY_MB, MAX_FDS)
    server.stop()


def large_body_at_a_low_rate():
    yield CHUNKED_HEAD
    for _ in range(int(CROWD_SECONDS * 10)):
        yield b"80\r\n" + b"z" * 128 + b"\r\n"
        time.sleep(0.1)


def test_narrow_link_takes_bounded_memory(cluster, tmp_path):
    # Guards against bodies and responses that collect while the link takes no more.
    server = CountingServer(LARGE_BODY, BLOCK)
    with crowded_host(cluster, tmp_path) as (host, crowd):
        entry = cluster.replicas["s1"].registration("desk")
        cluster.store.put("servers", "s1", {**entry, "address": server.address})
        wait_until(lambda: (host.get(host.caller, "/look/x", 1.0), server.accepted)[1])
        rate = NARROW_BYTES_PER_S / READERS
        crowd.add(lambda: request_without_reading("/look/x"), READERS, rate)
        crowd.add(large_body_at_a_low_rate, 40)
        crowd.wait()
        cluster.store.put("servers", "s1", entry)
        wait_until(lambda: host.get(host.caller, "/look/x") == 200, 20.0)
        assert_unharmed(host, MEMORY_MB, MAX_FDS)
    server.stop()


@pytest.mark.parametrize("workspaces", [1_000, 8_000, 60_000])
def test_peer_that_sends_without_end_takes_bounded_memory(
    cluster, tmp_path, workspaces
):
    # Guards against messages that collect in the queues of the sockets or of the actor.
    with crowded_host(cluster, tmp_path) as (host, _):
        peer = EndlessPeer(host.peers)
        try:
            peer.wait_for_host(b"r")
            topic, data = report_message("endless", 1, workspaces)
            # The sequence is the third field; a higher one makes each message count.
            messages = (
                [topic, data.replace(b"\x01\x01\x80", b"\x01\xcd%b\x80" % number, 1)]
                for number in (n.to_bytes(2, "big") for n in itertools.count(256))
            )
            peer.flood(itertools.islice(messages, 20_000), 8.0)
        finally:
            peer.close()
        assert peer.sent > 0
        assert_unharmed(host, MEMORY_MB, MAX_FDS)


def test_single_message_of_a_peer_takes_bounded_memory(cluster, tmp_path):
    # Guards against a message that is larger than the memory of the process.
    with crowded_host(cluster, tmp_path) as (host, _):
        peer = EndlessPeer(host.peers)
        try:
            peer.wait_for_host(b"r")
            peer.flood([[b"r", bytes(200_000_000)]], 4.0)
            peer.wait_for_host(b"r")
        except TimeoutError:
            pass
        finally:
            peer.close()
        assert_unharmed(host, MEMORY_MB, MAX_FDS)
