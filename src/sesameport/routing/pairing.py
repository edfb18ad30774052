"""Choose the prefill server, decode server and start time of a request together.

Engines keep a prefill result for less than a second. A prefill therefore starts only
when a decode slot and a share of the link are expected to be free when it ends.
"""

import random

import attrs

from sesameport.domain import CompletionRequest, Urgency
from sesameport.routing.cache_view import CacheView
from sesameport.routing.link_view import LinkView
from sesameport.routing.load_view import LoadView, ServerLoad
from sesameport.routing.messages import RouterConfig
from sesameport.routing.send_window import SendWindow
from sesameport.routing.server_index import ServerIndex

__all__ = ["Deferral", "ServerPair", "PairSelector"]

_SPARE_SLOTS = 2.0
"""Servers with at least this many free slots rank equally, as reports lag."""

_SLOT_RELEASE_INTERVAL_S = 0.05
"""Expected time between two slots becoming free on one full server."""

_MAX_TRANSFER_S = 0.5
"""A longer transfer leaves no time for a retry within the result's lifetime."""

_MAX_DEFERRAL_S = 0.1
_START_HORIZON_S = 0.02
"""A later start is not decided yet, so that the decision can use newer reports."""

_CACHED_CANDIDATES = 2
"""Servers with a cached prefix of the prompt that are added to the sample."""

_PREFILLS_COMPARED = 2
_OWN_WORK_RETRY_S = 0.02
_MIN_AGE_FACTOR = 0.25
_CHEAP_PROMPT_TOKENS = 500
"""Prompts up to this length get the full delay before a retry."""

_MIN_COST_FACTOR = 0.25
_INITIAL_WINDOW_FRACTION = 0.85
"""Initial window as a fraction of a host's even share of the slots.

After a cold start all slots fill at the same time, and none becomes free for a while.
"""

_REMOTE_PENALTY_S = 0.02
"""Cost of a remote server beyond its latency, as transfers use shared links."""


@attrs.frozen
class Deferral:
    """Report that a request cannot start yet, and when to try it again."""

    retry_at: float
    reason: str


@attrs.frozen
class ServerPair:
    """Represent a prefill server and a decode server chosen for a request.

    Times are expected values in monotonic seconds. ``work_tokens`` is the part of the
    prompt that is probably not cached.
    """

    prefill: str
    decode: str
    start_at: float
    prefill_end_at: float
    first_token_at: float
    work_tokens: float
    reason: str = ""


@attrs.frozen
class _PrefillCandidate:
    name: str
    data_centre: str
    end_at: float
    backlog_s: float
    work_tokens: float
    cost: float


