"""Start the Fleet actor and the thread that reads the platform for it."""

import random
import threading
from collections.abc import Callable, Sequence
from typing import Any

import logbook
import pykka
from result import Result

from sesameport.daemon.fleet.fleet_actor import FleetActor
from sesameport.daemon.fleet.fleet_messages import (
    CONFIGURATION_MESSAGES,
    MEMBERSHIP_MESSAGES,
    TICK_S,
    FleetOptions,
    FleetTick,
    GetNextRead,
    Leave,
    PeerMessage,
    ReadCompleted,
    Subscribe,
    ViewHolder,
)
from sesameport.daemon.views.fleet_view import FleetTopic, FleetView
from sesameport.domain import Host
from sesameport.fleet.platform_reads import PlatformRead, ReadKind
from sesameport.interfaces import PeerLink, Platform, Sender, Timers

__all__ = ["FleetHandle"]

log = logbook.Logger("fleet")

MAX_INBOX_MESSAGES = 5_000
"""Peer messages are dropped while this many messages wait for the actor."""


class _PlatformReadThread(threading.Thread):
    """Make the platform reads that the actor plans.

    They run on a separate thread, because a watch blocks for seconds.
    """

    def __init__(self, ref: pykka.ActorRef, platform: Platform, timers: Timers):
        super().__init__(name="fleet-reads", daemon=True)
        self._ref = ref
        self._platform = platform
        self._timers = timers
        self._stop_requested = threading.Event()

    def stop(self) -> None:
        """Stop after the current read."""
        self._stop_requested.set()

    def run(self) -> None:
        """Read until `stop` is called or the actor stops."""
        while not self._stop_requested.is_set():
            try:
                read = self._ref.ask(GetNextRead())
                if read is None:
                    self._stop_requested.wait(TICK_S)
                    continue
                requested_at = self._timers.now()
                result = self._call(read)
                self._ref.tell(ReadCompleted(read, requested_at, result))
            except pykka.ActorDeadError:
                return

    def _call(self, read: PlatformRead) -> Result:
        kind = "ServiceDocument"
        if read.kind == ReadKind.HOSTS:
            return self._platform.hosts()
        if read.kind == ReadKind.LIST:
            return self._platform.list(kind)
        return self._platform.watch(kind, read.version, read.timeout_s)


class FleetHandle:
    """Start the Fleet actor and make it accessible from any thread.

    Parameters
    ----------
    set_hosts : callable
        Receives the listed hosts after each change. `ZmqPeerLink.set_hosts` updates the
        addresses and keys of the peer link with them.
    """

    def __init__(
        self,
        options: FleetOptions,
        platform: Platform,
        link: PeerLink,
        timers: Timers,
        set_hosts: Callable[[tuple[Host, ...]], None],
        rng: random.Random | None = None,
        subscribers: Sequence[tuple[FleetTopic, Callable[[FleetView], None]]] = (),
    ):
        self._view_holder = ViewHolder()
        rng = rng or random.SystemRandom()
        self._ref = FleetActor.start(
            options, self._view_holder, link, timers, set_hosts, rng
        )
        self.dropped_messages = 0
        for topic, callback in subscribers:
            self.subscribe(topic, callback)
        for message_type in (*MEMBERSHIP_MESSAGES, *CONFIGURATION_MESSAGES):
            link.subscribe(message_type, self._handle_peer_message)
        timers.subscribe("fleet", TICK_S, lambda _now: self._tell(FleetTick()))
        self._thread = _PlatformReadThread(self._ref, platform, timers)
        self._thread.start()

    def view(self) -> FleetView:
        """Return the newest view without waiting for the actor."""
        return self._view_holder.view

    def subscribe(
        self, topic: FleetTopic, callback: Callable[[FleetView], None]
    ) -> None:
        """Call ``callback`` on the actor's thread after each change of a topic."""
        self._tell(Subscribe(topic, callback))

    def leave(self) -> None:
        """Announce a graceful shutdown to the other hosts."""
        self._ref.ask(Leave())

    def stop(self) -> None:
        """Stop the actor and the reads; a running watch ends by its timeout."""
        self._thread.stop()
        self._ref.stop()

    def _handle_peer_message(self, sender: Sender, message: Any) -> None:
        if self._ref.actor_inbox.qsize() >= MAX_INBOX_MESSAGES:
            self.dropped_messages += 1
            return
        self._tell(PeerMessage(sender, message))

    def _tell(self, message: Any) -> None:
        try:
            self._ref.tell(message)
        except pykka.ActorDeadError:
            log.debug("message dropped: the fleet actor has stopped")
