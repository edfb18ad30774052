"""Order the requests of one service that wait for a placement.

Tiers are served in this order: urgent requests, urgent requests that can no longer meet
their target, patient requests, and patient requests that can no longer meet theirs. A
patient request moves to the first tier after three quarters of the time to its latest
start, to prevent starvation. Within a tier, workspaces are served by a virtual token
counter (VTC, OSDI 2024). In each tier, a workspace has one lane for short and one for
long prompts, so a long prompt that cannot be placed does not block short ones.
"""

import heapq
import itertools
import math
from collections import deque
from collections.abc import Iterator

import attrs

from sesameport.domain import CompletionRequest, Refusal, RefusalType, Urgency

__all__ = ["PlacementQueue", "QueueEntry"]

_URGENT, _URGENT_LATE, _PATIENT, _PATIENT_LATE = range(4)
_LONG_PROMPT_TOKENS = 2_000
_TIMERS_PER_POLL = 64
_AGING_FRACTION = 0.75
_RATE_WINDOW_S = 5.0
_MIN_WAITING_FOR_REFUSAL = 20
"""Queue length below which no request is refused for its expected wait. The rate of
placements of a short queue does not reflect the capacity."""

_MIN_RETRY_AFTER_S = 1.0
_MIN_COMPACTION_COUNT = 64

_LaneKey = tuple[int, str, bool]


@attrs.define(eq=False)
class QueueEntry:
    """Represent a waiting request; one placed by ``latest_start`` meets its target."""

    req: CompletionRequest
    latest_start: float
    tier: int
    queued_at: float
    is_removed: bool = False

    @property
    def tokens(self) -> int:
        """Return the tokens charged to the workspace for the request."""
        return self.req.prompt_tokens + self.req.expected_output_tokens

    def lane_key(self) -> _LaneKey:
        """Return the key of the entry's lane."""
        return (
            self.tier,
            self.req.workspace,
            self.req.prompt_tokens > _LONG_PROMPT_TOKENS,
        )


@attrs.define
class _WorkspaceState:
    virtual_counter: float = 0.0
    weight: float = 1.0
    waiting: int = 0
    tokens: int = 0
    urgent_tokens: int = 0
    activation: int = 0


