"""Measure the costs of membership and configuration and how fast a write spreads.

Run ``python -m sesameport.bench.fleet_costs`` for all figures, or name some of
``spread``, ``traffic``, ``cpu``, ``state``, ``outage`` and ``link``. Messages, bytes,
times and hops come from runs in virtual time and are reproducible. CPU time is measured
with the process clock and depends on the machine.
"""

import hashlib
import random
import sys
import time
import tracemalloc

import attrs
import zmq

from sesameport.adapters.peer_codec import PeerCodec
from sesameport.adapters.peer_link import ZmqPeerLink
from sesameport.bench.fleet_loop import MessageLoop
from sesameport.bench.fleet_pacing import run_outage
from sesameport.bench.fleet_platform import VirtualFleet
from sesameport.documents import load_service
from sesameport.domain import BackendServer, Host, ServerRole
from sesameport.fleet.membership import Membership
from sesameport.fleet.peer_messages import DocumentPush, MemberState, Probe
from sesameport.fleet.rendezvous import split_delegates
from sesameport.interfaces import Sender

__all__ = ["Spread", "Traffic", "measure_spread", "measure_traffic", "push_tree_depth"]

SETTLE_S = 300.0
"""Virtual time before a measurement of membership. All hosts start at once, and the
updates about them are first passed on: with 340 hosts, each update is passed on 27
times, at 36 updates per second and host."""

CONFIGURATION_SETTLE_S = 20.0
"""Virtual time before a measurement of configuration."""

SIZES = (9, 60, 340)
CENTRES = tuple(f"dc{i}" for i in range(7))
WIRE_BYTES = 80
"""Overhead of CURVE, ZMTP, TCP and IP per message: 33 + 9 + 20 + 20, rounded."""


@attrs.frozen
class Spread:
    """Represent how one platform write spreads to all hosts.

    ``half_s`` and ``all_s`` are the seconds from the write until half of the hosts and
    all hosts have it. ``hops`` is the number of levels of the push tree, ``messages``
    the number of pushes that carried the document.
    """

    hosts: int
    centres: int
    half_s: float
    all_s: float
    hops: int
    messages: int


@attrs.frozen
class Traffic:
    """Represent what one host sends per second while nothing changes.

    ``messages`` and ``kilobytes`` are means over the hosts; ``highest_kilobytes`` is
    the figure of the host that sends most.
    """

    hosts: int
    component: str
    messages: float
    kilobytes: float
    highest_kilobytes: float


def data_centres_for(hosts: int) -> tuple[str, ...]:
    """Return 3 data centres for up to 9 hosts, and 7 for larger fleets."""
    return CENTRES[:3] if hosts <= 9 else CENTRES


def push_tree_depth(hosts: int, fan_out: int = 4) -> int:
    """Return the depth of a push tree in hops.

    ``hosts`` includes the root, which is at depth 0.
    """
    depth = 0
    level = [tuple(str(i) for i in range(1, hosts))]
    while any(level):
        depth += 1
        children = [split_delegates(names, fan_out) for names in level]
        level = [rest for group in children for _, rest in group]
    return depth


