"""Simulate hosts, each with a router, and fake engines in virtual time."""

import random

import attrs

from sesameport.bench.deployments import Deployment, build_servers
from sesameport.bench.fakes import FakeDecode, FakePlain, FakePrefill, VirtualClock
from sesameport.bench.host import BenchHost, RunStatistics
from sesameport.bench.traffic import Arrival, TokenBuckets, generate_arrivals
from sesameport.domain import PlainRequest, Urgency

__all__ = ["Faults", "RunPlan", "Simulation"]

_SERVER_LIST_DELAY_S = 3.0
"""Delay until routers learn of a lost data centre from the platform."""

_RESTART_DELAY_S = 3.0
"""Time between the crash and the restart of a server."""


@attrs.frozen
class Faults:
    """Configure the faults that are injected into a run.

    ``stalled_transfer_share`` is the share of transfers that never end.
    """

    lose_data_centre: bool = False
    crash_server: bool = False
    stalled_transfer_share: float = 0.0


@attrs.frozen
class RunPlan:
    """Configure the load, seed and phases of a run, seconds of virtual time.

    Only requests that arrive in the window are measured. Arrivals continue during the
    cool-down, so the load stays constant until the measured requests end. The drain is
    longer than the longest deadline, so every hold must be released by its end.

    Without ``retry_results`` a busy answer causes a new prefill immediately. Every
    third host receives ``skew_factor`` times the traffic of the others. Routers are
    configured with ``assumed_host_ratio`` times the true number of hosts.
    """

    load: float = 1.0
    seed: int = 1
    warm_up_s: float = 10.0
    window_s: float = 60.0
    cool_down_s: float = 30.0
    drain_s: float = 130.0
    retry_results: bool = True
    skew_factor: float = 1.0
    assumed_host_ratio: float = 1.0
    faults: Faults = Faults()


