"""Define the service times, runs and streams of an engine stand-in."""

import hashlib
import time

import attrs

__all__ = ["CRASH_MARK", "EngineProfile", "Run", "Stream", "expected_tokens"]

CRASH_MARK = "<crash-engine>"


@attrs.frozen
class EngineProfile:
    """Configure the service times and capacity of an engine.

    Attributes
    ----------
    slots : int
        Maximum number of requests that decode concurrently.
    prefill_tokens_per_s : float
        Prefill rate, prompt tokens per second.
    token_interval_s : float
        Time between output tokens, seconds.
    result_lifetime_s : float
        Time after which a prefill result expires, seconds.
    link_bytes_per_s : float
        KV cache import rate, bytes per second.
    load_lag_s : float
        Age of the load in a report, seconds; lower until the history is that long.
    queue_size : int
        Number of streams that the engine accepts beyond its slots.
    """

    slots: int = 20
    prefill_tokens_per_s: float = 40_000.0
    token_interval_s: float = 0.005
    result_lifetime_s: float = 0.9
    link_bytes_per_s: float = 5e9
    load_lag_s: float = 0.2
    queue_size: int = 8


def expected_tokens(prompt: str, count: int) -> list[str]:
    """Return the tokens that every engine stand-in generates for a prompt."""
    tag = hashlib.sha256(prompt.encode()).hexdigest()[:8]
    return [f"{tag}.{i} " for i in range(count)]


@attrs.frozen
class Run:
    """Represent a prefill or decode with its monotonic start time in seconds."""

    kind: str
    attempt_id: str
    started_at: float


class Stream:
    """Track the progress of one decode.

    Each response for the stream gets a reader number. Only the latest reader receives
    tokens; the connections of earlier readers are broken.
    """

    def __init__(self, attempt_id: str, tokens: list[str], offset: int):
        self.attempt_id = attempt_id
        self.tokens = tokens
        self.offset = offset
        self.produced = offset
        self.cancelled = False
        self.started_at = time.monotonic()
        self.last_read_at = self.started_at
        self.latest_reader = 0
