"""Spread documents, their freshness and the host list between hosts.

Two relays per data centre read the platform and push to the other hosts of their data
centre. Every host also compares digests with a random peer, which repairs whatever a
push missed. The rules of acceptance are in `document_store`, those of age in
`freshness`.
"""

import math
import random
from collections.abc import Sequence

import attrs

from sesameport.fleet.configuration_state import (
    ConfigurationSettings,
    ConfigurationState,
)
from sesameport.fleet.document_store import Check
from sesameport.fleet.freshness import PlatformEvidence
from sesameport.fleet.listing_exchange import ListingChanged, ListingExchange
from sesameport.fleet.peer_messages import (
    DigestAnswer,
    DigestAsk,
    DocumentAsk,
    DocumentPush,
    DocumentVersions,
    ListingAsk,
    ListingPush,
    Send,
)
from sesameport.fleet.questions import Question, Questions
from sesameport.fleet.rendezvous import split_delegates
from sesameport.interfaces import HostList, ObjectList, Sender, WatchBatch
from sesameport.world import Host

__all__ = [
    "Configuration",
    "ConfigurationSettings",
    "DocumentsChanged",
    "ListingChanged",
]


MAX_CLAIMS = 4
"""Answers kept whose freshness counts once the documents they name have arrived."""


@attrs.frozen
class DocumentsChanged:
    """Report documents that were accepted, deleted or rejected."""

    names: tuple[str, ...]


@attrs.frozen
class _Claim:
    versions: tuple[DocumentVersions, ...]
    fresh_at: float


