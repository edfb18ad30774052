"""Run pure fleet code of many hosts in virtual time with a constant message delay.

The loop stands in for links only as far as it loses, repeats, delays and cuts
messages. It has no model of bandwidth.
"""

import collections
import heapq
import itertools
import random
from typing import Any, Protocol

import attrs

from sesameport.fleet.peer_messages import Send
from sesameport.interfaces import Sender

__all__ = ["Faults", "MessageLoop", "Node"]


class Node(Protocol):
    """Take ticks and messages, and return messages to send and other events."""

    def tick(self, now: float) -> list:
        """Do periodic work."""
        ...

    def receive(self, sender: Sender, message: Any, now: float) -> list:
        """Handle a message."""
        ...


@attrs.define
class Faults:
    """Hold the faults that the loop injects.

    Attributes
    ----------
    loss, repeat : float
        Probability that a message is lost or arrives twice.
    extra_delay_s : float
        Upper bound of a random extra delay, which reorders messages.
    cuts : set of (str, str)
        Pairs of sender and receiver between which every message is lost.
    """

    loss: float = 0.0
    repeat: float = 0.0
    extra_delay_s: float = 0.0
    cuts: set = attrs.field(factory=set)


@attrs.define
class _Place:
    sender: Sender
    node: Node
    tick_s: float
    paused_until: float = 0.0


class MessageLoop:
    """Deliver messages between nodes in the order of virtual time.

    Attributes
    ----------
    observer : callable or None
        Called with a host's name after each step of its node.
    size_of : callable or None
        Returns the bytes of a message, given sender and message.
    """

    def __init__(self, seed: int, delay_s: float = 0.002):
        self.now = 0.0
        self.delay_s = delay_s
        self.rng = random.Random(seed)
        self.faults = Faults()
        self.places: dict[str, _Place] = {}
        self.events: dict[str, list] = collections.defaultdict(list)
        self.sent: collections.Counter = collections.Counter()
        self.kinds: collections.Counter = collections.Counter()
        self.size_of = None
        self.observer = None
        self.bytes_sent: collections.Counter = collections.Counter()
        self._queue: list = []
        self._sequence = itertools.count()

    def add(self, sender: Sender, node: Node, tick_s: float) -> None:
        """Start a host process; one of the same name is replaced."""
        place = _Place(sender, node, tick_s)
        self.places[sender.host] = place
        self.at(self.now + self.rng.uniform(0, tick_s), self._tick, place)

    def kill(self, host: str) -> None:
        """End a host process without notice."""
        del self.places[host]

    def pause(self, host: str, seconds: float) -> None:
        """Stop a host process for a while; its messages wait."""
        self.places[host].paused_until = self.now + seconds

    def at(self, when: float, call, *args) -> None:
        """Call a function at a virtual time."""
        heapq.heappush(self._queue, (when, next(self._sequence), call, args))

    def run(self, seconds: float) -> None:
        """Advance the virtual time."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, call, args = heapq.heappop(self._queue)
            call(*args)
        self.now = end

    def perform(self, host: str, effects: list) -> None:
        """Send what a node asks to send and keep its other events with their time."""
        sender = self.places[host].sender
        for effect in effects:
            if isinstance(effect, Send):
                self._send(sender, effect)
            else:
                self.events[host].append((self.now, effect))
        if self.observer is not None:
            self.observer(host)

    def _send(self, sender: Sender, send: Send) -> None:
        self.sent[sender.host] += 1
        self.kinds[type(send.message).__name__] += 1
        if self.size_of is not None:
            self.bytes_sent[sender.host] += self.size_of(sender, send.message)
        if (sender.host, send.host) in self.faults.cuts:
            return
        copies = 2 if self.rng.random() < self.faults.repeat else 1
        for _ in range(copies):
            if self.rng.random() < self.faults.loss:
                continue
            delay = self.delay_s + self.rng.uniform(0, self.faults.extra_delay_s)
            self.at(self.now + delay, self._deliver, sender, send.host, send.message)

    def _deliver(self, sender: Sender, host: str, message: Any) -> None:
        place = self.places.get(host)
        if place is None:
            return
        if place.paused_until > self.now:
            self.at(place.paused_until, self._deliver, sender, host, message)
            return
        self.perform(host, place.node.receive(sender, message, self.now))

    def _tick(self, place: _Place) -> None:
        if self.places.get(place.sender.host) is not place:
            return
        if place.paused_until > self.now:
            self.at(place.paused_until, self._tick, place)
            return
        self.perform(place.sender.host, place.node.tick(self.now))
        self.at(self.now + place.tick_s, self._tick, place)