class Simulation:
    """Simulate one run of a deployment."""

    def __init__(self, deployment: Deployment, plan: RunPlan, make_router):
        self.deployment = deployment
        self.plan = plan
        self.clock = VirtualClock()
        self.rng = random.Random(plan.seed)
        self.stats = RunStatistics()
        self.servers = build_servers(deployment)
        self.documents = {deployment.model_service: deployment.build_document()}
        self.engines = {}
        for server in self.servers:
            self.engines[server.name] = self._build_engine(server)
        self.lost_data_centres: set[str] = set()
        self.active_transfers: dict[tuple[str, str], int] = {}
        data_centre_count = len(deployment.data_centres)
        hosts = data_centre_count * deployment.hosts_per_data_centre
        self.host_count = max(1, round(hosts * plan.assumed_host_ratio))
        self.hosts = [
            BenchHost(self, data_centre, make_router, seed)
            for seed, data_centre in enumerate(
                dc
                for dc in deployment.data_centres
                for _ in range(deployment.hosts_per_data_centre)
            )
        ]
        self.buckets = TokenBuckets.for_load(deployment, plan.load)
        end = plan.warm_up_s + plan.window_s + plan.cool_down_s
        self.arrivals = generate_arrivals(deployment, plan.load, end, self.rng)
        self.plain_call_count = 0

    def run(self) -> None:
        """Run the simulation to the end of the drain."""
        plan = self.plan
        end = plan.warm_up_s + plan.window_s + plan.cool_down_s
        for host in self.hosts:
            host.start_reading_reports(end + plan.drain_s)
        for arrival in self.arrivals:
            self.clock.schedule_at(
                arrival.req.arrived_at, self._handle_arrival, arrival
            )
        self._schedule_plain_calls(end)
        if plan.faults.lose_data_centre:
            # The loss precedes the window, so capacity is constant within the window.
            self.clock.schedule_at(plan.warm_up_s / 2, self._lose_data_centre)
        if plan.faults.crash_server:
            crash_at = plan.warm_up_s + plan.window_s / 3
            self.clock.schedule_at(crash_at, self._crash, "decode")
            self.clock.schedule_at(
                crash_at + 2 * _RESTART_DELAY_S, self._crash, "prefill"
            )
            self.clock.schedule_at(
                crash_at + 2 * _RESTART_DELAY_S, self._crash, "plain"
            )
        self.clock.run(end + plan.drain_s)

    def get_latency_s(self, source: str, target: str) -> float:
        """Return the one-way latency between data centres, seconds."""
        return 0.0002 if source == target else self.deployment.latency_s

    def start_transfer(self, source: str, target: str, size: int) -> float:
        """Start a transfer on a shared link and return its duration, seconds.

        The rate is the link rate divided by the number of open transfers at the start.
        """
        if self.rng.random() < self.plan.faults.stalled_transfer_share:
            return 1e9
        key = (source, target)
        transfer_count = self.active_transfers.get(key, 0) + 1
        self.active_transfers[key] = transfer_count
        rate = self.deployment.local_bytes_per_s
        if source != target:
            rate = self.deployment.link_bytes_per_s
        duration = size * transfer_count / rate
        self.clock.schedule_after(duration, self._end_transfer, key)
        return duration

    def count_remaining_holds(self) -> int:
        """Return the number of holds at engines and of requests in live routers."""
        held = 0
        for engine in self.engines.values():
            if not isinstance(engine, FakePlain):
                held += engine.count_holds()
        now = self.clock.now
        for host in self.live_hosts():
            held += host.router.open_count(now) + host.router.waiting_count()
        return held

    def live_hosts(self) -> list[BenchHost]:
        """Return the hosts of the data centres that are not lost."""
        return [
            host
            for host in self.hosts
            if host.data_centre not in self.lost_data_centres
        ]

    def _build_engine(self, server):
        if server.role == "prefill":
            return FakePrefill(server.name, self.clock, self.deployment.speed)
        if server.role == "decode":
            return FakeDecode(server.name, self.clock, self.deployment.speed)
        return FakePlain(server.name, self.clock)

    def _handle_arrival(self, arrival: Arrival) -> None:
        host = self._select_host(arrival.host)
        now = self.clock.now
        in_window = 0 <= now - self.plan.warm_up_s < self.plan.window_s
        admitted = self.buckets.admit(arrival.req.workspace, arrival.tokens, now)
        if in_window:
            self.stats.offered_count += 1
        if not admitted:
            return
        record = self.stats.add_record(arrival, in_window)
        delay = self.deployment.client_latency_s
        self.clock.schedule_after(delay, host.accept, arrival, record)

    def _select_host(self, number: int) -> BenchHost:
        hosts = self.live_hosts()
        number %= len(hosts)
        if number % 3 and self.plan.skew_factor > 1.0:
            # Redirects some requests to every third host to reach its factor.
            factor = self.plan.skew_factor
            if self.rng.random() < 1.0 - 3.0 / (factor + 2.0):
                number -= number % 3
        return hosts[number]

    def _schedule_plain_calls(self, until: float) -> None:
        rate = self.deployment.plain_calls_per_s
        now = self.rng.expovariate(rate)
        while now < until:
            self.plain_call_count += 1
            req = PlainRequest(
                f"order-{self.plain_call_count}",
                self.deployment.plain_service,
                "",
                "POST",
                "/orders/",
                (),
                b"",
                False,
                Urgency.URGENT,
                now + 5.0,
            )
            number = self.rng.randrange(len(self.hosts))
            self.clock.schedule_at(now, self._start_plain_call, number, req)
            now += self.rng.expovariate(rate)

    def _start_plain_call(self, number: int, req: PlainRequest) -> None:
        self._select_host(number).call_plain(req)

    def _lose_data_centre(self) -> None:
        lost = self.deployment.data_centres[-1]
        self.lost_data_centres.add(lost)
        for server in self.servers:
            if server.data_centre == lost:
                self._crash_engine(server.name, restart=False)
        for host in self.hosts:
            if host.data_centre == lost:
                host.stop()
        self.clock.schedule_after(_SERVER_LIST_DELAY_S, self._update_server_lists)

    def _update_server_lists(self) -> None:
        self.servers = [
            s for s in self.servers if s.data_centre not in self.lost_data_centres
        ]
        for host in self.live_hosts():
            host.router.set_servers(self.servers, self.documents, self.clock.now)
            host.router.set_host_count(len(self.live_hosts()))

    def _crash(self, role: str) -> None:
        names = [s.name for s in self.servers if s.role == role]
        self._crash_engine(names[0], restart=True)

    def _crash_engine(self, name: str, restart: bool) -> None:
        engine = self.engines[name]
        lost = engine.crash() or []
        for attempt in lost:
            attempt.host.handle_engine_crash(attempt, name)
        if isinstance(engine, FakePlain):
            for host in self.live_hosts():
                host.handle_plain_server_crash(name)
        if restart:
            self.clock.schedule_after(_RESTART_DELAY_S, self._restart, name)

    def _restart(self, name: str) -> None:
        server = next(s for s in self.servers if s.name == name)
        old = self.engines[name]
        self.engines[name] = self._build_engine(server)
        if isinstance(old, FakePlain):
            self.engines[name].runs = old.runs
        self.stats.crashed_prefill_tokens += getattr(old, "computed_tokens", 0.0)

    def _end_transfer(self, key) -> None:
        self.active_transfers[key] -= 1
