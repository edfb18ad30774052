"""Start the parts by which the hosts act together, and join them to the daemon."""

import random
import time
from collections.abc import Callable

import attrs
import pykka

from sesameport.adapters import HttpPlatform, TimerService
from sesameport.adapters.paced_platform import PacedPlatform
from sesameport.adapters.peer_link import ZmqPeerLink
from sesameport.daemon.fleet.control_actor import (
    DescribeControl,
    LeaveControl,
    PutControlState,
    StepDownControl,
    start_control,
)
from sesameport.daemon.fleet.directory import DirectoryHolder, build_directory
from sesameport.daemon.fleet.fleet_handle import FleetHandle
from sesameport.daemon.fleet.fleet_messages import FleetOptions
from sesameport.daemon.fleet.shares_actor import (
    DescribeShares,
    LeaveShares,
    MembersKnown,
    PutDocuments,
    SharesView,
    StepDown,
    start_shares,
)
from sesameport.daemon.views.fleet_view import FleetTopic, FleetView
from sesameport.documents import Settings
from sesameport.fleet.membership import MembershipSettings
from sesameport.fleet.pacing import CallPacer
from sesameport.fleet.share_limits import ShareSettings
from sesameport.interfaces import Sender
from sesameport.telemetry.decisions import DecisionKind
from sesameport.telemetry.recorder import Recorder
from sesameport.world import Host

__all__ = ["Cluster"]

_LEAVE_S = 3.0
_LEAVE_STEP_S = 0.1
_DESCRIBE_S = 0.5
# The fleet actor's documentation asks for a quarter of the staleness bound of keys.
_WATCHES_PER_STALENESS = 4


class Cluster:
    """Own the peer link, the fleet view, the rate shares and the control tasks.

    Parameters
    ----------
    cfg : Settings
        Settings of this host.
    own : Host
        This host with its bound addresses; the peer address is completed here.
    incarnation : str
        Random number of this process, hexadecimal.
    directory : DirectoryHolder
        Gets a new snapshot after each change of documents or servers.
    find_engine : callable
        Returns the engine of a server name, or None.
    """

    def __init__(
        self,
        cfg: Settings,
        own: Host,
        incarnation: str,
        directory: DirectoryHolder,
        timers: TimerService,
        recorder: Recorder,
        find_engine: Callable,
    ):
        self._cfg = cfg
        self._directory = directory
        self._recorder = recorder
        self._rng = random.Random()
        self.sender = Sender(own.name, incarnation, own.data_centre)
        peers = cfg.peers
        self.link = ZmqPeerLink(
            self.sender,
            cfg.host.peer_listen,
            peers.public_key,
            peers.secret_key,
            peers.seeds,
        )
        self.own = attrs.evolve(own, peer_address=self.link.start())
        pacer = CallPacer(self._rng, cfg.fleet.platform_calls_per_s)
        http = HttpPlatform(cfg.platform.url, cfg.platform.timeout_s)
        self.platform = PacedPlatform(http, pacer, time.monotonic)
        self.shares, self.rates = self._start_shares(timers)
        self.control = start_control(
            self.sender,
            cfg.fleet.control_lease_s,
            cfg.fleet.drift,
            self.platform,
            find_engine,
            timers,
            self._rng,
        )
        self.fleet = self._start_fleet(http, timers)

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
            self.own,
            self.sender.incarnation,
            tuple(centre.name for centre in cfg.data_centres),
            tuple(self.link.seed_names()),
            min(
                cfg.platform.watch_s,
                cfg.fleet.key_staleness_s / _WATCHES_PER_STALENESS,
            ),
            MembershipSettings(period_s=cfg.peers.probe_period_s),
        )
        subscribers = [
            (FleetTopic.DOCUMENTS, self._documents_changed),
            (FleetTopic.SERVERS, self._servers_changed),
            (FleetTopic.MEMBERS, self._members_changed),
            (FleetTopic.STEPPED_DOWN, self._stepped_down),
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
        """Return shares and leases for the status page; empty if actors are busy."""
        try:
            view = self.shares.ask(DescribeShares(), timeout=_DESCRIBE_S)
            leases = self.control.ask(DescribeControl(), timeout=_DESCRIBE_S)
        except (pykka.Timeout, pykka.ActorDeadError):
            return SharesView()
        return attrs.evolve(view, leases=view.leases + leases)

    def _documents_changed(self, view: FleetView) -> None:
        versions = {name: item.version for name, item in view.documents.items()}
        known = self._directory.current.versions
        changed = {
            name: version
            for name, version in versions.items()
            if known.get(name) != version
        }
        if changed:
            self._recorder.decide(
                DecisionKind.CONFIGURATION,
                "documents in force",
                time.monotonic(),
                inputs=changed,
            )
        documents = {name: item.document for name, item in view.documents.items()}
        self.shares.tell(PutDocuments(documents, len(set(self._regions().values()))))
        self._servers_changed(view)

    def _servers_changed(self, view: FleetView) -> None:
        documents = {name: item.document for name, item in view.documents.items()}
        versions = {name: item.version for name, item in view.documents.items()}
        directory = build_directory(documents, versions, view.servers, view.hosts)
        self._directory.replace(directory)
        self._members_changed(view)

    def _members_changed(self, view: FleetView) -> None:
        hosts = self._region_hosts(view)
        self.shares.tell(MembersKnown(tuple(hosts)))
        documents = {name: item.document for name, item in view.documents.items()}
        home = self.sender.data_centre
        local = tuple(host for host in hosts if host.data_centre == home)
        self.control.tell(PutControlState(documents, view.servers, local))
        self.platform.set_host_count(sum(len(names) for names in view.alive.values()))

    def count_region_hosts(self) -> int:
        """Return the number of live hosts of this region, at least 1."""
        return max(1, len(self._region_hosts(self.fleet.view())))

    def _region_hosts(self, view: FleetView) -> list[Host]:
        regions, own_region = self._regions(), self._cfg.region()
        return [
            Host(name, centre)
            for centre, names in view.alive.items()
            for name in names
            if regions.get(centre) == own_region
        ]

    def _stepped_down(self, view: FleetView) -> None:
        self.shares.tell(StepDown())
        self.control.tell(StepDownControl())
        self._recorder.decide(
            DecisionKind.LEASE, "stepped down after a pause", time.monotonic()
        )

    def _regions(self) -> dict[str, str]:
        return {centre.name: centre.region for centre in self._cfg.data_centres}

    def leave(self) -> None:
        """Give back shares and leases and announce the end to the other hosts."""
        end = time.monotonic() + _LEAVE_S
        waiting = [(self.shares, LeaveShares()), (self.control, LeaveControl())]
        while waiting and time.monotonic() < end:
            waiting = [item for item in waiting if not _ask(*item)]
            if waiting:
                time.sleep(_LEAVE_STEP_S)
        self.fleet.leave()

    def stop(self) -> None:
        """Stop at once."""
        self.fleet.stop()
        for actor in (self.shares, self.control):
            actor.stop(block=False)
        self.link.close()


def _ask(actor: pykka.ActorRef, message) -> bool:
    try:
        return bool(actor.ask(message, timeout=1.0))
    except (pykka.Timeout, pykka.ActorDeadError):
        return False
