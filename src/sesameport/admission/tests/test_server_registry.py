"""Test which servers may be used while entries expire and are renewed."""

import random

import attrs
import pytest

from sesameport.admission import ServerRegistry
from sesameport.admission.tests.builders import server
from sesameport.domain import ServerState


def names(registry):
    return sorted(server.name for server in registry.live_servers("llm"))


def test_leaving_server_gets_no_new_work():
    registry = ServerRegistry()
    registry.put(server("a"))
    registry.put(server("a", state=ServerState.LEAVING))
    assert names(registry) == []


def test_missing_entry_removes_the_server_without_an_outage():
    registry = ServerRegistry()
    registry.replace([server("a"), server("b")], 0.0)
    registry.remove("a", 1.0)
    assert names(registry) == ["b"]
    registry.replace([], 2.0)
    assert names(registry) == []


def test_entries_that_expired_in_an_outage_are_kept_for_the_grace_period():
    registry = ServerRegistry()
    registry.replace([server("a"), server("b")], 0.0)
    registry.record_store_recovery(10.0)
    registry.replace([], 10.1)
    assert names(registry) == ["a", "b"]
    registry.put(server("a"))
    assert registry.expire(11.9) == []
    assert registry.expire(12.0) == ["b"]
    assert names(registry) == ["a"]


def test_leaving_server_has_no_grace_period():
    registry = ServerRegistry()
    registry.put(server("a", state=ServerState.LEAVING))
    registry.record_store_recovery(10.0)
    registry.remove("a", 10.1)
    assert registry.get("a") is None


def test_newer_server_replaces_an_older_one_at_the_same_address():
    # Otherwise requests are sent under the id of a crashed server, and its successor
    # at the same address rejects them.
    registry = ServerRegistry()
    registry.put(server("old", address="10.0.0.1:80", started_at_ms=1_000))
    registry.put(server("new", address="10.0.0.1:80", started_at_ms=9_000))
    assert names(registry) == ["new"]
    # An outdated listing does not restore the older server.
    registry.put(server("old", address="10.0.0.1:80", started_at_ms=1_000))
    assert names(registry) == ["new"]


def test_server_with_unknown_start_is_not_replaced_at_its_address():
    registry = ServerRegistry()
    registry.put(server("a", address="10.0.0.1:80"))
    registry.put(server("b", address="10.0.0.1:80", started_at_ms=9_000))
    assert names(registry) == ["a", "b"]


@pytest.mark.parametrize("seed", range(5))
def test_live_servers_match_all_entries_after_each_change(seed):
    # The servers of a service are kept between changes. Guards against a change of an
    # entry, also of its service or start, that leaves a server in use or hides one.
    rng, registry = random.Random(seed), ServerRegistry()

    def entry():
        return attrs.evolve(
            server(f"s{rng.randrange(6)}", state=rng.choice(list(ServerState))),
            service=rng.choice(("llm", "desk")),
            address=f"10.0.0.{rng.randrange(5)}:80",
            started_at_ms=rng.randrange(3),
        )

    for now in range(400):
        match rng.randrange(5):
            case 0 | 1:
                registry.put(entry())
            case 2:
                registry.remove(f"s{rng.randrange(6)}", now)
                registry.expire(now)
            case 3:
                registry.record_store_recovery(now)
            case 4:
                registry.replace([entry() for _ in range(4)], now)
        for service in ("llm", "desk"):
            assert list(registry.live_servers(service)) == [
                item
                for item in registry.all()
                if item.service == service and item.state == ServerState.LIVE
            ]


def test_entries_that_return_with_an_older_copy_are_in_doubt():
    # A server that had left got requests, because the copy still had its entry, or the
    # state before it announced that.
    registry = ServerRegistry()
    registry.replace([server("a"), server("b"), server("c"), server("d")], 0.0)
    registry.remove("a", 1.0)
    registry.put(server("b", state=ServerState.LEAVING))
    registry.remove("d", 2.0)
    registry.begin_era(3.0, 5.0)
    registry.replace(
        [server("a"), server("b"), server("c"), server("d", started_at_ms=9)], 3.1
    )
    assert names(registry) == ["c", "d"]
    registry.put(server("a"))
    registry.begin_era(6.0, 5.0)  # once more
    registry.replace([server("a"), server("b"), server("c")], 6.1)
    registry.remove("b", 7.0)
    registry.expire(8.0)
    assert registry.end_doubts(10.9) == []
    assert registry.end_doubts(11.0) == ["a"]
    assert names(registry) == ["a", "c"]
    registry.put(server("b"))
    assert names(registry) == ["a", "b", "c"]
