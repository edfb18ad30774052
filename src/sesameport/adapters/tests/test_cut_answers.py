"""Test that clients of the project's own interface refuse answers that are cut off."""

import base64
import json

import pytest

from sesameport.adapters import HttpEngine, HttpPlainService, HttpPlatform
from sesameport.adapters.tests.scripted_server import (
    ScriptedServer,
    read_request,
    request_id_of,
)
from sesameport.commands.fetch import fetch_all
from sesameport.domain import PlainRequest, Urgency
from sesameport.interfaces import (
    DecodeCall,
    EngineErrorKind,
    Order,
    OrderKind,
    PlatformErrorKind,
    PrefillCall,
)

OBJECT = {
    "kind": "k",
    "name": "n",
    "version": 7,
    "value": base64.b64encode(b"v").decode(),
    "deleted": False,
}
HANDLE = {"remote_address": "127.0.0.1:1", "remote_handle": "h", "lifetime_s": 1.0}
EVENT = {
    "id": "a",
    "offset": 0,
    "choices": [{"text": "word", "finish_reason": "stop"}],
}


def make_answer(body, extra=b""):
    head = b"HTTP/1.1 200 OK\r\nX-Served-By: s1\r\n" + extra
    return head + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


def make_json(data):
    return make_answer(json.dumps(data).encode())


@pytest.fixture
def serve():
    servers = []

    def start(function):
        servers.append(ScriptedServer(function))
        return servers[-1].address

    yield start
    for server in servers:
        server.stop()


def send_once(answer):
    """Return a function that answers one request and closes the connection."""

    def serve(conn):
        read_request(conn)
        conn.sendall(answer)

    return serve


def make_plain_request():
    return PlainRequest(
        "r", "desk", "", "GET", "/x", (), b"", True, Urgency.URGENT, 1e9
    )


def call_plain(address):
    return HttpPlainService(address).call(make_plain_request(), "a1", 2.0)


def call_fetch(address):
    return fetch_all([address], "/status")[0].result


PLATFORM_CALLS = {
    "get": (OBJECT, lambda platform: platform.get("k", "n")),
    "list": ({"objects": [OBJECT], "version": 9}, lambda platform: platform.list("k")),
    "create": (OBJECT, lambda platform: platform.create("k", "n", b"v")),
    "update": (OBJECT, lambda platform: platform.update("k", "n", b"v", 6)),
    "delete": (OBJECT, lambda platform: platform.delete("k", "n", 6)),
}
ENGINE_CALLS = {
    "prefill": (
        {"kv_transfer_params": HANDLE},
        lambda engine: engine.prefill(PrefillCall("a1", "m", "", "prompt")),
    ),
    "cancel": ({"held": True}, lambda engine: engine.cancel("a1")),
    "holds": ({"holds": []}, lambda engine: engine.holds()),
    "events": ({"events": [], "last_sequence": 4}, lambda e: e.cache_events(3)),
    "order": ({}, lambda engine: engine.order(Order(OrderKind.DRAIN, "", 4, "o1"))),
}


# The answer of a plain service, or of a host's status, that was cut off in its head was
# passed on as a complete one without a body.
@pytest.mark.parametrize("call", [call_plain, call_fetch])
def test_answer_that_is_cut_off_is_not_whole(serve, call):
    whole = make_answer(b"order placed")
    for end in range(len(whole)):
        assert call(serve(send_once(whole[:end]))).is_err(), whole[:end]
    assert call(serve(send_once(whole))).is_ok()


@pytest.mark.parametrize("name", PLATFORM_CALLS)
def test_platform_call_whose_answer_is_cut_off_fails(serve, name):
    data, call = PLATFORM_CALLS[name]
    whole = make_json(data)
    unclear = PlatformErrorKind.UNKNOWN
    if name in ("get", "list"):
        unclear = PlatformErrorKind.UNAVAILABLE
    for end in range(len(whole)):
        result = call(HttpPlatform(f"http://{serve(send_once(whole[:end]))}"))
        assert result.unwrap_err().kind == unclear, whole[:end]
    assert call(HttpPlatform(f"http://{serve(send_once(whole))}")).is_ok()


@pytest.mark.parametrize("name", ENGINE_CALLS)
def test_engine_call_whose_answer_is_cut_off_fails(serve, name):
    data, call = ENGINE_CALLS[name]
    whole = make_json(data)
    for end in range(len(whole)):
        result = call(HttpEngine("e1", serve(send_once(whole[:end]))))
        assert result.unwrap_err().kind == EngineErrorKind.BROKEN, whole[:end]
    assert call(HttpEngine("e1", serve(send_once(whole)))).is_ok()


def decode(engine, attempt_id="a1"):
    """Return the events of a stream, the last of which may be an error."""
    result = engine.decode(DecodeCall(attempt_id, "m", "", "prompt", 10))
    return list(result.unwrap()) if result.is_ok() else [result]


def make_stream(attempt_id="a1"):
    line = b"data: %b\n\n" % json.dumps({**EVENT, "id": attempt_id}).encode()
    chunks = b"%x\r\n%b\r\n0\r\n\r\n" % (len(line), line)
    return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks


def test_stream_that_is_cut_off_ends_with_an_error(serve):
    whole = make_stream()
    # The caller has the whole stream once it has the event with a finish reason.
    for end in range(whole.index(b"\n\n\r\n") + 2):
        events = decode(HttpEngine("e1", serve(send_once(whole[:end]))))
        assert events[-1].unwrap_err().kind == EngineErrorKind.BROKEN, whole[:end]
    assert decode(HttpEngine("e1", serve(send_once(whole))))[-1].is_ok()


def stutter(make):
    """Return a function that sends each answer again before the next one.

    The second copy arrives after the next request was sent. The client cannot see it
    when it takes a connection from a pool.
    """

    def serve(conn):
        copy = b""
        while True:
            answer = make(request_id_of(read_request(conn)))
            conn.sendall(copy + answer)
            copy = answer

    return serve


# Operators of a similar system saw the late copy of an answer delivered to the next
# caller on a connection in use again.
def test_second_copy_of_a_plain_answer_reaches_no_other_call(serve):
    service = HttpPlainService(serve(stutter(lambda name: make_answer(name.encode()))))
    for number in range(5):
        result = service.call(make_plain_request(), f"a{number}", 2.0)
        assert result.unwrap().body == f"a{number}".encode()


def test_second_copy_of_an_engine_answer_reaches_no_other_call(serve):
    def make(attempt_id):
        handle = {**HANDLE, "remote_handle": attempt_id}
        return make_json({"kv_transfer_params": handle})

    engine = HttpEngine("e1", serve(stutter(make)))
    for number in range(5):
        handle = engine.prefill(PrefillCall(f"a{number}", "m", "", "prompt")).unwrap()
        assert handle.handle == f"a{number}"


def test_second_copy_of_a_stream_reaches_no_other_call(serve):
    engine = HttpEngine("e1", serve(stutter(make_stream)))
    for number in range(5):
        event = decode(engine, f"a{number}")[-1].unwrap()
        assert event.attempt_id == f"a{number}"
