"""Test hosts whose servers send bytes without end, in every part of a response."""

import http.client
import itertools
import socket
import threading
import time
import tracemalloc

import pytest

from sesameport.platform.tests.conftest import API_KEY, ROUTE_HOST, wait_until

REQUESTS = 8
"""Number of concurrent requests to the faulty server."""

MAX_GROWTH_BYTES = 1_000_000
DEADLINE_MS = 1_500

SIGNED = b"HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\n"
CHUNKED = SIGNED + b"Transfer-Encoding: chunked\r\n\r\n"
BLOCK = b"x" * 32_768

FLOODS = {
    "status line": (b"HTTP/1.1 200 ", BLOCK),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1_000),
    "header line": (SIGNED + b"X-Long: ", BLOCK),
    "header lines": (SIGNED, b"X-Many: " + b"y" * 8_000 + b"\r\n"),
    "chunk size": (CHUNKED, b"0" * 32_768),
    "negative chunk": (CHUNKED + b"-5\r\n", BLOCK),
    "huge chunk": (CHUNKED + b"7fffffffff\r\n", BLOCK),
    "trailers": (CHUNKED + b"1\r\na\r\n0\r\n", b"X-Trailer: a\r\n" * 1_000),
    "body without length": (SIGNED + b"\r\n", BLOCK),
    "event": (
        SIGNED + b"Content-Type: text/event-stream\r\n\r\n" + b"data: ",
        BLOCK,
    ),
}


class FloodingServer:
    """Send the same bytes on every connection until the peer closes it."""

    def __init__(self, start, block):
        self._start, self._block = start, block
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.open, self.accepted = 0, 0
        self._lock = threading.Lock()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                conn, _ = self._listener.accept()
            except OSError:
                return
            with self._lock:
                self.open += 1
                self.accepted += 1
            threading.Thread(target=self._flood, args=(conn,), daemon=True).start()

    def _flood(self, conn):
        with conn:
            try:
                conn.recv(4_096)
                conn.sendall(self._start)
                for _ in itertools.repeat(None):
                    conn.sendall(self._block)
            except OSError:
                pass
        with self._lock:
            self.open -= 1

    def stop(self):
        self._listener.close()


def send(host, route, number, statuses):
    """Send one request, discard its response and record how it ended."""
    conn = http.client.HTTPConnection(host.caller_address, timeout=10)
    headers = {
        "Host": ROUTE_HOST,
        "X-Request-Id": f"e{number}",
        "X-Deadline-Ms": str(DEADLINE_MS),
        "X-Key": API_KEY,
        "X-Token-Count": "1000,400",
    }
    try:
        conn.request("POST", f"/{route}/x", b"prompt", headers)
        response = conn.getresponse()
        ended = response.status
        try:
            while response.read(4_096):
                continue
        except (http.client.HTTPException, OSError):
            ended = "broken off"
    except (http.client.HTTPException, OSError):
        ended = "broken off"
    finally:
        conn.close()
    statuses.append(ended)


@pytest.fixture(params=list(FLOODS))
def flood(request, cluster):
    server = FloodingServer(*FLOODS[request.param])
    for name, service, stage in (("s1", "desk", ""), ("d1", "llm", "decode")):
        registration = cluster.replicas[name].registration(service)
        registration["address"] = server.address
        if stage:
            registration["stage"] = stage
        cluster.store.put("servers", name, registration)
    yield server
    server.stop()


@pytest.mark.parametrize("route", ["book", "draft", "grade"])
def test_server_that_sends_without_end_is_cut_off(cluster, flood, route):
    host = cluster.start_host()
    wait_until(lambda: host.is_ready() and host.server_count() >= 3)
    statuses = []
    threads = [
        threading.Thread(target=send, args=(host, route, number, statuses))
        for number in range(REQUESTS)
    ]
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        began_at = time.monotonic()
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(10.0)
        seconds = time.monotonic() - began_at
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert len(statuses) == REQUESTS
    # A request that is refused because the server is paused did not run.
    assert set(statuses) <= {502, 503, 504, "broken off"}
    assert flood.accepted > 0
    wait_until(lambda: flood.open == 0, 2.0)
    assert seconds < DEADLINE_MS / 1000 + 2.0
    assert peak - before < MAX_GROWTH_BYTES
