"""Exchange reports between entry hosts over ZeroMQ publish and subscribe.

Every message carries a host's whole state, so that a lost one is made good by the next.
The publisher belongs to the thread that calls `publish`; the subscriber and its
connections belong to a thread of their own.
"""

import threading
from collections.abc import Callable

import msgspec
import zmq

from sesameport.entry.messages import FleetReport, FleetSnapshot
from sesameport.telemetry.logs import get_logger

__all__ = ["PeerExchange"]

HEARTBEAT_MS = 1_000
"""Interval of ZeroMQ's own heartbeats; they find connections that went silent."""

HEARTBEAT_TIMEOUT_MS = 2_500
"""Silence after which a connection is made anew: below the 3 s after which the users
take a host for undisturbed."""

RECONNECT_MS = 100
RECONNECT_MAX_MS = 1_000
QUEUED_MESSAGES = 200
"""Messages for one slow host; later ones are dropped."""

log = get_logger("peers")


class PeerExchange:
    """Publish to all hosts and receive from them.

    Parameters
    ----------
    ip : str
        Address of this host.
    port : int
        Port on which every host publishes.
    on_message : callable
        Takes a `FleetReport` or `FleetSnapshot` on the receiving thread.
    """

    def __init__(
        self,
        ip: str,
        port: int,
        on_message: Callable[[FleetReport | FleetSnapshot], None],
    ):
        self.address = f"{ip}:{port}"
        self._on_message = on_message
        self._context = zmq.Context()
        self._publisher = self._socket(zmq.PUB)
        self._publisher.bind(f"tcp://{self.address}")
        if port == 0:
            endpoint = self._publisher.last_endpoint.decode()
            self.address = endpoint.removeprefix("tcp://")
        self._control = self._context.socket(zmq.PAIR)
        self._control.bind("inproc://peer-control")
        self._thread = threading.Thread(target=self._run, name="peers", daemon=True)

    def start(self) -> "PeerExchange":
        """Start receiving and return the exchange."""
        self._thread.start()
        return self

    def publish(self, message: FleetReport | FleetSnapshot) -> None:
        """Send a message to all hosts that are connected; never waits."""
        topic = b"r" if isinstance(message, FleetReport) else b"s"
        self._publisher.send_multipart(
            [topic, msgspec.msgpack.encode(message)], zmq.NOBLOCK
        )

    def connect(self, addresses: set[str]) -> None:
        """Receive from these hosts and no others; call from one thread only."""
        self._control.send(msgspec.msgpack.encode(sorted(addresses - {self.address})))

    def _socket(self, kind: int) -> zmq.Socket:
        sock = self._context.socket(kind)
        sock.linger = 0
        sock.sndhwm = sock.rcvhwm = QUEUED_MESSAGES
        sock.heartbeat_ivl = HEARTBEAT_MS
        sock.heartbeat_timeout = HEARTBEAT_TIMEOUT_MS
        sock.heartbeat_ttl = HEARTBEAT_TIMEOUT_MS
        sock.reconnect_ivl = RECONNECT_MS
        sock.reconnect_ivl_max = RECONNECT_MAX_MS
        sock.connect_timeout = RECONNECT_MAX_MS
        return sock

    def _run(self) -> None:
        control = self._context.socket(zmq.PAIR)
        control.connect("inproc://peer-control")
        subscriber = self._socket(zmq.SUB)
        subscriber.subscribe(b"")
        poller = zmq.Poller()
        poller.register(control, zmq.POLLIN)
        poller.register(subscriber, zmq.POLLIN)
        connected: set[str] = set()
        while True:
            ready = dict(poller.poll())
            if control in ready:
                wanted = set(msgspec.msgpack.decode(control.recv()))
                for address in wanted - connected:
                    subscriber.connect(f"tcp://{address}")
                for address in connected - wanted:
                    subscriber.disconnect(f"tcp://{address}")
                connected = wanted
            if subscriber in ready:
                self._receive(subscriber.recv_multipart())

    def _receive(self, frames: list[bytes]) -> None:
        kind = FleetReport if frames[0] == b"r" else FleetSnapshot
        try:
            message = msgspec.msgpack.decode(frames[-1], type=kind)
        except msgspec.DecodeError as exc:
            log.warning("peer message unreadable", extra={"reason": str(exc)})
            return
        self._on_message(message)
