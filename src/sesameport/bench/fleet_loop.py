"""Simulate message exchange between many hosts in virtual time.

The hosts run fleet code that does no I/O of its own. Every message takes a constant
delay; the loop can also lose, duplicate, reorder and block messages. Bandwidth is not
modelled.
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
    """Define the code of one host that the loop runs.

    Both methods return the messages to send and other events.
    """

    def tick(self, now: float) -> list:
        """Perform the periodic work."""
        ...

    def receive(self, sender: Sender, message: Any, now: float) -> list:
        """Handle a message."""
        ...


@attrs.define
class Faults:
    """Represent the faults that the loop injects."""

    loss_probability: float = 0.0
    """Probability that a message is lost."""
    duplicate_probability: float = 0.0
    """Probability that a message is sent twice."""
    extra_delay_s: float = 0.0
    """Upper bound of a random extra delay, which reorders messages."""
    blocked_pairs: set = attrs.field(factory=set)
    """Pairs of sender and receiver names; messages from one to the other are lost."""


@attrs.define
class _Process:
    """Represent a running process of a host."""

    sender: Sender
    node: Node
    tick_interval_s: float
    paused_until: float = 0.0


class MessageLoop:
    """Run nodes and deliver their messages in the order of virtual time.

    Attributes
    ----------
    observer : callable or None
        Called with the name of a host after each step of its node.
    size_of : callable or None
        Takes a sender and a message and returns the size of the message in bytes.
    """

    def __init__(self, seed: int, delay_s: float = 0.002):
        self.now = 0.0
        self.delay_s = delay_s
        self.rng = random.Random(seed)
        self.faults = Faults()
        self.processes: dict[str, _Process] = {}
        self.events: dict[str, list] = collections.defaultdict(list)
        self.messages_sent: collections.Counter = collections.Counter()
        self.messages_by_kind: collections.Counter = collections.Counter()
        self.size_of = None
        self.observer = None
        self.bytes_sent: collections.Counter = collections.Counter()
        self._queue: list = []
        self._sequence = itertools.count()

    def add(self, sender: Sender, node: Node, tick_interval_s: float) -> None:
        """Start a host process, replacing an earlier one of the same host."""
        process = _Process(sender, node, tick_interval_s)
        self.processes[sender.host] = process
        self.call_at(
            self.now + self.rng.uniform(0, tick_interval_s), self._tick, process
        )

    def kill(self, host: str) -> None:
        """Stop a host process without notifying the other hosts."""
        del self.processes[host]

    def pause(self, host: str, seconds: float) -> None:
        """Suspend a host process and hold its messages until it resumes."""
        self.processes[host].paused_until = self.now + seconds

    def call_at(self, when: float, call, *args) -> None:
        """Schedule a function call at a virtual time."""
        heapq.heappush(self._queue, (when, next(self._sequence), call, args))

    def run(self, seconds: float) -> None:
        """Advance the virtual time and run every call scheduled in between."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, call, args = heapq.heappop(self._queue)
            call(*args)
        self.now = end

    def apply_effects(self, host: str, effects: list) -> None:
        """Send the messages among the effects and record the other events."""
        sender = self.processes[host].sender
        for effect in effects:
            if isinstance(effect, Send):
                self._send(sender, effect)
            else:
                self.events[host].append((self.now, effect))
        if self.observer is not None:
            self.observer(host)

    def _send(self, sender: Sender, send: Send) -> None:
        self.messages_sent[sender.host] += 1
        self.messages_by_kind[type(send.message).__name__] += 1
        if self.size_of is not None:
            self.bytes_sent[sender.host] += self.size_of(sender, send.message)
        if (sender.host, send.host) in self.faults.blocked_pairs:
            return
        copies = 2 if self.rng.random() < self.faults.duplicate_probability else 1
        for _ in range(copies):
            if self.rng.random() < self.faults.loss_probability:
                continue
            delay = self.delay_s + self.rng.uniform(0, self.faults.extra_delay_s)
            self.call_at(
                self.now + delay, self._deliver, sender, send.host, send.message
            )

    def _deliver(self, sender: Sender, host: str, message: Any) -> None:
        process = self.processes.get(host)
        if process is None:
            return
        if process.paused_until > self.now:
            self.call_at(process.paused_until, self._deliver, sender, host, message)
            return
        self.apply_effects(host, process.node.receive(sender, message, self.now))

    def _tick(self, process: _Process) -> None:
        if self.processes.get(process.sender.host) is not process:
            return
        if process.paused_until > self.now:
            self.call_at(process.paused_until, self._tick, process)
            return
        self.apply_effects(process.sender.host, process.node.tick(self.now))
        self.call_at(self.now + process.tick_interval_s, self._tick, process)
