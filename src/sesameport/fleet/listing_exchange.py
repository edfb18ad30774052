"""Replicate the platform's host and server list between hosts."""

import attrs

from sesameport.fleet.configuration_state import ConfigurationState
from sesameport.fleet.peer_messages import Knowledge, ListingAsk, ListingPush, Send
from sesameport.fleet.peer_requests import PeerRequests
from sesameport.fleet.rendezvous import split_delegates
from sesameport.interfaces import HostList

__all__ = ["ListingChanged", "ListingExchange"]


@attrs.frozen
class ListingChanged:
    """Report a new host and server list."""


class ListingExchange:
    """Push a new list down the tree and request lists that are newer on other hosts."""

    def __init__(self, state: ConfigurationState, requests: PeerRequests, fan_out: int):
        self._state = state
        self._requests = requests
        self._fan_out = fan_out

    def handle_list(
        self, hosts: HostList, requested_at: float, children, now: float, effects: list
    ) -> None:
        """Apply a list read from the platform; push it if this is the first relay."""
        if self._state.listing.merge(hosts, requested_at):
            effects.append(ListingChanged())
            self._push(children, now, effects)

    def request_if_newer(
        self, knowledge: Knowledge, known_at: float, now: float, effects: list
    ) -> None:
        """Request a host's list if it is newer than the local one."""
        if knowledge.listing_age_s is None:
            return
        requested_at = known_at - knowledge.listing_age_s
        if self._state.listing.is_older_than(knowledge.listing_digest, requested_at):
            number = self._requests.start(knowledge.origin, now)
            effects.append(Send(knowledge.origin, ListingAsk(number)))

    def send(
        self,
        host: str,
        number: int,
        delegates: tuple[str, ...],
        now: float,
        effects: list,
    ) -> None:
        """Send the list to a host; ``number`` is its request's number, 0 for a push."""
        if not self._state.listing.digest:
            return
        hosts = self._state.listing.hosts
        knowledge = self._state.knowledge(now)
        push = ListingPush(number, knowledge, hosts.hosts, hosts.servers, delegates)
        effects.append(Send(host, push))

    def handle_push(
        self, push: ListingPush, children, now: float, effects: list
    ) -> None:
        """Apply a list from another host and forward it to its delegates."""
        for child, rest in split_delegates(push.delegates, self._fan_out):
            effects.append(Send(child, attrs.evolve(push, delegates=rest)))
        knowledge = push.knowledge
        known_at = self._local_time_of(push, now)
        if known_at is None or knowledge.listing_age_s is None:
            return
        requested_at = min(known_at, now) - knowledge.listing_age_s
        hosts = HostList(push.hosts, push.servers)
        if self._state.listing.merge(hosts, requested_at):
            effects.append(ListingChanged())
            # A data centre that cannot reach the platform gets the list from another.
            if push.number and knowledge.origin not in self._state.local:
                self._push(children, now, effects)

    def _local_time_of(self, push: ListingPush, now: float) -> float | None:
        knowledge = push.knowledge
        if push.number:
            seeds = self._state.seeds
            request = self._requests.match_answer(
                push.number, knowledge.origin, seeds, now
            )
            return request.sent_at if request else None
        known_at = self._state.to_local_time(knowledge)
        if known_at is None:
            self._requests.schedule(knowledge.origin, now, 0.0, 1.0)
        return known_at

    def _push(self, children, now: float, effects: list) -> None:
        if not self._state.is_first_relay():
            return
        for child, delegates in children:
            self.send(child, 0, delegates, now, effects)
