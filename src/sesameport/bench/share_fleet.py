"""Simulate the rate shares of one service and region on many hosts."""

import random
from collections.abc import Callable
from typing import Any

import attrs

from sesameport.bench.virtual_world import (
    DriftingClock,
    EventQueue,
    SimPlatform,
    SimPlatformClient,
)
from sesameport.fleet.share_limits import RateLimit, ShareSettings
from sesameport.fleet.share_node import ShareNode
from sesameport.fleet.shares import ChargeAdmitted, LotsNeeded, Receipt
from sesameport.interfaces import Sender

__all__ = ["ReferenceBucket", "ShareFleet", "ShareHost", "Withdrawal"]

_TICK_S = 0.25
_OWNER_CANDIDATES = 2
"""Number of hosts that compete for the pool lease."""


@attrs.define
class Withdrawal:
    """Represent tokens withdrawn at one real time; refunds reduce the number."""

    time: float
    workspace: str
    tokens: float


@attrs.define
class ReferenceBucket:
    """Check withdrawals against a single bucket with the whole rate and burst.

    The level stays at or above 0 if and only if at most ``rate * t + burst`` tokens are
    withdrawn in every window of ``t`` seconds.
    """

    rate_per_s: float
    burst: float
    level: float
    time: float = 0.0

    def advance(self, time: float) -> None:
        """Refill the bucket up to a time."""
        earned = self.rate_per_s * (time - self.time)
        self.level = min(self.burst, self.level + earned)
        self.time = time

    def withdraw(self, time: float, tokens: float) -> float:
        """Withdraw tokens and return the new level, which may be negative."""
        self.advance(time)
        self.level -= tokens
        return self.level


class Network:
    """Deliver messages with delays, losses, duplicates and blocked directions."""

    def __init__(self, queue: EventQueue, rng: random.Random, delay_s: float = 0.001):
        self.queue = queue
        self.rng = rng
        self.delay_s = delay_s
        self.hosts: dict[str, ShareHost] = {}
        self.blocked_pairs: set[tuple[str, str]] = set()
        self.loss_probability = 0.0
        self.duplicate_probability = 0.0
        self.late_probability = 0.0
        self.messages = 0
        self.on_send: Callable[[Any], None] = lambda message: None

    def send(self, sender: Sender, target: str, message: Any) -> None:
        """Send a message with random faults from the seeded generator."""
        self.messages += 1
        self.on_send(message)
        copies = 1 + (self.rng.random() < self.duplicate_probability)
        for _ in range(copies):
            if (
                sender.host,
                target,
            ) in self.blocked_pairs or self.rng.random() < self.loss_probability:
                continue
            delay = self.delay_s * self.rng.uniform(0.8, 1.5)
            if self.rng.random() < self.late_probability:
                delay += self.rng.choice((0.1, 1.0, 6.0, 12.0))
            host = self.hosts.get(target)
            if host is not None:
                self.queue.call_at(
                    self.queue.now + delay,
                    lambda host=host: host.receive(sender, message),
                )


class ShareHost:
    """Simulate one host; ``generation`` counts the starts of its process."""

    def __init__(self, fleet: "ShareFleet", name: str, data_centre: str):
        self.fleet = fleet
        self.name = name
        self.data_centre = data_centre
        self.clock = DriftingClock(
            fleet.rng, fleet.cfg.drift if fleet.clocks_drift else 0.0
        )
        self.platform_caller = SimPlatformClient(fleet.queue, fleet.platform, fleet.rng)
        self.limits = dict(fleet.limits)
        self.generation = 0
        self.start()

    def start(self) -> None:
        """Start a new process."""
        self.generation += 1
        self.alive = True
        self.paused_until = 0.0
        self.waiting_charges: list[tuple[float, str, float, Callable]] = []
        sender = Sender(self.name, f"{self.name}.{self.generation}", self.data_centre)
        fleet = self.fleet
        self.node = ShareNode("svc", "region", sender, fleet.cfg, fleet.rng)
        self.node.set_limits(self.limits, self.now)
        self._schedule(self.generation, fleet.rng.uniform(0.0, _TICK_S), self._tick)

    @property
    def now(self) -> float:
        """Return the time of this host's clock, seconds."""
        return self.clock.local(self.fleet.queue.now)

    def set_limits(self, limits: dict[str, RateLimit]) -> None:
        """Apply new limits."""
        self.limits = dict(limits)
        self.node.set_limits(limits, self.now)

    def charge(
        self,
        workspace: str,
        tokens: float,
        wait_s: float = 0.05,
        on_result: Callable[[Receipt | None], None] = lambda receipt: None,
    ) -> None:
        """Charge a request; call ``on_result`` with its receipt, or None if refused."""
        if not self.alive or self.fleet.queue.now < self.paused_until:
            return
        deadline = self.fleet.queue.now + wait_s
        if not self._try_charge(workspace, tokens, True, on_result):
            self.waiting_charges.append((deadline, workspace, tokens, on_result))
            self._send(self.node.request_lots(self.now))
            self._retry_waiting_charges()
            self._schedule(
                self.generation, wait_s, lambda _: self._retry_waiting_charges()
            )

    def settle(self, receipt: Receipt, used: float, entry: Withdrawal) -> None:
        """Settle a request and reduce its withdrawal by the refund."""
        refunded = self.node.shares.settle(receipt, used, self.now)
        entry.tokens -= refunded
        self.fleet.reference[receipt.workspace].level += refunded

    def receive(self, sender: Sender, message: Any) -> None:
        """Handle a message from the network."""
        if not self.alive:
            return
        if self.fleet.queue.now < self.paused_until:
            self._schedule(
                self.generation,
                self.paused_until - self.fleet.queue.now,
                lambda _: self.receive(sender, message),
            )
            return
        self._send(self.node.receive(sender, message, self.now))
        self._retry_waiting_charges()

    def _try_charge(self, workspace, tokens, may_wait, on_result) -> bool:
        share = self.node.shares.workspaces.get(workspace)
        debt = share.debt if share is not None else 0.0
        result = self.node.shares.charge(workspace, tokens, self.now, may_wait)
        if isinstance(result, LotsNeeded):
            return False
        if isinstance(result, ChargeAdmitted):
            self.fleet.record_withdrawal(workspace, tokens, debt, result.receipt)
            on_result(result.receipt)
        else:
            on_result(None)
        return True

    def _retry_waiting_charges(self) -> None:
        waiting_charges, self.waiting_charges = self.waiting_charges, []
        for deadline, workspace, tokens, on_result in waiting_charges:
            may_wait = self.fleet.queue.now < deadline - 1e-9
            if not self._try_charge(workspace, tokens, may_wait, on_result):
                self.waiting_charges.append((deadline, workspace, tokens, on_result))
        if self.waiting_charges:
            self._send(self.node.request_lots(self.now))

    def _tick(self, generation: int) -> None:
        pool = self.fleet.candidates()
        intent, messages = self.node.tick(self.now, self.name in pool)
        local, remote = self.fleet.peers_of(self)
        self.node.shares.set_peers(pool, local, remote)
        self._send(messages)
        if intent is not None:
            self.platform_caller.call(
                intent,
                lambda intent, result: self._schedule(
                    generation, 0.0, lambda _: self._handle_result(intent, result)
                ),
            )
        self._schedule(generation, _TICK_S, self._tick)

    def _handle_result(self, intent, result) -> None:
        self._send(self.node.handle_result(intent, result, self.now))

    def _send(self, messages: list[tuple[str, Any]]) -> None:
        for target, message in messages:
            self.fleet.network.send(self.node.sender, target, message)

    def _schedule(self, generation: int, delay: float, callback) -> None:
        def run():
            if generation != self.generation or not self.alive:
                return
            if self.fleet.queue.now < self.paused_until:
                self.fleet.queue.call_at(self.paused_until, run)
                return
            callback(generation)

        self.fleet.queue.call_at(self.fleet.queue.now + delay, run)


