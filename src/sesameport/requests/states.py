"""Name the states of a request's lifecycle."""

import enum

__all__ = ["State"]


class State(enum.Enum):
    """Name what the request waits for."""

    PLACING = "placing"
    PREFILLING = "prefilling"
    REPLACING_DECODE = "replacing-decode"
    IMPORTING = "importing"
    STREAMING = "streaming"
    RESUMING = "resuming"
    ENDED = "ended"
