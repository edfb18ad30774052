"""Test that hosts keep to the rate of a cold server together, in virtual time."""

import random

import attrs
import hypothesis.strategies as st
import pykka
import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from sesameport.admission import (
    ColdBounds,
    ColdServers,
    FleetUse,
    GenerationRequest,
    RequestLimits,
    ServerNotices,
    ServerRegistry,
    choose_issuer,
)
from sesameport.domain import ServerRole
from sesameport.entry import messages as m
from sesameport.entry.admission_controller import AdmissionController
from sesameport.entry.cold_exchange import ColdExchange
from sesameport.entry.configuration import (
    EngineProfile,
    EntryConfiguration,
    EntryService,
)
from sesameport.entry.issue_shares import SETTLING_S, IssueShares
from sesameport.entry.permit_exchange import PermitExchange
from sesameport.entry.server_notices import ServerNotice
from sesameport.entry.servers import EntryServer
from sesameport.entry.settings import EntrySettings
from sesameport.telemetry.metrics import ENTRY_METRICS, Metrics

SERVER = EntryServer("s1", "desk", "1.2.3.4:80", "a", ServerRole.PLAIN, slots=8)
OVERSHOOT, SLACK, WINDOW_S = 1.5, 5.0, 1.0
STEP_S, LATENCY_S = 0.02, 0.02
REPORT_S, EXPIRY_S, TICK_S = 1.0, 3.0, 0.5
"""Times of the entry actor: interval and expiry of reports, and its period."""


class ColdFleet:
    """Run the permit exchanges of hosts before one server that is cold all the time.

    Hosts with the same number in ``sides`` reach each other. A message takes up to
    ``delay_s`` longer, each report up to a second longer.
    """

    def __init__(self, hosts, rate, seed=1):
        self.rng = random.Random(seed)
        self.rate, self.now, self.delay_s = rate, 0.0, 0.0
        self.names = [f"h{n}" for n in range(hosts)]
        self.sides = dict.fromkeys(self.names, 0)
        self.phases = {name: self.rng.random() for name in self.names}
        self.exchanges, self.uses, self.waiting = {}, {}, {}
        self.sent, self._messages = [], []
        for name in self.names:
            self.start(name)

    def start(self, name):
        """Start a host that knows the fleet but has heard nobody yet."""
        cold = ColdServers(ColdBounds(OVERSHOOT, SLACK))
        cold.configure([EntryService("desk", None, 600.0, self.rate)])
        cold.track("s1", "desk", 1)
        cold.assume_started("s1", self.now)
        self.uses[name] = FleetUse()
        self.exchanges[name] = PermitExchange(
            name,
            RequestLimits(ServerNotices(), cold),
            self.uses[name],
            lambda message: self._post(name, message),
            lambda at: None,
            random.Random(f"{name} {self.now}"),
            self.now,
        )
        self.exchanges[name].set_fleet(len(self.names), True)
        self.waiting[name] = 0

    def kill(self, name):
        """Stop a host; its reports and messages end."""
        self.exchanges.pop(name, None)

    def run(self, seconds, demand):
        """Let the running hosts together get ``demand`` requests per second."""
        until = self.now + seconds
        while self.now < until:
            self.now = round(self.now + STEP_S, 2)
            self._send_reports()
            self._deliver()
            for name, exchange in self.exchanges.items():
                if self.rng.random() < STEP_S * demand / len(self.exchanges):
                    self.waiting[name] = min(20, self.waiting[name] + 1)
                while self.waiting[name] and exchange.may_send("s1", self.now):
                    exchange.take("s1", self.now)
                    self.waiting[name] -= 1
                    self.sent.append(self.now)
                if self.waiting[name]:
                    exchange.ask_limited(["s1"], self.waiting[name], self.now)

    def most_in_window(self, since=0.0):
        times = [at for at in self.sent if at >= since]
        most, first = 0, 0
        for number, at in enumerate(times):
            while times[first] <= at - WINDOW_S:
                first += 1
            most = max(most, number - first + 1)
        return most

    def allowed(self):
        return self.rate * OVERSHOOT + SLACK

    def _send_reports(self):
        for name in self.exchanges:
            if (self.now + self.phases[name]) % REPORT_S < STEP_S:
                for other in self.names:
                    if other != name:
                        self._post(name, (name, other), min(1.0, self.delay_s))
            if (self.now + self.phases[name]) % TICK_S < STEP_S:
                self.uses[name].expire(self.now, EXPIRY_S)
                self.exchanges[name].expire(self.now)

    def _post(self, sender, message, delay_s=None):
        delay_s = self.delay_s if delay_s is None else delay_s
        at = self.now + LATENCY_S + self.rng.random() * delay_s
        self._messages.append((at, sender, message))

    def _deliver(self):
        due = [item for item in self._messages if item[0] <= self.now]
        self._messages = [item for item in self._messages if item[0] > self.now]
        for _, sender, message in due:
            is_report = isinstance(message, tuple)
            receiver = message[1] if is_report else message.to_host
            exchange = self.exchanges.get(receiver)
            if exchange is None or self.sides[sender] != self.sides[receiver]:
                continue
            if is_report:
                self.uses[receiver].apply_report(sender, {}, self.now)
            elif isinstance(message, m.PermitRequest):
                exchange.handle_request(message, self.now)
            else:
                exchange.handle_reply(message, self.now)


