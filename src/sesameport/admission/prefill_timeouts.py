"""Decide when the response of a prefill counts as lost.

The load that this module answers is a burst on prefill engines of which some are slow.
A prefill that is given up was computed for nothing, and it is computed again by another
engine, or queued again at the same one. Time-outs that are shorter than the queues
therefore add load where capacity is short, and the queues do not recover when the burst
ends.
"""

import attrs

from sesameport.admission.placement import Placement

__all__ = ["DEFAULT_TIMEOUTS", "PrefillTimeouts"]


@attrs.frozen
class PrefillTimeouts:
    """Configure the timeout of a prefill.

    Attributes
    ----------
    margin_s, factor : float
        Without a queue, the timeout is the expected time of the prompt multiplied by
        the factor, plus the margin in seconds. It detects a lost response early enough
        to still meet the target. Some engines take twice as long as others.
    queue_factor : float
        The same for the expected time in the queue. An engine that is half as fast as
        expected, with the prompts that other hosts have just placed there, takes five
        times as long to work off its queue as a host expects.
    max_s : float
        Maximum of the timeout, seconds, unless the prompt alone takes longer. A call
        also ends when its caller disconnects, which callers do after two seconds
        without an event at the earliest.
    """

    margin_s: float = 0.35
    factor: float = 2.0
    queue_factor: float = 5.0
    max_s: float = 3.0

    def timeout_s(self, placement: Placement) -> float:
        """Return the time after which a call counts as lost, seconds.

        Examples
        --------
        >>> from sesameport.admission.tests.builders import server
        >>> placement = Placement(
        ...     server("d"), server("p"), 3_300, 3_000, expected_prefill_s=0.2
        ... )
        >>> PrefillTimeouts().timeout_s(placement)
        0.75
        >>> queued = attrs.evolve(placement, queued_tokens=3_000)
        >>> PrefillTimeouts().timeout_s(queued)
        1.05
        """
        expected_s = placement.expected_prefill_s
        tokens = placement.prompt_tokens + placement.queued_tokens
        prompt_s = expected_s * placement.prompt_tokens / max(1.0, tokens)
        alone_s = self.margin_s + self.factor * prompt_s
        queue_s = self.queue_factor * (expected_s - prompt_s)
        return max(alone_s, min(self.max_s, alone_s + queue_s))

    def is_likely_lost(self, placement: Placement) -> bool:
        """Return whether a timeout rather means a lost response than a long queue.

        The engine still holds the KV cache of a prompt whose response was lost. Behind
        a queue a second call would wait again.
        """
        return placement.queued_tokens <= placement.prompt_tokens


DEFAULT_TIMEOUTS = PrefillTimeouts()
