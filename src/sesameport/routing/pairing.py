"""Choose prefill server, decode server and start time in one decision.

A prefill result lives for under a second, so a prefill starts only when a decode slot
and a share of the link are expected free as it ends.
"""

import random

import attrs

from sesameport.routing.cache_view import CacheView
from sesameport.routing.link_view import LinkShares
from sesameport.routing.load_view import LoadView, ServerLoad
from sesameport.routing.messages import RouterConfig
from sesameport.routing.send_window import SendWindow
from sesameport.routing.server_index import ServerIndex
from sesameport.world import CompletionRequest, Urgency

__all__ = ["NotYet", "Pair", "Pairing"]

# Servers with this many free slots are equal: reports are too old to rank them.
_SPARE_SLOTS = 2.0
# Time between two ends of requests on one full server, seconds.
_SLOT_TURN_S = 0.05
# Transfers longer than this leave no room for a retry within the result's lifetime.
_MAX_TRANSFER_S = 0.5
_LATEST_RETRY_S = 0.1
# A start this close is decided now; a later one is decided again with newer reports.
_START_HORIZON_S = 0.02
_HOLDERS = 2
_PREFILLS_COMPARED = 2
_RESULT_RETRY_S = 0.02
_OLD_PAUSE_PART = 0.25
_CHEAP_PROMPT_TOKENS = 500
_LEAST_PAUSE_PART = 0.25
# Part of the even share of slots that a host starts with. After a cold start all slots
# fill at the same time and none becomes free for a while.
_FIRST_SHARE = 0.85
# Prefer the own data centre over an equal server elsewhere by more than the latency:
# remote work loads the shared links.
_REMOTE_PENALTY_S = 0.02


@attrs.frozen
class NotYet:
    """Say that a request cannot start now, and when to decide again."""

    at: float
    reason: str


@attrs.frozen
class Pair:
    """Hold one choice, with the expected times in monotonic seconds."""

    prefill: str
    decode: str
    start_at: float
    prefill_end: float
    first_token: float
    work_tokens: float
    reason: str = ""


@attrs.frozen
class _Prefill:
    name: str
    data_centre: str
    end: float
    backlog_s: float
    work_tokens: float
    cost: float