class ColdRateMachine(RuleBasedStateMachine):
    """Start, cut off, kill and restart hosts, and delay their messages."""

    @initialize(
        hosts=st.integers(1, 5),
        rate=st.sampled_from([0.5, 2.0, 10.0, 40.0]),
        seed=st.integers(0, 9),
    )
    def begin(self, hosts, rate, seed):
        self.fleet = ColdFleet(hosts, rate, seed)

    @rule(
        seconds=st.sampled_from([0.3, 1.0, 4.0]), load=st.sampled_from([0.0, 0.5, 9.0])
    )
    def run(self, seconds, load):
        self.fleet.run(seconds, load * self.fleet.rate)

    @rule(sides=st.lists(st.integers(0, 2), min_size=5, max_size=5))
    def cut(self, sides):
        self.fleet.sides = dict(zip(self.fleet.names, sides, strict=False))

    @rule()
    def heal(self):
        self.fleet.sides = dict.fromkeys(self.fleet.names, 0)

    @rule(number=st.integers(0, 4))
    def kill_or_start(self, number):
        name = self.fleet.names[number % len(self.fleet.names)]
        if name in self.fleet.exchanges and len(self.fleet.exchanges) > 1:
            self.fleet.kill(name)
        else:
            self.fleet.start(name)

    @rule(delay_s=st.sampled_from([0.0, 0.2, 2.0]))
    def delay(self, delay_s):
        self.fleet.delay_s = delay_s

    @invariant()
    def no_second_has_more_than_the_bound(self):
        if hasattr(self, "fleet"):
            assert self.fleet.most_in_window() <= self.fleet.allowed()


TestColdRate = ColdRateMachine.TestCase
TestColdRate.settings = settings(
    max_examples=25,
    stateful_step_count=20,
    deadline=None,
    derandomize=True,
    phases=[Phase.generate],  # shrinking takes longer than the time limit of a test
    suppress_health_check=[HealthCheck.too_slow],
)


@pytest.mark.parametrize("rate", [1.0, 5.0, 30.0])
def test_cold_rate_is_used_by_hosts_in_contact(rate):
    # Guards against a whole data centre that returns cold and stalls its service.
    fleet = ColdFleet(9, rate)
    fleet.run(6.0, 0.0)
    fleet.run(20.0, 4.0 * rate)
    assert len(fleet.sent) >= 0.7 * 20.0 * rate
    assert fleet.most_in_window() <= fleet.allowed()


def test_other_host_issues_after_the_issuer_has_stopped():
    fleet = ColdFleet(9, 10.0)
    fleet.run(6.0, 0.0)
    fleet.run(3.0, 40.0)
    fleet.kill(choose_issuer("s1", fleet.names))
    fleet.run(EXPIRY_S + 1.5, 40.0)
    killed_at = fleet.now - EXPIRY_S - 1.5
    after = [at for at in fleet.sent if at > killed_at + EXPIRY_S]
    assert after and after[0] - killed_at <= EXPIRY_S + 1.5
    fleet.run(5.0, 40.0)
    recent = [at for at in fleet.sent if at > fleet.now - 1.5]
    assert len(recent) >= 0.7 * 1.5 * 10.0 * 8 / 9


@pytest.mark.parametrize("cut_off", [1, 4, 8])
def test_both_sides_of_a_cut_issue_their_parts(cut_off):
    # Guards against an issuer that still issues the whole rate beside a new one.
    for seed in range(4):
        fleet = ColdFleet(9, 40.0, seed)
        issuer = choose_issuer("s1", fleet.names)
        others = [name for name in fleet.names if name != issuer]
        fleet.run(6.0, 400.0)
        fleet.sides.update(dict.fromkeys([issuer, *others[: cut_off - 1]], 1))
        fleet.run(10.0, 400.0)
        assert len([at for at in fleet.sent if at > 12.0]) >= 0.7 * 4.0 * 40.0
        fleet.sides = dict.fromkeys(fleet.names, 0)
        fleet.run(6.0, 400.0)
        assert fleet.most_in_window() <= fleet.allowed()


