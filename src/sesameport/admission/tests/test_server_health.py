"""Test how call outcomes and probes affect the health of servers."""

from sesameport.admission import ServerHealth


def test_unreachable_server_is_paused_with_exponential_backoff():
    health = ServerHealth()
    health.record_unreachable("s", 0.0)
    assert health.is_paused("s", 0.4)
    assert not health.is_paused("s", 0.5)
    health.record_unreachable("s", 0.5)
    assert health.is_paused("s", 1.4)
    health.record_answer("s", failed=False)
    health.record_unreachable("s", 2.0)
    assert not health.is_paused("s", 2.6)


def test_answer_does_not_end_the_pause_of_a_role_change():
    health = ServerHealth()
    health.pause("s", 6.0, 0.0)
    health.record_answer("s", failed=False)
    assert health.is_paused("s", 5.0)


def test_pauses_apply_on_other_hosts_but_are_not_forwarded():
    reporter, other = ServerHealth(), ServerHealth()
    reporter.pause("s", 4.0, 0.0)
    other.apply_pauses("r", reporter.pauses(1.0), reporter.unreachable(1.0), 101.0)
    assert other.is_paused("s", 103.9)
    assert not other.is_paused("s", 104.1)
    # Forwarded pauses would circulate between hosts and never end.
    assert other.pauses(102.0) == {}


def test_single_refused_kv_cache_does_not_pause_a_server():
    health = ServerHealth()
    health.record_decode_refusal("s", 0.0)
    assert not health.is_paused("s", 0.0)
    health.record_decode_refusal("s", 0.1)
    assert health.is_paused("s", 0.2)


def test_failure_rate_raises_the_cost():
    health = ServerHealth()
    for _ in range(10):
        health.record_answer("bad", failed=True)
        health.record_answer("good", failed=False)
    assert health.cost_factor("bad") > 3 * health.cost_factor("good")
    health.remove_server("bad")
    assert health.cost_factor("bad") == 1.0


def test_unreachable_server_stays_paused_until_a_probe_connects():
    # When a data centre is cut off for seconds, every request sent there loses the
    # prefill that was already done for it.
    health = ServerHealth()
    health.record_unreachable("s", 0.0)
    assert health.probe_targets(0.1) == ["s"]
    for now in (0.4, 0.9, 1.4, 1.9):
        health.record_probe("s", False, now)
        assert health.is_paused("s", now + 0.9)
    health.record_probe("s", True, 2.4)
    assert not health.is_paused("s", 2.4)
    assert health.probe_targets(2.4) == []


def test_probe_does_not_end_the_pause_of_a_role_change():
    health = ServerHealth()
    health.pause("s", 6.0, 0.0)
    health.record_unreachable("s", 0.0)
    health.record_probe("s", True, 0.5)
    assert health.is_paused("s", 5.9)


def test_probe_results_are_not_shared_with_other_hosts():
    # Otherwise a host with a broken link pauses a healthy server on all hosts.
    health = ServerHealth()
    health.record_unreachable("s", 0.0)
    health.record_probe("s", False, 0.6)
    assert health.pauses(0.7) == {}


def test_server_reported_unreachable_is_probed_before_it_gets_a_request():
    health = ServerHealth()
    health.apply_pauses("r", {"s": 0.5}, ["s"], 0.0)
    assert health.probe_targets(0.1) == ["s"]
    health.record_probe("s", False, 0.3)
    assert health.is_paused("s", 1.0)


def test_server_that_changes_its_role_is_not_probed_by_other_hosts():
    # Guards against a number of probes that grows with the fleet: 77 hosts made 30,000
    # connections on a calm day while four engines changed their roles.
    reporter, other = ServerHealth(), ServerHealth()
    reporter.pause("changing", 20.0, 0.0)
    reporter.record_unreachable("gone", 0.0)
    other.apply_pauses("r", reporter.pauses(0.1), reporter.unreachable(0.1), 0.1)
    assert other.is_paused("changing", 5.0)
    assert reporter.probe_targets(0.1) == other.probe_targets(0.1) == ["gone"]


def test_timeouts_of_a_slow_host_do_not_pause_a_server_on_other_hosts():
    # In a fleet of 77 hosts, some have slow links. Timeouts of one slow host must not
    # pause healthy prefill engines on all hosts, which would then all probe them.
    slow, other = ServerHealth(), ServerHealth()
    slow.record_timeout("p", 0.0)
    assert slow.is_paused("p", 0.4)
    assert not slow.is_paused("p", 0.6)
    assert slow.pauses(0.1) == {}
    assert slow.unreachable(0.1) == []
    other.apply_pauses("r", slow.pauses(0.1), slow.unreachable(0.1), 0.1)
    assert not other.is_paused("p", 0.2)
    slow.record_timeout("p", 1.0)
    assert slow.is_paused("p", 1.9)


def test_report_of_one_host_starts_a_probe_but_no_pause():
    # A host whose own link is saturated reports every server as unreachable.
    health = ServerHealth()
    health.apply_pauses("choked", {"s": 2.0}, ["s"], 0.0)
    assert not health.is_paused("s", 0.1)
    assert health.probe_targets(0.1) == ["s"]
    health.apply_pauses("choked", {"s": 2.0}, ["s"], 0.1)
    assert not health.is_paused("s", 0.2)


def test_reports_of_two_hosts_pause_an_unreachable_server_until_one_ends():
    health = ServerHealth()
    health.apply_pauses("h1", {"s": 0.5}, ["s"], 0.0)
    health.apply_pauses("h2", {"s": 2.0}, ["s"], 0.0)
    assert health.is_paused("s", 0.4)
    assert not health.is_paused("s", 0.6)


def test_full_queue_pauses_a_server_briefly_and_on_this_host_only():
    # If every host avoids a server for as long as an unreachable one, its load fills
    # the queues of the other servers, and soon no server is left.
    health = ServerHealth()
    health.record_full_queue("s", 0.0)
    assert health.is_paused("s", 0.05)
    assert not health.is_paused("s", 0.2)
    assert health.pauses(0.05) == {}
