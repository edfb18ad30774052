"""Run the membership and the configuration of one host.

The actor's thread runs the code of `sesameport.fleet`, which does no I/O. Platform
reads block, so `FleetHandle` runs them on a separate thread, which requests each read
from the actor.
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
    FleetTick,
    GetNextRead,
    Leave,
    PeerMessage,
    ReadCompleted,
    Subscribe,
    ViewHolder,
    check_document,
)
from sesameport.daemon.views.fleet_view import ActiveDocument, FleetTopic, MemberView
from sesameport.domain import Host
from sesameport.fleet.configuration import Configuration, DocumentsChanged
from sesameport.fleet.listing_exchange import ListingChanged
from sesameport.fleet.membership import MembersChanged, Membership, SteppedDown
from sesameport.fleet.peer_messages import Send
from sesameport.fleet.platform_reads import PlatformRead, PlatformReadPlanner, ReadKind
from sesameport.interfaces import PeerLink, PlatformErrorKind, Timers

__all__ = ["FleetActor"]

log = logbook.Logger("fleet")


class FleetActor(pykka.ThreadingActor):
    """Own the membership, the configuration and the planner of platform reads.

    Start it through `FleetHandle`.
    """

    use_daemon_thread = True

    def __init__(
        self,
        options: FleetOptions,
        view_holder: ViewHolder,
        link: PeerLink,
        timers: Timers,
        set_hosts: Callable[[tuple[Host, ...]], None],
        rng: random.Random,
    ):
        super().__init__()
        self._options = options
        self._view_holder = view_holder
        self._link = link
        self._timers = timers
        self._set_hosts = set_hosts
        local_host, incarnation = options.local_host, options.incarnation
        self._membership = Membership(local_host, incarnation, rng, options.membership)
        self._configuration = Configuration(
            local_host,
            incarnation,
            rng,
            check_document,
            options.data_centres,
            options.configuration,
        )
        self._read_planner = PlatformReadPlanner(rng, options.watch_s)
        self._subscribers: dict[FleetTopic, list] = {topic: [] for topic in FleetTopic}
        self._update_members()
        self._publish_all()

    def on_receive(self, message: Any) -> Any:
        """Handle one message; only ``GetNextRead`` has an answer."""
        now = self._timers.now()
        # After a pause of the process, subscribers must give up their roles and leases
        # before any other work uses them.
        self._apply_effects(self._membership.check_pause(now))
        if isinstance(message, FleetTick):
            self._apply_effects(self._membership.tick(now))
            self._apply_effects(self._configuration.tick(now))
            self._publish_times(now)
        elif isinstance(message, PeerMessage):
            self._handle_peer_message(message, now)
        elif isinstance(message, GetNextRead):
            return self._next_read(now)
        elif isinstance(message, ReadCompleted):
            self._handle_read_result(message, now)
        elif isinstance(message, Subscribe):
            self._subscribers[message.topic].append(message.callback)
        elif isinstance(message, Leave):
            self._apply_effects(self._membership.leave(now))
        return None

    def _handle_peer_message(self, message: PeerMessage, now: float) -> None:
        if isinstance(message.message, MEMBERSHIP_MESSAGES):
            component = self._membership
        else:
            component = self._configuration
        try:
            effects = component.receive(message.sender, message.message, now)
        except Exception:
            # An invalid message from another host must not stop this actor.
            log.exception("failed to handle a message from {}", message.sender.host)
            return
        self._apply_effects(effects)

    def _next_read(self, now: float) -> PlatformRead | None:
        state = self._configuration.state
        return self._read_planner.next_read(
            now,
            self._configuration.is_relay(),
            len(state.local),
            self._configuration.freshness_age(now),
            state.listing.digest != "",
        )

    def _handle_read_result(self, completed: ReadCompleted, now: float) -> None:
        read = completed.read
        if completed.result.is_err():
            error = completed.result.unwrap_err()
            is_history_lost = error.kind == PlatformErrorKind.GONE
            self._read_planner.failed(read, now, is_history_lost)
            if not is_history_lost:
                self._configuration.handle_read_failure(completed.requested_at)
            return
        value = completed.result.unwrap()
        if read.kind == ReadKind.HOSTS:
            self._read_planner.done(read, 0)
            effects = self._configuration.handle_host_list(
                value, completed.requested_at, now
            )
        elif read.kind == ReadKind.LIST:
            self._read_planner.done(read, value.version)
            effects = self._configuration.handle_object_list(
                value, completed.requested_at, now
            )
        else:
            self._read_planner.done(read, value.version)
            effects = self._configuration.handle_watch_batch(
                value, completed.requested_at, now
            )
        self._apply_effects(effects)
        self._publish_times(now)

    # -- effects --------------------------------------------------------------

    def _apply_effects(self, effects: list) -> None:
        topics = []
        for effect in effects:
            if isinstance(effect, Send):
                self._link.send(effect.host, effect.message)
            elif isinstance(effect, SteppedDown):
                log.warning(
                    "process was paused for {:.1f} s; stepping down", effect.paused_s
                )
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
                self._apply_effects(
                    self._membership.merge_host_list(hosts, self._timers.now())
                )
        if not topics:
            return
        self._update_members()
        self._publish_all()
        for topic in dict.fromkeys(topics):
            self._notify(topic)

    def _update_members(self) -> None:
        local_data_centre = self._options.local_host.data_centre
        remote_data_centres = [
            name for name in self._options.data_centres if name != local_data_centre
        ]
        remote = {name: self._membership.alive(name) for name in remote_data_centres}
        local = self._membership.alive(local_data_centre)
        self._configuration.set_members(local, remote, self._options.seeds)

    def _notify(self, topic: FleetTopic) -> None:
        for callback in self._subscribers[topic]:
            try:
                callback(self._view_holder.view)
            except Exception:
                log.exception("subscriber of topic {} failed", topic)

    # -- publishing -----------------------------------------------------------

    def _publish_times(self, now: float) -> None:
        self._view_holder.view = attrs.evolve(
            self._view_holder.view,
            fresh_at=self._configuration.state.freshness.fresh_at,
            evidence_at=now,
            recorded_evidence=self._configuration.platform_evidence(now),
            answered_probe_times=self._membership.answered_probe_times(),
            is_self_suspect=self._membership.is_self_suspect(),
        )

    def _publish_all(self) -> None:
        configuration = self._configuration
        listing = configuration.hosts()
        findings = {
            name: (record.rejected.version, tuple(record.findings))
            for name, record in configuration.store.records.items()
            if record.rejected is not None
        }
        self._view_holder.view = attrs.evolve(
            self._view_holder.view,
            documents={
                name: ActiveDocument(document, version)
                for name, (document, version) in configuration.documents().items()
            },
            findings=findings,
            members=tuple(
                _to_member_view(member) for member in self._membership.members()
            ),
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


def _to_member_view(member) -> MemberView:
    return MemberView(
        member.name,
        member.data_centre,
        member.incarnation,
        member.state,
        member.leaving,
    )
