"""Test what hosts learn about servers from their calls."""

from sesameport.admission import ServerHealth


def test_unreachable_server_rests_for_a_growing_time():
    health = ServerHealth()
    health.note_unreachable("s", 0.0)
    assert health.is_paused("s", 0.4)
    assert not health.is_paused("s", 0.5)
    health.note_unreachable("s", 0.5)
    assert health.is_paused("s", 1.4)
    health.note_answered("s", failed=False)
    health.note_unreachable("s", 2.0)
    assert not health.is_paused("s", 2.6)


def test_answer_does_not_end_the_pause_of_an_ordered_role_change():
    health = ServerHealth()
    health.pause("s", 6.0, 0.0)
    health.note_answered("s", failed=False)
    assert health.is_paused("s", 5.0)


def test_pauses_reach_other_hosts():
    finder, other = ServerHealth(), ServerHealth()
    finder.pause("s", 4.0, 0.0)
    other.take_pauses(finder.pauses(1.0), 101.0)
    assert other.is_paused("s", 103.9)
    assert not other.is_paused("s", 104.1)
    # A pause that was told is not told again, or it would never end.
    assert other.pauses(102.0) == {}


def test_one_refused_kv_cache_is_no_reason_to_pause():
    health = ServerHealth()
    health.note_decode_refused("s", 0.0)
    assert not health.is_paused("s", 0.0)
    health.note_decode_refused("s", 0.1)
    assert health.is_paused("s", 0.2)


def test_share_of_failures_raises_the_cost():
    health = ServerHealth()
    for _ in range(10):
        health.note_answered("bad", failed=True)
        health.note_answered("good", failed=False)
    assert health.cost_factor("bad") > 3 * health.cost_factor("good")
    health.forget("bad")
    assert health.cost_factor("bad") == 1.0