class Configuration:
    """Keep one host's documents and decide what to tell other hosts.

    Methods take ``now``, the local monotonic time in seconds, and those that act
    return a list of `Send`, `DocumentsChanged` and `ListingChanged`.

    Parameters
    ----------
    own : Host
        This host.
    incarnation : str
        Its incarnation.
    check : callable
        Takes a document's name and value, returns its content and its findings.
    data_centres : sequence of str
        Names of all data centres of the deployment.
    """

    REMOTE_PART = 0.125
    """Part of the comparisons that goes to another data centre."""

    def __init__(
        self,
        own: Host,
        incarnation: str,
        rng: random.Random,
        check: Check,
        data_centres: Sequence[str],
        cfg: ConfigurationSettings | None = None,
    ):
        self.cfg = cfg or ConfigurationSettings()
        self.state = ConfigurationState(own, incarnation, check, data_centres, self.cfg)
        self.store = self.state.store
        self._rng = rng
        self._questions = Questions(rng)
        self._listings = ListingExchange(self.state, self._questions, self.cfg.fan_out)
        self._claims: dict[str, _Claim] = {}
        self._next_compare = -math.inf
        self._next_remote = -math.inf
        self._next_bootstrap = -math.inf
        self._last_push = -math.inf
        self._read_version = 0

    # -- questions ------------------------------------------------------------

    def freshness_age(self, now: float) -> float:
        """Return the age of the configuration, seconds; infinite if never known."""
        return self.state.freshness.age(now)

    def platform_evidence(self, now: float) -> dict[str, PlatformEvidence]:
        """Return what is known of each data centre's way to the platform."""
        return self.state.freshness.evidence(now)

    def documents(self) -> dict[str, tuple[object, int]]:
        """Return the documents in force with their versions, by name."""
        return {
            name: (record.document, record.accepted_version())
            for name, record in self.store.records.items()
            if record.document is not None
        }

    def hosts(self) -> HostList:
        """Return the newest known list of hosts and backend servers."""
        return self.state.listing.hosts

    def is_relay(self) -> bool:
        """Tell whether this host is a relay of its data centre."""
        return self.state.own.name in self.state.relays()

    # -- what the daemon learns -----------------------------------------------

    def set_members(
        self, local: Sequence[str], remote: dict[str, list[str]], seeds: Sequence[str]
    ) -> None:
        """Set the alive hosts of the own and the other data centres, and the seeds."""
        self.state.set_members(local, remote, seeds)

    def take_list(self, objects: ObjectList, asked_at: float, now: float) -> list:
        """Take a complete list from the platform, asked for at ``asked_at``."""
        current = self._is_current(objects.version)
        names = self.store.offer_list(objects)
        return self._after_platform(names, current, asked_at, now)

    def take_watch(self, batch: WatchBatch, asked_at: float, now: float) -> list:
        """Take the changes after the version up to which this host had read."""
        current = self._is_current(batch.version)
        names = [item.name for item in batch.changes if self.store.offer(item)]
        return self._after_platform(names, current, asked_at, now)

    def take_failure(self, asked_at: float) -> None:
        """Take the failure of a call to the platform."""
        self.state.freshness.note_way(
            self.state.own.data_centre, asked_at, reached=False
        )

    def take_hosts(self, hosts: HostList, asked_at: float, now: float) -> list:
        """Take the platform's host and server list."""
        effects: list = []
        self._listings.offer(hosts, asked_at, self._children(), now, effects)
        return effects

    def tick(self, now: float) -> list:
        """Do the periodic work; call it about every quarter of a second."""
        effects: list = []
        self._bootstrap(now, effects)
        for host in self._questions.take_due(now, self.store.digest()):
            self._ask(host, now, effects)
        if now >= self._next_compare:
            self._compare(now, effects)
        if not self.is_relay():
            self._place_clocks(now)
            return effects
        if now >= self._next_remote:
            self._ask_remote(now, effects)
        if now - self._last_push >= self.cfg.push_period_s:
            self._push((), now, effects)
        return effects

    def receive(self, sender: Sender, message, now: float) -> list:
        """Handle a message of another host's configuration."""
        effects: list = []
        # A host whose seeds name its own address hears itself.
        if sender.host == self.state.own.name:
            return effects
        self.state.incarnations[sender.host] = sender.incarnation
        if isinstance(message, DigestAsk):
            self._answer(sender, message, now, effects)
        elif isinstance(message, DigestAnswer):
            self._take_answer(sender, message, now, effects)
        elif isinstance(message, DocumentAsk):
            self._send_documents(sender.host, message.names, effects)
        elif isinstance(message, DocumentPush):
            self._take_push(message, now, effects)
        elif isinstance(message, ListingAsk):
            self._listings.send(sender.host, message.number, (), now, effects)
        elif isinstance(message, ListingPush):
            self._listings.take(message, self._children(), now, effects)
        return effects

    # -- platform -------------------------------------------------------------

    def _is_current(self, version: int) -> bool:
        # A read below a version that is known comes from a lagging replica, so it
        # does not prove that there is nothing newer.
        known = max(self._read_version, self.store.highest_version())
        self._read_version = max(self._read_version, version)
        return version >= known

    def _after_platform(
        self, names: list[str], current: bool, asked_at: float, now: float
    ) -> list:
        effects: list = []
        self.state.freshness.note_way(
            self.state.own.data_centre, asked_at, reached=True
        )
        if current:
            self.state.freshness.note_fresh(asked_at)
        self._changed(names, now, effects)
        if not names and self.is_relay():
            self._push((), now, effects)
        return effects

    def _changed(self, names: Sequence[str], now: float, effects: list) -> None:
        if not names:
            return
        effects.append(DocumentsChanged(tuple(names)))
        for claim in self._claims.values():
            if not self.store.newer_there(claim.versions):
                self.state.freshness.note_fresh(claim.fresh_at)
        # Only the first relay pushes documents, so that hosts receive them once. The
        # digest in the second relay's pushes repairs what the first one missed.
        if self.state.is_first_relay():
            self._push(self.store.copies(names), now, effects)
        elif self.is_relay():
            self._push((), now, effects)

    # -- pushing --------------------------------------------------------------

    def _push(self, documents: tuple, now: float, effects: list) -> None:
        self._last_push = now
        children = self._children()
        if not children:
            return
        knowledge = self.state.knowledge(now)
        parts = self._parts(documents) or [()]
        for part in parts:
            for child, delegates in children:
                push = DocumentPush(part, knowledge, delegates)
                effects.append(Send(child, push))

    def _children(self) -> list[tuple[str, tuple[str, ...]]]:
        # A new order each time keeps one dead host from cutting off the same others.
        others = self.state.peers()
        self._rng.shuffle(others)
        return split_delegates(others, self.cfg.fan_out)

    def _parts(self, documents: Sequence) -> list[tuple]:
        parts: list[tuple] = []
        size = 0
        for item in documents:
            size += len(item.value)
            if not parts or size > self.cfg.push_bytes:
                parts.append(())
                size = len(item.value)
            parts[-1] = (*parts[-1], item)
        return parts

    def _take_push(self, push: DocumentPush, now: float, effects: list) -> None:
        for child, rest in split_delegates(push.delegates, self.cfg.fan_out):
            effects.append(Send(child, attrs.evolve(push, delegates=rest)))
        names = [item.name for item in push.documents if self.store.offer(item)]
        self._changed(names, now, effects)
        known = push.knowledge
        if known is None or known.origin == self.state.own.name:
            return
        self.state.incarnations[known.origin] = known.origin_incarnation
        clock_at = self.state.place(known)
        if clock_at is None:
            self._questions.plan(known.origin, now, 0.0, 1.0)
            return
        self.state.merge(known, min(clock_at, now))
        if known.digest != self.store.digest():
            self._questions.plan(known.origin, now, 0.3, 1.0, known.digest)

    # -- comparing ------------------------------------------------------------

    def _ask(self, host: str, now: float, effects: list) -> None:
        number = self._questions.start(host, now)
        effects.append(Send(host, DigestAsk(number, self.store.digest())))

    def _answer(
        self, sender: Sender, ask: DigestAsk, now: float, effects: list
    ) -> None:
        same = ask.digest == self.store.digest()
        versions = () if same else self.store.versions()
        answer = DigestAnswer(ask.number, self.state.knowledge(now), versions)
        effects.append(Send(sender.host, answer))

    def _take_answer(
        self, sender: Sender, answer: DigestAnswer, now: float, effects: list
    ) -> None:
        asked = self._finish(answer.number, sender.host, now)
        known = answer.knowledge
        if asked is None or known.origin_incarnation != sender.incarnation:
            return
        self.state.clocks.note(sender.host, sender.incarnation, asked.at, known.clock_s)
        self.state.merge(known, asked.at)
        self._listings.compare(known, asked.at, now, effects)
        if known.digest == self.store.digest() or not answer.versions:
            return
        wanted = self.store.newer_there(answer.versions)
        if known.freshness_age_s is not None:
            fresh_at = asked.at - known.freshness_age_s
            self._claims.pop(sender.host, None)
            self._claims[sender.host] = _Claim(answer.versions, fresh_at)
            while len(self._claims) > MAX_CLAIMS:
                del self._claims[next(iter(self._claims))]
            if not wanted:
                self.state.freshness.note_fresh(fresh_at)
        if wanted:
            effects.append(Send(sender.host, DocumentAsk(tuple(wanted))))
        self._send_documents(
            sender.host, self.store.newer_here(answer.versions), effects
        )

    def _send_documents(self, host: str, names: Sequence[str], effects: list) -> None:
        for part in self._parts(self.store.copies(names)):
            effects.append(Send(host, DocumentPush(part)))

    def _finish(self, number: int, host: str, now: float) -> Question | None:
        return self._questions.finish(number, host, self.state.seeds, now)

    # -- periodic work --------------------------------------------------------

    def _bootstrap(self, now: float, effects: list) -> None:
        if self.state.freshness.fresh_at > -math.inf or now < self._next_bootstrap:
            return
        self._next_bootstrap = now + self._rng.uniform(0.5, 1.5)
        peers = self.state.peers()
        for hosts in self.state.remote.values():
            peers.extend(hosts)
        peers = peers or self.state.seeds
        for host in self._rng.sample(peers, min(2, len(peers))):
            self._ask(host, now, effects)

    def _compare(self, now: float, effects: list) -> None:
        wait = self.cfg.compare_period_s * self._rng.uniform(0.75, 1.25)
        self._next_compare = now + wait
        peers = self.state.peers()
        if self.state.remote and (not peers or self._rng.random() < self.REMOTE_PART):
            peers = self.state.remote[self._rng.choice(sorted(self.state.remote))]
        if peers:
            self._ask(self._rng.choice(peers), now, effects)

    def _place_clocks(self, now: float) -> None:
        hosts = len(self.state.local)
        wait = max(self.cfg.clock_period_s, self.cfg.clock_s_per_host * hosts)
        for relay in self.state.relays():
            if self._questions.is_planned(relay):
                continue
            incarnation = self.state.incarnations.get(relay, "")
            if now - self.state.clocks.measured_at(relay, incarnation) >= wait:
                high = 0.25 * wait if incarnation else 1.0
                self._questions.plan(relay, now, 0.0, high)

    def _ask_remote(self, now: float, effects: list) -> None:
        self._next_remote = now + self.cfg.remote_ask_period_s
        centres = sorted(self.state.remote)
        count = min(self.cfg.max_remote_asks, len(centres))
        for centre in self._rng.sample(centres, count):
            hosts = self.state.remote[centre]
            if self._rng.random() < 0.75:
                hosts = self.state.relays_of(centre)
            self._ask(self._rng.choice(hosts), now, effects)
