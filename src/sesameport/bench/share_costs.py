"""Measure wrongful refusals and costs of rate shares in virtual time.

Run ``python -m sesameport.bench.share_costs [--seed N] [--seconds S]``. The requests of
each of five workspaces go mostly to one host, which changes every few seconds. A
refusal is wrongful if a single bucket with the whole rate and burst, which receives the
requests of all hosts without delay, admits the request.
"""

import argparse
import random
import time
import tracemalloc

import attrs
import msgspec

from sesameport.bench.share_fleet import ReferenceBucket, ShareFleet
from sesameport.fleet.share_limits import RateLimit, ShareSettings
from sesameport.fleet.share_messages import (
    GrantedLot,
    LotAsk,
    LotGrant,
    LotReturn,
    LotWant,
    ReturnedLot,
    StandingGrant,
)
from sesameport.fleet.shares import ChargeAdmitted, HostShares
from sesameport.fleet.standing_records import MILLION
from sesameport.interfaces import Sender

__all__ = ["Demand", "EqualSplit", "ShareCount", "count_refusals", "main"]

_HOSTS = 9
_DATA_CENTRES = 3
_WARM_UP_S = 90.0
"""Time before counting starts, in which pools get owners and buckets fill."""
_HOT_HOST_S = 5.0
"""Time after which another host receives most requests of a workspace."""
_HOT_HOST_FRACTION = 0.8
"""Fraction of requests that go to that host; the others go to a random host."""
_PARTITION_S = 60.0
"""Duration of a network partition."""
_LIMIT = RateLimit(6_000.0, 60_000.0)
_WORKSPACES = tuple(f"w{i}" for i in range(5))
_MEAN_TOKENS = 3_000.0
_LARGEST_TOKENS = 20_000.0


@attrs.define
class ShareCount:
    """Count requests, wrongful refusals, messages and tokens above the bound."""

    requests: int = 0
    ideal_admitted: int = 0
    refused: int = 0
    wrongful: int = 0
    partition_requests: int = 0
    partition_wrongful: int = 0
    overdraft: float = 0.0
    messages: int = 0
    message_bytes: int = 0
    platform_calls: int = 0

    def wrongful_fraction(self) -> float:
        """Return wrongful refusals as a fraction of the requests within the rate."""
        return self.wrongful / max(1, self.ideal_admitted)


class Demand:
    """Generate random requests of one workspace, mostly for one host at a time."""

    def __init__(self, rng: random.Random, load: float, hosts: int):
        self._rng = rng
        self._hosts = hosts
        self._mean_gap_s = _MEAN_TOKENS / (load * _LIMIT.rate_tokens_per_s)
        self._hot_host = rng.randrange(hosts)
        self._hot_until = 0.0

    def next(self, now: float) -> tuple[float, int, float]:
        """Return the seconds until the next request, its host index and its tokens."""
        if now >= self._hot_until:
            self._hot_host = self._rng.randrange(self._hosts)
            self._hot_until = now + _HOT_HOST_S
        is_on_hot_host = self._rng.random() < _HOT_HOST_FRACTION
        host = self._hot_host if is_on_hot_host else self._rng.randrange(self._hosts)
        sigma = 0.8
        median = _MEAN_TOKENS * 2.718281828 ** (-sigma * sigma / 2)
        tokens = median * 2.718281828 ** (sigma * self._rng.gauss(0.0, 1.0))
        gap_s = self._rng.expovariate(1.0 / self._mean_gap_s)
        return gap_s, host, min(_LARGEST_TOKENS, max(50.0, tokens))


class EqualSplit:
    """Divide rate and burst equally among the hosts, as a baseline."""

    def __init__(self, hosts: int):
        self._buckets = [
            {
                name: ReferenceBucket(
                    _LIMIT.rate_tokens_per_s / hosts,
                    _LIMIT.burst_tokens / hosts,
                    _LIMIT.burst_tokens / hosts,
                )
                for name in _WORKSPACES
            }
            for _ in range(hosts)
        ]

    def admits(self, host: int, workspace: str, tokens: float, now: float) -> bool:
        """Charge a request to its host's bucket and return whether it is admitted."""
        bucket = self._buckets[host][workspace]
        bucket.advance(now)
        if bucket.level < tokens:
            return False
        bucket.level -= tokens
        return True


