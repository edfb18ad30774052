"""Exchange reports between entry hosts over ZeroMQ publish and subscribe.

Every message contains the complete state of its host, so the next message replaces a
lost one. A host that cannot reach the store requests snapshots by subscribing to them
at a few hosts. The publisher receives the subscription even if it does not know the
host. A host announces its own address the same way, by a subscription that names it.
One thread owns the sockets.
"""

import math
import random
import threading
import time
from collections.abc import Callable

import msgspec
import zmq
from result import Err, Ok, Result

from sesameport.entry.host_addresses import is_address
from sesameport.entry.messages import (
    FleetSnapshot,
    HostAnnounced,
    HostReport,
    HostReports,
    SnapshotRequested,
)
from sesameport.entry.peer_messages import (
    MAX_QUEUED_MESSAGES,
    PeerInbox,
    QueueLength,
    receive_parts,
)
from sesameport.entry.peer_topics import (
    ANNOUNCEMENT,
    COLD_PERMITS,
    DECODERS,
    PERMITS,
    REPORT,
    SHARED_TOPICS,
    SNAPSHOT,
    PublishedMessage,
    encode_message,
    permit_topic,
)
from sesameport.entry.report_codec import decode_report
from sesameport.telemetry.logs import get_logger

__all__ = ["PeerExchange"]

HEARTBEAT_MS = 1_500
HEARTBEAT_TIMEOUT_MS = 1_500
"""Interval of ZeroMQ heartbeats, which detect silent connections, and the longest wait
for the response. Together they are 3 s, the time after a disturbance from which the
users expect a host to work normally. Only the receiving side of a connection sends
heartbeats, because every host has two connections to every other one."""

HEARTBEAT_LIFETIME_MS = 3_000
"""Silence after which the sending side ends a connection."""

RECONNECT_MS = 100
RECONNECT_MAX_MS = 1_000
RECEIVED_MESSAGES = 8
RECEIVED_SNAPSHOTS = 1
"""Number of messages of one host that ZeroMQ reads ahead. Further ones wait in the
buffer of the socket, which is bounded in bytes, and at their sender."""

MAX_SUBSCRIPTION_BYTES = 4_096
"""Largest subscription of another host, bytes. The longest ordinary one has the name
and the address of a host."""

OVERSIZE_FACTOR = 4
"""Multiple of the largest report that is read at all. A larger message ends its
connection; one in between is discarded, counted and logged."""

FULL_PAUSE_S = 0.02
"""Time after which a full inbox is checked again, seconds."""

SNAPSHOT_SOURCES = 3
"""Number of hosts from which snapshots are requested. A snapshot holds the whole
configuration, and those of all hosts would saturate the link of the receiving host.
Each request chooses other hosts, because some may have no store either."""

RECEIVE_INTERVAL_PER_HOST_S = 0.0002
"""Time between two reads of reports per sending host, seconds. Reports that arrive in
between are handled together with one message to the actor and one placement, which
takes 0.1 ms for each waiting request with 45 engines."""

MAX_REPORTS_AT_ONCE = 1_000
"""Number of reports handled together; further ones are read after other messages."""

FAILURE_PAUSE_S = 0.1  # after an unexpected exception

_CONNECT = b"connect"
_REQUEST = b"ask"
_NOBLOCK = int(zmq.NOBLOCK)

log = get_logger("peers")


