"""Simulate where 80 hosts place prompts that share parts, without a network.

Each host learns by its own `LearnedServers` and `SpeedExchange`. Reports of use are
paced as by `ReportScheduler` and arrive after `DELAY_S`.
"""

import heapq
import itertools
import random
import types
from collections import Counter, OrderedDict, defaultdict

import attrs

from sesameport.admission import (
    FleetUse,
    PlacementPolicy,
    ServerRegistry,
    ServerUse,
    place_generation,
    prefix_parts,
)
from sesameport.admission.tests.builders import PROFILE, generation, server
from sesameport.domain import ServerRole
from sesameport.entry import messages as m
from sesameport.entry.engine_measurements import EngineMeasurements
from sesameport.entry.learned_servers import LearnedServers
from sesameport.entry.report_scheduler import ReportScheduler
from sesameport.entry.speed_exchange import SpeedExchange
from sesameport.telemetry.metrics import ENTRY_METRICS, Metrics

DELAY_S, CALL_S, SPEED, OWN_TOKENS = 0.01, 0.006, 30_000, 3_000
ENGINE = attrs.evolve(PROFILE, kv_tokens=28_000, slots=16)


class _View:
    """Combine a host's own use with what all hosts reported, like `FleetUse`."""

    def __init__(self, reported):
        self.own, self._reported, self.sent = FleetUse(), reported, {}

    def total_for(self, name):
        own, sent = self.own.total_for(name), self.sent.get(name, ServerUse())
        return self._reported.total_for(name).minus(sent).plus(own)


class _Host:
    def __init__(self, fleet, name, centre):
        self.centre, self.name = centre, name
        self.view, self.pacing = _View(fleet.reported), ReportScheduler(fleet.hosts)
        self.learned = LearnedServers(centre)
        self.measured = EngineMeasurements(SPEED)
        admission = types.SimpleNamespace(
            registry=fleet.registry,
            use=self.view,
            workload_mix=self.measured.workload_mix,
        )
        metrics = Metrics(name, centre, ENTRY_METRICS)
        rng = random.Random(name)
        self.exchange = SpeedExchange(
            self.learned,
            admission,
            lambda message: fleet.publish(self, message),
            metrics,
            rng,
        )


