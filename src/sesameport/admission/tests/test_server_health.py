"""Test how call outcomes and probes affect the health of servers."""

from sesameport.admission import ServerHealth


def test_unreachable_server_is_paused_with_exponential_backoff():
    health = ServerHealth()
    health.note_unreachable("s", 0.0)
    assert health.is_paused("s", 0.4)
    assert not health.is_paused("s", 0.5)
    health.note_unreachable("s", 0.5)
    assert health.is_paused("s", 1.4)
    health.note_answered("s", failed=False)
    health.note_unreachable("s", 2.0)
    assert not health.is_paused("s", 2.6)


def test_answer_does_not_end_the_pause_of_a_role_change():
    health = ServerHealth()
    health.pause("s", 6.0, 0.0)
    health.note_answered("s", failed=False)
    assert health.is_paused("s", 5.0)


def test_pauses_apply_on_other_hosts_but_are_not_forwarded():
    reporter, other = ServerHealth(), ServerHealth()
    reporter.pause("s", 4.0, 0.0)
    other.take_pauses(reporter.pauses(1.0), reporter.unreachable(1.0), 101.0)
    assert other.is_paused("s", 103.9)
    assert not other.is_paused("s", 104.1)
    # Forwarded pauses would circulate between hosts and never end.
    assert other.pauses(102.0) == {}


def test_single_refused_kv_cache_does_not_pause_a_server():
    health = ServerHealth()
    health.note_decode_refused("s", 0.0)
    assert not health.is_paused("s", 0.0)
    health.note_decode_refused("s", 0.1)
    assert health.is_paused("s", 0.2)


def test_failure_rate_raises_the_cost():
    health = ServerHealth()
    for _ in range(10):
        health.note_answered("bad", failed=True)
        health.note_answered("good", failed=False)
    assert health.cost_factor("bad") > 3 * health.cost_factor("good")
    health.forget("bad")
    assert health.cost_factor("bad") == 1.0


def test_unreachable_server_stays_paused_until_a_probe_connects():
    # When a data centre is cut off for seconds, every request sent there loses the
    # prefill that was already done for it.
    health = ServerHealth()
    health.note_unreachable("s", 0.0)
    assert health.suspects(0.1) == ["s"]
    for now in (0.4, 0.9, 1.4, 1.9):
        health.note_probe("s", False, now)
        assert health.is_paused("s", now + 0.9)
    health.note_probe("s", True, 2.4)
    assert not health.is_paused("s", 2.4)
    assert health.suspects(2.4) == []


def test_probe_does_not_end_the_pause_of_a_role_change():
    health = ServerHealth()
    health.pause("s", 6.0, 0.0)
    health.note_unreachable("s", 0.0)
    health.note_probe("s", True, 0.5)
    assert health.is_paused("s", 5.9)


def test_probe_results_are_not_shared_with_other_hosts():
    # Otherwise a host with a broken link pauses a healthy server on all hosts.
    health = ServerHealth()
    health.note_unreachable("s", 0.0)
    health.note_probe("s", False, 0.6)
    assert health.pauses(0.7) == {}


def test_server_reported_unreachable_is_probed_before_it_gets_a_request():
    health = ServerHealth()
    health.take_pauses({"s": 0.5}, ["s"], 0.0)
    assert health.suspects(0.1) == ["s"]
    health.note_probe("s", False, 0.3)
    assert health.is_paused("s", 1.0)


def test_server_that_changes_its_role_is_not_probed_by_other_hosts():
    # Guards against a number of probes that grows with the fleet: 77 hosts made 30,000
    # connections on a calm day while four engines changed their roles.
    reporter, other = ServerHealth(), ServerHealth()
    reporter.pause("changing", 20.0, 0.0)
    reporter.note_unreachable("gone", 0.0)
    other.take_pauses(reporter.pauses(0.1), reporter.unreachable(0.1), 0.1)
    assert other.is_paused("changing", 5.0)
    assert reporter.suspects(0.1) == other.suspects(0.1) == ["gone"]


def test_timeouts_of_a_slow_host_do_not_pause_a_server_on_other_hosts():
    # In a fleet of 77 hosts, some have slow links. Timeouts of one slow host must not
    # pause healthy prefill engines on all hosts, which would then all probe them.
    slow, other = ServerHealth(), ServerHealth()
    slow.note_silent("p", 0.0)
    assert slow.is_paused("p", 0.4)
    assert not slow.is_paused("p", 0.6)
    assert slow.pauses(0.1) == {}
    assert slow.unreachable(0.1) == []
    other.take_pauses(slow.pauses(0.1), slow.unreachable(0.1), 0.1)
    assert not other.is_paused("p", 0.2)
    slow.note_silent("p", 1.0)
    assert slow.is_paused("p", 1.9)
