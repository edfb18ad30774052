"""Run the rate shares of all services and charge the requests of this host."""

import random
from collections.abc import Mapping
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import attrs
import pykka

from sesameport.daemon.request_path.share_client import (
    ChargeRequest,
    ChargeSettlement,
    ShareClient,
)
from sesameport.daemon.views.lease_view import describe_lease
from sesameport.documents import FleetSettings
from sesameport.domain import Host, ServiceDocument
from sesameport.fleet.platform_intents import run_intent
from sesameport.fleet.rendezvous import rank_hosts
from sesameport.fleet.share_limits import ShareSettings, region_limits
from sesameport.fleet.share_messages import (
    LotAsk,
    LotGrant,
    LotReturn,
    StandingAsk,
    StandingGrant,
)
from sesameport.fleet.share_node import ShareNode
from sesameport.fleet.shares import ChargeAdmitted, LotsNeeded, RateRefused
from sesameport.interfaces import PeerLink, Platform, Sender, Timers
from sesameport.telemetry.status import LeaseStatus, ShareStatus

__all__ = [
    "ReleaseShares",
    "SetRegionHosts",
    "SetDocuments",
    "SharesActor",
    "SharesTick",
    "SharesView",
    "StepDown",
    "share_settings",
    "start_shares",
]

_TICK_S = 0.25

_CANDIDATE_COUNT = 2
"""Hosts of the region that may become the pool owner of a service."""

_PLATFORM_THREADS = 2
"""Maximum number of concurrent platform calls. Each service has at most one."""


@attrs.frozen
class SetDocuments:
    """Replace the accepted documents and the number of regions."""

    documents: Mapping[str, ServiceDocument]
    region_count: int


@attrs.frozen
class SetRegionHosts:
    """Replace the live hosts of this region, which include this host."""

    hosts: tuple[Host, ...]


@attrs.frozen
class SharesTick:
    """Renew leases and shares and retry the charges that wait."""


@attrs.frozen
class StepDown:
    """Give up every lease immediately, because this process was paused."""


@attrs.frozen
class ReleaseShares:
    """Return lots and standing shares and release the pools.

    The answer is whether every standing share is returned.
    """


@attrs.frozen
class DescribeShares:
    """Request the status of the shares and leases, a `SharesView`."""


@attrs.frozen
class SharesView:
    """Represent the shares of all workspaces and the leases of their pools."""

    shares: tuple[ShareStatus, ...] = ()
    leases: tuple[LeaseStatus, ...] = ()


@attrs.frozen
class _RetryCharges:
    service: str


@attrs.frozen
class _PeerMessage:
    sender: Sender
    message: Any


@attrs.frozen
class _PlatformResult:
    service: str
    intent: Any
    result: Any


