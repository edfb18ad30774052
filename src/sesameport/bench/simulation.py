"""Run hosts with a router each against fake engines in virtual time."""

import random

import attrs

from sesameport.bench.deployments import Deployment, build_servers
from sesameport.bench.fakes import Clock, FakeDecode, FakePlain, FakePrefill
from sesameport.bench.host import BenchHost, Tally
from sesameport.bench.traffic import Arrival, Buckets, draw_arrivals
from sesameport.world import PlainRequest, Urgency

__all__ = ["Faults", "RunPlan", "Simulation"]

# The platform's list of servers and hosts lags by this much, seconds.
_LIST_LAG_S = 3.0
_RESTART_S = 3.0


@attrs.frozen
class Faults:
    """Name the optional faults of a run; times count from the window's start."""

    lost_data_centre: bool = False
    crash_server: bool = False
    stall_transfers: float = 0.0


@attrs.frozen
class RunPlan:
    """Give load, seed and duration of a run, seconds of virtual time.

    Requests that arrive in the window are measured. Traffic goes on during the
    cool-down, so that the window's requests meet the same load until their end. The
    drain is longer than the longest deadline, so that nothing may be held after it.
    Without ``retry_results`` a busy answer leads to a new prefill at once. Every third
    host gets ``uneven`` times the traffic of the others. ``assumed_hosts`` is the count
    of hosts that routers assume, as a multiple of the true one.
    """

    load: float = 1.0
    seed: int = 1
    warm_up_s: float = 10.0
    window_s: float = 60.0
    cool_down_s: float = 30.0
    drain_s: float = 130.0
    retry_results: bool = True
    uneven: float = 1.0
    assumed_hosts: float = 1.0
    faults: Faults = Faults()


