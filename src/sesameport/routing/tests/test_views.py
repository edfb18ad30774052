"""Test the load view, the prefix cache view and the link view."""

from sesameport.domain import Link
from sesameport.interfaces import CacheEvent, CacheEvents
from sesameport.routing import CacheView, LinkView, LoadView, PairingPolicy
from sesameport.routing.tests.samples import document, pools, report

EVENTS = (
    CacheEvent(1, "a", True),
    CacheEvent(2, "ab", True),
    CacheEvent(3, "x", True),
)


def _load_view():
    loads = LoadView(PairingPolicy())
    loads.set_servers(pools(), {"draft-llm": document()})
    return loads


def test_own_dispatches_since_the_report_are_added():
    # Guards against overloading a server that has free slots in a stale report.
    loads = _load_view()
    loads.reserve_decode(1, "d0", 50, 10.0, 10.0)
    loads.start_decode(1, 10.0)
    loads.apply_report(report("d0", 5), 10.1)
    loads.reserve_decode(2, "d0", 50, 10.1, 10.1)
    assert loads.free_slots(loads.servers["d0"]) == 20 - 5 - 2


def test_own_request_included_in_the_report_is_not_counted_twice():
    # Guards against slots that stay idle because own requests are counted twice.
    loads = _load_view()
    loads.reserve_decode(1, "d0", 50, 9.0, 9.0)
    loads.start_decode(1, 9.0)
    loads.apply_report(report("d0", 5), 10.0)
    assert loads.free_slots(loads.servers["d0"]) == 15
    loads.end_decode(1, 10.1)
    assert loads.free_slots(loads.servers["d0"]) == 16


def test_older_report_is_ignored():
    # Guards against reports that arrive out of order.
    loads = _load_view()
    loads.apply_report(report("d0", 5), 10.0)
    loads.apply_report(report("d0", 19, age=1.0), 10.05)
    assert loads.servers["d0"].other_requests == 5


def test_prefill_backlog_counts_own_and_reported_work():
    loads = _load_view()
    loads.apply_report(report("p0", 0, tokens=16_000), 10.0)
    loads.reserve_prefill(1, "p0", 8_000, 10.0)
    backlog = loads.backlog_s(loads.servers["p0"], 10.0)
    assert round(backlog, 6) == 1.5 - 0.5 * 0.2
    loads.end_prefill(1, 10.0)
    loads.end_prefill(1, 10.0)
    assert loads.own_prefill_tokens("draft-llm") == 0


def test_second_release_has_no_effect():
    # Guards against counts that drift when a release is reported twice.
    loads = _load_view()
    loads.reserve_prefill(1, "p0", 100, 1.0)
    loads.reserve_decode(1, "d0", 50, 1.0, 1.0)
    for _ in range(2):
        loads.end_decode(1, 2.0)
        loads.end_prefill(1, 2.0)
        loads.remove_if_released(1)
    assert loads.open_count() == 0
    assert loads.free_slots(loads.servers["d0"]) == 20


def test_entries_are_uncertain_after_an_event_gap_until_confirmed():
    # Guards against evicting all entries of a server after one lost event.
    view = CacheView()
    view.apply_events(CacheEvents("p0", EVENTS, 3))
    assert view.cached_tokens("p0", ("a", "ab")) == 2_048
    view.apply_events(CacheEvents("p0", (CacheEvent(9, "y", True),), 9))
    assert view.cached_tokens("p0", ("a", "ab")) == 1_024
    view.confirm("p0", ("a",))
    assert view.cached_tokens("p0", ("a", "ab")) == 1_536


def test_old_and_duplicate_events_are_ignored():
    view = CacheView()
    view.apply_events(CacheEvents("p0", EVENTS, 3))
    view.apply_events(CacheEvents("p0", (CacheEvent(2, "ab", False),), 3))
    assert view.cached_tokens("p0", ("a", "ab")) == 2_048


def test_cache_view_is_bounded():
    # Guards against memory that grows with the number of prompts.
    view = CacheView(max_entries_per_server=10, max_prefixes=15)
    for name in ("p0", "p1"):
        view.confirm(name, [f"{name}-{i}" for i in range(100)])
    assert view.entry_count() <= 20
    assert len(view._servers_by_prefix) <= 15
    view.remove_server("p1")
    assert view.servers_with_prefix(("p1-99",), 2) == []


def test_transfer_slows_the_link_until_it_ends_or_expires():
    # Guards against a rate that stays low if the end of a transfer is never reported.
    links = LinkView(assumed_peers=1)
    links.set_links([Link("a", "b", 1e9)])
    assert links.transfer_s("a", "b", 1e9, 0.0) == 1.0
    links.begin_transfer(1, "a", "b", 1e9, 0.0)
    assert links.transfer_s("a", "b", 1e9, 0.0) == 2.0
    links.end_transfer(1)
    links.begin_transfer(2, "a", "b", 1e9, 0.0)
    assert links.transfer_s("a", "b", 1e9, 5.0) == 1.0
    assert links.open_count(5.0) == 0
