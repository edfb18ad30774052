"""Order the requests of one service that wait for a placement.

Tiers are served in this order: urgent requests; urgent requests that can no longer meet
their target; patient requests; patient requests that can no longer meet theirs. A
patient request joins the first tier when three quarters of its time to the first token
are over, so that it is never starved. Inside a tier, workspaces are served by a virtual
token counter (VTC, OSDI 2024). Every workspace has one lane for short and one for long
prompts per tier, so that a long prompt that cannot be placed blocks no short one.
"""

import heapq
import itertools
import math
from collections import deque
from collections.abc import Iterator

import attrs

from sesameport.world import CompletionRequest, Refusal, RefusalType, Urgency

__all__ = ["Entry", "WaitingOrder"]

_URGENT, _LATE, _PATIENT, _LAST = range(4)
_LONG_TOKENS = 2_000
_TIMERS_PER_POLL = 64
_AGING_SHARE = 0.75
_RATE_WINDOW_S = 5.0
# Below this many waiting requests the measured rate says nothing about capacity.
_REFUSE_FROM_WAITING = 20
_LEAST_RETRY_S = 1.0
_STALE_BOUND = 64

_LaneKey = tuple[int, str, bool]


@attrs.define(eq=False)
class Entry:
    """Hold one waiting request. ``target`` is the latest start that meets it."""

    req: CompletionRequest
    target: float
    tier: int
    queued_at: float
    gone: bool = False

    @property
    def tokens(self) -> int:
        """Return the tokens that the request is charged."""
        return self.req.prompt_tokens + self.req.expected_output_tokens

    def lane(self) -> _LaneKey:
        """Return the key of the lane that the entry waits in."""
        return self.tier, self.req.workspace, self.req.prompt_tokens > _LONG_TOKENS


@attrs.define
class _Workspace:
    counter: float = 0.0
    weight: float = 1.0
    waiting: int = 0
    tokens: int = 0
    urgent_tokens: int = 0
    active_mark: int = 0


