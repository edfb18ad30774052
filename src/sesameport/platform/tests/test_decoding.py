"""Test the decoding of configuration, registrations, requests and settings."""

import json

import pytest

from sesameport.domain import ServerRole, ServerState
from sesameport.entry.configuration import RequestKind, key_digest
from sesameport.platform import callers, servers
from sesameport.platform.configuration import decode_configuration
from sesameport.platform.settings import is_platform_settings, load_platform_settings
from sesameport.platform.tests.conftest import make_configuration

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


def decode_with(**changes):
    return decode_configuration(json.dumps(make_configuration(**changes)).encode())


def test_configuration_is_decoded_into_routes_services_and_workspaces():
    decoded = decode_with(version=7).unwrap()
    assert decoded.version == 7
    draft = next(route for route in decoded.routes if route.name == "draft")
    assert (draft.kind, draft.timeout_s, draft.target_s) == (
        RequestKind.STREAM,
        2.0,
        0.9,
    )
    assert decoded.service("llm").engine.kv_tokens == 20_000
    assert decoded.service("desk").engine is None
    assert decoded.workspaces[0].key_digests == (key_digest("key-of-w"),)
    assert "key-of-w" not in repr(decoded)


def test_parts_of_a_prompt_have_ids_and_tokens_whatever_a_caller_sends():
    # The last part belongs to the request, so no other request has it.
    def parts(text):
        headers = (("X-Request-Id", "r1"), ("X-Prompt-Prefix", text))
        req = callers.decode_request("POST", "/x", headers, b"", 0.0).unwrap()
        return tuple(zip(req.prompt_parts, req.prompt_part_tokens, strict=True))

    assert parts("A1:1200, b2:30,ff:7") == (("a1", 1_200), ("b2", 30))
    assert parts("a1:x,b2:-5,c3,:9,d4:" + "9" * 5_000 + ",ff:7") == (
        ("a1", 0),
        ("b2", 0),
        ("c3", 0),
        ("d4", 0),
    )
    assert parts("a1:1200") == parts("") == ()


def test_unknown_request_kind_is_not_retried():
    routes = [{**make_configuration()["routes"][0], "kind": "brand-new"}]
    assert decode_with(routes=routes).unwrap().routes[0].kind == RequestKind.UNSAFE


def test_invalid_configuration_returns_an_err():
    for value in (b"", b"[]", b"{}", b"\xff", b'{"version": 1, "routes": [{}]}'):
        assert decode_configuration(value).is_err(), value


def test_traffic_split_is_decoded_into_service_shares():
    split = [{"service": "desk", "weight": 90}, {"service": "llm", "weight": 10}]
    routes = [{**make_configuration()["routes"][0], "trafficSplit": split}]
    shares = decode_with(routes=routes).unwrap().routes[0].shares
    assert [(share.service, share.weight) for share in shares] == [
        ("desk", 90.0),
        ("llm", 10.0),
    ]


def test_registration_is_decoded_into_a_server():
    registration = {
        "service": "llm",
        "address": "10.1.64.9:8080",
        "zone": "a",
        "slots": 24,
        "state": "draining",
        "stage": "prefill",
        "born": 1_700_000_000_000,
    }
    server = servers.decode_server("i-1", json.dumps(registration).encode()).unwrap()
    assert server.role == ServerRole.PREFILL
    assert server.state == ServerState.LEAVING
    assert server.started_at_ms == 1_700_000_000_000


def test_invalid_registration_returns_an_err():
    valid = {"service": "s", "address": "1.2.3.4:5", "zone": "a", "state": "ready"}
    assert servers.decode_server("i", json.dumps(valid).encode()).is_ok()
    for change in (
        {"service": None},
        {"address": "nowhere"},
        {"address": 5},
        {"state": "asleep"},
        {"stage": "other"},
        {"slots": 0},
        {"slots": True},
    ):
        value = json.dumps({**valid, **change}).encode()
        assert servers.decode_server("i", value).is_err(), change
    for value in (b"null", b"7", b"\xff\xfe", b"{"):
        assert servers.decode_server("i", value).is_err()


def test_request_loses_hop_by_hop_headers_and_router_headers():
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
    forwarded_names = [name for name, _ in req.headers]
    assert forwarded_names == [
        "Host",
        "X-Request-Id",
        "X-Token-Count",
        "X-Length-Hint",
        "Accept",
        "Accept",
    ]
    assert callers.extract_key(headers) == "secret"


def test_caller_cannot_have_headers_removed_that_servers_need():
    # Guards against a server that refuses each such request, as it lacks an id. The
    # refusals made all hosts pause the server for the requests of other callers.
    headers = (
        ("Host", "h"),
        ("X-Request-Id", "r1"),
        ("X-Model", "m"),
        ("X-Token-Count", "1460,80"),
        ("X-Prompt-Prefix", "a:10,b:20"),
        ("X-Length-Hint", "40"),
    )
    options = [("Connection", name) for name, _ in headers]
    more = [("Connection", "X-Mine, keep-alive"), ("X-Mine", "1")]
    req = callers.decode_request(
        "POST", "/x", (*headers, *options, *more), b"", 0.0
    ).unwrap()
    assert req.headers == headers


