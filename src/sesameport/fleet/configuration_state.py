"""Hold one host's replicated configuration and the peers it replicates with."""

import math
from collections.abc import Sequence

import attrs

from sesameport.domain import Host
from sesameport.fleet.document_store import DocumentCheck, DocumentStore
from sesameport.fleet.freshness import ClockMap, Freshness
from sesameport.fleet.host_listing import HostListing
from sesameport.fleet.peer_messages import Knowledge
from sesameport.fleet.rendezvous import choose_relays

__all__ = ["ConfigurationSettings", "ConfigurationState"]


@attrs.frozen
class ConfigurationSettings:
    """Configure the replication of documents between hosts.

    Attributes
    ----------
    compare_period_s : float
        Mean time between digest comparisons with a random peer, seconds.
    push_period_s : float
        Longest time between two pushes of a relay, seconds.
    remote_request_period_s : float
        Period at which a relay requests digests from other data centres, seconds.
    relays, fan_out : int
        Relays per data centre and children per host in the push tree.
    max_remote_requests : int
        Data centres that a relay contacts per period.
    clock_sample_period_s, clock_sample_s_per_host : float
        Minimum time between clock samples of a relay, absolute and per host of the
        data centre; the larger one applies. The second bounds the rate of requests
        to one relay.
    push_bytes : int
        Documents are split into several messages above this total size.
    drift : float
        Largest relative error of a clock's rate.
    """

    kind: str = "ServiceDocument"
    compare_period_s: float = 4.0
    push_period_s: float = 2.0
    remote_request_period_s: float = 3.0
    relays: int = 2
    fan_out: int = 4
    max_remote_requests: int = 8
    clock_sample_period_s: float = 40.0
    clock_sample_s_per_host: float = 0.8
    push_bytes: int = 500_000
    drift: float = 0.01


class ConfigurationState:
    """Hold documents, freshness, host list and the hosts of each data centre.

    Attributes
    ----------
    local : list of str
        Alive hosts of the own data centre, this one included.
    remote : dict
        Alive hosts of the other data centres by data centre.
    seeds : list of str
        Host names that the peer link uses for the seed addresses.
    """

    def __init__(
        self,
        own: Host,
        incarnation: str,
        check: DocumentCheck,
        data_centres: Sequence[str],
        cfg: ConfigurationSettings,
    ):
        self.own = own
        self.incarnation = incarnation
        self.store = DocumentStore(cfg.kind, check)
        self.freshness = Freshness(tuple(data_centres))
        self.listing = HostListing()
        self.clocks = ClockMap(cfg.drift)
        self.local: list[str] = [own.name]
        self.remote: dict[str, list[str]] = {}
        self.seeds: list[str] = []
        self.incarnations: dict[str, str] = {}
        self._relay_count = cfg.relays
        self._relays_by_centre: dict[str, list[str]] = {}

    def set_members(
        self, local: Sequence[str], remote: dict[str, list[str]], seeds: Sequence[str]
    ) -> None:
        """Replace the alive hosts and the seeds."""
        self.local = sorted({*local, self.own.name})
        self.remote = {name: list(hosts) for name, hosts in remote.items() if hosts}
        self.seeds = list(seeds)
        self._relays_by_centre.clear()
        alive = {*self.local, *(host for hosts in remote.values() for host in hosts)}
        for host in list(self.incarnations):
            if host not in alive:
                del self.incarnations[host]

    def peers(self) -> list[str]:
        """Return the other alive hosts of the own data centre."""
        return [name for name in self.local if name != self.own.name]

    def relays(self) -> list[str]:
        """Return the relays of the own data centre in rank order."""
        return self.relays_of(self.own.data_centre)

    def relays_of(self, data_centre: str) -> list[str]:
        """Return the relays of a data centre in rank order.

        The result is cached until the members change. Hashing all host names on every
        tick would use most of the CPU time of a host in a large data centre.
        """
        relays = self._relays_by_centre.get(data_centre)
        if relays is None:
            is_own = data_centre == self.own.data_centre
            hosts = self.local if is_own else self.remote[data_centre]
            relays = choose_relays(hosts, data_centre, self._relay_count)
            self._relays_by_centre[data_centre] = relays
        return relays

    def is_first_relay(self) -> bool:
        """Return whether this host is the relay that pushes documents."""
        return self.own.name in self.relays()[:1]

    def knowledge(self, now: float) -> Knowledge:
        """Return this host's state as a message part, with ages at ``now``."""
        age_s = self.freshness.age(now)
        has_listing = self.listing.digest != ""
        return Knowledge(
            self.own.name,
            self.incarnation,
            now,
            self.store.digest(),
            age_s if age_s < math.inf else None,
            self.freshness.evidence_ages(now),
            self.listing.digest,
            now - self.listing.requested_at if has_listing else None,
        )

    def to_local_time(self, knowledge: Knowledge) -> float | None:
        """Return a lower bound of the local time of ``knowledge.clock_s``, or None."""
        return self.clocks.to_local_time(
            knowledge.origin, knowledge.origin_incarnation, knowledge.clock_s
        )

    def merge(self, knowledge: Knowledge, known_at: float) -> None:
        """Merge another host's state, which held at the local time ``known_at``."""
        self.freshness.merge(knowledge, known_at)
        if knowledge.listing_age_s is not None:
            self.listing.confirm(
                knowledge.listing_digest, known_at - knowledge.listing_age_s
            )
        if (
            knowledge.freshness_age_s is not None
            and knowledge.digest == self.store.digest()
        ):
            self.freshness.record_freshness(known_at - knowledge.freshness_age_s)
