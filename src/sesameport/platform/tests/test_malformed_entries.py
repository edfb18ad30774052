"""Test that entries of other writers hide no others and end no thread."""

import http.client
import json
import tracemalloc
from unittest.mock import Mock

import hypothesis
import hypothesis.strategies as st
import msgspec
import pytest

from sesameport.admission.order_lease import decode_record
from sesameport.entry.host_directory import _decode_address
from sesameport.entry.store_handlers import MalformedObjects
from sesameport.entry.suspect_store import SuspectStore
from sesameport.interfaces import StoredObject
from sesameport.platform import store as store_module
from sesameport.platform.configuration import decode_configuration
from sesameport.platform.evacuations import decode_evacuation
from sesameport.platform.json_members import split_array, split_object
from sesameport.platform.servers import decode_server
from sesameport.platform.tests.conftest import make_configuration, wait_until

SERVER = {
    "service": "desk",
    "address": "127.0.0.1:9",
    "zone": "a",
    "slots": 8,
    "state": "ready",
    "stage": "decode",
    "born": 5,
}
LEASE = {"holder": "h", "epoch": 1, "server": "s", "role": "r", "ordered_at": 1.0}
SUSPECT = {"subject": "s", "crashes": {"c": True}, "saved_at": 1.0}
DEEP = b"[" * 100_000 + b"]" * 100_000
UNREADABLE = [
    b'"\\ud800"',
    b'{"zone": "\\udc00\\ud800"}',
    b'"\xff\xfe"',
    b'"a\nb"',
    b'"\\q"',
    b"9" * 5_000,
    b"1e999",
    b"NaN",
    DEEP,
]

scalars = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.sampled_from([2**63, -(2**64), 10**400, 0, -1]),
    st.floats(),
    st.text(st.characters(exclude_categories=())),  # with lone surrogates
)
values = st.recursive(
    scalars,
    lambda inner: st.one_of(
        st.lists(inner, max_size=3), st.dictionaries(st.text(), inner, max_size=3)
    ),
    max_leaves=6,
)


def changed(valid):
    """Return documents in which some fields, or all, have another value."""
    nested = [key for key, value in valid.items() if isinstance(value, list)]
    changes = st.dictionaries(st.sampled_from(sorted(valid)), values, max_size=3)
    documents = changes.map(lambda fields: {**valid, **fields})
    for key in nested:
        items = st.dictionaries(
            st.sampled_from(sorted(valid[key][0])), values, max_size=2
        ).map(lambda fields, key=key: {**valid, key: [{**valid[key][0], **fields}]})
        documents |= items
    return documents.map(lambda item: json.dumps(item).encode())


encoded = st.one_of(
    changed(SERVER),
    changed(make_configuration()),
    changed(LEASE),
    changed(SUSPECT),
    values.map(lambda value: json.dumps(value).encode()),
    st.binary(),
    st.sampled_from(UNREADABLE),
)


class Deletions:
    def delete(self, *args):
        """Accept a deletion."""


@hypothesis.settings(max_examples=400, deadline=None, derandomize=True)
@hypothesis.given(encoded)
def test_every_decoder_returns_for_any_bytes(value):
    server = decode_server("i-1", value)
    configuration = decode_configuration(value)
    for decoded in (server, configuration):
        if decoded.is_ok():  # other hosts get it in a snapshot
            msgspec.msgpack.encode(decoded.unwrap())
    if server.is_ok():
        assert int(server.unwrap().address.rpartition(":")[2]) < 65_536
    assert decode_evacuation("a", value).unwrap() == "a"
    decode_record(value)
    _decode_address(value)
    records = SuspectStore(Deletions(), None)
    records._read_records((StoredObject("k", "n", 1, value),))
    for status in (200, 409, 503):
        body = store_module._decode_response(status, value)
        if body.is_ok():
            store_module._to_watch_batch("k", body.unwrap())