def test_request_without_id_or_with_an_invalid_token_count_returns_an_err():
    assert callers.decode_request("GET", "/", (), b"", 0.0).is_err()
    headers = (("X-Request-Id", "r"), ("X-Token-Count", "many"))
    assert callers.decode_request("GET", "/", headers, b"", 0.0).is_err()


@pytest.mark.parametrize(
    "counts", ["-1,2", "1,-2", "-99999999999999999999999,1", "1,9999999999", "1_0,2"]
)
def test_token_counts_beyond_any_prompt_are_refused(counts):
    # Guards against sums that no message between hosts can carry. The entry actor
    # stopped at the first one.
    headers = (("X-Request-Id", "r"), ("X-Token-Count", counts))
    assert callers.decode_request("GET", "/", headers, b"", 0.0).is_err()


@pytest.mark.parametrize("wait_ms", ["inf", "1e300", "nan", "-1"])
def test_stated_wait_of_a_caller_is_finite(wait_ms):
    headers = (("X-Request-Id", "r"), ("X-Deadline-Ms", wait_ms))
    req = callers.decode_request("GET", "/", headers, b"", 0.0).unwrap()
    assert 0.0 <= req.caller_wait_s <= 86_400.0


def test_platform_settings_are_loaded():
    assert is_platform_settings(SETTINGS)
    assert not is_platform_settings('[host]\nname = "h"')
    settings, findings = load_platform_settings(SETTINGS, "node.toml")
    assert findings == []
    assert settings.name == "edge-a-1"
    assert settings.bounds.lease_s == 2.5
    assert settings.bounds.retry_slack == 58.0
    assert settings.seed_addresses == ("10.1.0.4:7500", "10.2.0.18:7500")


def test_all_findings_of_settings_are_returned_with_their_paths():
    text = SETTINGS.replace('front = "10.1.0.3:8360"', 'front = "nowhere"')
    text = text.replace("leaseMs = 2500", 'leaseMs = "soon"')
    text = text.replace('zone = "a"', "zone = 7")
    settings, findings = load_platform_settings(text, "node.toml")
    assert settings is None
    assert {(finding.file, finding.path) for finding in findings} == {
        ("node.toml", "listen.front"),
        ("node.toml", "bounds.leaseMs"),
        ("node.toml", "zone"),
    }


def test_cold_rates_and_times_are_decoded():
    services = [{"name": "desk", "coldStartS": 12, "coldPerS": 2.5}, {"name": "llm"}]
    data = json.dumps(make_configuration(services=services)).encode()
    desk, llm = decode_configuration(data).unwrap().services
    assert (desk.cold_start_s, desk.cold_per_s) == (12.0, 2.5)
    assert (llm.cold_start_s, llm.cold_per_s) == (0.0, 0.0)
    data = json.dumps(make_configuration(services=[{"name": "d", "coldPerS": -1}]))
    assert decode_configuration(data.encode()).is_err()


@pytest.mark.parametrize(
    "stated, seconds",
    [(2_500, 2.5), (0, 0.0), (None, 0.0), ("soon", 0.0), (True, 0.0), (-1, 0.0)],
)
def test_countdown_of_a_cold_server_is_no_change_of_its_entry(stated, seconds):
    entry = {"service": "desk", "address": "10.0.0.1:80", "zone": "a", "state": "ready"}
    without = servers.decode_server("s1", json.dumps(entry).encode()).unwrap()
    entry["coldRemainingMs"] = stated
    server = servers.decode_server("s1", json.dumps(entry).encode()).unwrap()
    assert server.cold_remaining_s == seconds
    assert server == without


def test_cold_bounds_are_off_unless_the_settings_name_them():
    bounds = load_platform_settings(SETTINGS, "x.toml")[0].bounds
    assert (bounds.cold_overshoot, bounds.cold_slack) == (None, None)
    text = SETTINGS.replace("graceS = 8", "coldOvershoot = 1.5\ncoldSlack = 5")
    bounds = load_platform_settings(text, "x.toml")[0].bounds
    assert (bounds.cold_overshoot, bounds.cold_slack) == (1.5, 5.0)


def test_limits_of_the_machine_give_the_bounds_and_invalid_ones_are_found():
    text = SETTINGS + "\n[limits]\nmemoryMb = 552\n[callerBounds]\n"
    text += "maxBodies = 7\nbodyTimeoutMs = 500\n"
    limits = load_platform_settings(text, "node.toml")[0].limits
    assert (limits.account_bytes, limits.max_bodies, limits.body_s) == (342e6, 7, 0.5)
    assert (limits.max_peer_bytes, limits.max_server_bytes) == (85_500_000, None)
    text = text.replace("maxBodies = 7", "maxServerBytes = 9\nmaxPeerBytes = 8")
    limits = load_platform_settings(text, "node.toml")[0].limits
    assert (limits.max_peer_bytes, limits.max_server_bytes) == (8, 9)
    text = text.replace("= 9", "= -1")
    findings = load_platform_settings(text, "node.toml")[1]
    assert [item.path for item in findings] == ["callerBounds.maxServerBytes"]
    text = SETTINGS + "\n[limits]\nmemoryMb = 0\nmaxFds = true\n"
    findings = load_platform_settings(text, "node.toml")[1]
    assert [item.path for item in findings] == ["limits.memoryMb", "limits.maxFds"]
