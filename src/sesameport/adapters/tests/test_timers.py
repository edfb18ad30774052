"""Check that the timer service calls its subscribers and survives their errors."""

import queue

from sesameport.adapters import TimerService


def test_failing_callback_does_not_stop_the_others():
    """Guards against one subscriber that ends the timer thread."""
    errors, calls = queue.Queue(), queue.Queue()
    timers = TimerService(on_error=lambda name, exc: errors.put(name)).start()

    def fail(now):
        raise ValueError("planted")

    timers.subscribe("failing", 0.01, fail)
    timers.subscribe("working", 0.01, calls.put)
    assert errors.get(timeout=5.0) == "failing"
    first, second = calls.get(timeout=5.0), calls.get(timeout=5.0)
    assert second > first
    timers.stop()


def test_single_call_comes_once_and_in_time():
    calls = queue.Queue()
    timers = TimerService().start()
    due = timers.now() + 0.05
    timers.call_at("once", due, calls.put)
    assert calls.get(timeout=5.0) >= due
    assert calls.empty()
    timers.stop()
