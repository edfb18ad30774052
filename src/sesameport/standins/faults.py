"""Describe the faults that a stand-in is told to show."""

import errno
import random
import threading
import time

import attrs

__all__ = ["FaultPlan", "InjectedFault"]


class InjectedFault(ConnectionResetError):
    """Break the connection of the current call.

    The HTTP server closes the connection without an answer only for errors of the
    connection itself; it answers any other exception with status 500.
    """

    def __init__(self):
        super().__init__(errno.ECONNRESET, "injected fault")


@attrs.define
class FaultPlan:
    """Hold the faults of one stand-in; every field may change while it runs.

    Attributes
    ----------
    seed : int
        Seed of the random choices.
    down : bool
        Break every connection at once.
    error_share : float
        Share of calls that fail with status 503 and without effect.
    lost_answer_share : float
        Share of calls whose connection breaks after the effect.
    delay_s : float
        Delay before each call, seconds.
    stall_transfers : bool
        Never finish KV imports.
    silent_before : float
        Monotonic time; streams that were opened before it send nothing more.
    ignores_fencing : bool
        Accept orders with an old fencing number.
    """

    seed: int = 0
    down: bool = False
    error_share: float = 0.0
    lost_answer_share: float = 0.0
    delay_s: float = 0.0
    stall_transfers: bool = False
    silent_before: float = 0.0
    ignores_fencing: bool = False
    _rng: random.Random = attrs.field(init=False)
    _lock: threading.Lock = attrs.field(init=False, factory=threading.Lock)

    def __attrs_post_init__(self):
        self._rng = random.Random(self.seed)

    def _draw(self, share: float) -> bool:
        with self._lock:
            return share > 0 and self._rng.random() < share

    def before_call(self) -> bool:
        """Apply faults before the effect; True if the call is to fail with 503."""
        if self.delay_s:
            time.sleep(self.delay_s)
        if self.down:
            raise InjectedFault
        return self._draw(self.error_share)

    def after_call(self) -> None:
        """Apply faults after the effect."""
        if self.down or self._draw(self.lost_answer_share):
            raise InjectedFault
