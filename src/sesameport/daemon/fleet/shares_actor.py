"""Own the rate shares of all services and answer charges of request threads."""

import random
from collections.abc import Mapping
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import attrs
import pykka

from sesameport.daemon.request_path.share_gate import (
    Charge,
    Settle,
    ShareGate,
)
from sesameport.daemon.views.lease_view import describe_lease
from sesameport.documents import FleetSettings
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
from sesameport.fleet.shares import Admitted, LotsNeeded, RateRefused
from sesameport.interfaces import PeerLink, Platform, Sender, Timers
from sesameport.telemetry.status import LeaseStatus, ShareStatus
from sesameport.world import Host, ServiceDocument

__all__ = [
    "LeaveShares",
    "MembersKnown",
    "PutDocuments",
    "SharesActor",
    "SharesTick",
    "SharesView",
    "StepDown",
    "share_settings",
    "start_shares",
]

_TICK_S = 0.25
_CANDIDATES = 2
# Platform calls of several services may run at once; each service has one open call.
_PLATFORM_THREADS = 2


@attrs.frozen
class PutDocuments:
    """Put the accepted documents in force."""

    documents: Mapping[str, ServiceDocument]
    regions: int


@attrs.frozen
class MembersKnown:
    """Name the live hosts of this region, this one included."""

    hosts: tuple[Host, ...]


@attrs.frozen
class SharesTick:
    """Do the periodic work."""


@attrs.frozen
class StepDown:
    """Give up every lease at once, because this process was paused."""


@attrs.frozen
class LeaveShares:
    """Give everything back; the answer is True once that is done."""


@attrs.frozen
class DescribeShares:
    """Ask for the shares and leases; the answer is a `SharesView`."""


@attrs.frozen
class SharesView:
    """Hold the shares per workspace and the leases of the pools."""

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
class _PlatformAnswered:
    service: str
    intent: Any
    answer: Any