def test_late_reply_to_an_earlier_request_gives_no_permit():
    # Guards against permits that several hosts get late, all at the same time.
    fleet = ColdFleet(2, 10.0)
    issuer = choose_issuer("s1", fleet.names)
    asked = [name for name in fleet.names if name != issuer][0]
    fleet.run(6.0, 0.0)
    fleet.delay_s = 100.0
    fleet.exchanges[asked].ask_limited(["s1"], 1, fleet.now)
    first = fleet._messages[-1][2]
    fleet.exchanges[asked].ask_limited(["s1"], 1, fleet.now + 0.5)
    second = fleet._messages[-1][2]
    for request, has_permit in ((first, False), (second, True)):
        reply = m.PermitReply(asked, "s1", (0.0,), 0.0, 0.0, request.ask_id)
        fleet.exchanges[asked].handle_reply(reply, fleet.now + 0.6)
        assert fleet.exchanges[asked].may_send("s1", fleet.now + 0.6) == has_permit
    # A permit ends within its lifetime at the issuer, however late the reply came.
    assert not fleet.exchanges[asked].may_send("s1", fleet.now + 0.5 + 0.25)


def test_share_that_has_just_grown_is_not_issued_in_full():
    # Guards against two issuers that issue the whole rate while hosts disagree.
    shares = IssueShares("h1")
    shares.record(["h1"], 2, 0.0)
    shares.record(["h1"], 1, 10.0)
    early = ColdBounds(OVERSHOOT, SLACK).early_share()
    assert shares.share_of("s1", 11.0).allowed(early) < 0.5 + 0.5 * 0.3
    assert shares.share_of("s1", 10.0 + SETTLING_S).allowed(early) == 1.0
    shares.record(["h1"], 4, 20.0)
    assert shares.share_of("s1", 20.0).allowed(early) == 0.25
    shares.record(["h1"], 0, 30.0)  # the fleet is not known
    assert shares.share_of("s1", 40.0).allowed(early) == 0.0


def test_snapshot_has_the_cold_time_that_is_left():
    # Guards against a cold time that begins anew with each snapshot of an old entry.
    registry, cold = ServerRegistry(), ColdServers(ColdBounds(OVERSHOOT, SLACK))
    cold.configure([EntryService("desk", None, 15.0, 2.0)])
    exchange = ColdExchange(
        registry,
        cold,
        lambda _: None,
        lambda _: None,
        Metrics("h", "a", ENTRY_METRICS),
        0,
    )
    server = attrs.evolve(SERVER, cold_remaining_s=4.0)
    exchange.record_entry(server, 10.0)
    registry.put(server)
    assert exchange.current_entries(13.0)[0].cold_remaining_s == pytest.approx(1.0)
    assert exchange.current_entries(15.0)[0].cold_remaining_s == 0.0
    assert exchange.current_entries(13.0) == (SERVER,)


@pytest.mark.parametrize("is_stated", [False, True])
def test_request_does_not_wait_for_cold_servers_while_others_have_room(is_stated):
    # Guards against latency by permits, also where cold servers state limits as well.
    cold = ColdServers(ColdBounds(OVERSHOOT, SLACK))
    limits = RequestLimits(ServerNotices(), cold)
    services = [EntryService("desk", None, 600.0, 2.0)]
    services.append(EntryService("llm", EngineProfile(8, 30_000), 600.0, 2.0))
    cold.configure(services)
    asked = []
    host = AdmissionController(
        EntrySettings("h1", "a", "127.0.0.1", "", "", 0, ""),
        lambda now: None,
        lambda at: None,
        limits=limits,
        publish=asked.append,
    )
    host.configuration = EntryConfiguration(1, services=tuple(services))
    host.use.apply_report("h2", {}, 0.0)
    roles = [("desk", ServerRole.PLAIN), ("llm", ServerRole.PREFILL)]
    for service, role in [*roles, ("llm", ServerRole.DECODE)]:
        for name in ("cold", "warm"):
            server = EntryServer(f"{role}-{name}", service, "", "a", role, slots=4)
            host.registry.put(server)
            cold.track(server.name, service, 1)
            if name == "cold":
                cold.assume_started(server.name, 0.0)
                if is_stated:
                    notice = ServerNotice(limit_per_s=5.0)
                    limits.notices.record(server.name, 1, notice, 0.0)
    for number in range(4):
        reply = host.admit_plain(m.AdmitPlain("r", "desk", "w", 0.0), 1.0)
        assert reply.plain.name.endswith("warm")
        generation = GenerationRequest("llm", "a", 3_000, 700)
        future = pykka.ThreadingFuture()
        host.admit_generation(
            m.AdmitGeneration(
                number, "r", generation, "w", 0.0, 2.0, 4.0, False, 1, future
            ),
            1.0,
        )
        placement = future.get(timeout=0).placement
        assert placement.decode.name.endswith("warm")
        assert placement.prefill.name.endswith("warm")
    assert asked == []
