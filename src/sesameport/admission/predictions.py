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
        Prefill speeds of the service's servers, tokens per second; empty if they do not
        differ.
    gap_factors : mapping of str to float
        Time between two events as a multiple of the service's typical time.
    cached_tokens : mapping of str to float
        Tokens of the prompt that a server is expected to have in its cache.
    """

    prefill_speeds: Mapping[str, float] = attrs.field(factory=dict)
    gap_factors: Mapping[str, float] = attrs.field(factory=dict)
    cached_tokens: Mapping[str, float] = attrs.field(factory=dict)


NO_PREDICTIONS = Predictions()
