"""Plan the split of a service's engines between the prefill and decode roles.

Engines start with configured roles and may leave, and the workload shifts between long
prompts and long answers. The planner estimates the throughput of a split from the
prefill time and the decode memory that one request needs. Decode engines run the
prefills that prefill engines have no capacity for, if the prompts are short. When
decode memory is full and prefill engines are idle, the plan turns one of them into a
decode engine.
"""

import attrs

__all__ = ["RolePlan", "RolePlanner", "WorkloadMix"]

MIN_DECODE_SAMPLES = 12
"""Number of completed requests before measurements update the decode estimates."""

SAMPLE_WEIGHT = 0.05
"""Weight of the newest request in the moving averages."""

FASTER_SAMPLE_WEIGHT = 0.3
"""Weight of a prefill that was faster than the current estimate. Measured times include
queueing in the engine, so the fastest samples are closest to the true speed."""

SLOWER_SAMPLE_WEIGHT = 0.01
"""Weight of a prefill that was slower than the current estimate."""

DECODE_SWITCH_MIN_GAIN_ENGINES = 1.0
"""Minimum gain for switching a prefill engine to decode, in engines' worth of work.

This hysteresis prevents oscillation between two nearly equal plans. It also keeps a
second prefill engine where removing it gains little. If the only prefill engine is
lost, long prompts wait until another engine has changed its role."""

PREFILL_SWITCH_MIN_GAIN_ENGINES = 6.0
"""Minimum gain for switching a decode engine to prefill, in engines' worth of work. The
engine is unavailable until its running requests end, and decode engines can run
prefills in the meantime."""

MAX_PREFILL_UTILIZATION = 0.85
"""Planned utilization of prefill engines. Queueing delay grows without bound near 1 and
adds to the time to the first event."""

LOCAL_PREFILL_COST = 2.0
"""Prefill time on a decode engine relative to a prefill engine, as specified by the
users. The engine's streams stall for that time."""

LOCAL_PREFILL_SHARE = 0.4
"""Fraction of prompts that are short enough for prefill on a decode engine. A prefill
must not stall the engine's streams for longer than the pause that callers accept."""

LOSS_SETTLE_S = 6.0
"""Time after the loss of an engine before roles are changed, seconds. Most engines
recover within this time, and a role change takes as long."""

JOIN_SETTLE_S = 2.5
"""Time after the registration of an engine before roles are changed, seconds. The
engines of a starting fleet write their first entries within two heartbeats of 1.2 s."""


@attrs.define
class WorkloadMix:
    """Estimate the cost of one request of a service.

    The defaults describe a prompt of 3,200 tokens and an answer of several hundred
    tokens on a large model. Measurements replace them.

    Attributes
    ----------
    prompt_tokens : float
        Mean prompt length, tokens.
    prefill_tokens_per_s : float
        Prefill speed of a prefill engine.
    kv_token_s : float
        KV cache of a request times the time for which it is held, token-seconds.
    mean_reservation_s : float
        Time for which a request holds its KV cache, seconds.
    """

    prompt_tokens: float = 3_200
    prefill_tokens_per_s: float = 32_000
    kv_token_s: float = 4_000 * 3.4
    mean_reservation_s: float = 3.4
    _decode_samples: int = 0

    @property
    def prefill_s(self) -> float:
        """Return the mean prefill time of a request on one engine, seconds."""
        return self.prompt_tokens / self.prefill_tokens_per_s

    def record_prefill(self, prompt_tokens: int, seconds: float) -> None:
        """Update the estimates with one completed prefill."""
        self.prompt_tokens += SAMPLE_WEIGHT * (prompt_tokens - self.prompt_tokens)
        speed = prompt_tokens / seconds
        weight = (
            FASTER_SAMPLE_WEIGHT
            if speed > self.prefill_tokens_per_s
            else SLOWER_SAMPLE_WEIGHT
        )
        self.prefill_tokens_per_s += weight * (speed - self.prefill_tokens_per_s)

    def record_decode(self, kv_tokens: float, seconds: float) -> None:
        """Update the estimates with the KV cache reservation of one request."""
        self._decode_samples += 1
        if self._decode_samples >= MIN_DECODE_SAMPLES:
            self.mean_reservation_s += SAMPLE_WEIGHT * (
                seconds - self.mean_reservation_s
            )
            sample = kv_tokens * seconds
            self.kv_token_s += SAMPLE_WEIGHT * (sample - self.kv_token_s)


@attrs.frozen
class RolePlan:
    """Represent a number of engines per role and the resulting throughput."""

    prefill: int
    decode: int
    requests_per_s: float


@attrs.define
class RolePlanner:
    """Decide on the next role change of a service's engines.

    Attributes
    ----------
    mix : WorkloadMix
        Cost of one request of the service.
    since_loss_s, since_join_s : float
        Times since the last loss and the last registration of an engine, seconds.
    since_empty_s : float
        Time for which a role has been without engines, seconds.
    """

    mix: WorkloadMix = attrs.field(factory=WorkloadMix)
    since_loss_s: float = float("inf")
    since_join_s: float = float("inf")
    since_empty_s: float = 0.0

    def throughput(self, prefill: int, decode: int, kv_tokens: int) -> float:
        """Return the throughput of a split, requests per second."""
        prefill_s = max(self.mix.prefill_s, 1e-3)
        decode_s = max(self.mix.kv_token_s, 1.0) / kv_tokens
        by_prefill = MAX_PREFILL_UTILIZATION * prefill / prefill_s
        by_decode = decode / decode_s
        if by_decode <= by_prefill:
            return by_decode
        spare_engines = decode - by_prefill * decode_s
        by_local_prefill = spare_engines / (decode_s + LOCAL_PREFILL_COST * prefill_s)
        local_prefill_limit = (
            LOCAL_PREFILL_SHARE / (1.0 - LOCAL_PREFILL_SHARE) * by_prefill
        )
        return by_prefill + min(by_local_prefill, local_prefill_limit)

    def best_plan(self, engines: int, kv_tokens: int) -> RolePlan:
        """Return the split with the highest throughput and an engine in each role."""
        plans = [
            RolePlan(
                count,
                engines - count,
                self.throughput(count, engines - count, kv_tokens),
            )
            for count in range(1, max(2, engines))
        ]
        return max(plans, key=lambda plan: plan.requests_per_s)

    def next_change(self, prefill: int, decode: int, kv_tokens: int) -> int:
        """Return +1 to switch an engine to decode, -1 to prefill, 0 for no change.

        A role without engines is filled regardless of the throughput. This happens
        once no engine has registered for a while, or once the role has been empty for
        a while although engines keep registering.
        """
        if prefill + decode < 2:
            return 0
        if self.since_join_s < JOIN_SETTLE_S:
            has_empty_role = prefill == 0 or decode == 0
            if not has_empty_role or self.since_empty_s < JOIN_SETTLE_S:
                return 0
        if prefill == 0:
            return -1
        if decode == 0:
            return 1
        if self.since_loss_s < LOSS_SETTLE_S:
            return 0
        plan = self.best_plan(prefill + decode, kv_tokens)
        step = 1 if plan.decode > decode else -1
        min_gain_engines = (
            DECODE_SWITCH_MIN_GAIN_ENGINES
            if step > 0
            else PREFILL_SWITCH_MIN_GAIN_ENGINES
        )
        min_gain_factor = 1.0 + min_gain_engines / (prefill + decode)
        if plan.requests_per_s < min_gain_factor * self.throughput(
            prefill, decode, kv_tokens
        ):
            return 0
        return step
