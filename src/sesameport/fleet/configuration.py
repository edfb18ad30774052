"""Replicate service documents, their freshness and the host list between hosts.

Two relays per data centre read the platform and push changes to the other hosts of
their data centre. Every host also compares digests with a random peer (anti-entropy),
which repairs missed pushes. `document_store` decides which versions are accepted and
`freshness` how old the configuration is.
"""

import math
import random
from collections.abc import Sequence

import attrs

from sesameport.domain import Host
from sesameport.fleet.configuration_state import (
    ConfigurationSettings,
    ConfigurationState,
)
from sesameport.fleet.document_store import DocumentCheck
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
from sesameport.fleet.peer_requests import PeerRequest, PeerRequests
from sesameport.fleet.rendezvous import split_delegates
from sesameport.interfaces import HostList, ObjectList, Sender, WatchBatch

__all__ = [
    "Configuration",
    "ConfigurationSettings",
    "DocumentsChanged",
    "ListingChanged",
]


MAX_FRESHNESS_CLAIMS = 4
"""Pending freshness claims kept. A claim of a peer applies only once this host has
received the document versions that the peer listed with it."""


@attrs.frozen
class DocumentsChanged:
    """Report documents that were accepted, deleted or rejected."""

    names: tuple[str, ...]


@attrs.frozen
class _FreshnessClaim:
    versions: tuple[DocumentVersions, ...]
    fresh_at: float


