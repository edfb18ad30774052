"""Know when this process ends."""

import math

import attrs

__all__ = [
    "HOST_STOPPING",
    "STOPPING_RETRY_AFTER_S",
    "HostStopping",
    "ProcessStop",
]

HOST_STOPPING = "host-stopping"
"""Reason of a refusal by a host that stops before it could complete the request."""

STOPPING_RETRY_AFTER_S = 0.2
"""Retry-After of a stopping host, seconds. Another host can serve immediately."""


@attrs.frozen
class HostStopping:
    """Tell the entry actor that this host ends at a monotonic time, seconds."""

    ends_at: float


@attrs.define
class ProcessStop:
    """State when this process ends. Only the drain of the host changes it.

    Attributes
    ----------
    has_begun : bool
        Whether the host stops.
    ends_at : float
        Monotonic time at which running requests are abandoned, seconds; infinite unless
        the host stops.
    streams_until : float
        Monotonic time from which new streams are refused, seconds.
    """

    has_begun: bool = False
    ends_at: float = math.inf
    streams_until: float = math.inf

    def begin(self, ends_at: float, streams_until: float) -> None:
        """Record that the host stops."""
        self.ends_at = ends_at
        self.streams_until = streams_until
        self.has_begun = True

    def leaves_time(self, seconds: float, now: float) -> bool:
        """Return whether work that takes some seconds ends before the process."""
        return now + seconds <= self.ends_at
