"""Check the quarantine of requests that crash backend servers."""

from sesameport.routing.quarantine import PoisonNotice, Quarantine, QuarantineConfig


def crashed_twice():
    quarantine = Quarantine("h1.i")
    for number, now in ((1, 0.0), (2, 10.0)):
        quarantine.started(f"d{number}", f"a{number}", "poison")
        quarantine.server_lost(f"d{number}", f"a{number}", "poison", now)
    return quarantine


def test_two_crashes_refuse_and_expire():
    """Guard against one request that crashes every server of a data centre."""
    quarantine = crashed_twice()
    assert quarantine.verdict("poison", 11.0).refused
    assert not quarantine.verdict("poison", 10.0 + 3_600.0).refused
    assert quarantine.count() == 0


def test_one_crash_is_counted_once():
    """Guard against a refusal after a single crash that several streams report."""
    quarantine = Quarantine("h1.i")
    for attempt in ("a1", "a2"):
        quarantine.started("d1", attempt, f"digest-{attempt}")
    quarantine.server_lost("d1", "a1", "digest-a1", 0.0)
    notices = quarantine.server_lost("d1", "a2", "digest-a2", 0.5)
    other = Quarantine("h2.i")
    other.server_lost("d1", "b1", "digest-a2", 0.1)
    for notice in notices * 2:
        other.take_notice(notice, 0.6)
        other.take_notice(notice, 60.0)
    for view in (quarantine, other):
        verdict = view.verdict("digest-a2", 61.0)
        assert verdict.suspect and not verdict.refused


def test_bystander_is_cleared_when_it_completes():
    """Guard against a wrongful refusal of requests beside a poison request."""
    quarantine = Quarantine("h1.i")
    quarantine.started("d1", "a1", "poison")
    quarantine.started("d1", "a2", "good")
    quarantine.server_lost("d1", "a1", "poison", 0.0)
    assert quarantine.verdict("good", 0.1).suspect
    assert quarantine.completed("good") == [PoisonNotice("good")]
    assert not quarantine.verdict("good", 0.2).suspect
    assert quarantine.verdict("poison", 0.2).suspect


def test_suspects_run_on_separate_servers():
    """Guard against two suspects that share the blame for the next crash."""
    quarantine = Quarantine("h1.i")
    quarantine.started("d1", "a1", "poison")
    quarantine.started("d1", "a2", "good")
    quarantine.server_lost("d1", "a1", "poison", 0.0)
    quarantine.started("d2", "a3", "poison")
    assert quarantine.verdict("good", 0.1).avoid == {"d2"}
    quarantine.ended("d2", "a3")
    assert quarantine.verdict("good", 0.1).avoid == frozenset()


def test_other_hosts_refuse_as_well():
    """Guard against a caller that sends the poison request to the next host."""
    other = Quarantine("h2.i")
    other.take_notice(PoisonNotice("poison", "d1", "h1.i#1", 0.0), 5.0)
    other.take_notice(PoisonNotice("poison", "d2", "h1.i#2", 0.0), 9.0)
    assert other.verdict("poison", 10.0).refused
    other.take_notice(PoisonNotice("poison"), 11.0)
    assert other.verdict("poison", 12.0).refused


def test_memory_is_bounded():
    """Guard against a host that fills its memory with digests."""
    quarantine = Quarantine("h1.i", QuarantineConfig(max_digests=10, max_in_flight=3))
    for number in range(100):
        quarantine.started("d1", f"a{number}", f"x{number}")
        quarantine.server_lost(f"s{number}", "a", f"x{number}", float(number))
    assert quarantine.count() == 10
    assert len(quarantine._crashes) <= 10