class Configuration:
    """Replicate the configuration on one host.

    Methods take ``now``, the local monotonic time in seconds. Methods that change the
    state return a list of effects for the caller to perform: `Send`, `DocumentsChanged`
    and `ListingChanged`.

    Parameters
    ----------
    own : Host
        This host.
    incarnation : str
        Random identifier of this host process.
    rng : random.Random
        Source of jitter and of peer choices.
    check : callable
        Parses a document given its name and value; returns its content and findings.
    data_centres : sequence of str
        Names of all data centres of the deployment.
    cfg : ConfigurationSettings, optional
        Periods and limits.
    """

    REMOTE_RATIO = 0.125
    """Fraction of the digest comparisons made with another data centre."""

    def __init__(
        self,
        own: Host,
        incarnation: str,
        rng: random.Random,
        check: DocumentCheck,
        data_centres: Sequence[str],
        cfg: ConfigurationSettings | None = None,
    ):
        self.cfg = cfg or ConfigurationSettings()
        self.state = ConfigurationState(own, incarnation, check, data_centres, self.cfg)
        self.store = self.state.store
        self._rng = rng
        self._requests = PeerRequests(rng)
        self._listings = ListingExchange(self.state, self._requests, self.cfg.fan_out)
        self._claims: dict[str, _FreshnessClaim] = {}
        self._next_comparison_at = -math.inf
        self._next_remote_request_at = -math.inf
        self._next_bootstrap_at = -math.inf
        self._last_push_at = -math.inf
        self._highest_read_version = 0

    # -- state ----------------------------------------------------------------

    def freshness_age(self, now: float) -> float:
        """Return the age of the configuration, seconds; infinite if unknown."""
        return self.state.freshness.age(now)

    def platform_evidence(self, now: float) -> dict[str, PlatformEvidence]:
        """Return the evidence on access to the platform by data centre."""
        return self.state.freshness.evidence(now)

    def documents(self) -> dict[str, tuple[object, int]]:
        """Return the accepted documents and their versions, by name."""
        return {
            name: (record.document, record.accepted_version())
            for name, record in self.store.records.items()
            if record.document is not None
        }

    def hosts(self) -> HostList:
        """Return the newest known list of hosts and backend servers."""
        return self.state.listing.hosts

    def is_relay(self) -> bool:
        """Return whether this host is a relay of its data centre."""
        return self.state.own.name in self.state.relays()

    # -- events ---------------------------------------------------------------

    def set_members(
        self, local: Sequence[str], remote: dict[str, list[str]], seeds: Sequence[str]
    ) -> None:
        """Set the seeds and the alive hosts of this and the other data centres."""
        self.state.set_members(local, remote, seeds)

    def handle_object_list(
        self, objects: ObjectList, requested_at: float, now: float
    ) -> list:
        """Apply a complete document list that was requested at ``requested_at``."""
        is_current = self._is_current(objects.version)
        names = self.store.merge_object_list(objects)
        return self._handle_read(names, is_current, requested_at, now)

    def handle_watch_batch(
        self, batch: WatchBatch, requested_at: float, now: float
    ) -> list:
        """Apply the changes after the last version that this host has read."""
        is_current = self._is_current(batch.version)
        names = [obj.name for obj in batch.changes if self.store.merge_object(obj)]
        return self._handle_read(names, is_current, requested_at, now)

    def handle_read_failure(self, requested_at: float) -> None:
        """Record that a platform read sent at ``requested_at`` failed."""
        self.state.freshness.record_reachability(
            self.state.own.data_centre, requested_at, reached=False
        )

    def handle_host_list(
        self, hosts: HostList, requested_at: float, now: float
    ) -> list:
        """Apply a host and server list that was read from the platform."""
        effects: list = []
        self._listings.handle_list(hosts, requested_at, self._children(), now, effects)
        return effects

    def tick(self, now: float) -> list:
        """Do the periodic work and return its effects; call this about every 0.25 s."""
        effects: list = []
        self._bootstrap(now, effects)
        for host in self._requests.pop_due(now, self.store.digest()):
            self._request_digest(host, now, effects)
        if now >= self._next_comparison_at:
            self._compare_with_random_peer(now, effects)
        if not self.is_relay():
            self._sample_relay_clocks(now)
            return effects
        if now >= self._next_remote_request_at:
            self._request_remote_digests(now, effects)
        if now - self._last_push_at >= self.cfg.push_period_s:
            self._push((), now, effects)
        return effects

    def receive(self, sender: Sender, message, now: float) -> list:
        """Handle a message from another host's `Configuration`."""
        effects: list = []
        # A host whose seeds include its own address receives its own messages.
        if sender.host == self.state.own.name:
            return effects
        self.state.incarnations[sender.host] = sender.incarnation
        if isinstance(message, DigestAsk):
            self._send_digest_answer(sender, message, now, effects)
        elif isinstance(message, DigestAnswer):
            self._handle_digest_answer(sender, message, now, effects)
        elif isinstance(message, DocumentAsk):
            self._send_documents(sender.host, message.names, effects)
        elif isinstance(message, DocumentPush):
            self._handle_push(message, now, effects)
        elif isinstance(message, ListingAsk):
            self._listings.send(sender.host, message.number, (), now, effects)
        elif isinstance(message, ListingPush):
            self._listings.handle_push(message, self._children(), now, effects)
        return effects

    # -- platform reads -------------------------------------------------------

    def _is_current(self, version: int) -> bool:
        # A version below the highest known one comes from a lagging replica, so it does
        # not prove that the platform has nothing newer.
        highest = max(self._highest_read_version, self.store.highest_version())
        self._highest_read_version = max(self._highest_read_version, version)
        return version >= highest

    def _handle_read(
        self, names: list[str], is_current: bool, requested_at: float, now: float
    ) -> list:
        effects: list = []
        self.state.freshness.record_reachability(
            self.state.own.data_centre, requested_at, reached=True
        )
        if is_current:
            self.state.freshness.record_freshness(requested_at)
        self._publish_changes(names, now, effects)
        if self.is_relay():
            if not names:
                self._push((), now, effects)
            return effects
        # A host that is not a relay reads only when the relays seem disconnected from
        # the platform. Pushing to the relays lets them request its documents and
        # distribute them, so one connected host is enough for the data centre.
        push = DocumentPush((), self.state.knowledge(now))
        effects.extend(Send(relay, push) for relay in self.state.relays())
        return effects

    def _publish_changes(self, names: Sequence[str], now: float, effects: list) -> None:
        if not names:
            return
        effects.append(DocumentsChanged(tuple(names)))
        for claim in self._claims.values():
            if not self.store.newer_remotely(claim.versions):
                self.state.freshness.record_freshness(claim.fresh_at)
        # Only the first relay pushes documents, which avoids duplicate deliveries. The
        # second relay pushes its digest, from which hosts notice missed documents.
        if self.state.is_first_relay():
            self._push(self.store.stored_objects(names), now, effects)
        elif self.is_relay():
            self._push((), now, effects)

    # -- pushing --------------------------------------------------------------

    def _push(self, documents: tuple, now: float, effects: list) -> None:
        self._last_push_at = now
        children = self._children()
        if not children:
            return
        knowledge = self.state.knowledge(now)
        parts = self._split_by_size(documents) or [()]
        for part in parts:
            for child, delegates in children:
                push = DocumentPush(part, knowledge, delegates)
                effects.append(Send(child, push))

    def _children(self) -> list[tuple[str, tuple[str, ...]]]:
        # The tree is reshuffled for each push. A dead inner host would otherwise cut
        # off the same descendants every time.
        others = self.state.peers()
        self._rng.shuffle(others)
        return split_delegates(others, self.cfg.fan_out)

    def _split_by_size(self, documents: Sequence) -> list[tuple]:
        parts: list[tuple] = []
        size = 0
        for obj in documents:
            size += len(obj.value)
            if not parts or size > self.cfg.push_bytes:
                parts.append(())
                size = len(obj.value)
            parts[-1] = (*parts[-1], obj)
        return parts

    def _handle_push(self, push: DocumentPush, now: float, effects: list) -> None:
        for child, rest in split_delegates(push.delegates, self.cfg.fan_out):
            effects.append(Send(child, attrs.evolve(push, delegates=rest)))
        names = [obj.name for obj in push.documents if self.store.merge_object(obj)]
        self._publish_changes(names, now, effects)
        knowledge = push.knowledge
        if knowledge is None or knowledge.origin == self.state.own.name:
            return
        self.state.incarnations[knowledge.origin] = knowledge.origin_incarnation
        known_at = self.state.to_local_time(knowledge)
        if known_at is None:
            self._requests.schedule(knowledge.origin, now, 0.0, 1.0)
            return
        self.state.merge(knowledge, min(known_at, now))
        if knowledge.digest != self.store.digest():
            self._requests.schedule(knowledge.origin, now, 0.3, 1.0, knowledge.digest)

    # -- digest comparison ----------------------------------------------------

    def _request_digest(self, host: str, now: float, effects: list) -> None:
        number = self._requests.start(host, now)
        effects.append(Send(host, DigestAsk(number, self.store.digest())))

    def _send_digest_answer(
        self, sender: Sender, request: DigestAsk, now: float, effects: list
    ) -> None:
        is_same = request.digest == self.store.digest()
        versions = () if is_same else self.store.versions()
        answer = DigestAnswer(request.number, self.state.knowledge(now), versions)
        effects.append(Send(sender.host, answer))

    def _handle_digest_answer(
        self, sender: Sender, answer: DigestAnswer, now: float, effects: list
    ) -> None:
        request = self._match_request(answer.number, sender.host, now)
        knowledge = answer.knowledge
        if request is None or knowledge.origin_incarnation != sender.incarnation:
            return
        self.state.clocks.record_sample(
            sender.host, sender.incarnation, request.sent_at, knowledge.clock_s
        )
        self.state.merge(knowledge, request.sent_at)
        self._listings.request_if_newer(knowledge, request.sent_at, now, effects)
        if knowledge.digest == self.store.digest() or not answer.versions:
            return
        wanted = self.store.newer_remotely(answer.versions)
        if knowledge.freshness_age_s is not None:
            fresh_at = request.sent_at - knowledge.freshness_age_s
            self._claims.pop(sender.host, None)
            self._claims[sender.host] = _FreshnessClaim(answer.versions, fresh_at)
            while len(self._claims) > MAX_FRESHNESS_CLAIMS:
                del self._claims[next(iter(self._claims))]
            if not wanted:
                self.state.freshness.record_freshness(fresh_at)
        if wanted:
            effects.append(Send(sender.host, DocumentAsk(tuple(wanted))))
        self._send_documents(
            sender.host, self.store.newer_locally(answer.versions), effects
        )

    def _send_documents(self, host: str, names: Sequence[str], effects: list) -> None:
        for part in self._split_by_size(self.store.stored_objects(names)):
            effects.append(Send(host, DocumentPush(part)))

    def _match_request(self, number: int, host: str, now: float) -> PeerRequest | None:
        return self._requests.match_answer(number, host, self.state.seeds, now)

    # -- periodic work --------------------------------------------------------

    def _bootstrap(self, now: float, effects: list) -> None:
        if self.state.freshness.fresh_at > -math.inf or now < self._next_bootstrap_at:
            return
        self._next_bootstrap_at = now + self._rng.uniform(0.5, 1.5)
        peers = self.state.peers()
        for hosts in self.state.remote.values():
            peers.extend(hosts)
        peers = peers or self.state.seeds
        for host in self._rng.sample(peers, min(2, len(peers))):
            self._request_digest(host, now, effects)

    def _compare_with_random_peer(self, now: float, effects: list) -> None:
        wait = self.cfg.compare_period_s * self._rng.uniform(0.75, 1.25)
        self._next_comparison_at = now + wait
        peers = self.state.peers()
        if self.state.remote and (not peers or self._rng.random() < self.REMOTE_RATIO):
            peers = self.state.remote[self._rng.choice(sorted(self.state.remote))]
        if peers:
            self._request_digest(self._rng.choice(peers), now, effects)

    def _sample_relay_clocks(self, now: float) -> None:
        hosts = len(self.state.local)
        wait = max(
            self.cfg.clock_sample_period_s, self.cfg.clock_sample_s_per_host * hosts
        )
        for relay in self.state.relays():
            if self._requests.is_scheduled(relay):
                continue
            incarnation = self.state.incarnations.get(relay, "")
            if now - self.state.clocks.sampled_at(relay, incarnation) >= wait:
                high = 0.25 * wait if incarnation else 1.0
                self._requests.schedule(relay, now, 0.0, high)

    def _request_remote_digests(self, now: float, effects: list) -> None:
        self._next_remote_request_at = now + self.cfg.remote_request_period_s
        centres = sorted(self.state.remote)
        count = min(self.cfg.max_remote_requests, len(centres))
        for centre in self._rng.sample(centres, count):
            hosts = self.state.remote[centre]
            if self._rng.random() < 0.75:
                hosts = self.state.relays_of(centre)
            self._request_digest(self._rng.choice(hosts), now, effects)
