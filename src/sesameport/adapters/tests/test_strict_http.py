"""Test that ambiguous framing is answered with 400 and a closed connection."""

import socket
import time

import pytest

from sesameport.adapters.caller_limits.listener import HttpListener
from sesameport.entry.caller_connection import HttpResponseWriter

POST = "POST / HTTP/1.1\r\nHost: a\r\n"
CHUNKED = POST + "Transfer-Encoding: chunked\r\n\r\n"
LENGTH = "Content-Length: 5\r\n"

CASES = {
    "both framings": f"{POST}{LENGTH}Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    "two lengths": f"{POST}{LENGTH}Content-Length: 6\r\n\r\nhello",
    "signed length": f"{POST}Content-Length: +5\r\n\r\nhello",
    "chunk size": f"{CHUNKED}zz\r\nhello\r\n",
    "chunk size with sign": f"{CHUNKED}-5\r\nhello\r\n",
    "chunk size with prefix": f"{CHUNKED}0x5\r\nhello\r\n0\r\n\r\n",
    "no host": "GET / HTTP/1.1\r\nX-A: b\r\n\r\n",
    "two hosts": "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
    "folded line": "GET / HTTP/1.1\r\nHost: a\r\nX-A: b\r\n c\r\n\r\n",
    "space before colon": f"{POST}Content-Length : 0\r\n\r\n",
    "other coding": f"{POST}Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n",
}


@pytest.fixture
def listener():
    requests = []

    def handle(http, body):
        requests.append((http.uri, body))
        HttpResponseWriter(http, lambda: False).send_complete(200, [], b"ok")

    server = HttpListener("127.0.0.1:0", handle, 4, 4).start()
    server.requests = requests
    yield server
    server.stop()


def exchange(listener, data: str) -> bytes:
    host, _, port = listener.address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=3) as sock:
        sock.sendall(data.encode())
        received = b""
        try:
            while chunk := sock.recv(65_536):
                received += chunk
        except (TimeoutError, ConnectionResetError):
            received += b"(open or reset)"
        return received


@pytest.mark.parametrize("name", CASES)
def test_ambiguous_framing_is_rejected_and_closes_the_connection(listener, name):
    """Guards against request smuggling: a second request hidden in a body."""
    smuggled = "GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n"
    received = exchange(listener, CASES[name] + smuggled)
    assert received.startswith(b"HTTP/1.1 400"), received
    assert received.count(b"HTTP/1.1") == 1
    assert b"(open" not in received or b"400" in received
    assert all(uri != b"/smuggled" for uri, _ in listener.requests)


def test_valid_requests_share_a_connection(listener):
    first = "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello"
    second = (
        "POST /b HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
        "Connection: close\r\n\r\n5;x=y\r\nhello\r\n0\r\nTrailer: v\r\n\r\n"
    )
    received = exchange(listener, first + second)
    assert received.count(b"200 OK") == 2
    assert listener.requests == [(b"/a", b"hello"), (b"/b", b"hello")]


def test_response_that_exceeds_the_socket_buffers_arrives_whole(listener):
    # Data is sent without a buffer. Guards against a rest that is dropped when the
    # socket takes only a part of it.
    body = bytes(range(256)) * 16_384
    listener._server.handle = lambda http, _: HttpResponseWriter(
        http, lambda: True
    ).send_complete(200, [], body)
    host, _, port = listener.address.rpartition(":")
    received = bytearray()
    with socket.create_connection((host, int(port)), timeout=10) as sock:
        sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        time.sleep(0.1)
        while part := sock.recv(65_536):
            received += part
    assert received.endswith(b"\r\n\r\n" + body)
