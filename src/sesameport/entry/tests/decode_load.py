"""Play bursts of urgent and other generations on several hosts, without a network.

Each host is a real `AdmissionController`. The hosts know of each other by reports that
are paced and delayed as in a fleet of 80 hosts. Engines admit by memory that is really
in use, grow with each token, and preempt the least urgent stream when they are full.
"""

import heapq
import itertools
import random

import attrs

from sesameport.admission import GenerationRequest
from sesameport.domain import ServerRole
from sesameport.entry import messages as m
from sesameport.entry.admission_controller import AdmissionController
from sesameport.entry.configuration import (
    EngineProfile,
    EntryConfiguration,
    EntryRoute,
    EntryService,
    RequestKind,
    ServiceShare,
)
from sesameport.entry.servers import EntryServer
from sesameport.entry.settings import EntrySettings

__all__ = ["Caller", "Fleet", "Load", "play"]

PROFILE = EngineProfile(slots=16, kv_tokens=28_408, max_lease_s=1.2)
TIMEOUT_S = 14.0
EMPTY_TOKEN_S = 0.0025
REPORT_INTERVAL_S, REPORT_DELAY_S = 0.12, 0.03
MAX_LEASE_REFUSALS = 8


@attrs.frozen
class Load:
    """Describe what callers send; rates per second, times in seconds."""

    rate: float = 8.8
    burst: float = 2.0
    burst_s: tuple[float, float] = (5.0, 11.0)
    end_s: float = 16.0
    urgent_share: float = 1 / 9
    urgent_rank: int = 0
    large_share: float = 0.0


@attrs.define(eq=False)
class Caller:
    key: int
    host: int
    rank: int
    prompt: int
    output: int
    arrived_at: float
    target_s: float
    received_at: float = 0.0
    disconnects_at: float = 0.0
    is_returning: bool = False
    excluded: frozenset[str] = frozenset()
    lease_refusals: int = 0
    sends: int = 0
    placement: object = None
    is_queued: bool = False
    done: float = 0.0
    stall_s: float = 0.0
    first_event_at: float | None = None
    preemptions: int = 0
    result: str = ""


@attrs.define(eq=False)
class Engine:
    """Model the decode memory and the speed of one engine."""

    running: list[Caller] = attrs.field(factory=list)
    queue: list[Caller] = attrs.field(factory=list)
    leases: dict[Caller, tuple[int, float]] = attrs.field(factory=dict)
    changes: int = 0
    updated_at: float = 0.0

    def token_s(self):
        held = sum(caller.prompt + caller.done for caller in self.running)
        return EMPTY_TOKEN_S * (1.0 + held / PROFILE.kv_tokens)

    def advance(self, now):
        """Let the streams progress until now."""
        seconds, self.updated_at = now - self.updated_at, now
        token_s = self.token_s()
        for caller in self.running:
            stalled_s = min(seconds, caller.stall_s)
            caller.stall_s -= stalled_s
            caller.done += (seconds - stalled_s) / token_s

    def next_end_s(self):
        token_s = self.token_s()
        return min(
            caller.stall_s + (caller.output - caller.done) * token_s
            for caller in self.running
        )

    def used(self, now, without=None):
        self.advance(now)
        held = sum(caller.prompt + caller.done for caller in self.running)
        leased = sum(
            tokens
            for caller, (tokens, until) in self.leases.items()
            if until > now and caller is not without
        )
        return held + leased

    def fits(self, tokens, now, caller=None):
        """Return whether a prompt fits, as engines decide it."""
        is_free = len(self.running) < PROFILE.slots
        return is_free and self.used(now, caller) + tokens + 64 <= PROFILE.kv_tokens


class _Future:
    def __init__(self, on_set):
        self.set = on_set