class SharesActor(pykka.ThreadingActor):
    """Serialise all access to the rate shares.

    Parameters
    ----------
    sender : Sender
        This host process.
    region : str
        Region of this host.
    cfg : ShareSettings
        Settings of the rate shares.
    platform : Platform
        Stores the pool leases. It is called on worker threads only.
    link : PeerLink
        Link to the other hosts.
    timers : Timers
        Source of the time and of delayed calls.
    rng : random.Random
        Random source for nonces, jitter and the choice of peers.
    """

    use_daemon_thread = True

    def __init__(
        self,
        sender: Sender,
        region: str,
        cfg: ShareSettings,
        platform: Platform,
        link: PeerLink,
        timers: Timers,
        rng: random.Random,
    ):
        super().__init__()
        self._sender = sender
        self._region = region
        self._cfg = cfg
        self._platform = platform
        self._link = link
        self._timers = timers
        self._rng = rng
        self._nodes: dict[str, ShareNode] = {}
        self._waiting_charges: dict[str, list[ChargeRequest]] = {}
        self._hosts: tuple[Host, ...] = ()
        self._owner_candidates: dict[str, tuple[str, ...]] = {}
        self._workers = ThreadPoolExecutor(_PLATFORM_THREADS, "share-platform")

    def on_stop(self):
        """Cancel the queued calls of the worker threads."""
        self._workers.shutdown(wait=False, cancel_futures=True)

    def on_receive(self, message):
        """Handle one message and return its answer."""
        now = self._timers.now()
        match message:
            case ChargeRequest():
                self._charge(message, now)
            case ChargeSettlement():
                self._settle(message, now)
            case _PeerMessage(sender, peer_message):
                self._handle_peer_message(sender, peer_message, now)
            case _RetryCharges(service):
                self._retry_charges(service, now)
            case SharesTick():
                self._tick(now)
            case _PlatformResult(service, intent, result):
                self._send(self._nodes[service].handle_result(intent, result, now))
            case SetDocuments() | SetRegionHosts():
                self._configure(message, now)
            case StepDown():
                self._step_down()
            case ReleaseShares():
                return self._release_shares(now)
            case DescribeShares():
                return self._describe(now)
        return None

    def _charge(self, charge: ChargeRequest, now: float) -> None:
        if charge.service not in self._nodes:
            charge.done.set_result(RateRefused(None))
            return
        if self._try_charge(charge, now):
            return
        self._waiting_charges.setdefault(charge.service, []).append(charge)
        self._send(self._nodes[charge.service].request_lots(now))
        # A request to this host itself is granted immediately.
        self._retry_charges(charge.service, now)
        self._timers.call_at(
            "share-charge",
            charge.deadline,
            lambda _: self.actor_ref.tell(_RetryCharges(charge.service)),
        )

    def _settle(self, message: ChargeSettlement, now: float) -> None:
        node = self._nodes.get(message.service)
        if node is not None:
            node.shares.settle(message.receipt, message.used, now)

    def _try_charge(self, charge: ChargeRequest, now: float) -> bool:
        shares = self._nodes[charge.service].shares
        if charge.is_abandoned:
            return True
        may_wait = now < charge.deadline
        answer = shares.charge(charge.workspace, charge.tokens, now, may_wait)
        if isinstance(answer, LotsNeeded):
            return False
        if isinstance(answer, ChargeAdmitted):
            charge.done.set_result(answer.receipt)
            return True
        wait_s = answer.retry_after_s
        if may_wait and wait_s is not None and now + wait_s < charge.deadline:
            # The tokens may be available before the deadline; the next tick retries.
            return False
        charge.done.set_result(answer)
        return True

    def _retry_charges(self, service: str, now: float) -> None:
        waiting = self._waiting_charges.pop(service, None)
        if not waiting or service not in self._nodes:
            return
        still_waiting = [
            charge for charge in waiting if not self._try_charge(charge, now)
        ]
        if still_waiting:
            self._waiting_charges[service] = still_waiting
            self._send(self._nodes[service].request_lots(now))

    def _handle_peer_message(self, sender: Sender, message: Any, now: float) -> None:
        node = self._nodes.get(message.service)
        if node is None:
            return
        self._send(node.receive(sender, message, now))
        if isinstance(message, LotGrant):
            self._retry_charges(message.service, now)

    def _tick(self, now: float) -> None:
        for service, node in self._nodes.items():
            is_candidate = self._sender.host in self._owner_candidates.get(service, ())
            intent, messages = node.tick(now, is_candidate)
            self._send(messages)
            if intent is not None:
                self._workers.submit(self._call_platform, service, intent)
            self._retry_charges(service, now)

    def _call_platform(self, service: str, intent) -> None:
        result = run_intent(self._platform, intent)
        self.actor_ref.tell(_PlatformResult(service, intent, result))

    def _send(self, messages) -> None:
        for host, message in messages:
            self._link.send(host, message)

    def _configure(self, message: SetDocuments | SetRegionHosts, now: float) -> None:
        if isinstance(message, SetRegionHosts):
            self._hosts = message.hosts
        else:
            self._apply_documents(message.documents, message.region_count, now)
        self._select_candidates()

    def _apply_documents(self, documents, region_count: int, now: float) -> None:
        for service, doc in documents.items():
            if service not in self._nodes:
                self._nodes[service] = ShareNode(
                    service, self._region, self._sender, self._cfg, self._rng
                )
            limits = region_limits(doc, self._region, region_count)
            self._nodes[service].set_limits(limits, now)
        for service, node in self._nodes.items():
            if service not in documents:
                # The lease and the lots of a removed service expire without a call.
                node.set_limits({}, now)

    def _select_candidates(self) -> None:
        names = [host.name for host in self._hosts]
        others = [host for host in self._hosts if host.name != self._sender.host]
        data_centre = self._sender.data_centre
        local_peers = tuple(
            host.name for host in others if host.data_centre == data_centre
        )
        remote_peers = tuple(
            host.name for host in others if host.data_centre != data_centre
        )
        for service, node in self._nodes.items():
            ranked = rank_hosts(f"rates {service}", names)[:_CANDIDATE_COUNT]
            self._owner_candidates[service] = ranked
            node.shares.set_peers(ranked, local_peers, remote_peers)

    def _describe(self, now: float) -> SharesView:
        shares, leases = [], []
        for service, node in self._nodes.items():
            record = node.owner.lease.record
            owner = record.holder if record is not None else ""
            for name, share in node.shares.workspaces.items():
                share.standing_bucket.advance(now)
                shares.append(
                    ShareStatus(
                        service,
                        name,
                        share.standing_bucket.level,
                        share.lot_tokens(now),
                        share.standing_bucket.lent_tokens,
                        owner,
                    )
                )
            if record is not None:
                leases.append(describe_lease(node.owner.lease, now))
        return SharesView(tuple(shares), tuple(leases))

    def _step_down(self) -> None:
        for node in self._nodes.values():
            node.step_down()

    def _release_shares(self, now: float) -> bool:
        all_returned = True
        for node in self._nodes.values():
            if not node.shares.is_leaving:
                self._send(node.leave(now))
            all_returned = all_returned and node.shares.standing.has_left
        return all_returned


def share_settings(fleet: FleetSettings) -> ShareSettings:
    """Return the settings of rate shares that the fleet settings specify."""
    return ShareSettings(
        standing_share=fleet.standing_share,
        standing_lease_s=fleet.standing_lease_s,
        pool_lease_s=fleet.pool_lease_s,
        lot_lifetime_s=0.8 * fleet.pool_lease_s,
        drift=fleet.drift,
    )


def start_shares(
    sender: Sender,
    region: str,
    cfg: ShareSettings,
    platform: Platform,
    link: PeerLink,
    timers: Timers,
    rng: random.Random | None = None,
) -> tuple[pykka.ActorRef, ShareClient]:
    """Start the actor, subscribe it to messages and ticks, and return its client."""
    actor = SharesActor.start(
        sender, region, cfg, platform, link, timers, rng or random.Random()
    )
    for message_type in (LotAsk, LotGrant, LotReturn, StandingAsk, StandingGrant):
        link.subscribe(
            message_type,
            lambda sender, message: actor.tell(_PeerMessage(sender, message)),
        )
    timers.subscribe("shares", _TICK_S, lambda now: actor.tell(SharesTick()))
    return actor, ShareClient(actor, timers)
