"""Test that hosts know what the others took from the pool of retries."""

from sesameport.admission import FleetUse, WindowedRetryBudget
from sesameport.entry.report_codec import decode_retries, encode_retries
from sesameport.entry.retry_exchange import RetryExchange


class Host:
    """Run the exchange of one host and deliver its reports encoded."""

    def __init__(self, name, fleet):
        self.use = FleetUse()
        self.budget = WindowedRetryBudget(0.0, 10.0, 200.0, hosts=100)
        self.exchange = RetryExchange(name, self.budget, self.use, self._publish)
        self._fleet = fleet

    def _publish(self, message):
        message = decode_retries(encode_retries(message)).unwrap()
        for other in self._fleet:
            if other is not self:
                other.exchange.apply(message, 1.0)


def start_hosts(count):
    fleet = []
    fleet.extend(Host(f"h{number}", fleet) for number in range(count))
    for host in fleet:
        for number in range(99):
            host.use.apply_report(f"p{number}", {}, 0.0)
        host.exchange.repeat(100, False, 0.0)
    return fleet


def test_hosts_together_use_the_pool_up_once():
    # Guards against each host using the whole pool because reports do not arrive.
    fleet = start_hosts(4)
    taken = sum(host.budget.spend("llm", 1.0) for host in fleet for _ in range(60))
    # Each host has less than one retry of its own; 0.66 of the pool of 120 is used.
    assert taken == 79


def test_retries_return_to_the_pool_after_the_window():
    # Guards against a pool that stays used up at the hosts that took nothing.
    first, second = start_hosts(2)
    while first.budget.spend("llm", 1.0):
        pass
    assert not second.budget.spend("llm", 2.0)
    first.exchange.repeat(100, False, 11.5)
    assert second.budget.spend("llm", 11.5)


def test_new_host_learns_what_others_took():
    # Guards against a host that has just started and uses the pool a second time.
    first, second = start_hosts(2)
    while first.budget.spend("llm", 1.0):
        pass
    second.budget.pool.apply_report("h0", {}, 1.0)
    first.exchange.repeat(100, True, 1.5)
    assert not second.budget.spend("llm", 2.0)


def test_lost_report_is_repeated():
    # Guards against a host that uses the pool up again after a lost message.
    first, second = start_hosts(2)
    while first.budget.spend("llm", 1.0):
        pass
    second.budget.pool.apply_report("h0", {}, 1.0)
    first.exchange.repeat(100, False, 4.0)
    assert not second.budget.spend("llm", 4.5)
