"""Test the peer link over loopback: keys, queue limits and dead connections."""

import contextlib
import socket
import threading
import time

import attrs
import pytest
import zmq

from sesameport.adapters.peer_codec import CodecError, PeerCodec
from sesameport.adapters.peer_link import ZmqPeerLink
from sesameport.domain import Host
from sesameport.fleet.peer_messages import DigestAsk, DocumentPush
from sesameport.interfaces import Sender, StoredObject


def wait_for(condition, timeout_s=10.0):
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(0.02)
    return False


@pytest.fixture
def links():
    started = []

    def start(name, keys=None, seeds=()):
        public, secret = (key.decode() for key in keys) if keys else ("", "")
        sender = Sender(name, f"inc-{name}", "dc")
        link = ZmqPeerLink(sender, "127.0.0.1:0", public, secret, seeds)
        received = []
        link.subscribe(
            DigestAsk, lambda sender, message: received.append((sender, message))
        )
        host = Host(name, "dc", peer_address=link.start(), peer_public_key=public)
        started.append(link)
        return link, host, received

    yield start
    for link in started:
        link.close()


class Forwarder:
    """Forward TCP connections until ``silence``, which affects only open ones.

    A silenced connection stays open, but no data passes through it.
    """

    def __init__(self, target):
        self.target = target
        self.server = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.server.getsockname()[1]}"
        self.generation = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def silence(self):
        self.generation += 1

    def _accept(self):
        while True:
            try:
                client, _ = self.server.accept()
            except OSError:
                return
            ip, _, port = self.target.rpartition(":")
            upstream = socket.create_connection((ip, int(port)))
            for source, target in ((client, upstream), (upstream, client)):
                thread = threading.Thread(
                    target=self._forward,
                    args=(source, target, self.generation),
                    daemon=True,
                )
                thread.start()

    def _forward(self, source, target, generation):
        with contextlib.suppress(OSError):
            while data := source.recv(65_536):
                if generation == self.generation:
                    target.sendall(data)
            target.close()


def test_answer_reaches_a_host_that_is_not_listed_yet(links):
    """Guards against a new host, unknown to the other one's list, getting no answer."""
    keys_a, keys_b = zmq.curve_keypair(), zmq.curve_keypair()
    a, host_a, got_a = links("a", keys_a)
    b, host_b, got_b = links("b", keys_b, seeds=[f"127.0.0.1:1 {keys_a[0].decode()}"])
    a.set_hosts([host_a, host_b])
    a.send("b", DigestAsk(1, "x"))
    assert wait_for(lambda: got_b)
    assert got_b[0] == (Sender("a", "inc-a", "dc"), DigestAsk(1, "x"))
    b.send("a", DigestAsk(2, "y"))
    assert wait_for(lambda: got_a)
    assert a.counters().bytes_received > 0


def test_messages_are_dropped_until_the_sender_key_is_listed(links):
    a, host_a, _ = links("a", zmq.curve_keypair())
    b, host_b, got_b = links("b", zmq.curve_keypair())
    a.set_hosts([host_b])
    for number in range(10):
        a.send("b", DigestAsk(number, "x"))
        time.sleep(0.05)
    assert got_b == []
    b.set_hosts([host_a])
    assert wait_for(lambda: a.send("b", DigestAsk(99, "x")) or got_b, 15)


def test_message_under_another_hosts_name_is_dropped(links):
    """Guards against one stolen key that allows messages in the name of every host."""
    keys_a, keys_c = zmq.curve_keypair(), zmq.curve_keypair()
    _, host_a, _ = links("a", keys_a)
    b, host_b, got_b = links("b", zmq.curve_keypair())
    impostor, impostor_host, _ = links("a", keys_c)
    b.set_hosts([host_a, attrs.evolve(impostor_host, name="c")])
    impostor.set_hosts([host_b])
    impostor.send("b", DigestAsk(1, "x"))
    assert wait_for(lambda: b.counters().dropped.get("wrong-key"))
    assert got_b == []


def test_link_without_keys_uses_loopback_addresses_only(links):
    with pytest.raises(ValueError, match="loopback"):
        ZmqPeerLink(Sender("a", "i", "dc"), "0.0.0.0:0")
    a, _, _ = links("a")
    a.set_hosts([Host("far", "dc", peer_address="192.0.2.1:9")])
    a.send("far", DigestAsk(1, "x"))
    a.send("nobody", DigestAsk(1, "x"))
    expected = {"not-loopback": 1, "unknown-host": 1}
    assert wait_for(lambda: a.counters().dropped == expected)


def test_queue_to_an_unreachable_host_is_limited_and_drops_are_counted(links):
    """Guards against memory use that grows while a host is unreachable."""
    a, _, _ = links("a")
    a.set_hosts([Host("dead", "dc", peer_address="127.0.0.1:1")])
    for number in range(1_000):
        a.send("dead", DigestAsk(number, "x" * 100))
    assert wait_for(lambda: sum(a.counters().dropped.values()) >= 900)


def test_dead_open_connection_is_replaced(links):
    """Guards against sending for ever into a connection that is open but dead.

    The forwarder drops all data of the open connection, while new connections work.
    """
    a, host_a, _ = links("a")
    b, host_b, got_b = links("b")
    forwarder = Forwarder(host_b.peer_address)
    a.set_hosts([attrs.evolve(host_b, peer_address=forwarder.address)])
    a.send("b", DigestAsk(1, "x"))
    assert wait_for(lambda: got_b)
    forwarder.silence()
    got_b.clear()
    numbers = iter(range(1_000))

    def is_message_received():
        a.send("b", DigestAsk(next(numbers), "x"))
        time.sleep(0.1)
        return got_b

    assert wait_for(is_message_received, 12)
    assert a.counters().reconnects >= 1
    forwarder.server.close()


def test_codec_rejects_malformed_unknown_and_oversized_messages():
    codec = PeerCodec(Sender("a", "i", "dc"))
    data = codec.encode(DigestAsk(1, "x"))
    with pytest.raises(CodecError, match="unknown kind"):
        codec.decode(data)
    codec.register(DocumentPush)
    push = DocumentPush((StoredObject("k", "n", 1, b"\x00" * 900_000),))
    encoded = codec.encode(push)
    assert len(encoded) < 20_000
    assert codec.decode(encoded)[1] == push
    for data in (b"", b"\xc1", encoded[:-1], codec.encode(DigestAsk(1, "x"))[1:]):
        with pytest.raises(CodecError):
            codec.decode(data)
    # Compresses to a few kilobytes, but exceeds the limit once decompressed.
    bomb = codec.encode(DocumentPush((StoredObject("k", "n", 1, bytes(17_000_000)),)))
    with pytest.raises(CodecError, match="above"):
        codec.decode(bomb)
