"""Draw the traffic of a run from a seed, and admit it by plain token buckets."""

import random

import attrs

from sesameport.bench.capacity import request_rate_at_capacity
from sesameport.bench.deployments import Deployment
from sesameport.world import CompletionRequest, Urgency

__all__ = ["Arrival", "Buckets", "draw_arrivals"]

_BURST_S = 10.0
# Workspaces other than the flooding one have this much more rate than they use.
_RATE_SLACK = 1.5


@attrs.define(eq=False)
class Arrival:
    """Hold one request of the bench with what only the bench knows of it."""

    req: CompletionRequest
    output_tokens: int
    shared_prefixes: int
    host: int

    @property
    def prompt_tokens(self) -> int:
        """Return the prompt's length, tokens."""
        return self.req.prompt_tokens

    @property
    def tokens(self) -> int:
        """Return the tokens that the request is charged."""
        return self.req.prompt_tokens + self.req.expected_output_tokens


def draw_arrivals(
    deployment: Deployment, load: float, until: float, rng: random.Random
) -> list[Arrival]:
    """Return the requests of a run in order of arrival (Poisson)."""
    rate = request_rate_at_capacity(deployment) * load
    arrivals = []
    hosts = len(deployment.data_centres) * deployment.hosts_per_data_centre
    for name, share in deployment.workspaces.items():
        flood = deployment.flood_factor if name == deployment.flooding else 1.0
        now = 0.0
        number = 0
        while True:
            now += rng.expovariate(rate * share * flood)
            if now >= until:
                break
            number += 1
            arrivals.append(_draw(deployment, name, number, now, rng, hosts))
    arrivals.sort(key=lambda item: item.req.arrived_at)
    return arrivals


def _draw(deployment, workspace, number, now, rng, hosts) -> Arrival:
    mixes = deployment.mixes
    mix = rng.choices(mixes, [item.share for item in mixes])[0]
    prompt = rng.randint(*mix.prompt)
    output = rng.randint(*mix.output)
    digests = ()
    if mix.prefixes:
        template = rng.randrange(mix.prefixes)
        own = tuple(f"{workspace}/{number}/{i}" for i in range(prompt // 1_024 - 1))
        digests = (f"{workspace}/template-{template}", *own)
    deadline = deployment.patient_deadline_s
    if mix.urgent:
        deadline = deployment.urgent_deadline_s
    req = CompletionRequest(
        request_id=f"{workspace}-{number}",
        service=deployment.model_service,
        workspace=workspace,
        model="default",
        adapter="",
        prompt="",
        prompt_tokens=prompt,
        max_output_tokens=mix.output[1],
        expected_output_tokens=sum(mix.output) // 2,
        urgency=Urgency.URGENT if mix.urgent else Urgency.PATIENT,
        deadline=now + deadline,
        digest="",
        prefix_digests=digests,
        arrived_at=now,
        kv_bytes=prompt * deployment.kv_bytes_per_token,
    )
    return Arrival(req, output, 1 if digests else 0, rng.randrange(hosts))


@attrs.define
class Buckets:
    """Admit requests at each workspace's rate. A bucket may go into debt once.

    The flooding workspace has exactly the rate that its share of the load needs.
    """

    rates: dict[str, float]
    _levels: dict[str, tuple[float, float]] = attrs.field(factory=dict)

    @classmethod
    def for_load(cls, deployment: Deployment, load: float) -> "Buckets":
        """Return buckets whose rates fit the offered load."""
        mean = sum(
            mix.share * (sum(mix.prompt) / 2 + sum(mix.output) / 2)
            for mix in deployment.mixes
        )
        rate = request_rate_at_capacity(deployment) * load * mean
        rates = {}
        for name, share in deployment.workspaces.items():
            slack = 1.0 if name == deployment.flooding else _RATE_SLACK
            rates[name] = rate * share * slack
        return cls(rates)

    def admit(self, workspace: str, tokens: int, now: float) -> bool:
        """Charge a request; False when the rate is used up."""
        rate = self.rates[workspace]
        at, level = self._levels.get(workspace, (now, rate * _BURST_S))
        level = min(rate * _BURST_S, level + (now - at) * rate)
        admitted = level > 0
        self._levels[workspace] = (now, level - tokens if admitted else level)
        return admitted
