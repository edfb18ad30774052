"""Check the order of waiting."""

from hypothesis import given, settings
from hypothesis import strategies as st

from sesameport.routing import WaitingOrder
from sesameport.routing.tests.samples import request
from sesameport.world import Execution, RefusalType


def _order(**bounds):
    return WaitingOrder(
        bounds.get("max_waiting", 400), bounds.get("per_workspace", 200)
    )


def _offer(order, req, now=0.0, slack=20.0):
    return order.offer(req, req.arrived + slack, now)


def _serve(order, now=0.0):
    order.due(now)
    for entry in order.heads(1):
        order.take(entry, now)
        return entry.req.request_id
    return None


def test_urgent_goes_before_patient():
    order = _order()
    _offer(order, request(1))
    _offer(order, request(2, urgent=True), slack=1.3)
    assert [_serve(order), _serve(order), _serve(order)] == ["mora-2", "mora-1", None]


def test_an_aged_patient_request_is_not_starved():
    # Guards against a stream of urgent requests that holds a patient one back.
    order = _order()
    _offer(order, request(0, workspace="falun"))
    for i in range(1, 40):
        _offer(order, request(i, urgent=True, now=float(i)), float(i), slack=1.3)
        if _serve(order, float(i)) == "falun-0":
            break
    assert i == 15


def test_a_late_urgent_request_gives_way_to_one_in_time():
    order = _order()
    _offer(order, request(1, urgent=True), slack=1.3)
    _offer(order, request(2, urgent=True, now=2.0), 2.0, slack=1.3)
    assert _serve(order, 2.0) == "mora-2"
    assert _serve(order, 2.0) == "mora-1"


def test_workspaces_are_served_by_weight():
    # Guards against a workspace with many requests that takes all service.
    order = _order()
    order.set_weights({"falun": 2.0, "mora": 1.0})
    for i in range(60):
        _offer(order, request(i, workspace="mora"))
    for i in range(60):
        _offer(order, request(i, workspace="falun"))
    served = [_serve(order).split("-")[0] for _ in range(30)]
    assert served.count("falun") == 20


def test_a_newly_active_workspace_is_lifted_to_the_lowest_counter():
    # Guards against idle time that is saved up as credit.
    order = _order()
    for i in range(50):
        _offer(order, request(i))
    for _ in range(40):
        _serve(order)
    _offer(order, request(0, workspace="sala"))
    assert order.counter("sala") == order.counter("mora")


def test_bounds_hold_and_refusals_are_true():
    # Guards against one workspace that fills the queue.
    order = _order(max_waiting=10, per_workspace=6)
    results = [_offer(order, request(i)) for i in range(8)]
    assert results[:6] == [None] * 6
    for refusal in results[6:]:
        assert refusal.type == RefusalType.QUEUE_FULL
        assert refusal.execution == Execution.NOT_RUN
        assert refusal.retry_after_s >= 1.0
    assert _offer(order, request(1, workspace="sala")) is None


def test_a_hopeless_request_is_refused_early():
    order = _order()
    for i in range(100):
        _offer(order, request(i))
    for i in range(50):
        _serve(order, i * 0.2)
    late = request(200, now=10.0, deadline=5.0)
    refusal = _offer(order, late, 10.0)
    assert refusal is not None and refusal.retry_after_s > 5.0
    urgent = request(201, urgent=True, now=10.0, deadline=5.0)
    assert _offer(order, urgent, 10.0, slack=1.3) is None


def test_a_long_prompt_does_not_block_short_ones():
    order = _order()
    _offer(order, request(1, prompt=20_000))
    _offer(order, request(2, prompt=200))
    heads = [entry.req.request_id for entry in order.heads(4)]
    assert set(heads) == {"mora-1", "mora-2"}


def test_a_lane_stays_reachable_after_a_poll_stops_early():
    # Guards against requests that wait for ever because their lane was lost.
    order = _order()
    _offer(order, request(1))
    for _ in range(3):
        for entry in order.heads(4):
            assert entry.req.request_id == "mora-1"
            break
    assert _serve(order) == "mora-1"


def test_a_poll_looks_at_a_bounded_number_of_lanes():
    order = _order(max_waiting=2_000)
    for i in range(1_000):
        _offer(order, request(i, workspace=f"w{i}"))
    assert len(list(order.heads(16))) == 16


def test_expired_requests_are_returned_once():
    order = _order()
    _offer(order, request(1, deadline=5.0))
    assert [e.req.request_id for e in order.due(5.1)] == ["mora-1"]
    assert order.due(6.0) == [] and len(order) == 0
    assert order.next_due() is None


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["offer", "serve", "remove", "due", "back"]),
        st.integers(0, 30),
        st.sampled_from(["mora", "sala", "falun"]),
        st.booleans(),
    ),
    max_size=120,
)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(STEPS)
def test_every_request_leaves_exactly_once(steps):
    # Guards against requests that are lost or served twice, and against entries
    # that stay in memory.
    order = _order(max_waiting=40, per_workspace=30)
    waiting, now = {}, 0.0
    for step, number, workspace, urgent in steps:
        now += 0.3
        req = request(number, workspace, urgent, now=now, deadline=number / 2 + 1)
        if step in ("offer", "back") and req.request_id not in waiting:
            if step == "back":
                order.put_back(req, now + 1.0, now)
                waiting[req.request_id] = req
            elif order.offer(req, now + 1.0, now) is None:
                waiting[req.request_id] = req
        if step == "serve":
            served = _take(order, waiting, now)
            assert served or not waiting
        if step == "remove":
            found = order.remove(req.request_id)
            assert found == (waiting.pop(req.request_id, None) is not None)
        if step == "due":
            for entry in order.due(now):
                assert waiting.pop(entry.req.request_id).deadline <= now
        assert len(order) == len(waiting)
    while waiting:
        assert _take(order, waiting, now)
    assert not order._lanes and order._active_weight == 0


def _take(order, waiting, now):
    for entry in order.heads(1):
        order.take(entry, now)
        return waiting.pop(entry.req.request_id)
    return None
