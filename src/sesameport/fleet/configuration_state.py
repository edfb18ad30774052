"""Hold what one host knows of the configuration and from whom it may learn more."""

import math
from collections.abc import Sequence

import attrs

from sesameport.fleet.document_store import Check, DocumentStore
from sesameport.fleet.freshness import ClockMap, Freshness
from sesameport.fleet.host_listing import HostListing
from sesameport.fleet.peer_messages import Knowledge
from sesameport.fleet.rendezvous import choose_relays
from sesameport.world import Host

__all__ = ["ConfigurationSettings", "ConfigurationState"]


@attrs.frozen
class ConfigurationSettings:
    """Give the constants of spreading.

    Attributes
    ----------
    compare_period_s : float
        Mean time between digest comparisons with a random peer, seconds.
    push_period_s : float
        Longest time between pushes of a relay, seconds.
    remote_ask_period_s : float
        Time between the questions of a relay to every other data centre, seconds.
    relays, fan_out : int
        Relays per data centre and children per host of a push tree.
    max_remote_asks : int
        Data centres that a relay asks per period.
    clock_period_s, clock_s_per_host : float
        A host asks its relays this often to place their clocks; the second, times
        the hosts of the data centre, bounds the questions to one relay.
    push_bytes : int
        Documents above this size together go in separate messages.
    drift : float
        Largest relative error of a clock's rate.
    """

    kind: str = "ServiceDocument"
    compare_period_s: float = 4.0
    push_period_s: float = 2.0
    remote_ask_period_s: float = 2.0
    relays: int = 2
    fan_out: int = 4
    max_remote_asks: int = 8
    clock_period_s: float = 20.0
    clock_s_per_host: float = 0.4
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
        Names by which the peer link knows the seed addresses.
    """

    def __init__(
        self,
        own: Host,
        incarnation: str,
        check: Check,
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
        self._relays = cfg.relays

    def set_members(
        self, local: Sequence[str], remote: dict[str, list[str]], seeds: Sequence[str]
    ) -> None:
        """Set the alive hosts and the seeds."""
        self.local = sorted({*local, self.own.name})
        self.remote = {name: list(hosts) for name, hosts in remote.items() if hosts}
        self.seeds = list(seeds)
        known = {*self.local, *(host for hosts in remote.values() for host in hosts)}
        for host in list(self.incarnations):
            if host not in known:
                del self.incarnations[host]

    def peers(self) -> list[str]:
        """Return the other alive hosts of the own data centre."""
        return [name for name in self.local if name != self.own.name]

    def relays(self) -> list[str]:
        """Return the relays of the own data centre, first rank first."""
        return choose_relays(self.local, self.own.data_centre, self._relays)

    def relays_of(self, data_centre: str) -> list[str]:
        """Return the relays of another data centre."""
        return choose_relays(self.remote[data_centre], data_centre, self._relays)

    def is_first_relay(self) -> bool:
        """Tell whether this host is the relay that pushes documents."""
        return self.own.name in self.relays()[:1]

    def knowledge(self, now: float) -> Knowledge:
        """Describe this host's state with ages at the local time ``now``."""
        age_s = self.freshness.age(now)
        listed = self.listing.digest != ""
        return Knowledge(
            self.own.name,
            self.incarnation,
            now,
            self.store.digest(),
            age_s if age_s < math.inf else None,
            self.freshness.ages(now),
            self.listing.digest,
            now - self.listing.asked_at if listed else None,
        )

    def place(self, known: Knowledge) -> float | None:
        """Return a lower bound of the local time at which ``known`` was true."""
        return self.clocks.place(known.origin, known.origin_incarnation, known.clock_s)

    def merge(self, known: Knowledge, clock_at: float) -> None:
        """Learn from a host's knowledge, placed at a local time."""
        self.freshness.merge(known, clock_at)
        if known.listing_age_s is not None:
            self.listing.confirm(known.listing_digest, clock_at - known.listing_age_s)
        if known.freshness_age_s is not None and known.digest == self.store.digest():
            self.freshness.note_fresh(clock_at - known.freshness_age_s)
