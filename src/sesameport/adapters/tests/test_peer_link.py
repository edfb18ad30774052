"""Check the peer link over loopback: keys, bounds and silent connections."""

import contextlib
import socket
import threading
import time

import attrs
import pytest
import zmq

from sesameport.adapters.peer_codec import CodecError, PeerCodec
from sesameport.adapters.peer_link import ZmqPeerLink
from sesameport.fleet.peer_messages import DigestAsk, DocumentPush
from sesameport.interfaces import Sender, StoredObject
from sesameport.world import Host


def wait_for(condition, seconds=10.0):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
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
        link.subscribe(DigestAsk, lambda who, message: received.append((who, message)))
        host = Host(name, "dc", peer_address=link.start(), peer_public_key=public)
        started.append(link)
        return link, host, received

    yield start
    for link in started:
        link.close()


class Forwarder:
    """Forward TCP connections; ``silence`` stops the open ones but not new ones."""

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
                near, _ = self.server.accept()
            except OSError:
                return
            ip, _, port = self.target.rpartition(":")
            far = socket.create_connection((ip, int(port)))
            for a, b in ((near, far), (far, near)):
                pump = threading.Thread(
                    target=self._pump, args=(a, b, self.generation), daemon=True
                )
                pump.start()

    def _pump(self, source, target, generation):
        with contextlib.suppress(OSError):
            while data := source.recv(65_536):
                if generation == self.generation:
                    target.sendall(data)
            target.close()


def test_messages_arrive_with_keys_and_an_answer_finds_its_way_back(links):
    """Guards against a new host that the other side's list does not name yet."""
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


def test_host_with_an_unknown_key_gets_nothing_through(links):
    a, host_a, _ = links("a", zmq.curve_keypair())
    b, host_b, got_b = links("b", zmq.curve_keypair())
    a.set_hosts([host_b])
    for number in range(10):
        a.send("b", DigestAsk(number, "x"))
        time.sleep(0.05)
    assert got_b == []
    b.set_hosts([host_a])
    assert wait_for(lambda: a.send("b", DigestAsk(99, "x")) or got_b, 15)


def test_host_cannot_speak_for_another_host(links):
    """Guards against one stolen key that speaks for the whole fleet."""
    keys_a, keys_c = zmq.curve_keypair(), zmq.curve_keypair()
    _, host_a, _ = links("a", keys_a)
    b, host_b, got_b = links("b", zmq.curve_keypair())
    impostor, impostor_host, _ = links("a", keys_c)
    b.set_hosts([host_a, attrs.evolve(impostor_host, name="c")])
    impostor.set_hosts([host_b])
    impostor.send("b", DigestAsk(1, "x"))
    assert wait_for(lambda: b.counters().dropped.get("wrong-key"))
    assert got_b == []


def test_without_keys_only_loopback_is_used(links):
    with pytest.raises(ValueError, match="loopback"):
        ZmqPeerLink(Sender("a", "i", "dc"), "0.0.0.0:0")
    a, _, _ = links("a")
    a.set_hosts([Host("far", "dc", peer_address="192.0.2.1:9")])
    a.send("far", DigestAsk(1, "x"))
    a.send("nobody", DigestAsk(1, "x"))
    wanted = {"not-loopback": 1, "unknown-host": 1}
    assert wait_for(lambda: a.counters().dropped == wanted)


def test_sends_to_a_dead_host_are_bounded_and_counted(links):
    """Guards against memory that grows while a host is away."""
    a, _, _ = links("a")
    a.set_hosts([Host("dead", "dc", peer_address="127.0.0.1:1")])
    for number in range(1_000):
        a.send("dead", DigestAsk(number, "x" * 100))
    assert wait_for(lambda: sum(a.counters().dropped.values()) >= 900)


def test_silent_connection_is_replaced_while_new_ones_work(links):
    """Guards against a connection that stays open and passes nothing on."""
    a, host_a, _ = links("a")
    b, host_b, got_b = links("b")
    forwarder = Forwarder(host_b.peer_address)
    a.set_hosts([attrs.evolve(host_b, peer_address=forwarder.address)])
    a.send("b", DigestAsk(1, "x"))
    assert wait_for(lambda: got_b)
    forwarder.silence()
    got_b.clear()
    sent = iter(range(1_000))

    def arrives():
        a.send("b", DigestAsk(next(sent), "x"))
        time.sleep(0.1)
        return got_b

    assert wait_for(arrives, 12)
    assert a.counters().reconnects >= 1
    forwarder.server.close()


def test_codec_refuses_malformed_unknown_and_oversized_messages():
    codec = PeerCodec(Sender("a", "i", "dc"))
    data = codec.encode(DigestAsk(1, "x"))
    with pytest.raises(CodecError, match="unknown kind"):
        codec.decode(data)
    codec.register(DocumentPush)
    push = DocumentPush((StoredObject("k", "n", 1, b"\x00" * 900_000),))
    packed = codec.encode(push)
    assert len(packed) < 20_000
    assert codec.decode(packed)[1] == push
    for wrong in (b"", b"\xc1", packed[:-1], codec.encode(DigestAsk(1, "x"))[1:]):
        with pytest.raises(CodecError):
            codec.decode(wrong)
    bomb = codec.encode(DocumentPush((StoredObject("k", "n", 1, bytes(17_000_000)),)))
    with pytest.raises(CodecError, match="above"):
        codec.decode(bomb)
