"""Own the membership and configuration of one host.

The actor's thread runs the pure code of `sesameport.fleet`. Reads of the platform block
and run on a thread of their own, which asks the actor what to read next.
"""

import random
from collections.abc import Callable
from typing import Any

import attrs
import logbook
import pykka

from sesameport.daemon.fleet.fleet_messages import (
    MEMBERSHIP_MESSAGES,
    FleetOptions,
    Leave,
    NextRead,
    PeerMessage,
    Published,
    ReadDone,
    Subscribe,
    Tick,
    check_document,
)
from sesameport.daemon.views.fleet_view import DocumentInForce, FleetTopic, MemberView
from sesameport.fleet.configuration import Configuration, DocumentsChanged
from sesameport.fleet.listing_exchange import ListingChanged
from sesameport.fleet.membership import MembersChanged, Membership, SteppedDown
from sesameport.fleet.peer_messages import Send
from sesameport.fleet.platform_reads import PlatformRead, PlatformReadPlanner, ReadKind
from sesameport.interfaces import PeerLink, PlatformErrorKind, Timers
from sesameport.world import Host

__all__ = ["FleetActor"]

log = logbook.Logger("fleet")


class FleetActor(pykka.ThreadingActor):
    """Own membership, configuration and the plan of platform reads.

    Start it through `FleetHandle`.
    """

    use_daemon_thread = True

    def __init__(
        self,
        options: FleetOptions,
        published: Published,
        link: PeerLink,
        timers: Timers,
        set_hosts: Callable[[tuple[Host, ...]], None],
        rng: random.Random,
    ):
        super().__init__()
        self._options = options
        self._published = published
        self._link = link
        self._timers = timers
        self._set_hosts = set_hosts
        own, incarnation = options.own, options.incarnation
        self._membership = Membership(own, incarnation, rng, options.membership)
        self._configuration = Configuration(
            own,
            incarnation,
            rng,
            check_document,
            options.data_centres,
            options.configuration,
        )
        self._reads = PlatformReadPlanner(rng, options.watch_s)
        self._subscribers: dict[FleetTopic, list] = {topic: [] for topic in FleetTopic}
        self._update_members()
        self._publish_all()

    def on_receive(self, message: Any) -> Any:
        """Handle one message; only ``NextRead`` has an answer."""
        now = self._timers.now()
        # After a pause, whoever holds a role must hear of it before anything is done.
        self._perform(self._membership.check_pause(now))
        if isinstance(message, Tick):
            self._perform(self._membership.tick(now))
            self._perform(self._configuration.tick(now))
            self._publish_times(now)
        elif isinstance(message, PeerMessage):
            self._take_peer_message(message, now)
        elif isinstance(message, NextRead):
            return self._next_read(now)
        elif isinstance(message, ReadDone):
            self._take_read(message, now)
        elif isinstance(message, Subscribe):
            self._subscribers[message.topic].append(message.callback)
        elif isinstance(message, Leave):
            self._perform(self._membership.leave(now))
        return None

    def _take_peer_message(self, message: PeerMessage, now: float) -> None:
        if isinstance(message.message, MEMBERSHIP_MESSAGES):
            part = self._membership
        else:
            part = self._configuration
        try:
            effects = part.receive(message.sender, message.message, now)
        except Exception:
            # A message that another host got wrong must not end this host's actor.
            log.exception("a message of {} failed", message.sender.host)
            return
        self._perform(effects)

    def _next_read(self, now: float) -> PlatformRead | None:
        state = self._configuration.state
        return self._reads.next_read(
            now,
            self._configuration.is_relay(),
            len(state.local),
            self._configuration.freshness_age(now),
            state.listing.digest != "",
        )

    def _take_read(self, done: ReadDone, now: float) -> None:
        read = done.read
        if done.result.is_err():
            error = done.result.unwrap_err()
            gone = error.kind == PlatformErrorKind.GONE
            self._reads.failed(read, now, gone)
            if not gone:
                self._configuration.handle_read_failure(done.asked_at)
            return
        value = done.result.unwrap()
        if read.kind == ReadKind.HOSTS:
            self._reads.done(read, 0)
            effects = self._configuration.handle_host_list(value, done.asked_at, now)
        elif read.kind == ReadKind.LIST:
            self._reads.done(read, value.version)
            effects = self._configuration.handle_object_list(value, done.asked_at, now)
        else:
            self._reads.done(read, value.version)
            effects = self._configuration.handle_watch_batch(value, done.asked_at, now)
        self._perform(effects)
        self._publish_times(now)

    # -- effects --------------------------------------------------------------

    def _perform(self, effects: list) -> None:
        topics = []
        for effect in effects:
            if isinstance(effect, Send):
                self._link.send(effect.host, effect.message)
            elif isinstance(effect, SteppedDown):
                log.warning("paused for {:.1f} s, stepping down", effect.paused_s)
                self._publish_times(self._timers.now())
                self._notify(FleetTopic.STEPPED_DOWN)
            elif isinstance(effect, MembersChanged):
                topics.append(FleetTopic.MEMBERS)
            elif isinstance(effect, DocumentsChanged):
                topics.append(FleetTopic.DOCUMENTS)
            elif isinstance(effect, ListingChanged):
                topics.append(FleetTopic.SERVERS)
                hosts = self._configuration.hosts().hosts
                self._set_hosts(hosts)
                self._perform(
                    self._membership.merge_host_list(hosts, self._timers.now())
                )
        if not topics:
            return
        self._update_members()
        self._publish_all()
        for topic in dict.fromkeys(topics):
            self._notify(topic)

    def _update_members(self) -> None:
        own = self._options.own.data_centre
        others = [name for name in self._options.data_centres if name != own]
        remote = {name: self._membership.alive(name) for name in others}
        local = self._membership.alive(own)
        self._configuration.set_members(local, remote, self._options.seeds)

    def _notify(self, topic: FleetTopic) -> None:
        for callback in self._subscribers[topic]:
            try:
                callback(self._published.view)
            except Exception:
                log.exception("a subscriber of {} failed", topic)

    # -- publishing -----------------------------------------------------------

    def _publish_times(self, now: float) -> None:
        self._published.view = attrs.evolve(
            self._published.view,
            fresh_at=self._configuration.state.freshness.fresh_at,
            evidence_at=now,
            evidence_then=self._configuration.platform_evidence(now),
            answered_probe_times=self._membership.answered_probe_times(),
            is_self_suspect=self._membership.is_self_suspect(),
        )

    def _publish_all(self) -> None:
        configuration = self._configuration
        listing = configuration.hosts()
        rejected = {
            name: (record.rejected.version, tuple(record.findings))
            for name, record in configuration.store.records.items()
            if record.rejected is not None
        }
        self._published.view = attrs.evolve(
            self._published.view,
            documents={
                name: DocumentInForce(document, version)
                for name, (document, version) in configuration.documents().items()
            },
            findings=rejected,
            members=tuple(_view_of(member) for member in self._membership.members()),
            alive={
                name: tuple(self._membership.alive(name))
                for name in self._options.data_centres
            },
            ended_incarnations=tuple(self._membership.ended_incarnations()),
            hosts=listing.hosts,
            servers=listing.servers,
            relays=tuple(configuration.state.relays()),
        )
        self._publish_times(self._timers.now())


def _view_of(member) -> MemberView:
    return MemberView(
        member.name,
        member.data_centre,
        member.incarnation,
        member.state,
        member.leaving,
    )