@hypothesis.settings(max_examples=200, deadline=None, derandomize=True)
@hypothesis.given(st.lists(values), st.sampled_from(UNREADABLE))
def test_unreadable_member_hides_no_other(items, unreadable):
    texts = [json.dumps(item).encode() for item in items]
    members = [*texts, unreadable, *texts]
    array = b"[" + b" , ".join(members) + b"]"
    assert split_array(array).unwrap() == members
    pairs = [b'"%d" : %b' % (number, text) for number, text in enumerate(members)]
    body = b"{" + b",".join(pairs) + b"}"
    assert list(split_object(body).unwrap().values()) == members


@pytest.mark.parametrize("value", [b"", b"[", b'{"a":1', b"[1]]", b"[}", b'["a]', b"1"])
def test_text_that_cannot_be_split_gives_an_err(value):
    assert split_array(value).is_err()
    assert split_object(value).is_err()


ODD_ENTRIES = [
    "\ud800",
    {**SERVER, "zone": "\ud800"},
    {**SERVER, "stage": ["decode"]},
    {**SERVER, "stage": {"decode": 1}},
    {**SERVER, "slots": 10**400},
    {**SERVER, "address": "127.0.0.1:\u0663"},
    [[[]]],
]


@pytest.mark.parametrize("entry", ODD_ENTRIES, ids=range(len(ODD_ENTRIES)))
def test_host_follows_the_store_beside_a_malformed_entry(cluster, host, entry):
    # One such entry ended the thread that follows the servers, or hid all servers.
    for kind in ("servers", "entry-hosts", "crash-suspects", "config"):
        cluster.store.put(kind, "odd", entry)
    registration = cluster.replicas["s1"].registration("desk", state="draining")
    cluster.store.put("servers", "s1", registration)
    wait_until(lambda: "s1" not in host.usable_servers(), 2.0)
    cluster.configure(2)
    wait_until(lambda: host.configuration_version() == 2, 2.0)
    host.delete_expired_hosts()
    other = cluster.start_host("h2")
    wait_until(lambda: other.is_ready() and other.server_count() >= 3)
    assert other.configuration_version() == 2
    assert b"sesameport_entry_malformed_total{" in other.metrics.render()


def test_configuration_with_an_odd_route_leaves_the_previous_one_in_force(
    cluster, host
):
    route = make_configuration()["routes"][0]
    for version, change in enumerate(
        ({"pathPrefix": 5}, {"anonymous": "false"}, {"timeoutMs": 10**400}), 2
    ):
        cluster.configure(version, routes=[{**route, **change}])
    cluster.configure(5, tenants=[{"name": "w", "apiKeys": "key"}])
    cluster.configure(6)
    wait_until(lambda: host.configuration_version() == 6)
    cluster.configure(7, routes=[{**route, "host": None}])
    assert cluster.send_request("/look/x").status == 200
    assert host.configuration_version() == 6


def test_host_that_cannot_follow_a_kind_says_so_on_its_readiness_address(
    cluster, host, monkeypatch
):
    def fail(objects):
        raise TypeError("unhashable")

    watcher = host._follower._watchers["servers"]
    monkeypatch.setattr(watcher._handler, "handle_listing", fail)
    monkeypatch.setattr(watcher._handler, "handle_changes", fail)
    cluster.store.put("servers", "s1", cluster.replicas["s1"].registration("desk"))
    wait_until(lambda: not host.is_ready())
    address = host._listeners.readiness_address
    connection = http.client.HTTPConnection(address, timeout=5)
    connection.request("GET", "/v1/ready")
    response = connection.getresponse()
    text = response.read()
    connection.close()
    assert response.status == 503
    assert b"servers not followed" in text
    monkeypatch.undo()
    wait_until(host.is_ready)
    assert cluster.send_request("/look/x").status == 200


def test_reasons_that_quote_large_objects_take_little_memory():
    # Guards against reasons that are kept whole: 130 entries with a state of 1 MB took
    # a host to 153 MiB for good.
    malformed = MalformedObjects(Mock())
    tracemalloc.start()
    try:
        for number in range(20):
            reason = f"unknown state {number}" + "x" * 1_000_000
            stored = StoredObject("servers", f"s{number}", 1, b"")
            malformed.record("server ignored", stored, reason)
        del reason
        assert tracemalloc.get_traced_memory()[0] < 1_000_000
    finally:
        tracemalloc.stop()
