"""Test the quarantine of requests that crash backend servers."""

from sesameport.routing.quarantine import PoisonNotice, Quarantine, QuarantineConfig


def start_attempt(quarantine, server, attempt_id, digest, now):
    quarantine.record_server_answer(server, now)
    quarantine.record_attempt_start(server, attempt_id, digest, now)


def quarantine_after_two_crashes():
    quarantine = Quarantine("h1.i")
    for number, now in ((1, 0.0), (2, 10.0)):
        start_attempt(quarantine, f"d{number}", f"a{number}", "poison", 0.0)
        quarantine.record_server_loss(f"d{number}", f"a{number}", now)
    return quarantine


def test_request_is_refused_after_two_crashes_until_it_expires():
    """Guard against one request that crashes every server of a data centre."""
    quarantine = quarantine_after_two_crashes()
    assert quarantine.status("poison", 11.0).refused
    assert not quarantine.status("poison", 10.0 + 3_600.0).refused
    assert quarantine.digest_count() == 0


def test_one_crash_is_counted_once():
    """Guard against a refusal after a single crash that several requests report."""
    quarantine = Quarantine("h1.i")
    for attempt in ("a1", "a2"):
        start_attempt(quarantine, "d1", attempt, f"digest-{attempt}", 0.0)
    notices = quarantine.record_server_loss("d1", "a1", 0.0)
    assert {notice.digest for notice in notices} == {"digest-a1", "digest-a2"}
    assert quarantine.record_server_loss("d1", "a2", 0.5) == []
    start_attempt(quarantine, "d1", "a4", "digest-a2", 0.6)
    quarantine.record_server_loss("d1", "a4", 0.7)
    other = Quarantine("h2.i")
    start_attempt(other, "d1", "b1", "digest-a2", 0.0)
    other.record_server_loss("d1", "b1", 0.1)
    for notice in notices * 2:
        other.handle_notice(notice, 0.6)
        other.handle_notice(notice, 60.0)
    for view in (quarantine, other):
        status = view.status("digest-a2", 61.0)
        assert status.suspect and not status.refused


def test_bystander_is_cleared_when_it_completes():
    """Guard against refusing a request that only shared a server with a poison one."""
    quarantine = Quarantine("h1.i")
    start_attempt(quarantine, "d1", "a1", "poison", 0.0)
    start_attempt(quarantine, "d1", "a2", "good", 0.0)
    quarantine.record_server_loss("d1", "a1", 0.0)
    assert quarantine.status("good", 0.1).suspect
    assert quarantine.record_completion("good") == [PoisonNotice("good")]
    assert not quarantine.status("good", 0.2).suspect
    assert quarantine.status("poison", 0.2).suspect


def test_suspects_run_on_separate_servers():
    """Guard against a next crash that cannot be attributed to one of two suspects."""
    quarantine = Quarantine("h1.i")
    start_attempt(quarantine, "d1", "a1", "poison", 0.0)
    start_attempt(quarantine, "d1", "a2", "good", 0.0)
    quarantine.record_server_loss("d1", "a1", 0.0)
    start_attempt(quarantine, "d2", "a3", "poison", 0.0)
    assert quarantine.status("good", 0.1).avoid == {"d2"}
    quarantine.record_attempt_end("d2", "a3")
    assert quarantine.status("good", 0.1).avoid == frozenset()


def test_other_hosts_refuse_after_notices():
    """Guard against a caller that sends the poison request to another host."""
    other = Quarantine("h2.i")
    other.handle_notice(PoisonNotice("poison", "d1", "h1.i#1", 0.0), 5.0)
    other.handle_notice(PoisonNotice("poison", "d2", "h1.i#2", 0.0), 9.0)
    assert other.status("poison", 10.0).refused
    other.handle_notice(PoisonNotice("poison"), 11.0)
    assert other.status("poison", 12.0).refused


def test_loss_of_a_server_that_was_already_down_is_no_evidence():
    """Guard against refusing requests that were sent to servers already down."""
    quarantine = Quarantine("h1.i")
    for server in ("d1", "d2"):
        quarantine.record_server_answer(server, 0.0)
        quarantine.record_attempt_start(server, "a", "good", 1.5)
        assert quarantine.record_server_loss(server, "a", 1.6) == []
    assert not quarantine.status("good", 1.7).suspect
    quarantine.record_attempt_start("never-seen", "a", "good", 1.6)
    assert quarantine.record_server_loss("never-seen", "a", 1.6) == []
    quarantine.record_server_answer("d1", 2.0)
    quarantine.record_attempt_start("d1", "b", "good", 2.5)
    assert quarantine.record_server_loss("d1", "b", 2.6)


def test_memory_is_bounded():
    """Guard against memory that grows with the number of crashes and requests."""
    quarantine = Quarantine("h1.i", QuarantineConfig(max_digests=10, max_in_flight=3))
    for number in range(100):
        for attempt in range(20):
            start_attempt(quarantine, "d1", f"a{number}.{attempt}", "bystander", 0.0)
        start_attempt(quarantine, f"s{number}", "a", f"x{number}", 0.0)
        quarantine.record_server_loss(f"s{number}", "a", float(number))
    assert quarantine.digest_count() == 10
    assert len(quarantine._last_crash_by_server) <= 10
    assert len(quarantine._in_flight["d1"]) == 3
