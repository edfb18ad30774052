"""Test answers to requests that are still being sent when the connection is reset.

The system reports a reset once. If sending the request gets it, a read returns what had
arrived and then an orderly end, which completes an answer that has no length.
"""

import socket
import struct
import time

import pytest
import urllib3

from sesameport.adapters.strict_responses import (
    SingleUsePool,
    StrictConnectionPool,
    StrictPoolManager,
)
from sesameport.adapters.tests.scripted_server import ScriptedServer

UPLOAD = b"a" * 8_000_000
HEAD = b"HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\n"
HALF = b"half of it, "
LENGTH = b"Content-Length: 12\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
CHUNKS = b"c\r\n" + HALF + b"\r\n0\r\n\r\n"


def answer_early(answer, wait_s=0.1):
    """Return a function that answers the begin of a request, then resets."""

    def serve(conn):
        conn.recv(10_000)
        conn.sendall(answer)
        time.sleep(wait_s)
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))

    return serve


def send_with_pool(address):
    host, port = address.split(":")
    return StrictConnectionPool(host, int(port)), "/a"


def send_once(address):
    host, port = address.split(":")
    return SingleUsePool(host, int(port)), "/a"


def send_with_manager(address):
    return StrictPoolManager(), f"http://{address}/a"


@pytest.fixture(params=[send_with_pool, send_once, send_with_manager])
def exchange(request):
    """Return a function that returns the body of an early answer."""
    servers = []

    def send(answer):
        servers.append(ScriptedServer(answer_early(answer)))
        client, url = request.param(servers[0].address)
        return client.urlopen("POST", url, body=UPLOAD, retries=False).data

    yield send
    for server in servers:
        server.stop()


def test_answer_without_a_length_is_not_complete_after_a_reset(exchange):
    with pytest.raises((urllib3.exceptions.HTTPError, OSError)):
        exchange(HEAD + b"\r\n" + HALF)


@pytest.mark.parametrize(
    "answer", [HEAD + LENGTH + b"\r\n" + HALF, HEAD + CHUNKED + b"\r\n" + CHUNKS]
)
def test_answer_that_shows_its_end_is_complete(exchange, answer):
    # A server may answer before it has read the whole request, and stop reading.
    assert exchange(answer) == HALF