def measure_spread(hosts: int, centres: tuple[str, ...], delay_s: float, seed: int):
    """Write one document and return how it spreads over the hosts."""
    fleet = VirtualFleet(hosts, centres, seed, delay_s=delay_s)
    fleet.loop.run(12)
    written_at = fleet.loop.now
    reached: dict[str, float] = {}
    pushes = []

    def observe(host):
        if host not in reached and "a" in fleet.node(host).documents():
            reached[host] = fleet.loop.now - written_at

    def size_of(_sender, message):
        if isinstance(message, DocumentPush) and message.documents:
            pushes.append(message)
        return 0

    fleet.loop.observer = observe
    fleet.loop.size_of = size_of
    fleet.platform.write("a", "one")
    fleet.loop.run(1)
    times = sorted(reached.values())
    if len(times) < hosts:
        raise RuntimeError(f"only {len(times)} of {hosts} hosts have the document")
    per_centre = -(-hosts // len(centres))
    return Spread(
        hosts,
        len(centres),
        times[len(times) // 2],
        times[-1],
        push_tree_depth(per_centre),
        len(pushes),
    )


def measure_traffic(hosts: int, component: str, seconds: float = 20.0) -> Traffic:
    """Return the steady-state traffic of ``membership`` or ``configuration``."""
    loop = create_steady_loop(hosts, component)
    codecs: dict[str, PeerCodec] = {}

    def size_of(sender, message):
        codec = codecs.setdefault(sender.host, PeerCodec(sender))
        return len(codec.encode(message)) + WIRE_BYTES

    loop.messages_sent.clear()
    loop.size_of = size_of
    loop.run(seconds)
    messages_sent, total = loop.messages_sent, loop.bytes_sent
    return Traffic(
        hosts,
        component,
        sum(messages_sent.values()) / hosts / seconds,
        sum(total.values()) / hosts / seconds / 1_000,
        max(total.values()) / seconds / 1_000,
    )


def create_steady_loop(hosts: int, component: str) -> MessageLoop:
    """Return a loop that runs ``membership`` or ``configuration`` in steady state."""
    if component == "membership":
        loop = create_membership_loop(hosts)
        loop.run(SETTLE_S)
        return loop
    loop = VirtualFleet(hosts, data_centres_for(hosts), seed=1).loop
    loop.run(CONFIGURATION_SETTLE_S)
    return loop


def create_membership_loop(hosts: int) -> MessageLoop:
    """Return a loop in which ``hosts`` hosts run membership."""
    centres = data_centres_for(hosts)
    host_list = tuple(Host(f"h{i}", centres[i % len(centres)]) for i in range(hosts))
    loop = MessageLoop(seed=1)
    for host in host_list:
        node = Membership(host, host.name.rjust(16, "0"), random.Random(host.name))
        loop.add(
            Sender(host.name, host.name.rjust(16, "0"), host.data_centre), node, 0.25
        )
        loop.apply_effects(host.name, node.merge_host_list(host_list, 0.0))
    return loop


def measure_cpu(hosts: int, component: str, seconds: float = 5.0) -> float:
    """Return the CPU time of one host, milliseconds per second.

    The figure includes the loop and the codec, as every message is encoded and decoded
    once. It excludes sockets and encryption.
    """
    loop = create_steady_loop(hosts, component)
    codec = PeerCodec(Sender("h0", "0" * 16, "dc0"))

    def size_of(_sender, message):
        codec.register(type(message))
        codec.decode(codec.encode(message))
        return 0

    loop.size_of = size_of
    started = time.process_time()
    loop.run(seconds)
    return (time.process_time() - started) / hosts / seconds * 1_000


def measure_state(hosts: int, documents: int, workspaces: int) -> dict[str, float]:
    """Return the memory of one host's state in bytes per host, server and document."""
    sizes = {}
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    host_list = tuple(
        Host(f"host-{i}", CENTRES[i % 7], "10.0.0.1:80", "10.0.0.1:81", "k" * 40)
        for i in range(hosts)
    )
    servers = tuple(
        BackendServer(f"s{i}", "a", "c", CENTRES[i % 7], "10.0.0.1:9", ServerRole.BOTH)
        for i in range(hosts)
    )
    after_lists = tracemalloc.get_traced_memory()[0]
    sizes["host and server list, per pair"] = (after_lists - before) / hosts
    node = Membership(host_list[0], "0" * 16, random.Random(1))
    node.merge_host_list(host_list, 0.0)
    for update in [node.table.update_of(m) for m in node.members()]:
        alive = update._replace(
            incarnation=update.host.rjust(16), refutation=0, state=MemberState.ALIVE
        )
        node.table.apply(alive, 0.0)
    after_membership = tracemalloc.get_traced_memory()[0]
    sizes["membership, per host"] = (after_membership - after_lists) / hosts
    fleet = VirtualFleet(
        1, ("dc0",), check=lambda name, value: load_service(value.decode(), name)
    )
    fleet.loop.run(5)
    texts = [_document_text(f"d{i}", workspaces) for i in range(documents)]
    before_documents = tracemalloc.get_traced_memory()[0]
    for i, text in enumerate(texts):
        fleet.platform.write(f"d{i}", text)
        fleet.loop.run(0.1)
    if len(fleet.node("h0").documents()) < documents:
        raise RuntimeError("a document was not accepted")
    after_documents = tracemalloc.get_traced_memory()[0]
    name = f"document of {workspaces} workspaces, {len(texts[0])} bytes of TOML"
    sizes[name] = (after_documents - before_documents) / documents
    tracemalloc.stop()
    del servers
    return sizes


def _document_text(name: str, workspaces: int) -> str:
    lines = [f'name = "{name}"', 'kind = "plain"', "[[routes]]", 'path = "/x/"']
    for i in range(workspaces):
        digest = hashlib.sha256(f"{name}{i}".encode()).hexdigest()
        lines += ["[[workspaces]]", f'name = "w{i}"', f'keys = ["sha256:{digest}"]']
    return "\n".join(lines)


def measure_link(messages: int = 5_000) -> float:
    """Return the CPU time of one probe from send to callback, microseconds.

    Both ends run in this process and connect over loopback with CURVE, so the figure
    covers sending and receiving.
    """
    keys = [tuple(key.decode() for key in zmq.curve_keypair()) for _ in range(2)]
    links = [
        ZmqPeerLink(Sender(name, "0" * 16, "dc0"), "127.0.0.1:0", *pair)
        for name, pair in zip("ab", keys, strict=True)
    ]
    received = []
    for link in links:
        link.subscribe(Probe, lambda _sender, message: received.append(message))
    hosts = [
        Host(name, "dc0", peer_address=link.start(), peer_public_key=pair[0])
        for name, link, pair in zip("ab", links, keys, strict=True)
    ]
    for link in links:
        link.set_hosts(hosts)
    for number in range(messages // 10):
        links[0].send("b", Probe(number, 0))
        time.sleep(0.002)
    received.clear()
    started = time.process_time()
    for number in range(messages):
        links[0].send("b", Probe(number, 0))
        if number % 10 == 0:
            time.sleep(0.002)
    time.sleep(0.2)
    cost_s = time.process_time() - started
    for link in links:
        link.close()
    if len(received) < 0.9 * messages:
        raise RuntimeError(f"only {len(received)} of {messages} messages arrived")
    return cost_s / len(received) * 1e6


def _print_link() -> None:
    print(f"CPU of one probe, sending and receiving: {measure_link():.0f} us")


def _print_spread() -> None:
    print("spread of one write (seeds 1 to 3, worst)")
    for hosts, centres, delay_s in (
        (9, CENTRES[:3], 0.002),
        (340, CENTRES, 0.002),
        (340, CENTRES, 0.1),
        (340, CENTRES[:1], 0.002),
    ):
        runs = [measure_spread(hosts, centres, delay_s, seed) for seed in range(1, 4)]
        worst = max(runs, key=lambda run: run.all_s)
        print(
            f"  {hosts} hosts, {len(centres)} data centres, delay {delay_s * 1e3:g} ms:"
            f" half {worst.half_s:.3f} s, all {worst.all_s:.3f} s,"
            f" {worst.hops} hops, {worst.messages} pushes with the document"
        )


def _print_traffic() -> None:
    print("steady traffic sent by one host, with transport overhead")
    for component in ("membership", "configuration"):
        for hosts in SIZES:
            result = measure_traffic(hosts, component)
            print(
                f"  {component}, {hosts} hosts: {result.messages:.2f} messages/s,"
                f" {result.kilobytes:.2f} KB/s mean,"
                f" {result.highest_kilobytes:.2f} KB/s highest host"
            )


def _print_cpu() -> None:
    print("CPU of one host, pure code and codec")
    for component in ("membership", "configuration"):
        for hosts in SIZES:
            print(
                f"  {component}, {hosts} hosts:"
                f" {measure_cpu(hosts, component):.2f} ms/s"
            )


def _print_state() -> None:
    print("state of one host, bytes")
    for name, size in measure_state(340, 8, 1_100).items():
        print(f"  {name}: {size:,.0f}")


def _print_outage() -> None:
    print("platform calls per second of all hosts, highest second (seed 1)")
    for hosts in SIZES:
        result = run_outage(hosts)
        print(
            f"  {hosts} hosts: before {result.before}, during {result.during},"
            f" after {result.after}; mean trials {result.trials_per_s:.1f}/s"
        )


_MEASUREMENTS = {
    "spread": _print_spread,
    "traffic": _print_traffic,
    "cpu": _print_cpu,
    "state": _print_state,
    "outage": _print_outage,
    "link": _print_link,
}


def main(names: list[str]) -> int:
    """Print the named figures, or all of them, and return the exit code."""
    unknown = [name for name in names if name not in _MEASUREMENTS]
    if unknown:
        print(f"unknown: {', '.join(unknown)}; known: {', '.join(_MEASUREMENTS)}")
        return 2
    for name in names or _MEASUREMENTS:
        _MEASUREMENTS[name]()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
