"""Test which hosts are known after listings and announcements."""

from sesameport.entry.host_addresses import ANNOUNCEMENT_LIFETIME_S, HostAddresses

LISTED = {"own": "10.0.0.1:7500", "h1": "10.0.0.2:7500"}


def test_host_that_announced_itself_is_kept_although_a_listing_lacks_it():
    addresses = HostAddresses("own")
    assert addresses.announce("h2", "10.0.0.3:7500", 0.0)
    addresses.replace(LISTED, 1.0)
    assert addresses.others() == ["h1", "h2"]
    addresses.replace(LISTED, ANNOUNCEMENT_LIFETIME_S + 1.0)
    assert addresses.others() == ["h1"]


def test_restarted_host_at_another_address_replaces_the_old_one():
    addresses = HostAddresses("own")
    addresses.replace(LISTED, 0.0)
    assert not addresses.announce("h1", "10.0.0.2:7500", 1.0)
    assert addresses.announce("h1", "10.0.0.9:7500", 2.0)
    seeds = ("10.0.0.1:7500", "10.0.0.7:7500")
    assert addresses.connections(seeds) == {
        "10.0.0.1:7500",
        "10.0.0.7:7500",
        "10.0.0.9:7500",
    }


def test_only_a_host_without_reports_expires():
    addresses = HostAddresses("own")
    addresses.replace(LISTED, 0.0)
    addresses.announce("h2", "10.0.0.3:7500", 0.0)
    addresses.record_report("h1", 500.0)
    assert addresses.expired(599.0) == ()
    assert addresses.expired(601.0) == ("h2",)
