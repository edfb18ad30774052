"""Keep the ledger of holds, send cancels and sweep abandoned holds."""

import queue
import random
import threading
from collections.abc import Callable, Iterable, Mapping

import attrs
import pykka

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

__all__ = [
    "CountHolds",
    "HoldKeeperActor",
    "HoldWorkers",
    "KeeperTick",
    "SweepTick",
]

_ABSENT_S = 10.0


@attrs.frozen
class KeeperTick:
    """Send the cancels that are due."""


@attrs.frozen
class SweepTick:
    """Start a sweep of the servers that this host sweeps."""


@attrs.frozen
class CountHolds:
    """Ask for the numbers of open holds and of cancels that are not confirmed."""


@attrs.frozen
class _Cancelled:
    server: str
    attempt_id: str
    confirmed: bool


@attrs.frozen
class _Listed:
    server: str
    holds: tuple[Hold, ...]


class HoldWorkers:
    """Call engines for the keeper on a bounded number of threads.

    Cancels and lists have threads of their own, so that a slow list delays no cancel.
    """

    def __init__(
        self,
        find_engine: Callable[[str], Engine | None],
        cancel_threads: int = 4,
        list_threads: int = 2,
    ):
        self._find_engine = find_engine
        self._cancels: queue.SimpleQueue = queue.SimpleQueue()
        self._lists: queue.SimpleQueue = queue.SimpleQueue()
        self._counts = (cancel_threads, list_threads)
        self._tell = None

    def start(self, tell: Callable[[object], None]) -> None:
        """Start the threads; ``tell`` takes their outcomes."""
        self._tell = tell
        pairs = ((self._cancels, self._cancel), (self._lists, self._list))
        for (jobs, call), count in zip(pairs, self._counts, strict=True):
            for number in range(count):
                name = f"holds-{call.__name__}-{number}"
                threading.Thread(
                    target=self._work, args=(jobs, call), name=name, daemon=True
                ).start()

    def stop(self) -> None:
        """End the threads after their current call."""
        for jobs, count in zip((self._cancels, self._lists), self._counts, strict=True):
            for _ in range(count):
                jobs.put(None)

    def cancel(self, item: CancelHold) -> None:
        """Queue a cancel."""
        self._cancels.put(item)

    def list(self, server: str) -> None:
        """Queue a list of holds."""
        self._lists.put(server)

    def _work(self, jobs: queue.SimpleQueue, call) -> None:
        while (job := jobs.get()) is not None:
            call(job)

    def _cancel(self, item: CancelHold) -> None:
        engine = self._find_engine(item.server)
        confirmed = engine is not None and engine.cancel(item.attempt_id).is_ok()
        self._tell(_Cancelled(item.server, item.attempt_id, confirmed))

    def _list(self, server: str) -> None:
        engine = self._find_engine(server)
        found = None if engine is None else engine.holds()
        holds = found.unwrap() if found is not None and found.is_ok() else ()
        self._tell(_Listed(server, holds))


class HoldKeeperActor(pykka.ThreadingActor):
    """Own the ledger of one host.

    Parameters
    ----------
    own : HoldOwner
        This process.
    workers : HoldWorkers
        Threads that call the engines.
    list_servers : callable
        Returns the engines of this data centre and all engines, by name.
    list_members : callable
        Returns the membership view by host name.
    list_live_hosts : callable
        Returns the names of the live hosts of this data centre.
    clock : callable
        Returns the monotonic time, seconds.
    cfg : SweepConfig
        Bounds of the sweep.
    note_server_gone : callable
        Takes the name of a server with holds that is gone for sure.
    """

    use_daemon_thread = True

    def __init__(
        self,
        own: HoldOwner,
        workers: HoldWorkers,
        list_servers: Callable[[], tuple[Iterable[str], Iterable[str]]],
        list_members: Callable[[], Mapping[str, HostMembership]],
        list_live_hosts: Callable[[], Iterable[str]],
        clock: Callable[[], float],
        cfg: SweepConfig = SweepConfig(),
        note_server_gone: Callable[[str], None] = lambda server: None,
    ):
        super().__init__()
        self._note_server_gone = note_server_gone
        self._own = own
        self._workers = workers
        self._list_servers = list_servers
        self._list_members = list_members
        self._list_live_hosts = list_live_hosts
        self._clock = clock
        self._started_at = clock()
        self._cfg = cfg
        self._registry = HoldRegistry(random.Random())
        self._absent_since: dict[str, float] = {}
        self._listing: set[str] = set()
        self.swept = 0

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
                self._send(now)
            case _Cancelled(server, attempt_id, confirmed):
                self._registry.handle_result(server, attempt_id, confirmed, now)
                self._send(now)
            case KeeperTick():
                self._forget_gone(now)
                self._send(now)
            case SweepTick():
                self._sweep()
            case _Listed(server, holds):
                self._listing.discard(server)
                self._choose(server, holds, now)
            case CountHolds():
                return self._registry.open_count(), self._registry.cancel_count()
        return None

    def _send(self, now: float) -> None:
        for item in self._registry.start_due_cancels(now):
            self._workers.cancel(item)

    def _forget_gone(self, now: float) -> None:
        """Forget servers that have not been listed for a while.

        A short absence may be an incomplete answer of the platform.
        """
        _, listed = self._list_servers()
        listed = set(listed)
        held = self._registry.servers()
        for server in list(self._absent_since):
            if server in listed or server not in held:
                del self._absent_since[server]
        for server in held - listed:
            if now - self._absent_since.setdefault(server, now) >= _ABSENT_S:
                del self._absent_since[server]
                self._registry.remove_server(server)
                self._note_server_gone(server)

    def _sweep(self) -> None:
        local, _ = self._list_servers()
        hosts = set(self._list_live_hosts()) | {self._own.host}
        for server in local:
            if server in self._listing:
                continue
            if choose_sweeper(server, hosts) == self._own.host:
                self._listing.add(server)
                self._workers.list(server)

    def _choose(self, server: str, holds: tuple[Hold, ...], now: float) -> None:
        abandoned = find_abandoned_attempts(
            holds,
            self._list_members(),
            self._own,
            lambda attempt_id: self._registry.has_hold(server, attempt_id),
            self._cfg,
            now - self._started_at,
        )
        for attempt_id in abandoned:
            self.swept += 1
            self._registry.cancel(server, attempt_id, now)
        self._send(now)
