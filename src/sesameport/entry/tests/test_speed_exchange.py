"""Test what hosts learn of servers and tell each other, without a network."""

import random

import attrs
import pytest

from sesameport.admission import KeptPrefixes, Placement, SpeedMeasure, prefix_parts
from sesameport.domain import ServerRole
from sesameport.entry import messages as m
from sesameport.entry.admission_controller import AdmissionController
from sesameport.entry.learned_servers import LearnedServers
from sesameport.entry.report_codec import (
    decode_prefixes,
    decode_speeds,
    encode_prefixes,
    encode_speeds,
)
from sesameport.entry.servers import EntryServer
from sesameport.entry.settings import EntrySettings
from sesameport.entry.speed_exchange import SpeedExchange
from sesameport.telemetry.metrics import ENTRY_METRICS, Metrics

PARTS = prefix_parts(["a1", "b2"], [1_500, 500])


class Host:
    """Run the exchange of one host and keep the bytes that it sends."""

    def __init__(self, servers):
        settings = EntrySettings("h", "a", "127.0.0.1", "", "", 0, "")
        self.learned, self.sent = LearnedServers("a"), []
        self.admission = AdmissionController(
            settings, lambda now: None, lambda at: None, learned=self.learned
        )
        for server in servers:
            self.admission.registry.put(server)
        metrics = Metrics("h", "a", ENTRY_METRICS)
        self.exchange = SpeedExchange(
            self.learned, self.admission, self.send, metrics, random.Random(1)
        )

    def send(self, message):
        is_speed = isinstance(message, m.SpeedReports)
        encode = encode_speeds if is_speed else encode_prefixes
        self.sent.append((is_speed, encode(message)))

    def receive(self, sent, now):
        for is_speed, data in sent:
            decode = decode_speeds if is_speed else decode_prefixes
            self.run(decode(data).unwrap(), now)

    def run(self, message, now):
        self.exchange.handlers()[type(message)](message, now)


def backend(name, centre="a", role=ServerRole.PLAIN, started_at_ms=1_774_955_166_620):
    fields = {"slots": 4, "started_at_ms": started_at_ms}
    return EntryServer(name, "desk", f"{name}:1", centre, role, **fields)


def test_a_host_learns_of_a_slow_server_that_it_never_called():
    servers = [backend(f"s{n}") for n in range(6)]
    host, other = Host(servers), Host(servers)
    rng = random.Random(3)
    for step in range(600):
        now = step / 10
        for server in servers:
            slow = 2.5 if server.name == "s4" else 1.0
            seconds = slow * rng.lognormvariate(-2.0, 0.2)
            host.run(m.RunEnded(plain=server, seconds=seconds, succeeded=True), now)
        if step % 5 == 0:
            host.exchange.repeat(9, False, now)
    other.receive(host.sent, 60.0)
    assert other.learned.plain_factors("desk", 60.0)["s4"] == pytest.approx(2.5, 0.2)
    other.exchange.repeat(9, False, 61.0)
    rendered = other.exchange._metrics.render().decode()
    assert 'sesameport_entry_unequal_servers{data_centre="a",host="h"} 1' in rendered


def test_failed_runs_and_calls_to_other_data_centres_are_no_samples():
    # A server that fails at once is not fast, and the network is not the server.
    host = Host([backend("s0"), backend("s1", "b")])
    for _ in range(20):
        host.run(m.RunEnded(plain=backend("s0"), seconds=0.001), 1.0)
        far = m.RunEnded(plain=backend("s1", "b"), seconds=0.5, succeeded=True)
        host.run(far, 1.0)
    assert host.learned.speeds.typical_s("desk", SpeedMeasure.PLAIN, 1.0) == 0.0


def test_bytes_to_a_host_are_bounded_in_the_largest_fleet():
    # 340 hosts with 600 servers that all differ, over links of 5 Mbit/s.
    servers = [backend(f"i-2d5c2212e{n:03}") for n in range(600)]
    host, rng, hosts = Host(servers), random.Random(4), 340
    for number in range(KeptPrefixes().max_kept // 10):
        parts = prefix_parts([f"{number % 300:x}"], [500])
        host.learned.prefixes.record_request(parts)
        host.learned.prefixes.record_held(servers[number % 600], parts, 0.0)
    for step in range(300):
        for server in rng.sample(servers, 20):
            seconds = rng.choice([0.1, 0.4])
            ended = m.RunEnded(plain=server, seconds=seconds, succeeded=True)
            host.run(ended, float(step))
        host.exchange.repeat(hosts, step % 100 == 0, float(step))
    sizes = [len(data) for _, data in host.sent]
    assert max(sizes) < 1_000
    received_per_s = hosts * sum(sizes) / 300
    assert received_per_s < 40_000
    print(f"{received_per_s:.0f} bytes/s, {sum(sizes) / len(sizes):.0f} bytes each")


def test_cached_parts_follow_the_runs_of_a_request():
    prefill = backend("p1", role=ServerRole.PREFILL)
    decode = backend("d1", role=ServerRole.DECODE)
    host, other = Host([prefill, decode]), Host([prefill, decode])
    placement = Placement(decode, prefill, 4_000, 3_000, prefix=PARTS)

    def held(at_host, now):
        kept = at_host.learned.prefixes
        return kept.expected_tokens(PARTS, lambda name: 20_000, now)

    for second in range(4):
        now = float(second)
        host.learned.prefixes.record_request(PARTS)
        host.run(m.PrefillEnded(placement, 0.1, False), now)
        assert bool(held(host, now)) == (second > 0)
        host.run(m.PrefillEnded(placement, 0.1, True), now)
        host.run(m.RunEnded(placement, seconds=3.0, succeeded=True), now)
        host.exchange.repeat(9, False, now)
    # Of 500 tokens that others may have too, operators see which were expected.
    expected = attrs.evolve(placement, cached_tokens=400.0, prefix=PARTS[::-1])
    host.run(m.PrefillEnded(expected, 0.1, True), 4.0)
    counted = host.exchange._metrics.render().decode()
    assert 'expected="cached",host="h"} 400' in counted
    assert 'expected="prefilled",host="h"} 6100' in counted
    assert held(host, 4.0) == pytest.approx({"p1": 2_000, "d1": 2_000}, rel=0.02)
    other.receive(host.sent, 4.0)
    assert held(other, 4.0) == pytest.approx({"p1": 1_800, "d1": 1_800}, rel=0.02)
    # A restarted engine has nothing, and what others say of its earlier start is old.
    restarted = attrs.evolve(prefill, started_at_ms=1_774_955_999_000)
    other.admission.registry.put(restarted)
    other.learned.begin_incarnation(restarted)
    other.receive(host.sent, 5.0)
    assert list(held(other, 5.0)) == ["d1"]
