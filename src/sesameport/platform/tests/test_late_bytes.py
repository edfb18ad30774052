"""Test servers that send a response twice, too slowly or without progress."""

import time

import pytest

from sesameport.adapters.tests.scripted_server import (
    ScriptedServer,
    read_request,
    request_id_of,
)
from sesameport.platform.tests.conftest import make_configuration, wait_until

SIGNED = b"HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\n"


@pytest.fixture
def scripted(cluster):
    servers = []

    def start(name, service, answer, **fields):
        def serve(conn):
            answer(request_id_of(read_request(conn)), conn)

        server = ScriptedServer(serve)
        servers.append(server)
        registration = cluster.replicas[name].registration(service, **fields)
        registration["address"] = server.address
        cluster.store.put("servers", name, registration)
        host = cluster.start_host()
        wait_until(lambda: host.is_ready() and host.server_count() >= 3)
        return server

    yield start
    for server in servers:
        server.stop()


def test_second_copy_of_a_response_reaches_no_caller(cluster, scripted):
    # Operators of a similar system saw the late copy of an answer delivered to the next
    # caller on a connection in use again. Here a connection carries one request.
    def answer(request_id, conn):
        body = request_id.encode()
        response = SIGNED + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
        conn.sendall(response)
        time.sleep(0.02)
        conn.sendall(response)

    server = scripted("s1", "desk", answer)
    for number in range(20):
        response = cluster.send_request("/book/x", "POST", request_id=f"c{number}")
        assert response.body == f"c{number}".encode()
    assert server.connections == 20


def event_stream(conn, events, pause_s):
    conn.sendall(
        SIGNED + b"Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
    )
    for event in events:
        conn.sendall(event)
        time.sleep(pause_s)


def test_slow_stream_that_makes_progress_is_not_cut(cluster, scripted):
    # Seven pauses of 0.4 s are longer than any gap that a caller calls in time, and far
    # within the route's timeout.
    routes = [
        {**route, "timeoutMs": 14_000} for route in make_configuration()["routes"]
    ]
    cluster.configure(2, routes=routes)
    events = [f"id: {n}\ndata: {n}\n\n".encode() for n in range(1, 8)]
    scripted(
        "d1", "llm", lambda _, conn: event_stream(conn, events, 0.4), stage="decode"
    )
    for route in ("draft", "grade"):
        response = cluster.send_generation(route, request_id=route, deadline_ms=14_000)
        assert response.is_complete
        assert response.body == b"".join(events)


@pytest.mark.parametrize("part", [b":\n\n", b": still here\n", b"d"])
def test_stalled_stream_that_sends_a_byte_now_and_then_ends_in_time(
    cluster, scripted, part
):
    stalled = [b"id: 1\ndata: 1\n\n", *[part] * 200]
    scripted(
        "d1", "llm", lambda _, conn: event_stream(conn, stalled, 0.1), stage="decode"
    )
    for route in ("draft", "grade"):
        began_at = time.monotonic()
        response = cluster.send_generation(route, request_id=route, deadline_ms=1_500)
        assert not response.is_complete
        assert time.monotonic() - began_at < 2.0
