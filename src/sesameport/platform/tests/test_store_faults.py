"""Test hosts while the store is away, forgetful or holds odd entries."""

import threading
import time

from sesameport.platform.tests.conftest import configuration, wait_until


def test_host_without_configuration_answers_503_and_is_not_ready(world):
    world.store.fault = "down"
    host = world.start_host()
    time.sleep(0.3)
    assert not host.is_ready()
    assert world.call("/look/x").status == 503
    world.store.fault = ""
    wait_until(lambda: host.is_ready() and host.server_count() >= 3)
    assert world.call("/look/x").status == 200


def test_host_serves_on_while_the_store_is_away(world, host):
    world.store.fault = "reset"
    time.sleep(0.5)
    assert world.call("/look/x").status == 200
    world.store.fault = ""


def test_dropped_history_is_made_good_by_a_new_listing(world, host):
    world.store.forget_history()
    world.configure(9, routes=configuration()["routes"][:1])
    wait_until(lambda: host.version() == 9)


def test_leaving_replica_gets_no_work_at_once(world, host):
    entry = world.replicas["s1"].entry("desk", state="draining")
    world.store.put("servers", "s1", entry)
    wait_until(lambda: world.call("/look/x").status == 503, 1.0)


def test_odd_entries_name_no_replica_and_leave_the_others(world, host):
    odd = [
        None,
        "text",
        {},
        {"service": "desk"},
        {**world.replicas["s1"].entry("desk"), "address": 7},
        {**world.replicas["s1"].entry("desk"), "state": "asleep"},
        {**world.replicas["s1"].entry("desk"), "slots": "many"},
    ]
    for number, spec in enumerate(odd):
        world.store.put("servers", f"odd-{number}", spec)
    world.configure(2)
    wait_until(lambda: host.version() == 2)
    assert host.server_count() == 3
    assert world.call("/look/x").status == 200


def test_list_is_read_page_by_page(world):
    world.store.page = 1
    host = world.start_host()
    wait_until(lambda: host.is_ready() and host.server_count() >= 3)


def test_host_that_starts_during_an_outage_learns_from_its_seeds(world, host):
    world.store.fault = "down"
    other = world.start_host("h2", seed_addresses=(host.peer_address,))
    wait_until(lambda: other.version() == 1 and other.server_count() >= 3, 8.0)
    assert world.call("/look/x", host=other).status == 200
    world.store.fault = ""


def test_hosts_know_what_the_others_have_reserved(world, host):
    other = world.start_host("h2")
    wait_until(lambda: other.is_ready() and other.server_count() >= 3)
    wait_until(lambda: other.peer_count() == 1 and host.peer_count() == 1)
    world.replicas["d1"].pause_s = 0.25
    large = {"X-Token-Count": "9000,400"}
    threads = [
        threading.Thread(
            target=world.draft,
            kwargs={"request_id": f"k{number}", "headers": dict(large), "host": host},
        )
        for number in range(2)
    ]
    for thread in threads:
        thread.start()
        time.sleep(0.1)
    answer = world.draft(request_id="k9", headers=large, host=other)
    assert answer.status == 503
    for thread in threads:
        thread.join()


def test_registration_of_a_gone_host_is_deleted_and_no_other(world, host, monkeypatch):
    # Guards against registrations that pile up as hosts are replaced.
    monkeypatch.setattr("sesameport.entry.actor.HOST_EXPIRY_S", 1.5)
    world.start_host("h2")
    wait_until(lambda: host.peer_count() == 1)
    world.store.put("entry-hosts", "gone", {"address": "127.0.0.1:9"})
    time.sleep(1.0)
    host.delete_expired_hosts()
    assert world.store.spec("entry-hosts", "gone") is not None
    time.sleep(0.8)
    host.delete_expired_hosts()
    assert world.store.spec("entry-hosts", "gone") is None
    assert world.store.spec("entry-hosts", "h1") is not None
    assert world.store.spec("entry-hosts", "h2") is not None


def test_host_whose_registration_was_deleted_registers_again(world, host):
    wait_until(lambda: world.store.spec("entry-hosts", "h1") is not None)
    world.store.remove("entry-hosts", "h1")
    time.sleep(0.3)
    host.delete_expired_hosts()
    assert world.store.spec("entry-hosts", "h1") is not None


def test_server_that_leaves_right_after_a_host_started_gets_no_work(world, host):
    # Guards against taking the first contact with the store for the end of an outage
    # (hunt-ba50-7 of norrgrepp-port: work 2.1 s after the entry was removed).
    world.store.remove("servers", "s1")
    wait_until(lambda: world.call("/look/x").status == 503, 1.0)
