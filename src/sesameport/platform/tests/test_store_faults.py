"""Test hosts while the store is unreachable, compacted or holds invalid entries."""

import threading
import time

from sesameport.platform.tests.conftest import make_configuration, wait_until


def test_host_without_configuration_is_not_ready_and_returns_503(cluster):
    cluster.store.fault = "down"
    host = cluster.start_host()
    time.sleep(0.3)
    assert not host.is_ready()
    assert cluster.send_request("/look/x").status == 503
    cluster.store.fault = ""
    wait_until(lambda: host.is_ready() and host.server_count() >= 3)
    assert cluster.send_request("/look/x").status == 200


def test_host_serves_requests_while_the_store_is_unreachable(cluster, host):
    cluster.store.fault = "reset"
    time.sleep(0.5)
    assert cluster.send_request("/look/x").status == 200
    cluster.store.fault = ""


def test_host_lists_again_after_its_revision_was_compacted(cluster, host):
    cluster.store.compact_history()
    cluster.configure(9, routes=make_configuration()["routes"][:1])
    wait_until(lambda: host.configuration_version() == 9)


def test_draining_replica_gets_no_more_requests(cluster, host):
    registration = cluster.replicas["s1"].registration("desk", state="draining")
    cluster.store.put("servers", "s1", registration)
    wait_until(lambda: cluster.send_request("/look/x").status == 503, 1.0)


def test_invalid_registrations_are_skipped(cluster, host):
    invalid_specs = [
        None,
        "text",
        {},
        {"service": "desk"},
        {**cluster.replicas["s1"].registration("desk"), "address": 7},
        {**cluster.replicas["s1"].registration("desk"), "state": "asleep"},
        {**cluster.replicas["s1"].registration("desk"), "slots": "many"},
    ]
    for number, spec in enumerate(invalid_specs):
        cluster.store.put("servers", f"odd-{number}", spec)
    cluster.configure(2)
    wait_until(lambda: host.configuration_version() == 2)
    assert host.server_count() == 3
    assert cluster.send_request("/look/x").status == 200


def test_host_reads_all_pages_of_a_list(cluster):
    cluster.store.page_size = 1
    host = cluster.start_host()
    wait_until(lambda: host.is_ready() and host.server_count() >= 3)


def test_host_that_starts_during_a_store_outage_loads_state_from_its_seeds(
    cluster, host
):
    cluster.store.fault = "down"
    other = cluster.start_host("h2", seed_addresses=(host.peer_address,))
    wait_until(
        lambda: other.configuration_version() == 1 and other.server_count() >= 3, 8.0
    )
    assert cluster.send_request("/look/x", host=other).status == 200
    cluster.store.fault = ""


def test_hosts_account_for_kv_cache_reserved_by_remote_hosts(cluster, host):
    other = cluster.start_host("h2")
    wait_until(lambda: other.is_ready() and other.server_count() >= 3)
    wait_until(lambda: other.peer_count() == 1 and host.peer_count() == 1)
    cluster.replicas["d1"].pause_s = 0.25
    large_prompt = {"X-Token-Count": "9000,400"}
    threads = [
        threading.Thread(
            target=cluster.send_generation,
            kwargs={
                "request_id": f"k{number}",
                "headers": dict(large_prompt),
                "host": host,
            },
        )
        for number in range(2)
    ]
    for thread in threads:
        thread.start()
        time.sleep(0.1)
    response = cluster.send_generation(
        request_id="k9", headers=large_prompt, host=other
    )
    assert response.status == 503
    for thread in threads:
        thread.join()


def test_only_the_registration_of_an_expired_host_is_deleted(
    cluster, host, monkeypatch
):
    # Guards against registrations that accumulate as hosts are replaced.
    monkeypatch.setattr("sesameport.entry.host_addresses.HOST_EXPIRY_S", 1.5)
    cluster.start_host("h2")
    wait_until(lambda: host.peer_count() == 1)
    cluster.store.put("entry-hosts", "gone", {"address": "127.0.0.1:9"})
    host.delete_expired_hosts()
    time.sleep(1.0)
    host.delete_expired_hosts()
    assert cluster.store.spec("entry-hosts", "gone") is not None
    time.sleep(0.8)
    host.delete_expired_hosts()
    assert cluster.store.spec("entry-hosts", "gone") is None
    assert cluster.store.spec("entry-hosts", "h1") is not None
    assert cluster.store.spec("entry-hosts", "h2") is not None


def test_host_whose_registration_was_deleted_registers_again(cluster, host):
    wait_until(lambda: cluster.store.spec("entry-hosts", "h1") is not None)
    cluster.store.remove("entry-hosts", "h1")
    time.sleep(0.3)
    host.delete_expired_hosts()
    assert cluster.store.spec("entry-hosts", "h1") is not None


def test_server_removed_right_after_host_start_gets_no_requests(cluster, host):
    # Guards against treating a host's first successful store call as the end of an
    # outage. The host then still sent requests 2.1 s after the registration was
    # removed.
    cluster.store.remove("servers", "s1")
    wait_until(lambda: cluster.send_request("/look/x").status == 503, 1.0)


def test_hosts_find_each_other_whichever_starts_first(cluster):
    # A host lists the registrations once, so an earlier host learns of a later one by
    # its announcement.
    hosts = [cluster.start_host(f"h{n}") for n in range(1, 4)]
    wait_until(lambda: all(host.peer_count() == 2 for host in hosts))


def test_store_gets_two_calls_for_the_registration_of_a_host(cluster, monkeypatch):
    # Each call costs money. A watch of the registrations cost 195 hosts a call for each
    # host that started. The periodic listing starts at a random time of its period.
    monkeypatch.setattr("sesameport.entry.host_registration.CLEANUP_PERIOD_S", 3_600.0)
    hosts = [cluster.start_host(f"h{n}") for n in range(1, 6)]
    wait_until(lambda: all(host.peer_count() == 4 for host in hosts))
    calls = [path for _, path in cluster.store.calls if "/entry-hosts" in path]
    assert len(calls) == 2 * len(hosts)


def test_restarted_host_at_another_address_is_found(cluster, host):
    cluster.store.put("entry-hosts", "h2", {"address": "127.0.0.1:9"})
    other = cluster.start_host("h2")
    wait_until(lambda: other.peer_count() == 1 and host.peer_count() == 1)
    spec = cluster.store.spec("entry-hosts", "h2")
    assert spec == {"address": other.peer_address}
