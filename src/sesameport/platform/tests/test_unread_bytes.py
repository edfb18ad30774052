"""Test that bytes which a process has not read yet stay within its memory.

The tests are marked as crowds, so CI runs them alone and after all others. They check
no times and no share of answered requests.
"""

import itertools
import signal

import pytest

from sesameport.platform.tests.crowds import (
    CHUNKED_HEAD,
    assert_unharmed,
    crowded_host,
)
from sesameport.tests.crowds import BLOCK_BYTES

# The bounds are the limits stated in the settings file: memoryMb, and maxFds without
# the 200 descriptors that are reserved for files.
MEMORY_MB = 96
MAX_FDS = 1_638
RESERVED_FDS = 200

EXIT_S = 90.0
"""Time after which a process that was told to stop counts as hung, seconds."""

pytestmark = [pytest.mark.crowd, pytest.mark.timeout(180)]

BLOCK = b"x" * BLOCK_BYTES
LARGE_CHUNK = b"%x\r\n%b\r\n" % (BLOCK_BYTES, BLOCK)
LENGTH_HEAD = CHUNKED_HEAD.replace(
    b"Transfer-Encoding: chunked", b"Content-Length: 4194304"
)


def body_without_last_chunk():
    yield CHUNKED_HEAD
    yield from itertools.repeat(LARGE_CHUNK, 62)  # 3.9 MiB


def body_below_its_length():
    yield LENGTH_HEAD
    yield from itertools.repeat(BLOCK, 63)  # 3.9 MiB of 4


def add_bodies(crowd, count, turns=1):
    """Let ``count`` clients of each kind stop short of the end of a body."""
    crowd.add(body_without_last_chunk, count, turns=turns)
    crowd.add(body_below_its_length, count, turns=turns)


def assert_within_machine(host):
    assert host.watch.peak_bytes <= MEMORY_MB * 1e6
    assert host.watch.peak_descriptors <= MAX_FDS - RESERVED_FDS


def test_bodies_that_are_not_read_take_bounded_memory(cluster, tmp_path):
    # Guards against bodies that are held back, but received by the system meanwhile.
    with crowded_host(cluster, tmp_path, MEMORY_MB, MAX_FDS) as (host, crowd):
        add_bodies(crowd, 200)
        crowd.wait()
        assert_unharmed(host, MEMORY_MB, MAX_FDS - RESERVED_FDS)
        assert_within_machine(host)


def test_bodies_that_are_sent_again_take_bounded_memory(cluster, tmp_path):
    # Guards against clients that connect again as soon as they are cut off.
    with crowded_host(cluster, tmp_path, MEMORY_MB, MAX_FDS) as (host, crowd):
        add_bodies(crowd, 200, turns=20)
        crowd.wait()
        assert_unharmed(host, MEMORY_MB, MAX_FDS - RESERVED_FDS)
        assert_within_machine(host)


def test_process_with_unread_bodies_stops_within_its_memory(cluster, tmp_path):
    # Guards against a drain that receives bodies without reading them, or waits for
    # them without an end.
    with crowded_host(cluster, tmp_path, MEMORY_MB, MAX_FDS) as (host, crowd):
        add_bodies(crowd, 200)
        crowd.wait()
        host.process.send_signal(signal.SIGTERM)
        host.process.wait(EXIT_S)
        assert host.process.returncode >= 0
        assert_within_machine(host)