@attrs.define
class Pairing:
    """Decide on pairs of servers from the views of one host."""

    cfg: RouterConfig
    loads: LoadView
    cache: CacheView
    links: LinkShares
    index: ServerIndex
    rng: random.Random
    hosts: int = 1
    windows: dict[str, SendWindow] = attrs.field(factory=dict)

    def choose(
        self,
        req: CompletionRequest,
        now: float,
        exclude: frozenset[str] = frozenset(),
        again: bool = False,
    ) -> Pair | NotYet:
        """Choose a pair for a request, or say when to decide again.

        ``again`` is set for a request that was placed before; it may exceed the send
        window as an urgent one may.
        """
        policy = self.cfg.policy
        window = self.window(req.service)
        waiting = window.waiting_results(now) if policy.plan_start else 0
        urgent = again or req.urgency == Urgency.URGENT
        if waiting >= policy.max_waiting_results + urgent:
            return NotYet(now + _RESULT_RETRY_S, "an own result waits for a slot")
        if policy.plan_start and not urgent:
            ahead_s = self._ahead_s(req)
            if ahead_s > policy.prefill_ahead_s:
                return NotYet(now + _RESULT_RETRY_S, "own prefills are not done")
        count = policy.candidates
        usable = self._usable(exclude, now)
        names = self.index.sample(req.service, "prefill", count, usable, self.rng)
        for name in self.cache.holders(req.prefix_digests, _HOLDERS):
            if name not in names and self._holds_role(name, req.service, usable):
                names.append(name)
        decodes = self.index.sample(req.service, "decode", count, usable, self.rng)
        if not names or not decodes:
            return NotYet(now + _LATEST_RETRY_S, "no usable server")
        prefills = sorted(
            (self._prefill(name, req, now) for name in names), key=lambda p: p.cost
        )
        prefills = self._shuffle_near_equal(prefills)[:_PREFILLS_COMPARED]
        start_at = now
        if policy.plan_start:
            if self._backlogged(prefills[0], req, now):
                later = max(prefills[0].backlog_s - policy.max_backlog_s, 0.01)
                return NotYet(now + later, "prefill backlog")
            extra = policy.urgent_extra if urgent else 0.0
            start_at = window.room_at(now, prefills[0].end - now, extra)
            if start_at > now + _START_HORIZON_S:
                return NotYet(start_at, "no decode slot expected in time")
        return self._best(req, prefills, decodes, start_at, now)

    def window(self, service: str) -> SendWindow:
        """Return the send window of a service; it starts below the even share."""
        window = self.windows.get(service)
        if window is None:
            share = max(1.0, self.loads.slots_of(service) / self.hosts)
            size = max(1.0, share * _FIRST_SHARE)
            window = SendWindow(self.cfg.policy, size, share)
            self.windows[service] = window
        return window

    def rescale(self, slots_before: dict[str, int], hosts: int) -> None:
        """Keep each window's part of the slots when servers or hosts change."""
        for service, window in self.windows.items():
            slots = self.loads.slots_of(service)
            before = slots_before.get(service, slots)
            if slots and before:
                change = slots / before * self.hosts / hosts
                window.size *= change
                window.share *= change
        self.hosts = hosts

    def choose_decode(
        self,
        req: CompletionRequest,
        source: str,
        now: float,
        exclude=frozenset(),
        waited_s: float = 0.0,
    ) -> tuple[str, float] | None:
        """Choose a decode server for a live prefill result, and when to try it.

        ``source`` is the data centre of the result. A try costs little and the result
        expires soon, so a server is tried even when no slot is expected; one that was
        busy a moment ago is tried again after a short randomised pause.
        """
        count = self.cfg.policy.candidates
        usable = self._usable(exclude, now)
        names = self.index.sample(req.service, "decode", count, usable, self.rng)
        pause = self._pause_s(req, waited_s)
        best = None
        for name in names:
            load = self.loads.servers[name]
            ready = now
            if load.last_busy + pause > now:
                ready = now + pause * self.rng.uniform(0.7, 1.3)
            target = load.server.data_centre
            cost = ready - now
            cost += self.links.transfer_s(source, target, req.kv_bytes, now)
            cost -= 0.02 * max(-2.0, min(2.0, self.loads.free_slots(load)))
            cost += self.rng.uniform(0, self.cfg.policy.near_equal_s)
            if best is None or cost < best[0]:
                best = (cost, name, ready)
        return None if best is None else best[1:]

    def _ahead_s(self, req: CompletionRequest) -> float:
        """Return how long the host's share of prefill needs for its own work, s."""
        own = self.loads.own_prefill_tokens(req.service)
        speed = self.loads.prefill_speed_of(req.service) / self.hosts
        return own / speed if own > 0 and speed > 0 else 0.0

    def _pause_s(self, req: CompletionRequest, waited_s: float) -> float:
        """Return the pause after a busy answer: short for costly and old results."""
        cheap = min(1.0, _CHEAP_PROMPT_TOKENS / max(1, req.prompt_tokens))
        pause = self.cfg.policy.retry_s * max(cheap, _LEAST_PAUSE_PART)
        left = 1.0 - waited_s / self.cfg.policy.result_lifetime_s
        return pause * max(_OLD_PAUSE_PART, left)

    def _best(self, req, prefills, decodes, start_at, now) -> Pair | NotYet:
        pairs: list[tuple[float, Pair]] = []
        wait = start_at - now
        for name in decodes:
            load = self.loads.servers[name]
            lacking = self._lacking_s(load, now)
            for prefill in prefills:
                transfer = self._transfer_s(prefill, load, req, now)
                if transfer > _MAX_TRANSFER_S and self.cfg.policy.plan_start:
                    continue
                end = prefill.end + wait
                first = end + max(transfer, lacking)
                cost = first + self._distance(load) + prefill.cost - prefill.end
                pair = Pair(
                    prefill.name, name, start_at, end, first, prefill.work_tokens
                )
                pairs.append((cost, pair))
        if not pairs:
            return NotYet(now + _LATEST_RETRY_S, "link share too small")
        return self._explained(self._pick(pairs), now, len(pairs))

    def _lacking_s(self, load: ServerLoad, now: float) -> float:
        """Return the expected wait for a slot of one server, seconds."""
        lacking = _SPARE_SLOTS - self.loads.free_slots(load)
        return max(0.0, lacking) * _SLOT_TURN_S

    def _pick(self, pairs) -> Pair:
        least = min(cost for cost, _ in pairs)
        bound = least + self.cfg.policy.near_equal_s
        return self.rng.choice([pair for cost, pair in pairs if cost <= bound])

    def _explained(self, pair: Pair, now: float, count: int) -> Pair:
        load = self.loads.servers[pair.decode]
        reason = (
            f"prefill ends in {pair.prefill_end - now:.3f} s, first token in "
            f"{pair.first_token - now:.3f} s, free slots {self.loads.free_slots(load)}"
            f" by a report of age {load.age(now):.2f} s, {count} pairs compared"
        )
        return attrs.evolve(pair, reason=reason)

    def _prefill(self, name: str, req: CompletionRequest, now: float) -> _Prefill:
        load = self.loads.servers[name]
        cached = self.cache.cached_tokens(name, req.prefix_digests)
        work = max(1.0, req.prompt_tokens - cached)
        backlog = self.loads.backlog_s(load, now)
        distance = self._distance(load)
        end = now + backlog + work / load.speed
        return _Prefill(
            name, load.server.data_centre, end, backlog, work, end + distance
        )

    def _backlogged(self, prefill: _Prefill, req, now: float) -> bool:
        if req.urgency == Urgency.URGENT:
            # Engines serve urgent prefills first, so the backlog matters less.
            return prefill.backlog_s > 2 * self.cfg.policy.max_backlog_s
        return prefill.backlog_s > self.cfg.policy.max_backlog_s

    def _transfer_s(self, prefill: _Prefill, load: ServerLoad, req, now) -> float:
        if prefill.name == load.server.name:
            return 0.0
        target = load.server.data_centre
        return self.links.transfer_s(prefill.data_centre, target, req.kv_bytes, now)

    def _distance(self, load: ServerLoad) -> float:
        if load.server.data_centre == self.cfg.data_centre:
            return 0.0
        return 2 * self.cfg.remote_latency_s + _REMOTE_PENALTY_S

    def _shuffle_near_equal(self, prefills: list[_Prefill]) -> list[_Prefill]:
        bound = prefills[0].cost + self.cfg.policy.near_equal_s
        near = [item for item in prefills if item.cost <= bound]
        self.rng.shuffle(near)
        return near + prefills[len(near) :]

    def _usable(self, exclude, now):
        def usable(name: str) -> bool:
            load = self.loads.servers.get(name)
            return load is not None and name not in exclude and load.usable(now)

        return usable

    def _holds_role(self, name: str, service: str, usable) -> bool:
        load = self.loads.servers.get(name)
        if load is None or not usable(name):
            return False
        return load.server.service == service and load.server.can_prefill()
