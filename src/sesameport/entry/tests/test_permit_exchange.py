"""Test that hosts keep to a limit together while messages between them are cut."""

import random

import pytest

from sesameport.admission import ColdServers, FleetUse, RequestLimits, ServerNotices
from sesameport.domain import ServerRole
from sesameport.entry import messages as m
from sesameport.entry.permit_exchange import PermitExchange
from sesameport.entry.server_notices import ServerNotice
from sesameport.entry.servers import EntryServer

SERVER = EntryServer("s1", "desk", "1.2.3.4:80", "a", ServerRole.PLAIN, slots=8)
LIMIT, WINDOW_S = 4.0, 4.0
EXPIRY_S = 3.0


class Fleet:
    """Run the exchanges of several hosts in virtual time with delayed messages.

    Hosts hear those with the same number in ``sides`` and forget others after the time
    in which the reports of a host expire.
    """

    def __init__(self, hosts, lost=0.0, seed=1):
        self.rng = random.Random(seed)
        self.lost = lost
        self.names = [f"h{n}" for n in range(hosts)]
        self.sides = dict.fromkeys(self.names, 0)
        self.heard = {name: dict.fromkeys(self.names, 0.0) for name in self.names}
        self.now, self.sent, self._messages = 0.0, [], []
        self.uses = {name: FleetUse() for name in self.names}
        self.exchanges = {name: self._start(name) for name in self.names}
        self.waiting = dict.fromkeys(self.names, 0)

    def _start(self, name):
        notices = ServerNotices()
        notices.record(SERVER.name, 0, ServerNotice(LIMIT), 0.0)
        exchange = PermitExchange(
            name,
            RequestLimits(notices, ColdServers()),
            self.uses[name],
            lambda message: self._publish(name, message),
            lambda at: None,
            random.Random(name),
        )
        exchange.set_fleet(len(self.names), True)
        return exchange

    def _publish(self, name, message):
        if self.rng.random() >= self.lost:
            self._messages.append((self.now + 0.02, name, message))

    def run(self, until, demand):
        """Let the hosts together get ``demand`` requests per second."""
        while self.now < until:
            self.now += 0.02
            self._exchange_reports()
            self._deliver()
            for name in self.names:
                if self.rng.random() < 0.02 * demand / len(self.names):
                    self.waiting[name] = min(8, self.waiting[name] + 1)
                exchange = self.exchanges[name]
                while self.waiting[name] and exchange.may_send("s1", self.now):
                    exchange.take("s1", self.now)
                    self.waiting[name] -= 1
                    self.sent.append(self.now)
                exchange.ask([SERVER], self.waiting[name], self.now)

    def _exchange_reports(self):
        for name in self.names:
            for other in self.names:
                if other == name:
                    continue
                if self.sides[other] == self.sides[name]:
                    self.uses[name].apply_report(other, {}, self.now)
            self.uses[name].expire(self.now, EXPIRY_S)

    def _deliver(self):
        due = [item for item in self._messages if item[0] <= self.now]
        self._messages = [item for item in self._messages if item[0] > self.now]
        for _, sender, message in due:
            if self.sides[sender] != self.sides[message.to_host]:
                continue
            exchange = self.exchanges[message.to_host]
            if isinstance(message, m.PermitRequest):
                exchange.handle_request(message, self.now)
            else:
                exchange.handle_reply(message, self.now)

    def most_in_window(self, since=0.0):
        times = [at for at in self.sent if at >= since]
        return max(sum(at <= other < at + WINDOW_S for other in times) for at in times)


ALLOWED = 1.5 * WINDOW_S * LIMIT + 5


@pytest.mark.parametrize("lost", [0.0, 0.3])
def test_limit_holds_and_is_used_while_messages_are_lost(lost):
    fleet = Fleet(9, lost)
    fleet.run(30.0, demand=40.0)
    assert fleet.most_in_window() <= ALLOWED
    assert len(fleet.sent) >= 0.5 * 30.0 * LIMIT


@pytest.mark.parametrize("cut_off", [1, 3, 4])
def test_both_sides_of_a_cut_keep_to_the_limit_together(cut_off):
    fleet = Fleet(9)
    fleet.run(10.0, demand=40.0)
    for name in fleet.names[:cut_off]:
        fleet.sides[name] = 1
    fleet.run(25.0, demand=40.0)
    assert fleet.most_in_window(10.0) <= ALLOWED
    fleet.sides = dict.fromkeys(fleet.names, 0)
    fleet.run(40.0, demand=40.0)
    assert fleet.most_in_window(25.0) <= ALLOWED


def test_limit_holds_while_each_host_hears_itself_only():
    fleet = Fleet(9)
    fleet.sides = {name: number for number, name in enumerate(fleet.names)}
    fleet.run(30.0, demand=40.0)
    assert fleet.most_in_window() <= ALLOWED


def test_host_that_does_not_know_the_fleet_issues_nothing_after_its_start():
    notices = ServerNotices()
    notices.record(SERVER.name, 0, ServerNotice(LIMIT), 0.0)
    exchange = PermitExchange(
        "h1",
        RequestLimits(notices, ColdServers()),
        FleetUse(),
        print,
        print,
        random.Random(1),
        started_at=0.0,
    )
    for now in (0.1, 1.0, 2.9):
        exchange.ask([SERVER], 1, now)
        assert not exchange.may_send("s1", now + 0.05)
    exchange.ask([SERVER], 1, 4.0)
    assert exchange.may_send("s1", 4.3)
