"""Start the components of one host that cooperate with other hosts."""

import random
import time
from collections.abc import Callable

import attrs
import pykka

from sesameport.adapters import HttpPlatform, TimerService
from sesameport.adapters.paced_platform import PacedPlatform
from sesameport.adapters.peer_link import ZmqPeerLink
from sesameport.daemon.fleet.configuration_snapshot import (
    ConfigurationPublisher,
    build_snapshot,
)
from sesameport.daemon.fleet.control_actor import (
    DescribeControl,
    ReleaseControlLeases,
    SetControlState,
    StepDownControl,
    start_control,
)
from sesameport.daemon.fleet.fleet_handle import FleetHandle
from sesameport.daemon.fleet.fleet_messages import FleetOptions
from sesameport.daemon.fleet.shares_actor import (
    DescribeShares,
    ReleaseShares,
    SetDocuments,
    SetRegionHosts,
    SharesView,
    StepDown,
    start_shares,
)
from sesameport.daemon.views.fleet_view import FleetTopic, FleetView
from sesameport.documents import Settings
from sesameport.domain import Host
from sesameport.fleet.membership import MembershipSettings
from sesameport.fleet.pacing import CallPacer
from sesameport.fleet.share_limits import ShareSettings
from sesameport.interfaces import Sender
from sesameport.telemetry.decisions import DecisionKind
from sesameport.telemetry.recorder import Recorder

__all__ = ["FleetComponents"]

_LEAVE_TIMEOUT_S = 3.0
_LEAVE_POLL_PERIOD_S = 0.1
_DESCRIBE_TIMEOUT_S = 0.5

_WATCHES_PER_STALENESS_BOUND = 4
"""A watch lasts at most a quarter of the staleness bound of keys, as
`FleetOptions.watch_s` requires."""


