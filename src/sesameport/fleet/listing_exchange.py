"""Spread the platform's host and server list between hosts."""

import attrs

from sesameport.fleet.configuration_state import ConfigurationState
from sesameport.fleet.peer_messages import Knowledge, ListingAsk, ListingPush, Send
from sesameport.fleet.questions import Questions
from sesameport.fleet.rendezvous import split_delegates
from sesameport.interfaces import HostList

__all__ = ["ListingChanged", "ListingExchange"]


@attrs.frozen
class ListingChanged:
    """Report a new host and server list."""


class ListingExchange:
    """Push a new list through the tree, and ask for it when another host's is newer."""

    def __init__(self, state: ConfigurationState, questions: Questions, fan_out: int):
        self._state = state
        self._questions = questions
        self._fan_out = fan_out

    def offer(
        self, hosts: HostList, asked_at: float, children, now: float, effects: list
    ) -> None:
        """Take a list read from the platform and push it if this is the first relay."""
        if self._state.listing.offer(hosts, asked_at):
            effects.append(ListingChanged())
            self._push(children, now, effects)

    def compare(
        self, known: Knowledge, clock_at: float, now: float, effects: list
    ) -> None:
        """Ask a host for its list if that is newer."""
        if known.listing_age_s is None:
            return
        asked_at = clock_at - known.listing_age_s
        if self._state.listing.is_older_than(known.listing_digest, asked_at):
            number = self._questions.start(known.origin, now)
            effects.append(Send(known.origin, ListingAsk(number)))

    def send(
        self,
        host: str,
        number: int,
        delegates: tuple[str, ...],
        now: float,
        effects: list,
    ) -> None:
        """Send the list to a host, as the answer to a question if there was one."""
        if not self._state.listing.digest:
            return
        hosts = self._state.listing.hosts
        known = self._state.knowledge(now)
        push = ListingPush(number, known, hosts.hosts, hosts.servers, delegates)
        effects.append(Send(host, push))

    def take(self, push: ListingPush, children, now: float, effects: list) -> None:
        """Take a list from another host and pass it on to its delegates."""
        for child, rest in split_delegates(push.delegates, self._fan_out):
            effects.append(Send(child, attrs.evolve(push, delegates=rest)))
        known = push.knowledge
        clock_at = self._placed(push, now)
        if clock_at is None or known.listing_age_s is None:
            return
        asked_at = min(clock_at, now) - known.listing_age_s
        hosts = HostList(push.hosts, push.servers)
        if self._state.listing.offer(hosts, asked_at):
            effects.append(ListingChanged())
            # A data centre without the platform gets the list from another one.
            if push.number and known.origin not in self._state.local:
                self._push(children, now, effects)

    def _placed(self, push: ListingPush, now: float) -> float | None:
        known = push.knowledge
        if push.number:
            seeds = self._state.seeds
            asked = self._questions.finish(push.number, known.origin, seeds, now)
            return asked.at if asked else None
        clock_at = self._state.place(known)
        if clock_at is None:
            self._questions.plan(known.origin, now, 0.0, 1.0)
        return clock_at

    def _push(self, children, now: float, effects: list) -> None:
        if not self._state.is_first_relay():
            return
        for child, delegates in children:
            self.send(child, 0, delegates, now, effects)
