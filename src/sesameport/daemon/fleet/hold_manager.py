"""Track the holds of one host, cancel them and sweep abandoned ones."""

import queue
import random
import threading
from collections.abc import Callable, Iterable, Mapping

import attrs
import pykka
from result import Result

from sesameport.interfaces import Engine, Hold
from sesameport.requests import (
    CancelHold,
    CloseHold,
    HoldOwner,
    HoldRegistry,
    HostMembership,
    OpenHold,
    SweepConfig,
    choose_sweeper,
    find_abandoned_attempts,
)
from sesameport.telemetry.logs import get_logger

__all__ = [
    "CountHolds",
    "HoldManagerActor",
    "HoldWorkers",
    "HoldTick",
    "SweepTick",
]

log = get_logger("fleet")

_REMOVAL_DELAY_S = 10.0
"""Time without a listing after which a server counts as removed. The platform may
return an incomplete list, so a shorter absence has no effect."""


@attrs.frozen
class HoldTick:
    """Remove absent servers and send the cancels that are due."""


@attrs.frozen
class SweepTick:
    """Start a sweep of the servers that are assigned to this host."""


@attrs.frozen
class CountHolds:
    """Request the numbers of open holds and of unconfirmed cancels."""


@attrs.frozen
class _CancelResult:
    server: str
    attempt_id: str
    confirmed: bool


@attrs.frozen
class _ListResult:
    server: str
    holds: tuple[Hold, ...]


class HoldWorkers:
    """Cancel and list holds of engines on a bounded number of threads.

    Cancels and lists run on separate threads, because a slow list must not delay
    cancels.
    """

    def __init__(
        self,
        find_engine: Callable[[str], Engine | None],
        cancel_threads: int = 4,
        list_threads: int = 2,
    ):
        self._find_engine = find_engine
        self._cancel_jobs: queue.SimpleQueue = queue.SimpleQueue()
        self._list_jobs: queue.SimpleQueue = queue.SimpleQueue()
        self._thread_counts = (cancel_threads, list_threads)
        self._report_result = None

    def start(self, report_result: Callable[[object], None]) -> None:
        """Start the threads, which pass each result to ``report_result``."""
        self._report_result = report_result
        calls = ((self._cancel_jobs, self._cancel), (self._list_jobs, self._list))
        for (jobs, call), count in zip(calls, self._thread_counts, strict=True):
            for number in range(count):
                name = f"holds-{call.__name__}-{number}"
                threading.Thread(
                    target=self._run_jobs, args=(jobs, call), name=name, daemon=True
                ).start()

    def stop(self) -> None:
        """Stop the threads after their current calls."""
        for jobs, count in zip(
            (self._cancel_jobs, self._list_jobs), self._thread_counts, strict=True
        ):
            for _ in range(count):
                jobs.put(None)

    def cancel(self, cancel_hold: CancelHold) -> None:
        """Queue the cancel of a hold."""
        self._cancel_jobs.put(cancel_hold)

    def list_holds(self, server: str) -> None:
        """Queue a request for the holds of a server."""
        self._list_jobs.put(server)

    def _run_jobs(self, jobs: queue.SimpleQueue, call) -> None:
        while (job := jobs.get()) is not None:
            call(job)

    def _cancel(self, cancel_hold: CancelHold) -> None:
        server, attempt_id = cancel_hold.server, cancel_hold.attempt_id
        cancelled = self._call(server, lambda engine: engine.cancel(attempt_id))
        confirmed = cancelled is not None
        self._report_result(_CancelResult(server, attempt_id, confirmed))

    def _list(self, server: str) -> None:
        holds = self._call(server, lambda engine: engine.holds())
        self._report_result(_ListResult(server, holds or ()))

    def _call(self, server: str, call: Callable[[Engine], Result]):
        """Return the result of a call, None if it failed in whatever way.

        Each job has a result, or its hold would never be cancelled again.
        """
        try:
            engine = self._find_engine(server)
            return None if engine is None else call(engine).ok()
        except Exception as exc:
            fields = {"server": server, "error": repr(exc)}
            log.error("call failed unexpectedly", extra=fields)
            return None


