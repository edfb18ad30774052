"""Define the states of a completion request."""

import enum

__all__ = ["RequestState"]


class RequestState(enum.Enum):
    """Name the step that a completion request waits for."""

    PLACING = "placing"
    PREFILLING = "prefilling"
    PLACING_DECODE = "replacing-decode"
    IMPORTING = "importing"
    STREAMING = "streaming"
    RESUMING = "resuming"
    ENDED = "ended"
