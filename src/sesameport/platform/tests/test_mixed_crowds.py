"""Test that clients of many kinds at once leave a process unharmed.

The test is marked as a crowd, so CI runs it alone and after all others. It checks no
times and no share of answered requests.
"""

import signal

import pytest

from sesameport.platform.tests.conftest import wait_until
from sesameport.platform.tests.crowds import assert_unharmed, crowded_host
from sesameport.platform.tests.test_caller_crowds import (
    almost_whole_body,
    endless_trailer_line,
    many_trailer_lines,
    one_byte_chunks,
    silence,
    unfinished_head,
)
from sesameport.platform.tests.test_unread_bytes import body_below_its_length

# The bounds are the limits stated in the settings file: memoryMb, and maxFds without
# the 200 descriptors that are reserved for files.
MEMORY_MB = 128
MAX_FDS = 1_638
RESERVED_FDS = 200
CLIENTS_OF_EACH_KIND = 60
TURNS = 5
RELOADS = 5

EXIT_S = 90.0
"""Time after which a process that was told to stop counts as hung, seconds."""

KINDS = (
    almost_whole_body,
    body_below_its_length,
    endless_trailer_line,
    many_trailer_lines,
    one_byte_chunks,
    silence,
    unfinished_head,
)

pytestmark = [pytest.mark.crowd, pytest.mark.timeout(240)]


def test_crowd_of_many_kinds_leaves_the_process_unharmed(cluster, tmp_path):
    # Guards against kinds of clients that are bounded each, but not all together,
    # while the settings are reloaded, and until the process has ended.
    with crowded_host(cluster, tmp_path, MEMORY_MB, MAX_FDS) as (host, crowd):
        for kind in KINDS:
            crowd.add(kind, CLIENTS_OF_EACH_KIND, turns=TURNS)
        for _ in range(RELOADS):
            host.process.send_signal(signal.SIGHUP)
        crowd.wait()
        wait_until(lambda: host.get(host.ready, "/v1/ready") == 200)
        assert_unharmed(host, MEMORY_MB, MAX_FDS - RESERVED_FDS)
        host.process.send_signal(signal.SIGTERM)
        host.process.send_signal(signal.SIGHUP)
        host.process.wait(EXIT_S)
        assert host.process.returncode >= 0
        assert host.watch.peak_bytes <= MEMORY_MB * 1e6
