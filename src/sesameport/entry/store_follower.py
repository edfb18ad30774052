"""Follow the kinds of objects in the platform's store that a host needs."""

import threading
from collections.abc import Callable, Iterable

import attrs
import pykka

from sesameport.entry import messages as m
from sesameport.entry.missed_configuration import Missed
from sesameport.entry.platform_adapter import PlatformAdapter
from sesameport.entry.revision_check import RevisionCheck
from sesameport.entry.settings import FleetBounds
from sesameport.entry.store_era import StoreEra
from sesameport.entry.store_handlers import (
    ConfigurationHandler,
    EvacuationHandler,
    MalformedObjects,
    ServerEntryHandler,
)
from sesameport.entry.store_watch import (
    WATCH_INTERVAL_S,
    ListWatcher,
    ObjectHandler,
    ReadResult,
    StoreHealth,
    server_watch_interval_s,
)
from sesameport.entry.watch_times import WatchTimes
from sesameport.interfaces import Platform

__all__ = ["StoreFollower"]


class StoreFollower:
    """List and watch the configuration, the servers and, on request, the evacuations.

    Parameters
    ----------
    connect : callable
        Returns a client of the store with connections of its own.
    adapter : PlatformAdapter
        Names the kinds and decodes their objects.
    actor : pykka.ActorRef
        Gets what the store states, and whether it can be reached.
    metrics : Metrics
        Counts calls.
    closing : threading.Event
        Stops the threads after their current calls.
    bounds : FleetBounds
        Times within which changes must be known.
    call_at : callable
        Calls a function at a monotonic time, see `TimerService.call_at`.
    era : StoreEra or None
        Era of the store, None if it states none. All kinds are listed anew in each.
    """

    def __init__(
        self,
        connect: Callable[[], Platform],
        adapter: PlatformAdapter,
        actor: pykka.ActorRef,
        metrics,
        closing: threading.Event,
        bounds: FleetBounds,
        call_at: Callable[[str, float, Callable[[float], None]], None],
        era: StoreEra | None = None,
    ):
        self._era = era or StoreEra()
        self._era.subscribe(self._begin_era)
        self._bounds = bounds
        self._call_at = call_at
        self._connect = connect
        self._adapter = adapter
        self._actor = actor
        self._metrics = metrics
        self._closing = closing
        self._health = StoreHealth(lambda ok: actor.tell(m.StoreConnectivity(ok)))
        self._watchers: dict[Missed, ListWatcher] = {}
        self._checks: list[RevisionCheck] = []
        self._malformed = MalformedObjects(metrics)

    def start(self) -> "StoreFollower":
        """Follow the configuration and the servers, and return the follower."""
        adapter = self._adapter
        configurations = ConfigurationHandler(
            self._actor,
            adapter.configuration_name,
            adapter.decode_configuration,
            self._malformed,
        )
        self._follow(Missed.CONFIGURATION, configurations)
        servers = ServerEntryHandler(
            self._actor, adapter.decode_server, self._malformed
        )
        self._follow(Missed.SERVERS, servers)
        return self

    def follow_evacuations(self) -> None:
        """Follow the evacuations of data centres, unless they are followed already."""
        if Missed.EVACUATIONS not in self._watchers:
            handler = EvacuationHandler(
                self._actor, self._adapter.decode_evacuation, self._malformed
            )
            self._follow(Missed.EVACUATIONS, handler)

    def read_again(self, missed: Missed) -> None:
        """Watch objects on a new connection, if they are followed.

        While no other host reports, `Missed.UNKNOWN` is passed at least every
        `store_watch.CLOSELY_S`.
        """
        if missed == Missed.UNKNOWN:
            for watcher in list(self._watchers.values()):
                watcher.watch_closely()
            return
        watcher = self._watchers.get(missed)
        if watcher is not None:
            watcher.restart()

    def apply_bounds(self, bounds: FleetBounds) -> None:
        """Follow changes within changed bounds."""
        self._bounds = bounds
        for followed, watcher in list(self._watchers.items()):
            watcher.times = self._times(followed)

    def _times(self, followed: Missed) -> WatchTimes:
        """Return the times by which this host, in contact, has missed nothing.

        The short watches of the servers also state the revision of the store, by which
        the others are checked. On most days servers change more often than the watches
        end, so that few calls are added.
        """
        if followed == Missed.SERVERS:
            return WatchTimes.within(self._bounds.contact_s)
        return WatchTimes.checked(self._bounds.contact_s)

    def _begin_era(self, era: int, is_first: bool) -> None:
        for watcher in list(self._watchers.values()):
            watcher.begin_era()

    def _check(self, revision: int, changes: Iterable[int], era: int) -> None:
        if era != self._era.current:
            return
        for check in list(self._checks):
            check.record(revision, changes, era)

    def _check_now(self) -> None:
        for check in list(self._checks):
            check.check_now()

    def _count(self, operation: str, result: str) -> None:
        self._metrics.count(
            "sesameport_platform_calls_total", operation=operation, result=result
        )

    def failures(self) -> list[str]:
        """Return why kinds cannot be followed; empty if all are."""
        failures = [watcher.failure for watcher in list(self._watchers.values())]
        return [failure for failure in failures if failure]

    def _follow(self, followed: Missed, handler: ObjectHandler) -> None:
        kinds = {
            Missed.CONFIGURATION: self._adapter.configuration_kind,
            Missed.SERVERS: self._adapter.server_kind,
            Missed.EVACUATIONS: self._adapter.evacuation_kind,
        }

        def tell(result: ReadResult) -> None:
            self._actor.tell(m.StoreRead(followed, *attrs.astuple(result)))

        interval_s = WATCH_INTERVAL_S
        if followed == Missed.SERVERS:
            interval_s = server_watch_interval_s(self._bounds.drain_s)
        times, kind = self._times(followed), kinds[followed]
        is_leading = followed == Missed.SERVERS
        watcher = ListWatcher(
            self._connect,
            kind,
            handler,
            self._health,
            self._metrics,
            self._closing,
            tell,
            interval_s,
            lists_again=followed == Missed.CONFIGURATION,
            times=times,
            call_at=self._call_at,
            on_revision=self._check if is_leading else lambda *revision: None,
            on_lost=self._check_now if is_leading else lambda: None,
            era=self._era,
        )
        self._watchers[followed] = watcher.start()
        if is_leading:
            return
        check = RevisionCheck(
            kind,
            watcher,
            self._connect,
            self._call_at,
            times.answer_s,
            self._closing,
            self._count,
        )
        self._checks.append(check)
