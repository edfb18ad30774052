"""Check requests from a caller through prefill, KV transfer and decode."""

import concurrent.futures
import json
import socket
import time

import pytest
import urllib3

from sesameport.commands.status import fetch_status
from sesameport.daemon.tests.callers import (
    WORKSPACE_KEY,
    parse_stream,
    send_completion,
    send_post,
)
from sesameport.standins import demo_key, expected_tokens

MAX_ATTEMPTS = 20
RETRY_PAUSE_S = 1.0
"""Each request adds a tenth of a retry to a host's budget, so 20 callers that
retry every second add two retries per second."""


def wait_until(condition, timeout_s=10.0):
    deadline = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < deadline, "condition not reached"
        time.sleep(0.02)


def list_holds(deployment):
    return [
        hold for engine in deployment.engines.values() for hold in engine.list_holds()
    ]


def test_response_has_usage_and_request_id(fleet):
    _, daemons = fleet
    response = send_completion(daemons[0], "Grade hide 12", 5)
    assert response.status == 200
    body = response.json()
    assert body["choices"][0]["text"] == "".join(expected_tokens("Grade hide 12", 5))
    assert body["usage"]["completion_tokens"] == 5
    assert response.headers["X-Request-Id"].startswith("rajkot-a-1.")


def test_stream_ends_with_done_event(fleet):
    _, daemons = fleet
    texts, is_done = parse_stream(
        send_completion(daemons[1], "Grade hide 13", 7, stream=True)
    )
    assert texts == expected_tokens("Grade hide 13", 7)
    assert is_done


def test_stream_reports_requested_usage(fleet):
    _, daemons = fleet
    options = {"stream_options": {"include_usage": True}}
    response = send_completion(daemons[0], "Grade hide 15", 4, stream=True, **options)
    events = [
        json.loads(line[6:])
        for line in response.data.split(b"\n")
        if line.startswith(b"data: {")
    ]
    assert events[-1]["choices"] == []
    assert events[-1]["usage"]["completion_tokens"] == 4
    assert all(event["usage"] is None for event in events[:-1])


def test_invalid_stream_options_are_refused(fleet):
    _, daemons = fleet
    for options in ({"include_usage": 1}, [], {"include_usage": "yes"}):
        response = send_completion(daemons[0], "a", stream=True, stream_options=options)
        assert response.status == 400
        assert "stream_options" in response.json()["error"]["message"]
    # stream_options without a stream are invalid.
    options = {"include_usage": True}
    assert send_completion(daemons[0], "a", stream_options=options).status == 400


def test_model_list_requires_a_valid_key(fleet):
    # Guard against a list of models and adapters that needs no key.
    _, daemons = fleet
    url = f"http://{daemons[0].http.address}/v1/models"
    for key, status in ((WORKSPACE_KEY, 200), ("", 401), ("sk-wrong", 401)):
        headers = {"Authorization": f"Bearer {key}"} if key else {}
        response = urllib3.request("GET", url, headers=headers, retries=False)
        assert response.status == status
    assert response.json()["error"]["code"] == "unknown-key"


def test_chat_completion_returns_a_message(fleet):
    _, daemons = fleet
    body = {
        "model": "assessor:goatskin",
        "messages": [{"role": "user", "content": "Grade hide 14"}],
        "max_tokens": 3,
    }
    response = send_post(daemons[2], "/v1/chat/completions", body)
    expected = "".join(expected_tokens("user: Grade hide 14", 3))
    assert response.json()["choices"][0]["message"]["content"] == expected


def test_concurrent_callers_get_their_own_responses(fleet):
    """Guard against responses that reach the connection of another request (I5).

    On an overloaded machine the KV handles of the simulated engines expire, and a host
    may refuse requests because its retry budget is used up. A refused caller retries,
    and every caller must get its own complete response.
    """
    deployment, daemons = fleet

    def send_with_retries(i, prompt):
        for _ in range(MAX_ATTEMPTS):
            response = send_completion(
                daemons[i % 3], prompt, 6 + i % 5, stream=bool(i % 2)
            )
            if b"the retry budget is used up" not in response.data:
                break
            if response.status == 200:
                assert not parse_stream(response)[1]  # must not end with [DONE]
            else:
                assert response.status == 502
                assert response.json()["execution"] in ("may-have-run", "ran")
            time.sleep(RETRY_PAUSE_S)
        return response

    def call(i):
        prompt = f"Note {i} " * (i * 7 + 1)
        response = send_with_retries(i, prompt)
        assert response.status == 200, response.data
        if i % 2:
            return parse_stream(response) == (expected_tokens(prompt, 6 + i % 5), True)
        text = response.json()["choices"][0]["text"]
        return text == "".join(expected_tokens(prompt, 6 + i % 5))

    with concurrent.futures.ThreadPoolExecutor(24) as pool:
        assert all(pool.map(call, range(60)))
    wait_until(lambda: not list_holds(deployment))