class FleetComponents:
    """Own the peer link, the fleet view, the rate shares and the server control.

    Parameters
    ----------
    cfg : Settings
        Settings of this host.
    local_host : Host
        This host with its bound addresses, except the peer address, which is added
        here.
    incarnation : str
        Random number that identifies this process, hexadecimal.
    configuration : ConfigurationPublisher
        Receives a new snapshot after each change of documents or servers.
    find_engine : callable
        Returns the engine of a server by its name, or None.
    """

    def __init__(
        self,
        cfg: Settings,
        local_host: Host,
        incarnation: str,
        configuration: ConfigurationPublisher,
        timers: TimerService,
        recorder: Recorder,
        find_engine: Callable,
    ):
        self._cfg = cfg
        self._configuration = configuration
        self._recorder = recorder
        self._rng = random.Random()
        self.sender = Sender(local_host.name, incarnation, local_host.data_centre)
        peers = cfg.peers
        self.link = ZmqPeerLink(
            self.sender,
            cfg.host.peer_listen,
            peers.public_key,
            peers.secret_key,
            peers.seeds,
        )
        self.local_host = attrs.evolve(local_host, peer_address=self.link.start())
        pacer = CallPacer(self._rng, cfg.fleet.platform_calls_per_s)
        http_platform = HttpPlatform(cfg.platform.url, cfg.platform.timeout_s)
        self.platform = PacedPlatform(http_platform, pacer, time.monotonic)
        self.shares_actor, self.share_client = self._start_shares(timers)
        self.control_actor = start_control(
            self.sender,
            cfg.fleet.control_lease_s,
            cfg.fleet.drift,
            self.platform,
            find_engine,
            timers,
            self._rng,
        )
        self.fleet = self._start_fleet(http_platform, timers)

    def _start_shares(self, timers):
        fleet = self._cfg.fleet
        settings = ShareSettings(
            standing_share=fleet.standing_share,
            standing_lease_s=fleet.standing_lease_s,
            pool_lease_s=fleet.pool_lease_s,
            lot_lifetime_s=0.8 * fleet.pool_lease_s,
            drift=fleet.drift,
        )
        return start_shares(
            self.sender,
            self._cfg.region(),
            settings,
            self.platform,
            self.link,
            timers,
            self._rng,
        )

    def _start_fleet(self, platform, timers) -> FleetHandle:
        cfg = self._cfg
        options = FleetOptions(
            self.local_host,
            self.sender.incarnation,
            tuple(centre.name for centre in cfg.data_centres),
            tuple(self.link.seed_addresses()),
            min(
                cfg.platform.watch_s,
                cfg.fleet.key_staleness_s / _WATCHES_PER_STALENESS_BOUND,
            ),
            MembershipSettings(period_s=cfg.peers.probe_period_s),
        )
        subscribers = [
            (FleetTopic.DOCUMENTS, self._handle_documents_change),
            (FleetTopic.SERVERS, self._handle_servers_change),
            (FleetTopic.MEMBERS, self._handle_members_change),
            (FleetTopic.STEPPED_DOWN, self._handle_step_down),
        ]
        return FleetHandle(
            options,
            platform,
            self.link,
            timers,
            self.link.set_hosts,
            self._rng,
            subscribers,
        )

    def send_to_data_centre(self, message) -> None:
        """Send a message to every other live host of this data centre."""
        for name in self.fleet.view().alive.get(self.sender.data_centre, ()):
            if name != self.sender.host:
                self.link.send(name, message)

    def describe_shares(self) -> SharesView:
        """Return shares and leases for the status page, or none if an actor is late."""
        try:
            view = self.shares_actor.ask(DescribeShares(), timeout=_DESCRIBE_TIMEOUT_S)
            leases = self.control_actor.ask(
                DescribeControl(), timeout=_DESCRIBE_TIMEOUT_S
            )
        except (pykka.Timeout, pykka.ActorDeadError):
            return SharesView()
        return attrs.evolve(view, leases=view.leases + leases)

    def _handle_documents_change(self, view: FleetView) -> None:
        versions = {name: active.version for name, active in view.documents.items()}
        published_versions = self._configuration.current.versions
        changed = {
            name: version
            for name, version in versions.items()
            if published_versions.get(name) != version
        }
        if changed:
            self._recorder.record_decision(
                DecisionKind.CONFIGURATION,
                "documents in force",
                time.monotonic(),
                inputs=changed,
            )
        documents = {name: active.document for name, active in view.documents.items()}
        self.shares_actor.tell(
            SetDocuments(documents, len(set(self._region_by_data_centre().values())))
        )
        self._handle_servers_change(view)

    def _handle_servers_change(self, view: FleetView) -> None:
        documents = {name: active.document for name, active in view.documents.items()}
        versions = {name: active.version for name, active in view.documents.items()}
        configuration = build_snapshot(documents, versions, view.servers, view.hosts)
        self._configuration.replace(configuration)
        self._handle_members_change(view)

    def _handle_members_change(self, view: FleetView) -> None:
        hosts = self._region_hosts(view)
        self.shares_actor.tell(SetRegionHosts(tuple(hosts)))
        documents = {name: active.document for name, active in view.documents.items()}
        data_centre = self.sender.data_centre
        local = tuple(host for host in hosts if host.data_centre == data_centre)
        self.control_actor.tell(SetControlState(documents, view.servers, local))
        self.platform.set_host_count(sum(len(names) for names in view.alive.values()))

    def count_region_hosts(self) -> int:
        """Return the number of live hosts of this region, at least 1."""
        return max(1, len(self._region_hosts(self.fleet.view())))

    def _region_hosts(self, view: FleetView) -> list[Host]:
        regions, local_region = self._region_by_data_centre(), self._cfg.region()
        return [
            Host(name, centre)
            for centre, names in view.alive.items()
            for name in names
            if regions.get(centre) == local_region
        ]

    def _handle_step_down(self, view: FleetView) -> None:
        self.shares_actor.tell(StepDown())
        self.control_actor.tell(StepDownControl())
        self._recorder.record_decision(
            DecisionKind.LEASE, "stepped down after a pause", time.monotonic()
        )

    def _region_by_data_centre(self) -> dict[str, str]:
        return {centre.name: centre.region for centre in self._cfg.data_centres}

    def leave(self) -> None:
        """Return shares and leases and announce the shutdown to the other hosts."""
        deadline = time.monotonic() + _LEAVE_TIMEOUT_S
        pending_releases = [
            (self.shares_actor, ReleaseShares()),
            (self.control_actor, ReleaseControlLeases()),
        ]
        while pending_releases and time.monotonic() < deadline:
            pending_releases = [
                release for release in pending_releases if not _ask_released(*release)
            ]
            if pending_releases:
                time.sleep(_LEAVE_POLL_PERIOD_S)
        self.fleet.leave()

    def stop(self) -> None:
        """Stop all actors immediately, without returning shares or leases."""
        self.fleet.stop()
        for actor in (self.shares_actor, self.control_actor):
            actor.stop(block=False)
        self.link.close()


def _ask_released(actor: pykka.ActorRef, message) -> bool:
    try:
        return bool(actor.ask(message, timeout=1.0))
    except (pykka.Timeout, pykka.ActorDeadError):
        return False
