"""Estimate the tokens and the KV cache that a generation needs."""

import math

__all__ = ["BLOCK_TOKENS", "expected_output_tokens", "reserved_kv_tokens"]

BLOCK_TOKENS = 16
"""Tokens per KV cache block, the unit in which engines allocate memory."""

TYPICAL_OUTPUT_SHARE = 0.4
"""Mean answer length as a fraction of the output limit: 740 of 1,870 tokens."""

ESTIMATE_WEIGHT = 0.58
"""Weight of a caller's length estimate against the typical length, on a log scale.
Answer length grows with this power of the estimate, so short estimates used unchanged
would reserve too little memory."""


def reserved_kv_tokens(prompt: int, output: int) -> int:
    """Return the KV cache of a completed request, in tokens rounded up to blocks."""
    return math.ceil((prompt + output) / BLOCK_TOKENS) * BLOCK_TOKENS


def expected_output_tokens(max_output: int, estimate: int | None) -> int:
    """Return the expected length of an answer in tokens.

    A caller's estimate, if any, is blended with the typical length.

    Examples
    --------
    >>> expected_output_tokens(1000, None)
    400
    >>> 100 < expected_output_tokens(1000, 100) < 400
    True
    """
    typical = TYPICAL_OUTPUT_SHARE * max_output
    if estimate is None or estimate <= 0 or typical <= 0:
        return int(typical)
    blended = typical ** (1.0 - ESTIMATE_WEIGHT) * estimate**ESTIMATE_WEIGHT
    return int(min(max_output, blended))
