"""Test how many messages hosts send that repeat what all of them know."""

import heapq
import random

import pytest

from sesameport.admission import Trickle


def play(hosts, until, latency_s=0.03, lost=0.0):
    """Return the times of all messages of hosts that know the same."""
    rng = random.Random(hosts)
    timers = [Trickle(random.Random(number), hosts) for number in range(hosts)]
    events, sent = [], []
    for number, timer in enumerate(timers):
        timer.reset(0.0)
        heapq.heappush(events, (timer.next_at(0.0), 1, number))
    while events and events[0][0] < until:
        now, kind, number = heapq.heappop(events)
        timer = timers[number]
        if kind == 0:
            timer.record_equal()
            continue
        if timer.take_send(now):
            sent.append(now)
            for other in range(hosts):
                if other != number and rng.random() >= lost:
                    heapq.heappush(events, (now + latency_s, 0, other))
        heapq.heappush(events, (timer.next_at(now), 1, number))
    return sent


@pytest.mark.parametrize("hosts", [2, 9, 61, 195])
def test_number_of_messages_hardly_depends_on_the_number_of_hosts(hosts):
    sent = play(hosts, until=60.0)
    assert len([at for at in sent if at > 20.0]) / 40.0 < 3.0
    assert sent[0] <= Trickle(random.Random(0), hosts).min_interval_s()


def test_lost_messages_are_repeated():
    gaps = play(9, until=60.0, lost=0.5)
    longest = max(b - a for a, b in zip(gaps, gaps[1:], strict=False))
    assert longest < 8.0


def test_reset_makes_a_host_send_soon_again():
    timer = Trickle(random.Random(1), 9)
    timer.reset(0.0)
    now = 0.0
    for _ in range(40):
        now = timer.next_at(now)
        timer.take_send(now)
    timer.reset(now + 0.01)
    assert timer.next_at(now + 0.01) <= now + 0.01 + timer.min_interval_s()
