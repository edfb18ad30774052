"""Test that no answer of a server or of the platform raises, whatever it holds."""

import json

import hypothesis
import hypothesis.strategies as st
import pytest
from result import Err, Ok

from sesameport.adapters import HttpEngine, HttpPlatform
from sesameport.adapters.bulkheads import (
    Bulkhead,
    BulkheadEngine,
    BulkheadPlainService,
)
from sesameport.adapters.tests.scripted_server import ScriptedServer, read_request
from sesameport.interfaces import (
    DecodeCall,
    EngineErrorKind,
    Order,
    OrderKind,
    PlatformErrorKind,
    PrefillCall,
)

PREFILL = PrefillCall("a", "m", "", "prompt")
DECODE = DecodeCall("a", "m", "", "prompt", 5)
ORDER = Order(OrderKind.DRAIN, "on", 1, "o")
SPOILED = [
    b"[" * 3_000,
    b"[]",
    b"{}",
    b"null",
    b"",
    b"1e999",
    b"\xff\xfe",
    b'"\\ud800"',
    b'{"held": "yes", "holds": [{"attempt_id": 1}], "running": "3", "events": {}}',
    b'{"held": [], "holds": {}, "running": 1, "waiting": [], "slots": null}',
    b'{"kv_transfer_params": {"remote_address": 1, "remote_handle": [], '
    b'"lifetime_s": "x"}, "events": [{"sequence": "1"}], "last_sequence": null}',
    b'{"kind": 1, "name": [], "version": "x", "value": "???", "deleted": "no", '
    b'"objects": 3, "changes": [1], "hosts": [[]], "servers": [{}]}',
    b'{"id": 7, "offset": "0", "choices": [], "kv_transfer_params": []}',
    b'{"id": "a", "offset": 0, "choices": []}',
    b'{"id": "a", "offset": "0", "choices": [{"text": null}]}',
]


class Answers:
    """Answer every request with one body, as it is or as an event of a stream."""

    def __init__(self):
        self.body, self.status = b"", 200
        self.server = ScriptedServer(self._serve)

    def _serve(self, conn):
        head = read_request(conn)
        body = self.body
        if "GET /v1/requests/" in head or "offset" in head:
            body = b"data: " + body.replace(b"\n", b" ") + b"\n\n"
        conn.sendall(
            b"HTTP/1.1 %d OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%b"
            % (self.status, len(body), body)
        )


@pytest.fixture
def answers():
    answers = Answers()
    yield answers
    answers.server.stop()


def engine_results(address):
    """Return the results of all calls of an engine, the last items of streams."""
    engine = HttpEngine("e", address)
    yield engine.prefill(PREFILL)
    yield engine.cancel("a")
    yield engine.holds()
    yield engine.load()
    yield engine.cache_events(0)
    for stream in (engine.decode(DECODE), engine.resume("a", 0)):
        *_, last = stream.unwrap()
        yield last


def platform_results(address):
    platform = HttpPlatform(f"http://{address}")
    yield platform.get("k", "n")
    yield platform.list("k")
    yield platform.create("k", "n", b"v")
    yield platform.update("k", "n", b"v", 1)
    yield platform.delete("k", "n", 1)
    yield platform.watch("k", 1, 0.1)
    yield platform.hosts()


@pytest.mark.parametrize("body", SPOILED)
def test_spoiled_answer_is_a_broken_one(answers, body):
    # A body nested 3,000 deep left the engine's client as RecursionError, and a 200 of
    # the platform with a list left its client as TypeError.
    answers.body = body
    for result in engine_results(answers.server.address):
        assert result.unwrap_err().kind == EngineErrorKind.BROKEN
    kinds = [
        result.unwrap_err().kind for result in platform_results(answers.server.address)
    ]
    lost, unknown = PlatformErrorKind.UNAVAILABLE, PlatformErrorKind.UNKNOWN
    assert kinds == [lost, lost, unknown, unknown, unknown, lost, lost]
    HttpEngine("e", answers.server.address).order(ORDER)


@pytest.mark.parametrize("body", SPOILED)
@pytest.mark.parametrize("status", [404, 409, 412, 503])
def test_spoiled_error_of_the_platform_keeps_its_kind(answers, body, status):
    answers.body, answers.status = body, status
    kinds = {result.err().kind for result in platform_results(answers.server.address)}
    assert len(kinds) == 1
    assert not kinds & {PlatformErrorKind.INVALID, PlatformErrorKind.UNKNOWN}


@hypothesis.settings(
    max_examples=60,
    deadline=None,
    derandomize=True,
    suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture],
)
@hypothesis.given(
    st.recursive(
        st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=4),
        lambda inner: (
            st.lists(inner, max_size=3)
            | st.dictionaries(
                st.sampled_from(
                    ["id", "offset", "choices", "text", "held", "holds", "running"]
                    + ["kv_transfer_params", "events", "objects", "changes", "version"]
                ),
                inner,
                max_size=4,
            )
        ),
        max_leaves=12,
    )
)
def test_any_json_is_a_result(answers, value):
    answers.body = json.dumps(value).encode()
    for result in engine_results(answers.server.address):
        assert isinstance(result, Ok | Err)
    for result in platform_results(answers.server.address):
        assert isinstance(result, Ok | Err)


class Raising:
    """Raise in every call and stream."""

    def __getattr__(self, name):
        def call(*args):
            raise LookupError(name)

        return call


class RaisingStream(Raising):
    def decode(self, call):
        return Ok(iter(self))

    def __iter__(self):
        yield Ok("token")
        raise LookupError("stream")


def test_exception_of_a_client_is_a_broken_call_and_frees_its_places():
    bulkhead = Bulkhead(1)
    engine = BulkheadEngine(Raising(), (bulkhead,))
    service = BulkheadPlainService(Raising(), (bulkhead,))
    for result in (
        engine.prefill(PREFILL),
        engine.decode(DECODE),
        engine.resume("a", 0),
        service.call(None, "a", 1.0),
        list(BulkheadEngine(RaisingStream(), (bulkhead,)).decode(DECODE).unwrap())[-1],
    ):
        assert result.unwrap_err().kind == EngineErrorKind.BROKEN
        assert bulkhead.running == 0