class Fleet:
    def __init__(self, load, seed, hosts=8, engines=6, prefills=3):
        self.load, self.rng = load, random.Random(seed)
        self.events, self.numbers = [], itertools.count()
        self.now = 0.0
        self.engines = {f"d{n}": Engine() for n in range(engines)}
        self.prefill_free_at = dict.fromkeys((f"p{n}" for n in range(prefills)), 0.0)
        self.callers, self.wasted = [], 0
        self.reported_at = [-1.0] * hosts
        self.report_due = [False] * hosts
        shares = (ServiceShare("llm", 1),)
        routes = [
            EntryRoute(
                f"r{n}", "", "", RequestKind.STREAM, shares, TIMEOUT_S, 2.0, priority=n
            )
            for n in {load.urgent_rank, 2}
        ]
        configuration = EntryConfiguration(
            1, services=(EntryService("llm", engine=PROFILE),), routes=tuple(routes)
        )
        self.hosts = [
            AdmissionController(
                EntrySettings(f"h{n}", "a", "127.0.0.1", "", "", 0, ""),
                lambda now, n=n: self.schedule_report(n),
                lambda at, n=n: self.at(at, lambda: self.wake(n)),
                random.Random(f"{seed} {n}"),
            )
            for n in range(hosts)
        ]
        for host in self.hosts:
            host.configuration = configuration
            for name in self.engines:
                host.registry.put(
                    EntryServer(name, "llm", "", "a", ServerRole.DECODE, slots=16)
                )
            for name in self.prefill_free_at:
                host.registry.put(EntryServer(name, "llm", "", "a", ServerRole.PREFILL))

    def at(self, when, call):
        heapq.heappush(self.events, (max(when, self.now), next(self.numbers), call))

    def wake(self, n):
        self.hosts[n].place_waiting(self.now)

    def schedule_report(self, n):
        if not self.report_due[n]:
            self.report_due[n] = True
            due = max(self.now, self.reported_at[n] + REPORT_INTERVAL_S)
            self.at(due, lambda: self.report(n))

    def report(self, n):
        self.report_due[n], self.reported_at[n] = False, self.now
        host = self.hosts[n]
        uses, waiting = dict(host.use.local), host.report_waiting_tokens(self.now)
        self.at(self.now + REPORT_DELAY_S, lambda: self.deliver(n, uses, waiting))

    def deliver(self, n, uses, waiting):
        for other, host in enumerate(self.hosts):
            if other != n:
                host.use.apply_report(f"h{n}", uses, self.now, waiting)
                host.place_waiting(self.now)

    def arrivals(self):
        load, rng, now = self.load, self.rng, 0.0
        while True:
            in_burst = load.burst_s[0] <= now < load.burst_s[1]
            now += rng.expovariate(load.rate * (load.burst if in_burst else 1.0))
            if now > load.end_s:
                return
            is_urgent = rng.random() < load.urgent_share
            prompt = int(min(12_000, rng.lognormvariate(8.0, 0.25)))
            if is_urgent and rng.random() < load.large_share:
                prompt = int(5_000 * 4.2 ** rng.random())
            caller = Caller(
                len(self.callers) + 1,
                rng.randrange(len(self.hosts)),
                load.urgent_rank if is_urgent else 2,
                prompt,
                int(min(1_870, max(20, rng.lognormvariate(6.45, 0.5)))),
                now,
                0.8 if is_urgent else 2.0,
            )
            self.callers.append(caller)
            self.at(now, lambda caller=caller: self.arrive(caller))

    def arrive(self, caller):
        patience_s = max(2.0, 4.0 * caller.target_s)
        caller.disconnects_at = min(
            self.now + patience_s, caller.arrived_at + TIMEOUT_S
        )
        caller.received_at = self.now
        self.admit(caller, is_first=True)

    def admit(self, caller, is_first):
        host = self.hosts[caller.host]
        future = _Future(
            lambda reply: self.at(self.now, lambda: self.answer(caller, reply))
        )
        host.admit_generation(
            m.AdmitGeneration(
                caller.key,
                f"r{caller.key}",
                GenerationRequest("llm", "a", caller.prompt, 740, caller.excluded),
                "w",
                0.0,
                caller.received_at + caller.target_s,
                caller.disconnects_at,
                caller.is_returning,
                caller.rank,
                future,
                is_first_attempt=is_first,
            ),
            self.now,
        )

    def answer(self, caller, reply):
        if isinstance(reply, m.Refused):
            self.refuse(caller, reply.retry_after_s)
            return
        placement, host = reply.placement, self.hosts[caller.host]
        engine = self.engines[placement.decode.name]
        if placement.lease_tokens:
            if not engine.fits(placement.lease_tokens - 64, self.now):
                caller.lease_refusals += 1
                refusal = m.MemoryRefused(placement.decode.name, placement.lease_tokens)
                host.record_refused_memory(refusal, self.now)
                self.return_to_placement(caller, placement)
                return
            until = self.now + placement.lease_s
            engine.leases[caller] = (placement.lease_tokens, until)
        if placement.prefill is None:
            end = self.now + caller.prompt / 15_000
        else:
            name = placement.prefill.name
            start = max(self.now, self.prefill_free_at[name])
            end = self.prefill_free_at[name] = start + caller.prompt / 30_000
        began_at = self.now
        self.at(end, lambda: self.end_prefill(caller, placement, began_at))

    def return_to_placement(self, caller, placement):
        host = self.hosts[caller.host]
        host.handle_prefill_ended(m.PrefillEnded(placement, 0.0, False), self.now)
        host.handle_run_ended(m.RunEnded(placement), self.now)
        if caller.lease_refusals > MAX_LEASE_REFUSALS or caller.sends >= 3:
            self.refuse(caller, host.retry_delay_s())
            return
        self.admit(caller, is_first=False)

    def refuse(self, caller, delay_s):
        left_s = caller.arrived_at + TIMEOUT_S - self.now
        if caller.is_returning or delay_s > left_s / 3:
            caller.result = "refused"
            return
        caller.is_returning = True
        self.at(self.now + delay_s, lambda: self.arrive(caller))

    def end_prefill(self, caller, placement, began_at):
        ended = m.PrefillEnded(placement, self.now - began_at, True)
        self.hosts[caller.host].handle_prefill_ended(ended, self.now)
        engine = self.engines[placement.decode.name]
        caller.sends += 1
        caller.placement, caller.is_queued = placement, True

        def start():
            if engine.leases.pop(caller, (0, 0.0))[1] > self.now:
                self.run(engine, caller)
                return
            engine.queue.append(caller)
            self.at(self.now + PROFILE.handle_s, expire)
            self.admit_queued(engine)

        def expire():
            if not caller.is_queued or caller.placement is not placement:
                return
            engine.queue.remove(caller)
            self.wasted += caller.prompt
            caller.excluded |= {placement.decode.name}
            self.return_to_placement(caller, placement)

        self.at(self.now + 0.03, start)

    def admit_queued(self, engine):
        while engine.queue:
            first = min(engine.queue, key=lambda item: (item.rank, item.key))
            if not engine.fits(first.prompt + first.done, self.now, first):
                return
            engine.queue.remove(first)
            self.run(engine, first)

    def run(self, engine, caller):
        caller.is_queued = False
        if caller.first_event_at is None:
            caller.first_event_at = self.now + 0.05
            if caller.first_event_at > caller.disconnects_at:
                caller.result = "left"
                self.end_run(caller)
                return
        else:
            # The KV cache of a preempted stream is computed again.
            caller.stall_s = (caller.prompt + caller.done) / 15_000
        engine.advance(self.now)
        engine.running.append(caller)
        self.schedule_end(engine)

    def schedule_end(self, engine):
        engine.changes += 1
        if engine.running:
            at, changes = self.now + engine.next_end_s(), engine.changes
            self.at(at, lambda: self.end_streams(engine, changes))

    def end_streams(self, engine, changes):
        if changes != engine.changes:
            return
        engine.advance(self.now)
        ended = [item for item in engine.running if item.done >= item.output - 0.01]
        engine.running = [item for item in engine.running if item not in ended]
        for caller in ended:
            self.end_run(caller)
        self.schedule_end(engine)
        self.admit_queued(engine)

    def end_run(self, caller):
        seconds = self.now - caller.first_event_at
        ended = m.RunEnded(caller.placement, seconds=seconds, succeeded=seconds > 0)
        self.hosts[caller.host].handle_run_ended(ended, self.now)
        caller.result = caller.result or self.judge(caller)

    def judge(self, caller):
        is_late = caller.first_event_at > caller.arrived_at + caller.target_s
        return "late" if is_late or caller.preemptions else "in time"

    def preempt(self):
        """Preempt the least urgent stream of each engine that is full."""
        for engine in self.engines.values():
            while engine.running and engine.used(self.now) > PROFILE.kv_tokens:
                victim = max(engine.running, key=lambda item: (item.rank, item.key))
                engine.running.remove(victim)
                victim.preemptions += 1
                engine.queue.append(victim)
                self.schedule_end(engine)
            self.admit_queued(engine)

    def tick(self):
        self.preempt()
        if any(not caller.result for caller in self.callers):
            self.at(self.now + 0.02, self.tick)

    def play(self):
        self.arrivals()
        self.at(0.0, self.tick)
        while self.events:
            self.now, _, call = heapq.heappop(self.events)
            call()
        return self


def play(load, seeds=range(1, 6), **options):
    """Return the callers of one run for each seed, and the tokens prefilled in vain."""
    fleets = [Fleet(load, seed, **options).play() for seed in seeds]
    return [fleet.callers for fleet in fleets], sum(fleet.wasted for fleet in fleets)