class SharesActor(pykka.ThreadingActor):
    """Serialise all use of the rate shares.

    Parameters
    ----------
    sender : Sender
        This host process.
    region : str
        Region of this host.
    cfg : ShareSettings
        Settings.
    platform : Platform
        Called on worker threads only.
    link : PeerLink
        Link to the other hosts.
    timers : Timers
        Clock and single calls.
    rng : random.Random
        Source of nonces, jitter and the choice of peers.
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
        self._waiting: dict[str, list[Charge]] = {}
        self._hosts: tuple[Host, ...] = ()
        self._candidates: dict[str, tuple[str, ...]] = {}
        self._workers = ThreadPoolExecutor(_PLATFORM_THREADS, "share-platform")

    def on_stop(self):
        """Stop the worker threads."""
        self._workers.shutdown(wait=False, cancel_futures=True)

    def on_receive(self, message):
        """Handle one message and return its answer."""
        now = self._timers.now()
        match message:
            case Charge():
                self._charge(message, now)
            case Settle():
                self._settle(message, now)
            case _PeerMessage(sender, item):
                self._receive(sender, item, now)
            case _RetryCharges(service):
                self._retry(service, now)
            case SharesTick():
                self._tick(now)
            case _PlatformAnswered(service, intent, answer):
                self._send(self._nodes[service].handle_result(intent, answer, now))
            case PutDocuments() | MembersKnown():
                self._configure(message, now)
            case StepDown():
                self._step_down()
            case LeaveShares():
                return self._leave(now)
            case DescribeShares():
                return self._describe(now)
        return None

    def _charge(self, charge: Charge, now: float) -> None:
        if charge.service not in self._nodes:
            charge.done.set_result(RateRefused(None))
            return
        if self._try(charge, now):
            return
        self._waiting.setdefault(charge.service, []).append(charge)
        self._send(self._nodes[charge.service].request_lots(now))
        # An ask to this host itself is answered at once.
        self._retry(charge.service, now)
        self._timers.call_at(
            "share-charge",
            charge.deadline,
            lambda _: self.actor_ref.tell(_RetryCharges(charge.service)),
        )

    def _settle(self, message: Settle, now: float) -> None:
        node = self._nodes.get(message.service)
        if node is not None:
            node.shares.settle(message.receipt, message.used, now)

    def _try(self, charge: Charge, now: float) -> bool:
        shares = self._nodes[charge.service].shares
        if charge.is_given_up:
            return True
        may_wait = now < charge.deadline
        answer = shares.charge(charge.workspace, charge.tokens, now, may_wait)
        if isinstance(answer, LotsNeeded):
            return False
        if isinstance(answer, Admitted):
            charge.done.set_result(answer.receipt)
            return True
        wait_s = answer.retry_after_s
        if may_wait and wait_s is not None and now + wait_s < charge.deadline:
            # The lenders are short only for now; the next tick tries again.
            return False
        charge.done.set_result(answer)
        return True

    def _retry(self, service: str, now: float) -> None:
        waiting = self._waiting.pop(service, None)
        if not waiting or service not in self._nodes:
            return
        left = [charge for charge in waiting if not self._try(charge, now)]
        if left:
            self._waiting[service] = left
            self._send(self._nodes[service].request_lots(now))

    def _receive(self, sender: Sender, message: Any, now: float) -> None:
        node = self._nodes.get(message.service)
        if node is None:
            return
        self._send(node.receive(sender, message, now))
        if isinstance(message, LotGrant):
            self._retry(message.service, now)

    def _tick(self, now: float) -> None:
        for service, node in self._nodes.items():
            is_candidate = self._sender.host in self._candidates.get(service, ())
            intent, out = node.tick(now, is_candidate)
            self._send(out)
            if intent is not None:
                self._workers.submit(self._call_platform, service, intent)
            self._retry(service, now)

    def _call_platform(self, service: str, intent) -> None:
        answer = run_intent(self._platform, intent)
        self.actor_ref.tell(_PlatformAnswered(service, intent, answer))

    def _send(self, out) -> None:
        for host, message in out:
            self._link.send(host, message)

    def _configure(self, message: PutDocuments | MembersKnown, now: float) -> None:
        if isinstance(message, MembersKnown):
            self._hosts = message.hosts
        else:
            self._put_documents(message.documents, message.regions, now)
        self._choose_candidates()

    def _put_documents(self, documents, regions: int, now: float) -> None:
        for service, doc in documents.items():
            if service not in self._nodes:
                self._nodes[service] = ShareNode(
                    service, self._region, self._sender, self._cfg, self._rng
                )
            limits = region_limits(doc, self._region, regions)
            self._nodes[service].set_limits(limits, now)
        for service, node in self._nodes.items():
            if service not in documents:
                # The lease and lots of a removed service run out by themselves.
                node.set_limits({}, now)

    def _choose_candidates(self) -> None:
        names = [host.name for host in self._hosts]
        others = [host for host in self._hosts if host.name != self._sender.host]
        home = self._sender.data_centre
        near = tuple(host.name for host in others if host.data_centre == home)
        far = tuple(host.name for host in others if host.data_centre != home)
        for service, node in self._nodes.items():
            ranked = rank_hosts(f"rates {service}", names)[:_CANDIDATES]
            self._candidates[service] = ranked
            node.shares.set_peers(ranked, near, far)

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

    def _leave(self, now: float) -> bool:
        has_left = True
        for node in self._nodes.values():
            if not node.shares.is_leaving:
                self._send(node.leave(now))
            has_left = has_left and node.shares.standing.has_left
        return has_left


def share_settings(fleet: FleetSettings) -> ShareSettings:
    """Return the settings of rate shares from the daemon's settings."""
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
) -> tuple[pykka.ActorRef, ShareGate]:
    """Start the actor, subscribe it to messages and ticks, and return its gate."""
    actor = SharesActor.start(
        sender, region, cfg, platform, link, timers, rng or random.Random()
    )
    for message_type in (LotAsk, LotGrant, LotReturn, StandingAsk, StandingGrant):
        link.subscribe(
            message_type,
            lambda sender, message: actor.tell(_PeerMessage(sender, message)),
        )
    timers.subscribe("shares", _TICK_S, lambda now: actor.tell(SharesTick()))
    return actor, ShareGate(actor, timers)