@attrs.define
class PairSelector:
    """Choose pairs of servers by the load, cache and link views of one host."""

    cfg: RouterConfig
    loads: LoadView
    cache: CacheView
    links: LinkView
    index: ServerIndex
    rng: random.Random
    host_count: int = 1
    windows: dict[str, SendWindow] = attrs.field(factory=dict)

    def choose(
        self,
        req: CompletionRequest,
        now: float,
        exclude: frozenset[str] = frozenset(),
        is_retry: bool = False,
    ) -> ServerPair | Deferral:
        """Return a pair of servers for a request, or a Deferral.

        A retry (a request that was placed before) may exceed the send window by as much
        as an urgent request.
        """
        policy = self.cfg.policy
        window = self.send_window(req.service)
        waiting = window.waiting_result_count(now) if policy.plan_start_time else 0
        is_urgent = is_retry or req.urgency == Urgency.URGENT
        if waiting >= policy.max_waiting_results + is_urgent:
            return Deferral(now + _OWN_WORK_RETRY_S, "an own result waits for a slot")
        if policy.plan_start_time and not is_urgent:
            own_prefill_s = self._own_prefill_s(req)
            if own_prefill_s > policy.max_own_prefill_s:
                return Deferral(now + _OWN_WORK_RETRY_S, "own prefills are not done")
        count = policy.candidates
        is_usable = self._usability_check(exclude, now)
        names = self.index.sample(req.service, "prefill", count, is_usable, self.rng)
        for name in self.cache.servers_with_prefix(
            req.prefix_digests, _CACHED_CANDIDATES
        ):
            if name not in names and self._serves_prefill(name, req.service, is_usable):
                names.append(name)
        decodes = self.index.sample(req.service, "decode", count, is_usable, self.rng)
        if not names or not decodes:
            return Deferral(now + _MAX_DEFERRAL_S, "no usable server")
        prefills = sorted(
            (self._prefill_candidate(name, req, now) for name in names),
            key=lambda p: p.cost,
        )
        prefills = self._shuffle_ties(prefills)[:_PREFILLS_COMPARED]
        start_at = now
        if policy.plan_start_time:
            if self._is_backlogged(prefills[0], req, now):
                delay_s = max(
                    prefills[0].backlog_s - policy.max_prefill_backlog_s, 0.01
                )
                return Deferral(now + delay_s, "prefill backlog")
            extra = policy.urgent_extra_requests if is_urgent else 0.0
            start_at = window.earliest_start(now, prefills[0].end_at - now, extra)
            if start_at > now + _START_HORIZON_S:
                return Deferral(start_at, "no decode slot expected in time")
        return self._best_pair(req, prefills, decodes, start_at, now)

    def send_window(self, service: str) -> SendWindow:
        """Return the send window of a service; create it if there is none yet."""
        window = self.windows.get(service)
        if window is None:
            even_share = max(1.0, self.loads.decode_slots(service) / self.host_count)
            size = max(1.0, even_share * _INITIAL_WINDOW_FRACTION)
            window = SendWindow(self.cfg.policy, size, even_share)
            self.windows[service] = window
        return window

    def rescale_windows(self, slots_before: dict[str, int], host_count: int) -> None:
        """Scale the windows with the slots per host when servers or hosts change."""
        for service, window in self.windows.items():
            slots = self.loads.decode_slots(service)
            before = slots_before.get(service, slots)
            if slots and before:
                factor = slots / before * self.host_count / host_count
                window.size *= factor
                window.even_share *= factor
        self.host_count = host_count

    def choose_decode(
        self,
        req: CompletionRequest,
        source: str,
        now: float,
        exclude=frozenset(),
        waited_s: float = 0.0,
    ) -> tuple[str, float] | None:
        """Return a decode server for an unexpired prefill result and the call time.

        ``source`` is the data centre of the result. A call costs little and the result
        expires soon, so a server is called even if no free slot is expected. A server
        that has just answered busy is called again after a short random delay. None
        means that no decode server is usable.
        """
        count = self.cfg.policy.candidates
        is_usable = self._usability_check(exclude, now)
        names = self.index.sample(req.service, "decode", count, is_usable, self.rng)
        delay_s = self._retry_delay_s(req, waited_s)
        best = None
        for name in names:
            load = self.loads.servers[name]
            call_at = now
            if load.last_busy_at + delay_s > now:
                call_at = now + delay_s * self.rng.uniform(0.7, 1.3)
            target = load.server.data_centre
            cost = call_at - now
            cost += self.links.transfer_s(source, target, req.kv_bytes, now)
            cost -= 0.02 * max(-2.0, min(2.0, self.loads.free_slots(load)))
            cost += self.rng.uniform(0, self.cfg.policy.tie_margin_s)
            if best is None or cost < best[0]:
                best = (cost, name, call_at)
        return None if best is None else best[1:]

    def _own_prefill_s(self, req: CompletionRequest) -> float:
        """Return the time to run this host's prefills at its share of the speed, s."""
        tokens = self.loads.own_prefill_tokens(req.service)
        speed = self.loads.prefill_speed(req.service) / self.host_count
        return tokens / speed if tokens > 0 and speed > 0 else 0.0

    def _retry_delay_s(self, req: CompletionRequest, waited_s: float) -> float:
        """Return the delay after a busy answer, shorter for costly and old results."""
        cost_factor = min(1.0, _CHEAP_PROMPT_TOKENS / max(1, req.prompt_tokens))
        delay_s = self.cfg.policy.max_retry_delay_s * max(cost_factor, _MIN_COST_FACTOR)
        age_factor = 1.0 - waited_s / self.cfg.policy.result_lifetime_s
        return delay_s * max(_MIN_AGE_FACTOR, age_factor)

    def _best_pair(
        self, req, prefills, decodes, start_at, now
    ) -> ServerPair | Deferral:
        pairs: list[tuple[float, ServerPair]] = []
        wait_s = start_at - now
        for name in decodes:
            load = self.loads.servers[name]
            slot_wait_s = self._slot_wait_s(load, now)
            for prefill in prefills:
                transfer_s = self._transfer_s(prefill, load, req, now)
                if transfer_s > _MAX_TRANSFER_S and self.cfg.policy.plan_start_time:
                    continue
                end_at = prefill.end_at + wait_s
                token_at = end_at + max(transfer_s, slot_wait_s)
                cost = (
                    token_at
                    + self._remote_penalty_s(load)
                    + prefill.cost
                    - prefill.end_at
                )
                pair = ServerPair(
                    prefill.name, name, start_at, end_at, token_at, prefill.work_tokens
                )
                pairs.append((cost, pair))
        if not pairs:
            return Deferral(now + _MAX_DEFERRAL_S, "link share too small")
        return self._with_reason(self._random_near_best(pairs), now, len(pairs))

    def _slot_wait_s(self, load: ServerLoad, now: float) -> float:
        """Return the expected wait for a decode slot of a server, seconds."""
        missing_slots = _SPARE_SLOTS - self.loads.free_slots(load)
        return max(0.0, missing_slots) * _SLOT_RELEASE_INTERVAL_S

    def _random_near_best(self, pairs) -> ServerPair:
        min_cost = min(cost for cost, _ in pairs)
        bound = min_cost + self.cfg.policy.tie_margin_s
        return self.rng.choice([pair for cost, pair in pairs if cost <= bound])

    def _with_reason(self, pair: ServerPair, now: float, count: int) -> ServerPair:
        load = self.loads.servers[pair.decode]
        reason = (
            f"prefill ends in {pair.prefill_end_at - now:.3f} s, first token in "
            f"{pair.first_token_at - now:.3f} s, free slots "
            f"{self.loads.free_slots(load)} by a report of age "
            f"{load.report_age_s(now):.2f} s, {count} pairs compared"
        )
        return attrs.evolve(pair, reason=reason)

    def _prefill_candidate(
        self, name: str, req: CompletionRequest, now: float
    ) -> _PrefillCandidate:
        load = self.loads.servers[name]
        cached_tokens = self.cache.cached_tokens(name, req.prefix_digests)
        tokens = max(1.0, req.prompt_tokens - cached_tokens)
        backlog_s = self.loads.backlog_s(load, now)
        penalty_s = self._remote_penalty_s(load)
        end_at = now + backlog_s + tokens / load.speed
        return _PrefillCandidate(
            name, load.server.data_centre, end_at, backlog_s, tokens, end_at + penalty_s
        )

    def _is_backlogged(self, prefill: _PrefillCandidate, req, now: float) -> bool:
        if req.urgency == Urgency.URGENT:
            # Engines run urgent prefills first, so they wait for less of the backlog.
            return prefill.backlog_s > 2 * self.cfg.policy.max_prefill_backlog_s
        return prefill.backlog_s > self.cfg.policy.max_prefill_backlog_s

    def _transfer_s(
        self, prefill: _PrefillCandidate, load: ServerLoad, req, now
    ) -> float:
        if prefill.name == load.server.name:
            return 0.0
        target = load.server.data_centre
        return self.links.transfer_s(prefill.data_centre, target, req.kv_bytes, now)

    def _remote_penalty_s(self, load: ServerLoad) -> float:
        if load.server.data_centre == self.cfg.data_centre:
            return 0.0
        return 2 * self.cfg.remote_latency_s + _REMOTE_PENALTY_S

    def _shuffle_ties(
        self, prefills: list[_PrefillCandidate]
    ) -> list[_PrefillCandidate]:
        bound = prefills[0].cost + self.cfg.policy.tie_margin_s
        ties = [prefill for prefill in prefills if prefill.cost <= bound]
        self.rng.shuffle(ties)
        return ties + prefills[len(ties) :]

    def _usability_check(self, exclude, now):
        def is_usable(name: str) -> bool:
            load = self.loads.servers.get(name)
            return load is not None and name not in exclude and load.is_usable(now)

        return is_usable

    def _serves_prefill(self, name: str, service: str, is_usable) -> bool:
        load = self.loads.servers.get(name)
        if load is None or not is_usable(name):
            return False
        return load.server.service == service and load.server.can_prefill()