class ShareFleet:
    """Simulate the hosts of one region that share the rates of one service."""

    def __init__(
        self,
        limits: dict[str, RateLimit],
        cfg: ShareSettings,
        hosts: int,
        data_centres: int,
        seed: int,
        clocks_drift: bool = False,
    ):
        self.rng = random.Random(seed)
        self.cfg = cfg
        self.limits = dict(limits)
        self.clocks_drift = clocks_drift
        self.queue = EventQueue()
        self.platform = SimPlatform()
        self.network = Network(self.queue, self.rng)
        self.withdrawals: list[Withdrawal] = []
        self.last_withdrawal: Withdrawal | None = None
        # Reference buckets start empty because the hosts start without tokens. Their
        # levels are upper bounds of the tokens that all hosts hold together.
        self.reference = {
            name: ReferenceBucket(limit.rate_tokens_per_s, limit.burst_tokens, 0.0)
            for name, limit in limits.items()
        }
        self.hosts: list[ShareHost] = []
        for i in range(hosts):
            host = ShareHost(self, f"h{i}", f"dc{i % data_centres}")
            self.hosts.append(host)
            self.network.hosts[host.name] = host

    def candidates(self) -> tuple[str, ...]:
        """Return the hosts that compete for the pool lease: the first running ones."""
        names = [host.name for host in self.hosts if host.alive]
        return tuple(names[:_OWNER_CANDIDATES])

    def peers_of(self, host: ShareHost) -> tuple[tuple[str, ...], tuple[str, ...]]:
        """Return the running peers in the same data centre and those in others."""
        local, remote = [], []
        for peer in self.hosts:
            if not peer.alive or peer is host:
                continue
            group = local if peer.data_centre == host.data_centre else remote
            group.append(peer.name)
        return tuple(local), tuple(remote)

    def record_withdrawal(
        self, workspace: str, tokens: float, debt: float, receipt
    ) -> None:
        """Record the tokens that an admitted request withdrew."""
        self.reference[workspace].withdraw(self.queue.now, tokens + debt)
        if debt > 0.0:
            self.withdrawals.append(Withdrawal(self.queue.now, workspace, debt))
        self.last_withdrawal = Withdrawal(self.queue.now, workspace, tokens)
        self.withdrawals.append(self.last_withdrawal)

    def spendable_tokens(self, workspace: str) -> float:
        """Return the tokens that all hosts together could spend now."""
        total = 0.0
        for host in self.hosts:
            if not host.alive:
                continue
            now = host.now
            if host.node.owner.is_owner(now):
                pool_bucket = host.node.owner.pool_buckets[workspace]
                pool_bucket.advance(now)
                total += pool_bucket.level
            shares = host.node.shares
            share = shares.workspaces[workspace]
            total += sum(lot.tokens for lot in share.lots if lot.expires_at > now)
            if shares.standing.remaining_s(now) > 0.0:
                share.standing_bucket.advance(now)
                total += share.standing_bucket.level
        return total

    def overdraft(self, workspace: str, rate: float, burst: float) -> float:
        """Return the largest number of tokens by which a window exceeded its bound."""
        bucket, lowest_level = ReferenceBucket(rate, burst, burst), 0.0
        for entry in self.withdrawals:
            if entry.workspace == workspace:
                lowest_level = min(
                    lowest_level, bucket.withdraw(entry.time, entry.tokens)
                )
        return -lowest_level