@attrs.define
class _Run:
    """Represent one simulated run and its counts."""

    fleet: ShareFleet
    count: ShareCount
    end: float
    baseline: EqualSplit | None = None
    ideal: dict[str, ReferenceBucket] = attrs.field(factory=dict)
    partition_window: tuple[float, float] = (0.0, 0.0)

    def start(self, load: float) -> None:
        for i, name in enumerate(_WORKSPACES):
            self.ideal[name] = ReferenceBucket(
                _LIMIT.rate_tokens_per_s, _LIMIT.burst_tokens, _LIMIT.burst_tokens
            )
            rng = random.Random(f"{load} {i}")
            self._arrive(name, Demand(rng, load, len(self.fleet.hosts)))

    def _arrive(self, workspace: str, demand: Demand) -> None:
        queue = self.fleet.queue
        gap_s, index, tokens = demand.next(queue.now)
        if queue.now + gap_s > self.end:
            return

        def run():
            if queue.now >= _WARM_UP_S:
                self._request(index, workspace, tokens)
            self._arrive(workspace, demand)

        queue.call_at(queue.now + gap_s, run)

    def _request(self, index: int, workspace: str, tokens: float) -> None:
        now = self.fleet.queue.now
        ideal = self.ideal[workspace]
        ideal.advance(now)
        is_within_rate = ideal.level >= tokens
        if is_within_rate:
            ideal.level -= tokens
        is_partitioned = self.partition_window[0] <= now < self.partition_window[1]
        self.count.requests += 1
        self.count.ideal_admitted += is_within_rate
        self.count.partition_requests += is_partitioned and is_within_rate

        def record_result(receipt):
            if receipt is not None and receipt is not False:
                return
            self.count.refused += 1
            self.count.wrongful += is_within_rate
            self.count.partition_wrongful += is_partitioned and is_within_rate

        if self.baseline is not None:
            record_result(self.baseline.admits(index, workspace, tokens, now))
            return
        self.fleet.hosts[index].charge(workspace, tokens, 0.1, record_result)


def _isolate_data_centre(fleet: ShareFleet, data_centre: str) -> None:
    inside = [host for host in fleet.hosts if host.data_centre == data_centre]
    for host in inside:
        host.platform_caller.reachable = False
        for other in fleet.hosts:
            if other.data_centre != data_centre:
                fleet.network.blocked_pairs |= {
                    (host.name, other.name),
                    (other.name, host.name),
                }


def _end_partition(fleet: ShareFleet) -> None:
    fleet.network.blocked_pairs.clear()
    for host in fleet.hosts:
        host.platform_caller.reachable = True


def count_refusals(
    cfg: ShareSettings,
    load: float,
    seed: int,
    seconds: float,
    has_partition: bool = False,
    baseline: bool = False,
    hosts: int = _HOSTS,
) -> ShareCount:
    """Simulate demand that moves between hosts and return the counts.

    ``load`` is the demand of every workspace as a fraction of its rate.
    """
    limits = dict.fromkeys(_WORKSPACES, _LIMIT)
    fleet = ShareFleet(limits, cfg, hosts, _DATA_CENTRES, seed, clocks_drift=True)
    count = ShareCount()
    run = _Run(fleet, count, _WARM_UP_S + seconds)
    if baseline:
        run.baseline = EqualSplit(hosts)

    def measure(message):
        count.messages += 1
        count.message_bytes += len(msgspec.msgpack.encode(message))

    run.start(load)
    if has_partition:
        begin = _WARM_UP_S + seconds / 3.0
        run.partition_window = (begin, begin + _PARTITION_S)
        # The pool owner is one of the first hosts, and dc0 has the first candidate.
        fleet.queue.call_at(begin, lambda: _isolate_data_centre(fleet, "dc0"))
        fleet.queue.call_at(begin + _PARTITION_S, lambda: _end_partition(fleet))
    fleet.queue.run_until(_WARM_UP_S)
    calls = fleet.platform.calls
    fleet.network.on_send = measure
    fleet.queue.run_until(run.end + 1.0)
    count.platform_calls = fleet.platform.calls - calls
    count.overdraft = max(
        fleet.overdraft(name, _LIMIT.rate_tokens_per_s, _LIMIT.burst_tokens)
        for name in _WORKSPACES
    )
    return count


