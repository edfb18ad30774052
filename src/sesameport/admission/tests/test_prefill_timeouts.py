"""Test the timeouts of prefills in a burst on unequal engines, without a network."""

import heapq
import itertools
import random
from collections import Counter

import attrs

from sesameport.admission import (
    FleetUse,
    PlacementPolicy,
    PrefillTimeouts,
    ServerUse,
    place_generation,
)
from sesameport.admission.tests.builders import PROFILE, generation, server
from sesameport.domain import ServerRole

HOSTS, REPORT_S, SPEED, MAX_SENDS, TARGET_S, PATIENCE_S = 20, 0.1, 30_000, 4, 0.6, 2.0
PREFILL = [server(f"p{n}", ServerRole.PREFILL) for n in range(6)]
DECODE = [server(f"d{n}", slots=4_000) for n in range(6)]
SLOWNESS = {"p0": 2.2, "p1": 2.2}
ROOMY = attrs.evolve(PROFILE, kv_tokens=4_000_000)


@attrs.frozen
class EarlyTimeouts(PrefillTimeouts):
    """Give up after a second at most, and always call the same engine once more."""

    queue_factor: float = 2.0
    max_s: float = 1.0

    def is_likely_lost(self, placement):
        return True


@attrs.define(eq=False)
class Prompt:
    arrived_at: float
    req: object
    use: FleetUse
    sends: int = 0
    calls: int = 0
    placed: object = None


class Burst:
    """Prefill 30 prompts a second at many hosts, and 60 a second for some time."""

    def __init__(self, timeouts, seed):
        self._timeouts = timeouts
        rng, now = random.Random(seed), 0.0
        self._hosts = [FleetUse() for _ in range(HOSTS)]
        self._free_at, self._events = Counter(), []
        self._order = itertools.count()
        self.counts = Counter()
        while now < 24.0:
            now += rng.expovariate(60.0 if 6.0 < now < 12.0 else 30.0)
            req = generation(round(3_000 * rng.lognormvariate(-0.125, 0.5)))
            self._add(now, self._place, Prompt(now, req, rng.choice(self._hosts)))
        for number in range(300):
            self._add(number * REPORT_S, self._report, None)

    def run(self):
        while self._events:
            now, _, handle, prompt = heapq.heappop(self._events)
            handle(now, prompt)
        return self.counts

    def _add(self, at, handle, prompt):
        heapq.heappush(self._events, (at, next(self._order), handle, prompt))

    def _report(self, now, _):
        for number, use in enumerate(self._hosts):
            for other in self._hosts:
                if other is not use:
                    other.apply_report(f"h{number}", use.local, now)

    def _place(self, now, prompt):
        if now - prompt.arrived_at > PATIENCE_S or prompt.sends == MAX_SENDS:
            self.counts["never"] += 1
            return
        policy = PlacementPolicy(local_prefill_below=0.0)
        servers, use = [*PREFILL, *DECODE], prompt.use
        placed = place_generation(
            prompt.req, ROOMY, servers, use, lambda name: 1.0, policy, {}
        ).ok()
        if placed is None or placed.prefill is None:
            self._add(now + 0.05, self._place, prompt)
            return
        for name, change in placed.uses():
            use.add_local(name, change)
        prompt.placed, prompt.calls = placed, 0
        prompt.sends += 1
        self._call(now, prompt)

    def _call(self, now, prompt):
        prompt.calls += 1
        name, tokens = prompt.placed.prefill.name, prompt.req.prompt_tokens
        begins_at = max(now, self._free_at[name])
        ends_at = begins_at + SLOWNESS.get(name, 1.0) * tokens / SPEED
        lost_at = now + self._timeouts.timeout_s(prompt.placed)
        # An engine drops what still waits when its connection closes.
        if begins_at < lost_at:
            self._free_at[name] = ends_at
        if ends_at <= lost_at:
            self._add(ends_at, self._end, prompt)
            return
        self.counts["wasted tokens"] += tokens * (begins_at < lost_at)
        self._add(lost_at, self._time_out, prompt)

    def _release(self, prompt):
        for name, change in prompt.placed.uses():
            prompt.use.add_local(name, ServerUse().minus(change))

    def _end(self, now, prompt):
        self._release(prompt)
        is_late = now - prompt.arrived_at > TARGET_S
        self.counts["late" if is_late else "in time"] += 1

    def _time_out(self, now, prompt):
        if prompt.calls == 1 and self._timeouts.is_likely_lost(prompt.placed):
            self._call(now, prompt)
            return
        self._release(prompt)
        excluded = prompt.req.excluded | {prompt.placed.prefill.name}
        prompt.req = attrs.evolve(prompt.req, excluded=excluded)
        self._place(now, prompt)


def test_queued_prefills_are_not_given_up_in_a_burst():
    # Guards against time-outs shorter than the queues of slow engines: prompts that are
    # computed again keep the engines overloaded after the burst.
    early, patient = Counter(), Counter()
    for seed in range(1, 4):
        early += Burst(EarlyTimeouts(), seed).run()
        patient += Burst(PrefillTimeouts(), seed).run()
    assert patient["in time"] > early["in time"]
    assert patient["never"] < 0.6 * early["never"]
    assert patient["wasted tokens"] < 0.6 * early["wasted tokens"]


def test_lost_response_without_a_queue_is_noticed_in_time():
    # Guards against a lost response that costs a caller its target.
    placed = place_generation(
        generation(3_000),
        ROOMY,
        [*PREFILL, *DECODE],
        FleetUse(),
        lambda name: 1.0,
        PlacementPolicy(),
        {},
    ).unwrap()
    timeouts = PrefillTimeouts()
    assert timeouts.timeout_s(placed) <= TARGET_S
    assert timeouts.is_likely_lost(placed)
