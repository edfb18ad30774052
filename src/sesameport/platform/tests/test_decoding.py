"""Test what the adapter makes of the wire."""

import json

from sesameport.entry.configuration import RequestKind, key_digest
from sesameport.platform import callers, servers
from sesameport.platform.configuration import decode_configuration
from sesameport.platform.settings import is_platform_settings, load_platform_settings
from sesameport.platform.tests.conftest import configuration
from sesameport.world import ServerRole, ServerState

SETTINGS = """
nodeName = "edge-a-1"
ip = "10.1.0.3"
zone = "a"
region = "r"
internalPorts = [7500, 7515]
seeds = ["10.1.0.4:8367", "10.2.0.18:8367"]
bootstrap = true
later = "a field that is not known"
[listen]
front = "10.1.0.3:8360"
readyAddress = "10.1.0.3:8365"
[bounds]
leaseMs = 2500
graceS = 8
retrySlack = 58
[platform]
address = "10.200.1.7:8361"
"""


def decode(**changes):
    return decode_configuration(json.dumps(configuration(**changes)).encode())


def test_configuration_becomes_routes_services_and_workspaces():
    found = decode(version=7).unwrap()
    assert found.version == 7
    draft = next(route for route in found.routes if route.name == "draft")
    assert (draft.kind, draft.timeout_s, draft.target_s) == (
        RequestKind.STREAM,
        2.0,
        0.9,
    )
    assert found.service("llm").engine.kv_tokens == 20_000
    assert found.service("desk").engine is None
    assert found.workspaces[0].key_digests == (key_digest("key-of-w"),)
    assert "key-of-w" not in repr(found)


def test_unknown_kind_is_treated_as_not_repeatable():
    routes = [{**configuration()["routes"][0], "kind": "brand-new"}]
    assert decode(routes=routes).unwrap().routes[0].kind == RequestKind.UNSAFE


def test_unreadable_configuration_is_an_error_and_no_exception():
    for value in (b"", b"[]", b"{}", b"\xff", b'{"version": 1, "routes": [{}]}'):
        assert decode_configuration(value).is_err(), value


def test_split_of_a_route_gives_its_shares():
    split = [{"service": "desk", "weight": 90}, {"service": "llm", "weight": 10}]
    routes = [{**configuration()["routes"][0], "trafficSplit": split}]
    shares = decode(routes=routes).unwrap().routes[0].shares
    assert [(share.service, share.weight) for share in shares] == [
        ("desk", 90.0),
        ("llm", 10.0),
    ]


def test_entry_of_a_server():
    entry = {
        "service": "llm",
        "address": "10.1.64.9:8080",
        "zone": "a",
        "slots": 24,
        "state": "draining",
        "stage": "prefill",
        "born": 1_700_000_000_000,
    }
    found = servers.decode_server("i-1", json.dumps(entry).encode()).unwrap()
    assert found.role == ServerRole.PREFILL
    assert found.state == ServerState.LEAVING
    assert found.started_at_ms == 1_700_000_000_000


def test_odd_entries_name_no_server():
    good = {"service": "s", "address": "1.2.3.4:5", "zone": "a", "state": "ready"}
    assert servers.decode_server("i", json.dumps(good).encode()).is_ok()
    for change in (
        {"service": None},
        {"address": "nowhere"},
        {"address": 5},
        {"state": "asleep"},
        {"stage": "other"},
        {"slots": 0},
        {"slots": True},
    ):
        value = json.dumps({**good, **change}).encode()
        assert servers.decode_server("i", value).is_err(), change
    for value in (b"null", b"7", b"\xff\xfe", b"{"):
        assert servers.decode_server("i", value).is_err()


def test_request_keeps_its_headers_but_those_of_the_hop_and_of_the_router():
    headers = (
        ("Host", "h"),
        ("X-Request-Id", "r1"),
        ("X-Deadline-Ms", "1500"),
        ("X-Token-Count", "1460,80"),
        ("X-Length-Hint", "40"),
        ("Last-Event-Id", "12"),
        ("X-Key", "secret"),
        ("Connection", "keep-alive, X-Mine"),
        ("X-Mine", "1"),
        ("Accept", "a"),
        ("Accept", "b"),
    )
    req = callers.decode_request("POST", "/x", headers, b"b", 10.0).unwrap()
    assert req.deadline == 11.5
    assert (req.tokens.prompt, req.tokens.max_output) == (1_460, 80)
    assert req.tokens.expected_output == 40
    assert req.resume_after == "12"
    names = [name for name, _ in req.headers]
    assert names == [
        "Host",
        "X-Request-Id",
        "X-Token-Count",
        "X-Length-Hint",
        "Accept",
        "Accept",
    ]
    assert callers.extract_key(headers) == "secret"


def test_request_without_id_or_with_a_broken_token_count_is_refused():
    assert callers.decode_request("GET", "/", (), b"", 0.0).is_err()
    headers = (("X-Request-Id", "r"), ("X-Token-Count", "many"))
    assert callers.decode_request("GET", "/", headers, b"", 0.0).is_err()


def test_settings_of_the_platform():
    assert is_platform_settings(SETTINGS)
    assert not is_platform_settings('[host]\nname = "h"')
    found, findings = load_platform_settings(SETTINGS, "node.toml")
    assert findings == []
    assert found.name == "edge-a-1"
    assert found.bounds.lease_s == 2.5
    assert found.bounds.retry_slack == 58.0
    assert found.seed_addresses == ("10.1.0.4:7500", "10.2.0.18:7500")


def test_findings_of_settings_name_their_places_and_come_together():
    text = SETTINGS.replace('front = "10.1.0.3:8360"', 'front = "nowhere"')
    text = text.replace("leaseMs = 2500", 'leaseMs = "soon"')
    text = text.replace('zone = "a"', "zone = 7")
    found, findings = load_platform_settings(text, "node.toml")
    assert found is None
    assert {(item.file, item.path) for item in findings} == {
        ("node.toml", "listen.front"),
        ("node.toml", "bounds.leaseMs"),
        ("node.toml", "zone"),
    }
