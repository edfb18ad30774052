"""Test that any bytes on a connection end with a request or a stated error.

The bytes pass through a listener on loopback: head, length, chunks and trailers, in any
split. The handler decodes requests like a host.
"""

import errno
import socket
import time
import tracemalloc

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sesameport.adapters.caller_limits.body_reader import HOLDER_BYTES, REQUEST_BYTES
from sesameport.adapters.caller_limits.bounds import CallerBounds, CallerLimits
from sesameport.adapters.caller_limits.listener import HttpListener
from sesameport.adapters.caller_limits.memory_account import STEP_BYTES, MemoryAccount
from sesameport.entry.caller_connection import HttpResponseWriter
from sesameport.platform import HttpPlatformAdapter
from sesameport.platform.tests.conftest import wait_until

MAX_BODY = 6_000
MAX_HEAD = 1_500
BOUNDS = CallerBounds.for_machine(
    max_trailer_bytes=200,
    max_trailer_line_bytes=100,
    max_chunk_line_bytes=60,
    max_extension_bytes=300,
)
MOST_CHARGED = MAX_BODY + REQUEST_BYTES + HOLDER_BYTES + 2 * STEP_BYTES
MOST_ALLOCATED = 600_000
"""Memory of one request and of the test's own copies, bytes."""

CLOSED_BY_PEER = {errno.ECONNRESET, errno.EPIPE, errno.ENOTCONN}

STATED = {400, 405, 408, 413, 414, 417, 431, 501, 505}

ID_FIELDS = b"Host: a\r\nX-Request-Id: r\r\nX-Deadline-Ms: 9000\r\n"


class _PeakAccount(MemoryAccount):
    peak = 0

    def charge(self, size):
        success = super().charge(size)
        self.peak = max(self.peak, self.used)
        return success

    def charge_open(self, size):
        success = super().charge_open(size)
        self.peak = max(self.peak, self.used)
        return success


class Reader:
    """Echo the bodies of requests, and record what must not happen."""

    def __init__(self):
        self.account = _PeakAccount(BOUNDS.account_bytes, BOUNDS.reserved_bytes)
        self.errors = []
        self._adapter = HttpPlatformAdapter()
        self.listener = HttpListener(
            "127.0.0.1:0", self._handle, 2, 4, BOUNDS, self.account
        )
        self.listener.set_limits(
            CallerLimits(header_bytes=MAX_HEAD, body_bytes=MAX_BODY)
        )
        self.listener._server.error_log = lambda msg="", *args, **kwargs: (
            self.errors.append(msg)
        )
        self.listener.start()
        self.address = self.listener.address.rpartition(":")

    def _handle(self, http, body):
        decoded = self._adapter.decode_request(
            http.method.decode(),
            http.uri.decode(),
            http.header_pairs,
            body,
            time.monotonic(),
        )
        if decoded.is_err():
            http.reject(decoded.unwrap_err())
            return
        assert len(body) <= MAX_BODY
        HttpResponseWriter(http, lambda: False).send_complete(200, [], body)

    def exchange(self, data, lengths):
        """Send bytes in parts and then the end; return all bytes of the response."""
        with socket.create_connection((self.address[0], int(self.address[2]))) as sock:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.settimeout(20.0)
            received = []
            try:
                for length in lengths:
                    sock.sendall(data[:length])
                    data = data[length:]
                sock.sendall(data)
                sock.shutdown(socket.SHUT_WR)
                while part := sock.recv(65_536):
                    received.append(part)
            except OSError as exc:
                # The listener does not read what follows a malformed request.
                assert exc.errno in CLOSED_BY_PEER
        return b"".join(received)


@pytest.fixture(scope="module")
def reader():
    reader = Reader()
    yield reader
    reader.listener.stop()


def encode(body, chunks, extension, trailers):
    """Return a POST with a length, or in chunks of the given sizes."""
    if chunks is None:
        fields = b"Content-Length: %d\r\n" % len(body)
        return b"POST /a/b HTTP/1.1\r\n" + ID_FIELDS + fields + b"\r\n" + body
    data = b"POST /a HTTP/1.1\r\n" + ID_FIELDS + b"Transfer-Encoding: chunked\r\n\r\n"
    sizes = iter(chunks)
    while body:
        size = next(sizes, len(body))
        part, body = body[:size], body[size:]
        data += b"%x%b\r\n%b\r\n" % (len(part), extension, part)
    return data + b"0\r\n" + b"".join(line + b"\r\n" for line in trailers) + b"\r\n"


bodies = st.integers(0, MAX_BODY).map(lambda size: bytes(n % 251 for n in range(size)))
chunk_sizes = st.one_of(
    st.none(),
    st.lists(st.integers(1, 900), max_size=10),
    st.integers(1, 9).map(lambda size: [size] * MAX_BODY),
)
trailer_lines = st.lists(st.sampled_from([b"A: b", b"X: " + b"y" * 60]), max_size=2)
requests = st.builds(
    encode, bodies, chunk_sizes, st.sampled_from([b"", b"", b";a"]), trailer_lines
)
splits = st.lists(st.integers(1, 3_000), max_size=12)
inserts = st.one_of(
    st.binary(max_size=20),
    st.sampled_from(
        [b"\r\n", b"\n", b"\r", b"\0", b" ", b":", b"0\r\n\r\n", b"-1", b"\xff", b";"]
        + [b"Content-Length: 5\r\n", b"Transfer-Encoding: chunked\r\n", b"z" * 2_000]
        + [b"Expect: 100-continue\r\n", b"HTTP/1.0", b"GET / HTTP/1.1\r\n", b"%zz"]
        + [b"Content-Length: 99999999999\r\n", b"X: y\r\n" * 400, b"\xd9\xa1", b"["]
    ),
)
changes = st.lists(
    st.tuples(st.floats(0, 1), st.integers(0, 30), inserts), min_size=1, max_size=4
)


def status_of(response):
    """Return the status of the last response without its interim ones."""
    assert response.startswith(b"HTTP/1.")
    found = response.replace(b"HTTP/1.1 100 Continue\r\n\r\n", b"")
    return int(found[9:12]) if found else None


@settings(derandomize=True, max_examples=120, deadline=None)
@given(bodies, chunk_sizes, trailer_lines, splits)
def test_request_within_the_bounds_is_read_in_any_split(
    reader, body, chunks, lines, lengths
):
    # Guards against bytes that are lost or doubled between head, body and next request.
    first = encode(body, chunks, b"", lines)
    second = encode(b"second", [2, 3], b";x", [])
    response = reader.exchange(first + second, lengths)
    head, _, rest = response.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200 ")
    assert rest[: len(body)] == body
    assert rest[len(body) :].startswith(b"HTTP/1.1 200 ")
    assert rest.endswith(b"\r\n\r\nsecond")


@settings(derandomize=True, max_examples=400, deadline=None)
@given(requests, changes, splits)
def test_any_bytes_end_with_a_request_or_a_stated_error(reader, data, edits, lengths):
    # Guards against exceptions without a status, lost charges and unbounded memory.
    for place, removed, inserted in edits:
        at = int(place * len(data))
        data = data[:at] + inserted + data[at + removed :]
    reader.account.peak, reader.errors = 0, []
    tracemalloc.start()
    try:
        response = reader.exchange(data, lengths)
        _, allocated = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    # A head that is cut off before its first line ends is closed without a response.
    if response:
        assert status_of(response) in {None, 200, *STATED}
    assert reader.errors == []
    wait_until(lambda: reader.account.used == 0)
    assert reader.account.peak <= MOST_CHARGED
    assert allocated <= MOST_ALLOCATED