def _print_refusals(seed: int, seconds: float) -> None:
    print("wrongful refusals, part of the requests within the rate (target 0.005)")
    print("| share | drift | load | whole | DC cut: 60 s of cut | over, tokens |")
    print("|---|---|---|---|---|---|")
    rows = [("equal split", ShareSettings(drift=0.001), True)]
    for share in (0.1, 0.25, 0.5):
        cfg = ShareSettings(standing_share=share, drift=0.001)
        rows.append((f"{share:g}", cfg, False))
    rows.append(("0.25", ShareSettings(drift=0.01), False))
    for label, cfg, baseline in rows:
        for load in (0.7, 0.9, 1.0, 1.3):
            connected = count_refusals(cfg, load, seed, seconds, baseline=baseline)
            partitioned = count_refusals(cfg, load, seed, seconds, True, baseline)
            wrongful = partitioned.partition_wrongful / max(
                1, partitioned.partition_requests
            )
            overdraft = max(connected.overdraft, partitioned.overdraft)
            print(
                f"| {label} | {cfg.drift:g} | {load:g} "
                f"| {connected.wrongful_fraction():.4f} "
                f"| {wrongful:.4f} | {overdraft:.3g} |"
            )


def _print_calls(seed: int, seconds: float) -> None:
    print("\nplatform calls and messages of one service and region, load 1.0")
    print("| hosts | platform calls/s | messages/s per host | bytes/s per host |")
    print("|---|---|---|---|")
    calls = {}
    for hosts in (9, 18, 36, 72):
        cfg = ShareSettings(drift=0.001)
        count = count_refusals(cfg, 1.0, seed, seconds / 4, hosts=hosts)
        elapsed = seconds / 4
        calls[hosts] = count.platform_calls / elapsed
        print(
            f"| {hosts} | {calls[hosts]:.2f} "
            f"| {count.messages / elapsed / hosts:.1f} "
            f"| {count.message_bytes / elapsed / hosts:.0f} |"
        )
    slope = (calls[72] - calls[9]) / (72 - 9)
    print(f"slope: {slope:.4f} platform calls/s per host")


def _create_standing_shares(workspaces: int) -> HostShares:
    cfg = ShareSettings(drift=0.001)
    shares = HostShares("svc", "h", "h1", cfg, random.Random(1))
    limit = RateLimit(1e9, 1e12)
    shares.set_limits({f"w{i}": limit for i in range(workspaces)}, 0.0)
    shares.set_peers(("h",), ())
    ask = shares.tick(0.0)[-1][1]
    grant = StandingGrant("svc", ask.ask_id, "h1", 1, 1, MILLION, 7200.0)
    shares.handle_standing_grant(Sender("h", "h1", "a"), grant, 0.0)
    return shares


def _print_costs() -> None:
    shares, charges = _create_standing_shares(1000), 100_000
    start = time.process_time()
    for i in range(charges):
        result = shares.charge(f"w{i % 1000}", 10.0, 100.0 + i * 1e-5, False)
        if isinstance(result, ChargeAdmitted):
            shares.settle(result.receipt, 9.0, 100.0 + i * 1e-5)
    cost_us = (time.process_time() - start) / charges * 1e6
    print(f"\nCPU per charge and settlement: {cost_us:.1f} us (standing bucket)")
    start = time.process_time()
    for i in range(400):
        shares.tick(200.0 + i / 4)
    core_fraction = (time.process_time() - start) / 100.0
    print(f"CPU of ticks, 1000 idle workspaces: {core_fraction * 100:.3f}% of a core")
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    measured = _create_standing_shares(1000)
    size = (tracemalloc.get_traced_memory()[0] - before) / len(measured.workspaces)
    tracemalloc.stop()
    print(f"state per workspace and host: {size:.0f} bytes when idle")
    for lots in (1, 10):
        names = [f"workspace-{i}" for i in range(lots)]
        wants = tuple(LotWant(name, 3000.0, 500.0) for name in names)
        granted = tuple(GrantedLot(n, 12345, 3500.0, 7.5) for n in names)
        returned = tuple(ReturnedLot(name, 12345, 10.0) for name in names)
        messages = (
            LotAsk("assessor-llm", 4711, wants),
            LotGrant("assessor-llm", 4711, "0123456789abcdef", granted),
            LotReturn("assessor-llm", "0123456789abcdef", returned),
        )
        total = sum(len(msgspec.msgpack.encode(item)) for item in messages)
        print(
            f"bytes per lot, ask + grant + return, {lots} at once: {total / lots:.0f}"
        )


def main() -> None:
    """Print all figures."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=600.0)
    args = parser.parse_args()
    _print_refusals(args.seed, args.seconds)
    _print_calls(args.seed, args.seconds)
    _print_costs()


if __name__ == "__main__":
    main()
