"""Test that clients outside the limits neither stop nor exhaust a process.

The tests are marked as crowds: CI runs them alone and after all others, and a lock file
keeps those of other test runs waiting. They check no times, and only one a share of
answered requests.
"""

import itertools
import time

import pytest

from sesameport.platform.tests.conftest import API_KEY, ROUTE_HOST, wait_until
from sesameport.platform.tests.crowds import (
    CHUNKED_HEAD,
    assert_unharmed,
    crowded_host,
)
from sesameport.platform.tests.test_endless_bytes import FloodingServer
from sesameport.tests.crowds import BLOCK_BYTES

# The bounds are the limits stated in the settings file: memoryMb, and maxFds without
# the 200 descriptors that are reserved for files.
MEMORY_MB = 128
MAX_FDS = 1_638
MAX_FEW_FDS = 320
RESERVED_FDS = 200

pytestmark = [pytest.mark.crowd, pytest.mark.timeout(180)]

BLOCK = b"x" * BLOCK_BYTES
LARGE_CHUNK = b"%x\r\n%b\r\n" % (BLOCK_BYTES, BLOCK)
SMALL_CHUNKS = b"1\r\nx\r\n" * 10_000


def endless_trailer_line():
    yield CHUNKED_HEAD + b"1\r\nx\r\n0\r\nX-Long: "
    yield from itertools.repeat(BLOCK, 512)  # 32 MiB


def many_trailer_lines():
    yield CHUNKED_HEAD + b"1\r\nx\r\n0\r\n"
    yield from itertools.repeat(b"X-Trailer: a\r\n" * 4_000, 512)  # 27 MiB


def almost_whole_body():
    yield CHUNKED_HEAD
    yield from itertools.repeat(LARGE_CHUNK, 62)  # 3.9 MiB without the last chunk


def one_byte_chunks():
    yield CHUNKED_HEAD
    yield from itertools.repeat(SMALL_CHUNKS, 20)  # 200,000 chunks, no last one


def whole_one_byte_chunks():
    yield from one_byte_chunks()
    yield b"0\r\n\r\n"


def unfinished_head():
    yield CHUNKED_HEAD[:-2]


def head_without_end():
    yield CHUNKED_HEAD[:-2]
    for _ in range(24):
        time.sleep(0.5)
        yield b"X-More: 1\r\n"


def request_without_reading():
    yield (
        f"GET /look/x HTTP/1.1\r\nHost: {ROUTE_HOST}\r\nX-Key: {API_KEY}\r\n"
        "X-Request-Id: slow\r\nX-Deadline-Ms: 30000\r\n\r\n"
    ).encode()


def silence():
    yield b""


def test_trailers_without_end_take_no_memory(cluster, tmp_path):
    # Guards against a trailer line that is read into memory until its end.
    with crowded_host(cluster, tmp_path) as (host, crowd):
        crowd.add(endless_trailer_line, 6)
        crowd.add(many_trailer_lines, 6)
        crowd.wait()
        assert_unharmed(host, MEMORY_MB, MAX_FDS - RESERVED_FDS)


def test_bodies_that_stop_before_their_end_take_bounded_memory(cluster, tmp_path):
    # Guards against bodies that are each within the limit, but not all together.
    with crowded_host(cluster, tmp_path) as (host, crowd):
        crowd.add(almost_whole_body, 40)
        crowd.wait()
        assert_unharmed(host, MEMORY_MB, MAX_FDS - RESERVED_FDS)


def test_one_byte_chunks_leave_processor_time_to_others(cluster, tmp_path):
    # Guards against a parser whose time per chunk exceeds that of a whole request.
    with crowded_host(cluster, tmp_path) as (host, crowd):
        crowd.add(one_byte_chunks, 50)
        crowd.add(whole_one_byte_chunks, 10)
        crowd.wait()
        assert_unharmed(host, MEMORY_MB, MAX_FDS - RESERVED_FDS)


def test_unfinished_heads_and_silent_connections_take_few_descriptors(
    cluster, tmp_path
):
    # Guards against connections that occupy descriptors and threads without a request.
    with crowded_host(cluster, tmp_path, max_fds=MAX_FEW_FDS) as (host, crowd):
        crowd.add(silence, 60)
        crowd.add(unfinished_head, 60)
        crowd.wait()
        assert_unharmed(host, MEMORY_MB, MAX_FEW_FDS - RESERVED_FDS)


def test_ordinary_requests_are_answered_beside_many_unfinished_heads(cluster, tmp_path):
    # Guards against heads that hold all threads: 85 of 100 requests failed. Clients
    # that are cut off come again, and ordinary ones wait for as long as theirs do.
    with crowded_host(cluster, tmp_path) as (host, crowd):
        crowd.add(head_without_end, 920, turns=20)
        statuses = []
        for _ in range(40):
            statuses.append(host.get(host.caller, "/look/x", 2.5))
            time.sleep(0.2)
        assert statuses.count(200) >= 36
        assert_unharmed(host, MEMORY_MB, MAX_FDS - RESERVED_FDS)


def test_largest_body_in_one_byte_chunks_is_served(cluster, tmp_path):
    # Guards against bounds that a caller within the limits reaches. The largest body
    # was refused, because the framing of its chunks counted as a part of it.
    with crowded_host(cluster, tmp_path) as (host, _):
        head = (
            "POST /book/x HTTP/1.1\r\n"
            f"Host: {ROUTE_HOST}\r\nX-Key: {API_KEY}\r\nX-Request-Id: whole\r\n"
            "X-Deadline-Ms: 60000\r\nTransfer-Encoding: chunked\r\n"
            "Connection: close\r\n\r\n"
        ).encode()
        with host.connect() as sock:
            sock.sendall(head)
            for _ in range(64):
                sock.sendall(b"1\r\ny\r\n" * 65_536)
            sock.sendall(b"0\r\n\r\n")
            response = b"".join(iter(lambda: sock.recv(BLOCK_BYTES), b""))
        assert response.startswith(b"HTTP/1.1 200 ")
        _, _, _, body = cluster.replicas["s1"].received_requests[-1]
        assert body == b"y" * 4_194_304
        assert_unharmed(host, MEMORY_MB, MAX_FDS - RESERVED_FDS)


def test_callers_that_do_not_read_take_bounded_memory(cluster, tmp_path):
    # Guards against responses that collect in memory while a slow link takes them. The
    # fixed crowds above do not read either, but their responses are short.
    server = FloodingServer(b"HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\n\r\n", BLOCK)
    with crowded_host(cluster, tmp_path) as (host, crowd):
        registration = cluster.replicas["s1"].registration("desk")
        cluster.store.put("servers", "s1", {**registration, "address": server.address})
        wait_until(lambda: host.get(host.caller, "/look/x", 1.0) != 200)
        crowd.add(request_without_reading, 30)
        crowd.wait()
        wait_until(lambda: server.accepted >= 30)
        cluster.store.put("servers", "s1", registration)
        wait_until(lambda: host.get(host.caller, "/look/x") == 200)
        assert_unharmed(host, MEMORY_MB, MAX_FDS - RESERVED_FDS)
    server.stop()
