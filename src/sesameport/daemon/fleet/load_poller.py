"""Poll the load reports and cache events of the servers that this host uses."""

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

import attrs
from result import Ok

from sesameport.domain import BackendServer, ServerRole
from sesameport.interfaces import CacheEvents, LoadReport
from sesameport.telemetry.logs import get_logger

__all__ = ["LoadPoller"]

log = get_logger("fleet")

_THREADS_PER_DATA_CENTRE = 4
_POLLS_PER_CACHE_READ = 8
"""Polls of a server per read of its cache events. Engines publish the events with a
delay, so reading them at every poll would gain little. At four polls a second of one
server, each kind of call costs 0.4% of a core."""

_TICKS_PER_IDLE_POLL = 3
"""Ticks per poll of an idle host. The quarantine counts a crash only of servers that
answered within 1 s, so the time between two polls must stay below that."""


@attrs.define
class _PollState:
    is_in_flight: bool = False
    successful_polls: int = 0
    last_event_sequence: int = 0
    consecutive_failures: int = 0


class LoadPoller:
    """Poll each server at every tick, with at most one poll in flight per server.

    Each data centre has its own threads. Servers that do not answer therefore delay
    only the polls of their own data centre.

    Parameters
    ----------
    find_engine : callable
        Returns the adapter of a server by its name, or None.
    publish : callable
        Receives each `LoadReport` and `CacheEvents`.
    record_failures : callable
        Receives a server name and its number of consecutive failed polls, which is 0
        after the first success.
    is_host_busy : callable
        Returns whether this host has requests. An idle host polls less often.
    """

    def __init__(
        self,
        find_engine,
        publish: Callable[[LoadReport | CacheEvents], None],
        record_failures: Callable[[str, int], None],
        is_host_busy: Callable[[], bool],
    ):
        self._find_engine = find_engine
        self._publish = publish
        self._record_failures = record_failures
        self._is_host_busy = is_host_busy
        self._ticks = 0
        self._servers: tuple[BackendServer, ...] = ()
        self._states: dict[str, _PollState] = {}
        self._pools: dict[str, ThreadPoolExecutor] = {}
        self._lock = threading.Lock()

    def set_servers(self, servers: tuple[BackendServer, ...]) -> None:
        """Replace the servers to poll; plain servers are not polled."""
        self._servers = tuple(s for s in servers if s.role != ServerRole.PLAIN)
        names = {server.name for server in self._servers}
        with self._lock:
            for name in set(self._states) - names:
                del self._states[name]

    def tick(self, now: float) -> None:
        """Start a poll of each server that has none in flight.

        An idle host skips all ticks but every third.
        """
        self._ticks += 1
        if self._ticks % _TICKS_PER_IDLE_POLL and not self._is_host_busy():
            return
        for server in self._servers:
            with self._lock:
                state = self._states.setdefault(server.name, _PollState())
                if state.is_in_flight:
                    continue
                state.is_in_flight = True
                pool = self._pools.get(server.data_centre)
                if pool is None:
                    pool = ThreadPoolExecutor(
                        _THREADS_PER_DATA_CENTRE, f"load-{server.data_centre}"
                    )
                    self._pools[server.data_centre] = pool
            pool.submit(self._poll, server.name, state)

    def stop(self) -> None:
        """Stop polling and cancel the polls that have not started."""
        for pool in self._pools.values():
            pool.shutdown(wait=False, cancel_futures=True)

    def _poll(self, name: str, state: _PollState) -> None:
        try:
            self._poll_once(name, state)
        except Exception as exc:
            # The pool would keep the exception to itself.
            fields = {"server": name, "error": repr(exc)}
            log.error("call failed unexpectedly", extra=fields)
        finally:
            state.is_in_flight = False

    def _poll_once(self, name: str, state: _PollState) -> None:
        engine = self._find_engine(name)
        if engine is None:
            return
        match engine.load():
            case Ok(report):
                self._publish(report)
                if state.consecutive_failures:
                    state.consecutive_failures = 0
                    self._record_failures(name, 0)
            case _:
                state.consecutive_failures += 1
                self._record_failures(name, state.consecutive_failures)
                return
        state.successful_polls += 1
        if state.successful_polls % _POLLS_PER_CACHE_READ != 1:
            return
        match engine.cache_events(state.last_event_sequence):
            case Ok(events) if events.events:
                state.last_event_sequence = events.last_sequence
                self._publish(events)