class Simulation:
    """Hold the state of one run."""

    def __init__(self, deployment: Deployment, plan: RunPlan, make_router):
        self.deployment = deployment
        self.plan = plan
        self.clock = Clock()
        self.rng = random.Random(plan.seed)
        self.tally = Tally()
        self.servers = build_servers(deployment)
        self.documents = {deployment.model_service: deployment.document()}
        self.engines = {}
        for server in self.servers:
            self.engines[server.name] = self._engine(server)
        self.lost: set[str] = set()
        self.links: dict[tuple[str, str], int] = {}
        places = len(deployment.data_centres)
        hosts = places * deployment.hosts_per_data_centre
        self.host_count = max(1, round(hosts * plan.assumed_hosts))
        self.hosts = [
            BenchHost(self, data_centre, make_router, seed)
            for seed, data_centre in enumerate(
                dc
                for dc in deployment.data_centres
                for _ in range(deployment.hosts_per_data_centre)
            )
        ]
        self.buckets = Buckets.for_load(deployment, plan.load)
        end = plan.warm_up_s + plan.window_s + plan.cool_down_s
        self.arrivals = draw_arrivals(deployment, plan.load, end, self.rng)
        self.plain_ids = 0

    def run(self) -> None:
        """Run to the end of the drain."""
        plan = self.plan
        end = plan.warm_up_s + plan.window_s + plan.cool_down_s
        for host in self.hosts:
            host.begin(end + plan.drain_s)
        for arrival in self.arrivals:
            self.clock.at(arrival.req.arrived_at, self._arrive, arrival)
        self._plain_traffic(end)
        if plan.faults.lost_data_centre:
            # The data centre is lost before the window, which then has one capacity.
            self.clock.at(plan.warm_up_s / 2, self._lose_data_centre)
        if plan.faults.crash_server:
            at = plan.warm_up_s + plan.window_s / 3
            self.clock.at(at, self._crash, "decode")
            self.clock.at(at + 2 * _RESTART_S, self._crash, "prefill")
            self.clock.at(at + 2 * _RESTART_S, self._crash, "plain")
        self.clock.run(end + plan.drain_s)

    def latency(self, source: str, target: str) -> float:
        """Return the one-way latency between data centres, seconds."""
        return 0.0002 if source == target else self.deployment.latency_s

    def transfer_s(self, source: str, target: str, size: int) -> float:
        """Take a share of a link and return the duration of a transfer."""
        if self.rng.random() < self.plan.faults.stall_transfers:
            return 1e9
        key = (source, target)
        sharing = self.links.get(key, 0) + 1
        self.links[key] = sharing
        rate = self.deployment.local_bytes_per_s
        if source != target:
            rate = self.deployment.link_bytes_per_s
        duration = size * sharing / rate
        self.clock.after(duration, self._transfer_done, key)
        return duration

    def holds_left(self) -> int:
        """Return what engines and routers still hold."""
        held = 0
        for engine in self.engines.values():
            if not isinstance(engine, FakePlain):
                held += engine.held()
        now = self.clock.now
        for host in self.live_hosts():
            held += host.router.open_count(now) + host.router.waiting_count()
        return held

    def live_hosts(self) -> list[BenchHost]:
        """Return the hosts outside a lost data centre."""
        return [host for host in self.hosts if host.data_centre not in self.lost]

    def _engine(self, server):
        if server.role == "prefill":
            return FakePrefill(server.name, self.clock, self.deployment.speed)
        if server.role == "decode":
            return FakeDecode(server.name, self.clock, self.deployment.speed)
        return FakePlain(server.name, self.clock)

    def _arrive(self, arrival: Arrival) -> None:
        host = self._host(arrival.host)
        now = self.clock.now
        in_window = 0 <= now - self.plan.warm_up_s < self.plan.window_s
        admitted = self.buckets.admit(arrival.req.workspace, arrival.tokens, now)
        if in_window:
            self.tally.offered += 1
        if not admitted:
            return
        record = self.tally.admit(arrival, in_window)
        delay = self.deployment.client_latency_s
        self.clock.after(delay, host.accept, arrival, record)

    def _host(self, number: int) -> BenchHost:
        hosts = self.live_hosts()
        number %= len(hosts)
        if number % 3 and self.plan.uneven > 1.0:
            # Moves requests so that every third host gets its multiple.
            factor = self.plan.uneven
            if self.rng.random() < 1.0 - 3.0 / (factor + 2.0):
                number -= number % 3
        return hosts[number]

    def _plain_traffic(self, until: float) -> None:
        rate = self.deployment.plain_calls_per_s
        now = self.rng.expovariate(rate)
        while now < until:
            self.plain_ids += 1
            req = PlainRequest(
                f"order-{self.plain_ids}",
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
            self.clock.at(now, self._plain_call, number, req)
            now += self.rng.expovariate(rate)

    def _plain_call(self, number: int, req: PlainRequest) -> None:
        self._host(number).call_plain(req)

    def _lose_data_centre(self) -> None:
        lost = self.deployment.data_centres[-1]
        self.lost.add(lost)
        for server in self.servers:
            if server.data_centre == lost:
                self._crash_engine(server.name, restart=False)
        for host in self.hosts:
            if host.data_centre == lost:
                host.stop()
        self.clock.after(_LIST_LAG_S, self._update_lists)

    def _update_lists(self) -> None:
        self.servers = [s for s in self.servers if s.data_centre not in self.lost]
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
            attempt.host.engine_crashed(attempt, name)
        if isinstance(engine, FakePlain):
            for host in self.live_hosts():
                host.plain_crashed(name)
        if restart:
            self.clock.after(_RESTART_S, self._restart, name)

    def _restart(self, name: str) -> None:
        server = next(s for s in self.servers if s.name == name)
        old = self.engines[name]
        self.engines[name] = self._engine(server)
        if isinstance(old, FakePlain):
            self.engines[name].runs = old.runs
        self.tally.computed_before_crash += getattr(old, "computed_tokens", 0.0)

    def _transfer_done(self, key) -> None:
        self.links[key] -= 1
