"""Test responses that end with their connection or inside an event."""

import socket
import struct

import pytest

from sesameport.platform.tests.conftest import API_KEY, ROUTE_HOST
from sesameport.platform.tests.test_late_bytes import SIGNED
from sesameport.platform.tests.test_late_bytes import scripted as scripted

STREAM_HEAD = SIGNED + b"Content-Type: text/event-stream\r\n"
EVENTS = [b"id: %d\ndata: %d\n\n" % (number, number) for number in (1, 2, 3)]


def reset(conn):
    """Close a connection with RST."""
    conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    conn.close()


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


@pytest.mark.parametrize("route", ["look", "book"])
@pytest.mark.parametrize("size", [0, 5, 40_000])
def test_plain_response_without_length_is_forwarded_whole(
    cluster, scripted, route, size
):
    body = b"x" * size
    scripted("s1", "desk", lambda _, conn: conn.sendall(SIGNED + b"\r\n" + body))
    response = cluster.send_request(f"/{route}/x", "POST", b"order")
    assert (response.status, response.body) == (200, body)
    assert response.is_complete


@pytest.mark.parametrize("size", [5, 40_000])
def test_plain_response_without_length_that_is_reset_is_not_complete(
    cluster, scripted, size
):
    def answer(_, conn):
        conn.sendall(SIGNED + b"\r\n" + b"x" * size)
        reset(conn)

    scripted("s1", "desk", answer)
    response = cluster.send_request("/book/x", "POST", b"order")
    assert response.status == 502 or not response.is_complete


@pytest.mark.parametrize("route", ["draft", "grade"])
def test_stream_without_length_that_ends_after_an_event_is_complete(
    cluster, scripted, route
):
    data = STREAM_HEAD + b"\r\n" + b"".join(EVENTS)
    scripted("d1", "llm", lambda _, conn: conn.sendall(data), stage="decode")
    response = cluster.send_generation(route)
    assert (response.status, response.body) == (200, b"".join(EVENTS))
    assert response.is_complete


@pytest.mark.parametrize("route", ["draft", "grade"])
@pytest.mark.parametrize("kind", ["reset", "inside", "no event"])
def test_stream_without_length_that_breaks_off_is_not_complete(
    cluster, scripted, route, kind
):
    def answer(_, conn):
        events = EVENTS if kind != "no event" else []
        rest = b"id: 4\nda" if kind == "inside" else b""
        conn.sendall(STREAM_HEAD + b"\r\n" + b"".join(events) + rest)
        if kind == "reset":
            reset(conn)

    scripted("d1", "llm", answer, stage="decode")
    response = cluster.send_generation(route)
    assert response.status == 502 or not response.is_complete


@pytest.mark.parametrize("route", ["draft", "grade"])
def test_chunked_stream_that_ends_inside_an_event_is_not_complete(
    cluster, scripted, route
):
    def answer(_, conn):
        parts = [chunk(event) for event in (*EVENTS, b"id: 4\nda")]
        head = STREAM_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
        conn.sendall(head + b"".join(parts) + b"0\r\n\r\n")

    scripted("d1", "llm", answer, stage="decode")
    assert not cluster.send_generation(route).is_complete


@pytest.mark.parametrize("name", [b"Content-Type", b"content-type"])
def test_response_of_another_type_on_a_streaming_route_has_no_events(
    cluster, scripted, name
):
    body = b'{"text": "whole"}'
    head = SIGNED + name + b": application/json\r\n\r\n"
    scripted("d1", "llm", lambda _, conn: conn.sendall(head + body), stage="decode")
    response = cluster.send_generation("draft")
    assert (response.status, response.body) == (200, body)
    assert response.is_complete


def test_stream_that_ends_inside_an_event_is_resumed_after_the_last_whole_one(
    cluster, scripted
):
    cluster.add_replica("d2", "llm", "decode", event_count=6)

    def answer(_, conn):
        conn.sendall(STREAM_HEAD + b"\r\n" + b"".join(EVENTS) + b"id: 4\nda")

    scripted("d1", "llm", answer, stage="decode")
    resumed = []
    for number in range(12):
        response = cluster.send_generation("grade", request_id=f"g{number}")
        assert response.is_complete
        ids = [line for line in response.body.split(b"\n") if line[:3] == b"id:"]
        assert ids == [b"id: %d" % number for number in range(1, 7)]
        resumed += [
            headers["last-event-id"]
            for _, _, headers, _ in cluster.replicas["d2"].received_requests
            if "last-event-id" in headers
        ]
    assert "3" in resumed


# A caller of HTTP/1.0 gets no chunks, so a stream that had broken off looked complete.
@pytest.mark.parametrize("route", ["draft", "grade", "book"])
@pytest.mark.parametrize("breaks_off", [True, False])
def test_caller_without_chunks_gets_a_reset_for_what_broke_off(
    cluster, scripted, route, breaks_off
):
    body, content_type = b"x" * 40_000, b"text/plain"
    if route != "book":
        body, content_type = b"".join(EVENTS), b"text/event-stream"
    sizes = b"Content-Type: %b\r\nContent-Length: %d\r\n\r\n" % (
        content_type,
        len(body) + (100 if breaks_off else 0),
    )
    for name, service, stage in (
        ("s1", "desk", {}),
        ("d1", "llm", {"stage": "decode"}),
    ):
        scripted(
            name, service, lambda _, conn: conn.sendall(SIGNED + sizes + body), **stage
        )
    request = (
        f"POST /{route}/x HTTP/1.0\r\nHost: {ROUTE_HOST}\r\nX-Request-Id: r1\r\n"
        f"X-Deadline-Ms: 2000\r\nX-Key: {API_KEY}\r\nX-Token-Count: 1000,400\r\n"
        "Content-Length: 6\r\n\r\nprompt"
    )
    host, _, port = cluster.hosts[-1].caller_address.rpartition(":")
    received = b""
    with socket.create_connection((host, int(port)), 5.0) as sock:
        sock.sendall(request.encode())
        try:
            while data := sock.recv(65_536):
                received += data
            is_reset = False
        except ConnectionResetError:
            is_reset = True
    assert is_reset == breaks_off
    if not breaks_off:
        assert received.endswith(b"\r\n\r\n" + body)
