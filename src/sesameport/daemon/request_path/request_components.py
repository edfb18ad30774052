"""Build the components that manage holds, claims and plain calls."""

import time
from collections.abc import Callable, Iterable, Mapping

import attrs

from sesameport.adapters import BulkheadPlatform
from sesameport.daemon.fleet.claims_actor import (
    ClaimClient,
    ClaimsActor,
    ClaimTick,
    ClaimWorkers,
)
from sesameport.daemon.fleet.configuration_snapshot import ConfigurationPublisher
from sesameport.daemon.fleet.hold_manager import (
    CountHolds,
    HoldManagerActor,
    HoldTick,
    HoldWorkers,
    SweepTick,
)
from sesameport.daemon.request_path.backend_adapters import BackendAdapters
from sesameport.daemon.request_path.dispatcher_messages import RecordServerRemoval
from sesameport.daemon.request_path.plain_runner import PlainRunner
from sesameport.domain import ServerRole
from sesameport.interfaces import Platform, Timers
from sesameport.requests import HoldOwner, HostMembership, SweepConfig

__all__ = ["MembershipQueries", "RequestComponents"]

_HOLD_TICK_PERIOD_S = 0.25
_CLAIM_PERIOD_S = 0.2
_SWEEP_PERIOD_S = 5.0


@attrs.frozen
class MembershipQueries:
    """Hold the membership queries of the sweep and the claims.

    With the defaults no other host is known: the sweep cancels no hold of another host
    and no claim owner counts as ended.

    Attributes
    ----------
    list_members : callable
        Returns the membership of the hosts by host name.
    list_live_hosts : callable
        Returns the names of the live hosts of this data centre.
    has_owner_ended : callable
        Returns whether ``<host>.<incarnation>`` has certainly ended.
    """

    list_members: Callable[[], Mapping[str, HostMembership]] = dict
    list_live_hosts: Callable[[], Iterable[str]] = lambda: ()
    has_owner_ended: Callable[[str], bool] = lambda owner: False


class RequestComponents:
    """Own the hold manager, the claims and the plain runner of one host.

    Parameters
    ----------
    owner : HoldOwner
        Host and incarnation of this process.
    data_centre : str
        Data centre of this host; the host sweeps engines there.
    configuration : ConfigurationPublisher
        Current documents and servers.
    backends : Backends
        Adapters of backend servers.
    platform : Platform
        Platform that stores the claims.
    dispatcher : pykka.ActorRef
        Dispatcher actor.
    fleet : MembershipQueries
        Membership queries.
    sweep : SweepConfig
        Limits of the sweep.
    sweep_period_s : float
        Period of the sweeps, seconds.
    """

    def __init__(
        self,
        owner: HoldOwner,
        data_centre: str,
        configuration: ConfigurationPublisher,
        backends: BackendAdapters,
        platform: Platform,
        dispatcher,
        fleet: MembershipQueries = MembershipQueries(),
        sweep: SweepConfig = SweepConfig(),
        sweep_period_s: float = _SWEEP_PERIOD_S,
    ):
        self._configuration = configuration
        self._data_centre = data_centre
        self._sweep_period_s = sweep_period_s
        self._hold_workers = HoldWorkers(backends.find_engine)
        self.holds = HoldManagerActor.start(
            owner,
            self._hold_workers,
            self._list_engines,
            fleet.list_members,
            fleet.list_live_hosts,
            time.monotonic,
            sweep,
            lambda server: dispatcher.tell(RecordServerRemoval(server)),
        )
        bounded_platform = BulkheadPlatform(platform, backends.bulkheads.platform)
        self._claim_workers = ClaimWorkers(bounded_platform)
        self.claims = ClaimsActor.start(
            f"{owner.host}.{owner.incarnation}",
            self._claim_workers,
            fleet.has_owner_ended,
            time.monotonic,
            time.time,
        )
        claim_client = ClaimClient(self.claims, time.monotonic)
        self.plain = PlainRunner(
            dispatcher, backends.find_plain_service, claim_client, time.monotonic
        )

    def start(self, timers: Timers) -> None:
        """Start the worker threads and subscribe to the timers."""
        self._hold_workers.start(self.holds.tell)
        self._claim_workers.start(self.claims.tell)
        timers.subscribe(
            "holds", _HOLD_TICK_PERIOD_S, lambda now: self.holds.tell(HoldTick())
        )
        timers.subscribe(
            "claims", _CLAIM_PERIOD_S, lambda now: self.claims.tell(ClaimTick())
        )
        timers.subscribe(
            "sweep", self._sweep_period_s, lambda now: self.holds.tell(SweepTick())
        )

    def stop(self) -> None:
        """Stop the threads and actors; other hosts sweep the remaining holds."""
        self._hold_workers.stop()
        self._claim_workers.stop()
        self.holds.stop(block=False)
        self.claims.stop(block=False)

    def count_holds(self) -> tuple[int, int]:
        """Return the numbers of open holds and unconfirmed cancels."""
        return self.holds.ask(CountHolds(), timeout=0.5)

    def _list_engines(self) -> tuple[list[str], list[str]]:
        servers = self._configuration.current.servers
        engines = [s for s in servers if s.role != ServerRole.PLAIN]
        local = [s.name for s in engines if s.data_centre == self._data_centre]
        return local, [s.name for s in engines]
