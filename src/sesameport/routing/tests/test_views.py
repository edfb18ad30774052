"""Check the load view, the prefix cache view and the link shares."""

from sesameport.interfaces import CacheEvent, CacheEvents
from sesameport.routing import CacheView, LinkShares, LoadView, PairingPolicy
from sesameport.routing.tests.samples import document, pools, report
from sesameport.world import Link

EVENTS = (
    CacheEvent(1, "a", True),
    CacheEvent(2, "ab", True),
    CacheEvent(3, "x", True),
)


def _loads():
    loads = LoadView(PairingPolicy())
    loads.set_servers(pools(), {"draft-llm": document()})
    return loads


def test_own_dispatches_since_a_report_are_added():
    # Guards against sending to a server that a stale report shows as free.
    loads = _loads()
    loads.place_decode(1, "d0", 50, 10.0, 10.0)
    loads.start_decode(1, 10.0)
    loads.report(report("d0", 5), 10.1)
    loads.place_decode(2, "d0", 50, 10.1, 10.1)
    assert loads.free_slots(loads.servers["d0"]) == 20 - 5 - 2


def test_a_request_in_the_report_is_not_counted_twice():
    # Guards against slots that stay idle because own requests count twice.
    loads = _loads()
    loads.place_decode(1, "d0", 50, 9.0, 9.0)
    loads.start_decode(1, 9.0)
    loads.report(report("d0", 5), 10.0)
    assert loads.free_slots(loads.servers["d0"]) == 15
    loads.end_decode(1, 10.1)
    assert loads.free_slots(loads.servers["d0"]) == 16


def test_an_older_report_changes_nothing():
    # Guards against reordered reports.
    loads = _loads()
    loads.report(report("d0", 5), 10.0)
    loads.report(report("d0", 19, age=1.0), 10.05)
    assert loads.servers["d0"].others == 5


def test_prefill_backlog_counts_own_and_reported_work():
    loads = _loads()
    loads.report(report("p0", 0, tokens=16_000), 10.0)
    loads.place_prefill(1, "p0", 8_000, 10.0)
    backlog = loads.backlog_s(loads.servers["p0"], 10.0)
    assert round(backlog, 6) == 1.5 - 0.5 * 0.2
    loads.end_prefill(1, 10.0)
    loads.end_prefill(1, 10.0)
    assert loads.own_prefill_tokens("draft-llm") == 0


def test_releases_may_be_repeated_and_leave_nothing():
    # Guards against counts that drift when a release is reported twice.
    loads = _loads()
    loads.place_prefill(1, "p0", 100, 1.0)
    loads.place_decode(1, "d0", 50, 1.0, 1.0)
    for _ in range(2):
        loads.end_decode(1, 2.0)
        loads.end_prefill(1, 2.0)
        loads.forget(1)
    assert loads.open_count() == 0
    assert loads.free_slots(loads.servers["d0"]) == 20


def test_a_gap_makes_entries_uncertain_until_confirmed():
    # Guards against dropping a whole cache for one lost event.
    view = CacheView()
    view.take(CacheEvents("p0", EVENTS, 3))
    assert view.cached_tokens("p0", ("a", "ab")) == 2_048
    view.take(CacheEvents("p0", (CacheEvent(9, "y", True),), 9))
    assert view.cached_tokens("p0", ("a", "ab")) == 1_024
    view.confirm("p0", ("a",))
    assert view.cached_tokens("p0", ("a", "ab")) == 1_536


def test_late_and_repeated_events_change_nothing():
    view = CacheView()
    view.take(CacheEvents("p0", EVENTS, 3))
    view.take(CacheEvents("p0", (CacheEvent(2, "ab", False),), 3))
    assert view.cached_tokens("p0", ("a", "ab")) == 2_048


def test_the_cache_view_is_bounded():
    # Guards against memory that grows with the number of prompts.
    view = CacheView(max_entries_per_server=10, max_prefixes=15)
    for name in ("p0", "p1"):
        view.confirm(name, [f"{name}-{i}" for i in range(100)])
    assert view.size() <= 20
    assert len(view._holders) <= 15
    view.forget("p1")
    assert view.holders(("p1-99",), 2) == []


def test_a_link_in_use_is_expected_slower_and_recovers():
    # Guards against a share that is lost for good when no end is reported.
    links = LinkShares(assumed_peers=1)
    links.set_links([Link("a", "b", 1e9)])
    assert links.transfer_s("a", "b", 1e9, 0.0) == 1.0
    links.begin(1, "a", "b", 1e9, 0.0)
    assert links.transfer_s("a", "b", 1e9, 0.0) == 2.0
    links.end(1)
    links.begin(2, "a", "b", 1e9, 0.0)
    assert links.transfer_s("a", "b", 1e9, 5.0) == 1.0
    assert links.open_count(5.0) == 0