class PrefixFleet:
    """Place prompts at a fleet; `run` returns what was found in caches.

    ``adjust`` may change the predictions of each placement, and ``ids_of`` returns the
    shared ids of a prompt.
    """

    def __init__(
        self,
        ids_of,
        adjust=lambda fleet, parts, found: found,
        seed=1,
        hosts=80,
        cache_tokens=28_000,
    ):
        self.rng, self.hosts, self.ids_of = random.Random(seed), hosts, ids_of
        self.cache_tokens = cache_tokens
        self.adjust, self.reported, self.registry = adjust, FleetUse(), ServerRegistry()
        roles = [ServerRole.PREFILL] * 25 + [ServerRole.DECODE] * 20
        for n, role in enumerate(roles):
            self.registry.put(server(f"e{n}", role, "abc"[n % 3], slots=16))
        self.members = [_Host(self, f"h{n}", "abc"[n % 3]) for n in range(hosts)]
        self.caches = defaultdict(OrderedDict)
        self.free_at, self.prompts, self.counts = Counter(), Counter(), Counter()
        self.latencies, self.unknown_ages, self.used_at = [], [], {}
        self.events, self.number, self.now = [], itertools.count(), 0.0

    def at(self, when, action, *arguments):
        heapq.heappush(self.events, (when, next(self.number), action, arguments))

    def run(self, rate=48.0, seconds=40.0, shared_tokens=200):
        """Run prompts at ``rate`` per second, counted from the second quarter on."""
        self.measured_from = seconds / 4
        for host in self.members:
            self.at(self.rng.random(), self.repeat, host)
        while self.now < seconds:
            self.now += self.rng.expovariate(rate)
            while self.events and self.events[0][0] <= self.now:
                when, _, action, arguments = heapq.heappop(self.events)
                action(*arguments, when)
            self.place(self.rng.choice(self.members), shared_tokens, self.now)
        self.latencies.sort()
        return self

    def repeat(self, host, now):
        host.exchange.repeat(self.hosts, False, now)
        self.at(now + 0.5, self.repeat, host)

    def publish(self, sender, message):
        handle = "apply_speeds"
        if isinstance(message, m.PrefixReports):
            handle = "apply_prefixes"
        for host in self.members:
            if host is not sender:
                apply = getattr(host.exchange, handle)
                self.at(self.now + DELAY_S, apply, message)

    def change(self, host, uses, now):
        for name, use in uses:
            host.view.own.add_local(name, use)
        at = host.pacing.schedule_change(now)
        if at is not None:
            self.at(at, self.report, host)

    def report(self, host, now):
        host.pacing.record_sent(now)
        self.at(now + DELAY_S, self.arrive, host, dict(host.view.own.local))

    def arrive(self, host, uses, now):
        self.reported.apply_report(host.name, uses, now)
        host.view.sent = uses

    def place(self, host, shared_tokens, now):
        ids = [*self.ids_of(self.rng), f"{next(self.number):x}"]
        tokens = [shared_tokens] * (len(ids) - 1) + [OWN_TOKENS]
        parts = prefix_parts(ids, tokens)
        output = self.rng.randint(50, 400)
        req = generation(sum(tokens), output, host.centre)
        req = attrs.evolve(req, prefix=parts)
        host.learned.record_request(req)
        found = host.learned.predict(req, ENGINE, host.view, now)
        placed = place_generation(
            req,
            ENGINE,
            self.registry.all(),
            host.view,
            lambda name: 1.0,
            PlacementPolicy(),
            host.measured.prefill_speeds,
            predictions=self.adjust(self, parts, found),
        ).ok()
        self.counts["asked"] += 1
        if placed is None or placed.prefill is None:
            self.counts["not placed"] += 1
            return
        self.change(host, placed.uses(), now)
        name = placed.prefill.name
        if now >= self.measured_from:
            self.observe(parts, found.cached_tokens, placed, now)
        hit = self.fill(name, parts, now)
        work_s = (sum(tokens) - hit) / SPEED * self.rng.lognormvariate(0, 0.05)
        self.free_at[name] = max(now + CALL_S, self.free_at[name]) + work_s
        end = self.free_at[name] + CALL_S
        if now >= self.measured_from:
            self.latencies.append(end - now)
        self.at(end, self.end_prefill, host, placed, end - now)
        self.at(end + 0.8 + output * 0.006, self.end_run, host, placed)

    def observe(self, parts, known, placed, now):
        shared, digest = parts[0].tokens * (len(parts) > 1), parts[0].digest
        name = placed.prefill.name
        prefill = [s.name for s in self.registry.all() if s.can_prefill()]
        holders = {item for item in prefill if digest in self.caches[item]}
        counts = self.counts
        counts["shared"] += shared
        counts["held by an engine"] += bool(holders)
        counts["host knows an engine"] += bool(holders & known.keys())
        counts["chosen engine known"] += name in holders and name in known
        counts["prompts"] += 1
        counts["pairs"] += len(holders)
        counts["pairs known"] += len(holders & known.keys())
        ages = [now - self.caches[item][digest][1] for item in holders - known.keys()]
        self.unknown_ages.extend(ages)
        counts["expected"] += placed.cached_tokens
        counts["found"] += shared * (name in holders)
        if name not in holders and now - self.used_at.get(digest, -9.0) < 8.0:
            counts["wasted"] += shared
        counts["found at decode"] += shared * (
            digest in self.caches[placed.decode.name]
        )
        self.prompts[name] += 1

    def fill(self, name, parts, now):
        """Return the tokens that an engine has cached, and cache all parts there."""
        cache = self.caches[name]
        held = itertools.takewhile(lambda part: part.digest in cache, parts)
        hit = sum(part.tokens for part in held)
        for part in parts:
            cache[part.digest] = part.tokens, now
            cache.move_to_end(part.digest)
            self.used_at[part.digest] = now
        use = self.reported.total_for(name)
        room = self.cache_tokens - use.kv_tokens - use.prefill_tokens
        size = sum(tokens for tokens, _ in cache.values())
        while size > room and cache:
            size -= cache.popitem(last=False)[1][0]
        return hit

    def end_prefill(self, host, placed, seconds, now):
        message = m.PrefillEnded(placed, seconds, True)
        host.learned.record_prefill(message, now)
        host.measured.record_prefill(placed, seconds)
        prefill, pending = placed.prefill_use(), placed.pending_use()
        uses = [(placed.prefill.name, prefill), (placed.decode.name, pending)]
        self.change(host, [(n, ServerUse().minus(use)) for n, use in uses], now)
        self.fill(placed.decode.name, placed.prefix, now)

    def end_run(self, host, placed, now):
        message = m.RunEnded(placed, seconds=3.0, succeeded=True)
        host.learned.record_run(message, host.view, now)
        host.measured.record_decode(placed, 3.0)
        use = ServerUse().minus(placed.decode_use())
        self.change(host, [(placed.decode.name, use)], now)


def popular(count=36):
    """Return a function that draws one of ``count`` ids with Zipf's distribution."""
    weights = [1.0 / (n + 1) for n in range(count)]
    return lambda rng: rng.choices([f"{n + 10:x}" for n in range(count)], weights)
