"""Test the order, the limits and the clean-up of the placement queue."""

from hypothesis import given, settings
from hypothesis import strategies as st

from sesameport.domain import Execution, RefusalType
from sesameport.routing import PlacementQueue
from sesameport.routing.tests.samples import request


def _queue(**bounds):
    return PlacementQueue(
        bounds.get("max_waiting", 400), bounds.get("per_workspace", 200)
    )


def _offer(queue, req, now=0.0, slack=20.0):
    return queue.offer(req, req.arrived_at + slack, now)


def _serve(queue, now=0.0):
    queue.process_timers(now)
    for entry in queue.lane_heads(1):
        queue.dequeue(entry, now)
        return entry.req.request_id
    return None


def test_urgent_requests_are_served_before_patient_ones():
    queue = _queue()
    _offer(queue, request(1))
    _offer(queue, request(2, urgent=True), slack=1.3)
    assert [_serve(queue), _serve(queue), _serve(queue)] == ["mora-2", "mora-1", None]


def test_aged_patient_request_is_not_starved():
    # Guards against a steady stream of urgent requests that delays a patient one
    # indefinitely.
    queue = _queue()
    _offer(queue, request(0, workspace="falun"))
    for i in range(1, 40):
        _offer(queue, request(i, urgent=True, now=float(i)), float(i), slack=1.3)
        if _serve(queue, float(i)) == "falun-0":
            break
    assert i == 15


def test_urgent_request_that_can_meet_its_target_is_served_before_a_late_one():
    queue = _queue()
    _offer(queue, request(1, urgent=True), slack=1.3)
    _offer(queue, request(2, urgent=True, now=2.0), 2.0, slack=1.3)
    assert _serve(queue, 2.0) == "mora-2"
    assert _serve(queue, 2.0) == "mora-1"


def test_workspaces_are_served_by_weight():
    # Guards against a workspace with many requests that is served more than its share.
    queue = _queue()
    queue.set_weights({"falun": 2.0, "mora": 1.0})
    for i in range(60):
        _offer(queue, request(i, workspace="mora"))
    for i in range(60):
        _offer(queue, request(i, workspace="falun"))
    served = [_serve(queue).split("-")[0] for _ in range(30)]
    assert served.count("falun") == 20


def test_counter_of_newly_active_workspace_is_lifted_to_the_lowest_active_one():
    # Guards against a workspace that gains priority by being idle.
    queue = _queue()
    for i in range(50):
        _offer(queue, request(i))
    for _ in range(40):
        _serve(queue)
    _offer(queue, request(0, workspace="sala"))
    assert queue.virtual_counter("sala") == queue.virtual_counter("mora")


def test_full_workspace_is_refused_without_running_and_others_are_accepted():
    # Guards against one workspace that fills the queue.
    queue = _queue(max_waiting=10, per_workspace=6)
    results = [_offer(queue, request(i)) for i in range(8)]
    assert results[:6] == [None] * 6
    for refusal in results[6:]:
        assert refusal.type == RefusalType.QUEUE_FULL
        assert refusal.execution == Execution.NOT_RUN
        assert refusal.retry_after_s >= 1.0
    assert _offer(queue, request(1, workspace="sala")) is None


def test_request_is_refused_at_once_if_its_expected_wait_exceeds_its_deadline():
    queue = _queue()
    for i in range(100):
        _offer(queue, request(i))
    for i in range(50):
        _serve(queue, i * 0.2)
    late = request(200, now=10.0, deadline=5.0)
    refusal = _offer(queue, late, 10.0)
    assert refusal is not None and refusal.retry_after_s > 5.0
    urgent = request(201, urgent=True, now=10.0, deadline=5.0)
    assert _offer(queue, urgent, 10.0, slack=1.3) is None


def test_long_prompt_does_not_block_short_ones():
    queue = _queue()
    _offer(queue, request(1, prompt=20_000))
    _offer(queue, request(2, prompt=200))
    heads = [entry.req.request_id for entry in queue.lane_heads(4)]
    assert set(heads) == {"mora-1", "mora-2"}


def test_lane_remains_in_the_heap_after_iteration_stops_early():
    # Guards against requests that wait for ever because their lane was popped from the
    # heap and not pushed back.
    queue = _queue()
    _offer(queue, request(1))
    for _ in range(3):
        for entry in queue.lane_heads(4):
            assert entry.req.request_id == "mora-1"
            break
    assert _serve(queue) == "mora-1"


def test_number_of_lane_heads_is_bounded():
    queue = _queue(max_waiting=2_000)
    for i in range(1_000):
        _offer(queue, request(i, workspace=f"w{i}"))
    assert len(list(queue.lane_heads(16))) == 16


def test_expired_request_is_returned_once():
    queue = _queue()
    _offer(queue, request(1, deadline=5.0))
    assert [e.req.request_id for e in queue.process_timers(5.1)] == ["mora-1"]
    assert queue.process_timers(6.0) == [] and len(queue) == 0
    assert queue.next_timer_at() is None


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
def test_every_request_leaves_the_queue_exactly_once(steps):
    # Guards against requests that are lost or served twice, and against removed
    # entries that remain in memory.
    queue = _queue(max_waiting=40, per_workspace=30)
    waiting, now = {}, 0.0
    for step, number, workspace, urgent in steps:
        now += 0.3
        req = request(number, workspace, urgent, now=now, deadline=number / 2 + 1)
        if step in ("offer", "back") and req.request_id not in waiting:
            if step == "back":
                queue.requeue(req, now + 1.0, now)
                waiting[req.request_id] = req
            elif queue.offer(req, now + 1.0, now) is None:
                waiting[req.request_id] = req
        if step == "serve":
            served = _dequeue_first(queue, waiting, now)
            assert served or not waiting
        if step == "remove":
            was_removed = queue.remove(req.request_id)
            assert was_removed == (waiting.pop(req.request_id, None) is not None)
        if step == "due":
            for entry in queue.process_timers(now):
                assert waiting.pop(entry.req.request_id).deadline <= now
        assert len(queue) == len(waiting)
    while waiting:
        assert _dequeue_first(queue, waiting, now)
    assert not queue._lanes and queue._active_weight == 0


def _dequeue_first(queue, waiting, now):
    for entry in queue.lane_heads(1):
        queue.dequeue(entry, now)
        return waiting.pop(entry.req.request_id)
    return None