@pytest.mark.parametrize(
    "body, key, status, slug",
    [
        (b"{", WORKSPACE_KEY, 400, "bad-request"),
        (b"[]", WORKSPACE_KEY, 400, "bad-request"),
        (
            {"model": "assessor", "prompt": "a", "max_tokens": 0},
            WORKSPACE_KEY,
            400,
            "bad-request",
        ),
        ({"model": "other", "prompt": "a"}, WORKSPACE_KEY, 404, "unknown-model"),
        ({"model": "assessor", "prompt": "a"}, "", 401, "unknown-key"),
        ({"model": "assessor", "prompt": "a"}, "sk-wrong", 401, "unknown-key"),
        (
            {"model": "assessor", "prompt": "a"},
            demo_key("dhol-makers"),
            401,
            "unknown-key",
        ),
        (
            {"model": "assessor", "prompt": "abcd" * 32_001},
            WORKSPACE_KEY,
            413,
            "prompt-too-long",
        ),
        (b"x" * 4_000_001, WORKSPACE_KEY, 413, "body-too-large"),
    ],
)
def test_bad_input_is_refused_as_not_run(fleet, body, key, status, slug):
    """Guard against invalid input that runs and refusals without a stable type."""
    deployment, daemons = fleet
    runs = sum(len(engine.runs) for engine in deployment.engines.values())
    response = send_post(daemons[0], "/v1/completions", body, key)
    assert response.status == status
    assert response.headers["Content-Type"] == "application/problem+json"
    problem = response.json()
    assert problem["type"] == f"urn:sesameport:{slug}"
    assert problem["execution"] == "not-run"
    # OpenAI clients show the reason from error.message.
    assert problem["error"]["message"]
    assert problem["error"]["code"] == slug
    assert sum(len(engine.runs) for engine in deployment.engines.values()) == runs


def test_incomplete_body_is_refused(fleet):
    """Guard against a client that keeps a thread busy by sending part of a body."""
    _, daemons = fleet
    host, _, port = daemons[0].http.address.rpartition(":")
    with socket.create_connection((host, int(port))) as conn:
        conn.sendall(
            b"POST /v1/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n{"
        )
        conn.shutdown(socket.SHUT_WR)
        conn.settimeout(5.0)
        response = conn.recv(65_536)
    assert b" 400 " in response.split(b"\r\n")[0]


def test_disconnected_caller_releases_all_holds(fleet):
    """Guard against engine memory held by requests that no longer exist (I1)."""
    deployment, daemons = fleet
    url = f"http://{daemons[0].http.address}/v1/completions"
    body = {"model": "assessor", "prompt": "Long", "max_tokens": 2000, "stream": True}
    response = urllib3.request(
        "POST",
        url,
        body=json.dumps(body).encode(),
        headers={"Authorization": f"Bearer {WORKSPACE_KEY}"},
        preload_content=False,
    )
    next(iter(response))
    assert list_holds(deployment)
    response.close()
    wait_until(lambda: not list_holds(deployment))


def test_key_is_not_forwarded_to_backend_servers(fleet):
    """Guard against a key that is forwarded to a backend server (I3)."""
    deployment, daemons = fleet
    assert send_completion(daemons[0], "a").status == 200
    url = f"http://{daemons[0].http.address}/stock/hide"
    headers = {"Authorization": f"Bearer {demo_key('dhol-makers')}"}
    response = urllib3.request("GET", url, headers=headers)
    assert response.json()["free"] == 7
    for server in (*deployment.engines.values(), *deployment.plain_servers.values()):
        assert "authorization" not in server.seen_headers


def test_plain_routes_check_methods_and_keys(fleet):
    _, daemons = fleet
    url = f"http://{daemons[0].http.address}"
    assert urllib3.request("DELETE", f"{url}/orders").status == 405
    assert urllib3.request("GET", f"{url}/nothing").status == 404
    assert urllib3.request("GET", f"{url}/stock/hide").status == 401


def test_status_shows_documents_members_leases_and_shares(fleet):
    """Guard against a status page without the data that operators need."""
    _, daemons = fleet
    send_completion(daemons[0], "Status", 2)
    addresses = [daemon.status_http.address for daemon in daemons]
    statuses, missing = fetch_status(addresses)
    assert not missing
    assert {status.host for status in statuses} == {d.cfg.host.name for d in daemons}
    for status in statuses:
        assert {doc.name for doc in status.documents} == {"assessor-llm", "order-desk"}
        assert {share.workspace for share in status.shares} >= {"tannery-north"}
    holders = {
        lease.holder
        for status in statuses
        for lease in status.leases
        if lease.name == "rate-share assessor-llm.guj-west"
    }
    assert len(holders) == 1