@attrs.define
class WaitingOrder:
    """Hold the waiting requests of one service in bounded queues.

    Every operation costs O(log n) for n waiting requests; a poll looks at a constant
    number of lanes.
    """

    max_waiting: int
    max_per_workspace: int
    _entries: dict[str, Entry] = attrs.field(factory=dict)
    _lanes: dict[_LaneKey, deque[Entry]] = attrs.field(factory=dict)
    _heaps: tuple[list, ...] = attrs.field(factory=lambda: ([], [], [], []))
    _timers: list = attrs.field(factory=list)
    _workspaces: dict[str, _Workspace] = attrs.field(factory=dict)
    _active: list = attrs.field(factory=list)
    _active_weight: float = 0.0
    _floor: float = 0.0
    _queued: set[_LaneKey] = attrs.field(factory=set)
    _stale: int = 0
    _numbers: Iterator[int] = attrs.field(factory=itertools.count)
    _served: float = 0.0
    _served_at: float | None = None
    _started_at: float | None = None

    def __len__(self) -> int:
        return len(self._entries)

    def set_weights(self, weights: dict[str, float]) -> None:
        """Set the weights of workspaces and forget those that are not named."""
        for name in list(self._workspaces):
            if name not in weights and not self._workspaces[name].waiting:
                del self._workspaces[name]
        for name, weight in weights.items():
            space = self._workspace(name)
            if space.waiting:
                self._active_weight += weight - space.weight
            space.weight = weight

    def offer(
        self, req: CompletionRequest, target: float, now: float
    ) -> Refusal | None:
        """Queue a request, or return an early refusal; it then has not run."""
        space = self._workspace(req.workspace)
        wait = self.expected_wait_s(req.workspace, req.urgency)
        retry = max(_LEAST_RETRY_S, round(wait, 1))
        if len(self._entries) >= self.max_waiting:
            detail = f"{len(self._entries)} requests wait, the bound of the queue"
            return Refusal(RefusalType.QUEUE_FULL, detail=detail, retry_after_s=retry)
        if space.waiting >= self.max_per_workspace:
            detail = f"{space.waiting} requests of the workspace wait, its bound"
            return Refusal(RefusalType.QUEUE_FULL, detail=detail, retry_after_s=retry)
        hopeless = now + wait > req.deadline
        if hopeless and len(self._entries) >= _REFUSE_FROM_WAITING:
            detail = f"expected wait {wait:.1f} s exceeds the request's deadline"
            return Refusal(RefusalType.QUEUE_FULL, detail=detail, retry_after_s=retry)
        self._add(req, target, now, first=False)
        return None

    def put_back(self, req: CompletionRequest, target: float, now: float) -> None:
        """Queue a request again at the front; it is not refused or charged twice."""
        space = self._workspace(req.workspace)
        space.counter -= self._charge(req, space)
        self._add(req, target, now, first=True)

    def remove(self, request_id: str) -> bool:
        """Drop a request; False if it does not wait."""
        entry = self._entries.pop(request_id, None)
        if entry is None:
            return False
        self._leave(entry)
        return True

    def take(self, entry: Entry, now: float) -> None:
        """Remove a request that was placed and charge its workspace."""
        del self._entries[entry.req.request_id]
        self._leave(entry)
        space = self._workspaces[entry.req.workspace]
        space.counter += self._charge(entry.req, space)
        self._count_served(entry.tokens, now)

    def due(self, now: float) -> list[Entry]:
        """Move entries between tiers and return those whose deadline passed."""
        expired = []
        for _ in range(_TIMERS_PER_POLL):
            if not self._timers or self._timers[0][0] > now:
                break
            _, _, entry, tier = heapq.heappop(self._timers)
            if entry.gone:
                continue
            if tier is None:
                del self._entries[entry.req.request_id]
                self._leave(entry)
                expired.append(entry)
                continue
            if entry.tier != tier:
                self._move(entry, tier)
        return expired

    def next_due(self) -> float | None:
        """Return the time of the next tier change or deadline."""
        while self._timers and self._timers[0][2].gone:
            heapq.heappop(self._timers)
        return self._timers[0][0] if self._timers else None

    def heads(self, limit: int) -> Iterator[Entry]:
        """Yield up to ``limit`` lane heads in order of service.

        The caller may ``take`` the yielded entry; the lane's next head is then
        considered at once.
        """
        held = []
        try:
            for heap in self._heaps:
                while heap and limit > 0:
                    item = self._pop_lane(heap)
                    if item is None:
                        break
                    key, entry = item
                    limit -= 1
                    # The caller may stop here, so the lane is kept for the clean-up.
                    held.append(key)
                    yield entry
                    if entry.gone:
                        held.pop()
                        if self._lanes.get(key):
                            self._push_lane(key)
                if limit <= 0:
                    return
        finally:
            for key in held:
                if self._lanes.get(key):
                    self._push_lane(key)

    def expected_wait_s(self, workspace: str, urgency: Urgency) -> float:
        """Return the expected wait of a workspace's next request, seconds.

        It counts what the workspace has queued in front of the request, at its share
        of the measured rate. Urgent requests wait for urgent ones only.
        """
        rate = self.rate_tokens_per_s()
        space = self._workspaces.get(workspace)
        if not rate or space is None:
            return 0.0
        ahead = space.tokens
        if urgency == Urgency.URGENT:
            ahead = space.urgent_tokens
        if not ahead:
            return 0.0
        share = space.weight / max(self._active_weight, space.weight)
        return ahead / (rate * share)

    def rate_tokens_per_s(self) -> float:
        """Return the measured rate of placements, tokens per second."""
        if self._started_at is None or self._served_at is None:
            return 0.0
        span = min(_RATE_WINDOW_S, max(1.0, self._served_at - self._started_at))
        return self._served / span

    def counter(self, workspace: str) -> float:
        """Return the virtual token counter of a workspace."""
        return self._workspace(workspace).counter

    def _workspace(self, name: str) -> _Workspace:
        return self._workspaces.setdefault(name, _Workspace())

    def _charge(self, req: CompletionRequest, space: _Workspace) -> float:
        tokens = req.prompt_tokens + req.expected_output_tokens
        return tokens / max(space.weight, 1e-6)

    def _add(self, req, target: float, now: float, first: bool) -> None:
        space = self._workspace(req.workspace)
        if not space.waiting:
            self._lift(req.workspace, space)
            self._active_weight += space.weight
        tier = _URGENT if req.urgency == Urgency.URGENT else _PATIENT
        aging_at = req.arrived + _AGING_SHARE * (target - req.arrived)
        if tier == _PATIENT and aging_at <= now:
            tier = _URGENT
        late = _LATE if req.urgency == Urgency.URGENT else _LAST
        if target < now:
            tier = late
        entry = Entry(req, target, tier, now)
        self._entries[req.request_id] = entry
        space.waiting += 1
        space.tokens += entry.tokens
        if req.urgency == Urgency.URGENT:
            space.urgent_tokens += entry.tokens
        if tier == _PATIENT:
            self._time(aging_at, entry, _URGENT)
        if tier != late:
            self._time(target, entry, late)
        self._time(req.deadline, entry, None)
        self._append(entry, first)

    def _lift(self, name: str, space: _Workspace) -> None:
        while self._active:
            counter, other, mark = self._active[0]
            if not self._is_current(self._active[0]):
                heapq.heappop(self._active)
                continue
            known = self._workspaces[other]
            if counter < known.counter:
                heapq.heapreplace(self._active, (known.counter, other, mark))
                continue
            self._floor = max(self._floor, counter)
            break
        space.counter = max(space.counter, self._floor)
        space.active_mark += 1
        heapq.heappush(self._active, (space.counter, name, space.active_mark))

    def _is_current(self, item: tuple[float, str, int]) -> bool:
        known = self._workspaces.get(item[1])
        return known is not None and known.waiting > 0 and known.active_mark == item[2]

    def _leave(self, entry: Entry) -> None:
        entry.gone = True
        space = self._workspaces[entry.req.workspace]
        space.waiting -= 1
        if not space.waiting:
            self._active_weight -= space.weight
        space.tokens -= entry.tokens
        if entry.req.urgency == Urgency.URGENT:
            space.urgent_tokens -= entry.tokens
        self._clean(entry.lane())
        self._stale += 1
        if self._stale > 2 * len(self._entries) + _STALE_BOUND:
            self._compact()

    def _compact(self) -> None:
        # Entries keep prompts in memory, so those that left are dropped from timers
        # and lanes before their time. The cost is O(1) per request on average.
        self._stale = 0
        self._timers = [item for item in self._timers if not item[2].gone]
        heapq.heapify(self._timers)
        self._active = [item for item in self._active if self._is_current(item)]
        heapq.heapify(self._active)
        for key, lane in list(self._lanes.items()):
            kept = deque(e for e in lane if not e.gone and e.tier == key[0])
            if kept:
                self._lanes[key] = kept
            else:
                del self._lanes[key]

    def _move(self, entry: Entry, tier: int) -> None:
        old = entry.lane()
        entry.tier = tier
        self._clean(old)
        self._append(entry, first=False)

    def _append(self, entry: Entry, first: bool) -> None:
        key = entry.lane()
        lane = self._lanes.get(key)
        if lane is None:
            lane = self._lanes[key] = deque()
            self._push_lane(key)
        if first:
            lane.appendleft(entry)
        else:
            lane.append(entry)

    def _clean(self, key: _LaneKey) -> None:
        lane = self._lanes.get(key)
        while lane and (lane[0].gone or lane[0].tier != key[0]):
            lane.popleft()
        while lane and (lane[-1].gone or lane[-1].tier != key[0]):
            lane.pop()
        if lane is not None and not lane:
            del self._lanes[key]

    def _push_lane(self, key: _LaneKey) -> None:
        if key in self._queued:
            return
        self._queued.add(key)
        counter = self._workspace(key[1]).counter
        heapq.heappush(self._heaps[key[0]], (counter, next(self._numbers), key))

    def _pop_lane(self, heap) -> tuple[_LaneKey, Entry] | None:
        while heap:
            counter, _, key = heapq.heappop(heap)
            self._queued.discard(key)
            self._clean(key)
            lane = self._lanes.get(key)
            if not lane:
                continue
            actual = self._workspace(key[1]).counter
            if counter < actual:
                self._push_lane(key)
                continue
            return key, lane[0]
        return None

    def _time(self, at: float, entry: Entry, tier: int | None) -> None:
        heapq.heappush(self._timers, (at, next(self._numbers), entry, tier))

    def _count_served(self, tokens: int, now: float) -> None:
        if self._started_at is None:
            self._started_at = self._served_at = now
        passed = now - self._served_at
        self._served = self._served * math.exp(-passed / _RATE_WINDOW_S) + tokens
        self._served_at = now
