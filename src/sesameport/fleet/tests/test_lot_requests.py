"""Test which host gets a lot request while the pool owner is unknown."""

import random

from sesameport.fleet.lot_requests import LotRequests
from sesameport.fleet.share_limits import ShareSettings


def lot_requests(*candidates):
    return LotRequests("llm", ShareSettings(), random.Random(1), candidates)


def test_redirect_to_an_owner_that_is_no_candidate_is_followed_after_empty_answers():
    # Guards against a host that never reaches the owner. While a fleet starts, the
    # candidates know no owner, and the first host that acquires the lease may no longer
    # be a candidate when the other hosts have joined.
    requests = lot_requests("a", "b")
    for _ in range(20):
        requests.update_owner(requests.likely_owner(), False, "")
    requests.update_owner(requests.likely_owner(), False, "c")
    assert requests.likely_owner() == "c"
    assert requests.is_owner_reachable()


def test_hosts_that_redirect_to_each_other_do_not_hide_the_owner():
    redirects = {"x": "y", "y": "x", "a": "x"}
    requests = lot_requests("a", "b")
    requests.owner = "x"
    for _ in range(30):
        host = requests.likely_owner()
        if host == "b":
            return
        requests.update_owner(host, False, redirects[host])
    raise AssertionError("the candidate that owns the pool got no request")


def test_unanswered_requests_move_on_to_the_next_candidate():
    requests = lot_requests("a", "b")
    tried = []
    for _ in range(4):
        tried.append(requests.likely_owner())
        requests.record_owner_failure()
    assert tried == ["a", "b", "a", "b"]
