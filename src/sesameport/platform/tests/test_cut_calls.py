"""Test calls to the store and orders to replicas whose answers are cut off."""

import json

import pytest

from sesameport.adapters.tests.scripted_server import ScriptedServer, read_request
from sesameport.domain import ServerRole
from sesameport.entry.role_controller import RoleChange
from sesameport.entry.servers import EntryServer
from sesameport.interfaces import PlatformErrorKind
from sesameport.platform.orders import ReplicaOrderClient
from sesameport.platform.store import ObjectStoreClient

OBJECT = {"metadata": {"name": "n", "revision": 7, "finalizers": []}, "spec": {"a": 1}}
REPORT = {"stage": "decode", "busy": False, "sequence": 3}


def make_answer(status, data, is_chunked=False):
    body = json.dumps(data).encode()
    head = b"HTTP/1.1 %d Status\r\nServer-Limit: 25\r\n" % status
    if not is_chunked:
        return head + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
    chunks = b"%x\r\n%b\r\n0\r\n" % (len(body), body)
    return head + b"Transfer-Encoding: chunked\r\n\r\n" + chunks


class CutServer:
    """Answer each request with the first bytes of an answer."""

    def __init__(self):
        self.answer = b""
        self._server = ScriptedServer(self._serve)
        self.address = self._server.address

    def _serve(self, conn):
        read_request(conn)
        conn.sendall(self.answer)

    def results(self, whole, call):
        """Yield the results of a call whose answer is cut off at each byte."""
        for end in range(len(whole)):
            self.answer = whole[:end]
            yield call()
        self.answer = whole
        assert call().is_ok()

    def stop(self):
        self._server.stop()


@pytest.fixture
def server():
    server = CutServer()
    yield server
    server.stop()


WRITES = {
    "create": (OBJECT, lambda store: store.create("k", "n", b"{}")),
    "update": (OBJECT, lambda store: store.update("k", "n", b"{}", 6)),
    "delete": ({}, lambda store: store.delete("k", "n", 6)),
}
READS = {
    "get": (OBJECT, lambda store: store.get("k", "n")),
    "list": ({"items": [OBJECT], "at": 9}, lambda store: store.list("k")),
    "watch": ({"events": [], "at": 9}, lambda store: store.watch("k", 8, 0.1)),
}


# A write whose answer was cut off in its head counted as done, with version 0. It may
# have been executed or not.
@pytest.mark.parametrize("is_chunked", [False, True], ids=["length", "chunked"])
@pytest.mark.parametrize("name", WRITES)
def test_outcome_of_a_write_whose_answer_is_cut_off_is_unknown(
    server, name, is_chunked
):
    data, call = WRITES[name]
    whole = make_answer(200, data, is_chunked)
    for result in server.results(
        whole, lambda: call(ObjectStoreClient(server.address))
    ):
        assert result.unwrap_err().kind == PlatformErrorKind.UNKNOWN, server.answer


@pytest.mark.parametrize("status", [404, 409, 429, 503])
def test_refusal_of_a_write_that_is_cut_off_is_no_refusal(server, status):
    whole = make_answer(status, OBJECT)
    for end in range(len(whole)):
        server.answer = whole[:end]
        result = ObjectStoreClient(server.address).update("k", "n", b"{}", 6)
        assert result.unwrap_err().kind == PlatformErrorKind.UNKNOWN, server.answer


@pytest.mark.parametrize("name", READS)
def test_read_whose_answer_is_cut_off_fails(server, name):
    data, call = READS[name]
    for result in server.results(
        make_answer(200, data), lambda: call(ObjectStoreClient(server.address))
    ):
        assert result.unwrap_err().kind == PlatformErrorKind.UNAVAILABLE


# A limit of 25 that was cut off after its first digit counted as one of 2.
def test_state_and_order_of_a_replica_whose_answer_is_cut_off_fail(server):
    notices = []
    client = ReplicaOrderClient(lambda name, notice: notices.append(notice))
    replica = EntryServer("d1", "llm", server.address, "a", ServerRole.DECODE)
    change = RoleChange(replica, ServerRole.PREFILL, 4, False)
    calls = [
        (make_answer(200, REPORT), lambda: client.read_state(replica)),
        (make_answer(202, {}), lambda: client.change_role(change, "h1", 4, 3)),
    ]
    for whole, call in calls:
        notices.clear()
        assert all(result.is_err() for result in server.results(whole, call))
        assert [notice.limit_per_s for notice in notices] == [25.0]
