"""Generate the request arrivals of a run and admit them by token buckets."""

import random

import attrs

from sesameport.bench.capacity import request_rate_at_capacity
from sesameport.bench.deployments import Deployment
from sesameport.domain import CompletionRequest, Urgency

__all__ = ["Arrival", "TokenBuckets", "generate_arrivals"]

_MAX_BURST_S = 10.0
"""Bucket capacity, in seconds at the rate of the workspace."""

_RATE_HEADROOM = 1.5
"""Ratio of the allowed to the expected rate, except for the flooding workspace."""


@attrs.define(eq=False)
class Arrival:
    """Represent one request of the arrival process.

    The output length, the number of shared prefixes and the host are hidden from the
    router.
    """

    req: CompletionRequest
    output_tokens: int
    shared_prefixes: int
    host: int

    @property
    def prompt_tokens(self) -> int:
        """Return the length of the prompt, tokens."""
        return self.req.prompt_tokens

    @property
    def tokens(self) -> int:
        """Return the tokens charged to the bucket: prompt plus expected output."""
        return self.req.prompt_tokens + self.req.expected_output_tokens


def generate_arrivals(
    deployment: Deployment, load: float, until: float, rng: random.Random
) -> list[Arrival]:
    """Return the requests of a run in order of arrival.

    The arrivals of each workspace are a Poisson process. ``load`` is a multiple of
    the request rate at capacity, and ``until`` is the end of the arrivals, seconds.
    """
    rate = request_rate_at_capacity(deployment) * load
    arrivals = []
    hosts = len(deployment.data_centres) * deployment.hosts_per_data_centre
    for name, share in deployment.workspaces.items():
        flood = (
            deployment.flood_factor if name == deployment.flooding_workspace else 1.0
        )
        now = 0.0
        number = 0
        while True:
            now += rng.expovariate(rate * share * flood)
            if now >= until:
                break
            number += 1
            arrivals.append(
                _generate_arrival(deployment, name, number, now, rng, hosts)
            )
    arrivals.sort(key=lambda item: item.req.arrived_at)
    return arrivals


def _generate_arrival(deployment, workspace, number, now, rng, hosts) -> Arrival:
    mixes = deployment.mixes
    mix = rng.choices(mixes, [item.share for item in mixes])[0]
    prompt = rng.randint(*mix.prompt)
    output = rng.randint(*mix.output)
    digests = ()
    if mix.prefixes:
        template = rng.randrange(mix.prefixes)
        unique_digests = tuple(
            f"{workspace}/{number}/{i}" for i in range(prompt // 1_024 - 1)
        )
        digests = (f"{workspace}/template-{template}", *unique_digests)
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
class TokenBuckets:
    """Limit the admitted token rate of each workspace.

    A request is admitted while the level is positive, so one request may take the
    level below zero. The rate of the flooding workspace equals its share of the load
    without headroom.
    """

    rates: dict[str, float]
    _bucket_states: dict[str, tuple[float, float]] = attrs.field(factory=dict)

    @classmethod
    def for_load(cls, deployment: Deployment, load: float) -> "TokenBuckets":
        """Return buckets whose rates match a load, a multiple of the capacity."""
        mean = sum(
            mix.share * (sum(mix.prompt) / 2 + sum(mix.output) / 2)
            for mix in deployment.mixes
        )
        rate = request_rate_at_capacity(deployment) * load * mean
        rates = {}
        for name, share in deployment.workspaces.items():
            headroom = 1.0 if name == deployment.flooding_workspace else _RATE_HEADROOM
            rates[name] = rate * share * headroom
        return cls(rates)

    def admit(self, workspace: str, tokens: int, now: float) -> bool:
        """Charge the tokens and return whether the request is admitted."""
        rate = self.rates[workspace]
        at, level = self._bucket_states.get(workspace, (now, rate * _MAX_BURST_S))
        level = min(rate * _MAX_BURST_S, level + (now - at) * rate)
        admitted = level > 0
        self._bucket_states[workspace] = (
            now,
            level - tokens if admitted else level,
        )
        return admitted
