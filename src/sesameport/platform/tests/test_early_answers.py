"""Test early answers of servers that reset the connection while they get a request.

Operators of similar systems saw parts of such bodies reach callers as complete answers,
and statuses that are none.
"""

import attrs
import pytest

from sesameport.adapters.tests.scripted_server import ScriptedServer, read_request
from sesameport.adapters.tests.test_early_answers import (
    HALF,
    LENGTH,
    UPLOAD,
    answer_early,
)
from sesameport.entry.requests import FailureKind, read_body
from sesameport.platform.engines import ReplicaClient
from sesameport.platform.tests.conftest import make_configuration, wait_until
from sesameport.platform.tests.test_cut_answers import Caller, make_head, make_request


@pytest.fixture
def upload():
    """Return a function that sends a long request and returns the response."""
    servers, caller = [], Caller()

    def send(answer, call="run"):
        servers.append(ScriptedServer(answer_early(answer)))
        client = ReplicaClient(lambda server, notice: None)
        req = attrs.evolve(make_request(), body=UPLOAD)
        address = servers[-1].address
        if call == "prefill":
            return client.prefill(address, "s1", req, caller, 2.0)
        return client.run(address, "s1", req, caller)

    yield send
    caller.close()
    for server in servers:
        server.stop()


@pytest.mark.parametrize("part", [HALF, b"", HALF * 2_000])
def test_part_of_an_answer_without_a_length_is_a_failure(upload, part):
    response = upload(make_head() + b"\r\n" + part).unwrap()
    failure = read_body(response, 100_000).unwrap_err()
    assert failure.kind == FailureKind.BROKEN


def test_part_of_a_prefill_without_a_length_is_a_failure(upload):
    answer = make_head() + b'\r\n{"kvHandle":"h","tokens":1,"version":1}'
    assert upload(answer, "prefill").unwrap_err().kind == FailureKind.BROKEN


def test_early_answer_with_a_length_is_whole(upload):
    response = upload(make_head() + LENGTH + b"\r\n" + HALF).unwrap()
    assert read_body(response, 100).unwrap() == HALF


def test_early_refusal_without_a_length_is_still_true(upload):
    answer = b"HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n\r\npart of a te"
    assert upload(answer).unwrap_err().kind == FailureKind.REFUSED


@pytest.mark.parametrize("route", ["book", "look", "draft"])
def test_caller_gets_no_part_as_a_complete_answer(cluster, route):
    limits = {"maxBodyBytes": 16_000_000, "idleTimeoutMs": 15_000}
    cluster.configure(1, limits=limits, routes=make_configuration()["routes"])
    name, service = ("d1", "llm") if route == "draft" else ("s1", "desk")
    server = ScriptedServer(answer_early(make_head("r1") + b"\r\n" + HALF))
    entry = cluster.replicas[name].registration(service) | {"address": server.address}
    cluster.store.put("servers", name, entry)
    host = cluster.start_host()
    wait_until(lambda: host.is_ready() and host.server_count() >= 3)
    try:
        if route == "draft":
            response = cluster.send_generation(route, body=UPLOAD)
        else:
            response = cluster.send_request(f"/{route}/x", "POST", UPLOAD)
    finally:
        server.stop()
    assert server.connections
    assert response.status >= 500 or not response.is_complete


# Statuses beyond 599 were passed on (issue 49); the protocol has none.
@pytest.mark.parametrize("status", [b"000", b"099", b"20", b"600", b"999", b"2000"])
def test_status_that_is_none_is_a_failure(status):
    head = make_head().replace(b" 200 OK", b" " + status + b" OK")

    def serve(conn):
        read_request(conn)
        conn.sendall(head + LENGTH + b"\r\n" + HALF)

    server, caller = ScriptedServer(serve), Caller()
    client = ReplicaClient(lambda server, notice: None)
    try:
        result = client.run(server.address, "s1", make_request(), caller)
        assert result.unwrap_err().kind == FailureKind.BROKEN
    finally:
        server.stop()
        caller.close()
