"""Define the faults that are injected into a stand-in."""

import errno
import random
import threading
import time

import attrs

__all__ = ["FaultPlan", "InjectedFault"]


class InjectedFault(ConnectionResetError):
    """Break the connection of the current request.

    The HTTP server closes the connection without a response only for connection errors.
    It sends status 500 for any other exception.
    """

    def __init__(self):
        super().__init__(errno.ECONNRESET, "injected fault")


@attrs.define
class FaultPlan:
    """Configure the faults of one stand-in; every field may change while it runs.

    Attributes
    ----------
    seed : int
        Seed of the random choices.
    down : bool
        Whether every request breaks its connection immediately.
    error_share : float
        Share of requests that fail with status 503 and have no effect.
    lost_response_share : float
        Share of requests that take effect but whose connection breaks before the
        response.
    delay_s : float
        Delay before each request is handled, seconds.
    stall_transfers : bool
        Whether KV cache imports never finish.
    stall_streams_opened_before : float
        Monotonic time, seconds. Streams that were opened before it send nothing more.
    ignores_fencing : bool
        Whether orders with an old fencing number are accepted.
    failed_calls : list of str
        Method and path of each call that failed because of ``error_share``.
    """

    seed: int = 0
    down: bool = False
    error_share: float = 0.0
    lost_response_share: float = 0.0
    delay_s: float = 0.0
    stall_transfers: bool = False
    stall_streams_opened_before: float = 0.0
    ignores_fencing: bool = False
    failed_calls: list[str] = attrs.field(factory=list)
    _rng: random.Random = attrs.field(init=False)
    _lock: threading.Lock = attrs.field(init=False, factory=threading.Lock)

    def __attrs_post_init__(self):
        self._rng = random.Random(self.seed)

    def _should_fail(self, share: float) -> bool:
        with self._lock:
            return share > 0 and self._rng.random() < share

    def inject_before_effect(self, environ: dict | None = None) -> bool:
        """Inject faults before the effect; return whether to fail with status 503.

        A failed call is recorded if its WSGI environment is given.
        """
        if self.delay_s:
            time.sleep(self.delay_s)
        if self.down:
            raise InjectedFault
        if not self._should_fail(self.error_share):
            return False
        if environ is not None:
            call = f"{environ['REQUEST_METHOD']} {environ['PATH_INFO']}"
            self.failed_calls.append(call)
        return True

    def inject_after_effect(self) -> None:
        """Inject the faults that occur after the request took effect."""
        if self.down or self._should_fail(self.lost_response_share):
            raise InjectedFault
