"""Test that spoiled answers of prefills neither fail requests nor lose engines."""

import concurrent.futures
import json

import pytest

from sesameport.platform.tests.conftest import wait_until

GOOD = {"kvHandle": "a1", "tokens": 1_000, "version": 1}
SPOILED = {
    "nested": b"[" * 2_000,
    "list": b"[]",
    "empty": b"",
    "no text": b'{"kvHandle": "\\ud800", "tokens": 1, "version": 1}',
    "line break": {**GOOD, "kvHandle": "a1\r\nX-Tenant: other"},
    "beyond ascii": {**GOOD, "kvHandle": "h\u4e2dndle"},
    "space": {**GOOD, "kvHandle": "a1 b2"},
    "no handle": {**GOOD, "kvHandle": ""},
    "object": {**GOOD, "kvHandle": {"id": "a1"}},
    "number": {**GOOD, "tokens": "1e999"},
}
EACH = 6
"""Number of spoiled answers of each prefill engine."""


@pytest.mark.parametrize("spoiled", SPOILED)
def test_engines_with_spoiled_prefills_are_used_again(cluster, spoiled):
    # Six answers nested 2,000 deep took an engine out of use at all hosts for good: the
    # reservation of the prompt was never released (review/13). A handle that can't
    # stand in a header failed its request, although other engines were free.
    body = SPOILED[spoiled]
    body = body if isinstance(body, bytes) else json.dumps(body).encode()
    cluster.add_replica("p2", "llm", "prefill")
    cluster.add_replica("d2", "llm", "decode")
    for name in ("h1", "h2"):
        cluster.start_host(name)
    wait_until(lambda: all(host.server_count() >= 5 for host in cluster.hosts))
    wait_until(lambda: all(host.peer_count() == 1 for host in cluster.hosts))
    engines = [cluster.replicas["p1"], cluster.replicas["p2"]]
    for engine in engines:
        engine.prefill_s = 0.12  # 4,000 tokens at the usual speed

    def send(number):
        return cluster.send_generation(
            "draft",
            headers={"X-Token-Count": "4000,400"},
            request_id=f"q{number}",
            host=cluster.hosts[number % 2],
        ).status

    for number in range(EACH):
        for engine in engines:
            engine.prefill_bodies = [body]
        assert send(number) == 200
    for engine in engines:
        engine.prefill_bodies = []
    before = [len(engine.received_requests) for engine in engines]

    def both_are_used():
        with concurrent.futures.ThreadPoolExecutor(6) as pool:
            assert set(pool.map(send, range(100, 106))) == {200}
        after = [len(engine.received_requests) for engine in engines]
        return all(a > b for a, b in zip(after, before, strict=True))

    wait_until(both_are_used, 10.0)