class PeerExchange:
    """Publish messages to all hosts and receive theirs.

    `publish`, `connect` and `request_snapshots` are called from one thread only.

    Parameters
    ----------
    name : str
        Name of this host.
    ip : str
        Address of this host.
    port : int
        Port on which every host publishes.
    on_message : callable
        Handles messages of other hosts, ``SnapshotRequested`` and ``HostAnnounced``, on
        the thread of the exchange.
    inbox : PeerInbox or None
        Account of the messages that wait for the actor.
    queue_bytes : int
        Bytes that may be queued for one slow host.
    buffer_bytes : int
        Size of each buffer of a connection, bytes.
    """

    def __init__(
        self,
        name: str,
        ip: str,
        port: int,
        on_message: Callable[
            [HostReports | SnapshotRequested | HostAnnounced | PublishedMessage],
            None,
        ],
        inbox: PeerInbox | None = None,
        queue_bytes: int = 1_048_576,
        buffer_bytes: int = 131_072,
    ):
        self._name = name
        self._on_message = on_message
        self._inbox = inbox or PeerInbox()
        self._queue_length = QueueLength(queue_bytes)
        self._buffer_bytes = buffer_bytes
        self._rng = random.Random()
        self._context = zmq.Context()
        self._publisher = self._socket(zmq.XPUB)
        # Every subscription is reported, not only the first to a topic.
        self._publisher.setsockopt(zmq.XPUB_VERBOSE, 1)
        self._publisher.maxmsgsize = MAX_SUBSCRIPTION_BYTES
        self._publisher.bind(f"tcp://{ip}:{port}")
        endpoint = self._publisher.last_endpoint.decode()
        self.address = endpoint.removeprefix("tcp://")
        self._control = self._context.socket(zmq.PAIR)
        self._control.bind("inproc://peer-control")
        self._connected: set[str] = set()
        self._sources: set[str] = set()
        self._receive_at = 0.0
        self._thread = threading.Thread(target=self._run, name="peers", daemon=True)

    def start(self) -> "PeerExchange":
        """Start the thread and return the exchange."""
        self._thread.start()
        return self

    def publish(
        self,
        message: PublishedMessage,
    ) -> int:
        """Send a message to all hosts that have subscribed to its type.

        Return its size in bytes. Messages about permits reach only the host that they
        name.
        """
        parts = encode_message(message)
        self._control.send_multipart(parts)
        return len(parts[1])

    def connect(self, addresses: set[str]) -> None:
        """Receive only from the hosts at these addresses."""
        wanted = msgspec.msgpack.encode(sorted(addresses - {self.address}))
        self._control.send_multipart([_CONNECT, wanted])

    def host_count(self) -> int:
        """Return the number of known hosts, this one included; thread-safe."""
        return 1 + len(self._connected)

    def request_snapshots(self, wanted: bool) -> None:
        """Request a snapshot from a few hosts, or end the subscription to snapshots."""
        self._control.send_multipart([_REQUEST, b"1" if wanted else b""])

    def _socket(self, kind: int) -> zmq.Socket:
        sock = self._context.socket(kind)
        sock.linger = 0
        sock.sndhwm, sock.rcvhwm = MAX_QUEUED_MESSAGES, RECEIVED_MESSAGES
        sock.sndbuf = sock.rcvbuf = self._buffer_bytes
        if kind == zmq.SUB:
            sock.heartbeat_ivl = HEARTBEAT_MS
            sock.heartbeat_timeout = HEARTBEAT_TIMEOUT_MS
            sock.heartbeat_ttl = HEARTBEAT_LIFETIME_MS
        sock.reconnect_ivl = RECONNECT_MS
        sock.reconnect_ivl_max = RECONNECT_MAX_MS
        sock.connect_timeout = RECONNECT_MAX_MS
        return sock

    def _run(self) -> None:
        control = self._context.socket(zmq.PAIR)
        control.connect("inproc://peer-control")
        subscriber = self._socket(zmq.SUB)
        subscriber.maxmsgsize = OVERSIZE_FACTOR * self._inbox.max_message_bytes
        for topic in SHARED_TOPICS:
            subscriber.subscribe(topic)
        for first in (PERMITS, COLD_PERMITS):
            subscriber.subscribe(permit_topic(self._name, first))
        own = msgspec.msgpack.encode((self._name, self.address))
        subscriber.subscribe(ANNOUNCEMENT + own)
        snapshots = self._socket(zmq.SUB)
        snapshots.subscribe(SNAPSHOT)
        snapshots.rcvhwm = RECEIVED_SNAPSHOTS
        snapshots.maxmsgsize = self._inbox.max_snapshot_bytes
        full, urgent, poller = zmq.Poller(), zmq.Poller(), zmq.Poller()
        for sock in (control, self._publisher):
            full.register(sock, zmq.POLLIN)
        for sock in (control, snapshots, self._publisher):
            urgent.register(sock, zmq.POLLIN)
            poller.register(sock, zmq.POLLIN)
        poller.register(subscriber, zmq.POLLIN)
        while True:
            wait_s = self._receive_at - time.monotonic()
            try:
                if self._inbox.is_full():
                    ready = dict(full.poll(math.ceil(FULL_PAUSE_S * 1000)))
                elif wait_s > 0:
                    ready = dict(urgent.poll(math.ceil(wait_s * 1000)))
                elif self._receive_reports(subscriber):
                    continue
                else:
                    ready = dict(poller.poll())
                self._handle_ready(ready, control, subscriber, snapshots)
            except Exception as exc:
                # Without this thread the host neither reports nor hears of others.
                log.error("peer message failed", extra={"error": repr(exc)})
                time.sleep(FAILURE_PAUSE_S)
            finally:
                self._inbox.finish()

    def _handle_ready(
        self,
        ready: dict,
        control: zmq.Socket,
        subscriber: zmq.Socket,
        snapshots: zmq.Socket,
    ) -> None:
        """Read one message, or all reports, from each socket that has any."""
        if control in ready:
            topic, data = control.recv_multipart()
            if topic == _CONNECT:
                self._connected = self._update_connections(
                    subscriber, self._connected, data
                )
            elif topic == _REQUEST:
                self._sources = self._choose_sources(
                    snapshots, self._sources, self._connected, data
                )
            else:
                self._send(topic, data)
        if subscriber in ready:
            self._receive_reports(subscriber)
        if snapshots in ready and not self._inbox.is_full():
            self._receive_one(snapshots)
        if self._publisher in ready:
            self._handle_subscription(self._publisher.recv())

    def _handle_subscription(self, message: bytes) -> None:
        is_new, topic = message[:1] == b"\x01", message[1:]
        if not is_new:
            return
        if topic == SNAPSHOT:
            self._on_message(SnapshotRequested())
            return
        if not topic.startswith(ANNOUNCEMENT):
            return
        try:
            fields = msgspec.msgpack.decode(topic[1:], type=tuple[str, str])
        except msgspec.DecodeError as exc:
            log.warning("announcement unreadable", extra={"reason": str(exc)})
            return
        if is_address(fields[1]):
            self._on_message(HostAnnounced(*fields))

    def _send(self, topic: bytes, data: bytes) -> None:
        length = self._queue_length.record(len(data))
        if length is not None:
            self._publisher.sndhwm = length
            log.info("queue of slow hosts", extra={"messages": length})
        try:
            self._publisher.send_multipart([topic, data], zmq.NOBLOCK)
        except zmq.ZMQError as exc:
            log.warning("peer message not sent", extra={"reason": str(exc)})

    def _update_connections(
        self, subscriber: zmq.Socket, connected: set[str], data: bytes
    ) -> set[str]:
        wanted = set(msgspec.msgpack.decode(data))
        self._disconnect(subscriber, connected - wanted)
        for address in wanted - connected:
            try:
                subscriber.connect(f"tcp://{address}")
            except zmq.ZMQError as exc:
                log.warning(
                    "host address unusable",
                    extra={"address": address, "reason": str(exc)},
                )
                wanted.discard(address)
        return wanted

    def _disconnect(self, subscriber: zmq.Socket, addresses: set[str]) -> None:
        """Disconnect a subscriber after handling the messages that have arrived.

        Polling reads the first part of a message ahead. If its connection ends before
        the second part is read, ZeroMQ aborts the process.
        """
        # The loop is bounded, as a host may send faster than this one reads.
        for _ in range(MAX_REPORTS_AT_ONCE if addresses else 0):
            if not subscriber.poll(0):
                break
            self._receive_one(subscriber)
        for address in addresses:
            subscriber.disconnect(f"tcp://{address}")

    def _choose_sources(
        self, snapshots: zmq.Socket, sources: set[str], connected: set[str], data: bytes
    ) -> set[str]:
        """Connect to other sources of snapshots, or to none, and return them."""
        # ZeroMQ sends publishers only a new subscription, so the previous connections
        # end first.
        self._disconnect(snapshots, sources)
        if not data:
            return set()
        candidates = sorted(connected - sources) or sorted(connected)
        count = min(SNAPSHOT_SOURCES, len(candidates))
        chosen = set(self._rng.sample(candidates, count))
        for address in chosen:
            snapshots.connect(f"tcp://{address}")
        return chosen

    def _receive_reports(self, subscriber: zmq.Socket) -> bool:
        """Handle all reports that have arrived, the newest partial one of each host.

        Return whether there were any messages; the next ones are then read later.
        """
        reports = []
        while len(reports) < MAX_REPORTS_AT_ONCE and not self._inbox.is_full():
            try:
                # Polling before each message would cost more than receiving it.
                topic, data = receive_parts(subscriber, _NOBLOCK)
            except zmq.Again:
                break
            is_accepted = self._inbox.accept(len(data))
            reports.append(self._decode_report(topic, data) if is_accepted else None)
        if not reports:
            return False
        self._deliver(reports)
        interval_s = RECEIVE_INTERVAL_PER_HOST_S * len(self._connected)
        self._receive_at = time.monotonic() + interval_s
        return True

    def _receive_one(self, sock: zmq.Socket) -> None:
        topic, data = receive_parts(sock)
        is_snapshot = topic == SNAPSHOT
        if self._inbox.is_full() or not self._inbox.accept(len(data), is_snapshot):
            return
        if is_snapshot:
            self._receive(_decode_snapshot(data))
        else:
            self._deliver([self._decode_report(topic, data)])

    def _decode_report(self, topic: bytes, data: bytes) -> HostReport | None:
        """Return a report of a host; handle messages of other types at once."""
        decode = DECODERS.get(topic[:1])
        if decode is not None:
            self._receive(decode(data))
            return None
        match decode_report(data, is_complete=topic == REPORT):
            case Ok(report):
                return report
            case Err(reason):
                log.warning("peer message unreadable", extra={"reason": reason})
                return None

    def _receive(self, decoded: Result) -> None:
        match decoded:
            case Ok(message):
                self._on_message(message)
            case Err(reason):
                log.warning("peer message unreadable", extra={"reason": reason})

    def _deliver(self, reports: list[HostReport | None]) -> None:
        kept, seen = [], set()
        for report in reversed(reports):
            if report is None:
                continue
            if report.host in seen and not report.is_complete:
                continue
            seen.add(report.host)
            kept.append(report)
        if kept:
            self._on_message(HostReports(tuple(reversed(kept))))


def _decode_snapshot(data: bytes) -> Result[FleetSnapshot, str]:
    try:
        return Ok(msgspec.msgpack.decode(data, type=FleetSnapshot))
    except (msgspec.DecodeError, msgspec.ValidationError) as exc:
        return Err(str(exc))
