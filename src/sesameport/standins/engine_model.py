"""Describe the speed, runs and streams of an engine stand-in."""

import hashlib
import time

import attrs

__all__ = ["CRASH_MARK", "EngineProfile", "Run", "Stream", "expected_tokens"]

CRASH_MARK = "<crash-engine>"


@attrs.frozen
class EngineProfile:
    """Give the speed and size of an engine.

    Attributes
    ----------
    slots : int
        Requests that decode at once.
    prefill_tokens_per_s : float
        Prompt tokens per second.
    token_interval_s : float
        Time between output tokens, seconds.
    result_lifetime_s : float
        Time for which a prefill result is kept, seconds.
    link_bytes_per_s : float
        KV import rate, bytes per second.
    load_lag_s : float
        Age of the load that is reported, seconds.
    """

    slots: int = 20
    prefill_tokens_per_s: float = 40_000.0
    token_interval_s: float = 0.005
    result_lifetime_s: float = 0.9
    link_bytes_per_s: float = 5e9
    load_lag_s: float = 0.2
    queue_size: int = 8


def expected_tokens(prompt: str, count: int) -> list[str]:
    """Return the tokens that every engine stand-in produces for a prompt."""
    tag = hashlib.sha256(prompt.encode()).hexdigest()[:8]
    return [f"{tag}.{i} " for i in range(count)]


@attrs.frozen
class Run:
    """Describe a prefill or decode that started, at a monotonic time in seconds."""

    kind: str
    attempt_id: str
    started_at: float


class Stream:
    """Hold the tokens of one decode and how many of them were produced."""

    def __init__(self, attempt_id: str, tokens: list[str], offset: int):
        self.attempt_id = attempt_id
        self.tokens = tokens
        self.offset = offset
        self.produced = offset
        self.cancelled = False
        self.started_at = time.monotonic()
        self.last_read_at = self.started_at
        self.latest_reader = 0
