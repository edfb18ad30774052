"""Decide when the response to a watch of the store counts as lost."""

import math

import attrs

__all__ = ["WatchTimes"]

WATCH_TIMEOUT_S = 25.0
"""Timeout of a watch call that need not show lost responses, seconds. Each call costs
money, and TCP keep-alive detects a dead connection sooner."""

TIMEOUT_SHARE = 0.75
ANSWER_SHARE = 0.1
"""Timeout of a watch call that shows lost responses, and the time after it at which its
response counts as lost, as shares of the bound. The rest is left for the calls that
read what was missed."""

MIN_BOUND_S = 1.0
"""Shortest bound that is watched for, seconds. It limits the calls of a host."""


@attrs.frozen
class WatchTimes:
    """Configure the watch of one kind.

    The store answers a watch without a change at its timeout. A host that gets no
    response then can have missed a change.

    Attributes
    ----------
    timeout_s : float
        Timeout of a watch call, seconds.
    answer_s : float
        Time after the timeout at which the response counts as lost, seconds.
    max_answer_s : float
        Longest such time, seconds.

    Examples
    --------
    >>> WatchTimes.within(4.0)
    WatchTimes(timeout_s=3.0, answer_s=0.4, max_answer_s=3.0)
    """

    timeout_s: float = WATCH_TIMEOUT_S
    answer_s: float = math.inf
    max_answer_s: float = math.inf

    @classmethod
    def within(cls, bound_s: float) -> "WatchTimes":
        """Return the times by which a lost change is read within a bound, seconds."""
        bound_s = max(bound_s, MIN_BOUND_S)
        timeout_s = TIMEOUT_SHARE * bound_s
        return cls(timeout_s, ANSWER_SHARE * bound_s, timeout_s)

    @classmethod
    def checked(cls, bound_s: float) -> "WatchTimes":
        """Return the times of a kind whose lost changes a `RevisionCheck` finds."""
        times = cls.within(bound_s)
        return cls(WATCH_TIMEOUT_S, times.answer_s, times.max_answer_s)

    def lost_after_s(self, timeout_s: float, repeats: int) -> float:
        """Return the time since a watch call at which its response counts as lost.

        ``repeats`` is the number of calls before it whose responses did. The time grows
        with it, so that a slow store does not get more and more calls, but only as far
        as the bound allows.
        """
        factor = 2.0 ** max(0, repeats - 1)
        return timeout_s + min(factor * self.answer_s, self.max_answer_s)