class HoldManagerActor(pykka.ThreadingActor):
    """Serialise all access to the holds of this host and sweep abandoned holds.

    Parameters
    ----------
    owner : HoldOwner
        This process.
    workers : HoldWorkers
        Threads that call the engines.
    list_servers : callable
        Returns the names of the engines of this data centre and of all engines.
    list_members : callable
        Returns the membership view by host name.
    list_live_hosts : callable
        Returns the names of the live hosts of this data centre.
    clock : callable
        Returns the monotonic time, seconds.
    cfg : SweepConfig
        Age limits of the sweep.
    report_removed_server : callable
        Receives the name of each removed server that had holds.
    """

    use_daemon_thread = True

    def __init__(
        self,
        owner: HoldOwner,
        workers: HoldWorkers,
        list_servers: Callable[[], tuple[Iterable[str], Iterable[str]]],
        list_members: Callable[[], Mapping[str, HostMembership]],
        list_live_hosts: Callable[[], Iterable[str]],
        clock: Callable[[], float],
        cfg: SweepConfig = SweepConfig(),
        report_removed_server: Callable[[str], None] = lambda server: None,
    ):
        super().__init__()
        self._report_removed_server = report_removed_server
        self._owner = owner
        self._workers = workers
        self._list_servers = list_servers
        self._list_members = list_members
        self._list_live_hosts = list_live_hosts
        self._clock = clock
        self._started_at = clock()
        self._cfg = cfg
        self._registry = HoldRegistry(random.Random())
        self._absent_since: dict[str, float] = {}
        self._pending_lists: set[str] = set()
        self.swept_holds = 0

    def on_receive(self, message):
        """Handle one message and return its answer."""
        now = self._clock()
        match message:
            case OpenHold(server, attempt_id):
                self._registry.open(server, attempt_id)
            case CloseHold(server, attempt_id):
                self._registry.close(server, attempt_id)
            case CancelHold(server, attempt_id):
                self._registry.cancel(server, attempt_id, now)
                self._send_due_cancels(now)
            case _CancelResult(server, attempt_id, confirmed):
                self._registry.handle_result(server, attempt_id, confirmed, now)
                self._send_due_cancels(now)
            case HoldTick():
                self._remove_absent_servers(now)
                self._send_due_cancels(now)
            case SweepTick():
                self._list_assigned_servers()
            case _ListResult(server, holds):
                self._pending_lists.discard(server)
                self._cancel_abandoned(server, holds, now)
            case CountHolds():
                return self._registry.open_count(), self._registry.cancel_count()
        return None

    def _send_due_cancels(self, now: float) -> None:
        for cancel_hold in self._registry.start_due_cancels(now):
            self._workers.cancel(cancel_hold)

    def _remove_absent_servers(self, now: float) -> None:
        """Remove servers that have been absent from the list for too long."""
        _, listed_servers = self._list_servers()
        listed_servers = set(listed_servers)
        servers_with_holds = self._registry.servers()
        for server in list(self._absent_since):
            if server in listed_servers or server not in servers_with_holds:
                del self._absent_since[server]
        for server in servers_with_holds - listed_servers:
            if now - self._absent_since.setdefault(server, now) >= _REMOVAL_DELAY_S:
                del self._absent_since[server]
                self._registry.remove_server(server)
                self._report_removed_server(server)

    def _list_assigned_servers(self) -> None:
        local, _ = self._list_servers()
        hosts = set(self._list_live_hosts()) | {self._owner.host}
        for server in local:
            if server in self._pending_lists:
                continue
            if choose_sweeper(server, hosts) == self._owner.host:
                self._pending_lists.add(server)
                self._workers.list_holds(server)

    def _cancel_abandoned(
        self, server: str, holds: tuple[Hold, ...], now: float
    ) -> None:
        abandoned = find_abandoned_attempts(
            holds,
            self._list_members(),
            self._owner,
            lambda attempt_id: self._registry.has_hold(server, attempt_id),
            self._cfg,
            now - self._started_at,
        )
        for attempt_id in abandoned:
            self.swept_holds += 1
            self._registry.cancel(server, attempt_id, now)
        self._send_due_cancels(now)
