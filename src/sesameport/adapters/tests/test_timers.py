"""Test that the timer service calls subscribers and survives their exceptions."""

import queue

from sesameport.adapters import TimerService


def test_failing_callback_does_not_stop_the_others():
    """Guards against an exception of one subscriber that ends the timer thread."""
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


def test_call_at_calls_once_and_not_early():
    calls = queue.Queue()
    timers = TimerService().start()
    due_at = timers.now() + 0.05
    timers.call_at("once", due_at, calls.put)
    assert calls.get(timeout=5.0) >= due_at
    assert calls.empty()
    timers.stop()
