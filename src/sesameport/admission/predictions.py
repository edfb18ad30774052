"""Bundle what placement predicts of servers beyond their use."""

from collections.abc import Mapping

import attrs

__all__ = ["NO_PREDICTIONS", "Predictions"]


@attrs.frozen
class Predictions:
    """Predict the speed of servers and what they have cached of one prompt.

    Servers that are missing from a mapping are typical ones without cached parts.

    Attributes
    ----------
    prefill_speeds : mapping of str to float
        Prefill speeds of servers that differ from the typical one, tokens per second.
    typical_prefill_speed : float
        Prefill speed of all others if some differ, tokens per second.
    gap_factors : mapping of str to float
        Time between two events as a multiple of the service's typical time.
    cached_tokens : mapping of str to float
        Tokens of the prompt that a server is expected to have in its cache.
    """

    prefill_speeds: Mapping[str, float] = attrs.field(factory=dict)
    typical_prefill_speed: float = 0.0
    gap_factors: Mapping[str, float] = attrs.field(factory=dict)
    cached_tokens: Mapping[str, float] = attrs.field(factory=dict)


NO_PREDICTIONS = Predictions()