@attrs.define
class PlacementQueue:
    """Queue the requests of one service that wait for a placement.

    Every operation takes amortised O(log n) for n waiting requests. ``lane_heads``
    yields at most ``limit`` entries.
    """

    max_waiting: int
    max_per_workspace: int
    _entries: dict[str, QueueEntry] = attrs.field(factory=dict)
    _lanes: dict[_LaneKey, deque[QueueEntry]] = attrs.field(factory=dict)
    _heaps: tuple[list, ...] = attrs.field(factory=lambda: ([], [], [], []))
    _timers: list = attrs.field(factory=list)
    _workspaces: dict[str, _WorkspaceState] = attrs.field(factory=dict)
    _active_heap: list = attrs.field(factory=list)
    _active_weight: float = 0.0
    _min_counter: float = 0.0
    _queued_lanes: set[_LaneKey] = attrs.field(factory=set)
    _removed_since_compaction: int = 0
    _sequence: Iterator[int] = attrs.field(factory=itertools.count)
    _served_tokens: float = 0.0
    _last_served_at: float | None = None
    _first_served_at: float | None = None

    def __len__(self) -> int:
        return len(self._entries)

    def set_weights(self, weights: dict[str, float]) -> None:
        """Set the workspace weights; remove idle workspaces that are not listed."""
        for name in list(self._workspaces):
            if name not in weights and not self._workspaces[name].waiting:
                del self._workspaces[name]
        for name, weight in weights.items():
            state = self._workspace_state(name)
            if state.waiting:
                self._active_weight += weight - state.weight
            state.weight = weight

    def offer(
        self, req: CompletionRequest, latest_start: float, now: float
    ) -> Refusal | None:
        """Queue a request; return None, or a Refusal if it was not queued."""
        state = self._workspace_state(req.workspace)
        wait_s = self.expected_wait_s(req.workspace, req.urgency)
        delay_s = max(_MIN_RETRY_AFTER_S, round(wait_s, 1))
        if len(self._entries) >= self.max_waiting:
            detail = f"{len(self._entries)} requests wait, the bound of the queue"
            return Refusal(RefusalType.QUEUE_FULL, detail=detail, retry_after_s=delay_s)
        if state.waiting >= self.max_per_workspace:
            detail = f"{state.waiting} requests of the workspace wait, its bound"
            return Refusal(RefusalType.QUEUE_FULL, detail=detail, retry_after_s=delay_s)
        is_late = now + wait_s > req.deadline
        if is_late and len(self._entries) >= _MIN_WAITING_FOR_REFUSAL:
            detail = f"expected wait {wait_s:.1f} s exceeds the request's deadline"
            return Refusal(RefusalType.QUEUE_FULL, detail=detail, retry_after_s=delay_s)
        self._add(req, latest_start, now, at_front=False)
        return None

    def requeue(self, req: CompletionRequest, latest_start: float, now: float) -> None:
        """Queue a request again at the front of its lane and refund its charge.

        Requests that were placed before are never refused.
        """
        state = self._workspace_state(req.workspace)
        state.virtual_counter -= self._charge(req, state)
        self._add(req, latest_start, now, at_front=True)

    def remove(self, request_id: str) -> bool:
        """Remove a waiting request and return whether it was in the queue."""
        entry = self._entries.pop(request_id, None)
        if entry is None:
            return False
        self._unlink(entry)
        return True

    def dequeue(self, entry: QueueEntry, now: float) -> None:
        """Remove a placed request from the queue and charge its workspace."""
        del self._entries[entry.req.request_id]
        self._unlink(entry)
        state = self._workspaces[entry.req.workspace]
        state.virtual_counter += self._charge(entry.req, state)
        self._record_served(entry.tokens, now)

    def process_timers(self, now: float) -> list[QueueEntry]:
        """Move entries between tiers; remove and return those past their deadline."""
        expired = []
        for _ in range(_TIMERS_PER_POLL):
            if not self._timers or self._timers[0][0] > now:
                break
            _, _, entry, tier = heapq.heappop(self._timers)
            if entry.is_removed:
                continue
            if tier is None:
                del self._entries[entry.req.request_id]
                self._unlink(entry)
                expired.append(entry)
                continue
            if entry.tier != tier:
                self._move(entry, tier)
        return expired

    def next_timer_at(self) -> float | None:
        """Return the time of the next tier change or deadline, or None."""
        while self._timers and self._timers[0][2].is_removed:
            heapq.heappop(self._timers)
        return self._timers[0][0] if self._timers else None

    def lane_heads(self, limit: int) -> Iterator[QueueEntry]:
        """Yield up to ``limit`` lane heads in service order.

        If the caller dequeues a yielded entry, the next head of its lane becomes
        eligible at once.
        """
        popped = []
        try:
            for heap in self._heaps:
                while heap and limit > 0:
                    popped_lane = self._pop_lane(heap)
                    if popped_lane is None:
                        break
                    key, entry = popped_lane
                    limit -= 1
                    # If the caller stops iterating here, the lane is pushed back below.
                    popped.append(key)
                    yield entry
                    if entry.is_removed:
                        popped.pop()
                        if self._lanes.get(key):
                            self._push_lane(key)
                if limit <= 0:
                    return
        finally:
            for key in popped:
                if self._lanes.get(key):
                    self._push_lane(key)

    def expected_wait_s(self, workspace: str, urgency: Urgency) -> float:
        """Return the expected wait of a workspace's next request, seconds.

        This is the time to serve the workspace's queued tokens at its share of the
        measured rate. Urgent requests wait only for urgent ones.
        """
        rate = self.rate_tokens_per_s()
        state = self._workspaces.get(workspace)
        if not rate or state is None:
            return 0.0
        queued_tokens = state.tokens
        if urgency == Urgency.URGENT:
            queued_tokens = state.urgent_tokens
        if not queued_tokens:
            return 0.0
        share = state.weight / max(self._active_weight, state.weight)
        return queued_tokens / (rate * share)

    def rate_tokens_per_s(self) -> float:
        """Return the measured rate of placements, tokens per second."""
        if self._first_served_at is None or self._last_served_at is None:
            return 0.0
        span_s = min(
            _RATE_WINDOW_S, max(1.0, self._last_served_at - self._first_served_at)
        )
        return self._served_tokens / span_s

    def virtual_counter(self, workspace: str) -> float:
        """Return the virtual token counter of a workspace."""
        return self._workspace_state(workspace).virtual_counter

    def _workspace_state(self, name: str) -> _WorkspaceState:
        return self._workspaces.setdefault(name, _WorkspaceState())

    def _charge(self, req: CompletionRequest, state: _WorkspaceState) -> float:
        tokens = req.prompt_tokens + req.expected_output_tokens
        return tokens / max(state.weight, 1e-6)

    def _add(self, req, latest_start: float, now: float, at_front: bool) -> None:
        state = self._workspace_state(req.workspace)
        if not state.waiting:
            self._lift_counter(req.workspace, state)
            self._active_weight += state.weight
        tier = _URGENT if req.urgency == Urgency.URGENT else _PATIENT
        aging_at = req.arrived_at + _AGING_FRACTION * (latest_start - req.arrived_at)
        if tier == _PATIENT and aging_at <= now:
            tier = _URGENT
        late_tier = _URGENT_LATE if req.urgency == Urgency.URGENT else _PATIENT_LATE
        if latest_start < now:
            tier = late_tier
        entry = QueueEntry(req, latest_start, tier, now)
        self._entries[req.request_id] = entry
        state.waiting += 1
        state.tokens += entry.tokens
        if req.urgency == Urgency.URGENT:
            state.urgent_tokens += entry.tokens
        if tier == _PATIENT:
            self._add_timer(aging_at, entry, _URGENT)
        if tier != late_tier:
            self._add_timer(latest_start, entry, late_tier)
        self._add_timer(req.deadline, entry, None)
        self._append(entry, at_front)

    def _lift_counter(self, name: str, state: _WorkspaceState) -> None:
        while self._active_heap:
            counter, other, activation = self._active_heap[0]
            if not self._is_current(self._active_heap[0]):
                heapq.heappop(self._active_heap)
                continue
            other_state = self._workspaces[other]
            if counter < other_state.virtual_counter:
                heapq.heapreplace(
                    self._active_heap, (other_state.virtual_counter, other, activation)
                )
                continue
            self._min_counter = max(self._min_counter, counter)
            break
        state.virtual_counter = max(state.virtual_counter, self._min_counter)
        state.activation += 1
        heapq.heappush(
            self._active_heap, (state.virtual_counter, name, state.activation)
        )

    def _is_current(self, item: tuple[float, str, int]) -> bool:
        state = self._workspaces.get(item[1])
        return state is not None and state.waiting > 0 and state.activation == item[2]

    def _unlink(self, entry: QueueEntry) -> None:
        entry.is_removed = True
        state = self._workspaces[entry.req.workspace]
        state.waiting -= 1
        if not state.waiting:
            self._active_weight -= state.weight
        state.tokens -= entry.tokens
        if entry.req.urgency == Urgency.URGENT:
            state.urgent_tokens -= entry.tokens
        self._prune_lane(entry.lane_key())
        self._removed_since_compaction += 1
        if (
            self._removed_since_compaction
            > 2 * len(self._entries) + _MIN_COMPACTION_COUNT
        ):
            self._compact()

    def _compact(self) -> None:
        # Removed entries would keep their prompts in memory until their timers expire.
        # The amortised cost of removing them here is O(1) per request.
        self._removed_since_compaction = 0
        self._timers = [item for item in self._timers if not item[2].is_removed]
        heapq.heapify(self._timers)
        self._active_heap = [
            item for item in self._active_heap if self._is_current(item)
        ]
        heapq.heapify(self._active_heap)
        for key, lane in list(self._lanes.items()):
            remaining = deque(e for e in lane if not e.is_removed and e.tier == key[0])
            if remaining:
                self._lanes[key] = remaining
            else:
                del self._lanes[key]

    def _move(self, entry: QueueEntry, tier: int) -> None:
        old_key = entry.lane_key()
        entry.tier = tier
        self._prune_lane(old_key)
        self._append(entry, at_front=False)

    def _append(self, entry: QueueEntry, at_front: bool) -> None:
        key = entry.lane_key()
        lane = self._lanes.get(key)
        if lane is None:
            lane = self._lanes[key] = deque()
            self._push_lane(key)
        if at_front:
            lane.appendleft(entry)
        else:
            lane.append(entry)

    def _prune_lane(self, key: _LaneKey) -> None:
        lane = self._lanes.get(key)
        while lane and (lane[0].is_removed or lane[0].tier != key[0]):
            lane.popleft()
        while lane and (lane[-1].is_removed or lane[-1].tier != key[0]):
            lane.pop()
        if lane is not None and not lane:
            del self._lanes[key]

    def _push_lane(self, key: _LaneKey) -> None:
        if key in self._queued_lanes:
            return
        self._queued_lanes.add(key)
        counter = self._workspace_state(key[1]).virtual_counter
        heapq.heappush(self._heaps[key[0]], (counter, next(self._sequence), key))

    def _pop_lane(self, heap) -> tuple[_LaneKey, QueueEntry] | None:
        while heap:
            counter, _, key = heapq.heappop(heap)
            self._queued_lanes.discard(key)
            self._prune_lane(key)
            lane = self._lanes.get(key)
            if not lane:
                continue
            actual = self._workspace_state(key[1]).virtual_counter
            if counter < actual:
                self._push_lane(key)
                continue
            return key, lane[0]
        return None

    def _add_timer(self, at: float, entry: QueueEntry, tier: int | None) -> None:
        heapq.heappush(self._timers, (at, next(self._sequence), entry, tier))

    def _record_served(self, tokens: int, now: float) -> None:
        if self._first_served_at is None:
            self._first_served_at = self._last_served_at = now
        elapsed = now - self._last_served_at
        self._served_tokens = (
            self._served_tokens * math.exp(-elapsed / _RATE_WINDOW_S) + tokens
        )
        self._last_served_at = now
